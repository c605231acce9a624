//! Signatures of operators over bundles.
//!
//! Every signed message names its purpose, so that a signature for one purpose is invalid for another.

use core::fmt;

use base::{Digest, Stamp};
use ed25519_dalek::{Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// An operator's private key.
///
/// # Examples
///
/// ```
/// use bundle::sign::{Key, Message};
/// let key = Key::from_seed([7; 32]);
/// let message = Message::roll_out(None, base::Digest::of(b"bundle"), 1);
/// let signature = key.sign(&message);
/// assert!(signature.verifies(&message, &key.public()));
/// assert_eq!(Key::parse(&key.secret()).unwrap().public(), key.public());
/// ```
#[derive(Clone)]
pub struct Key(SigningKey);

impl Key {
    /// Builds a key from its 32 secret bytes.
    pub fn from_seed(seed: [u8; 32]) -> Self {
        Self(SigningKey::from_bytes(&seed))
    }

    /// Returns the key of a role in the example bundles. It is derived from the role, so it is no secret.
    pub fn example(role: &str) -> Self {
        Self::from_seed(*Digest::of(format!("{role}-key").as_bytes()).as_bytes())
    }

    /// Reads a key from the 64 hexadecimal digits of its secret bytes.
    pub fn parse(text: &str) -> Option<Self> {
        Digest::parse(text.trim()).map(|seed| Self::from_seed(*seed.as_bytes()))
    }

    /// Returns the secret bytes as 64 hexadecimal digits.
    pub fn secret(&self) -> String {
        hex::encode(self.0.to_bytes())
    }

    /// Returns the public key.
    pub fn public(&self) -> Digest {
        Digest::from(self.0.verifying_key().to_bytes())
    }

    /// Signs a message.
    pub fn sign(&self, message: &Message) -> Signature {
        Signature(self.0.sign(message.0.as_bytes()).to_bytes())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key(public {:?})", self.public())
    }
}

/// The text that a signature covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message(String);

impl Message {
    /// The author's message: this content is proposed to replace that base.
    pub fn publish(version: u64, base: Option<Digest>, digest: Digest) -> Self {
        Self(format!(
            "limpetstep publish 1\n{version}\n{}\n{digest}\n",
            base_text(base)
        ))
    }

    /// A signer's message: this content may replace that base.
    pub fn sign_off(version: u64, base: Option<Digest>, digest: Digest) -> Self {
        Self(format!(
            "limpetstep sign-off 1\n{version}\n{}\n{digest}\n",
            base_text(base)
        ))
    }

    /// An operator's order to put a bundle in force.
    pub fn roll_out(base: Option<Digest>, digest: Digest, nonce: u64) -> Self {
        Self(format!(
            "limpetstep roll-out 1\n{}\n{digest}\n{nonce}\n",
            base_text(base)
        ))
    }

    /// An operator's request to an instance: the method, the path with its query, the operator's
    /// time in milliseconds since the Unix epoch, and the digest of the body.
    pub fn request(method: &str, target: &str, at: Stamp, body: Digest) -> Self {
        let at = at.as_millis();
        Self(format!(
            "limpetstep request 1\n{method}\n{target}\n{at}\n{body}\n"
        ))
    }
}

fn base_text(base: Option<Digest>) -> String {
    base.map_or_else(|| "none".to_owned(), |base| base.to_string())
}

/// Returns whether 32 bytes are a valid ed25519 public key, weak keys excluded.
pub fn is_valid_key(public: &Digest) -> bool {
    VerifyingKey::from_bytes(public.as_bytes()).is_ok_and(|key| !key.is_weak())
}

/// An ed25519 signature, written as 128 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Signature([u8; 64]);

impl fmt::Display for Signature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl Signature {
    /// Reads a signature from its 128 hexadecimal digits.
    ///
    /// # Examples
    ///
    /// ```
    /// use bundle::sign::Signature;
    /// let text = "07".repeat(64);
    /// assert_eq!(Signature::parse(&text).unwrap().to_string(), text);
    /// assert!(Signature::parse("07").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut bytes = [0; 64];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Returns whether this is a signature of a message by the holder of a public key.
    pub fn verifies(&self, message: &Message, public: &Digest) -> bool {
        let Ok(key) = VerifyingKey::from_bytes(public.as_bytes()) else {
            return false;
        };
        let signature = ed25519_dalek::Signature::from_bytes(&self.0);
        // `verify_strict` also rejects weak keys, whose signatures are valid for many messages.
        key.verify_strict(message.0.as_bytes(), &signature).is_ok()
    }
}

impl fmt::Debug for Signature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..6]))
    }
}

impl Serialize for Signature {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Signature {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| de::Error::custom("expected 128 hexadecimal digits"))
    }
}
