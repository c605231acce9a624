//! Pieces of stages, gathered into calls that several requests share.
//!
//! A call to a server of stages takes a fixed time whatever it holds, so a [`Scheduler`] lets pieces wait
//! while a call is under way and sends those that are due first in the next one.

pub mod configs;
pub mod piece;
pub mod scheduler;
pub mod shard;

pub use self::{piece::Piece, scheduler::Scheduler, shard::Shard};
