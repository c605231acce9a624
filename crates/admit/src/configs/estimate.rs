//! Settings of stage time estimates.

use core::time::Duration;

/// Settings of stage time estimates.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Weight of a sample in the recent stage time.
    pub sample_weight: f64,
    /// Weight of a sample in the baseline of a stage time.
    pub baseline_weight: f64,
    /// Time without samples after which the measured slowdown of a stage counts half.
    pub half_life: Duration,
    /// Slowdown from which a pool is checked for a sudden recovery.
    pub slow_ratio: f64,
    /// Share of a slow pool's mean below which a sample indicates that the pool has recovered.
    pub recovery_ratio: f64,
    /// Weight of a sample that indicates a recovery.
    pub recovery_weight: f64,
    /// Safety margin of an estimate, in mean deviations above the mean.
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
