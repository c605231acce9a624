//! Settings of the load estimate of one server.

use core::time::Duration;

/// Settings of the load estimate of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Time after which the weight of a load report decays by half.
    pub report_half_life: Duration,
    /// Maximum number of attempts in flight at a server that has not finished any yet.
    pub cold_attempts: usize,
    /// Relative slowdown of each request in a full batch.
    pub batch_slowdown: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            report_half_life: Duration::from_millis(150),
            cold_attempts: 2,
            batch_slowdown: 0.5,
        }
    }
}
