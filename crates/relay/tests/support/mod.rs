//! A transport to scripted servers.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use core::{
    cell::{Cell, OnceCell, RefCell},
    time::Duration,
};
use std::{collections::VecDeque, rc::Rc};

use base::{Code, Name, Stamp, Tick};
use batch::{
    Piece, Shard,
    piece::{Handle, Outcome},
};
use bytes::Bytes;
use mesh::{Members, Origin, Peer, origins};
use quota::{Balance, Demand, Statement, Turn, cold::Report};
use relay::{
    Answer, Call, Failure, Hub, Job, Notice, Rate, Reply, Transport,
    call::{Delegated, Grant, Results},
    configs::Config,
    serve::serve,
};
use retry::{parts::Crash, window::Bound};
use site::{
    Pool, Route,
    pool::{Pieces, Work},
    roster::Server,
    route::{Kind, Rank},
};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

/// The scripted reaction of a server to a request.
#[derive(Clone, Debug)]
pub(crate) enum Reaction {
    /// The call fails.
    Fail(Failure),
    /// The call fails after a while.
    FailAfter(Duration, Failure),
    /// The server answers with a status and chunks, the last of which may be a failure.
    Answer(u16, Vec<Result<&'static str, Failure>>),
    /// The server states something about itself, and then reacts in another way.
    Notice {
        /// Whether it is leaving.
        is_leaving: bool,
        /// The pause that it asks for.
        pause: Option<Duration>,
        /// Its reaction.
        then: Box<Reaction>,
    },
    /// The server answers with pauses.
    Slow {
        /// The time until the head arrives.
        head_delay: Duration,
        /// The chunks of an answer with status 200, and the silence before each.
        chunks: Vec<(Duration, Result<&'static str, Failure>)>,
    },
    /// The server sends the halves of the events after the last one that the caller has.
    Events {
        /// The time until the head arrives.
        head_delay: Duration,
        /// The silence before each half of an event; the list has two for each event.
        silences: Vec<Duration>,
    },
    /// The server never answers.
    Hang,
}

/// The halves of the events of [`Reaction::Events`].
pub(crate) const EVENTS: [[&str; 2]; 4] = [
    ["id: 1\nda", "ta: a\n\n"],
    ["id: 2\nda", "ta: b\n\n"],
    ["id: 3\nda", "ta: c\n\n"],
    ["id: 4\nda", "ta: d\n\n"],
];

/// How long a release waits for the answer of a silent server.
pub(crate) const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// The scripted reaction of a stage server to a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StageReaction {
    /// The server is silent for a while, and then answers with results.
    Answer(Duration),
    /// The call fails after a while.
    Fail(Duration, Failure),
    /// The server never answers.
    Hang,
}

/// A request that was sent to a server.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) server: Name,
    pub(crate) last_event: Option<u64>,
    pub(crate) inputs: usize,
    /// The time that the server was told is left.
    pub(crate) time_left: Duration,
}

