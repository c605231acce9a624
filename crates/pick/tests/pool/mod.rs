//! A simulated pool of engines in virtual time, with several instances that choose.

use core::{cmp::Reverse, time::Duration};
use std::{collections::BinaryHeap, rc::Rc};

use base::{Name, Tick};
use pick::{
    Fleet,
    engine::{self, Affinity, Part, Prompt},
    fleet::Completion,
    plain,
    speed::Reading,
};
use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use site::roster::Server;

/// The rate of the engines of one of the deployments, in prompt tokens per millisecond.
pub(crate) const RATE: f64 = 38.0;

/// The time between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// The tokens of the shortest and the longest prompt.
const PROMPTS: (u64, u64) = (1_000, 7_000);

/// The load and the engines.
#[derive(Clone)]
pub(crate) struct Scenario {
    /// The speed of each engine at a time, relative to `RATE`.
    pub(crate) speed: fn(usize, Tick) -> f64,
    /// The momentary figure that an engine states in its answers.
    pub(crate) figure: fn(usize, Tick) -> Option<u32>,
    pub(crate) engines: usize,
    pub(crate) instances: usize,
    /// The sum of the speeds of all engines.
    pub(crate) total_speed: f64,
    pub(crate) utilization: f64,
    pub(crate) seconds: u64,
    /// Whether the instances measure speeds.
    pub(crate) learns: bool,
}

/// The times to the first token in milliseconds in ascending order, and the requests of each engine.
pub(crate) struct Outcome {
    pub(crate) waits: Vec<f64>,
    pub(crate) counts: Vec<usize>,
    pub(crate) fleets: Vec<Fleet>,
}

impl Outcome {
    pub(crate) fn mean(&self) -> f64 {
        self.waits.iter().sum::<f64>() / self.waits.len() as f64
    }

    pub(crate) fn percentile(&self, share: f64) -> f64 {
        self.waits[(self.waits.len() as f64 * share) as usize]
    }
}

pub(crate) fn server(at: usize) -> Rc<Server> {
    Rc::new(Server {
        id: format!("i-{at}").into(),
        pool: "engines".into(),
        address: format!("10.0.{}.{}:80", at / 250, at % 250)
            .parse()
            .unwrap(),
        domain: "a".into(),
        slots: 64,
        leaving: false,
        started_at_ms: 1,
        version: None,
    })
}

pub(crate) fn prompt(id: u64, tokens: u64) -> Prompt {
    Prompt {
        parts: vec![Part { id, tokens }],
        input_tokens: tokens,
        max_output_tokens: 60,
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Heartbeat,
    Arrival,
    FirstToken { call: usize },
}

struct Call {
    instance: usize,
    engine: usize,
    tokens: u64,
    reading: Option<Reading>,
    sent_at: Tick,
}

/// Runs a scenario; the first third is not measured.
pub(crate) fn run(scenario: &Scenario, seed: u64) -> Outcome {
    let servers: Vec<_> = (0..scenario.engines).map(server).collect();
    let listed: Vec<_> = servers.iter().collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleets = vec![Fleet::default(); scenario.instances];
    let mut free_at = vec![Tick::default(); servers.len()];
    let mut calls: Vec<Call> = Vec::new();
    let mut outcome = Outcome {
        waits: Vec::new(),
        counts: vec![0; servers.len()],
        fleets: Vec::new(),
    };
    let mean_tokens = (PROMPTS.0 + PROMPTS.1) as f64 / 2.0;
    let gap_ms = mean_tokens / (RATE * scenario.total_speed * scenario.utilization);
    let end = Tick::from_millis(scenario.seconds * 1_000);
    let measured = Tick::from_millis(scenario.seconds * 1_000 / 3);
    let mut events = BinaryHeap::from([
        Reverse((Tick::from_millis(1_000), Event::Arrival)),
        Reverse((Tick::from_millis(1_000), Event::Heartbeat)),
    ]);
    while let Some(Reverse((now, event))) = events.pop() {
        if end < now {
            break;
        }
        match event {
            Event::Heartbeat => {
                exchange(now, &mut fleets);
                events.push(Reverse((now + HEARTBEAT, Event::Heartbeat)));
            }
            Event::Arrival => {
                let next = -gap_ms * (1.0 - rng.random::<f64>()).ln();
                let next = now + Duration::from_secs_f64(next / 1e3);
                events.push(Reverse((next, Event::Arrival)));
                let instance = rng.random_range(0..fleets.len());
                let tokens = rng.random_range(PROMPTS.0..PROMPTS.1);
                let fleet = &mut fleets[instance];
                let prompt = prompt(rng.random(), tokens);
                let mut cx = plain::Context {
                    now,
                    domain: &Name::from("a"),
                    tried: &[],
                    rng: &mut rng,
                };
                let affinity = Affinity {
                    domain: None,
                    penalty_ms: 0.0,
                };
                let choice = engine::choose(fleet, &mut cx, &prompt, affinity, &listed).unwrap();
                let engine = servers
                    .iter()
                    .position(|server| server.id == choice.server.id)
                    .unwrap();
                let server = &servers[engine];
                let reading = scenario
                    .learns
                    .then(|| fleet.record_prompt_sent(now, server, tokens));
                fleet.record_start(now, &server.id, tokens);
                let start = free_at[engine].max(now);
                let ms = (10.0 + tokens as f64 / RATE) / (scenario.speed)(engine, start);
                free_at[engine] = start + Duration::from_secs_f64(ms / 1e3);
                let call = calls.len();
                calls.push(Call {
                    instance,
                    engine,
                    tokens,
                    reading,
                    sent_at: now,
                });
                events.push(Reverse((free_at[engine], Event::FirstToken { call })));
            }
            Event::FirstToken { call } => {
                let call = &calls[call];
                let (fleet, server) = (&mut fleets[call.instance], &servers[call.engine]);
                let figure = (scenario.figure)(call.engine, now);
                if let (Some(reading), figure) = (call.reading, figure) {
                    if let Some(percent) = figure {
                        let speeds = &mut fleet.speeds;
                        speeds.record_momentary(now, &server.id, server.started_at_ms, percent);
                    }
                    fleet.record_first_event(now, server, reading);
                }
                let latency = now - call.sent_at;
                fleet.record_prompt_read(now, &server.id, call.tokens);
                fleet.record_completion(now, &server.id, Completion::Answered { latency });
                if measured <= call.sent_at {
                    outcome.waits.push(latency.as_secs_f64() * 1e3);
                    outcome.counts[call.engine] += 1;
                }
            }
        }
    }
    outcome.waits.sort_by(f64::total_cmp);
    outcome.fleets = fleets;
    outcome
}

/// Passes loads and changed speeds between all instances.
fn exchange(now: Tick, fleets: &mut [Fleet]) {
    let told: Vec<_> = fleets
        .iter()
        .map(|fleet| (fleet.local_loads(), fleet.speeds.changed(now)))
        .collect();
    for (to, fleet) in fleets.iter_mut().enumerate() {
        for (from, (loads, speeds)) in told.iter().enumerate().filter(|(from, _)| *from != to) {
            fleet.record_peer_loads(now, &format!("n-{from}").into(), loads.clone());
            for speed in speeds {
                fleet.speeds.record_told(now, speed);
            }
        }
    }
}
