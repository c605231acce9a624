//! Errors of actions.

use bundle::{approval, check};
use thiserror::Error;

/// An error of an action.
///
/// # Examples
///
/// ```
/// assert_eq!(ctl::Error::Outage("no answer".into()).exit_code(), 3);
/// ```
#[derive(Debug, Error)]
pub enum Error {
    /// The first records of the log were dropped, and no `Carry` has the state yet.
    #[error("the log no longer keeps the records that the state comes from; wait for a carry")]
    Truncated,
    /// The bundle has faults.
    #[error("{}", fault_lines(.0))]
    Faults(Vec<check::Fault>),
    /// The log could not be read, or refused the append; nothing was changed.
    #[error("nothing was changed: {0}")]
    Outage(String),
    /// The record was rejected, or would be.
    #[error("refused: {0}")]
    Refused(#[from] approval::Fault),
    /// The answer to the append was lost and the record was not found yet; it may still be appended.
    #[error("not known: {0}; ask `history` later, and don't repeat it before")]
    Unknown(String),
    /// The command line or a setting is invalid.
    #[error("{0}")]
    Usage(String),
}

impl Error {
    /// Returns the exit code of the process; `docs/OPERATORS.md` has the table.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Faults(_) | Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Truncated | Self::Outage(_) => 3,
            Self::Unknown(_) => 4,
        }
    }
}

fn fault_lines(faults: &[check::Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
