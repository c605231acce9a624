//! The instances that serve together.
//!
//! [`Members`] knows which other instances answer, and names the one that feeds a pool. Views may differ:
//! two instances may both feed a pool for a while, which costs calls that are less full and nothing else.

pub mod configs;
pub mod members;

pub use self::{
    configs::Config,
    members::{Members, Peer},
};
