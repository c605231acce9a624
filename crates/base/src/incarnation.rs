//! Incarnations of instances and backend servers.

use core::fmt;

use serde::{Deserialize, Serialize};

use crate::{Name, Stamp};

/// One run of an instance or backend server: its name and the time at which it started.
///
/// A restarted instance has the same name and a later start time, so state that was recorded about an
/// earlier run is never applied to the new one.
///
/// # Examples
///
/// ```
/// use base::{Incarnation, Stamp};
/// let first = Incarnation::new("entry-1", Stamp::from_millis(10));
/// let second = Incarnation::new("entry-1", Stamp::from_millis(20));
/// assert!(second > first);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The name.
    pub name: Name,
    /// The start time of this run, according to the instance's own clock.
    pub start: Stamp,
}

impl Incarnation {
    /// Returns the incarnation with a name and a start time.
    pub fn new(name: impl Into<Name>, start: Stamp) -> Self {
        Self {
            name: name.into(),
            start,
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.start.as_millis())
    }
}
