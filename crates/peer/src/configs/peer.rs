//! Deadlines and sizes of calls between instances.

use core::time::Duration;

/// How long calls may take and how large messages may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Deadline of a part for a report.
    pub condense: Duration,
    /// Deadline for opening a connection.
    pub connect: Duration,
    /// Deadline of an exchange, and of the discovery that its connection is silent.
    pub exchange: Duration,
    /// Deadline of fetching a configuration.
    pub fetch: Duration,
    /// How long a stop waits for calls in flight.
    pub grace: Duration,
    /// Deadline of a look-up.
    pub lookup: Duration,
    /// Deadline of a permit.
    pub permit: Duration,
    /// Largest message, in bytes.
    pub size: usize,
    /// Deadline of a submission.
    pub submit: Duration,
}

impl Default for Peer {
    fn default() -> Self {
        Self {
            condense: Duration::from_millis(1_500),
            connect: Duration::from_millis(500),
            exchange: Duration::from_secs(1),
            fetch: Duration::from_secs(5),
            grace: Duration::from_secs(5),
            lookup: Duration::from_secs(1),
            permit: Duration::from_millis(500),
            size: 16 << 20,
            submit: Duration::from_secs(3),
        }
    }
}
