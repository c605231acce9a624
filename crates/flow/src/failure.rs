//! Why a call to a backend server gave no answer.

use core::time::Duration;

/// Why a call to a backend server gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The server had no room and took nothing.
    Busy {
        /// When the server expects to have room.
        retry_after: Option<Duration>,
    },
    /// The connection ended after the call was written, and the server was found dead.
    Died,
    /// The connection ended after the call was written; whether the server lives is not known.
    Disconnected,
    /// The server is leaving and took nothing.
    Leaving,
    /// The server answered with something that is no answer to this attempt.
    Mismatched,
    /// No connection could be opened, so no byte of the call left.
    NotConnected,
    /// The server judged the input and refused it; another server would, too.
    Refused {
        /// What the server said.
        detail: String,
    },
    /// No progress within the limit; the connection was closed.
    TimedOut {
        /// Whether the connection was new, so that the server and not an old connection is to
        /// blame.
        new_connection: bool,
    },
}

impl Failure {
    /// Tells whether the server may have run the call.
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
