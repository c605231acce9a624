use bundle::{approval, check};
use thiserror::Error;

/// Why an action was not done, or is not known to be done.
///
/// # Examples
///
/// ```
/// assert_eq!(ctl::Error::Outage("no answer".into()).exit_code(), 3);
/// ```
#[derive(Debug, Error)]
pub enum Error {
    /// The log's head is gone and no record tells the state; an instance's `Carry` will.
    #[error("the log no longer keeps the records that the state comes from; wait for a carry")]
    Truncated,
    /// The bundle has faults.
    #[error("{}", listed(.0))]
    Faults(Vec<check::Fault>),
    /// The log can't be read, or refused the append; nothing was changed.
    #[error("nothing was changed: {0}")]
    Outage(String),
    /// The record counts for nothing, or would.
    #[error("refused: {0}")]
    Refused(#[from] approval::Fault),
    /// The append's answer was lost and the record is not found yet; it may get there still.
    #[error("not known: {0}; ask `history` later, and don't repeat it before")]
    Unknown(String),
    /// The command line or a setting is at fault.
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

fn listed(faults: &[check::Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
