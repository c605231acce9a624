//! Handling of failed attempts, refusals and abandoned requests.

use core::time::Duration;

use base::{Code, Outcome};

use super::{Phase, Request};
use crate::{Action, Answer, Failure};

/// Number of times that a streamed answer may continue on another server without using the retry budget.
const MAX_RESUMPTIONS: u16 = 8;

/// Number of dead or unreachable servers after which further attempts of a request use the retry budget.
const MAX_SERVER_DEATHS: u16 = 2;

/// Retry delay after a failure of unknown duration.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Request {
    /// Retries a failed attempt, asks the retry budget for another one, or ends the request.
    ///
    /// A call that is not idempotent is only retried if the server cannot have run it.
    pub(super) fn handle_failure(&mut self, failure: Failure, cost: f64) -> Action {
        self.stage_cost += cost;
        if !self.stage().idempotent {
            if failure.may_have_run() {
                return self.abandon(Code::CallUnknown, "the call got no answer");
            }
            self.execution.non_idempotent_may_have_run = false;
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
        // A server that dies fails all its requests, and some more find it dead before that is known. This is
        // rare and bounded by the number of servers, so it does not use the retry budget, which is for failing
        // attempts.
        let is_server_gone = matches!(failure, Failure::Died | Failure::NotConnected);
        if is_server_gone && self.server_deaths < MAX_SERVER_DEATHS {
            self.server_deaths += 1;
            return self.retry();
        }
        // A stream that made progress before it was cut off continues from there. It repeats no token and so
        // adds little load, whereas abandoning it would waste the tokens generated so far.
        if self.emitted_tokens > self.attempt_first_token && self.resumptions < MAX_RESUMPTIONS {
            self.resumptions += 1;
            return self.retry();
        }
        self.last_failure = Some(failure);
        self.phase = Phase::Budget;
        Action::RequestRetry
    }

    /// Retries servers that failed only over an existing connection, before it refuses the request.
    pub(super) fn handle_no_server(&mut self, retry_after: Duration) -> Action {
        if self.reusable.is_empty() {
            let detail = "no backend server can take the stage";
            return self.refuse(Code::StageUnavailable, detail, Some(retry_after));
        }
        let reusable = core::mem::take(&mut self.reusable);
        self.exclude.retain(|server| !reusable.contains(server));
        self.pick()
    }

    /// Refuses the request before the call is made.
    pub(super) fn skip_call(&mut self, code: Code) -> Action {
        if !self.stage().idempotent {
            self.execution.non_idempotent_may_have_run = false;
        }
        let retry_after = code.is_retryable().then_some(DEFAULT_RETRY_AFTER);
        self.refuse(code, code.title(), retry_after)
    }

    /// Ends the request because it did not win the claim; the code states what is known about the call.
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

    /// Refuses the request because the retry budget is exhausted.
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

    /// Ends the request with a refusal, and releases a claim whose call cannot have run.
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
        if self.execution.is_claimed && !self.execution.non_idempotent_may_have_run {
            return Action::Release(answer);
        }
        Action::Finish(answer)
    }

    /// Ends the request before its result is known, unless it has ended already.
    ///
    /// If the current call is not idempotent and may have run, the code is replaced by
    /// [`Code::CallUnknown`].
    pub(super) fn abandon(&mut self, code: Code, detail: &str) -> Action {
        match self.phase {
            Phase::End => Action::Nothing,
            // The claim may still be won, and only the driver of the ledger can void it.
            Phase::Claim => {
                self.execution.is_claimed = true;
                self.refuse(code, detail, Some(DEFAULT_RETRY_AFTER))
            }
            _ if self.execution.non_idempotent_may_have_run => {
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

    /// Returns what is known about the execution of the request.
    fn outcome(&self) -> Outcome {
        if self.execution.non_idempotent_may_have_run {
            Outcome::Unknown
        } else if self.execution.idempotent_was_sent {
            Outcome::Incomplete
        } else {
            Outcome::NotRun
        }
    }
}
