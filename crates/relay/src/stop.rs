//! Requests of an instance that is stopping.

use base::{Code, Tick};

use crate::{Job, attempt::Attempts, hub::State, policy};

/// The course of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// From then on a request is sent to a server only if its answer comes in time for sure.
    pub late_from: Tick,
    /// When the last answers are written.
    pub ends_at: Tick,
}

/// Checks whether a request may be sent to a server now. One that could be cut at the end of the shutdown is refused, so that its
/// caller repeats it elsewhere; a stream that has started goes on as long as it can.
///
/// # Errors
///
/// - The code with which the request is refused.
pub(crate) fn check<R>(
    state: &State,
    now: Tick,
    job: &Job<R>,
    attempts: &Attempts,
) -> Result<(), Code> {
    let is_late = |stop: Stop| stop.late_from <= now && stop.ends_at < job.final_deadline();
    if attempts.has_started || !state.stop.is_some_and(is_late) {
        return Ok(());
    }
    Err(policy::final_code(attempts.may_have_run, Code::Stopping))
}
