//! Pieces of stages, gathered into calls that several requests share.
//!
//! A call to a server of stages takes a fixed time whatever it holds, so a [`Desk`] lets pieces wait
//! while a call is under way and sends those that are due first in the next one.

pub mod configs;
pub mod desk;
pub mod piece;
pub mod shard;

pub use self::{desk::Desk, piece::Piece, shard::Shard};
