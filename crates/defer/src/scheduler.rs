//! Which tasks an instance works on, and which records it carries forward.

use core::time::Duration;

use base::{Digest, Incarnation, Stamp, Tick};

use crate::{Projection, State, Task, configs::Config};

/// What an instance may see when it decides.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The entry instances heard of, sorted.
    pub members: &'a [Incarnation],
    /// The present instant.
    pub now: Tick,
    /// This instance.
    pub own: &'a Incarnation,
    /// The partition.
    pub partition: u16,
    /// The wall-clock time.
    pub wall: Stamp,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the record at an offset again.
    Carry {
        /// The task.
        task: Task,
        /// Where its record is.
        offset: u64,
    },
    /// Record that the task's deadline passed.
    Expire {
        /// The task.
        task: Task,
        /// Where its request is.
        offset: u64,
    },
    /// Work on the task.
    Start {
        /// The task.
        task: Task,
        /// Where its request is.
        offset: u64,
    },
}

/// How one task stands at this instance.
#[derive(Clone, Debug)]
struct Work {
    task: Task,
    running: bool,
    /// When it may be started again.
    after: Tick,
    wait: Duration,
}

/// One instance's part of the work on a partition.
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
    works: Vec<Work>,
}

impl Scheduler {
    /// Returns a scheduler that has nothing to do.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            works: Vec::new(),
        }
    }

    /// Returns the number of tasks that the instance works on.
    pub fn running_count(&self) -> usize {
        self.works.iter().filter(|work| work.running).count()
    }

    /// Looks through a partition and returns what this instance is to do.
    ///
    /// - A partition belongs to the member that ranks highest for it; if that one is lost, the next
    ///   one takes its tasks on once the members are seen without it.
    /// - Tasks are started in the order of their deadlines, up to a number at once.
    pub fn next_actions(&mut self, cx: Context<'_>, projection: &Projection) -> Vec<Action> {
        self.works.retain(|work| {
            work.running || matches!(projection.state(&work.task), Some(State::Open(_)))
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
            let expired = deadline <= cx.wall;
            if (expired || free > 0) && self.is_due(cx.now, &task) {
                let action = self.begin(cx.now, task, offset, expired);
                free -= usize::from(!expired);
                actions.push(action);
            }
        }
        actions
    }

    /// Takes note that an attempt has ended; one that may succeed later is made again.
    pub fn record_attempt_end(&mut self, now: Tick, task: &Task) {
        let Ok(at) = self.find(task) else {
            return;
        };
        let work = &mut self.works[at];
        work.running = false;
        work.after = now + work.wait;
        work.wait = (work.wait * 2).min(self.config.max_retry_interval);
    }

    fn is_due(&self, now: Tick, task: &Task) -> bool {
        let Ok(at) = self.find(task) else {
            return true;
        };
        !self.works[at].running && self.works[at].after <= now
    }

    fn begin(&mut self, now: Tick, task: Task, offset: u64, expired: bool) -> Action {
        let at = self.find(&task).unwrap_or_else(|at| {
            let work = Work {
                task,
                running: false,
                after: now,
                wait: self.config.initial_retry_interval,
            };
            self.works.insert(at, work);
            at
        });
        let work = &mut self.works[at];
        if expired {
            work.after = now + work.wait;
            return Action::Expire { task, offset };
        }
        work.running = true;
        Action::Start { task, offset }
    }

    fn find(&self, task: &Task) -> Result<usize, usize> {
        self.works.binary_search_by_key(task, |work| work.task)
    }
}

/// Returns the member that ranks highest for a partition.
pub fn owner(members: &[Incarnation], partition: u16) -> Option<&Incarnation> {
    members.iter().max_by_key(|member| {
        let name = member.to_string();
        Digest::of_parts(&[name.as_bytes(), &partition.to_be_bytes()])
    })
}
