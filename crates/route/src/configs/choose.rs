//! Settings of the choice among candidates.

use core::time::Duration;

/// Settings of the choice among candidates.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Random candidates from the own failure domain.
    pub local: usize,
    /// Random candidates from other failure domains.
    pub remote: usize,
    /// Random candidates from each of the two where a prefix brings its holders.
    pub beside_holders: usize,
    /// Candidates that are believed to hold the prefix.
    pub holders: usize,
    /// What placing a prefix on its home server counts for, relative to a cache hit.
    pub home: f64,
    /// What a hop into another failure domain counts for, as added wait.
    pub hop: Duration,
    /// Prefill time that one cached token saves.
    pub token: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            local: 2,
            remote: 2,
            beside_holders: 1,
            holders: 4,
            home: 0.9,
            hop: Duration::from_millis(2),
            token: Duration::from_micros(100),
        }
    }
}
