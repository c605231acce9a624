//! The result of a request.

use core::time::Duration;

use base::{Code, Name, Outcome};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The result code.
    pub code: Code,
    /// What is known about the execution of the request; it never claims more than that.
    pub outcome: Outcome,
    /// The output of the last stage, if the request was answered.
    pub output: Value,
    /// Time after which resending the request may succeed, if it may at all.
    pub retry_after: Option<Duration>,
    /// The completed stages, in order.
    pub stages: Vec<Stage>,
    /// A one-line description of the error; empty if there was none.
    pub detail: String,
}

/// A completed stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// The name of the stage.
    pub name: Name,
    /// The time from the start of the stage to its complete output, in milliseconds.
    pub took_ms: f64,
    /// The cost in the operator's unit, including failed attempts.
    pub cost: f64,
    /// The number of attempts.
    pub attempts: u16,
}

impl Answer {
    /// Creates a refusal with the outcome that corresponds to its code.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Code, Outcome};
    /// let answer = flow::Answer::refusal(Code::PipelineUnknown, "no pipeline 'x'");
    /// assert_eq!(answer.outcome, Outcome::NotRun);
    /// ```
    pub fn refusal(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: code.outcome(),
            output: Value::Null,
            retry_after: None,
            stages: Vec::new(),
            detail: detail.into(),
        }
    }

    /// Sets the time after which resending the request may succeed.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets what is known about the execution of the request.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }
}
