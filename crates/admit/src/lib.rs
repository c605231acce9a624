//! Admission control: which requests start, wait or are refused.
//!
//! A [`Controller`] receives requests and events about them, and decides which request to start next. It
//! immediately refuses requests that cannot be answered within their deadline. Rate limits of client
//! accounts over several entry instances are in [`limit`]. Nothing in this crate does I/O or reads a clock.

pub mod account;
pub mod backoff;
pub mod configs;
pub mod controller;
pub mod estimate;
pub mod event;
pub mod limit;
pub mod pool;
pub mod queue;

pub use self::{
    configs::Config,
    controller::Controller,
    event::{Action, Context, Event, Refusal, Request, Verdict},
};
