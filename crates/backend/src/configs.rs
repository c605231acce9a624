//! Configuration of the client.

use core::time::Duration;

/// Limits and timeouts of the client.
#[derive(Clone, Debug)]
pub struct Config {
    /// The maximum size of an answer, in bytes.
    pub max_answer_bytes: usize,
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept open.
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
