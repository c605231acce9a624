//! The state of one submission of a request, and of one attempt at one stage.

use base::{Incarnation, Tick, attempt::Attempt, request::Id};

/// The phase of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// In the admission queue.
    Queued,
    /// Running a stage.
    Running,
    /// Waiting to retry.
    RetryWait,
    /// Ended.
    Ended,
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
    pub(crate) stage_started_at: Tick,
    /// Attempts at the current stage.
    pub(crate) attempts: u32,
    /// Servers tried at the current stage.
    pub(crate) tried: Vec<Incarnation>,
    /// The index of the attempt in flight.
    pub(crate) dispatch: Option<usize>,
    pub(crate) cost: f64,
}

/// One attempt sent to a server.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    pub(crate) call: usize,
    pub(crate) attempt: Attempt,
    /// The index of the server.
    pub(crate) server: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent: Tick,
    /// When the server started to process it.
    pub(crate) started_at: Option<Tick>,
    /// Whether the instance still waits for the result.
    pub(crate) open: bool,
    pub(crate) hit: bool,
}
