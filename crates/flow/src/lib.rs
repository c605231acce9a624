//! A request on its way through the stages of its pipeline.
//!
//! [`Request`] is a state machine without I/O: events go in, one action comes out, and the
//! driver carries it out and reports what came of it. It decides
//!
//! - in which order the stages run and what each gets as its input,
//! - whether a failed call may be tried again,
//! - what the answer may truthfully say about what ran.

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
