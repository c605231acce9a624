//! Configuration of a partition's owner.

use core::time::Duration;

use super::Projection;

/// Batch sizes, timeouts and retry intervals of a partition's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The largest size of a batch in bytes; a larger record is appended on its own.
    pub max_batch_bytes: usize,
    /// The largest number of records in a batch.
    pub max_batch_records: usize,
    /// The minimum time between two appends, during which records are collected. The first
    /// record after an idle period is appended at once, and a full batch does not wait.
    pub batch_window: Duration,
    /// The configuration of the partition's projection.
    pub projection: Projection,
    /// How long the log may fail before claims and look-ups are refused immediately.
    pub outage_threshold: Duration,
    /// The largest number of pending submissions and look-ups; more are refused immediately.
    pub max_pending: usize,
    /// The time between a failed append or read and the next one.
    pub retry_interval: Duration,
    /// The time after which a submission or look-up without a verdict is answered as
    /// unavailable.
    pub verdict_timeout: Duration,
}

impl Default for Owner {
    fn default() -> Self {
        Self {
            max_batch_bytes: 256 * 1024,
            max_batch_records: 256,
            batch_window: Duration::from_millis(150),
            projection: Projection::default(),
            outage_threshold: Duration::from_secs(1),
            max_pending: 4096,
            retry_interval: Duration::from_millis(100),
            verdict_timeout: Duration::from_secs(2),
        }
    }
}
