//! Deferred requests: stored on arrival, worked on when the control side says so.

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
        judge::{self, Judged},
    },
};

/// Stores a request, to be answered later.
pub(crate) async fn accept(plane: &Plane, ask: &Submission, judged: &Judged) -> Answer {
    let Some(key) = ask.key else {
        return Answer::refusal(Code::KeyMissing, Code::KeyMissing.title());
    };
    let now = plane.shared.clock.stamp();
    let request = Request {
        account: judged.account.clone(),
        at: now,
        body: ask.digest,
        deadline: ask.deadline.unwrap_or(now + judged.pipeline.deadline()),
        input: ask.input.clone(),
        key,
        pipeline: judged.pipeline.name.clone(),
    };
    let stored = plane.shared.work.send(Accept(request)).await;
    let answer = stored.unwrap_or_else(|_| super::lost());
    judge::unsure(ask, answer)
}

/// Asks what became of a stored request; gives nothing if none is known.
pub(crate) async fn status(plane: &Plane, task: Task) -> Option<Answer> {
    let asked = plane
        .shared
        .work
        .send(crate::control::work::Ask(task))
        .await;
    asked.unwrap_or_else(|_| Some(super::lost()))
}

/// Works on stored requests until the plane is gone.
pub(crate) async fn work(plane: Weak<Plane>) {
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
    let judged = judge(plane, &plane.inner.borrow(), &request);
    match judged {
        Ok(judged) => {
            let id = plane.inner.borrow_mut().id();
            let ended = plane.start(id, &ask(&request), judged, None);
            actix_web::rt::spawn(async move {
                if let Ok(ended) = ended.await {
                    // The actor waits unless the instance is stopping.
                    let _stopping = answer.send(ended);
                }
            });
        }
        Err(refusal) => {
            let _stopping = answer.send(refusal);
        }
    }
}

fn judge(plane: &Plane, inner: &super::Inner, request: &Request) -> Result<Judged, Answer> {
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
    Ok(judge::of(
        inner,
        shared,
        bundle,
        pipeline,
        &request.account,
        deadline,
    ))
}

fn ask(request: &Request) -> Submission {
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
