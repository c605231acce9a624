//! What a request ends in.

use core::time::Duration;

use base::{Code, Name, Outcome};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The end of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The result code.
    pub code: Code,
    /// What the answer says about the request; never stronger than what is known.
    pub outcome: Outcome,
    /// The output of the last stage, where the request was answered.
    pub output: Value,
    /// When sending the request again may help, where it may.
    pub retry_after: Option<Duration>,
    /// The stages that were completed, in their order.
    pub stages: Vec<Stage>,
    /// What went wrong, in one line for people; empty where nothing did.
    pub detail: String,
}

/// A completed stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// The name of the stage.
    pub name: Name,
    /// The time from the first attempt to the whole output, in milliseconds.
    pub took_ms: f64,
    /// The cost in operators' units, failed attempts included.
    pub cost: f64,
    /// The number of attempts.
    pub attempts: u16,
}

impl Answer {
    /// Returns a refusal whose outcome is the one that goes with its code.
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

    /// Sets when sending the request again may help.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets what the answer says about the request.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }
}
