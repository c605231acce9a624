//! Timeouts and size limits of calls between instances.

use core::time::Duration;

/// Timeouts of calls and the size limit of messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The timeout for fetching the statistics of an instance for a report.
    pub condense_timeout: Duration,
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// The timeout of an exchange of summaries, within which a broken connection is detected.
    pub exchange_timeout: Duration,
    /// The timeout for fetching a configuration.
    pub fetch_timeout: Duration,
    /// How long a stopping server waits for calls in flight.
    pub grace_period: Duration,
    /// The timeout of a look-up.
    pub lookup_timeout: Duration,
    /// The timeout for requesting a permit.
    pub permit_timeout: Duration,
    /// The maximum size of a message, in bytes.
    pub max_message_bytes: usize,
    /// The timeout of a submission.
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
