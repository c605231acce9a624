//! The serving side: takes callers' requests through their pipelines.
//!
//! It runs on one thread; its decisions are the cores' (`admit`, `flow`, `ledger`, `retry`,
//! `route`), and this module carries them out.

mod call;
mod counters;
mod doubt;
mod drive;
mod inner;
mod jobs;
mod judge;
mod limits;
mod once;
mod places;
mod prefix;
mod progress;
mod sink;
mod status;
mod suspect;

use core::cell::RefCell;
use std::{rc::Rc, sync::atomic::Ordering};

use admit::{Action, Verdict};
use base::{Code, Digest, Key, Stamp, request::Id};
use flow::Answer;
use front::{Reply, Service, Submission};
use tokio::sync::oneshot;

use self::{drive::Drive, inner::Inner, judge::Judged, sink::Sink};
use crate::shared::Shared;

/// Serves requests on one thread.
pub struct Plane {
    client: backend::Client,
    inner: RefCell<Inner>,
    shared: Shared,
    this: std::rc::Weak<Self>,
}

impl Plane {
    /// Returns the serving side of an instance; it has to stay on the thread it was opened on.
    pub fn open(shared: Shared) -> Rc<Self> {
        let plane = Rc::new_cyclic(|this| Self {
            client: backend::Client::open(backend::Config::default()),
            inner: RefCell::new(Inner::new(&shared)),
            shared,
            this: this.clone(),
        });
        actix_web::rt::spawn(inner::tick(Rc::downgrade(&plane)));
        actix_web::rt::spawn(jobs::work(Rc::downgrade(&plane)));
        actix_web::rt::spawn(limits::share(Rc::downgrade(&plane)));
        actix_web::rt::spawn(counters::tell(Rc::downgrade(&plane)));
        plane
    }

    /// Returns the number of requests that are being served.
    pub fn in_flight(&self) -> i64 {
        self.shared.metrics.in_flight.get()
    }

    /// Takes in what the control side has published.
    pub(crate) fn refresh(&self) {
        let actions = {
            let mut inner = self.inner.borrow_mut();
            inner.refresh(&self.client, &self.shared)
        };
        self.dispatch(actions);
    }

    /// Carries out what the gate decided about waiting requests.
    fn dispatch(&self, actions: Vec<Action>) {
        for action in actions {
            let (id, verdict) = match action {
                Action::Start(id) => (id, Verdict::Start),
                Action::Refuse(id, refusal) => (id, Verdict::Refused(refusal)),
            };
            let waiter = self.inner.borrow_mut().take_waiter(id);
            if let Some(waiter) = waiter {
                // Its caller may have gone.
                let _gone = waiter.send(verdict);
            }
        }
    }

    fn start(
        &self,
        id: Id,
        ask: &Submission,
        judged: Judged,
        sink: Option<Sink>,
    ) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        let Some(plane) = self.this.upgrade() else {
            return receiver;
        };
        let drive = Drive::new(plane, id, ask, judged, sink);
        actix_web::rt::spawn(drive.run(sender));
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
        self.inner.borrow_mut().id()
    }

    fn now(&self) -> Stamp {
        self.shared.clock.stamp()
    }

    async fn serve(&self, id: Id, ask: Submission) -> Reply {
        self.refresh();
        let judged = judge::judge(&self.inner.borrow(), &self.shared, &ask);
        let judged = match judged {
            Ok(judged) => judged,
            Err(answer) => return Reply::Complete(answer),
        };
        if judged.pipeline.deferred {
            return Reply::Complete(jobs::accept(self, &ask, &judged).await);
        }
        if !ask.wants_stream || !judged.streams {
            let ended = self.start(id, &ask, judged, None);
            return Reply::Complete(ended.await.unwrap_or_else(|_| lost()));
        }
        let (sink, opened, frames) = Sink::open(ask.resume.clone());
        let ended = self.start(id, &ask, judged, Some(sink));
        tokio::select! {
            biased;
            Ok(()) = opened => Reply::Stream(frames),
            answer = ended => Reply::Complete(answer.unwrap_or_else(|_| lost())),
        }
    }

    async fn status(&self, credential: Digest, key: Key) -> Answer {
        status::ask(self, credential, key).await
    }
}

/// Counts a request while it is being served.
struct Flight(Shared);

impl Flight {
    fn begin(shared: &Shared) -> Self {
        shared.metrics.in_flight.inc();
        shared.flights.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
        self.0.flights.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lost() -> Answer {
    Answer::refusal(Code::Internal, "the request's task ended without an answer")
}
