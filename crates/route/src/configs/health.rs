//! Settings of ejection and return.

use core::time::Duration;

/// Settings of ejection and return.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// How long a server is left alone after its first failure.
    pub backoff: Duration,
    /// The longest that a failing server is left alone between probes.
    pub backoff_max: Duration,
    /// How long a slow server is ejected the first time.
    pub ejection: Duration,
    /// The longest ejection of a slow server.
    pub ejection_max: Duration,
    /// The largest share of a pool that may be ejected for slowness at once.
    pub ejected_share: f64,
    /// Slow attempts in a row that count as a failure.
    pub slow_attempts: u32,
    /// A server this many times slower than its pool's median is ejected.
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