pub(crate) struct Servers {
    start: Instant,
    pub(crate) reactions: RefCell<VecDeque<Reaction>>,
    pub(crate) sent: RefCell<Vec<Sent>>,
    /// How long other instances take to grant a turn, which they do at once then; without it they don't answer.
    pub(crate) turn_delay: Cell<Option<Duration>>,
    /// The largest number of requests for which they grant turns at a time.
    pub(crate) max_granted: Cell<u32>,
    /// The numbers of requests for which they were asked.
    pub(crate) turn_asks: RefCell<Vec<u32>>,
    /// The failure domains of the instances that were to run pieces.
    pub(crate) delegated: RefCell<Vec<Name>>,
    /// The instances that made the calls of these requests, none for direct ones.
    pub(crate) helpers: RefCell<Vec<Option<Name>>>,
    pub(crate) batch_sizes: RefCell<Vec<usize>>,
    /// When calls were sent to stage servers.
    pub(crate) stage_calls: RefCell<Vec<Tick>>,
    pub(crate) released: RefCell<Vec<Handle>>,
    pub(crate) crashes: RefCell<Vec<(u64, Name)>>,
    pub(crate) notices: RefCell<Vec<Notice>>,
    /// What other instances know of the origins of streams; those that are missing here don't answer.
    pub(crate) origins: RefCell<Vec<(Name, Vec<origins::Record>)>>,
    /// Records of origins that were sent to other instances.
    pub(crate) recorded: RefCell<Vec<(Name, origins::Record)>>,
    /// The pause that a stage server asks for with its next answer, which then refuses the call.
    pub(crate) stage_pause: Cell<Option<Duration>>,
    /// The time that a call to a stage server takes.
    pub(crate) stage_time: Cell<Duration>,
    /// The servers that don't answer releases.
    pub(crate) silent_releases: RefCell<Vec<Name>>,
    /// Whether calls to other instances get no answer; otherwise they fail.
    pub(crate) is_mesh_silent: Cell<bool>,
    /// The reactions of the stage servers to the next calls; without one, they answer after `stage_time`.
    pub(crate) stage_reactions: RefCell<VecDeque<StageReaction>>,
    /// How long servers take to confirm their runs, and what comes of it; the later ones confirm them at once.
    pub(crate) confirmations: RefCell<VecDeque<(Duration, Result<(), Failure>)>>,
    /// The servers that confirmed their runs, and when.
    pub(crate) confirmed: RefCell<Vec<(Name, Tick)>>,
    /// The servers to whose runs connections lead.
    pub(crate) known_runs: RefCell<Vec<Name>>,
    /// How often a connection to the run of a server was searched for.
    pub(crate) searches: Cell<usize>,
    /// How long servers take to state their runs, and what comes of it; the later ones state the listed run at once.
    pub(crate) statements: RefCell<VecDeque<(Duration, Result<u64, Failure>)>>,
    /// The runs that the next answers are known to come from.
    pub(crate) runs: RefCell<VecDeque<u64>>,
    /// The number of questions for runs.
    pub(crate) asked: Cell<usize>,
    /// Whether answers end with their connection.
    pub(crate) is_close_delimited: Cell<bool>,
    /// Whether no connection to any server opens.
    pub(crate) is_cut_off: Cell<bool>,
    /// The number of connections that were opened to check the links.
    pub(crate) probes: Cell<usize>,
    /// Whether the list of servers can't be read.
    pub(crate) is_roster_unreadable: Cell<bool>,
    /// What the next read of the list of servers brings.
    pub(crate) unread: RefCell<Option<Box<dyn FnOnce()>>>,
}

pub(crate) struct Chunks {
    run: Option<u64>,
    status: u16,
    is_close_delimited: bool,
    /// The chunks and when each arrives.
    chunks: VecDeque<(Instant, Result<&'static str, Failure>)>,
}

impl Chunks {
    /// Creates an answer whose head arrives at a time and whose chunks follow after the given silences.
    fn new(
        run: Option<u64>,
        status: u16,
        head_at: Instant,
        chunks: Vec<(Duration, Result<&'static str, Failure>)>,
    ) -> Self {
        let chunks = chunks.into_iter().scan(head_at, |at, (silence, chunk)| {
            *at += silence;
            Some((*at, chunk))
        });
        Self {
            run,
            status,
            is_close_delimited: false,
            chunks: chunks.collect(),
        }
    }
}

impl Reply for Chunks {
    type Head = u16;

    fn head(&self) -> u16 {
        self.status
    }

    fn status(&self) -> u16 {
        self.status
    }

    fn continues(&self, first: &u16) -> bool {
        self.status == *first
    }

    fn run(&self) -> Option<u64> {
        self.run
    }

    fn is_close_delimited(&self) -> bool {
        self.is_close_delimited
    }

    async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        // The server goes on while nobody awaits the chunk.
        if let Some((at, _)) = self.chunks.front()
            && Instant::now() < *at
        {
            time::sleep_until(*at).await;
        }
        match self.chunks.pop_front() {
            Some((_, Ok(text))) => Ok(Some(Bytes::from_static(text.as_bytes()))),
            Some((_, Err(failure))) => Err(failure),
            None => Ok(None),
        }
    }
}

impl Servers {
    fn state_notice(&self, server: &Server, is_leaving: bool, pause: Option<Duration>) {
        self.notices.borrow_mut().push(Notice {
            server: server.id.clone(),
            started_at_ms: server.started_at_ms,
            sent_at: self.now(),
            received_at: self.now(),
            is_direct: true,
            is_leaving,
            pause,
            rate: Rate::Unclear,
            brittle: Rate::Unclear,
            cold_left: None,
            slowness: None,
        });
    }
}

impl Transport for Servers {
    type Reply = Chunks;
    type Request = ();

    fn now(&self) -> Tick {
        Tick::from_millis(1_000) + self.start.elapsed()
    }

    fn time_of_day(&self) -> Stamp {
        Stamp::from_millis(self.now().as_micros() / 1_000)
    }

    fn take_notices(&self) -> Vec<Notice> {
        core::mem::take(&mut *self.notices.borrow_mut())
    }

