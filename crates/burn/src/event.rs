//! What an instance counts.

use core::time::Duration;

use base::{Code, Name};

use crate::cause::{Blame, Cause, Outcome};

/// What an instance counts.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A call to a backend server ended.
    Called(Called),
    /// A request ended.
    Ended(Ended),
    /// A bundle with these objectives is in force.
    InForce(Objectives),
}

/// A call to a backend server ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Called {
    /// The pipeline.
    pub pipeline: Name,
    /// The stage.
    pub stage: Name,
    /// How long the backend server was busy with it.
    pub busy: Duration,
    /// The cost of one second of its work, in operators' units.
    pub cost_per_second: f64,
    /// Whether the call was a retry or a hedge.
    pub repeat: bool,
    /// Whether its result was of no use.
    pub wasted: bool,
}

/// A request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The pipeline.
    pub pipeline: Name,
    /// The client account.
    pub account: Name,
    /// Why it was not wholly answered within its deadline; none if it was.
    pub blame: Option<Blame>,
}

/// The objectives of a bundle.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Objectives {
    /// The version of the bundle.
    pub version: u64,
    /// The objective of each pipeline, sorted by name.
    pub pipelines: Vec<Objective>,
}

/// The objective of a pipeline.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Objective {
    /// The pipeline.
    pub pipeline: Name,
    /// The share of requests to be answered within their deadline.
    pub share: f64,
}

impl Event {
    /// Returns the event for the end of a request; none where it says nothing of attainment.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Code;
    /// use burn::Event;
    /// let event = |code| Event::ended("status".into(), "stewards".into(), code, true, None);
    /// assert!(event(Code::Answered).is_some());
    /// assert!(event(Code::BodyInvalid).is_none());
    /// ```
    pub fn ended(
        pipeline: Name,
        account: Name,
        code: Code,
        in_time: bool,
        stage: Option<Name>,
    ) -> Option<Self> {
        let blame = match Outcome::from_code(code) {
            Outcome::Excluded => return None,
            Outcome::Answered if in_time => None,
            Outcome::Answered => Some(Cause::Late),
            Outcome::Missed(cause) => Some(cause),
        };
        Some(Self::Ended(Ended {
            pipeline,
            account,
            blame: blame.map(|cause| Blame { cause, stage }),
        }))
    }
}
