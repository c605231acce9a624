//! Choice of a backend server for one attempt.
//!
//! A [`Table`] is told of servers, of the instance's own attempts, of load reports and of cache
//! events, and picks the server on which an attempt is expected to end soonest. It does no I/O.

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
