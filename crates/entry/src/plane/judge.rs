//! Whether a request may be served at all.

use base::{Code, Name, Outcome, Stamp, Tick};
use bundle::{Bundle, content::Pipeline};
use flow::Answer;
use front::Submission;

use crate::{plane::inner::Inner, shared::Shared};

/// A request that may be served.
pub(crate) struct Judged {
    pub(crate) account: Name,
    pub(crate) deadline: Tick,
    pub(crate) pipeline: Pipeline,
    pub(crate) pools: Vec<bundle::content::Pool>,
    pub(crate) streams: bool,
}

/// Checks a request against the configuration in force.
///
/// # Errors
///
/// - `BundleMissing`: there is none yet.
/// - `AccountUnknown`, `AccountForbidden`: the caller may not.
/// - `PipelineUnknown`: there is no such pipeline.
/// - `KeyMissing`: the pipeline holds a call that may not be repeated.
/// - `KeyExpired`: the key is older than the ledger decides about.
/// - `Stopping`: the instance is past its last moment for new requests.
pub(crate) fn judge(inner: &Inner, shared: &Shared, ask: &Submission) -> Result<Judged, Answer> {
    let Some(bundle) = &inner.bundle else {
        let answer = Answer::refusal(Code::BundleMissing, "no configuration is in force yet");
        return Err(unsure(ask, answer.with_retry_after(shared.settings.poll)));
    };
    let account = inner
        .account(ask.credential)
        .ok_or_else(|| Answer::refusal(Code::AccountUnknown, "no account has this token"))?;
    let pipeline = bundle.pipeline(ask.pipeline.as_str()).ok_or_else(|| {
        let detail = format!("no pipeline is named '{}'", ask.pipeline);
        Answer::refusal(Code::PipelineUnknown, detail)
    })?;
    if !pipeline.accounts.is_empty() && !pipeline.accounts.contains(&account.name) {
        let detail = format!("'{}' may not use '{}'", account.name, pipeline.name);
        return Err(Answer::refusal(Code::AccountForbidden, detail));
    }
    if (pipeline.deferred || pipeline.non_idempotent_stage().is_some()) && ask.key.is_none() {
        let detail = "send an Idempotency-Key that is a UUID of version 7";
        return Err(Answer::refusal(Code::KeyMissing, detail));
    }
    let judged = of(inner, shared, bundle, pipeline, &account.name, ask.deadline);
    Ok(judged)
}

/// Prepares a request of an account that may use a pipeline.
pub(crate) fn of(
    inner: &Inner,
    shared: &Shared,
    bundle: &Bundle,
    pipeline: &Pipeline,
    account: &Name,
    deadline: Option<Stamp>,
) -> Judged {
    let deadline = match deadline {
        Some(stamp) => inner.tick_of(stamp),
        None => shared.clock.tick() + pipeline.deadline(),
    };
    let pools = pipeline
        .stages
        .iter()
        .filter_map(|stage| bundle.pool(stage.pool.as_str()).cloned())
        .collect();
    Judged {
        account: account.clone(),
        deadline,
        pipeline: pipeline.clone(),
        pools,
        streams: pipeline.is_streaming(bundle),
    }
}

/// Weakens `not run` to `unknown` where an earlier attempt under the key may have run.
pub(crate) fn unsure(ask: &Submission, answer: Answer) -> Answer {
    if ask.key.is_none() || ask.is_first_use {
        return answer;
    }
    match answer.outcome {
        Outcome::NotRun | Outcome::Incomplete => answer.with_outcome(Outcome::Unknown),
        _ => answer,
    }
}
