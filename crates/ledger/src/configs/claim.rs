//! Configuration of a claim.

use core::time::Duration;

/// How long and how often a claim retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The time between two look-ups of the winner's outcome.
    pub lookup_interval: Duration,
    /// The time before the holder first resubmits its outcome or release; doubles each time.
    pub resubmit_interval: Duration,
    /// The upper bound of the time between two resubmissions.
    pub max_resubmit_interval: Duration,
    /// The time after which the holder stops resubmitting its outcome or release.
    pub resubmit_timeout: Duration,
}

impl Default for Claim {
    fn default() -> Self {
        Self {
            lookup_interval: Duration::from_millis(250),
            resubmit_interval: Duration::from_secs(1),
            max_resubmit_interval: Duration::from_secs(60),
            resubmit_timeout: Duration::from_secs(3600),
        }
    }
}
