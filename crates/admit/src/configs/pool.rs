//! Settings of requests in flight to one pool.

use core::time::Duration;

/// Settings of requests in flight to one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Target waiting time in server queues, which keeps all batch slots occupied.
    pub queue_target: Duration,
    /// Minimum and maximum number of admitted requests per batch slot of the pool.
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
