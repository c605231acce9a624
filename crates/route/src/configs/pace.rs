//! Settings of measured service times.

use core::time::Duration;

/// Settings of measured service times.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Weight of one sample in the pool's mean.
    pub level_weight: f64,
    /// Weight of one sample once a server is warm.
    pub weight: f64,
    /// Samples before a server's own mean is judged against its pool.
    pub warm_samples: u32,
    /// Time after which half of a server's difference from its pool is forgotten.
    pub half_life: Duration,
    /// The service time assumed before anything was measured.
    pub initial: Duration,
    /// How often a pool is searched for slow servers.
    pub refresh: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            level_weight: 0.05,
            weight: 0.03,
            warm_samples: 10,
            half_life: Duration::from_secs(10),
            initial: Duration::from_millis(20),
            refresh: Duration::from_millis(100),
        }
    }
}
