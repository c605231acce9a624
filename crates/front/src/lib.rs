//! HTTP towards callers: requests in, answers, problems and event streams out.
//!
//! The crate knows nothing of how requests are served; [`Service`] is where that plugs in.

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
