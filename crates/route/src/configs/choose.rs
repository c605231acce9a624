//! Settings of the selection among candidates.

use core::time::Duration;

/// Settings of the selection among candidates.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Number of random candidates from the own failure domain.
    pub local_candidates: usize,
    /// Number of random candidates from other failure domains.
    pub remote_candidates: usize,
    /// Number of random candidates from the own and from other failure domains if the request has a prefix, whose
    /// holders are candidates too.
    pub candidates_beside_holders: usize,
    /// Number of candidates that are believed to hold the prefix.
    pub prefix_holders: usize,
    /// Value of placing a prefix on its home server, relative to a cache hit.
    pub home_weight: f64,
    /// Time added to the expected latency of a server in another failure domain.
    pub cross_domain_penalty: Duration,
    /// Prefill time saved by one cached token.
    pub prefill_time_per_token: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            local_candidates: 2,
            remote_candidates: 2,
            candidates_beside_holders: 1,
            prefix_holders: 4,
            home_weight: 0.9,
            cross_domain_penalty: Duration::from_millis(2),
            prefill_time_per_token: Duration::from_micros(100),
        }
    }
}
