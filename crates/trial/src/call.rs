//! One submission of a request by its caller, and one attempt at one stage.

use base::{Incarnation, Tick, attempt::Attempt, request::Id};

/// Where a call stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// In the gate's queue.
    Waiting,
    /// At a stage.
    Running,
    /// Between two attempts.
    Pausing,
    /// Over.
    Over,
}

/// One submission of a request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The index of the request in the trace.
    pub(crate) job: usize,
    pub(crate) id: Id,
    pub(crate) instance: usize,
    pub(crate) phase: Phase,
    pub(crate) stage: usize,
    pub(crate) stage_from: Tick,
    /// Attempts at the present stage.
    pub(crate) attempts: u32,
    /// Servers tried at the present stage.
    pub(crate) tried: Vec<Incarnation>,
    /// The index of the attempt in flight.
    pub(crate) flight: Option<usize>,
    pub(crate) cost: f64,
}

/// One attempt.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub(crate) call: usize,
    pub(crate) attempt: Attempt,
    /// The index of the server.
    pub(crate) server: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent: Tick,
    /// When the server began to work on it.
    pub(crate) began: Option<Tick>,
    /// Whether the instance still waits for it.
    pub(crate) open: bool,
    pub(crate) hit: bool,
}
