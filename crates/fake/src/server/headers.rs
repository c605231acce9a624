//! The headers of a call.

use core::time::Duration;

use actix_web::HttpRequest;
use base::attempt::Attempt;

/// Names the attempt, in calls and answers.
pub(super) const ATTEMPT: &str = "Limpetstep-Attempt";
/// The milliseconds left until the deadline.
pub(super) const DEADLINE: &str = "Limpetstep-Deadline-Ms";
/// The caller's idempotency key.
pub(super) const KEY: &str = "Idempotency-Key";
/// Set if the server is leaving.
pub(super) const LEAVING: &str = "Limpetstep-Leaving";
/// The priority of a call; higher goes first.
pub(super) const PRIORITY: &str = "Limpetstep-Priority";
/// Names the server's incarnation.
pub(super) const SERVER: &str = "Limpetstep-Server";

#[derive(Clone, Debug)]
pub(super) struct Headers {
    pub(super) attempt: Attempt,
    pub(super) key: Option<String>,
    pub(super) time_left: Option<Duration>,
    pub(super) priority: i64,
}

impl Headers {
    /// Parses the headers of a call; returns `None` without a well-formed attempt.
    pub(super) fn parse(request: &HttpRequest) -> Option<Self> {
        let text = |name: &str| request.headers().get(name)?.to_str().ok();
        Some(Self {
            attempt: Attempt::parse(text(ATTEMPT)?)?,
            key: text(KEY).map(str::to_owned),
            time_left: text(DEADLINE)
                .and_then(|millis| millis.parse().ok())
                .map(Duration::from_millis),
            priority: text(PRIORITY)
                .and_then(|priority| priority.parse().ok())
                .unwrap_or(0),
        })
    }
}
