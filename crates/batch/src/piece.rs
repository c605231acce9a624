//! Pieces of stages and their outcomes.

use core::time::Duration;

use base::{Incarnation, Name, Tick};
use site::route::Rank;

/// A piece that is queued for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The id under which the waiter for the result registered.
    pub ticket: u64,
    /// The id of the request that the piece belongs to.
    pub request: Name,
    /// The index of the stage within the route.
    pub stage: usize,
    /// The piece's number within the stage, from 0.
    pub number: u32,
    /// The input of the piece.
    pub source: Source,
    /// The request's rank; the lowest goes first.
    pub rank: Rank,
    /// The request's value per second of stage work, compared within a rank; when not all requests can be on
    /// time, those with the lowest density are deferred first.
    pub density: u32,
    /// When the result is needed for the request to be on time.
    pub due: Tick,
    /// How much later than `due` the request can still be on time, if it waits nowhere after that. Pieces are ordered by
    /// when they are due, and count as late only after this time.
    pub slack: Duration,
    /// When the result is too late for the request to be answered at all.
    pub deadline: Tick,
    /// The approximate size of the result in bytes.
    pub result_bytes: u64,
    /// The failure domain nearest to the inputs and to the reader of the result.
    pub preferred_domain: Option<Name>,
    /// The bytes that cross failure domains if the piece runs outside its preferred domain.
    pub transfer_bytes: u64,
    /// The number of earlier calls that included the piece.
    pub attempts: u32,
}

/// The input of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The key that the caller sent.
    Key(Name),
    /// Handles to results of earlier stages.
    Results(Vec<Handle>),
}

/// A reference to a result that is stored on the server that produced it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handle {
    /// The run of the server that made and holds the result, if it is known. An address would not name it, as another server
    /// may get that.
    pub maker: Option<Incarnation>,
    /// The handle as the server issued it.
    pub text: Name,
}

/// The outcome of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The result is stored under this handle.
    Result(Handle),
    /// The piece produced no result.
    Failed(Reason),
}

/// Why a piece produced no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The server failed.
    Error,
    /// One of the input results no longer exists.
    Gone,
    /// The deadline of the piece passed before its call ran.
    Late,
    /// The server had no memory for the result.
    Room,
}
