//! HTTP towards callers: requests in, answers, problems and event streams out.
//!
//! The crate knows nothing of how requests are served; [`Service`] is where that plugs in.

pub mod ask;
pub mod frame;
pub mod problem;
pub mod resume;
pub mod service;

mod body;
mod routes;

pub use self::{
    ask::Ask,
    frame::Frame,
    resume::Resume,
    routes::{configure, read_body},
    service::{Reply, Service},
};
