//! The state of one partition, the same at every instance that has read the log up to the same offset.

use core::time::Duration;

use base::{Digest, Name, Stamp};

use crate::{Record, Task};

/// How much longer than its retention an outcome is known.
///
/// More than the clocks differ plus the time to store a request, so that no instance accepts a key
/// as new before its retention has passed.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);

/// The state of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It is stored and has not ended.
    Open(Open),
    /// It has ended; the log holds its ending.
    Ended(Ended),
}

/// A task that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    /// When its record was last written.
    pub written_at: Stamp,
    /// The digest of pipeline and input.
    pub body: Digest,
    /// When its answer is no longer needed.
    pub deadline: Stamp,
    /// The offset of the request's record.
    pub offset: u64,
    /// The pipeline.
    pub pipeline: Name,
}

/// A task that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// When its record was last written.
    pub written_at: Stamp,
    /// The digest of pipeline and input.
    pub body: Digest,
    /// The deadline that its request had.
    pub deadline: Stamp,
    /// The offset of the ending's record.
    pub offset: u64,
    /// The offset of the ending's first record.
    pub first_offset: u64,
}

impl State {
    /// Returns when the task's record was last written.
    pub const fn written_at(&self) -> Stamp {
        match self {
            Self::Open(open) => open.written_at,
            Self::Ended(ended) => ended.written_at,
        }
    }

    /// Returns when the answer is no longer needed.
    pub const fn deadline(&self) -> Stamp {
        match self {
            Self::Open(open) => open.deadline,
            Self::Ended(ended) => ended.deadline,
        }
    }

    /// Returns the offset of the record in force.
    pub const fn offset(&self) -> u64 {
        match self {
            Self::Open(open) => open.offset,
            Self::Ended(ended) => ended.offset,
        }
    }
}

/// The state of one partition.
///
/// Inputs and outputs stay in the log; the projection keeps their offsets.
///
/// # Examples
///
/// ```
/// use core::time::Duration;
/// let mut projection = defer::Projection::new(Duration::from_secs(60));
/// projection.set_log_start(0);
/// assert_eq!((projection.next_offset(), projection.tasks().len()), (0, 0));
/// ```
#[derive(Clone, Debug)]
pub struct Projection {
    outcome_retention: Duration,
    next_offset: u64,
    tasks: Vec<(Task, State)>,
}

impl Projection {
    /// Returns an empty projection, which keeps outcomes for a time after their deadline.
    pub const fn new(outcome_retention: Duration) -> Self {
        Self {
            outcome_retention,
            next_offset: 0,
            tasks: Vec::new(),
        }
    }

    /// Records the lowest offset that the log still keeps.
    ///
    /// Removes the tasks whose records the log has dropped, as if the log had been read from there: they
    /// were either carried forward to an offset that is still to be read, or have expired.
    pub fn set_log_start(&mut self, first: u64) {
        self.next_offset = self.next_offset.max(first);
        self.tasks.retain(|(_, state)| state.offset() >= first);
    }

    /// Returns the offset to read from.
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns all tasks with their states, sorted by task.
    pub fn tasks(&self) -> &[(Task, State)] {
        &self.tasks
    }

    /// Returns the state of a task.
    pub fn state(&self, task: &Task) -> Option<&State> {
        let at = self.find(task).ok()?;
        Some(&self.tasks[at].1)
    }

    /// Applies the text of the record at an offset; a record that was already applied has no effect.
    ///
    /// - The first request of a task is in force; later ones have no effect. A carried request was
    ///   the first for an instance that read more of the log, so it replaces any read before it.
    /// - A key may be used again after its earlier use was kept for the retention time.
    /// - The ending with the lowest first offset is in force; its copies update the offset.
    pub fn apply(&mut self, offset: u64, text: &str) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        // Skips records of later versions, which only later releases understand.
        let Ok((record, carried)) = Record::parse_carried(text) else {
            return;
        };
        let task = record.task();
        let state = match record {
            Record::Accepted(request) => State::Open(Open {
                written_at: request.at,
                body: request.body,
                deadline: request.deadline,
                offset,
                pipeline: request.pipeline,
            }),
            Record::Ended(ending) => State::Ended(Ended {
                written_at: ending.at,
                body: ending.body,
                deadline: ending.deadline,
                offset,
                first_offset: ending.carries.unwrap_or(offset),
            }),
        };
        match self.find(&task) {
            Err(at) => self.tasks.insert(at, (task, state)),
            Ok(at) if self.replaces(&self.tasks[at].1, &state, carried) => self.tasks[at].1 = state,
            Ok(_) => {}
        }
    }

    /// Removes tasks whose retention time has passed, and late copies of such tasks.
    pub fn expire(&mut self, now: Stamp) {
        let retention = self.outcome_retention + RETENTION_MARGIN;
        self.tasks
            .retain(|(_, state)| now < state.deadline() + retention);
    }

    /// Returns whether a record read later replaces the one in force.
    fn replaces(&self, current: &State, next: &State, carried: bool) -> bool {
        if next.deadline() + self.outcome_retention <= current.written_at() {
            // A late copy from an earlier use of the key.
            return false;
        }
        match (current, next) {
            // All endings of one use have the deadline of the request in force.
            (State::Ended(current), State::Ended(next)) => {
                let later = current.deadline < next.deadline;
                later
                    || (current.deadline == next.deadline
                        && next.first_offset <= current.first_offset)
            }
            (State::Open(_), State::Ended(_)) => true,
            (State::Open(_), State::Open(_)) if carried => true,
            (State::Ended(current), State::Open(next)) if carried => {
                current.deadline < next.deadline
            }
            // The instance that stored the request had already removed the earlier use of the key.
            (_, State::Open(next)) => {
                current.deadline() + self.outcome_retention <= next.written_at
            }
        }
    }

    fn find(&self, task: &Task) -> Result<usize, usize> {
        self.tasks.binary_search_by_key(task, |(known, _)| *known)
    }
}
