//! Settings of account limits over several entry instances.

use core::time::Duration;

/// Settings of account limits over several entry instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The part of an account's limit that is split evenly, whatever the demand.
    pub even_share: f64,
    /// Time after which half of the measured demand is forgotten.
    pub half_life: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            even_share: 0.2,
            half_life: Duration::from_secs(1),
        }
    }
}
