//! Headers of calls and answers.

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

/// Adds the headers of a call to a request.
pub(crate) fn add_headers(request: ClientRequest, call: &Call) -> ClientRequest {
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

/// Returns the failure of a call whose answer has this status, or `None` if the status shows success.
pub(crate) fn refusal(status: StatusCode, headers: &HeaderMap) -> Option<Failure> {
    let retry_after = header_text(headers, "Retry-After")
        .and_then(|value| value.parse().ok())
        .map(Duration::from_secs);
    match status.as_u16() {
        200 => None,
        // The server guarantees for the statuses 422, 429 and 503 that it did not run the call.
        422 => Some(Failure::Refused {
            detail: "a backend server refused the input".into(),
        }),
        429 => Some(Failure::Busy { retry_after }),
        503 if is_leaving(headers) => Some(Failure::Leaving),
        503 => Some(Failure::Busy { retry_after }),
        _ => Some(Failure::Mismatched),
    }
}

/// Returns whether an answer belongs to the attempt, or states no attempt in its headers.
pub(crate) fn is_answer_to(headers: &HeaderMap, attempt: &Attempt) -> bool {
    header_text(headers, ATTEMPT)
        .is_none_or(|value| Attempt::parse(value).as_ref() == Some(attempt))
}

/// Returns whether the server announced that it is leaving.
pub(crate) fn is_leaving(headers: &HeaderMap) -> bool {
    headers.contains_key(LEAVING)
}

/// Returns the incarnation of the server that answered, if the headers state it.
pub(crate) fn server(headers: &HeaderMap) -> Option<Incarnation> {
    let (name, start) = header_text(headers, SERVER)?.rsplit_once('@')?;
    let start = Stamp::from_millis(start.parse().ok()?);
    Some(Incarnation::new(name, start))
}

/// Returns the failure of a call that got no answer.
///
/// Nothing was sent only if the connection could not be opened. A connect error alone does not show this, since awc
/// also reports a connection that is closed later as a connect error.
pub(crate) fn to_failure(error: &SendRequestError) -> Failure {
    match error {
        SendRequestError::Connect(ConnectError::Io(error)) => to_connect_failure(error.kind()),
        SendRequestError::Connect(ConnectError::Timeout) => Failure::NotConnected,
        _ => Failure::Disconnected,
    }
}

/// Returns the failure for an I/O error. Only some kinds occur exclusively while a connection is being opened.
const fn to_connect_failure(kind: io::ErrorKind) -> Failure {
    match kind {
        io::ErrorKind::AddrNotAvailable
        | io::ErrorKind::ConnectionRefused
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable => Failure::NotConnected,
        _ => Failure::Disconnected,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
