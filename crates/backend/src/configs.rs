//! Defaults of the client.

use core::time::Duration;

/// Limits of the client towards backend servers.
#[derive(Clone, Debug)]
pub struct Config {
    /// The largest answer read, in bytes.
    pub max_answer_bytes: usize,
    /// The time to open a connection.
    pub connect_timeout: Duration,
    /// The time for which an idle connection is kept.
    pub idle_timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_answer_bytes: 8 * 1024 * 1024,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
