//! Scheduling: which tasks an instance runs, and which records it carries forward.

use core::time::Duration;

use base::{Digest, Incarnation, Stamp, Tick};

use crate::{Projection, State, Task, configs::Config};

/// The inputs to a scheduling decision, apart from the projection.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The known entry instances, sorted.
    pub members: &'a [Incarnation],
    /// The monotonic time.
    pub now: Tick,
    /// This instance.
    pub own: &'a Incarnation,
    /// The partition.
    pub partition: u16,
    /// The wall-clock time.
    pub wall: Stamp,
}

/// An action for the driver of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Carry the record at an offset forward, that is, append it again.
    Carry {
        /// The task.
        task: Task,
        /// The offset of its record.
        offset: u64,
    },
    /// Record that the task's deadline passed.
    Expire {
        /// The task.
        task: Task,
        /// The offset of its request.
        offset: u64,
    },
    /// Run the task.
    Start {
        /// The task.
        task: Task,
        /// The offset of its request.
        offset: u64,
    },
}

/// The attempts of this instance at one task.
#[derive(Clone, Debug)]
struct Job {
    task: Task,
    is_running: bool,
    /// When the next attempt may start.
    not_before: Tick,
    retry_interval: Duration,
}

/// The scheduler of one instance for the tasks of a partition.
///
/// # Examples
///
/// ```
/// use base::{Incarnation, Stamp, Tick};
/// use defer::{Projection, Scheduler, configs::Config, scheduler::Context};
/// let own = Incarnation::new("entry-1", Stamp::from_millis(1));
/// let members = [own.clone()];
/// let cx = Context {
///     members: &members,
///     now: Tick::default(),
///     own: &own,
///     partition: 0,
///     wall: Stamp::from_millis(2),
/// };
/// let mut scheduler = Scheduler::new(Config::default());
/// assert!(scheduler.next_actions(cx, &Projection::new(Config::default().outcome_retention)).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Scheduler {
    config: Config,
    jobs: Vec<Job>,
}

impl Scheduler {
    /// Returns a scheduler without tasks.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            jobs: Vec::new(),
        }
    }

    /// Returns the number of tasks that the instance runs.
    pub fn running_count(&self) -> usize {
        self.jobs.iter().filter(|job| job.is_running).count()
    }

    /// Returns the due actions for the tasks of a partition.
    ///
    /// - A partition is owned by the member that ranks highest for it. If that member is lost, the
    ///   next one takes over its tasks once the lost one is no longer among the members.
    /// - Tasks are started in the order of their deadlines, up to `max_running` at once.
    pub fn next_actions(&mut self, cx: Context<'_>, projection: &Projection) -> Vec<Action> {
        self.jobs.retain(|job| {
            job.is_running || matches!(projection.state(&job.task), Some(State::Open(_)))
        });
        let mut actions = Vec::new();
        if owner(cx.members, cx.partition) != Some(cx.own) {
            return actions;
        }
        let mut ready = Vec::new();
        for (task, state) in projection.tasks() {
            let offset = state.offset();
            if cx.wall - state.written_at() >= self.config.carry_age {
                actions.push(Action::Carry {
                    task: *task,
                    offset,
                });
            }
            if let State::Open(open) = state {
                ready.push((open.deadline, *task, offset));
            }
        }
        ready.sort_unstable();
        let mut free = self.config.max_running.saturating_sub(self.running_count());
        for (deadline, task, offset) in ready {
            let is_expired = deadline <= cx.wall;
            if (is_expired || free > 0) && self.is_due(cx.now, &task) {
                let action = self.start(cx.now, task, offset, is_expired);
                free -= usize::from(!is_expired);
                actions.push(action);
            }
        }
        actions
    }

    /// Records that an attempt has ended; if the task has not, it is retried after a wait.
    pub fn record_attempt_end(&mut self, now: Tick, task: &Task) {
        let Ok(at) = self.find(task) else {
            return;
        };
        let job = &mut self.jobs[at];
        job.is_running = false;
        job.not_before = now + job.retry_interval;
        job.retry_interval = (job.retry_interval * 2).min(self.config.max_retry_interval);
    }

    fn is_due(&self, now: Tick, task: &Task) -> bool {
        let Ok(at) = self.find(task) else {
            return true;
        };
        !self.jobs[at].is_running && self.jobs[at].not_before <= now
    }

    fn start(&mut self, now: Tick, task: Task, offset: u64, is_expired: bool) -> Action {
        let at = self.find(&task).unwrap_or_else(|at| {
            let job = Job {
                task,
                is_running: false,
                not_before: now,
                retry_interval: self.config.initial_retry_interval,
            };
            self.jobs.insert(at, job);
            at
        });
        let job = &mut self.jobs[at];
        if is_expired {
            job.not_before = now + job.retry_interval;
            return Action::Expire { task, offset };
        }
        job.is_running = true;
        Action::Start { task, offset }
    }

    fn find(&self, task: &Task) -> Result<usize, usize> {
        self.jobs.binary_search_by_key(task, |job| job.task)
    }
}

/// Returns the member that owns a partition, by rendezvous hashing over the members.
pub fn owner(members: &[Incarnation], partition: u16) -> Option<&Incarnation> {
    members.iter().max_by_key(|member| {
        let name = member.to_string();
        Digest::of_parts(&[name.as_bytes(), &partition.to_be_bytes()])
    })
}
