//! HTTP responses with complete answers and problems.

use actix_web::{HttpResponse, http::StatusCode};
use base::{Code, Key, request::Id};
use flow::Answer;

use crate::body;

/// Returns the HTTP response for an answer.
///
/// # Examples
///
/// ```
/// use base::{Code, request::Id};
/// let answer = flow::Answer::refusal(Code::BodyInvalid, "line 1");
/// let response = front::problem::respond(&answer, Id::from_random(1), None);
/// assert_eq!(response.status(), 400);
/// ```
pub fn respond(answer: &Answer, request: Id, key: Option<Key>) -> HttpResponse {
    let status =
        StatusCode::from_u16(answer.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    if let Some(delay) = answer.retry_after {
        // The header holds whole seconds; the body contains the exact delay.
        let seconds = delay.as_millis().div_ceil(1_000).max(1);
        response.insert_header(("Retry-After", seconds.to_string()));
    }
    response.insert_header(("Limpetstep-Request", request.to_string()));
    if let Some(key) = key.filter(|_| answer.code == Code::Accepted) {
        response.insert_header(("Location", format!("/v1/requests/{key}")));
    }
    let content_type = match answer.code {
        Code::Accepted | Code::Answered => "application/json",
        _ => "application/problem+json",
    };
    response.content_type(content_type);
    response.body(body::encode(answer, request, key).to_string())
}
