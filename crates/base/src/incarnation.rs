//! One life of an instance or of a backend server.

use core::fmt;

use serde::{Deserialize, Serialize};

use crate::{Name, Stamp};

/// A name together with the time at which its holder started.
///
/// A restarted instance has the same name and a later start, so what was learnt of an
/// earlier life is never held against the new one.
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
    /// When this life began, by its own clock.
    pub start: Stamp,
}

impl Incarnation {
    /// Names one life of an instance.
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
