//! One call and its reply.

use core::{net::SocketAddr, time::Duration};

use base::{Incarnation, Key, Name, attempt::Attempt};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One call of a backend server.
#[derive(Clone, Debug)]
pub struct Call {
    /// The client account on whose behalf it is made.
    pub account: Name,
    /// Where the server takes HTTP.
    pub address: SocketAddr,
    /// Names the attempt; the answer has to name the same one.
    pub attempt: Attempt,
    /// The longest wait between two parts of the answer.
    pub part_timeout: Duration,
    /// The time left until the deadline.
    pub time_left: Duration,
    /// The longest wait for the head of the answer.
    pub head_timeout: Duration,
    /// The first token wanted, where the answer is a stream.
    pub first_token: u64,
    /// Whether the call may be repeated; if not, it takes a connection of its own.
    pub idempotent: bool,
    /// The input of the stage.
    pub input: Value,
    /// The caller's idempotency key, if it sent one.
    pub key: Option<Key>,
    /// The operation.
    pub operation: Name,
    /// The priority; a higher one goes first.
    pub priority: u8,
}

/// The whole answer of a backend server to one call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The output.
    pub output: Value,
    /// The server's own time on the call, in milliseconds.
    pub cost_ms: f64,
    /// Whether the server said that it is leaving.
    pub leaving: bool,
    /// The life of the server that answered, where it said so.
    pub server: Option<Incarnation>,
}

/// The body of a call on the wire.
#[derive(Serialize)]
pub(crate) struct Body<'a> {
    pub(crate) operation: &'a Name,
    pub(crate) account: &'a Name,
    pub(crate) input: &'a Value,
    #[serde(skip_serializing_if = "is_zero")]
    pub(crate) from: u64,
}

impl<'a> Body<'a> {
    pub(crate) const fn of(call: &'a Call) -> Self {
        Self {
            operation: &call.operation,
            account: &call.account,
            input: &call.input,
            from: call.first_token,
        }
    }
}

// Serde hands the field over by reference.
#[expect(clippy::trivially_copy_pass_by_ref)]
const fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// The body of an answer on the wire.
#[derive(Deserialize)]
pub(crate) struct Answer {
    pub(crate) attempt: String,
    pub(crate) output: Value,
    #[serde(default)]
    pub(crate) cost_ms: f64,
}
