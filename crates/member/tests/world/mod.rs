//! Instances and fake backend servers in virtual time, with loss, cuts, restarts and a list that lags.

#![allow(dead_code, unreachable_pub, reason = "each test uses a part of it")]

pub mod told;

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use base::{Incarnation, Name, Stamp, Tick};
use member::{
    Action, Context, Event, Fact, Roster, Summary, configs,
    event::{Listing, Role, Status},
    fact::{Instance, Load, State},
};
use peer::codec;
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use wire::Message as _;

/// Wall-clock time at the start, in milliseconds.
const EPOCH: u64 = 1_700_000_000_000;
/// One way between two instances.
const DELAY: Duration = Duration::from_micros(500);
/// How often a roster is ticked.
const BEAT: Duration = Duration::from_millis(250);

/// What the platform's list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// It does not answer.
    Down,
    /// It answers with nothing.
    Empty,
    /// It answers with what was so when it froze.
    Frozen,
    /// It answers with the truth, but never says that anybody is leaving.
    Live,
    /// It names everybody as live with the first start that it ever saw.
    Stale,
}

#[derive(Debug)]
pub struct Node {
    pub roster: Roster,
    pub domain: usize,
    pub up: bool,
    pub cpu: Duration,
    /// Bytes of messages sent, without framing.
    pub bytes: u64,
    /// Calls started or answered.
    pub calls: u64,
    /// What the platform's list says to it, where that differs from what it says to the others.
    pub list: Option<List>,
    /// Reads of the platform's list.
    pub reads: u64,
    pub own: Instance,
    /// How far its wall clock is ahead, in milliseconds.
    pub ahead: i64,
    rng: ChaCha8Rng,
    life: u32,
}

#[derive(Debug)]
pub struct Backend {
    pub incarnation: Incarnation,
    pub domain: usize,
    pub up: bool,
    pub state: State,
    /// What the platform's list says of it.
    pub listed: State,
    address: Name,
    pool: Name,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Call {
        from: usize,
        to: usize,
        life: u32,
        message: Vec<u8>,
    },
    List {
        node: usize,
        life: u32,
    },
    Reply {
        to: usize,
        life: u32,
        message: Vec<u8>,
    },
    Poll {
        node: usize,
        backend: usize,
        life: u32,
    },
    Tick {
        node: usize,
        life: u32,
    },
}

#[derive(Debug)]
pub struct World {
    pub now: Tick,
    pub nodes: Vec<Node>,
    pub backends: Vec<Backend>,
    pub list: List,
    /// Facts that instances were told and do not use themselves.
    pub learned: Vec<(usize, Fact)>,
    /// Share of messages lost, in hundredths.
    pub loss: u32,
    /// Sides of a cut by node; instances on different sides do not reach each other.
    pub sides: Vec<u8>,
    config: configs::roster::Roster,
    frozen: Vec<Listing>,
    heap: BinaryHeap<Reverse<(Tick, u64, What)>>,
    count: u64,
    rng: ChaCha8Rng,
}

