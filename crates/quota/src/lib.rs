//! Turns at servers that take a limited number of requests a second from all instances together.
//!
//! - [`Limits`] keeps what servers stated, and which statement is the newest.
//! - [`Meter`] grants turns at a server. One instance, the holder, meters a server for all instances, so that the limit is
//!   used in full by those that have requests for it.
//! - [`Cold`] knows which servers are cold, and grants turns at them within what they bear.

pub mod brittle;
pub mod cold;
pub mod configs;
pub mod limits;
pub mod meter;

pub use self::{
    brittle::Brittle,
    cold::Cold,
    limits::{Limits, Statement},
    meter::{Balance, Demand, Meter, Turn},
};
