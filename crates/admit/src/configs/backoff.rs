//! Settings of the times at which refused callers are told to come back.

use core::time::Duration;

/// Settings of the times at which refused callers are told to come back.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The shortest time.
    pub min: Duration,
    /// The longest time.
    pub max: Duration,
    /// The share of the measured rate of starts that is held out to returning callers.
    pub rate_share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            min: Duration::from_millis(200),
            max: Duration::from_secs(30),
            rate_share: 0.5,
        }
    }
}
