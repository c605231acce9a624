//! Failures of calls to backend servers.

use core::time::Duration;

/// The reason why a call to a backend server returned no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The server had no capacity and did not accept the call.
    Busy {
        /// Time until the server expects to have capacity.
        retry_after: Option<Duration>,
    },
    /// The connection closed after the call was sent, and the server is known to be dead.
    Died,
    /// The connection closed after the call was sent, and it is unknown whether the server is alive.
    Disconnected,
    /// The server is leaving and did not accept the call.
    Leaving,
    /// The server's answer does not belong to this attempt.
    Mismatched,
    /// No connection could be opened, so that no byte of the call was sent.
    NotConnected,
    /// The server rejected the input, as any other server would.
    Refused {
        /// The server's description of the reason.
        detail: String,
    },
    /// The call made no progress within a timeout, and the connection was closed.
    TimedOut {
        /// Whether the connection was new, so that the cause is the server and not a stale
        /// connection.
        new_connection: bool,
    },
}

impl Failure {
    /// Returns whether the server may have run the call.
    ///
    /// # Examples
    ///
    /// ```
    /// use flow::Failure;
    /// assert!(Failure::TimedOut { new_connection: true }.may_have_run());
    /// assert!(!Failure::NotConnected.may_have_run());
    /// ```
    pub const fn may_have_run(&self) -> bool {
        match self {
            Self::Busy { .. } | Self::Leaving | Self::NotConnected | Self::Refused { .. } => false,
            Self::Died | Self::Disconnected | Self::Mismatched | Self::TimedOut { .. } => true,
        }
    }
}
