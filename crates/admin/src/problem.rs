//! Converts errors of actions to refusals with result codes.

use base::{Code, Digest, request::Id};
use bundle::{Event, approval::Fault};
use ctl::{Error, View};
use flow::Answer;

use crate::configs::admin::Admin;

/// The number of steps of the jitter.
const JITTER_STEPS: u64 = 1_000;

/// Returns the refusal for an error.
pub(crate) fn from_error(error: &Error, config: &Admin) -> Answer {
    let code = match error {
        Error::Truncated => Code::ConfigCut,
        Error::Faults(_) => Code::BundleFaulty,
        Error::Outage(_) => Code::ConfigUnavailable,
        Error::Refused(Fault::Base { .. }) => Code::RaceLost,
        Error::Refused(_) => Code::RecordRefused,
        Error::Unknown(_) => Code::AppendUnknown,
        Error::Usage(_) => Code::RecordInvalid,
    };
    let detail = match error {
        Error::Unknown(reason) => format!(
            "{reason}; look at the audit trail, or send the same record again, which counts once"
        ),
        _ => error.to_string(),
    };
    let answer = Answer::refusal(code, detail);
    if code.is_retryable() {
        answer.with_retry_after(config.retry_after)
    } else {
        answer
    }
}

/// Adds a jitter, derived from the request's id, to the retry delay, so that refused operators don't all
/// retry at the same time.
pub(crate) fn add_jitter(mut answer: Answer, id: Id) -> Answer {
    let step = Digest::of(id.to_string().as_bytes()).prefix() % JITTER_STEPS;
    let step = u32::try_from(step).unwrap_or_default();
    answer.retry_after = answer
        .retry_after
        .map(|wait| wait + wait * step / JITTER_STEPS as u32);
    answer
}

/// Returns the part of the detail that states who put the winning bundle of a lost race in force.
pub(crate) fn winner_text(view: &View) -> String {
    let last = view.events.iter().rev().find_map(|event| match event {
        Event::RolledOut {
            position, author, ..
        } => Some((position, author)),
        _ => None,
    });
    match (last, view.projection.position()) {
        (Some((position, author)), _) => format!(
            "; {author} won with version {} at offset {}",
            position.version, position.offset
        ),
        (None, Some(now)) => format!(
            "; version {} is in force since offset {}",
            now.version, now.offset
        ),
        (None, None) => String::new(),
    }
}
