//! Parsing of callers' requests.

use core::time::Duration;

use actix_web::HttpRequest;
use base::{Code, Digest, Key, Name, Stamp};
use flow::Answer;
use serde::Deserialize;
use serde_json::Value;

use crate::Position;

const DEADLINE: &str = "Limpetstep-Deadline";
const FIRST: &str = "Limpetstep-First";
const KEY: &str = "Idempotency-Key";
const LAST_EVENT: &str = "Last-Event-ID";

/// The maximum time until a caller's deadline.
const MAX_TIME_TO_DEADLINE: Duration = Duration::from_secs(30 * 24 * 3600);

/// A caller's request that was parsed but not yet checked against the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The digest of pipeline and input, which shows whether a key is reused for another request.
    pub digest: Digest,
    /// The digest of the bearer token.
    pub credential: Digest,
    /// The wall-clock time of the deadline.
    pub deadline: Option<Stamp>,
    /// Whether the caller states that it has not sent this key before.
    pub is_first_use: bool,
    /// The input of the pipeline.
    pub input: Value,
    /// The idempotency key.
    pub key: Option<Key>,
    /// The pipeline.
    pub pipeline: Name,
    /// The position from which to resume an interrupted stream.
    pub resume: Option<Position>,
    /// Whether the caller accepts an event stream.
    pub wants_stream: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    input: Value,
}

impl Submission {
    /// Parses a request from its headers and body.
    ///
    /// # Errors
    ///
    /// - `AccountUnknown`: the bearer token is missing.
    /// - `BodyInvalid`: the body is not `{"input": …}`.
    /// - `DeadlineInvalid`: the deadline is malformed, has passed or is more than 30 days away.
    /// - `KeyInvalid`: the key is not a UUID of version 7.
    /// - `ResumeInvalid`: the id of the last event is malformed.
    pub fn parse(
        head: &HttpRequest,
        pipeline: &str,
        body: &[u8],
        now: Stamp,
    ) -> Result<Self, Answer> {
        let credential = credential(head)?;
        let key = key(head)?;
        let deadline = deadline(head, now)?;
        let resume = resume(head)?;
        let content: Body = serde_json::from_slice(body)
            .map_err(|error| Answer::refusal(Code::BodyInvalid, error.to_string()))?;
        let canonical = content.input.to_string();
        Ok(Self {
            digest: Digest::of_parts(&[pipeline.as_bytes(), canonical.as_bytes()]),
            credential,
            deadline,
            is_first_use: header(head, FIRST) == Some("?1"),
            input: content.input,
            key,
            pipeline: Name::from(pipeline),
            resume,
            wants_stream: header(head, "Accept")
                .is_some_and(|list| list.contains("text/event-stream")),
        })
    }
}

/// Returns the digest of the bearer token.
pub(crate) fn credential(head: &HttpRequest) -> Result<Digest, Answer> {
    header(head, "Authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(|token| Digest::of(token.as_bytes()))
        .ok_or_else(|| Answer::refusal(Code::AccountUnknown, "no bearer token"))
}

fn key(head: &HttpRequest) -> Result<Option<Key>, Answer> {
    header(head, KEY)
        .map(|text| Key::parse(text.trim_matches('"')))
        .transpose()
        .map_err(|error| Answer::refusal(Code::KeyInvalid, error.to_string()))
}

fn deadline(head: &HttpRequest, now: Stamp) -> Result<Option<Stamp>, Answer> {
    let Some(text) = header(head, DEADLINE) else {
        return Ok(None);
    };
    let refuse = |detail: &str| Answer::refusal(Code::DeadlineInvalid, detail);
    let millis = text
        .parse()
        .map_err(|_| refuse("the deadline is not a number of milliseconds since the epoch"))?;
    let deadline = Stamp::from_millis(millis);
    if deadline <= now {
        return Err(refuse("the deadline has passed"));
    }
    if deadline - now > MAX_TIME_TO_DEADLINE {
        return Err(refuse("the deadline is over 30 days away"));
    }
    Ok(Some(deadline))
}

fn resume(head: &HttpRequest) -> Result<Option<Position>, Answer> {
    let Some(text) = header(head, LAST_EVENT) else {
        return Ok(None);
    };
    let resume = Position::parse(text);
    let refusal = || Answer::refusal(Code::ResumeInvalid, "the last event's id is malformed");
    resume.map(Some).ok_or_else(refusal)
}

fn header<'a>(head: &'a HttpRequest, name: &str) -> Option<&'a str> {
    head.headers().get(name)?.to_str().ok()
}
