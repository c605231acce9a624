//! Admission: which requests start, wait or are refused.
//!
//! A [`Gate`] takes requests and what became of them and tells which to start next. It refuses at
//! once what cannot be answered within its deadline. Limits of client accounts over several entry
//! instances are in [`limit`]. Nothing here does I/O or reads a clock.

pub mod account;
pub mod budget;
pub mod configs;
pub mod event;
pub mod gate;
pub mod limit;
pub mod line;
pub mod pool;
pub mod returns;

pub use self::{
    configs::Config,
    event::{Action, Ask, Context, Event, Refusal, Verdict},
    gate::Gate,
};
