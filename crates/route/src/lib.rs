//! Selection of a backend server for each attempt.
//!
//! A [`Table`] tracks servers, the instance's own attempts, load reports and cache events, and picks the
//! server with the lowest expected latency. It does no I/O.

pub mod cache;
mod choose;
pub mod configs;
pub mod event;
pub mod health;
pub mod latency;
pub mod outage;
pub mod pool;
pub mod server;
pub mod state;
pub mod table;

pub use self::{
    configs::Config,
    event::{Event, Failure},
    server::Server,
    table::{Capacity, Choice, Context, Error, Request, Table},
};
