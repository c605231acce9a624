//! Settings of the course of a request.

use core::time::Duration;

/// Every setting with its default.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The largest answer that is held back until it is whole, in bytes.
    pub max_buffered_bytes: usize,
    /// Backend servers that a request tries to reach before it is refused.
    pub max_unreachable: usize,
    /// The least time that a repeatable attempt gets before another server is tried.
    pub min_attempt_timeout: Duration,
    /// The shortest time after which a refused caller is told to return.
    pub min_retry_after: Duration,
    /// The span over which refused callers' returns are balance.
    pub retry_after_jitter: Duration,
    /// The shares of its time left, least and most, after which a caller returns that was refused for the load on
    /// stages: bursts last seconds, and the platform's callers wait for a third of what they have at the most.
    pub overload_retry_share: (f64, f64),
    /// What fetching results from another failure domain costs, in milliseconds of waiting at an engine.
    pub remote_results_penalty_ms: f64,
    /// The size from which results draw a request to an engine in their domain, in bytes.
    pub large_result_bytes: u64,
    /// How often a piece of a stage may be in a call.
    pub max_piece_attempts: u32,
    /// One line is logged for so many requests that were answered without trouble.
    pub log_sample_interval: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_buffered_bytes: 4 * 1024 * 1024,
            max_unreachable: 4,
            min_attempt_timeout: Duration::from_millis(400),
            min_retry_after: Duration::from_millis(150),
            retry_after_jitter: Duration::from_millis(500),
            overload_retry_share: (0.2, 0.33),
            remote_results_penalty_ms: 60.0,
            large_result_bytes: 500_000,
            max_piece_attempts: 3,
            log_sample_interval: 64,
        }
    }
}
