//! Bounds of the administration interface.

use core::time::Duration;

/// Bounds of the administration interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admin {
    /// The largest body taken, in bytes.
    pub max_body_bytes: usize,
    /// Acts in a page of the audit trail that asks for no other number.
    pub default_page_len: usize,
    /// The most acts in a page of the audit trail.
    pub max_page_len: usize,
    /// When to come back after an outage of the platform's log.
    pub retry_after: Duration,
    /// How far the time of a signed request may lie from the instance's clock, either way.
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
