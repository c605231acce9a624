//! Defaults of the client.

use core::time::Duration;

/// Limits of the client towards backend servers.
#[derive(Clone, Debug)]
pub struct Config {
    /// The largest answer read, in bytes.
    pub answer_bytes: usize,
    /// The time to open a connection.
    pub connect: Duration,
    /// The time for which an idle connection is kept.
    pub idle: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            answer_bytes: 8 * 1024 * 1024,
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(15),
        }
    }
}
