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
/// Says that the server is leaving.
pub(super) const LEAVING: &str = "Limpetstep-Leaving";
/// The priority of a call; higher goes first.
pub(super) const PRIORITY: &str = "Limpetstep-Priority";
/// Names the server's incarnation.
pub(super) const SERVER: &str = "Limpetstep-Server";

#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) attempt: Attempt,
    pub(super) key: Option<String>,
    pub(super) left: Option<Duration>,
    pub(super) priority: i64,
}

impl Head {
    /// Reads the headers of a call; without a well-formed attempt there is no call.
    pub(super) fn read(request: &HttpRequest) -> Option<Self> {
        let text = |name: &str| request.headers().get(name)?.to_str().ok();
        Some(Self {
            attempt: Attempt::parse(text(ATTEMPT)?)?,
            key: text(KEY).map(str::to_owned),
            left: text(DEADLINE)
                .and_then(|millis| millis.parse().ok())
                .map(Duration::from_millis),
            priority: text(PRIORITY)
                .and_then(|priority| priority.parse().ok())
                .unwrap_or(0),
        })
    }
}
