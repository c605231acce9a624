//! Requests of one client account that wait for one pipeline at one priority.

use core::cmp::Ordering;

use base::{Name, Tick, request::Id};

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request.
    pub request: Id,
    /// Its place: the deadline less the time already waited under the same key.
    pub effective_deadline: Tick,
    /// Its deadline.
    pub deadline: Tick,
    /// Since when it has waited, earlier requests under the same key included.
    pub issued_at: Tick,
}

/// What a line's requests have in common; lines are sorted by it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// The pipeline.
    pub pipeline: Name,
    /// The client account.
    pub account: Name,
    /// The priority; a higher one goes first.
    pub priority: u8,
    /// Whether the requests give way to all others.
    pub background: bool,
}

/// The place of a line's first request among all lines'.
#[derive(Clone, Copy, Debug)]
pub struct Position {
    /// Whether it gives way to all others.
    pub background: bool,
    /// Its priority, raised by its wait.
    pub priority: u128,
    /// What its account was served, divided by its weight.
    pub served: f64,
    /// Its own place within the line.
    pub effective_deadline: Tick,
}

impl Position {
    /// Compares two places; the lesser goes first.
    pub fn compare(&self, other: &Self) -> Ordering {
        self.background
            .cmp(&other.background)
            .then(other.priority.cmp(&self.priority))
            .then(self.served.total_cmp(&other.served))
            .then(self.effective_deadline.cmp(&other.effective_deadline))
    }
}

/// Requests that wait, sorted by place.
#[derive(Clone, Debug)]
pub struct Queue {
    /// What they have in common.
    pub class: Class,
    /// The requests.
    pub entries: Vec<Entry>,
}

impl Queue {
    /// Starts out empty.
    pub const fn new(class: Class) -> Self {
        Self {
            class,
            entries: Vec::new(),
        }
    }

    /// Adds a request at its place.
    pub fn insert(&mut self, entry: Entry) {
        let key = (entry.effective_deadline, entry.request);
        let at = self
            .entries
            .partition_point(|other| (other.effective_deadline, other.request) < key);
        self.entries.insert(at, entry);
    }

    /// Counts the requests ahead of a place.
    pub fn ahead(&self, effective_deadline: Tick) -> usize {
        self.entries
            .partition_point(|other| other.effective_deadline <= effective_deadline)
    }
}
