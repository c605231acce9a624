//! Positions in streams, from which interrupted streams are resumed.

use core::fmt;

/// The number of hexadecimal digits of the digest in an event id; 64 bits suffice to detect a diverged text.
const DIGEST_DIGITS: usize = 16;

/// A position in a stream: the number of received tokens and the digest of their texts.
///
/// # Examples
///
/// ```
/// let position = front::Position::parse("12-00112233445566ff").unwrap();
/// assert_eq!(position.count, 13);
/// assert_eq!(position.to_string(), "12-00112233445566ff");
/// assert!(front::Position::parse("12").is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Position {
    /// The number of received tokens.
    pub count: u64,
    /// The first hexadecimal digits of the SHA-256 digest of their joined texts.
    pub digest: String,
}

impl Position {
    /// Returns the position after `count` tokens whose joined texts have the digest.
    pub fn new(count: u64, digest: &str) -> Self {
        let digits = digest.len().min(DIGEST_DIGITS);
        Self {
            count,
            digest: digest[..digits].to_owned(),
        }
    }

    /// Parses an event id.
    pub fn parse(text: &str) -> Option<Self> {
        let (index, digest) = text.split_once('-')?;
        let index: u64 = index.parse().ok()?;
        let is_valid =
            digest.len() == DIGEST_DIGITS && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
        is_valid.then(|| Self {
            count: index.saturating_add(1),
            digest: digest.to_owned(),
        })
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.count.saturating_sub(1), self.digest)
    }
}