impl World {
    /// Builds `nodes` instances and `backends` backend servers, spread over the failure domains.
    pub fn new(seed: u64, domains: usize, nodes: usize, backends: usize) -> Self {
        let config = configs::roster::Roster::default();
        let mut world = Self {
            now: Tick::from_millis(1),
            nodes: Vec::new(),
            backends: (0..backends)
                .map(|at| Backend::new(at, at % domains))
                .collect(),
            list: List::Live,
            learned: Vec::new(),
            loss: 0,
            sides: vec![0; nodes],
            config,
            frozen: Vec::new(),
            heap: BinaryHeap::new(),
            count: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for at in 0..nodes {
            let node = world.node(at, at % domains, EPOCH);
            world.nodes.push(node);
            world.start(at);
        }
        world.frozen = world.listings();
        world
    }

    /// Runs until an instant.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.heap.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, what))) = self.heap.pop() else {
                break;
            };
            self.now = at;
            self.step(what);
        }
        self.now = end;
    }

    /// Ends an instance without a word and starts its next life.
    pub fn restart(&mut self, at: usize) {
        let start = self.stamp().as_millis();
        let domain = self.nodes[at].domain;
        let life = self.nodes[at].life + 1;
        self.nodes[at] = self.node(at, domain, start);
        self.nodes[at].life = life;
        self.start(at);
    }

    /// Starts the next life of a backend server.
    pub fn renew(&mut self, at: usize) {
        let start = self.stamp();
        let backend = &mut self.backends[at];
        backend.incarnation.start = start;
        backend.up = true;
        backend.state = State::Live;
    }

    /// Hands an event to an instance and carries out what it asks for.
    pub fn give(&mut self, at: usize, event: Event) {
        let actions = self.on(at, event);
        self.act(at, actions);
    }

    /// Sums bytes and calls, and sets the counters back.
    pub fn reset(&mut self) {
        for node in &mut self.nodes {
            node.bytes = 0;
            node.calls = 0;
            node.reads = 0;
            node.cpu = Duration::ZERO;
        }
    }

    /// Has an instance make an attempt at a backend server, which answers with its state.
    pub fn attempt(&mut self, node: usize, backend: usize) {
        if let Some(word) = self.backends[backend].word(&mut self.rng) {
            self.give(node, Event::ServerReported(word));
        }
    }

    fn step(&mut self, what: What) {
        match what {
            What::Tick { node, life } if self.lives(node, life) => {
                self.give(node, Event::Tick);
                self.push(BEAT, What::Tick { node, life });
            }
            What::List { node, life } if self.lives(node, life) => {
                if let Some(list) = self.answer(self.nodes[node].list.unwrap_or(self.list)) {
                    self.give(node, Event::ListReceived(list));
                }
            }
            What::Call {
                from,
                to,
                life,
                message,
            } if self.reach(from, to) => {
                let actions = self.on(to, Event::ExchangeRequested(decode(&message)));
                let (answers, rest): (Vec<_>, Vec<_>) = actions
                    .into_iter()
                    .partition(|action| matches!(action, Action::Answer(_)));
                for answer in answers {
                    if let Action::Answer(summary) = answer {
                        let message = self.encode(to, &summary);
                        if self.keeps() {
                            self.push(
                                DELAY,
                                What::Reply {
                                    to: from,
                                    life,
                                    message,
                                },
                            );
                        }
                    }
                }
                self.act(to, rest);
            }
            What::Reply { to, life, message } if self.lives(to, life) => {
                self.give(to, Event::ExchangeAnswered(decode(&message)));
            }
            What::Poll {
                node,
                backend,
                life,
            } if self.lives(node, life) => {
                self.attempt(node, backend);
            }
            _ => {}
        }
    }

    fn on(&mut self, at: usize, event: Event) -> Vec<Action> {
        let stamp = self.stamp();
        let node = &mut self.nodes[at];
        let mut context = Context {
            now: self.now,
            stamp: Stamp::from_millis(stamp.as_millis().saturating_add_signed(node.ahead)),
            rng: &mut node.rng,
        };
        let began = Instant::now();
        let actions = node.roster.handle(&mut context, event);
        node.cpu += began.elapsed();
        actions
    }

    fn act(&mut self, at: usize, actions: Vec<Action>) {
        let life = self.nodes[at].life;
        for action in actions {
            match action {
                Action::Answer(_) => {}
                Action::Deliver { fact, .. } => self.learned.push((at, fact)),
                Action::Exchange { address, summary } => {
                    let message = self.encode(at, &summary);
                    let to = index(&address);
                    if self.keeps() {
                        self.push(
                            DELAY,
                            What::Call {
                                from: at,
                                to,
                                life,
                                message,
                            },
                        );
                    }
                }
                Action::ReadList => {
                    self.nodes[at].reads += 1;
                    self.push(DELAY * 2, What::List { node: at, life });
                }
                Action::Poll { address, .. } => {
                    let backend = index(&address);
                    self.push(
                        DELAY * 2,
                        What::Poll {
                            node: at,
                            backend,
                            life,
                        },
                    );
                }
            }
        }
    }

    fn encode(&mut self, at: usize, summary: &Summary) -> Vec<u8> {
        let node = &mut self.nodes[at];
        let began = Instant::now();
        let message = codec::encode(summary).encode_to_vec();
        node.cpu += began.elapsed();
        node.bytes += u64::try_from(message.len()).unwrap_or(u64::MAX);
        node.calls += 1;
        message
    }

    fn keeps(&mut self) -> bool {
        self.rng.random_range(0..100) >= self.loss
    }

    fn lives(&self, node: usize, life: u32) -> bool {
        self.nodes[node].up && self.nodes[node].life == life
    }

    fn reach(&self, from: usize, to: usize) -> bool {
        self.nodes[to].up && self.sides[from] == self.sides[to]
    }

    fn push(&mut self, after: Duration, what: What) {
        self.count += 1;
        self.heap
            .push(Reverse((self.now + after, self.count, what)));
    }

    fn start(&mut self, node: usize) {
        let life = self.nodes[node].life;
        let spread = Duration::from_millis((self.rng.next_u32() % 250).into());
        self.push(spread, What::Tick { node, life });
    }

    fn node(&mut self, at: usize, domain: usize, start: u64) -> Node {
        let own = Instance {
            incarnation: Incarnation::new(format!("entry-{at:03}"), Stamp::from_millis(start)),
            domain: format!("domain-{domain}").into(),
            address: format!("10.1.{}.{}:{at}", at / 256, at % 256).into(),
            state: State::Live,
        };
        Node {
            roster: Roster::new(own.clone(), self.config.clone(), self.now),
            domain,
            up: true,
            cpu: Duration::ZERO,
            bytes: 0,
            calls: 0,
            list: None,
            reads: 0,
            own,
            ahead: 0,
            rng: ChaCha8Rng::seed_from_u64(self.rng.next_u64()),
            life: 0,
        }
    }

    fn answer(&self, list: List) -> Option<Vec<Listing>> {
        match list {
            List::Down => None,
            List::Empty => Some(Vec::new()),
            List::Frozen | List::Stale => Some(self.frozen.clone()),
            List::Live => Some(self.listings()),
        }
    }

    /// Freezes the list as it is now.
    pub fn freeze(&mut self) {
        self.frozen = self.listings();
        self.list = List::Frozen;
    }

    fn listings(&self) -> Vec<Listing> {
        let nodes = self
            .nodes
            .iter()
            .filter(|node| node.up)
            .map(|node| Listing {
                incarnation: node.own.incarnation.clone(),
                domain: node.own.domain.clone(),
                address: node.own.address.clone(),
                role: Role::Entry,
                state: State::Live,
            });
        let backends = self
            .backends
            .iter()
            .filter(|one| one.up)
            .map(Backend::listing);
        nodes.chain(backends).collect()
    }

    /// Returns the wall-clock time that is right.
    pub fn stamp(&self) -> Stamp {
        Stamp::from_millis(EPOCH + self.now.as_micros() / 1_000)
    }
}

