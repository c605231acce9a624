//! Settings of the retry times of refused callers.

use core::time::Duration;

/// Settings of the retry times of refused callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Minimum retry delay.
    pub min: Duration,
    /// Maximum retry delay.
    pub max: Duration,
    /// Share of a pipeline's estimated throughput that is assigned to retries.
    pub rate_share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            min: Duration::from_millis(200),
            max: Duration::from_secs(30),
            rate_share: 0.5,
        }
    }
}
