//! Settings of requests in flight towards one pool.

use core::time::Duration;

/// Settings of requests in flight towards one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The wait in servers' queues that requests are let through for, so that no place stays empty.
    pub queue_target: Duration,
    /// Bounds on the requests let through for each place of the pool.
    pub headroom: (f64, f64),
}

impl Default for Config {
    fn default() -> Self {
        Self {
            queue_target: Duration::from_millis(500),
            headroom: (1.25, 2.0),
        }
    }
}
