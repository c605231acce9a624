//! Request ids.

use core::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// The id that an entry instance assigns to a request that it accepts.
///
/// A request that the caller sends again gets a new id; the [`crate::Key`] relates the two.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(Uuid);

impl Id {
    /// Builds an id from random bits.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::request::Id;
    /// assert_ne!(Id::from_random(1), Id::from_random(2));
    /// ```
    pub fn from_random(bits: u128) -> Self {
        Self(uuid::Builder::from_random_bytes(bits.to_be_bytes()).into_uuid())
    }

    /// Parses an id.
    pub fn parse(text: &str) -> Option<Self> {
        Uuid::parse_str(text).ok().map(Self)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
