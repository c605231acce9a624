//! Deadlines and sizes of calls between instances.

use core::time::Duration;

/// How long calls may take and how large messages may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Deadline of a part for a report.
    pub condense_timeout: Duration,
    /// Deadline for opening a connection.
    pub connect_timeout: Duration,
    /// Deadline of an exchange, and of the discovery that its connection is silent.
    pub exchange_timeout: Duration,
    /// Deadline of fetching a configuration.
    pub fetch_timeout: Duration,
    /// How long a stop waits for calls in flight.
    pub grace_period: Duration,
    /// Deadline of a look-up.
    pub lookup_timeout: Duration,
    /// Deadline of a permit.
    pub permit_timeout: Duration,
    /// Largest message, in bytes.
    pub max_message_bytes: usize,
    /// Deadline of a submission.
    pub submit_timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            condense_timeout: Duration::from_millis(1_500),
            connect_timeout: Duration::from_millis(500),
            exchange_timeout: Duration::from_secs(1),
            fetch_timeout: Duration::from_secs(5),
            grace_period: Duration::from_secs(5),
            lookup_timeout: Duration::from_secs(1),
            permit_timeout: Duration::from_millis(500),
            max_message_bytes: 16 << 20,
            submit_timeout: Duration::from_secs(3),
        }
    }
}
