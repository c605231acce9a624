//! Parts of a streamed answer on their way to the caller.

use base::{Key, request::Id};
use bytes::Bytes;
use flow::Answer;
use serde_json::json;

use crate::{Position, body};

/// A part of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// One token.
    Token {
        /// The place after this token.
        position: Position,
        /// The text.
        text: String,
    },
    /// The end; only after a whole answer does it carry code 100, a count and a digest.
    End {
        /// The answer.
        answer: Answer,
        /// The number of tokens of the whole answer.
        count: u64,
        /// The SHA-256 digest of all texts, joined, in hexadecimal digits.
        digest: String,
    },
}

impl Frame {
    /// Writes the part as a server-sent event.
    pub(crate) fn write(&self, request: Id, key: Option<Key>) -> Bytes {
        let text = match self {
            Self::Token { position, text } => {
                let data = json!({ "index": position.count.saturating_sub(1), "text": text });
                format!("id: {position}\nevent: token\ndata: {data}\n\n")
            }
            Self::End {
                answer,
                count,
                digest,
            } if answer.code == base::Code::Answered => {
                let mut data = body::of(answer, request, key);
                data["count"] = json!(count);
                data["digest"] = json!(digest);
                format!("event: done\ndata: {data}\n\n")
            }
            Self::End { answer, .. } => {
                let data = body::of(answer, request, key);
                format!("event: problem\ndata: {data}\n\n")
            }
        };
        Bytes::from(text)
    }
}
