//! Configuration of hedged requests.

use core::time::Duration;

/// When the second attempt of a hedged request starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Hedge {
    /// The latency quantile after which the second attempt starts.
    pub quantile: f64,
    /// The minimum delay before the second attempt.
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
