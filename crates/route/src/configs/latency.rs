//! Settings of measured service times.

use core::time::Duration;

/// Settings of measured service times.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Weight of a sample in the mean of the pool.
    pub baseline_weight: f64,
    /// Weight of a sample in the mean of a server after warm-up.
    pub sample_weight: f64,
    /// Number of samples after which the mean of a server is compared with its pool.
    pub warmup_samples: u32,
    /// Time after which the difference of a server from its pool decays by half.
    pub half_life: Duration,
    /// Service time assumed before the first sample.
    pub initial_service_time: Duration,
    /// Interval at which a pool is checked for slow servers.
    pub refresh_interval: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            baseline_weight: 0.05,
            sample_weight: 0.03,
            warmup_samples: 10,
            half_life: Duration::from_secs(10),
            initial_service_time: Duration::from_millis(20),
            refresh_interval: Duration::from_millis(100),
        }
    }
}
