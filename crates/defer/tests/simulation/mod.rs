//! Simulates a log with a retention, and instances that store and run tasks through it.

use core::time::Duration;

use base::{Code, Digest, Incarnation, Key, Outcome, Stamp, Tick};
use defer::{
    Projection, Record, Scheduler, State, Task,
    configs::Config,
    projection::Ended,
    record::{Ending, Request},
    scheduler::{Action, Context},
};

pub(crate) const INSTANCES: usize = 3;

/// Seconds between two ticks of an instance.
const TICK_SECONDS: u64 = 5;
/// Faults occur in the first seconds of each period; in the rest records are carried within the retention.
const PERIOD_SECONDS: u64 = 120;
const FAULTY_SECONDS: u64 = 80;
const RETENTION_SECONDS: u64 = 300;

/// The outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    Duplicated,
    Delayed(u64),
    Lost,
    Written,
}

struct Instance {
    projection: Projection,
    jobs: Vec<(u64, Request)>,
    name: Incarnation,
    scheduler: Scheduler,
    is_paused: bool,
    member_mask: Option<u8>,
}

/// A task that a caller knows to be stored.
struct Promise {
    body: Digest,
    deadline: Stamp,
    ending: Option<(Code, String)>,
    task: Task,
}

pub(crate) struct Simulation {
    instances: Vec<Instance>,
    late: Vec<(u64, String)>,
    log: Vec<(u64, u64, String)>,
    next: u64,
    now: u64,
    promises: Vec<Promise>,
    runs: u64,
}

fn config() -> Config {
    Config {
        initial_retry_interval: Duration::from_secs(TICK_SECONDS),
        max_retry_interval: Duration::from_secs(4 * TICK_SECONDS),
        max_running: 2,
        carry_age: Duration::from_secs(60),
        outcome_retention: Duration::from_secs(400),
    }
}

fn stamp(seconds: u64) -> Stamp {
    Stamp::from_millis(1_000_000 + seconds * 1_000)
}

fn tick(seconds: u64) -> Tick {
    Tick::from_millis(seconds * 1_000)
}

fn output(body: &Digest) -> String {
    format!("output of {body:?}")
}

impl Instance {
    fn new(at: usize, now: u64) -> Self {
        Self {
            projection: Projection::new(config().outcome_retention),
            jobs: Vec::new(),
            name: Incarnation::new(format!("entry-{at}").as_str(), stamp(now)),
            scheduler: Scheduler::new(config()),
            is_paused: false,
            member_mask: None,
        }
    }
}

impl Simulation {
    pub(crate) fn new() -> Self {
        Self {
            instances: (0..INSTANCES).map(|at| Instance::new(at, 0)).collect(),
            late: Vec::new(),
            log: Vec::new(),
            next: 0,
            now: 0,
            promises: Vec::new(),
            runs: 0,
        }
    }

    /// Stores a request as an instance does: read, append, read back.
    pub(crate) fn accept(
        &mut self,
        at: usize,
        key: u8,
        body: u8,
        deadline_in: u64,
        outcome: AppendOutcome,
    ) {
        if self.instances[at].is_paused {
            return;
        }
        let request = Request {
            account: "authors".into(),
            at: stamp(self.now),
            body: Digest::of(&[body]),
            deadline: stamp(self.now + deadline_in),
            input: body.into(),
            key: Key::from_parts(stamp(0), u128::from(key)),
            pipeline: "report".into(),
        };
        let task = request.task();
        self.refresh(at);
        if self.instances[at].projection.state(&task).is_none() {
            self.append(Record::Accepted(request.clone()).to_json(), outcome);
            self.refresh(at);
        }
        if let Some(State::Open(open)) = self.instances[at].projection.state(&task)
            && open.body == request.body
        {
            let now = stamp(self.now);
            let is_over = |promise: &Promise| now >= promise.deadline + config().outcome_retention;
            // A key is new again once the retention of its earlier use has passed.
            self.promises
                .retain(|promise| promise.task != task || !is_over(promise));
            if self.promises.iter().any(|promise| promise.task == task) {
                return;
            }
            let (body, deadline) = (open.body, open.deadline);
            let ending = None;
            self.promises.push(Promise {
                body,
                deadline,
                ending,
                task,
            });
        }
    }