    async fn ask_run(&self, server: &Server, _: usize, _: usize) -> Result<u64, Failure> {
        self.asked.set(self.asked.get() + 1);
        let statement = self.statements.borrow_mut().pop_front();
        match statement {
            Some((delay, result)) => {
                time::sleep(delay).await;
                result
            }
            None => Ok(server.started_at_ms),
        }
    }

    fn leads_to_run(&self, server: &Server) -> bool {
        self.searches.set(self.searches.get() + 1);
        let is_known = self.known_runs.borrow().contains(&server.id);
        if is_known {
            let confirmed = (server.id.clone(), self.now());
            self.confirmed.borrow_mut().push(confirmed);
        }
        is_known
    }

    async fn confirm_run(&self, server: &Server, _: usize, _: usize) -> Result<(), Failure> {
        let confirmation = self.confirmations.borrow_mut().pop_front();
        if let Some((delay, result)) = confirmation {
            time::sleep(delay).await;
            result?;
        }
        let confirmed = (server.id.clone(), self.now());
        self.confirmed.borrow_mut().push(confirmed);
        Ok(())
    }

    async fn probe(&self, _: &Server) -> bool {
        self.probes.set(self.probes.get() + 1);
        !self.is_cut_off.get()
    }

    fn close_idle(&self) {}

    async fn ask_turn(
        &self,
        _: &Peer,
        _: &Statement,
        _: Option<Balance>,
        demand: Demand,
    ) -> Result<Grant, Failure> {
        let delay = self.turn_delay.get().ok_or(Failure::Unreachable)?;
        self.turn_asks.borrow_mut().push(demand.requests);
        time::sleep(delay).await;
        let turn = Turn::Granted {
            requests: demand.requests.min(self.max_granted.get()),
            wait: Duration::ZERO,
            next_in: Duration::ZERO,
        };
        Ok(Grant {
            turn,
            statement: None,
            balance: None,
        })
    }

    async fn ask_cold_turn(&self, _: &Peer, _: Report, _: Demand) -> Result<Turn, Failure> {
        Err(Failure::Unreachable)
    }

    fn end_turn(&self, _: Peer, _: Name, _: bool) {}

    async fn send(&self, (): &(), call: Call) -> Result<Chunks, Failure> {
        let confirmed = (call.server.id.clone(), self.now());
        assert!(!call.is_bound || self.confirmed.borrow().contains(&confirmed));
        self.sent.borrow_mut().push(Sent {
            server: call.server.id.clone(),
            last_event: call.last_event,
            inputs: call.inputs.len(),
            time_left: call.time_left,
        });
        let helper = call.helper.as_ref().map(|helper| helper.name.clone());
        self.helpers.borrow_mut().push(helper);
        let sent_at = Instant::now();
        let run = self.runs.borrow_mut().pop_front();
        let mut reaction = self.reactions.borrow_mut().pop_front();
        if let Some(Reaction::Notice {
            is_leaving,
            pause,
            then,
        }) = reaction
        {
            self.state_notice(&call.server, is_leaving, pause);
            reaction = Some(*then);
        }
        match reaction {
            Some(Reaction::Fail(failure)) => Err(failure),
            Some(Reaction::FailAfter(delay, failure)) => {
                time::sleep(delay).await;
                Err(failure)
            }
            Some(Reaction::Answer(status, chunks)) => {
                let chunks = chunks.into_iter().map(|chunk| (Duration::ZERO, chunk));
                Ok(Chunks {
                    is_close_delimited: self.is_close_delimited.get(),
                    ..Chunks::new(run, status, sent_at, chunks.collect())
                })
            }
            Some(Reaction::Slow { head_delay, chunks }) => {
                time::sleep(head_delay).await;
                Ok(Chunks::new(run, 200, sent_at + head_delay, chunks))
            }
            Some(Reaction::Events {
                head_delay,
                silences,
            }) => {
                time::sleep(head_delay).await;
                let first = usize::try_from(call.last_event.unwrap_or(0)).unwrap_or(usize::MAX);
                let halves = EVENTS.as_flattened().iter().zip(silences).skip(2 * first);
                let chunks = halves.map(|(half, silence)| (silence, Ok(*half)));
                Ok(Chunks::new(
                    run,
                    200,
                    sent_at + head_delay,
                    chunks.collect(),
                ))
            }
            Some(Reaction::Hang | Reaction::Notice { .. }) | None => core::future::pending().await,
        }
    }

