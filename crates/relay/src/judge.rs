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
    pub sent: u32,
    /// Servers that could not be reached so far, and how many may be tried.
    pub unreached: usize,
    /// The most servers that may turn out not to be reachable.
    pub connects: usize,
    /// Whether an earlier attempt may have run.
    pub ran: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to another server; a repeat counts against the retry budget.
    Again {
        /// Whether the last attempt reached a server.
        counts: bool,
    },
    /// Answer with a code.
    Answer(Code),
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
/// use relay::{Failure, judge::{Context, Next, after}};
/// let route = site::Route { attempts: 2, ..Default::default() };
/// let cx = Context { route: &route, sent: 1, unreached: 0, connects: 4, ran: false };
/// assert_eq!(after(cx, Failure::Full), Next::Again { counts: true });
/// assert_eq!(after(cx, Failure::Broken), Next::Answer(Code::CallUnknown));
/// ```
pub fn after(cx: Context<'_>, failure: Failure) -> Next {
    let ran = cx.ran || failure.may_have_run();
    if ran && !cx.route.is_repeatable() {
        return Next::Answer(Code::CallUnknown);
    }
    match failure {
        Failure::Unreachable if cx.unreached < cx.connects => Next::Again { counts: false },
        Failure::Moved if cx.unreached < cx.connects && cx.sent <= cx.route.max_attempts => {
            Next::Again { counts: true }
        }
        Failure::Rejected | Failure::Unreachable => Next::Answer(end(ran, Code::StageUnavailable)),
        _ if cx.sent < cx.route.max_attempts => Next::Again { counts: true },
        Failure::Full => Next::Answer(end(ran, Code::Overloaded)),
        _ => Next::Answer(end(ran, Code::StageUnavailable)),
    }
}

/// Returns a code that says "not run" only where that holds.
pub const fn end(ran: bool, code: Code) -> Code {
    if ran { Code::CallUnknown } else { code }
}
