//! Inputs and outputs of a [`crate::Controller`].

use core::time::Duration;

use base::{Code, Name, Tick, request::Id};

/// The clock and the randomness that a decision uses.
pub struct Context<'a> {
    /// The current time.
    pub now: Tick,
    /// The random number generator.
    pub rng: &'a mut dyn rand::Rng,
}

/// A request to be admitted.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identifier.
    pub id: Id,
    /// Its client account.
    pub account: Name,
    /// Its pipeline.
    pub pipeline: Name,
    /// Its priority; higher values go first.
    pub priority: u8,
    /// The time by which it must be answered.
    pub deadline: Tick,
    /// When its key was issued, so that a request resent under the same key keeps its queue position.
    pub issued_at: Tick,
}

/// An event about a request or a pool.
#[derive(Clone, Debug)]
pub enum Event {
    /// A stage of a running request finished.
    StageFinished {
        /// The request.
        request: Id,
        /// The index of the stage.
        stage: usize,
        /// Its duration, including the waiting time in server queues.
        elapsed: Duration,
    },
    /// A running request ended, with or without an answer.
    Finished {
        /// The request.
        request: Id,
        /// Its cost.
        cost: f64,
    },
    /// The caller of a waiting request disconnected.
    Cancelled {
        /// The request.
        request: Id,
    },
    /// This instance's share of a pool's capacity changed.
    Capacity {
        /// The pool.
        pool: Name,
        /// Batch slots of its usable servers, divided by the number of entry instances that use them.
        slots: f64,
        /// Time until the pool may be available again, if it has no slot.
        retry_after: Duration,
    },
}

/// A refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// Time after which a retry may succeed; randomized, so that callers don't retry at the same time.
    pub retry_after: Duration,
}

/// The decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It starts now.
    Start,
    /// It waits, and an [`Action`] follows later.
    Queued,
    /// It is refused, and no work was done for it.
    Refused(Refusal),
}

/// An action on a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start it.
    Start(Id),
    /// Refuse it.
    Refuse(Id, Refusal),
}
