//! Admission: which requests start, wait or are refused.
//!
//! A [`Controller`] takes requests and what became of them and tells which to start next. It refuses at
//! once what cannot be answered within its deadline. Limits of client accounts over several entry
//! instances are in [`limit`]. Nothing here does I/O or reads a clock.

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
