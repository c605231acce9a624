//! What a [`crate::Controller`] is told and what it answers.

use core::time::Duration;

use base::{Code, Name, Tick, request::Id};

/// What the gate may see of the world.
pub struct Context<'a> {
    /// The present instant.
    pub now: Tick,
    /// Randomness.
    pub rng: &'a mut dyn rand::Rng,
}

/// A request that asks to start.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request.
    pub id: Id,
    /// Its client account.
    pub account: Name,
    /// Its pipeline.
    pub pipeline: Name,
    /// Its priority; a higher one goes first.
    pub priority: u8,
    /// When it must be answered.
    pub deadline: Tick,
    /// When its key was issued; a repeat under the same key keeps its place by it.
    pub issued_at: Tick,
}

/// What happened to a request or a pool.
#[derive(Clone, Debug)]
pub enum Event {
    /// A stage of a started request ended.
    StageFinished {
        /// The request.
        request: Id,
        /// The index of the stage.
        stage: usize,
        /// The time it took, the wait in servers' queues included.
        took: Duration,
    },
    /// A started request ended, answered or not.
    Finished {
        /// The request.
        request: Id,
        /// What it cost.
        cost: f64,
    },
    /// The caller of a waiting request went away.
    Cancelled {
        /// The request.
        request: Id,
    },
    /// This instance's share of a pool's places changed.
    Capacity {
        /// The pool.
        pool: Name,
        /// Places in the batches of its usable servers, divided by the entry instances that use them.
        slots: f64,
        /// When the pool may be back, if it has no place at all.
        retry_after: Duration,
    },
}

/// Why and until when a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// When trying again may help; spread, so that callers don't return together.
    pub retry_after: Duration,
}

/// What becomes of a request that asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It starts now.
    Start,
    /// It waits; an [`Action`] follows.
    Queued,
    /// It is refused; no work was done for it.
    Refused(Refusal),
}

/// What is to be done with a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start it.
    Start(Id),
    /// Refuse it.
    Refuse(Id, Refusal),
}
