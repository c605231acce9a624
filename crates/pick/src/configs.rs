//! Settings of server selection.

use core::time::Duration;

/// Prompt tokens that an engine is assumed to read per millisecond until answers show it. Pools read 38 to 157.
pub const TOKENS_PER_MS: f64 = 45.0;

/// Settings with their defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The weight of the newest answer in a server's latency estimate; 0.3 follows a change within about five answers.
    pub latency_weight: f64,
    /// The half-life of a server's latency and failure estimates, so that a slow server is tried again.
    pub half_life: Duration,
    /// The first time for which an unreachable server gets no requests; doubles with each failure.
    pub initial_block: Duration,
    /// The longest such time; the platform's servers recover a few seconds after a crash.
    pub max_block: Duration,
    /// The cost of one recent failure, in milliseconds of waiting.
    pub failure_penalty_ms: f64,
    /// The cost of leaving the local failure domain, in milliseconds of waiting.
    pub remote_domain_penalty_ms: f64,
    /// The latency estimate of a server without answers, in milliseconds.
    pub default_latency_ms: f64,
    /// The largest random addition to the cost, as a share of it, so that instances don't all choose the same server.
    pub jitter: f64,
    /// Prompt tokens that an engine reads per millisecond, as assumed until its pool's answers show it.
    pub tokens_per_ms: f64,
    /// The weight of a millisecond of writing beside one of waiting for the first event, as callers wait for the first
    /// event and read while the others arrive. Chosen, not measured.
    pub writing_weight: f64,
    /// The additional weight of the prompts queued at a slow engine for a long output, whose events they stall. Chosen,
    /// not measured.
    pub stall_weight: f64,
    /// The output tokens from which an output counts as long.
    pub long_output_tokens: f64,
    /// How long a load report of another instance is valid.
    pub peer_load_ttl: Duration,
    /// How long a prompt part is assumed to stay in an engine's cache.
    pub part_ttl: Duration,
    /// How long a change of an engine's cache is sent to other instances, which covers several heartbeats.
    pub update_ttl: Duration,
    /// The number of tracked chains of cached parts from which those older than half of `part_ttl` are removed.
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
            writing_weight: 0.02,
            stall_weight: 0.5,
            long_output_tokens: 400.0,
            peer_load_ttl: Duration::from_secs(1),
            part_ttl: Duration::from_secs(20),
            update_ttl: Duration::from_millis(700),
            max_parts: 4_096,
        }
    }
}
