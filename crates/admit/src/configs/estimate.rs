//! Settings of stage times and budgets.

use core::time::Duration;

/// Settings of stage times and budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Weight of one measured stage time.
    pub sample_weight: f64,
    /// Weight of one measured stage time in the usual one.
    pub baseline_weight: f64,
    /// Time without measurements after which half of a stage's slowness is disbelieved.
    pub half_life: Duration,
    /// A pool this many times slower than usual is watched for a sudden return.
    pub slow_ratio: f64,
    /// A stage time below this share of a slow pool's mean tells that the pool has got faster.
    pub recovery_ratio: f64,
    /// Weight of such a stage time.
    pub recovery_weight: f64,
    /// Mean deviations above the mean that a budget holds.
    pub margin_deviations: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            sample_weight: 0.1,
            baseline_weight: 0.001,
            half_life: Duration::from_secs(2),
            slow_ratio: 2.0,
            recovery_ratio: 0.4,
            recovery_weight: 0.5,
            margin_deviations: 1.0,
        }
    }
}
