//! Deferred requests: stored on arrival, run when the control side submits them.

use std::{
    rc::{Rc, Weak},
    sync::PoisonError,
};

use base::{Code, Digest, Stamp};
use defer::{Task, record::Request};
use flow::Answer;
use front::Submission;

use crate::{
    control::work::{Accept, Job},
    plane::{
        Plane,
        validation::{self, Execution},
    },
};

/// Stores a request, to be answered later.
pub(crate) async fn store(plane: &Plane, submission: &Submission, execution: &Execution) -> Answer {
    let Some(key) = submission.key else {
        return Answer::refusal(Code::KeyMissing, Code::KeyMissing.title());
    };
    let now = plane.shared.clock.stamp();
    let request = Request {
        account: execution.account.clone(),
        at: now,
        body: submission.digest,
        deadline: submission
            .deadline
            .unwrap_or(now + execution.pipeline.deadline()),
        input: submission.input.clone(),
        key,
        pipeline: execution.pipeline.name.clone(),
    };
    let stored = plane.shared.work.send(Accept(request)).await;
    let answer = stored.unwrap_or_else(|_| super::task_failed());
    validation::weaken_outcome(submission, answer)
}

/// Returns the state of a stored request, or `None` if the log has no such request.
pub(crate) async fn status(plane: &Plane, task: Task) -> Option<Answer> {
    let reply = plane
        .shared
        .work
        .send(crate::control::work::GetStatus(task))
        .await;
    reply.unwrap_or_else(|_| Some(super::task_failed()))
}

/// Runs stored requests until the plane is dropped.
pub(crate) async fn run_jobs(plane: Weak<Plane>) {
    let jobs = plane.upgrade().and_then(|plane| {
        let jobs = plane.shared.jobs.lock();
        jobs.unwrap_or_else(PoisonError::into_inner).take()
    });
    let Some(mut jobs) = jobs else {
        return;
    };
    while let Some(job) = jobs.recv().await {
        let Some(plane) = plane.upgrade() else {
            return;
        };
        start(&plane, job);
    }
}

fn start(plane: &Rc<Plane>, job: Job) {
    let Job { request, answer } = job;
    plane.refresh();
    let execution = validate(plane, &plane.inner.borrow(), &request);
    match execution {
        Ok(execution) => {
            let id = plane.inner.borrow_mut().new_id();
            let receiver = plane.start(id, &to_submission(&request), execution, None);
            actix_web::rt::spawn(async move {
                if let Ok(result) = receiver.await {
                    // The receiver is dropped only when the instance is stopping.
                    let _stopping = answer.send(result);
                }
            });
        }
        Err(refusal) => {
            let _stopping = answer.send(refusal);
        }
    }
}

fn validate(plane: &Plane, inner: &super::Inner, request: &Request) -> Result<Execution, Answer> {
    let missing = |code: Code| Answer::refusal(code, code.title());
    let bundle = inner
        .bundle
        .as_ref()
        .ok_or_else(|| missing(Code::BundleMissing))?;
    let pipeline = bundle
        .pipeline(request.pipeline.as_str())
        .ok_or_else(|| missing(Code::PipelineUnknown))?;
    let deadline = Some(Stamp::from_millis(request.deadline.as_millis()));
    let shared = &plane.shared;
    Ok(validation::prepare(
        inner,
        shared,
        bundle,
        pipeline,
        &request.account,
        deadline,
    ))
}

fn to_submission(request: &Request) -> Submission {
    Submission {
        digest: request.body,
        credential: Digest::default(),
        deadline: Some(request.deadline),
        is_first_use: false,
        input: request.input.clone(),
        key: Some(request.key),
        pipeline: request.pipeline.clone(),
        resume: None,
        wants_stream: false,
    }
}
