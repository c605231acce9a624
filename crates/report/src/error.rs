//! Errors of the report.

use thiserror::Error;

/// An error that prevents the report.
///
/// # Examples
///
/// ```
/// assert_eq!(report::Error::Usage("--entries is needed".into()).exit_code(), 2);
/// ```
#[derive(Debug, Error)]
pub enum Error {
    /// No instance answered.
    #[error("no entry instance answered: {0}")]
    NoAnswer(String),
    /// The command line or a setting is invalid.
    #[error("{0}")]
    Usage(String),
}

impl Error {
    /// Returns the exit code of the process; `docs/OPERATORS.md` has the table.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::NoAnswer(_) => 3,
        }
    }
}
