//! Discrete-event simulation of callers, entry instances and fake backend servers.

mod callers;
mod control;
mod faults;
mod instances;
mod sample;
mod servers;

use std::{cmp::Reverse, collections::BinaryHeap};

use base::{Incarnation, Tick};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use crate::{
    agent::Agent,
    call::{Call, Dispatch},
    fake::Server,
    policy::Policy,
    size::Size,
    tally::{Job, Sample, Tally},
    trace::Trace,
};

/// One-way latency between a caller and an instance.
const CALLER_HOP_MICROS: u64 = 1_000;
/// One-way latency within a failure domain.
const LOCAL_HOP_MICROS: u64 = 100;
/// One-way latency between failure domains.
const REMOTE_HOP_MICROS: u64 = 500;
/// Timeout of a connection attempt that gets no reply.
const CONNECT_TIMEOUT_MICROS: u64 = 250_000;
/// Time after which an attempt without any reply fails.
const ATTEMPT_TIMEOUT_MICROS: u64 = 1_000_000;
/// Simulated time after the last request.
const DRAIN_MICROS: u64 = 30_000_000;

/// An event at one point of virtual time.
#[derive(Clone, Debug)]
enum Event {
    /// A caller submits a request.
    Submit { job: usize },
    /// A submission arrives at an instance.
    Arrive { job: usize, instance: usize },
    /// An attempt reaches its server.
    Receive { dispatch: usize },
    /// A server completes an attempt.
    Done {
        server: usize,
        generation: u32,
        dispatch: usize,
    },
    /// A server crashes because of a request that it runs.
    Crash { server: usize, generation: u32 },
    /// A crashed server restarts.
    Restart { server: usize, generation: u32 },
    /// An answer arrives at the instance.
    Answer { dispatch: usize },
    /// An instance learns that an attempt failed.
    Fail {
        dispatch: usize,
        kind: route::Failure,
    },
    /// A call retries its current stage.
    Retry { call: usize },
    /// The deadline of a call passes.
    Deadline { call: usize },
    /// A disturbance begins or ends.
    Fault { begins: bool },
    /// Instances run their periodic work.
    Tick,
    /// Instances refresh their list of servers.
    RefreshList,
    /// Servers report their load.
    Report,
    /// The main pool is sampled.
    Sample,
    /// A load report reaches the instances.
    Load {
        server: usize,
        incarnation: Incarnation,
        running: u32,
        waiting: u32,
    },
    /// A cache event reaches the instances.
    Cache {
        incarnation: Incarnation,
        seq: u64,
        change: route::cache::Change,
    },
}

/// A simulation of one trace under one policy.
pub struct Simulation<'a> {
    size: &'a Size,
    trace: &'a Trace,
    policy: Policy,
    rng: ChaCha8Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events by number; each is removed when it is handled.
    pending: Vec<Option<Event>>,
    agents: Vec<Agent>,
    servers: Vec<Server>,
    /// The list of servers as of the last refresh.
    listed: Vec<Vec<crate::agent::Member>>,
    calls: Vec<Call>,
    dispatches: Vec<Dispatch>,
    jobs: Vec<Job>,
    work: Vec<f64>,
    /// Attempts started at the main pool, and how many of them found their prefix cached.
    main_attempts: u64,
    hits: u64,
    messages: u64,
    bytes: u64,
    samples: Vec<Sample>,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation with its initial events.
    pub fn new(size: &'a Size, trace: &'a Trace, policy: Policy, seed: u64) -> Self {
        let servers = servers(size);
        let agents = (0..size.instances)
            .map(|at| Agent::new(size, at % size.domains, servers.len()))
            .collect();
        let mut simulation = Self {
            size,
            trace,
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            pending: Vec::new(),
            agents,
            servers,
            listed: Vec::new(),
            calls: Vec::new(),
            dispatches: Vec::new(),
            jobs: vec![Job::default(); trace.requests.len()],
            work: vec![0.0; size.pools.len()],
            main_attempts: 0,
            hits: 0,
            messages: 0,
            bytes: 0,
            samples: Vec::new(),
        };
        simulation.schedule_initial();
        simulation
    }

    /// Runs the trace until no events are left or the drain time is over.
    pub fn run(mut self) -> Tally {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > self.trace.horizon + DRAIN_MICROS {
                break;
            }
            self.now = at;
            if let Some(event) = self.pending[number as usize].take() {
                self.handle(event);
            }
        }
        let name = self.policy.name;
        let mut tally = Tally::new(self.size, self.trace, name, &self.jobs, self.work);
        tally.hits = self.hits as f64 / (self.main_attempts.max(1) as f64);
        tally.messages = self.messages;
        tally.bytes = self.bytes;
        tally.samples = self.samples;
        tally
    }

    fn schedule_initial(&mut self) {
        self.listed = self.members();
        self.list();
        for (job, request) in self.trace.requests.iter().enumerate() {
            self.schedule_at(request.at, Event::Submit { job });
        }
        self.schedule_at(self.trace.begin, Event::Fault { begins: true });
        self.schedule_at(self.trace.end, Event::Fault { begins: false });
        self.schedule_at(0, Event::Tick);
        self.schedule_at(0, Event::RefreshList);
        self.schedule_at(0, Event::Report);
        self.schedule_at(0, Event::Sample);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit { job } => self.submit(job),
            Event::Arrive { job, instance } => self.arrive(job, instance),
            Event::Receive { dispatch } => self.receive(dispatch),
            Event::Done {
                server,
                generation,
                dispatch,
            } => self.done(server, generation, dispatch),
            Event::Crash { server, generation } => self.crash(server, generation),
            Event::Restart { server, generation } => self.restart(server, generation),
            Event::Answer { dispatch } => self.answer(dispatch),
            Event::Fail { dispatch, kind } => self.fail(dispatch, kind),
            Event::Retry { call } => self.resume_retry(call),
            Event::Deadline { call } => self.deadline(call),
            Event::Fault { begins } => self.fault(begins),
            Event::Tick => self.step(),
            Event::RefreshList => self.refresh_list(),
            Event::Report => self.report(),
            Event::Sample => self.sample(),
            Event::Load {
                server,
                incarnation,
                running,
                waiting,
            } => self.load(server, &incarnation, running, waiting),
            Event::Cache {
                incarnation,
                seq,
                change,
            } => self.cache(&incarnation, seq, change),
        }
    }

    fn schedule_at(&mut self, at: u64, event: Event) {
        let number = self.pending.len() as u64;
        self.pending.push(Some(event));
        self.events.push(Reverse((at, number)));
    }

    fn schedule_after(&mut self, span: u64, event: Event) {
        self.schedule_at(self.now + span, event);
    }

    const fn tick(&self) -> Tick {
        Tick::from_micros(self.now)
    }

    fn hop_latency(&self, instance: usize, server: usize) -> u64 {
        if self.agents[instance].domain_at == self.servers[server].domain {
            LOCAL_HOP_MICROS
        } else {
            REMOTE_HOP_MICROS
        }
    }
}

fn servers(size: &Size) -> Vec<Server> {
    let mut servers = Vec::new();
    for (at, pool) in size.pools.iter().enumerate() {
        for number in 0..pool.servers {
            servers.push(Server::new(at, pool, number, number % size.domains));
        }
    }
    servers
}
