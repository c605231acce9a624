//! Configuration of a partition's owner.

use core::time::Duration;

use super::Projection;

/// How the owner of a partition batches and how long it tries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The longest text of a batch, in bytes; a single larger record still goes alone.
    pub max_batch_bytes: usize,
    /// The most records of a batch.
    pub max_batch_records: usize,
    /// The least time between two appends, in which records gather; the first one after a pause
    /// goes at once, and a full batch goes early.
    pub batch_window: Duration,
    /// The horizon and what it rests on.
    pub projection: Projection,
    /// How long the log may fail before claims and look-ups are refused at once.
    pub outage_threshold: Duration,
    /// The most submissions and look-ups that wait; more are refused at once.
    pub max_pending: usize,
    /// How long a failed append or read is not tried again.
    pub retry_interval: Duration,
    /// How long a submission or look-up waits for its verdict.
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
