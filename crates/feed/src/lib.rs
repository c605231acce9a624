//! Pieces and pulses between instances, over tonic.
//!
//! - [`Client`] reaches other instances.
//! - [`serve`] answers them; what they ask arrives as [`Command`]s on a channel, as the shared state of an
//!   instance stays on one thread.

mod client;
mod codec;
mod server;

use core::time::Duration;

use base::Name;
use batch::{
    Shard,
    piece::{Outcome, Source},
};
use bytes::Bytes;
use site::route::Rank;

pub use self::{
    client::Client,
    server::{Command, serve},
};

/// Pieces of one stage of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegation {
    /// The servers among which those that work on them are chosen.
    pub shard: Shard,
    /// The request.
    pub request: Name,
    /// The request's stage.
    pub stage: usize,
    /// The numbers of the pieces.
    pub numbers: Vec<u32>,
    /// What they are made from.
    pub source: Source,
    /// The request's rank; the least goes first.
    pub rank: Rank,
    /// What the request is worth for each second of work on its stages, beside others of its rank.
    pub density: u32,
    /// The time until the results are needed to be on time; zero if that has passed.
    pub due: Duration,
    /// The time until the results are of no use.
    pub time_left: Duration,
    /// The size of one result in bytes, about.
    pub result_bytes: u64,
    /// The failure domain that is best for the pieces.
    pub preferred_domain: Option<Name>,
    /// The bytes that cross failure domains for a piece that is made elsewhere.
    pub transfer_bytes: u64,
}

/// What became of each piece of an order.
pub type Results = Vec<Outcome>;

/// What an instance tells the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// The instance.
    pub name: Name,
    /// Whether it stops.
    pub leaving: bool,
    /// What it has under way at engines.
    pub loads: Vec<EngineLoad>,
    /// The version of its configuration in force, 0 before one is known.
    pub config_version: u64,
    /// Chains of prompt parts that engines have read lately.
    pub cached_chains: Vec<CachedChain>,
    /// The offset from which the servers' entries are wanted; none where the instance reads them itself.
    pub entries_from: Option<u64>,
    /// The servers' entries that were wanted; none where they are not known.
    pub entry_changes: Option<Changes>,
}

/// Changes of the servers' entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The offset to go on from.
    pub next_offset: u64,
    /// The changes, by their offsets.
    pub entries: Vec<Entry>,
}

/// A server's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The server.
    pub key: Name,
    /// The entry as the server wrote it; none where it was dropped.
    pub value: Option<Bytes>,
    /// Its offset.
    pub offset: u64,
}

/// An engine keeps a chain of prompt parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedChain {
    /// The engine.
    pub server: Name,
    /// A digest of the parts.
    pub chain: u64,
}

/// What an instance has under way at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// The engine.
    pub server: Name,
    /// Prompt tokens that wait to be read.
    pub tokens: u64,
    /// Requests that run.
    pub running: u32,
}

/// Why another instance gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call failed or took too long.
    #[error("{0}")]
    Call(String),
    /// The answer can't be read.
    #[error("the answer can't be read: {0}")]
    Malformed(&'static str),
}
