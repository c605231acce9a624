//! Virtual time: callers, entry instances and fakes of backend servers, moved by events.

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
    call::{Call, Flight},
    fake::Server,
    policy::Policy,
    size::Size,
    tally::{Job, Sample, Tally},
    trace::Trace,
};

/// One way between a caller and an instance, in microseconds.
const CALLER_HOP: u64 = 1_000;
/// One way within a failure domain, in microseconds.
const LOCAL_HOP: u64 = 100;
/// One way between failure domains, in microseconds.
const REMOTE_HOP: u64 = 500;
/// Time after which a connection attempt into silence is given up, in microseconds.
const CONNECT_TIMEOUT: u64 = 250_000;
/// Time after which a silent attempt is given up, in microseconds.
const SILENCE: u64 = 1_000_000;
/// Time that runs on after the last request, in microseconds.
const DRAIN: u64 = 30_000_000;

/// Something that happens at an instant.
#[derive(Clone, Debug)]
enum Event {
    /// A caller submits a request.
    Submit { job: usize },
    /// A submission reaches an instance.
    Offer { job: usize, instance: usize },
    /// An attempt reaches its server.
    Receive { flight: usize },
    /// A server ends an attempt.
    Done {
        server: usize,
        life: u32,
        flight: usize,
    },
    /// A server dies of what it runs.
    Crash { server: usize, life: u32 },
    /// A server begins a new life.
    Restart { server: usize, life: u32 },
    /// An answer reaches the instance.
    Answer { flight: usize },
    /// An instance learns that an attempt failed.
    Fail { flight: usize, kind: route::Failure },
    /// A call tries its stage again.
    Again { call: usize },
    /// The deadline of a call passes.
    Deadline { call: usize },
    /// A disturbance begins or ends.
    Fault { begins: bool },
    /// Instances do what they do at intervals.
    Step,
    /// Instances take the list of servers.
    List,
    /// Servers report their load.
    Report,
    /// A second's sample of the main pool is taken.
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

/// A trace under a policy.
pub struct World<'a> {
    size: &'a Size,
    trace: &'a Trace,
    policy: Policy,
    rng: ChaCha8Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    /// Events by number; taken out when they happen.
    pending: Vec<Option<Event>>,
    agents: Vec<Agent>,
    servers: Vec<Server>,
    /// The list of servers as of the last refresh.
    listed: Vec<Vec<crate::agent::Member>>,
    calls: Vec<Call>,
    flights: Vec<Flight>,
    jobs: Vec<Job>,
    work: Vec<f64>,
    /// Attempts begun at the main pool, and how many of them found their prefix cached.
    begun: u64,
    hits: u64,
    messages: u64,
    bytes: u64,
    samples: Vec<Sample>,
}

impl<'a> World<'a> {
    /// Sets a world up.
    pub fn new(size: &'a Size, trace: &'a Trace, policy: Policy, seed: u64) -> Self {
        let servers = servers(size);
        let agents = (0..size.instances)
            .map(|at| Agent::new(size, at % size.domains, servers.len()))
            .collect();
        let mut world = Self {
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
            flights: Vec::new(),
            jobs: vec![Job::default(); trace.requests.len()],
            work: vec![0.0; size.pools.len()],
            begun: 0,
            hits: 0,
            messages: 0,
            bytes: 0,
            samples: Vec::new(),
        };
        world.begin();
        world
    }

    /// Runs the trace and what is left of it.
    pub fn run(mut self) -> Tally {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > self.trace.horizon + DRAIN {
                break;
            }
            self.now = at;
            if let Some(event) = self.pending[number as usize].take() {
                self.on(event);
            }
        }
        let name = self.policy.name;
        let mut tally = Tally::new(self.size, self.trace, name, &self.jobs, self.work);
        tally.hits = self.hits as f64 / (self.begun.max(1) as f64);
        tally.messages = self.messages;
        tally.bytes = self.bytes;
        tally.samples = self.samples;
        tally
    }

    fn begin(&mut self) {
        self.listed = self.members();
        self.list();
        for (job, request) in self.trace.requests.iter().enumerate() {
            self.at(request.at, Event::Submit { job });
        }
        self.at(self.trace.begin, Event::Fault { begins: true });
        self.at(self.trace.end, Event::Fault { begins: false });
        self.at(0, Event::Step);
        self.at(0, Event::List);
        self.at(0, Event::Report);
        self.at(0, Event::Sample);
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Submit { job } => self.submit(job),
            Event::Offer { job, instance } => self.offer(job, instance),
            Event::Receive { flight } => self.receive(flight),
            Event::Done {
                server,
                life,
                flight,
            } => self.done(server, life, flight),
            Event::Crash { server, life } => self.crash(server, life),
            Event::Restart { server, life } => self.restart(server, life),
            Event::Answer { flight } => self.answer(flight),
            Event::Fail { flight, kind } => self.fail(flight, kind),
            Event::Again { call } => self.again(call),
            Event::Deadline { call } => self.deadline(call),
            Event::Fault { begins } => self.fault(begins),
            Event::Step => self.step(),
            Event::List => self.refresh_list(),
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

    fn at(&mut self, at: u64, event: Event) {
        let number = self.pending.len() as u64;
        self.pending.push(Some(event));
        self.events.push(Reverse((at, number)));
    }

    fn after(&mut self, span: u64, event: Event) {
        self.at(self.now + span, event);
    }

    const fn tick(&self) -> Tick {
        Tick::from_micros(self.now)
    }

    fn hop(&self, instance: usize, server: usize) -> u64 {
        if self.agents[instance].domain_at == self.servers[server].domain {
            LOCAL_HOP
        } else {
            REMOTE_HOP
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
