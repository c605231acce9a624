//! Instances and fake backend servers in simulated time, with losses, partitions, restarts and wrong lists.

#![allow(dead_code, unreachable_pub, reason = "each test uses a part of it")]

pub mod workload;

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
const EPOCH_MS: u64 = 1_700_000_000_000;
/// The time of a message between two instances, one way.
const NETWORK_DELAY: Duration = Duration::from_micros(500);
/// The interval between ticks of a roster.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// The behaviour of the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// It does not answer.
    Down,
    /// It answers with an empty list.
    Empty,
    /// It answers with the list at the time of the freeze.
    Frozen,
    /// It answers with the current processes and their listed states.
    Live,
    /// It answers with an old list, in which every process is live.
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
    /// The behaviour of the platform's list towards this instance, if it differs.
    pub list: Option<List>,
    /// Reads of the platform's list.
    pub reads: u64,
    pub own: Instance,
    /// How far its wall clock is ahead, in milliseconds.
    pub clock_offset_ms: i64,
    rng: ChaCha8Rng,
    generation: u32,
}

#[derive(Debug)]
pub struct Backend {
    pub incarnation: Incarnation,
    pub domain: usize,
    pub up: bool,
    pub state: State,
    /// Its state in the platform's list.
    pub listed: State,
    address: Name,
    pool: Name,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Delivery {
    Call {
        from: usize,
        to: usize,
        generation: u32,
        message: Vec<u8>,
    },
    List {
        node: usize,
        generation: u32,
    },
    Reply {
        to: usize,
        generation: u32,
        message: Vec<u8>,
    },
    Poll {
        node: usize,
        backend: usize,
        generation: u32,
    },
    Tick {
        node: usize,
        generation: u32,
    },
}

#[derive(Debug)]
pub struct Simulation {
    pub now: Tick,
    pub nodes: Vec<Node>,
    pub backends: Vec<Backend>,
    pub list: List,
    /// Facts that rosters delivered to their instances.
    pub delivered: Vec<(usize, Fact)>,
    /// Share of messages lost, in percent.
    pub loss_percent: u32,
    /// The partition of each instance; instances in different partitions do not reach each other.
    pub partitions: Vec<u8>,
    config: configs::roster::Roster,
    frozen: Vec<Listing>,
    heap: BinaryHeap<Reverse<(Tick, u64, Delivery)>>,
    count: u64,
    rng: ChaCha8Rng,
}

impl Simulation {
    /// Builds `nodes` instances and `backends` backend servers, spread over the failure domains.
    pub fn new(seed: u64, domains: usize, nodes: usize, backends: usize) -> Self {
        let config = configs::roster::Roster::default();
        let mut simulation = Self {
            now: Tick::from_millis(1),
            nodes: Vec::new(),
            backends: (0..backends)
                .map(|at| Backend::new(at, at % domains))
                .collect(),
            list: List::Live,
            delivered: Vec::new(),
            loss_percent: 0,
            partitions: vec![0; nodes],
            config,
            frozen: Vec::new(),
            heap: BinaryHeap::new(),
            count: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for at in 0..nodes {
            let node = simulation.node(at, at % domains, EPOCH_MS);
            simulation.nodes.push(node);
            simulation.schedule_first_tick(at);
        }
        simulation.frozen = simulation.listings();
        simulation
    }

    /// Runs for a span of time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.heap.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, delivery))) = self.heap.pop() else {
                break;
            };
            self.now = at;
            self.step(delivery);
        }
        self.now = end;
    }

    /// Ends an instance without notice and starts its next generation.
    pub fn restart(&mut self, at: usize) {
        let start = self.stamp().as_millis();
        let domain = self.nodes[at].domain;
        let generation = self.nodes[at].generation + 1;
        self.nodes[at] = self.node(at, domain, start);
        self.nodes[at].generation = generation;
        self.schedule_first_tick(at);
    }

    /// Starts the next incarnation of a backend server.
    pub fn restart_backend(&mut self, at: usize) {
        let start = self.stamp();
        let backend = &mut self.backends[at];
        backend.incarnation.start = start;
        backend.up = true;
        backend.state = State::Live;
    }

    /// Passes an event to an instance and carries out its actions.
    pub fn dispatch(&mut self, at: usize, event: Event) {
        let actions = self.handle(at, event);
        self.carry_out(at, actions);
    }

    /// Resets the traffic counters of all instances.
    pub fn reset_counters(&mut self) {
        for node in &mut self.nodes {
            node.bytes = 0;
            node.calls = 0;
            node.reads = 0;
            node.cpu = Duration::ZERO;
        }
    }

    /// Lets an instance call a backend server, which answers with its status.
    pub fn poll_backend(&mut self, node: usize, backend: usize) {
        if let Some(status) = self.backends[backend].status(&mut self.rng) {
            self.dispatch(node, Event::ServerReported(status));
        }
    }

    fn step(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick { node, generation } if self.is_current(node, generation) => {
                self.dispatch(node, Event::Tick);
                self.schedule(TICK_INTERVAL, Delivery::Tick { node, generation });
            }
            Delivery::List { node, generation } if self.is_current(node, generation) => {
                if let Some(list) = self.read_list(self.nodes[node].list.unwrap_or(self.list)) {
                    self.dispatch(node, Event::ListReceived(list));
                }
            }
            Delivery::Call {
                from,
                to,
                generation,
                message,
            } if self.is_reachable(from, to) => {
                let actions = self.handle(to, Event::ExchangeRequested(decode(&message)));
                let (answers, rest): (Vec<_>, Vec<_>) = actions
                    .into_iter()
                    .partition(|action| matches!(action, Action::Answer(_)));
                for answer in answers {
                    if let Action::Answer(summary) = answer {
                        let message = self.encode(to, &summary);
                        if self.is_delivered() {
                            self.schedule(
                                NETWORK_DELAY,
                                Delivery::Reply {
                                    to: from,
                                    generation,
                                    message,
                                },
                            );
                        }
                    }
                }
                self.carry_out(to, rest);
            }
            Delivery::Reply {
                to,
                generation,
                message,
            } if self.is_current(to, generation) => {
                self.dispatch(to, Event::ExchangeAnswered(decode(&message)));
            }
            Delivery::Poll {
                node,
                backend,
                generation,
            } if self.is_current(node, generation) => {
                self.poll_backend(node, backend);
            }
            _ => {}
        }
    }

    fn handle(&mut self, at: usize, event: Event) -> Vec<Action> {
        let stamp = self.stamp();
        let node = &mut self.nodes[at];
        let mut context = Context {
            now: self.now,
            stamp: Stamp::from_millis(
                stamp
                    .as_millis()
                    .saturating_add_signed(node.clock_offset_ms),
            ),
            rng: &mut node.rng,
        };
        let began = Instant::now();
        let actions = node.roster.handle(&mut context, event);
        node.cpu += began.elapsed();
        actions
    }

    fn carry_out(&mut self, at: usize, actions: Vec<Action>) {
        let generation = self.nodes[at].generation;
        for action in actions {
            match action {
                Action::Answer(_) => {}
                Action::Deliver { fact, .. } => self.delivered.push((at, fact)),
                Action::Exchange { address, summary } => {
                    let message = self.encode(at, &summary);
                    let to = index(&address);
                    if self.is_delivered() {
                        self.schedule(
                            NETWORK_DELAY,
                            Delivery::Call {
                                from: at,
                                to,
                                generation,
                                message,
                            },
                        );
                    }
                }
                Action::ReadList => {
                    self.nodes[at].reads += 1;
                    self.schedule(
                        NETWORK_DELAY * 2,
                        Delivery::List {
                            node: at,
                            generation,
                        },
                    );
                }
                Action::Poll { address, .. } => {
                    let backend = index(&address);
                    self.schedule(
                        NETWORK_DELAY * 2,
                        Delivery::Poll {
                            node: at,
                            backend,
                            generation,
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

    fn is_delivered(&mut self) -> bool {
        self.rng.random_range(0..100) >= self.loss_percent
    }

    fn is_current(&self, node: usize, generation: u32) -> bool {
        self.nodes[node].up && self.nodes[node].generation == generation
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        self.nodes[to].up && self.partitions[from] == self.partitions[to]
    }

    fn schedule(&mut self, after: Duration, delivery: Delivery) {
        self.count += 1;
        self.heap
            .push(Reverse((self.now + after, self.count, delivery)));
    }

    fn schedule_first_tick(&mut self, node: usize) {
        let generation = self.nodes[node].generation;
        let spread = Duration::from_millis((self.rng.next_u32() % 250).into());
        self.schedule(spread, Delivery::Tick { node, generation });
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
            clock_offset_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(self.rng.next_u64()),
            generation: 0,
        }
    }

    fn read_list(&self, list: List) -> Option<Vec<Listing>> {
        match list {
            List::Down => None,
            List::Empty => Some(Vec::new()),
            List::Frozen | List::Stale => Some(self.frozen.clone()),
            List::Live => Some(self.listings()),
        }
    }

    /// Freezes the platform's list in its current state.
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

    /// Returns the true wall-clock time.
    pub fn stamp(&self) -> Stamp {
        Stamp::from_millis(EPOCH_MS + self.now.as_micros() / 1_000)
    }
}

impl Backend {
    fn new(at: usize, domain: usize) -> Self {
        Self {
            incarnation: Incarnation::new(format!("runner-{at:03}"), Stamp::from_millis(EPOCH_MS)),
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

    /// Reports its state and a load that changes with each answer.
    fn status(&mut self, rng: &mut ChaCha8Rng) -> Option<Status> {
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
