//! Configuration of deferred requests.

use core::time::Duration;

/// Configuration of deferred requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The first wait after an attempt that may succeed later; it doubles up to `retry_most`.
    pub retry_first: Duration,
    /// The longest wait between attempts.
    pub retry_most: Duration,
    /// Tasks of one partition that an instance works on at once.
    pub running: usize,
    /// The age of a record at which it is written again, well below the log's retention.
    pub carry: Duration,
    /// How long an outcome is kept after the task's deadline, at least the log's retention.
    pub keep: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            retry_first: Duration::from_secs(1),
            retry_most: Duration::from_secs(300),
            running: 4,
            carry: Duration::from_secs(600),
            keep: Duration::from_secs(24 * 3600),
        }
    }
}
