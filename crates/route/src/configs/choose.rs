//! Settings of the choice among candidates.

use core::time::Duration;

/// Settings of the choice among candidates.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Random candidates from the own failure domain.
    pub local_candidates: usize,
    /// Random candidates from other failure domains.
    pub remote_candidates: usize,
    /// Random candidates from each of the two where a prefix brings its holders.
    pub candidates_beside_holders: usize,
    /// Candidates that are believed to hold the prefix.
    pub prefix_holders: usize,
    /// What placing a prefix on its home server counts for, relative to a cache hit.
    pub home_weight: f64,
    /// What a hop into another failure domain counts for, as added wait.
    pub cross_domain_penalty: Duration,
    /// Prefill time that one cached token saves.
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
