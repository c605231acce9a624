//! Queues of waiting requests, one per pipeline, client account and priority.

use core::cmp::Ordering;

use base::{Name, Tick, request::Id};

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request.
    pub request: Id,
    /// The deadline minus the time already waited under the same key, which the queue is sorted by.
    pub effective_deadline: Tick,
    /// Its deadline.
    pub deadline: Tick,
    /// When its key was issued; waiting times of earlier requests under the same key count.
    pub issued_at: Tick,
}

/// The common properties of the requests in a queue; queues are sorted by them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// The pipeline.
    pub pipeline: Name,
    /// The client account.
    pub account: Name,
    /// The priority; higher values go first.
    pub priority: u8,
    /// Whether the requests are background requests, which yield to all others.
    pub background: bool,
}

/// The position of a queue's first request among those of all queues.
#[derive(Clone, Copy, Debug)]
pub struct Position {
    /// Whether it is a background request, which yields to all others.
    pub background: bool,
    /// Its priority, raised by its waiting time.
    pub priority: u128,
    /// The served cost of its account, divided by the account's weight.
    pub served: f64,
    /// Its position within the queue.
    pub effective_deadline: Tick,
}

impl Position {
    /// Compares two positions; the smaller one goes first.
    pub fn compare(&self, other: &Self) -> Ordering {
        self.background
            .cmp(&other.background)
            .then(other.priority.cmp(&self.priority))
            .then(self.served.total_cmp(&other.served))
            .then(self.effective_deadline.cmp(&other.effective_deadline))
    }
}

/// A queue of waiting requests, sorted by effective deadline.
#[derive(Clone, Debug)]
pub struct Queue {
    /// The common properties of the requests.
    pub class: Class,
    /// The requests.
    pub entries: Vec<Entry>,
}

impl Queue {
    /// Creates an empty queue.
    pub const fn new(class: Class) -> Self {
        Self {
            class,
            entries: Vec::new(),
        }
    }

    /// Inserts a request at its position.
    pub fn insert(&mut self, entry: Entry) {
        let key = (entry.effective_deadline, entry.request);
        let at = self
            .entries
            .partition_point(|other| (other.effective_deadline, other.request) < key);
        self.entries.insert(at, entry);
    }

    /// Returns the number of requests ahead of an effective deadline.
    pub fn ahead(&self, effective_deadline: Tick) -> usize {
        self.entries
            .partition_point(|other| other.effective_deadline <= effective_deadline)
    }
}
