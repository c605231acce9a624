//! Settings of the times at which refused callers are told to come back.

use core::time::Duration;

/// Settings of the times at which refused callers are told to come back.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The shortest time.
    pub least: Duration,
    /// The longest time.
    pub most: Duration,
    /// The share of the measured rate of starts that is held out to returning callers.
    pub share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            least: Duration::from_millis(200),
            most: Duration::from_secs(30),
            share: 0.5,
        }
    }
}
