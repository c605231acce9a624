//! Frames of a streamed answer to a caller.

use base::{Key, request::Id};
use bytes::Bytes;
use flow::Answer;
use serde_json::json;

use crate::{Position, body};

/// One frame of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// One token.
    Token {
        /// The position after this token.
        position: Position,
        /// The text of the token.
        text: String,
    },
    /// The end of the stream. The event contains a count and a digest only if the answer is complete (code 100).
    End {
        /// The answer.
        answer: Answer,
        /// The number of tokens in the complete answer.
        count: u64,
        /// The SHA-256 digest of the joined texts of all tokens, in hexadecimal digits.
        digest: String,
    },
}

impl Frame {
    /// Encodes the frame as a server-sent event.
    pub(crate) fn encode(&self, request: Id, key: Option<Key>) -> Bytes {
        let event = match self {
            Self::Token { position, text } => {
                let data = json!({ "index": position.count.saturating_sub(1), "text": text });
                format!("id: {position}\nevent: token\ndata: {data}\n\n")
            }
            Self::End {
                answer,
                count,
                digest,
            } if answer.code == base::Code::Answered => {
                let mut data = body::encode(answer, request, key);
                data["count"] = json!(count);
                data["digest"] = json!(digest);
                format!("event: done\ndata: {data}\n\n")
            }
            Self::End { answer, .. } => {
                let data = body::encode(answer, request, key);
                format!("event: problem\ndata: {data}\n\n")
            }
        };
        Bytes::from(event)
    }
}