    async fn run_pieces(
        &self,
        server: &Server,
        pieces: &[Piece],
        timeout: Duration,
    ) -> Result<Results, Failure> {
        self.stage_calls.borrow_mut().push(self.now());
        if let Some(pause) = self.stage_pause.take() {
            self.state_notice(server, false, Some(pause));
            return Err(Failure::Full);
        }
        self.batch_sizes.borrow_mut().push(pieces.len());
        let number = self.batch_sizes.borrow().len();
        let reaction = self.stage_reactions.borrow_mut().pop_front();
        let (delay, failure) = match reaction {
            Some(StageReaction::Answer(delay)) => (delay, None),
            Some(StageReaction::Fail(delay, failure)) => (delay, Some(failure)),
            Some(StageReaction::Hang) => (Duration::MAX, None),
            None => (self.stage_time.get(), None),
        };
        time::timeout(timeout, time::sleep(delay))
            .await
            .map_err(|_| Failure::TimedOut)?;
        if let Some(failure) = failure {
            return Err(failure);
        }
        let outcomes = pieces.iter().map(|piece| {
            Outcome::Result(Handle {
                maker: Some(server.incarnation()),
                text: format!(
                    "{}-{}-{}-{number}",
                    piece.request, piece.stage, piece.number
                )
                .into(),
            })
        });
        Ok(Results {
            outcomes: outcomes.collect(),
            load: None,
        })
    }

    async fn delegate(&self, owner: &Peer, _: &Shard, _: &[Piece]) -> Result<Delegated, Failure> {
        self.delegated.borrow_mut().push(owner.domain.clone());
        if self.is_mesh_silent.get() {
            core::future::pending::<()>().await;
        }
        Err(Failure::Unreachable)
    }

    async fn delegate_release(&self, _: &Peer, _: &[Handle]) -> Result<(), Failure> {
        Err(Failure::Unreachable)
    }

    async fn release(&self, server: &Server, handles: Vec<Handle>) {
        if self.silent_releases.borrow().contains(&server.id) {
            time::sleep(RELEASE_TIMEOUT).await;
            return;
        }
        self.released.borrow_mut().extend(handles);
    }

    fn report_crash(&self, digest: u64, crash: &Crash, _: Duration) {
        self.crashes
            .borrow_mut()
            .push((digest, crash.server.clone()));
    }

    fn record_origin(&self, holders: Vec<Peer>, record: origins::Record) {
        let holders = holders.into_iter();
        let records = holders.map(|holder| (holder.name, record.clone()));
        self.recorded.borrow_mut().extend(records);
    }

    async fn read_roster(&self) -> bool {
        time::sleep(Duration::from_millis(5)).await;
        if let Some(change) = self.unread.take() {
            change();
        }
        !self.is_roster_unreadable.get()
    }

