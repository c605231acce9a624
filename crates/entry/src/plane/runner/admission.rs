//! Waits for the admission controller.

use core::time::Duration;

use base::Code;
use flow::Answer;

use super::{RETRY_AFTER, Runner};

impl Runner {
    /// Waits until the admission controller lets the request start.
    pub(super) async fn admit(&self) -> Result<(), Answer> {
        let now = self.plane.shared.clock.tick();
        let account = &self.execution.account;
        let receiver = {
            let mut inner = self.plane.inner.borrow_mut();
            inner
                .limits
                .try_acquire(now, account)
                .map_err(|wait| account_limited(account.as_str(), wait))?;
            let issued_at = match self.submission.key {
                Some(key) => inner.tick_of(key.issued()).min(now),
                None => now,
            };
            let verdict_receiver = inner.add_waiter(self.id);
            let verdict = inner.offer(admit::Request {
                id: self.id,
                account: account.clone(),
                pipeline: self.execution.pipeline.name.clone(),
                priority: self.execution.pipeline.priority,
                deadline: self.execution.deadline,
                issued_at,
            });
            if verdict != admit::Verdict::Queued {
                inner.take_waiter(self.id);
                return check_admitted(verdict);
            }
            verdict_receiver
        };
        let mut guard = Guard {
            runner: self,
            is_waiting: true,
        };
        let verdict = receiver.await;
        guard.is_waiting = false;
        verdict.map_or_else(|_| Err(stopping()), check_admitted)
    }
}

/// Cancels a queued request that is dropped while it waits.
struct Guard<'a> {
    runner: &'a Runner,
    is_waiting: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.is_waiting {
            return;
        }
        let request = self.runner.id;
        let plane = &self.runner.plane;
        let actions = {
            let mut inner = plane.inner.borrow_mut();
            inner.take_waiter(request);
            inner.handle_admission(admit::Event::Cancelled { request })
        };
        plane.dispatch(actions);
    }
}

fn check_admitted(verdict: admit::Verdict) -> Result<(), Answer> {
    match verdict {
        admit::Verdict::Refused(refusal) => {
            Err(Answer::refusal(refusal.code, refusal.code.title())
                .with_retry_after(refusal.retry_after))
        }
        admit::Verdict::Queued | admit::Verdict::Start => Ok(()),
    }
}

fn account_limited(account: &str, wait: Duration) -> Answer {
    let detail = format!("'{account}' is over its requests a second");
    Answer::refusal(Code::AccountLimited, detail).with_retry_after(wait)
}

fn stopping() -> Answer {
    Answer::refusal(Code::Stopping, Code::Stopping.title()).with_retry_after(RETRY_AFTER)
}
