//! The prefix of a prompt: prompts that share it go to engines that have it cached.

use base::{Digest, Name};
use serde_json::Value;

/// The maximum length of a prefix.
const MAX_PREFIX_BYTES: usize = 512;

/// The average length of a token, used to estimate the token count of a prefix.
const AVERAGE_TOKEN_BYTES: usize = 4;

/// The prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prefix {
    /// Identifies the prefix.
    pub(crate) digest: u64,
    /// The tokens that an engine with this prefix in its cache need not process.
    pub(crate) tokens: u32,
}

/// Returns the prefix of the prompt that an operation makes of an input.
pub(crate) fn from_input(operation: &Name, input: &Value) -> Prefix {
    let text = input.to_string();
    let bytes = &text.as_bytes()[..text.len().min(MAX_PREFIX_BYTES)];
    let digest = Digest::of_parts(&[operation.as_str().as_bytes(), bytes]);
    Prefix {
        digest: digest.prefix(),
        tokens: u32::try_from(bytes.len() / AVERAGE_TOKEN_BYTES).unwrap_or(u32::MAX),
    }
}