    async fn find_origin(
        &self,
        peer: &Peer,
        stream: &Name,
        _: Duration,
    ) -> Result<Option<Origin>, Failure> {
        time::sleep(Duration::from_millis(5)).await;
        let known = self.origins.borrow();
        let known = known.iter().find(|(name, _)| *name == peer.name);
        let (_, records) = known.ok_or(Failure::Unreachable)?;
        let record = records.iter().find(|record| record.stream == *stream);
        Ok(record.map(|record| record.origin.clone()))
    }
}

fn local_peer() -> Peer {
    Peer {
        name: "own".into(),
        address: "10.0.0.1:7740".parse().unwrap(),
        domain: "a".into(),
        capacity: 250,
    }
}

/// Creates a hub with three servers of the pool `engines` and one of the pool `stages`.
pub(crate) fn hub(reactions: Vec<Reaction>) -> Rc<Hub<Servers>> {
    let servers = Servers {
        start: Instant::now(),
        reactions: RefCell::new(reactions.into()),
        sent: RefCell::default(),
        turn_delay: Cell::default(),
        max_granted: Cell::new(u32::MAX),
        turn_asks: RefCell::default(),
        delegated: RefCell::default(),
        helpers: RefCell::default(),
        batch_sizes: RefCell::default(),
        stage_calls: RefCell::default(),
        released: RefCell::default(),
        crashes: RefCell::default(),
        notices: RefCell::default(),
        origins: RefCell::default(),
        recorded: RefCell::default(),
        stage_pause: Cell::default(),
        stage_time: Cell::new(Duration::from_millis(5)),
        silent_releases: RefCell::default(),
        is_mesh_silent: Cell::default(),
        stage_reactions: RefCell::default(),
        confirmations: RefCell::default(),
        confirmed: RefCell::default(),
        known_runs: RefCell::default(),
        searches: Cell::default(),
        statements: RefCell::default(),
        runs: RefCell::default(),
        asked: Cell::default(),
        is_close_delimited: Cell::default(),
        is_cut_off: Cell::default(),
        probes: Cell::default(),
        is_roster_unreadable: Cell::default(),
        unread: RefCell::default(),
    };
    let bound = Bound {
        ratio: 0.2,
        slack: 52.0,
        span: Duration::from_secs(10),
    };
    let members = Members::new(mesh::Config::default(), local_peer());
    let hub = Hub::new(servers, "a".into(), members, bound, Config::default(), 1);
    let pieces = Pieces {
        slots: 1,
        queue: 2,
        max_batch: 8,
        call_time: Duration::from_millis(5),
        piece_time: Duration::from_millis(1),
        memory_bytes: 1_000_000,
        result_ttl: Duration::from_secs(4),
    };
    let pools = vec![
        Pool {
            name: "engines".into(),
            max_connections: 8,
            work: Work::Plain,
            cold: None,
        },
        Pool {
            name: "stages".into(),
            max_connections: 8,
            work: Work::Pieces(pieces),
            cold: None,
        },
    ];
    let now = hub.transport.now();
    hub.with(|state| {
        state.roster.record_read(now);
        state.config = Some(Rc::new(site::Config::new(1, Vec::new(), pools, None)));
        for (at, pool) in ["engines", "engines", "engines", "stages"]
            .iter()
            .enumerate()
        {
            state.roster.insert(
                Server {
                    id: format!("i-{at}").into(),
                    pool: (*pool).into(),
                    address: format!("10.0.0.{at}:80").parse().unwrap(),
                    domain: "a".into(),
                    slots: 6,
                    leaving: false,
                    started_at_ms: 0,
                    version: Some("v1".into()),
                },
                1,
            );
        }
    });
    hub
}

/// Returns a request of a route of the given kind that may be sent to two servers.
pub(crate) fn job(
    hub: &Rc<Hub<Servers>>,
    kind: Kind,
    configure: impl FnOnce(&mut Route),
) -> Rc<Job<()>> {
    let mut route = Route {
        name: "route".into(),
        kind,
        resumable: true,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(100),
        max_event_gap: Duration::from_millis(50),
        pools: vec![("engines".into(), 1)],
        max_attempts: 2,
        ..Route::default()
    };
    configure(&mut route);
    let now = hub.transport.now();
    Rc::new(Job {
        id: "r-1".into(),
        route: Rc::new(route),
        config_version: 1,
        reach: None,
        account: None,
        rank: Rank::default(),
        arrived_at: now,
        deadline: now + Duration::from_millis(900),
        digest: 7,
        body_bytes: 0,
        prompt: None,
        pieces: vec![2, 3],
        piece_key: "key".into(),
        last_event: None,
        resumption: None,
        origin: OnceCell::new(),
        waited: Cell::default(),
        origin_check: watch::Sender::default(),
        request: Rc::new(()),
    })
}

/// Returns a request with a deadline of 8 s, an objective of 1 s and event gaps of 200 ms.
pub(crate) fn patient_job(
    hub: &Rc<Hub<Servers>>,
    kind: Kind,
    configure: impl FnOnce(&mut Route),
) -> Rc<Job<()>> {
    let job = job(hub, kind, |route| {
        route.timeout = Duration::from_secs(8);
        route.objective = Duration::from_secs(1);
        route.max_event_gap = Duration::from_millis(200);
        configure(route);
    });
    Rc::new(Job {
        deadline: job.arrived_at + job.route.timeout,
        ..Job::clone(&job)
    })
}

/// Returns the whole answer, or the code and the text with which it ended early.
pub(crate) async fn text_of(
    hub: &Rc<Hub<Servers>>,
    job: Rc<Job<()>>,
) -> Result<String, (Code, String)> {
    match serve(hub, job).await {
        Ok(Answer::Whole { body, .. }) => Ok(String::from_utf8_lossy(&body).into_owned()),
        Ok(Answer::Stream { mut body, .. }) => {
            let mut text = String::new();
            loop {
                match body.next().await {
                    Ok(Some(bytes)) => text.push_str(&String::from_utf8_lossy(&bytes)),
                    Ok(None) => return Ok(text),
                    Err(_) => return Err((Code::StreamCut, text)),
                }
            }
        }
        Err(refusal) => Err((refusal.code, String::new())),
    }
}

/// Spends the whole retry budget of a pool.
pub(crate) fn spend_budget(hub: &Hub<Servers>, pool: &str) {
    let (now, pool) = (hub.transport.now(), pool.into());
    hub.with(|state| {
        let count = state.members.count();
        while state.retry_window.try_retry(now, &pool, count) {}
    });
}
