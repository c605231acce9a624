//! When a hedge starts.

use core::time::Duration;

/// When a hedge starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Hedge {
    /// The quantile of usual times after which the second attempt starts.
    pub quantile: f64,
    /// The shortest delay.
    pub min_delay: Duration,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            min_delay: Duration::from_millis(2),
        }
    }
}
