//! Settings of the choice of a backend server.

use core::time::Duration;

/// Prompt tokens that an engine reads in a millisecond, until it is seen; the sites' engines read 43 to 51.
pub const TOKENS_PER_MS: f64 = 45.0;

/// Every setting with its default.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The share of the newest answer in a server's usual time; 0.3 follows a change within some five answers.
    pub latency_weight: f64,
    /// The time after which what was seen of a server counts half, so that a slow one is tried again.
    pub half_life: Duration,
    /// The first time for which a server that can't be reached gets nothing; doubles with each failure.
    pub initial_block: Duration,
    /// The longest such time; the platform's servers are back some seconds after a crash.
    pub max_block: Duration,
    /// What one recent failure adds to a server's cost, in milliseconds of waiting.
    pub failure_penalty_ms: f64,
    /// What leaving the own failure domain adds to the cost, in milliseconds of waiting.
    pub remote_domain_penalty_ms: f64,
    /// The cost of a server of which nothing is known yet, in milliseconds.
    pub default_latency_ms: f64,
    /// The share of the cost that chance may change, so that instances don't choose alike.
    pub jitter: f64,
    /// Prompt tokens that an engine reads in a millisecond.
    pub tokens_per_ms: f64,
    /// How long what another instance told of its load counts.
    pub peer_load_ttl: Duration,
    /// How long a part of a prompt is taken to stay in an engine's memory.
    pub part_ttl: Duration,
    /// How long what an engine read is told to other instances; some pulses.
    pub update_ttl: Duration,
    /// The most parts that are remembered.
    pub max_parts: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            latency_weight: 0.3,
            half_life: Duration::from_secs(3),
            initial_block: Duration::from_millis(500),
            max_block: Duration::from_secs(4),
            failure_penalty_ms: 120.0,
            remote_domain_penalty_ms: 2.0,
            default_latency_ms: 30.0,
            jitter: 0.3,
            tokens_per_ms: TOKENS_PER_MS,
            peer_load_ttl: Duration::from_secs(1),
            part_ttl: Duration::from_secs(20),
            update_ttl: Duration::from_millis(700),
            max_parts: 4_096,
        }
    }
}
