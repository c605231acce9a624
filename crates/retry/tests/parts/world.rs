//! Instances, servers and callers in virtual time.

use core::time::Duration;

use base::{Stamp, Tick, clock::Clock};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng as _, SeedableRng},
};
use retry::parts::{Crash, Parts, Report};

const STEP: Duration = Duration::from_millis(20);

/// How long an instance gathers records before it writes them, and the interval at which it reads.
const BATCH_WINDOW: Duration = Duration::from_millis(250);
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// How long a crashed server is away.
const DOWNTIME: Duration = Duration::from_secs(3);

/// The time from the sending of a request to its first event, at least and at most.
const PREFILL: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(800)];

/// How long a sound run writes, at least and at most.
const WRITING: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(4)];

/// How long a run must have written to speak for parts with good runs.
const MIN_WRITING: Duration = Duration::from_secs(1);

/// From the first event to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(60);

/// The crash from which late requests count.
const COUNTED_CRASHES: usize = 5;

/// The requests with a crashing part that may reach servers late.
pub(crate) const MAX_LATE: usize = 3;

/// The number of seeds of each case; `PARTS_SEEDS` sets another one.
pub(crate) const SEEDS: u64 = 2;

/// The first part of all prompts.
pub(crate) const FIRST: u64 = 1;

/// The requests of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) per_second: f64,
    /// The parts that all of them hold.
    pub(crate) parts: Vec<u64>,
    /// The number of parts of which each holds one more, from 1,000 on.
    pub(crate) variants: u64,
    /// From when to when they are sent, in seconds.
    pub(crate) times: [f64; 2],
}

#[derive(Clone, Debug)]
pub(crate) struct Case {
    pub(crate) instances: usize,
    pub(crate) servers: usize,
    pub(crate) loads: Vec<Load>,
    /// The parts that crash servers, and from when on, in seconds.
    pub(crate) crashing: Vec<(u64, f64)>,
    /// When a share of the servers is killed, in seconds.
    pub(crate) kills: Vec<(f64, f64)>,
    /// When an instance starts again without memory, in seconds.
    pub(crate) restarts: Vec<(f64, usize)>,
    /// When the clocks of some instances step, back after a time, in seconds, and by how many milliseconds.
    pub(crate) clock_steps: Vec<([f64; 2], usize, i64)>,
    /// `stabilityWindowMs`.
    pub(crate) window: Duration,
    pub(crate) length_s: f64,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            instances: 6,
            servers: 18,
            loads: vec![
                sound(20.0, 5),
                Load {
                    per_second: 2.0,
                    parts: vec![FIRST, 77],
                    variants: 0,
                    times: [10.0, 60.0],
                },
            ],
            crashing: vec![(77, 0.0)],
            kills: Vec::new(),
            restarts: Vec::new(),
            clock_steps: Vec::new(),
            window: Duration::from_secs(3),
            length_s: 60.0,
        }
    }
}

pub(crate) fn sound(per_second: f64, variants: u64) -> Load {
    Load {
        per_second,
        parts: vec![FIRST],
        variants,
        times: [0.0, f64::MAX],
    }
}

