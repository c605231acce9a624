//! Configuration of a claim.

use core::time::Duration;

/// How the holder of a claim behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// How long an attached claimant waits between two look-ups of the winner's outcome.
    pub lookup_interval: Duration,
    /// How long the holder waits before it submits its last record again; doubles each time.
    pub resubmit_interval: Duration,
    /// The longest that it waits.
    pub max_resubmit_interval: Duration,
    /// How long the holder goes on submitting its last record.
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