impl Backend {
    fn new(at: usize, domain: usize) -> Self {
        Self {
            incarnation: Incarnation::new(format!("runner-{at:03}"), Stamp::from_millis(EPOCH)),
            domain,
            up: true,
            state: State::Live,
            listed: State::Live,
            address: format!("10.2.{}.{}:{at}", at / 256, at % 256).into(),
            pool: format!("pool-{}", at / 8 % 12).into(),
        }
    }

    fn listing(&self) -> Listing {
        Listing {
            incarnation: self.incarnation.clone(),
            domain: format!("domain-{}", self.domain).into(),
            address: self.address.clone(),
            role: Role::Backend(self.pool.clone()),
            state: self.listed,
        }
    }

    /// Says its state and a load that moves at each answer.
    fn word(&mut self, rng: &mut ChaCha8Rng) -> Option<Status> {
        let load = Load {
            running: rng.random_range(0..33),
            waiting: rng.random_range(0..9),
            memory: rng.random_range(0..1_000),
            age: Duration::from_millis(700),
        };
        self.up.then(|| Status {
            incarnation: self.incarnation.clone(),
            state: self.state,
            load: Some(load),
        })
    }
}

fn decode(message: &[u8]) -> Summary {
    codec::decode(wire::Summary::decode(message).expect("own encoding")).expect("own message")
}

fn index(address: &Name) -> usize {
    let port = address.as_str().rsplit(':').next();
    port.and_then(|port| port.parse().ok())
        .expect("a port that is an index")
}
