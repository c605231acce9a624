//! Configuration of a claim.

use core::time::Duration;

/// How the holder of a claim behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// How long an attached claimant waits between two look-ups of the winner's outcome.
    pub lookup_interval: Duration,
    /// How long the holder waits before it submits its last record again; doubles each time.
    pub record_interval: Duration,
    /// The longest that it waits.
    pub record_interval_limit: Duration,
    /// How long the holder goes on submitting its last record.
    pub record_limit: Duration,
}

impl Default for Claim {
    fn default() -> Self {
        Self {
            lookup_interval: Duration::from_millis(250),
            record_interval: Duration::from_secs(1),
            record_interval_limit: Duration::from_secs(60),
            record_limit: Duration::from_secs(3600),
        }
    }
}
