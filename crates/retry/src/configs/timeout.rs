//! Configuration of progress timeouts.

use core::time::Duration;

/// How timeouts are derived from measured latencies.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeout {
    /// The latency quantile that a timeout is derived from.
    pub quantile: f64,
    /// The multiple of that quantile at which the timeout is set.
    pub factor: u32,
    /// Maximum timeouts, which also apply until enough latencies are known.
    pub max: Limits,
    /// Minimum timeouts.
    pub min: Limits,
}

/// Timeouts of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time from the start to the first byte of the answer.
    pub first_byte: Duration,
    /// Time between two chunks of the answer.
    pub gap: Duration,
    /// Time from the start to the end of the answer.
    pub total: Duration,
}

impl Default for Timeout {
    fn default() -> Self {
        Self {
            quantile: 0.99,
            factor: 4,
            max: Limits {
                first_byte: Duration::from_secs(10),
                gap: Duration::from_secs(5),
                total: Duration::from_secs(120),
            },
            min: Limits {
                first_byte: Duration::from_millis(100),
                gap: Duration::from_millis(250),
                total: Duration::from_millis(250),
            },
        }
    }
}
