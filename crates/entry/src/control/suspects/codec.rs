//! Encoding and decoding of trials and permits.

use core::time::Duration;

use base::Digest;
use member::fact::{Id, Suspect};
use retry::{
    arbiter::{Decision, Trial},
    suspect::Step,
};
use wire::Grant;

/// Encodes a trial: the request for a permit, or a step of the run.
pub(super) fn encode_trial(trial: &Trial, step: Option<Step>) -> wire::Trial {
    let step = match step {
        None => wire::Step::Ask,
        Some(Step::Completed) => wire::Step::Completed,
        Some(Step::Crashed) => wire::Step::Crashed,
        Some(Step::Other) => wire::Step::Ended,
        Some(Step::Running) => wire::Step::Running,
    };
    wire::Trial {
        suspect: Some(wire::Suspect {
            digest: trial.suspect.digest.as_bytes().to_vec(),
            crashed: trial.suspect.crashed.iter().map(|id| id.0).collect(),
            cleared: trial.suspect.cleared,
        }),
        holder: trial.holder.0,
        step: step.into(),
        server: trial.server.0,
    }
}

/// Decodes a trial; returns `None` if it is malformed.
pub(super) fn decode_trial(message: &wire::Trial) -> Option<(Trial, Option<Step>)> {
    let suspect = message.suspect.as_ref()?;
    let digest: [u8; 32] = suspect.digest.as_slice().try_into().ok()?;
    let trial = Trial {
        suspect: Suspect {
            digest: Digest::from(digest),
            crashed: suspect.crashed.iter().copied().map(Id).collect(),
            cleared: suspect.cleared,
        },
        holder: Id(message.holder),
        server: Id(message.server),
    };
    let step = match wire::Step::try_from(message.step).ok()? {
        wire::Step::Ask => None,
        wire::Step::Completed => Some(Step::Completed),
        wire::Step::Crashed => Some(Step::Crashed),
        wire::Step::Ended => Some(Step::Other),
        wire::Step::Running => Some(Step::Running),
    };
    Some((trial, step))
}

/// Encodes a decision.
pub(super) fn encode_decision(decision: Decision) -> Grant {
    let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    let (decision, span_ms) = match decision {
        Decision::Busy(span) => (wire::Decision::Busy, millis(span)),
        Decision::Free => (wire::Decision::Free, 0),
        Decision::Granted(span) => (wire::Decision::Granted, millis(span)),
        Decision::Refused => (wire::Decision::Refused, 0),
    };
    Grant {
        decision: decision.into(),
        span_ms,
        suspect: None,
    }
}

/// Decodes a decision; an unknown one grants no permit.
pub(super) fn decode_decision(grant: &Grant) -> Decision {
    let span = Duration::from_millis(grant.span_ms.into());
    match wire::Decision::try_from(grant.decision) {
        Ok(wire::Decision::Free) => Decision::Free,
        Ok(wire::Decision::Granted) => Decision::Granted(span),
        Ok(wire::Decision::Refused) => Decision::Refused,
        Ok(wire::Decision::Busy) | Err(_) => Decision::Busy(span),
    }
}
