//! Batches pieces of stages into calls that several requests share.
//!
//! A piece is the unit of work of a stage. Each call to a stage server has a fixed cost whatever it holds, so a
//! [`Scheduler`] queues pieces while a call is in flight and sends those that are due first in the next call.

pub mod backlog;
pub mod configs;
pub mod piece;
pub mod scheduler;
pub mod shard;

pub use self::{backlog::Backlog, piece::Piece, scheduler::Scheduler, shard::Shard};
