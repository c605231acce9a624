//! Settings of outages of a whole pool.

use core::time::Duration;

/// Settings of outages of a whole pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The share of a pool's servers that must be failing for the pool to count as down.
    pub failing: f64,
    /// Failures without a whole answer between them for the pool to count as down.
    pub failures: u32,
    /// Time between probes of a pool that is down.
    pub probe: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            failing: 0.5,
            failures: 5,
            probe: Duration::from_millis(250),
        }
    }
}
