//! Idempotency keys that contain their time of issue.

use core::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

use crate::Stamp;

/// A caller's idempotency key: a UUID of version 7.
///
/// # Examples
///
/// ```
/// let key = base::Key::parse("01890a5d-ac96-774b-bcce-b302099a8057").unwrap();
/// assert_eq!(key.issued().as_millis(), 0x0189_0a5d_ac96);
/// assert!(base::Key::parse("not-a-key").is_err());
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(Uuid);

/// The reason why a text is not a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The text is not a UUID.
    #[error("not a UUID")]
    Syntax,
    /// The UUID has another version and contains no time of issue.
    #[error("not a UUID of version 7")]
    Version,
}

impl Key {
    /// Parses a key.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let uuid = Uuid::parse_str(text).map_err(|_| Error::Syntax)?;
        if uuid.get_version_num() != 7 {
            return Err(Error::Version);
        }
        Ok(Self(uuid))
    }

    /// Builds a key from its time of issue and random bits, for tests and generated traces.
    pub fn from_parts(issued: Stamp, random: u128) -> Self {
        let bytes = random.to_be_bytes();
        let mut tail = [0; 10];
        tail.copy_from_slice(&bytes[6..]);
        Self(uuid::Builder::from_unix_timestamp_millis(issued.as_millis(), &tail).into_uuid())
    }

    /// Returns the time of issue, according to the caller's clock.
    pub fn issued(&self) -> Stamp {
        let bytes = self.0.as_bytes();
        let millis = bytes[..6]
            .iter()
            .fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        Stamp::from_millis(millis)
    }

    /// Returns the 16 bytes of the key.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
