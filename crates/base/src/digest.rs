//! SHA-256 digests.

use core::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};

/// A SHA-256 digest, written as 64 lower-case hexadecimal digits.
///
/// # Examples
///
/// ```
/// let digest = base::Digest::of(b"entry");
/// assert_eq!(base::Digest::parse(&digest.to_string()), Some(digest));
/// assert_ne!(base::Digest::of_parts(&[b"a", b"bc"]), base::Digest::of_parts(&[b"ab", b"c"]));
/// ```
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of some bytes.
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }

    /// Computes the digest of several parts. The length of each part is hashed as well, so that different
    /// splits of the same bytes give different digests.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// Parses the hexadecimal digits of a digest.
    pub fn parse(text: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Returns the 32 bytes.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns the first eight bytes as a number, for hashing and ordering.
    pub fn prefix(&self) -> u64 {
        self.0[..8]
            .iter()
            .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}

impl From<[u8; 32]> for Digest {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..6]))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| de::Error::custom("expected 64 hexadecimal digits"))
    }
}
