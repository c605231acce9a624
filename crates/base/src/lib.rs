//! Names, identifiers, idempotency keys, times and result codes that all crates share.
//!
//! This crate does no I/O and reads no clock.

pub mod attempt;
pub mod clock;
pub mod code;
pub mod digest;
pub mod hash;
pub mod incarnation;
pub mod key;
pub mod name;
pub mod request;
pub mod software;
pub mod time;

pub use self::{
    code::{Code, Outcome},
    digest::Digest,
    incarnation::Incarnation,
    key::Key,
    name::Name,
    software::Software,
    time::{Stamp, Tick},
};
