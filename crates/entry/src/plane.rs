//! The serving side: runs callers' requests through their pipelines.
//!
//! It runs on one thread. The decision crates (`admit`, `flow`, `ledger`, `retry`, `route`) return
//! actions; this module performs the input and output that they require.

mod call;
mod claim;
mod counters;
mod deferred;
mod inner;
mod limits;
mod prefix;
mod runner;
mod servers;
mod sink;
mod status;
mod suspect;
mod timeouts;
mod unresponsive;
mod validation;

use core::cell::RefCell;
use std::{rc::Rc, sync::atomic::Ordering};

use admit::{Action, Verdict};
use base::{Code, Digest, Key, Stamp, request::Id};
use flow::Answer;
use front::{Reply, Service, Submission};
use tokio::sync::oneshot;

use self::{inner::Inner, runner::Runner, sink::Sink, validation::Execution};
use crate::shared::Shared;

/// Serves requests on one thread.
pub struct Plane {
    client: backend::Client,
    inner: RefCell<Inner>,
    shared: Shared,
    this: std::rc::Weak<Self>,
}

impl Plane {
    /// Returns the serving side of an instance; it must stay on the thread that creates it.
    pub fn new(shared: Shared) -> Rc<Self> {
        let plane = Rc::new_cyclic(|this| Self {
            client: backend::Client::open(backend::Config::default()),
            inner: RefCell::new(Inner::new(&shared)),
            shared,
            this: this.clone(),
        });
        actix_web::rt::spawn(inner::run_ticks(Rc::downgrade(&plane)));
        actix_web::rt::spawn(deferred::run_jobs(Rc::downgrade(&plane)));
        actix_web::rt::spawn(limits::share_limits(Rc::downgrade(&plane)));
        actix_web::rt::spawn(counters::publish_counters(Rc::downgrade(&plane)));
        plane
    }

    /// Returns the number of requests that are being served.
    pub fn in_flight(&self) -> i64 {
        self.shared.metrics.in_flight.get()
    }

    /// Applies what the control side has published.
    pub(crate) fn refresh(&self) {
        let actions = {
            let mut inner = self.inner.borrow_mut();
            inner.refresh(&self.client, &self.shared)
        };
        self.dispatch(actions);
    }

    /// Passes the admission controller's decisions to the requests that wait for them.
    fn dispatch(&self, actions: Vec<Action>) {
        for action in actions {
            let (id, verdict) = match action {
                Action::Start(id) => (id, Verdict::Start),
                Action::Refuse(id, refusal) => (id, Verdict::Refused(refusal)),
            };
            let waiter = self.inner.borrow_mut().take_waiter(id);
            if let Some(waiter) = waiter {
                // The request may have been dropped meanwhile.
                let _dropped = waiter.send(verdict);
            }
        }
    }

    fn start(
        &self,
        id: Id,
        submission: &Submission,
        execution: Execution,
        sink: Option<Sink>,
    ) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        let Some(plane) = self.this.upgrade() else {
            return receiver;
        };
        let runner = Runner::new(plane, id, submission, execution, sink);
        actix_web::rt::spawn(runner.run(sender));
        receiver
    }
}

impl Service for Plane {
    fn body_limit(&self) -> usize {
        self.inner.borrow().body_limit()
    }

    fn is_closing(&self) -> bool {
        self.shared.is_stopping()
    }

    fn new_id(&self) -> Id {
        self.inner.borrow_mut().new_id()
    }

    fn now(&self) -> Stamp {
        self.shared.clock.stamp()
    }

    async fn serve(&self, id: Id, submission: Submission) -> Reply {
        self.refresh();
        let execution = validation::validate(&self.inner.borrow(), &self.shared, &submission);
        let execution = match execution {
            Ok(execution) => execution,
            Err(answer) => return Reply::Complete(answer),
        };
        if execution.pipeline.deferred {
            return Reply::Complete(deferred::store(self, &submission, &execution).await);
        }
        if !submission.wants_stream || !execution.is_streaming {
            let answer_receiver = self.start(id, &submission, execution, None);
            return Reply::Complete(answer_receiver.await.unwrap_or_else(|_| task_failed()));
        }
        let (sink, opened, frames) = Sink::new(submission.resume.clone());
        let answer_receiver = self.start(id, &submission, execution, Some(sink));
        tokio::select! {
            biased;
            Ok(()) = opened => Reply::Stream(frames),
            answer = answer_receiver => Reply::Complete(answer.unwrap_or_else(|_| task_failed())),
        }
    }

    async fn status(&self, credential: Digest, key: Key) -> Answer {
        status::lookup(self, credential, key).await
    }
}

/// Counts a request as in flight until it is dropped.
struct Flight(Shared);

impl Flight {
    fn new(shared: &Shared) -> Self {
        shared.metrics.in_flight.inc();
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

fn task_failed() -> Answer {
    Answer::refusal(Code::Internal, "the request's task ended without an answer")
}
