//! Why an act was not done, as a refusal with a numbered code.

use base::{Code, Digest, request::Id};
use bundle::{Event, approval::Fault};
use ctl::{Error, View};
use flow::Answer;

use crate::configs::admin::Admin;

/// The steps in which waits are spread.
const SHARES: u64 = 1_000;

/// Returns the refusal for an error.
pub(crate) fn of(error: &Error, config: &Admin) -> Answer {
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

/// Spreads the times at which refused operators come back, by the request's id.
pub(crate) fn spread(mut answer: Answer, id: Id) -> Answer {
    let share = Digest::of(id.to_string().as_bytes()).prefix() % SHARES;
    let share = u32::try_from(share).unwrap_or_default();
    answer.retry_after = answer
        .retry_after
        .map(|wait| wait + wait * share / SHARES as u32);
    answer
}

/// Says who put the bundle in force that a lost race was lost to.
pub(crate) fn winner(view: &View) -> String {
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
