//! Execution of a request through the stages of its pipeline.
//!
//! [`Request`] is a state machine without I/O. It turns each event into one action, which the driver executes
//! and whose result it reports as the next event. It decides
//!
//! - in which order the stages run and what input each of them gets,
//! - whether a failed call may be retried,
//! - what the answer may state about the calls that ran.

pub mod answer;
pub mod event;
pub mod failure;
pub mod request;

pub use self::{
    answer::Answer,
    event::{Action, Event},
    failure::Failure,
    request::Request,
};
