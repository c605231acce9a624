//! Calls and their replies.

use core::{net::SocketAddr, time::Duration};

use base::{Incarnation, Key, Name, attempt::Attempt};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One call to a backend server.
#[derive(Clone, Debug)]
pub struct Call {
    /// The client account that sent the request.
    pub account: Name,
    /// The HTTP address of the server.
    pub address: SocketAddr,
    /// The identifier of the attempt, which the answer must repeat.
    pub attempt: Attempt,
    /// The timeout for each part of the answer after the head.
    pub part_timeout: Duration,
    /// The time left until the deadline.
    pub time_left: Duration,
    /// The timeout for the head of the answer.
    pub head_timeout: Duration,
    /// The index of the first requested token, if the answer is a stream.
    pub first_token: u64,
    /// Whether the call may be retried; if not, it uses a connection of its own.
    pub idempotent: bool,
    /// The input of the stage.
    pub input: Value,
    /// The caller's idempotency key, if it sent one.
    pub key: Option<Key>,
    /// The operation.
    pub operation: Name,
    /// The priority; higher values are served first.
    pub priority: u8,
}

/// The complete answer of a backend server to one call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The output.
    pub output: Value,
    /// The processing time that the server reports, in milliseconds.
    pub cost_ms: f64,
    /// Whether the server announced that it is leaving.
    pub leaving: bool,
    /// The incarnation of the server, if the answer states it.
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
    pub(crate) const fn new(call: &'a Call) -> Self {
        Self {
            operation: &call.operation,
            account: &call.account,
            input: &call.input,
            from: call.first_token,
        }
    }
}

// Serde passes the field by reference.
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
