//! What follows a failed attempt, and what a request says when it gives up.

use core::time::Duration;

use base::{Code, Outcome};

use super::{Phase, Request};
use crate::{Action, Answer, Failure};

/// Times that a streamed answer may go on at another server without asking the retry budget.
const CONTINUATIONS: u16 = 8;

/// Servers that one request may find dead before its further attempts are paid for like any retry.
const DEATHS: u16 = 2;

/// The wait advised after a failure that says nothing about how long it will last.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Request {
    pub(super) fn fail(&mut self, failure: Failure, cost: f64) -> Action {
        self.spent += cost;
        if !self.stage().idempotent {
            if failure.may_have_run() {
                return self.give_up(Code::CallUnknown, "the call got no answer");
            }
            self.ran.once = false;
        }
        if let Failure::Refused { detail } = &failure {
            let detail = detail.clone();
            return self.refuse(Code::StageRefused, &detail, None);
        }
        if matches!(failure, Failure::Silent { fresh: false }) {
            self.spare.extend(self.exclude.last().cloned());
        }
        // A server that dies takes all its requests with it, and some more find it gone before that is
        // known; that is rare and bounded by the servers there are, so it need not wait for the budget,
        // which is for attempts that fail.
        let gone = matches!(failure, Failure::Died | Failure::NotConnected);
        if gone && self.deaths < DEATHS {
            self.deaths += 1;
            return self.retry();
        }
        // A stream that got on before it was cut goes on from there. It repeats no token, so it adds
        // little to the load, whereas giving it up would waste what was generated.
        if self.emitted > self.begun_at && self.continuations < CONTINUATIONS {
            self.continuations += 1;
            return self.retry();
        }
        self.last = Some(failure);
        self.phase = Phase::Budget;
        Action::AskRetry
    }

    /// Takes servers again that only an old connection did not reach, before it gives up.
    pub(super) fn lack_server(&mut self, retry_after: Duration) -> Action {
        if self.spare.is_empty() {
            let detail = "no backend server can take the stage";
            return self.refuse(Code::StageUnavailable, detail, Some(retry_after));
        }
        let spare = core::mem::take(&mut self.spare);
        self.exclude.retain(|server| !spare.contains(server));
        self.pick()
    }

    /// Gives up before the call was made.
    pub(super) fn forgo(&mut self) -> Action {
        if !self.stage().idempotent {
            self.ran.once = false;
        }
        self.refuse(Code::RequestHarmful, Code::RequestHarmful.title(), None)
    }

    pub(super) fn refuse_claim(&mut self, code: Code, detail: String) -> Action {
        self.phase = Phase::End;
        let outcome = match code.outcome() {
            Outcome::NotRun => self.outcome(),
            other => other,
        };
        let mut answer = Answer::refusal(code, detail).with_outcome(outcome);
        if code.is_retryable() {
            answer = answer.after(RETRY_AFTER);
        }
        Action::Finish(answer)
    }

    pub(super) fn deny_retry(&mut self) -> Action {
        let (code, wait) = match self.last.take() {
            Some(Failure::Busy { retry_after }) => (Code::Overloaded, retry_after),
            _ => (Code::RetriesSpent, None),
        };
        self.refuse(code, code.title(), Some(wait.unwrap_or(RETRY_AFTER)))
    }

    pub(super) fn refuse(
        &mut self,
        code: Code,
        detail: &str,
        retry_after: Option<Duration>,
    ) -> Action {
        let mut answer = Answer::refusal(code, detail).with_outcome(self.outcome());
        answer.retry_after = retry_after;
        answer.stages.clone_from(&self.done);
        self.phase = Phase::End;
        if self.ran.claimed && !self.ran.once {
            return Action::Release(answer);
        }
        Action::Finish(answer)
    }

    pub(super) fn give_up(&mut self, code: Code, detail: &str) -> Action {
        match self.phase {
            Phase::End => Action::Nothing,
            // The claim may be won yet; only the ledger's driver can void it.
            Phase::Claim => {
                self.ran.claimed = true;
                self.refuse(code, detail, Some(RETRY_AFTER))
            }
            _ if self.ran.once => {
                let code = if self.stage_is_once() {
                    Code::CallUnknown
                } else {
                    code
                };
                self.refuse(code, detail, code.is_retryable().then_some(RETRY_AFTER))
            }
            _ => self.refuse(code, detail, Some(RETRY_AFTER)),
        }
    }

    fn stage_is_once(&self) -> bool {
        self.pipeline
            .stages
            .get(self.stage)
            .is_some_and(|stage| !stage.idempotent)
    }

    fn outcome(&self) -> Outcome {
        if self.ran.once {
            Outcome::Unknown
        } else if self.ran.idempotent {
            Outcome::Incomplete
        } else {
            Outcome::NotRun
        }
    }
}
