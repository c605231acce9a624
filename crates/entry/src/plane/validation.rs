//! Validation of requests against the configuration in force.

use base::{Code, Name, Outcome, Stamp, Tick};
use bundle::{Bundle, content::Pipeline};
use flow::Answer;
use front::Submission;

use crate::{plane::inner::Inner, shared::Shared};

/// The pipeline run that a valid request asks for.
pub(crate) struct Execution {
    pub(crate) account: Name,
    pub(crate) deadline: Tick,
    pub(crate) pipeline: Pipeline,
    pub(crate) pools: Vec<bundle::content::Pool>,
    pub(crate) is_streaming: bool,
}

/// Checks a request against the configuration in force.
///
/// # Errors
///
/// - `BundleMissing`: there is none yet.
/// - `AccountUnknown`: no account has the caller's token.
/// - `AccountForbidden`: the account may not use the pipeline.
/// - `PipelineUnknown`: there is no such pipeline.
/// - `KeyMissing`: the pipeline is deferred or has a non-idempotent stage.
pub(crate) fn validate(
    inner: &Inner,
    shared: &Shared,
    submission: &Submission,
) -> Result<Execution, Answer> {
    let Some(bundle) = &inner.bundle else {
        let answer = Answer::refusal(Code::BundleMissing, "no configuration is in force yet");
        return Err(weaken_outcome(
            submission,
            answer.with_retry_after(shared.settings.poll),
        ));
    };
    let account = inner
        .account_by_token(submission.credential)
        .ok_or_else(|| Answer::refusal(Code::AccountUnknown, "no account has this token"))?;
    let pipeline = bundle
        .pipeline(submission.pipeline.as_str())
        .ok_or_else(|| {
            let detail = format!("no pipeline is named '{}'", submission.pipeline);
            Answer::refusal(Code::PipelineUnknown, detail)
        })?;
    if !pipeline.accounts.is_empty() && !pipeline.accounts.contains(&account.name) {
        let detail = format!("'{}' may not use '{}'", account.name, pipeline.name);
        return Err(Answer::refusal(Code::AccountForbidden, detail));
    }
    if (pipeline.deferred || pipeline.non_idempotent_stage().is_some()) && submission.key.is_none()
    {
        let detail = "send an Idempotency-Key that is a UUID of version 7";
        return Err(Answer::refusal(Code::KeyMissing, detail));
    }
    let execution = prepare(
        inner,
        shared,
        bundle,
        pipeline,
        &account.name,
        submission.deadline,
    );
    Ok(execution)
}

/// Prepares the run of a pipeline for an account that may use it.
pub(crate) fn prepare(
    inner: &Inner,
    shared: &Shared,
    bundle: &Bundle,
    pipeline: &Pipeline,
    account: &Name,
    deadline: Option<Stamp>,
) -> Execution {
    let deadline = match deadline {
        Some(stamp) => inner.tick_of(stamp),
        None => shared.clock.tick() + pipeline.deadline(),
    };
    let pools = pipeline
        .stages
        .iter()
        .filter_map(|stage| bundle.pool(stage.pool.as_str()).cloned())
        .collect();
    Execution {
        account: account.clone(),
        deadline,
        pipeline: pipeline.clone(),
        pools,
        is_streaming: pipeline.is_streaming(bundle),
    }
}

/// Weakens `not run` to `unknown` where an earlier attempt under the key may have run.
pub(crate) fn weaken_outcome(submission: &Submission, answer: Answer) -> Answer {
    if submission.key.is_none() || submission.is_first_use {
        return answer;
    }
    match answer.outcome {
        Outcome::NotRun | Outcome::Incomplete => answer.with_outcome(Outcome::Unknown),
        _ => answer,
    }
}
