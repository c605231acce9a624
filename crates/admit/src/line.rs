//! Requests of one client account that wait for one pipeline at one priority.

use core::cmp::Ordering;

use base::{Name, Tick, request::Id};

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request.
    pub request: Id,
    /// Its place: the deadline less the time already waited under the same key.
    pub due: Tick,
    /// Its deadline.
    pub deadline: Tick,
    /// Since when it has waited, earlier requests under the same key included.
    pub age_from: Tick,
}

/// What a line's requests have in common; lines are sorted by it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// The pipeline.
    pub pipeline: Name,
    /// The client account.
    pub account: Name,
    /// The priority; a higher one goes first.
    pub priority: u8,
    /// Whether the requests give way to all others.
    pub patient: bool,
}

/// The place of a line's first request among all lines'.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Whether it gives way to all others.
    pub patient: bool,
    /// Its priority, raised by its wait.
    pub rank: u128,
    /// What its account was served, divided by its weight.
    pub served: f64,
    /// Its own place within the line.
    pub due: Tick,
}

impl Place {
    /// Compares two places; the lesser goes first.
    pub fn compare(&self, other: &Self) -> Ordering {
        self.patient
            .cmp(&other.patient)
            .then(other.rank.cmp(&self.rank))
            .then(self.served.total_cmp(&other.served))
            .then(self.due.cmp(&other.due))
    }
}

/// Requests that wait, sorted by place.
#[derive(Clone, Debug)]
pub struct Line {
    /// What they have in common.
    pub kind: Kind,
    /// The requests.
    pub entries: Vec<Entry>,
}

impl Line {
    /// Starts out empty.
    pub const fn new(kind: Kind) -> Self {
        Self {
            kind,
            entries: Vec::new(),
        }
    }

    /// Adds a request at its place.
    pub fn add(&mut self, entry: Entry) {
        let key = (entry.due, entry.request);
        let at = self
            .entries
            .partition_point(|other| (other.due, other.request) < key);
        self.entries.insert(at, entry);
    }

    /// Counts the requests ahead of a place.
    pub fn ahead(&self, due: Tick) -> usize {
        self.entries.partition_point(|other| other.due <= due)
    }
}
