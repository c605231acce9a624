//! The control side: actors that track the platform and the peers.
//!
//! It has a thread of its own, so that its processor time can be measured apart from the serving
//! side's.

pub mod config;
pub(crate) mod connections;
pub mod ledger;
pub(crate) mod peers;
pub(crate) mod placement;
pub mod roster;
pub mod suspects;
pub mod work;
