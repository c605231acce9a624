//! Signed requests to the administration interface.

use core::fmt;

use base::{Digest, Stamp};
use bundle::sign::{Key, Message, Signature};

/// The scheme of the `Authorization` header.
const SCHEME: &str = "Limpetstep ";

/// The `Authorization` header of an operator's request.
///
/// The signature covers the method, the path with its query, the time and the digest of the body, so
/// it is valid only for this request and for a limited time.
///
/// # Examples
///
/// ```
/// use base::Stamp;
/// use bundle::sign::Key;
/// use ctl::request::{Credential, sign};
/// let key = Key::example("author");
/// let header = sign(&key, "GET", "/admin/v1/pools", "", Stamp::from_millis(9));
/// let credential = Credential::parse(&header.to_string()).unwrap();
/// assert!(credential.verifies("GET", "/admin/v1/pools", b""));
/// assert!(!credential.verifies("GET", "/admin/v1/accounts", b""));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credential {
    /// The operator's public key.
    pub key: Digest,
    /// When the request was signed, by the operator's clock.
    pub at: Stamp,
    /// The signature.
    pub signature: Signature,
}

impl Credential {
    /// Parses the value of an `Authorization` header.
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.strip_prefix(SCHEME)?.split(',');
        let credential = Self {
            key: Digest::parse(fields.next()?.strip_prefix("key=")?)?,
            at: Stamp::from_millis(fields.next()?.strip_prefix("at=")?.parse().ok()?),
            signature: Signature::parse(fields.next()?.strip_prefix("signature=")?)?,
        };
        fields.next().is_none().then_some(credential)
    }

    /// Returns whether the holder of the key signed this request.
    pub fn verifies(&self, method: &str, target: &str, body: &[u8]) -> bool {
        let message = Message::request(method, target, self.at, Digest::of(body));
        self.signature.verifies(&message, &self.key)
    }
}

impl fmt::Display for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (key, at, signature) = (self.key, self.at.as_millis(), self.signature);
        write!(f, "{SCHEME}key={key},at={at},signature={signature}")
    }
}

/// Signs a request.
///
/// # Examples
///
/// See [`Credential`].
pub fn sign(key: &Key, method: &str, target: &str, body: &str, at: Stamp) -> Credential {
    let message = Message::request(method, target, at, Digest::of(body.as_bytes()));
    Credential {
        key: key.public(),
        at,
        signature: key.sign(&message),
    }
}
