//! The state of one partition, the same at every instance that has read as far.

use core::time::Duration;

use base::{Digest, Name, Stamp};

use crate::{Record, Task};

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
    pub at: Stamp,
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
    pub at: Stamp,
    /// The digest of pipeline and input.
    pub body: Digest,
    /// The deadline that its request had.
    pub deadline: Stamp,
    /// The offset of the ending's record.
    pub offset: u64,
}

/// The state of one partition.
///
/// Bodies stay in the log; the fold keeps where they are.
///
/// # Examples
///
/// ```
/// use core::time::Duration;
/// let mut fold = defer::Fold::open(Duration::from_secs(60));
/// fold.begin(0);
/// assert_eq!((fold.next(), fold.tasks().len()), (0, 0));
/// ```
#[derive(Clone, Debug)]
pub struct Fold {
    keep: Duration,
    next: u64,
    tasks: Vec<(Task, State)>,
}

impl Fold {
    /// Returns a fold that has read nothing; it keeps outcomes for a time after their deadline.
    pub const fn open(keep: Duration) -> Self {
        Self {
            keep,
            next: 0,
            tasks: Vec::new(),
        }
    }

    /// Takes note of the lowest offset that the log still keeps.
    ///
    /// Records dropped before they were read were carried forward, or are of tasks that are over.
    pub fn begin(&mut self, first: u64) {
        self.next = self.next.max(first);
    }

    /// Returns the offset to read from.
    pub const fn next(&self) -> u64 {
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
    /// - The first request under a name stands; a second one is the same record carried forward,
    ///   or an attempt to use the name for another body, and changes nothing but where it is.
    /// - The first ending of a task stands; later ones only carry it forward.
    pub fn apply(&mut self, offset: u64, text: &str) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        // A record of a later version is for later instances to understand.
        let Ok(record) = Record::parse(text) else {
            return;
        };
        match (self.find(&record.task()), &record) {
            (Err(at), Record::Accepted(request)) => {
                let open = Open {
                    at: request.at,
                    body: request.body,
                    deadline: request.deadline,
                    offset,
                    pipeline: request.pipeline.clone(),
                };
                self.tasks.insert(at, (record.task(), State::Open(open)));
            }
            (Err(at), Record::Ended(ending)) => self.restore(at, offset, ending),
            (Ok(at), Record::Accepted(request)) => self.carry(at, offset, request),
            (Ok(at), Record::Ended(ending)) => self.end(at, offset, ending),
        }
    }

    /// Forgets tasks whose outcome was kept for long enough.
    pub fn expire(&mut self, now: Stamp) {
        let keep = self.keep;
        self.tasks.retain(|(_, state)| match state {
            State::Open(_) => true,
            State::Ended(ended) => now < ended.deadline + keep,
        });
    }

    /// An ending whose request the log has dropped.
    fn restore(&mut self, at: usize, offset: u64, ending: &crate::record::Ending) {
        let ended = Ended {
            at: ending.at,
            body: ending.body,
            deadline: ending.deadline,
            offset,
        };
        self.tasks.insert(at, (ending.task, State::Ended(ended)));
    }

    fn carry(&mut self, at: usize, offset: u64, request: &crate::record::Request) {
        if let State::Open(open) = &mut self.tasks[at].1
            && open.body == request.body
        {
            open.offset = offset;
            open.at = request.at;
        }
    }

    fn end(&mut self, at: usize, offset: u64, ending: &crate::record::Ending) {
        let state = &mut self.tasks[at].1;
        match state {
            State::Open(open) => {
                *state = State::Ended(Ended {
                    at: ending.at,
                    body: open.body,
                    deadline: open.deadline,
                    offset,
                });
            }
            // Only a copy of the ending that stands may move it, or a later one would replace it.
            State::Ended(ended) if ending.carries == Some(ended.offset) => {
                ended.offset = offset;
                ended.at = ending.at;
            }
            State::Ended(_) => {}
        }
    }

    fn find(&self, task: &Task) -> Result<usize, usize> {
        self.tasks.binary_search_by_key(task, |(name, _)| *name)
    }
}
