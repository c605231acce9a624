//! Where a cut stream goes on.

use core::fmt;

/// The digits of the digest that an event id carries; 64 bits tell diverged texts apart.
const DIGITS: usize = 16;

/// A place in a stream: the tokens received and the digest of their texts.
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
    /// The number of tokens received.
    pub count: u64,
    /// The first digits of the SHA-256 digest of their texts, joined.
    pub digest: String,
}

impl Position {
    /// Names the place after `count` tokens whose joined texts have a digest.
    pub fn new(count: u64, digest: &str) -> Self {
        let digits = digest.len().min(DIGITS);
        Self {
            count,
            digest: digest[..digits].to_owned(),
        }
    }

    /// Reads a place from an event id.
    pub fn parse(text: &str) -> Option<Self> {
        let (index, digest) = text.split_once('-')?;
        let index: u64 = index.parse().ok()?;
        let valid = digest.len() == DIGITS && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
        valid.then(|| Self {
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
