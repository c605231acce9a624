//! Bounds of the administration interface.

use core::time::Duration;

/// Bounds of the administration interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admin {
    /// The largest body taken, in bytes.
    pub body_bytes: usize,
    /// Acts in a page of the audit trail that asks for no other number.
    pub page: usize,
    /// The most acts in a page of the audit trail.
    pub page_most: usize,
    /// When to come back after an outage of the platform's log.
    pub retry: Duration,
    /// How far the time of a signed request may lie from the instance's clock, either way.
    pub window: Duration,
}

impl Default for Admin {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            page: 100,
            page_most: 1_000,
            retry: Duration::from_secs(2),
            window: Duration::from_secs(60),
        }
    }
}
