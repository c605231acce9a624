//! Waiting for the gate.

use core::time::Duration;

use base::Code;
use flow::Answer;

use super::{Drive, RETRY_AFTER};

impl Drive {
    /// Waits until the gate lets the request start.
    pub(super) async fn admit(&self) -> Result<(), Answer> {
        let now = self.plane.shared.clock.tick();
        let account = &self.judged.account;
        let waiting = {
            let mut inner = self.plane.inner.borrow_mut();
            inner
                .limits
                .try_acquire(now, account)
                .map_err(|wait| limited(account.as_str(), wait))?;
            let age_from = match self.ask.key {
                Some(key) => inner.tick_of(key.issued()).min(now),
                None => now,
            };
            let waiting = inner.wait(self.id);
            let verdict = inner.offer(admit::Request {
                id: self.id,
                account: account.clone(),
                pipeline: self.judged.pipeline.name.clone(),
                priority: self.judged.pipeline.priority,
                deadline: self.judged.deadline,
                issued_at: age_from,
            });
            if verdict != admit::Verdict::Queued {
                inner.take_waiter(self.id);
                return admitted(verdict);
            }
            waiting
        };
        let mut place = Place {
            drive: self,
            kept: true,
        };
        let verdict = waiting.await;
        place.kept = false;
        verdict.map_or_else(|_| Err(stopped()), admitted)
    }
}

/// A place in the gate's queue, given back if the request is dropped while it waits.
struct Place<'a> {
    drive: &'a Drive,
    kept: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if !self.kept {
            return;
        }
        let request = self.drive.id;
        let plane = &self.drive.plane;
        let actions = {
            let mut inner = plane.inner.borrow_mut();
            inner.take_waiter(request);
            inner.tell(admit::Event::Cancelled { request })
        };
        plane.dispatch(actions);
    }
}

fn admitted(verdict: admit::Verdict) -> Result<(), Answer> {
    match verdict {
        admit::Verdict::Refused(refusal) => {
            Err(Answer::refusal(refusal.code, refusal.code.title())
                .with_retry_after(refusal.retry_after))
        }
        admit::Verdict::Queued | admit::Verdict::Start => Ok(()),
    }
}

fn limited(account: &str, wait: Duration) -> Answer {
    let detail = format!("'{account}' is over its requests a second");
    Answer::refusal(Code::AccountLimited, detail).with_retry_after(wait)
}

fn stopped() -> Answer {
    Answer::refusal(Code::Stopping, Code::Stopping.title()).with_retry_after(RETRY_AFTER)
}