    pub(crate) fn run_steps(&mut self, steps: u64, outcome: AppendOutcome) {
        for _ in 0..steps {
            self.now += TICK_SECONDS;
            let is_fault_free = self.now % PERIOD_SECONDS >= FAULTY_SECONDS;
            if is_fault_free {
                // The last instance may stay paused for as long as the schedule says.
                for instance in &mut self.instances[..INSTANCES - 1] {
                    instance.is_paused = false;
                }
                self.instances
                    .iter_mut()
                    .for_each(|instance| instance.member_mask = None);
            }
            self.deliver();
            for at in 0..INSTANCES {
                if !self.instances[at].is_paused {
                    self.tick_instance(
                        at,
                        if is_fault_free {
                            AppendOutcome::Written
                        } else {
                            outcome
                        },
                    );
                }
            }
            self.check();
        }
    }

    pub(crate) fn restart(&mut self, at: usize) {
        self.instances[at] = Instance::new(at, self.now);
    }

    pub(crate) fn pause(&mut self, at: usize) {
        self.instances[at].is_paused = true;
    }

    pub(crate) fn resume(&mut self, at: usize) {
        self.instances[at].is_paused = false;
    }

    pub(crate) fn set_members(&mut self, at: usize, mask: u8) {
        self.instances[at].member_mask = Some(mask);
    }

    /// Checks that all readers at the end of the log agree, and see what callers were promised.
    pub(crate) fn check(&mut self) {
        let mut fresh = Projection::new(config().outcome_retention);
        self.read(&mut fresh);
        for at in 0..INSTANCES {
            if self.instances[at].is_paused {
                continue;
            }
            self.refresh(at);
            assert_eq!(
                self.instances[at].projection.tasks(),
                fresh.tasks(),
                "at {}",
                self.now
            );
        }
        for at in 0..self.promises.len() {
            let promise = &self.promises[at];
            if self.is_over(promise) {
                continue;
            }
            match fresh.state(&promise.task) {
                None => panic!("a stored task is lost at {}", self.now),
                Some(State::Open(open)) => {
                    assert_eq!((open.body, open.deadline), (promise.body, promise.deadline));
                    assert!(promise.ending.is_none(), "an ended task is open");
                }
                Some(State::Ended(ended)) => {
                    assert_eq!(
                        (ended.body, ended.deadline),
                        (promise.body, promise.deadline)
                    );
                    let ending = self.ending(ended);
                    let first = promise.ending.clone().unwrap_or_else(|| ending.clone());
                    assert_eq!(ending, first, "an outcome changed");
                    self.promises[at].ending = Some(ending);
                }
            }
        }
    }

    /// Runs long enough for all tasks to end, and checks that they did.
    pub(crate) fn settle(&mut self) {
        self.run_steps(60, AppendOutcome::Written);
        for promise in &self.promises {
            assert!(promise.ending.is_some(), "a task did not end");
        }
    }

    fn is_over(&self, promise: &Promise) -> bool {
        stamp(self.now) >= promise.deadline + config().outcome_retention
    }

    /// Reads an ending from the log, and checks that it is correct.
    fn ending(&self, ended: &Ended) -> (Code, String) {
        let text = self.log.iter().find(|record| record.0 == ended.offset);
        let (_, _, text) = text.expect("the ending is in the log");
        let Ok(Record::Ended(ending)) = Record::parse(text) else {
            panic!("no ending at {}", ended.offset);
        };
        if ending.code == Code::Answered {
            assert_eq!(ending.output, output(&ended.body));
        } else {
            assert!(ending.at >= ending.deadline, "ended before its deadline");
        }
        (ending.code, ending.output.to_string())
    }

