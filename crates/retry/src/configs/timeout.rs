//! Bounds of the limits on progress.

use core::time::Duration;

/// How the limits follow from usual times.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeout {
    /// The quantile of usual times that a limit starts from.
    pub quantile: f64,
    /// The multiple of that quantile which is too long.
    pub factor: u32,
    /// Limits before enough is known, and the largest ever.
    pub max: Limits,
    /// The smallest limits.
    pub min: Limits,
}

/// Limits on the progress of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// From the start to the first byte of the answer.
    pub first_byte: Duration,
    /// Between two pieces of the answer.
    pub gap: Duration,
    /// From the start to the end of the answer.
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
