//! The software that a backend server runs.

use crate::{Incarnation, Name};

/// The software that a backend server runs, as far as it is known.
///
/// # Examples
///
/// ```
/// use base::Software;
/// let first = Software::Version("v1".into());
/// assert_eq!(first.to_string(), "v1");
/// assert_ne!(first, Software::Version("v2".into()));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Software {
    /// A version, which any number of servers may run.
    Version(Name),
    /// An unknown version, which is certain to be the same only within one run of a server.
    Run(Incarnation),
}

impl core::fmt::Display for Software {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self {
            Self::Version(version) => version.fmt(f),
            Self::Run(run) => write!(f, "unknown of {run}"),
        }
    }
}
