//! Settings of ejection and recovery.

use core::time::Duration;

/// Settings of ejection and recovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Time for which a server gets no attempts after its first failure.
    pub backoff: Duration,
    /// Maximum time between probes of a failing server.
    pub backoff_max: Duration,
    /// Duration of the first ejection of a slow server.
    pub ejection: Duration,
    /// Maximum duration of an ejection.
    pub ejection_max: Duration,
    /// Maximum share of a pool that may be ejected at a time.
    pub ejected_share: f64,
    /// Number of consecutive slow attempts that count as a failure.
    pub slow_attempts: u32,
    /// Ratio to the pool's median service time above which a server is ejected.
    pub slow_ratio: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            backoff: Duration::from_millis(100),
            backoff_max: Duration::from_secs(1),
            ejection: Duration::from_secs(5),
            ejection_max: Duration::from_secs(30),
            ejected_share: 0.34,
            slow_attempts: 3,
            slow_ratio: 2.5,
        }
    }
}
