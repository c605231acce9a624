//! Decides whether a request starts, waits or is refused, by the capacity that its stages have left.
//!
//! - [`Forecast`] keeps the newest backlog of each shard with its age.
//! - [`Controller`] decides for a request before its first stage.
//! - [`Accounts`] tracks the work of client accounts, and [`Deadlines`] how long callers have waited.

pub mod accounts;
pub mod configs;
pub mod controller;
pub mod deadlines;
pub mod forecast;

pub use self::{
    accounts::Accounts, configs::Config, controller::Controller, deadlines::Deadlines,
    forecast::Forecast,
};