#[derive(Clone, Debug)]
struct Run {
    instance: usize,
    /// The number of the start of its instance.
    process: usize,
    request: u64,
    parts: Vec<u64>,
    sent_at: Tick,
    writes_from: Tick,
    ends_at: Tick,
    is_writing_told: bool,
    crashes: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Server {
    number: u64,
    down_until: Tick,
    runs: Vec<Run>,
}

#[derive(Clone, Debug)]
enum Record {
    Crash(Crash, Duration),
    Report(Report),
}

struct Instance {
    parts: Parts,
    clock: Clock,
    process: usize,
    unwritten: Vec<(Tick, Record)>,
    read_to: usize,
    next_read: Tick,
    next_share: Tick,
    has_read: bool,
}

/// What a case measured.
#[derive(Clone, Debug, Default)]
#[allow(dead_code, reason = "some figures are only printed")]
pub(crate) struct Outcome {
    /// For each crashing part, the requests that were sent to servers late.
    pub(crate) late: Vec<usize>,
    pub(crate) crashes: Vec<usize>,
    pub(crate) sound: usize,
    pub(crate) refused_sound: usize,
    /// Refused sound requests after the first fifth crash and twice the window.
    pub(crate) late_sound: usize,
    pub(crate) late_refused_sound: usize,
    pub(crate) records: usize,
}

pub(crate) struct World {
    case: Case,
    rng: ChaCha8Rng,
    now: Tick,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    log: Vec<(Tick, Record)>,
    next_request: u64,
    /// The crashes of each part, and the times at which requests with it were sent.
    crashed_at: Vec<Vec<Tick>>,
    sent_at: Vec<Vec<Tick>>,
    sound: Vec<(Tick, bool)>,
    /// When each instance last started again; the limits don't hold for the window after that.
    restarted_at: Vec<Tick>,
}

impl World {
    pub(crate) fn new(case: Case, seed: u64) -> Self {
        let instance = |at: usize| Instance {
            parts: Parts::default(),
            clock: Clock::default(),
            process: 0,
            unwritten: Vec::new(),
            read_to: 0,
            next_read: at_ms(at as u64 * 137 % 1_000),
            next_share: at_ms(at as u64 * 211 % 1_000),
            has_read: false,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: at_ms(0),
            instances: (0..case.instances).map(instance).collect(),
            servers: vec![Server::default(); case.servers],
            log: Vec::new(),
            next_request: 10_000,
            crashed_at: vec![Vec::new(); case.crashing.len()],
            sent_at: vec![Vec::new(); case.crashing.len()],
            sound: Vec::new(),
            restarted_at: vec![Tick::default(); case.instances],
            case,
        }
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn between(&mut self, [min, max]: [Duration; 2]) -> Duration {
        min + (max - min).mul_f64(self.draw())
    }

    fn seconds(&self) -> f64 {
        (self.now - at_ms(0)).as_secs_f64()
    }

    pub(crate) fn run(mut self) -> Outcome {
        let end = at_ms(0) + Duration::from_secs_f64(self.case.length_s);
        for instance in 0..self.case.instances {
            self.stamp(instance);
        }
        while self.now < end {
            self.disturb();
            self.arrive();
            self.advance_servers();
            self.exchange();
            self.now = self.now + STEP;
        }
        self.outcome()
    }

    fn disturb(&mut self) {
        let now = self.seconds();
        let is_due = |at: f64| (at..at + STEP.as_secs_f64()).contains(&now);
        for (at, share) in self.case.kills.clone() {
            for server in 0..self.servers.len() {
                if is_due(at) && self.draw() < share {
                    self.crash(server);
                }
            }
        }
        for (at, number) in self.case.restarts.clone() {
            if is_due(at) {
                self.restarted_at[number] = self.now;
                let instance = &mut self.instances[number];
                instance.parts = Parts::default();
                instance.clock = Clock::default();
                instance.process += 1;
                instance.unwritten.clear();
                (instance.read_to, instance.has_read) = (0, false);
                self.stamp(number);
            }
        }
    }

    fn arrive(&mut self) {
        for load in self.case.loads.clone() {
            let is_on = (load.times[0]..load.times[1]).contains(&self.seconds());
            let mut expected = load.per_second * STEP.as_secs_f64();
            while is_on && expected > 0.0 {
                if self.draw() < expected {
                    self.send(&load);
                }
                expected -= 1.0;
            }
        }
    }

    fn send(&mut self, load: &Load) {
        let (now, at) = (
            self.now,
            self.rng.next_u64() as usize % self.instances.len(),
        );
        let mut parts = load.parts.clone();
        if load.variants > 0 {
            parts.push(1_000 + self.rng.next_u64() % load.variants);
        }
        let seconds = self.seconds();
        let crashing = self.case.crashing.iter();
        let mut crashing = crashing
            .zip(0..)
            .filter(|((part, from), _)| parts.contains(part) && seconds >= *from);
        let crashing = crashing.next().map(|(_, index): (_, usize)| index);
        let instance = &mut self.instances[at];
        let harmful = instance.parts.find_harmful(now, &parts);
        let is_sent = harmful.is_none_or(|part| {
            let selected = part as usize % self.case.instances;
            at == selected && instance.parts.take_trial(now, &parts)
        });
        if crashing.is_none() {
            self.sound.push((now, !is_sent));
        }
        let up: Vec<_> = (0..self.servers.len())
            .filter(|server| self.servers[*server].down_until <= now)
            .collect();
        if !is_sent || up.is_empty() {
            return;
        }
        let is_in_touch = now - self.restarted_at[at] >= self.case.window;
        if let Some(index) = crashing.filter(|_| is_in_touch) {
            self.sent_at[index].push(now);
        }
        let process = self.instances[at].process;
        let server = up[self.rng.next_u64() as usize % up.len()];
        let writes_from = now + self.between(PREFILL);
        let ends_at = match crashing {
            Some(_) => writes_from + CRASH_DELAY,
            None => writes_from + self.between(WRITING),
        };
        self.next_request += 1;
        let run = Run {
            instance: at,
            process,
            request: self.next_request,
            parts,
            sent_at: now,
            writes_from,
            ends_at,
            is_writing_told: false,
            crashes: crashing.map(|index| index as u64),
        };
        self.servers[server].runs.push(run);
    }

    fn advance_servers(&mut self) {
        let now = self.now;
        for at in 0..self.servers.len() {
            let crash = self.servers[at]
                .runs
                .iter()
                .find(|run| run.ends_at <= now && run.crashes.is_some());
            if let Some(index) = crash.and_then(|run| run.crashes) {
                self.crashed_at[index as usize].push(now);
                self.crash(at);
                continue;
            }
            let server = &mut self.servers[at];
            let ended: Vec<_> = server
                .runs
                .extract_if(.., |run| run.ends_at <= now)
                .collect();
            for run in ended {
                let instance = &mut self.instances[run.instance];
                if instance.process == run.process {
                    instance.parts.record_run(now, run.sent_at, &run.parts);
                }
            }
            for run in &mut server.runs {
                let instance = &mut self.instances[run.instance];
                if !run.is_writing_told
                    && now - run.writes_from >= MIN_WRITING
                    && instance.process == run.process
                {
                    run.is_writing_told = true;
                    instance.parts.record_writing(now, run.sent_at, &run.parts);
                }
            }
        }
    }

    fn crash(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        server.number += 1;
        let number = server.number;
        server.down_until = now + DOWNTIME;
        for run in core::mem::take(&mut server.runs) {
            let crash = Crash {
                server: format!("i-{at}").into(),
                started_at_ms: number,
                at: self.stamp(run.instance),
                request: run.request,
                parts: run.parts,
                wrote: now - run.writes_from,
            };
            let instance = &mut self.instances[run.instance];
            if instance.process != run.process {
                continue;
            }
            let age = now - run.sent_at;
            instance.parts.record_crash(now, crash.clone(), age, false);
            instance.parts.judge(now);
            instance.unwritten.push((now, Record::Crash(crash, age)));
        }
    }

    /// Returns the time of day at an instance.
    fn stamp(&mut self, instance: usize) -> Stamp {
        let seconds = self.seconds();
        let steps = self.case.clock_steps.iter();
        let steps = steps
            .filter(|(times, at, _)| *at == instance && (times[0]..times[1]).contains(&seconds));
        let error_ms = steps.map(|(_, _, ms)| *ms).sum::<i64>();
        let system = stamp(self.now, instance)
            .as_millis()
            .saturating_add_signed(error_ms);
        let since_boot = self.now - Tick::default();
        let clock = &mut self.instances[instance].clock;
        clock.read(since_boot, Stamp::from_millis(system))
    }

    fn exchange(&mut self) {
        let now = self.now;
        for instance in &mut self.instances {
            if instance.next_share <= now {
                instance.next_share = now + Duration::from_millis(500);
                instance.parts.judge(now);
                let reports = instance.parts.take_reports(now);
                let reports = reports
                    .into_iter()
                    .map(|report| (now, Record::Report(report)));
                instance.unwritten.extend(reports);
            }
            let is_due = |(at, record): &mut (Tick, Record)| match record {
                Record::Crash(..) => now - *at >= BATCH_WINDOW,
                Record::Report(_) => true,
            };
            let written = instance.unwritten.extract_if(.., is_due);
            self.log.extend(written.map(|(_, record)| (now, record)));
        }
        for instance in &mut self.instances {
            if now < instance.next_read {
                continue;
            }
            instance.next_read = now + READ_INTERVAL;
            let is_old = !instance.has_read;
            instance.has_read = true;
            for (_, record) in &self.log[instance.read_to..] {
                match record {
                    Record::Crash(crash, age) => {
                        instance
                            .parts
                            .record_crash(now, crash.clone(), *age, is_old);
                    }
                    Record::Report(report) => {
                        instance.parts.apply(now, *report);
                    }
                }
            }
            instance.read_to = self.log.len();
            instance.parts.judge(now);
        }
    }

    fn outcome(&self) -> Outcome {
        let window = self.case.window;
        let fifths = self
            .crashed_at
            .iter()
            .map(|at| at.get(COUNTED_CRASHES - 1).or(at.last()).copied());
        let fifths: Vec<_> = fifths.collect();
        let late = fifths.iter().zip(&self.sent_at).map(|(fifth, sent)| {
            let is_late = |at: &&Tick| fifth.is_some_and(|fifth| **at > fifth + window);
            sent.iter().filter(is_late).count()
        });
        let from = fifths
            .iter()
            .flatten()
            .min()
            .map_or(at_ms(0), |fifth| *fifth + window * 2);
        let late_sound = self.sound.iter().filter(|(at, _)| *at > from);
        Outcome {
            late: late.collect(),
            crashes: self.crashed_at.iter().map(Vec::len).collect(),
            sound: self.sound.len(),
            refused_sound: self
                .sound
                .iter()
                .filter(|(_, is_refused)| *is_refused)
                .count(),
            late_sound: late_sound.clone().count(),
            late_refused_sound: late_sound.filter(|(_, is_refused)| *is_refused).count(),
            records: self.log.len(),
        }
    }
}

/// Returns what the clock of an instance shows. Clocks differ by up to 60 ms.
pub(crate) fn stamp(now: Tick, instance: usize) -> Stamp {
    let skew = instance as u64 * 23 % 60;
    Stamp::from_millis(1_000_000 + now.as_micros() / 1_000 + skew)
}

/// Ticks start late enough for runs that began before the first one.
pub(crate) fn at_ms(ms: u64) -> Tick {
    Tick::from_millis(100_000 + ms)
}
