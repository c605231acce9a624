//! What follows a failed attempt.

use base::Code;
use site::Route;

use crate::Failure;

/// What is known when an attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The request's route.
    pub route: &'a Route,
    /// Servers that the request reached so far.
    pub reached: u32,
    /// Servers that could not be reached so far, and how many may be tried.
    pub unreachable: usize,
    /// The most servers that may turn out not to be reachable.
    pub max_unreachable: usize,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to another server; a repeat counts against the retry budget.
    Retry {
        /// Whether the last attempt reached a server.
        is_counted: bool,
    },
    /// Answer with a code.
    Fail(Code),
}

/// Decides what follows a failed attempt.
///
/// An attempt that may have run is followed by another one only where the route's requests may be
/// repeated. A code that says "not run" is given only if no attempt may have run.
///
/// # Examples
///
/// ```
/// use base::Code;
/// use relay::{Failure, policy::{Context, Decision, decide}};
/// let route = site::Route { max_attempts: 2, ..Default::default() };
/// let cx = Context { route: &route, reached: 1, unreachable: 0, max_unreachable: 4, may_have_run: false };
/// assert_eq!(decide(cx, Failure::Full), Decision::Retry { is_counted: true });
/// assert_eq!(decide(cx, Failure::Broken), Decision::Fail(Code::CallUnknown));
/// ```
pub fn decide(cx: Context<'_>, failure: Failure) -> Decision {
    let ran = cx.may_have_run || failure.may_have_run();
    if ran && !cx.route.is_repeatable() {
        return Decision::Fail(Code::CallUnknown);
    }
    match failure {
        Failure::Unreachable if cx.unreachable < cx.max_unreachable => {
            Decision::Retry { is_counted: false }
        }
        Failure::Moved
            if cx.unreachable < cx.max_unreachable && cx.reached <= cx.route.max_attempts =>
        {
            Decision::Retry { is_counted: true }
        }
        Failure::Rejected | Failure::Unreachable => {
            Decision::Fail(final_code(ran, Code::StageUnavailable))
        }
        _ if cx.reached < cx.route.max_attempts => Decision::Retry { is_counted: true },
        Failure::Full => Decision::Fail(final_code(ran, Code::Overloaded)),
        _ => Decision::Fail(final_code(ran, Code::StageUnavailable)),
    }
}

/// Returns a code that says "not run" only where that holds.
pub const fn final_code(ran: bool, code: Code) -> Code {
    if ran { Code::CallUnknown } else { code }
}
