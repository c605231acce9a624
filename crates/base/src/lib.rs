//! Names, ids, keys, times and result codes that every crate shares.
//!
//! Nothing here does I/O or reads a clock.

pub mod attempt;
pub mod code;
pub mod digest;
pub mod incarnation;
pub mod key;
pub mod name;
pub mod request;
pub mod time;

pub use self::{
    code::{Code, Outcome},
    digest::Digest,
    incarnation::Incarnation,
    key::Key,
    name::Name,
    time::{Stamp, Tick},
};
