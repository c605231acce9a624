//! Errors of calls between instances.

use thiserror::Error;
use tonic::{Code, Status};

/// The reason why a call to another instance failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The address is not `ip:port`.
    #[error("{0} is not an address of the form ip:port")]
    Address(String),
    /// The message cannot be decoded.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The instance refused the call, for example because it does not own the partition.
    #[error("refused: {0}")]
    Refused(String),
    /// No answer arrived in time; the next call opens a new connection.
    #[error("no answer within the deadline")]
    Timeout {
        /// Whether no call was answered over the connection before, which indicates a fault of the instance rather
        /// than of an old connection.
        fresh: bool,
    },
    /// The connection could not be opened or was closed.
    #[error("unavailable: {0}")]
    Unavailable(String),
}

impl From<Error> for Status {
    fn from(error: Error) -> Self {
        let text = error.to_string();
        match error {
            Error::Address(_) | Error::Malformed(_) => Self::invalid_argument(text),
            Error::Refused(reason) => Self::failed_precondition(reason),
            Error::Timeout { .. } => Self::deadline_exceeded(text),
            Error::Unavailable(_) => Self::unavailable(text),
        }
    }
}

impl From<Status> for Error {
    fn from(status: Status) -> Self {
        match status.code() {
            Code::FailedPrecondition => Self::Refused(status.message().to_owned()),
            Code::InvalidArgument => Self::Malformed("the instance could not read the call"),
            _ => Self::Unavailable(status.message().to_owned()),
        }
    }
}
