//! Identifiers of at-most-once calls and of the attempts to claim them.

use core::fmt;

use base::{Digest, Key, Stamp};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Identifies one at-most-once call; ordered by the time its key was issued.
///
/// # Examples
///
/// ```
/// use base::{Key, Stamp};
/// use ledger::slot::Slot;
/// let key = Key::from_parts(Stamp::from_millis(9), 1);
/// let slot = Slot::new("compas", &key, "entries-api");
/// assert_eq!(slot.issued(), key.issued());
/// assert_ne!(slot, Slot::new("compas", &key, "draw-board"));
/// assert_eq!(Slot::parse(&slot.to_string()), Some(slot));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot {
    issued: Stamp,
    id: [u8; 16],
}

impl Slot {
    /// Derives the slot of the call that a stage makes for a client account's key.
    pub fn new(account: &str, key: &Key, stage: &str) -> Self {
        let digest = Digest::of_parts(&[account.as_bytes(), key.as_bytes(), stage.as_bytes()]);
        let mut id = [0; 16];
        id.copy_from_slice(&digest.as_bytes()[..16]);
        Self {
            issued: key.issued(),
            id,
        }
    }

    /// Returns when the caller issued the key.
    pub const fn issued(&self) -> Stamp {
        self.issued
    }

    /// Returns the hash of account, key and stage.
    pub const fn bits(&self) -> u128 {
        u128::from_be_bytes(self.id)
    }

    /// Parses a slot from its text.
    pub fn parse(text: &str) -> Option<Self> {
        let (id, issued) = text.split_once('-')?;
        Some(Self {
            issued: Stamp::from_millis(u64::from_str_radix(issued, 16).ok()?),
            id: u128::from_str_radix(id, 16).ok()?.to_be_bytes(),
        })
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.bits(), self.issued.as_millis())
    }
}

impl fmt::Debug for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for Slot {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Slot {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text)
            .ok_or_else(|| de::Error::custom("expected a slot as HASH-MILLISECONDS in hexadecimal"))
    }
}

/// Identifies one attempt to claim a slot; random, so that no two attempts share one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nonce([u8; 16]);

impl Nonce {
    /// Builds a nonce from random bits.
    ///
    /// # Examples
    ///
    /// ```
    /// use ledger::slot::Nonce;
    /// let nonce = Nonce::from_random(5);
    /// assert_ne!(nonce, nonce.next());
    /// assert_eq!(nonce.next(), nonce.next());
    /// ```
    pub const fn from_random(bits: u128) -> Self {
        Self(bits.to_be_bytes())
    }

    /// Derives the nonce of the same holder's next attempt.
    #[must_use]
    pub fn next(self) -> Self {
        let mut next = [0; 16];
        next.copy_from_slice(&Digest::of(&self.0).as_bytes()[..16]);
        Self(next)
    }
}

impl fmt::Display for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for Nonce {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Nonce {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bits = u128::from_str_radix(&text, 16).map_err(de::Error::custom)?;
        Ok(Self::from_random(bits))
    }
}
