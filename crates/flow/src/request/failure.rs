//! What follows a failed attempt, and what a request says when it gives up.

use core::time::Duration;

use base::{Code, Outcome};

use super::{Phase, Request};
use crate::{Action, Answer, Failure};

/// Times that a streamed answer may go on at another server without asking the retry budget.
const MAX_RESUMPTIONS: u16 = 8;

/// Servers that one request may find dead before its further attempts are paid for like any retry.
const MAX_SERVER_DEATHS: u16 = 2;

/// The wait advised after a failure that says nothing about how long it will last.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Request {
    pub(super) fn handle_failure(&mut self, failure: Failure, cost: f64) -> Action {
        self.stage_cost += cost;
        if !self.stage().idempotent {
            if failure.may_have_run() {
                return self.abandon(Code::CallUnknown, "the call got no answer");
            }
            self.execution.non_idempotent = false;
        }
        if let Failure::Refused { detail } = &failure {
            let detail = detail.clone();
            return self.refuse(Code::StageRefused, &detail, None);
        }
        if matches!(
            failure,
            Failure::TimedOut {
                new_connection: false
            }
        ) {
            self.reusable.extend(self.exclude.last().cloned());
        }
        // A server that dies takes all its requests with it, and some more find it gone before that is
        // known; that is rare and bounded by the servers there are, so it need not wait for the budget,
        // which is for attempts that fail.
        let is_server_gone = matches!(failure, Failure::Died | Failure::NotConnected);
        if is_server_gone && self.server_deaths < MAX_SERVER_DEATHS {
            self.server_deaths += 1;
            return self.retry();
        }
        // A stream that got on before it was cut goes on from there. It repeats no token, so it adds
        // little to the load, whereas giving it up would waste what was generated.
        if self.emitted_tokens > self.attempt_first_token && self.resumptions < MAX_RESUMPTIONS {
            self.resumptions += 1;
            return self.retry();
        }
        self.last_failure = Some(failure);
        self.phase = Phase::Budget;
        Action::RequestRetry
    }

    /// Takes servers again that only an old connection did not reach, before it gives up.
    pub(super) fn handle_no_server(&mut self, retry_after: Duration) -> Action {
        if self.reusable.is_empty() {
            let detail = "no backend server can take the stage";
            return self.refuse(Code::StageUnavailable, detail, Some(retry_after));
        }
        let reusable = core::mem::take(&mut self.reusable);
        self.exclude.retain(|server| !reusable.contains(server));
        self.pick()
    }

    /// Gives up before the call was made.
    pub(super) fn skip_call(&mut self) -> Action {
        if !self.stage().idempotent {
            self.execution.non_idempotent = false;
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
            answer = answer.with_retry_after(DEFAULT_RETRY_AFTER);
        }
        Action::Finish(answer)
    }

    pub(super) fn deny_retry(&mut self) -> Action {
        let (code, wait) = match self.last_failure.take() {
            Some(Failure::Busy { retry_after }) => (Code::Overloaded, retry_after),
            _ => (Code::RetriesSpent, None),
        };
        self.refuse(
            code,
            code.title(),
            Some(wait.unwrap_or(DEFAULT_RETRY_AFTER)),
        )
    }

    pub(super) fn refuse(
        &mut self,
        code: Code,
        detail: &str,
        retry_after: Option<Duration>,
    ) -> Action {
        let mut answer = Answer::refusal(code, detail).with_outcome(self.outcome());
        answer.retry_after = retry_after;
        answer.stages.clone_from(&self.finished_stages);
        self.phase = Phase::End;
        if self.execution.is_claimed && !self.execution.non_idempotent {
            return Action::Release(answer);
        }
        Action::Finish(answer)
    }

    pub(super) fn abandon(&mut self, code: Code, detail: &str) -> Action {
        match self.phase {
            Phase::End => Action::Nothing,
            // The claim may be won yet; only the ledger's driver can void it.
            Phase::Claim => {
                self.execution.is_claimed = true;
                self.refuse(code, detail, Some(DEFAULT_RETRY_AFTER))
            }
            _ if self.execution.non_idempotent => {
                let code = if self.is_stage_non_idempotent() {
                    Code::CallUnknown
                } else {
                    code
                };
                self.refuse(
                    code,
                    detail,
                    code.is_retryable().then_some(DEFAULT_RETRY_AFTER),
                )
            }
            _ => self.refuse(code, detail, Some(DEFAULT_RETRY_AFTER)),
        }
    }

    fn is_stage_non_idempotent(&self) -> bool {
        self.pipeline
            .stages
            .get(self.stage)
            .is_some_and(|stage| !stage.idempotent)
    }

    fn outcome(&self) -> Outcome {
        if self.execution.non_idempotent {
            Outcome::Unknown
        } else if self.execution.idempotent {
            Outcome::Incomplete
        } else {
            Outcome::NotRun
        }
    }
}
