//! Events that an instance counts.

use core::time::Duration;

use base::{Code, Name};

use crate::cause::{Blame, Cause, Outcome};

/// An event that an instance counts.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A call to a backend server finished.
    Called(Called),
    /// A request finished.
    Ended(Ended),
    /// A bundle with these objectives is in force.
    InForce(Objectives),
}

/// A finished call to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Called {
    /// The pipeline.
    pub pipeline: Name,
    /// The stage.
    pub stage: Name,
    /// How long the backend server was busy with the call.
    pub busy: Duration,
    /// The cost of one second of the server's work, in the operators' cost unit.
    pub cost_per_second: f64,
    /// Whether the call was a retry or a hedge.
    pub repeat: bool,
    /// Whether its result was not used.
    pub wasted: bool,
}

/// A finished request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The pipeline.
    pub pipeline: Name,
    /// The client account.
    pub account: Name,
    /// Why it was not completely answered within its deadline; none if it was.
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
    /// Returns the event for a finished request; none if the result does not count for attainment.
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
