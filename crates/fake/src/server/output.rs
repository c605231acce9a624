//! Outputs, each a deterministic function of the operation and the input.

use base::Digest;
use serde_json::{Value, json};

use super::Kind;

/// The length of a vector.
const VECTOR_LEN: usize = 8;

/// The number of documents found for a query.
const DOCUMENTS: u64 = 5;

/// The words that generated texts consist of.
const WORDS: [&str; 16] = [
    "band", "brief", "colour", "deadline", "deposit", "entry", "judge", "line", "march", "page",
    "roster", "score", "sketch", "summary", "term", "tune",
];

/// Computes the output of a call.
///
/// - `encode` gives `{"vector": [8 numbers]}`
/// - `retrieve` gives `{"documents": [ids]}`
/// - `rerank` gives the ids of `documents` anywhere in the input in another order
/// - `generate` gives `{"count", "digest", "text"}`, equal to the content of the whole stream
/// - `service` gives `{"operation", "key", "digest"}`
///
/// # Examples
///
/// ```
/// use fake::server::{Kind, output};
/// let input = serde_json::json!({"text": "a brief"});
/// let first = output::compute(Kind::Encode, "encode", None, &input, 24);
/// let again = output::compute(Kind::Encode, "encode", None, &input, 24);
/// assert_eq!(first, again);
/// ```
pub fn compute(
    kind: Kind,
    operation: &str,
    key: Option<&str>,
    input: &Value,
    tokens: u64,
) -> Value {
    let digest = digest(operation, input);
    match kind {
        Kind::Encode => json!({ "vector": vector(&digest) }),
        Kind::Generate => generated(&digest, token_count(input, tokens)),
        Kind::Rerank => json!({ "documents": reranked(&digest, input) }),
        Kind::Retrieve => json!({ "documents": documents(&digest) }),
        Kind::Service => json!({ "operation": operation, "key": key, "digest": digest }),
    }
}

/// Returns the digest that an output is derived from.
pub fn digest(operation: &str, input: &Value) -> Digest {
    Digest::of_parts(&[operation.as_bytes(), input.to_string().as_bytes()])
}

/// Returns one token of a generated text; all but the first begin with a space.
pub fn token(digest: &Digest, index: u64) -> String {
    let chosen = Digest::of_parts(&[digest.as_bytes(), &index.to_be_bytes()]);
    let word = WORDS[usize::from(chosen.as_bytes()[0]) % WORDS.len()];
    let separator = if index == 0 { "" } else { " " };
    format!("{separator}{word}")
}

/// Returns the first tokens of a generated text, joined.
pub fn text(digest: &Digest, tokens: u64) -> String {
    (0..tokens).map(|index| token(digest, index)).collect()
}

/// Returns how many tokens an input asks for with `max_tokens`.
pub fn token_count(input: &Value, default: u64) -> u64 {
    field(input, "max_tokens").as_u64().unwrap_or(default)
}

/// Returns a field of an input, or of the request within it.
pub(super) fn field<'a>(input: &'a Value, name: &str) -> &'a Value {
    match &input[name] {
        Value::Null => &input["request"][name],
        value => value,
    }
}

fn generated(digest: &Digest, tokens: u64) -> Value {
    let text = text(digest, tokens);
    json!({ "count": tokens, "digest": Digest::of(text.as_bytes()), "text": text })
}

fn vector(digest: &Digest) -> Vec<f64> {
    let bytes = digest.as_bytes().iter().take(VECTOR_LEN);
    bytes.map(|byte| f64::from(*byte) / 256.0).collect()
}

fn documents(digest: &Digest) -> Vec<String> {
    (0..DOCUMENTS)
        .map(|index| {
            let document = Digest::of_parts(&[digest.as_bytes(), &index.to_be_bytes()]);
            format!("doc-{:04}", document.prefix() % 10_000)
        })
        .collect()
}

fn reranked(digest: &Digest, input: &Value) -> Vec<String> {
    let mut ids = find_documents(input).unwrap_or_default();
    ids.sort_by_key(|id| Digest::of_parts(&[digest.as_bytes(), id.as_bytes()]));
    ids
}

fn find_documents(input: &Value) -> Option<Vec<String>> {
    match input {
        Value::Array(items) => items.iter().find_map(find_documents),
        Value::Object(fields) => match fields.get("documents") {
            Some(Value::Array(ids)) => Some(
                ids.iter()
                    .filter_map(|id| id.as_str().map(str::to_owned))
                    .collect(),
            ),
            _ => fields.values().find_map(find_documents),
        },
        _ => None,
    }
}
