//! Configuration of deferred requests.

use core::time::Duration;

/// Configuration of deferred requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The wait after the first retryable attempt; it doubles up to `max_retry_interval`.
    pub initial_retry_interval: Duration,
    /// The longest wait between attempts.
    pub max_retry_interval: Duration,
    /// The largest number of tasks of one partition that an instance runs at once.
    pub max_running: usize,
    /// The age at which a record is carried forward (written again), well below the log's retention.
    pub carry_age: Duration,
    /// How long an outcome is kept after the task's deadline; at least the log's retention.
    pub outcome_retention: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            initial_retry_interval: Duration::from_secs(1),
            max_retry_interval: Duration::from_secs(300),
            max_running: 4,
            carry_age: Duration::from_secs(600),
            outcome_retention: Duration::from_secs(24 * 3600),
        }
    }
}
