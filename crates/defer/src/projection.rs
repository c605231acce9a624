//! The state of one partition, the same at every instance that has read as far.

use core::time::Duration;

use base::{Digest, Name, Stamp};

use crate::{Record, Task};

/// How much longer than promised an outcome is known.
///
/// More than clocks differ and storing takes: a key is new to no instance before it may be new.
const SPARE: Duration = Duration::from_secs(60);

/// What is known of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It is stored and has not ended.
    Open(Open),
    /// It has ended; the log has the ending at this offset.
    Ended(Ended),
}

/// A task that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    /// When its record was last written.
    pub written_at: Stamp,
    /// The digest of pipeline and input.
    pub body: Digest,
    /// When its answer is no longer wanted.
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

    /// Returns when the answer is no longer wanted.
    pub const fn deadline(&self) -> Stamp {
        match self {
            Self::Open(open) => open.deadline,
            Self::Ended(ended) => ended.deadline,
        }
    }

    /// Returns the offset of the record that stands.
    pub const fn offset(&self) -> u64 {
        match self {
            Self::Open(open) => open.offset,
            Self::Ended(ended) => ended.offset,
        }
    }
}

/// The state of one partition.
///
/// Bodies stay in the log; the projection keeps where they are.
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
    keep: Duration,
    next: u64,
    tasks: Vec<(Task, State)>,
}

impl Projection {
    /// Returns a projection that has read nothing; it keeps outcomes for a time after their deadline.
    pub const fn new(keep: Duration) -> Self {
        Self {
            keep,
            next: 0,
            tasks: Vec::new(),
        }
    }

    /// Takes note of the lowest offset that the log still keeps.
    ///
    /// Tasks whose records the log has dropped were carried forward to where they are still to be
    /// read, or are over; they are forgotten, as they are to a reader that begins here.
    pub fn set_log_start(&mut self, first: u64) {
        self.next = self.next.max(first);
        self.tasks.retain(|(_, state)| state.offset() >= first);
    }

    /// Returns the offset to read from.
    pub const fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns every task, sorted by its name.
    pub fn tasks(&self) -> &[(Task, State)] {
        &self.tasks
    }

    /// Returns what is known of a task.
    pub fn state(&self, task: &Task) -> Option<&State> {
        let at = self.find(task).ok()?;
        Some(&self.tasks[at].1)
    }

    /// Takes in the text of the record at an offset; one that was taken in already does nothing.
    ///
    /// - The first request under a name stands; a later one changes nothing. A carried one was the
    ///   first to an instance that read more of the log, so it stands whatever was read before it.
    /// - A name may be used again when its earlier use was kept for long enough.
    /// - The ending with the lowest first offset stands; its copies move where it is.
    pub fn apply(&mut self, offset: u64, text: &str) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        // A record of a later version is for later instances to understand.
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

    /// Forgets tasks whose outcome was kept for long enough, and late copies of such tasks.
    pub fn expire(&mut self, now: Stamp) {
        let known = self.keep + SPARE;
        self.tasks
            .retain(|(_, state)| now < state.deadline() + known);
    }

    /// Tells whether a statement read later takes the place of the one that stood.
    fn replaces(&self, stood: &State, next: &State, carried: bool) -> bool {
        if next.deadline() + self.keep <= stood.written_at() {
            // A late copy from an earlier use of the name.
            return false;
        }
        match (stood, next) {
            // All endings of one use tell the deadline of the request that stood.
            (State::Ended(stood), State::Ended(next)) => {
                let later = stood.deadline < next.deadline;
                later
                    || (stood.deadline == next.deadline && next.first_offset <= stood.first_offset)
            }
            (State::Open(_), State::Ended(_)) => true,
            (State::Open(_), State::Open(_)) if carried => true,
            (State::Ended(stood), State::Open(next)) if carried => stood.deadline < next.deadline,
            // Whoever stored it had forgotten the earlier use of the name.
            (_, State::Open(next)) => stood.deadline() + self.keep <= next.written_at,
        }
    }

    fn find(&self, task: &Task) -> Result<usize, usize> {
        self.tasks.binary_search_by_key(task, |(name, _)| *name)
    }
}
