//! Settings of the course of a request.

use core::time::Duration;

/// Every setting with its default.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The largest answer that is held back until it is whole, in bytes.
    pub answer_bytes: usize,
    /// Backend servers that a request tries to reach before it is refused.
    pub connects: usize,
    /// The least time that a repeatable attempt gets before another server is tried.
    pub silence_least: Duration,
    /// The shortest time after which a refused caller is told to return.
    pub return_least: Duration,
    /// The span over which refused callers' returns are spread.
    pub return_spread: Duration,
    /// The shares of its time left, least and most, after which a caller returns that was refused for the load on
    /// stages: bursts last seconds, and the platform's callers wait for a third of what they have at the most.
    pub return_load: (f64, f64),
    /// What fetching results from another failure domain costs, in milliseconds of waiting at an engine.
    pub result_pull_ms: f64,
    /// The size from which results draw a request to an engine in their domain, in bytes.
    pub result_heavy: u64,
    /// How often a piece of a stage may be in a call.
    pub piece_tries: u32,
    /// One line is logged for so many requests that were answered without trouble.
    pub sample: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            answer_bytes: 4 * 1024 * 1024,
            connects: 4,
            silence_least: Duration::from_millis(400),
            return_least: Duration::from_millis(150),
            return_spread: Duration::from_millis(500),
            return_load: (0.2, 0.33),
            result_pull_ms: 60.0,
            result_heavy: 500_000,
            piece_tries: 3,
            sample: 64,
        }
    }
}
