//! Calls to servers that another instance makes.

use base::Name;
use bytes::Bytes;
use relay::Failure;
use wire::feed as message;

/// A call to a run of a server, which another instance is asked to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The server.
    pub server: Name,
    /// The start time of its run in Unix milliseconds, or 0 if unknown.
    pub started_at_ms: u64,
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<(String, Bytes)>,
    /// The body.
    pub body: Bytes,
    /// Whether the call must be made at most once.
    pub at_most_once: bool,
    /// Whether only this run of the server may get it.
    pub is_bound: bool,
    /// The maximum number of connections to the server.
    pub max_connections: usize,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, Bytes)>,
    /// The start time of the run that answers, if it is known.
    pub run: Option<u64>,
    /// Whether the body has neither a length nor chunks, so that it ends with its connection.
    pub is_close_delimited: bool,
}

/// A part of an answer, in the order of arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The head.
    Head(Head),
    /// The next bytes of the body.
    Chunk(Bytes),
    /// The regular end of the body.
    End,
    /// Why there is no further part.
    Failed(Failure),
}

pub(crate) fn encode(call: Call) -> message::Call {
    message::Call {
        server: call.server.as_str().to_owned(),
        started_ms: call.started_at_ms,
        method: call.method,
        path: call.path,
        headers: encode_headers(call.headers),
        body: call.body.into(),
        once: call.at_most_once,
        bound: call.is_bound,
        max_connections: call.max_connections as u64,
    }
}

pub(crate) fn decode(call: message::Call) -> Call {
    Call {
        server: call.server.into(),
        started_at_ms: call.started_ms,
        method: call.method,
        path: call.path,
        headers: decode_headers(call.headers),
        body: call.body.into(),
        at_most_once: call.once,
        is_bound: call.bound,
        max_connections: usize::try_from(call.max_connections).unwrap_or(usize::MAX),
    }
}

pub(crate) fn encode_part(part: Part) -> message::Part {
    use message::part::Part as Kind;
    let part = match part {
        Part::Head(head) => Kind::Head(message::Head {
            status: u32::from(head.status),
            headers: encode_headers(head.headers),
            run: head.run,
            close_delimited: head.is_close_delimited,
        }),
        Part::Chunk(bytes) => Kind::Chunk(bytes.into()),
        Part::End => Kind::End(message::End {}),
        Part::Failed(failure) => Kind::Failure(encode_failure(failure).into()),
    };
    message::Part { part: Some(part) }
}

/// Decodes a part, or nothing if it is of an unknown kind.
pub(crate) fn decode_part(part: message::Part) -> Option<Part> {
    use message::part::Part as Kind;
    Some(match part.part? {
        Kind::Head(head) => Part::Head(Head {
            status: u16::try_from(head.status).ok()?,
            headers: decode_headers(head.headers),
            run: head.run,
            is_close_delimited: head.close_delimited,
        }),
        Kind::Chunk(bytes) => Part::Chunk(bytes.into()),
        Kind::End(_) => Part::End,
        Kind::Failure(code) => Part::Failed(decode_failure(message::Failure::try_from(code).ok()?)),
    })
}

fn encode_headers(headers: Vec<(String, Bytes)>) -> Vec<message::Header> {
    let headers = headers.into_iter().map(|(name, value)| message::Header {
        name,
        value: value.into(),
    });
    headers.collect()
}

fn decode_headers(headers: Vec<message::Header>) -> Vec<(String, Bytes)> {
    let headers = headers
        .into_iter()
        .map(|header| (header.name, header.value.into()));
    headers.collect()
}

const fn encode_failure(failure: Failure) -> message::Failure {
    match failure {
        Failure::Broken | Failure::HelperLost => message::Failure::Broken,
        Failure::Mismatched => message::Failure::Mismatched,
        Failure::TimedOut => message::Failure::TimedOut,
        Failure::Unacknowledged => message::Failure::Unacknowledged,
        Failure::Exhausted => message::Failure::Exhausted,
        // Earlier builds know no reason of its own; the request was not sent, and another server may get it.
        Failure::Evacuated | Failure::Unconfirmed => message::Failure::Unconfirmed,
        Failure::Unreachable => message::Failure::Unreachable,
        // Answers that state these are passed on as they are.
        Failure::Full
        | Failure::HelperUnavailable
        | Failure::InputGone
        | Failure::Moved
        | Failure::Rejected
        | Failure::Unattested => message::Failure::Unavailable,
    }
}

const fn decode_failure(failure: message::Failure) -> Failure {
    match failure {
        message::Failure::Broken => Failure::Broken,
        message::Failure::Mismatched => Failure::Mismatched,
        message::Failure::TimedOut => Failure::TimedOut,
        message::Failure::Unacknowledged => Failure::Unacknowledged,
        message::Failure::Exhausted => Failure::Exhausted,
        message::Failure::Unconfirmed => Failure::Unconfirmed,
        message::Failure::Unreachable => Failure::Unreachable,
        message::Failure::Unavailable => Failure::HelperUnavailable,
    }
}
