//! Heads of calls and answers.

use core::time::Duration;
use std::io;

use awc::{
    ClientRequest,
    error::{ConnectError, SendRequestError},
    http::{StatusCode, header::HeaderMap},
};
use base::{Incarnation, Stamp, attempt::Attempt};
use flow::Failure;

use crate::Call;

const ATTEMPT: &str = "Limpetstep-Attempt";
const DEADLINE: &str = "Limpetstep-Deadline-Ms";
const KEY: &str = "Idempotency-Key";
const LEAVING: &str = "Limpetstep-Leaving";
const PRIORITY: &str = "Limpetstep-Priority";
const SERVER: &str = "Limpetstep-Server";

/// Writes the headers of a call.
pub(crate) fn write(request: ClientRequest, call: &Call) -> ClientRequest {
    let deadline = call.time_left.as_millis().to_string();
    let mut request = request
        .insert_header((ATTEMPT, call.attempt.to_string()))
        .insert_header((DEADLINE, deadline))
        .insert_header((PRIORITY, call.priority.to_string()));
    if let Some(key) = call.key {
        request = request.insert_header((KEY, key.to_string()));
    }
    if !call.idempotent {
        request = request.force_close();
    }
    request
}

/// Tells what is known of a call whose answer has this status, if it is a refusal.
pub(crate) fn refusal(status: StatusCode, headers: &HeaderMap) -> Option<Failure> {
    let retry_after = text(headers, "Retry-After")
        .and_then(|value| value.parse().ok())
        .map(Duration::from_secs);
    match status.as_u16() {
        200 => None,
        // These three say that the server took nothing.
        422 => Some(Failure::Refused {
            detail: "a backend server refused the input".into(),
        }),
        429 => Some(Failure::Busy { retry_after }),
        503 if leaving(headers) => Some(Failure::Leaving),
        503 => Some(Failure::Busy { retry_after }),
        _ => Some(Failure::Mismatched),
    }
}

/// Tells whether the answer names the attempt, where its head names one at all.
pub(crate) fn matches(headers: &HeaderMap, attempt: &Attempt) -> bool {
    text(headers, ATTEMPT).is_none_or(|value| Attempt::parse(value).as_ref() == Some(attempt))
}

/// Tells whether the server said that it is leaving.
pub(crate) fn leaving(headers: &HeaderMap) -> bool {
    headers.contains_key(LEAVING)
}

/// Returns the life of the server that answered, where its head says so.
pub(crate) fn server(headers: &HeaderMap) -> Option<Incarnation> {
    let (name, start) = text(headers, SERVER)?.rsplit_once('@')?;
    let start = Stamp::from_millis(start.parse().ok()?);
    Some(Incarnation::new(name, start))
}

/// Tells what is known of a call that got no answer.
///
/// Only a connection that could not be opened means that nothing was sent: a connection that
/// ended later is reported under the connecting errors as well.
pub(crate) fn failure(error: &SendRequestError) -> Failure {
    match error {
        SendRequestError::Connect(ConnectError::Io(error)) => opening(error.kind()),
        SendRequestError::Connect(ConnectError::Timeout) => Failure::NotConnected,
        _ => Failure::Disconnected,
    }
}

/// Tells errors that only the opening of a connection gives from those of an open one.
const fn opening(kind: io::ErrorKind) -> Failure {
    match kind {
        io::ErrorKind::AddrNotAvailable
        | io::ErrorKind::ConnectionRefused
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable => Failure::NotConnected,
        _ => Failure::Disconnected,
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
