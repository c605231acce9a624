//! Ids of requests.

use core::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// The id that one entry instance gives to one request it accepts.
///
/// A caller's repeat of a request gets a new id; what ties the two is the [`crate::Key`].
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

    /// Reads an id from its text.
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
