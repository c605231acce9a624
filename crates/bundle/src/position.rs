//! The position of an instance in the sequence of bundles.

use base::Digest;
use serde::{Deserialize, Serialize};

/// The bundle that an instance has in force.
///
/// Positions are ordered by version. The version is signed, and each roll-out that takes effect has
/// a higher version than the bundle it replaces, so the order of versions is the order of the log.
///
/// # Examples
///
/// ```
/// use base::Digest;
/// use bundle::Position;
/// let old = Position { version: 1, offset: 9, digest: Digest::of(b"a") };
/// let new = Position { version: 2, offset: 3, digest: Digest::of(b"b") };
/// assert!(new.follows(&old) && !old.follows(&new));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The offset of the roll-out in the log. It is not signed, so positions are never ordered by it.
    pub offset: u64,
    /// The digest of the bundle.
    pub digest: Digest,
    /// The version of the bundle.
    pub version: u64,
}

impl Position {
    /// Returns whether this position is newer than another one.
    pub const fn follows(&self, other: &Self) -> bool {
        self.version > other.version
    }
}
