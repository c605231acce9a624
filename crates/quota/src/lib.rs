//! Turns at servers that state how many requests a second they take from all instances together.
//!
//! - [`Limits`] keeps what servers stated, and which statement is the newest.
//! - [`Meter`] grants turns at a server. One instance, the holder, meters a server for all instances, so that the limit is
//!   used in full by those that have requests for it.

pub mod brittle;
pub mod configs;
pub mod limits;
pub mod meter;

pub use self::{
    brittle::Brittle,
    limits::{Limits, Statement},
    meter::{Meter, Turn},
};
