//! Settings of measured service times.

use core::time::Duration;

/// Settings of measured service times.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Weight of one sample in the pool's mean.
    pub baseline_weight: f64,
    /// Weight of one sample once a server is warm.
    pub sample_weight: f64,
    /// Samples before a server's own mean is judged against its pool.
    pub warmup_samples: u32,
    /// Time after which half of a server's difference from its pool is forgotten.
    pub half_life: Duration,
    /// The service time assumed before anything was measured.
    pub initial_service_time: Duration,
    /// How often a pool is searched for slow servers.
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
