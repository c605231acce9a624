//! Decides what follows a failed attempt.

use core::time::Duration;

use base::Code;
use site::Route;

use crate::{Failure, configs::Config, job};

/// The state of a request when an attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The request's route.
    pub route: &'a Route,
    /// The number of servers that the request reached so far.
    pub reached: u32,
    /// The number of servers that were unreachable, or without a free connection, so far.
    pub unreachable: usize,
    /// The number of unreachable servers after which the request is refused.
    pub max_unreachable: usize,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to another server.
    Retry {
        /// Whether the last attempt reached a server, so that the retry counts against the retry budget.
        is_counted: bool,
    },
    /// Refuse the request with a code.
    Fail(Code),
}

/// Decides what follows a failed attempt.
///
/// An attempt that may have run is followed by another one only if the route's requests may be
/// repeated. A code that says "not run" is returned only if no attempt may have run.
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
    let may_have_run = cx.may_have_run || failure.may_have_run();
    if may_have_run && !cx.route.is_repeatable() {
        return Decision::Fail(Code::CallUnknown);
    }
    match failure {
        Failure::Evacuated
        | Failure::Exhausted
        | Failure::HelperUnavailable
        | Failure::Unconfirmed
        | Failure::Unreachable
            if cx.unreachable < cx.max_unreachable =>
        {
            Decision::Retry { is_counted: false }
        }
        // `reached` includes the last server, which doesn't count against the maximum as its address is reused.
        Failure::Moved
            if cx.unreachable < cx.max_unreachable && cx.reached <= cx.route.max_attempts =>
        {
            Decision::Retry { is_counted: true }
        }
        Failure::Evacuated
        | Failure::Exhausted
        | Failure::HelperUnavailable
        | Failure::Rejected
        | Failure::Unconfirmed
        | Failure::Unreachable => Decision::Fail(final_code(may_have_run, Code::StageUnavailable)),
        _ if cx.reached < cx.route.max_attempts => Decision::Retry { is_counted: true },
        Failure::Full => Decision::Fail(final_code(may_have_run, Code::Overloaded)),
        _ => Decision::Fail(final_code(may_have_run, Code::StageUnavailable)),
    }
}

/// Returns the code, or [`Code::CallUnknown`] if an attempt may have run.
pub const fn final_code(may_have_run: bool, code: Code) -> Code {
    if may_have_run {
        Code::CallUnknown
    } else {
        code
    }
}

/// Returns the silence before the head of an answer after which another server may be tried.
pub fn head_silence_limit(route: &Route, settings: &Config) -> Duration {
    if route.is_repeatable() {
        route.objective.max(settings.min_attempt_timeout)
    } else {
        Duration::MAX
    }
}

/// Returns the time for the body of an answer that isn't a stream after which another server may be tried.
pub fn body_time_limit(route: &Route, settings: &Config) -> Duration {
    if route.is_repeatable() {
        settings.max_body_time
    } else {
        Duration::MAX
    }
}

/// Returns the silence within a stream after which another server may be tried.
///
/// # Examples
///
/// ```
/// use core::time::Duration;
/// use relay::{configs::Config, policy::stream_silence_limit};
/// use site::{Route, route::Kind};
/// let mut route = Route {
///     kind: Kind::Streaming,
///     resumable: true,
///     objective: Duration::from_millis(400),
///     max_event_gap: Duration::from_millis(200),
///     ..Default::default()
/// };
/// // Callers of this route leave a silent stream after 2 s, of which another server gets 1 s.
/// assert_eq!(stream_silence_limit(&route, &Config::default()), Duration::from_secs(1));
/// route.objective = Duration::from_secs(2);
/// assert_eq!(stream_silence_limit(&route, &Config::default()), Duration::from_secs(2));
/// ```
pub fn stream_silence_limit(route: &Route, settings: &Config) -> Duration {
    if route.is_repeatable() {
        settings.max_stream_silence.min(job::patience(route) / 2)
    } else {
        Duration::MAX
    }
}
