//! HTTP interface to callers, which parses requests and encodes answers, problems and event streams.
//!
//! The crate does not depend on how requests are run; an implementation of [`Service`] does that.

pub mod frame;
pub mod position;
pub mod problem;
pub mod service;
pub mod submission;

mod body;
mod routes;

pub use self::{
    frame::Frame,
    position::Position,
    routes::{configure, read_body},
    service::{Reply, Service},
    submission::Submission,
};
