//! The beginning of a prompt, by which prompts that share it are sent to the same engines.

use base::{Digest, Name};
use serde_json::Value;

/// The bytes of a prompt that count as its beginning.
const BYTES: usize = 512;

/// Bytes of text in one token, on average.
const TOKEN_BYTES: usize = 4;

/// The beginning of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prefix {
    /// Names it.
    pub(crate) digest: u64,
    /// The tokens that an engine which holds it need not read again.
    pub(crate) tokens: u32,
}

/// Names the beginning of the prompt that an operation makes of an input.
pub(crate) fn of(operation: &Name, input: &Value) -> Prefix {
    let text = input.to_string();
    let bytes = &text.as_bytes()[..text.len().min(BYTES)];
    let digest = Digest::of_parts(&[operation.as_str().as_bytes(), bytes]);
    Prefix {
        digest: digest.prefix(),
        tokens: u32::try_from(bytes.len() / TOKEN_BYTES).unwrap_or(u32::MAX),
    }
}
