//! Settings of the load of one server.

use core::time::Duration;

/// Settings of the load of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Time after which half of a load report is disbelieved.
    pub report_half_life: Duration,
    /// Attempts in flight allowed to a server that has finished none yet.
    pub cold_attempts: usize,
    /// The share by which a full batch slows each of its requests.
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
