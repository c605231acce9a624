//! Settings of client account limits over several entry instances.

use core::time::Duration;

/// Settings of client account limits over several entry instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Share of an account's limit that is split evenly between instances, regardless of demand.
    pub even_share: f64,
    /// Time after which the measured demand decays by half.
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
