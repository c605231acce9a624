//! Limits of the administration interface.

use core::time::Duration;

/// Limits of the administration interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admin {
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The number of actions in a page of the audit trail, unless the request sets a limit.
    pub default_page_len: usize,
    /// The maximum number of actions in a page of the audit trail.
    pub max_page_len: usize,
    /// The retry delay that refusals state after an outage of the platform's log.
    pub retry_after: Duration,
    /// The maximum difference between the time of a signed request and the instance's clock.
    pub max_clock_skew: Duration,
}

impl Default for Admin {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            default_page_len: 100,
            max_page_len: 1_000,
            retry_after: Duration::from_secs(2),
            max_clock_skew: Duration::from_secs(60),
        }
    }
}
