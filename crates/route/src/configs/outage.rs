//! Settings of outages of a whole pool.

use core::time::Duration;

/// Settings of outages of a whole pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Minimum share of failing servers for a pool to count as down.
    pub failing_share: f64,
    /// Minimum number of consecutive failures for a pool to count as down.
    pub min_failures: u32,
    /// Time between probes of a pool that is down.
    pub probe_interval: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            failing_share: 0.5,
            min_failures: 5,
            probe_interval: Duration::from_millis(250),
        }
    }
}