    fn tick_instance(&mut self, at: usize, outcome: AppendOutcome) {
        self.refresh(at);
        self.end_attempts(at, outcome);
        let active = (0..INSTANCES).filter(|at| !self.instances[*at].is_paused);
        let mask = self.instances[at].member_mask;
        let mask = mask.unwrap_or_else(|| active.fold(0, |mask, at| mask | 1 << at));
        let mut members: Vec<Incarnation> = (0..INSTANCES)
            .filter(|at| mask >> at & 1 == 1)
            .map(|at| self.instances[at].name.clone())
            .collect();
        members.sort_unstable();
        let own = self.instances[at].name.clone();
        let cx = Context {
            members: &members,
            now: tick(self.now),
            own: &own,
            partition: 0,
            wall: stamp(self.now),
        };
        let Instance {
            projection,
            scheduler,
            ..
        } = &mut self.instances[at];
        for action in scheduler.next_actions(cx, projection) {
            self.carry_out(at, action, outcome);
        }
    }

    fn carry_out(&mut self, at: usize, action: Action, outcome: AppendOutcome) {
        let offset = match action {
            Action::Carry { offset, .. }
            | Action::Expire { offset, .. }
            | Action::Start { offset, .. } => offset,
        };
        let text = self.log.iter().find(|record| record.0 == offset);
        let (_, _, text) = text.expect("the record is in the log");
        let record = Record::parse(text).expect("a record");
        match (action, record) {
            (Action::Carry { .. }, record) => {
                self.append(record.carry(offset, stamp(self.now)).to_json(), outcome);
            }
            (Action::Expire { .. }, Record::Accepted(request)) => {
                self.append_ending(&request, Code::DeadlinePassed, outcome);
            }
            (Action::Start { .. }, Record::Accepted(request)) => {
                self.runs += 1;
                let until = self.now + self.runs % 4 * TICK_SECONDS;
                self.instances[at].jobs.push((until, request));
            }
            (_, Record::Ended(_)) => panic!("work on an ending"),
        }
    }

    /// Ends the attempts that are due; one in three fails and has to be retried.
    fn end_attempts(&mut self, at: usize, outcome: AppendOutcome) {
        let now = self.now;
        let jobs = &mut self.instances[at].jobs;
        let due: Vec<_> = jobs.extract_if(.., |(until, _)| *until <= now).collect();
        for (_, request) in due {
            self.runs += 1;
            if !self.runs.is_multiple_of(3) {
                self.append_ending(&request, Code::Answered, outcome);
            }
            self.instances[at]
                .scheduler
                .record_attempt_end(tick(now), &request.task());
        }
    }

    fn append_ending(&mut self, request: &Request, code: Code, outcome: AppendOutcome) {
        let output = match code {
            Code::Answered => output(&request.body).into(),
            _ => serde_json::Value::Null,
        };
        let ending = Ending {
            at: stamp(self.now),
            body: request.body,
            carries: None,
            code,
            deadline: request.deadline,
            outcome: Outcome::Answered,
            output,
            task: request.task(),
        };
        self.append(Record::Ended(ending).to_json(), outcome);
    }

    fn append(&mut self, text: String, outcome: AppendOutcome) {
        match outcome {
            AppendOutcome::Lost => {}
            AppendOutcome::Delayed(by) => self.late.push((self.now + by, text)),
            AppendOutcome::Duplicated => {
                self.write(text.clone());
                self.write(text);
            }
            AppendOutcome::Written => self.write(text),
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.late.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, text) in due {
            self.write(text);
        }
        self.log.retain(|(_, at, _)| now < at + RETENTION_SECONDS);
    }

    fn write(&mut self, text: String) {
        self.log.push((self.next, self.now, text));
        self.next += 1;
    }

    fn refresh(&mut self, at: usize) {
        let mut projection = self.instances[at].projection.clone();
        self.read(&mut projection);
        self.instances[at].projection = projection;
    }

    fn read(&self, projection: &mut Projection) {
        projection.set_log_start(self.log.first().map_or(self.next, |record| record.0));
        for (offset, _, text) in &self.log {
            projection.apply(*offset, text);
        }
        projection.expire(stamp(self.now));
    }
}
