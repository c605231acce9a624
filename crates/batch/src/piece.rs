//! One piece of a stage.

use core::net::SocketAddr;

use base::{Name, Tick};
use site::route::Rank;

/// A piece that waits for its call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Names the piece towards whoever waits for its result.
    pub ticket: u64,
    /// The request it belongs to.
    pub request: Name,
    /// The request's stage.
    pub stage: usize,
    /// The piece's number within the stage, from 0.
    pub number: u32,
    /// What it is made from.
    pub source: Source,
    /// The request's rank; the least goes first.
    pub rank: Rank,
    /// What the request is worth for each second of work on its stages, beside others of its rank; where not
    /// all can be on time, the least is put off first.
    pub density: u32,
    /// When its result is needed for the request to be on time.
    pub due: Tick,
    /// When its result is too late for the request to be answered at all.
    pub deadline: Tick,
    /// The size of its result in bytes, about.
    pub result_bytes: u64,
    /// The failure domain that is nearest to what it is made from and to whoever reads its result.
    pub preferred_domain: Option<Name>,
    /// The bytes that cross failure domains where it is made elsewhere.
    pub transfer_bytes: u64,
    /// How often it was in a call before.
    pub attempts: u32,
}

/// What a piece is made from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The key that the caller gave.
    Key(Name),
    /// Handles of the results of earlier stages.
    Results(Vec<Handle>),
}

/// Names a result that lies at its maker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handle {
    /// Where the maker listens.
    pub address: SocketAddr,
    /// The handle as the maker wrote it.
    pub text: Name,
}

/// What became of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The result lies at its maker under this handle.
    Result(Handle),
    /// It was not made.
    Failed(Reason),
}

/// Why a piece was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The server failed.
    Error,
    /// One of the results it is made from no longer exists.
    Gone,
    /// Its time had run out when its call's turn came.
    Late,
    /// The server had no memory for the result.
    Room,
}
