//! Messages between instances over gRPC: delegated pieces, heartbeats and configurations.
//!
//! - [`Client`] sends messages to other instances.
//! - [`serve`] answers the messages of other instances. They arrive as [`Command`]s on a channel, as the shared
//!   state of an instance stays on one thread.

mod backlogs;
mod call;
mod client;
mod codec;
mod connection;
mod server;

use core::time::Duration;

use base::{Name, Stamp};
use batch::{
    Backlog, Shard,
    piece::{Outcome, Source},
};
use bytes::Bytes;
use mesh::{Changes, Departure, Position};
use quota::{Balance, Demand, Turn, cold::Report};
use site::route::Rank;

pub use self::{
    call::{Call, Head, Part},
    client::{Client, Passed},
    server::{Command, serve},
};

/// Pieces of one stage of one request, delegated to the instance that owns their shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegation {
    /// The shard whose servers run the pieces.
    pub shard: Shard,
    /// The id of the request.
    pub request: Name,
    /// The index of the stage within the route.
    pub stage: usize,
    /// The numbers of the pieces within the stage.
    pub numbers: Vec<u32>,
    /// The input of the pieces.
    pub source: Source,
    /// The request's rank; the lowest goes first.
    pub rank: Rank,
    /// The request's value per second of stage work, compared within a rank.
    pub density: u32,
    /// The time until the results are due; zero if they are already late.
    pub due: Duration,
    /// How much later the request can still be on time, if it waits nowhere after that.
    pub slack: Duration,
    /// The time until the deadline of the results.
    pub time_left: Duration,
    /// The approximate size of one result in bytes.
    pub result_bytes: u64,
    /// The failure domain in which the pieces should run.
    pub preferred_domain: Option<Name>,
    /// The bytes that cross failure domains for a piece that runs in another domain.
    pub transfer_bytes: u64,
}

/// The answer to a delegation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Results {
    /// The outcomes of the pieces, in their order.
    pub outcomes: Vec<Outcome>,
    /// Backlogs of shards that the answering instance owns.
    pub backlogs: Vec<(Shard, Backlog)>,
}

/// The state that an instance sends to the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heartbeat {
    /// The name of the instance.
    pub name: Name,
    /// Whether the instance is stopping.
    pub leaving: bool,
    /// The load that the instance has in flight at engines.
    pub loads: Vec<EngineLoad>,
    /// The version of its active configuration, or 0 before one is known.
    pub config_version: u64,
    /// The chains of prompt parts that engines cached recently.
    pub cached_chains: Vec<CachedChain>,
    /// The positions from which the instance requests changes of topics.
    pub wanted: Wanted,
    /// The requested changes.
    pub topics: Topics,
    /// The age of the instance's last read of the store, if it reads the store itself.
    pub read_age: Option<Duration>,
    /// The time since the store answered the instance again after an outage.
    pub store_recovered: Option<Duration>,
    /// Servers that the instance learned to be leaving a moment ago.
    pub departures: Vec<Departure>,
    /// What servers stated a short time ago of the request rate that they take.
    pub limits: Vec<Limit>,
    /// Whether the instance reaches no servers.
    pub is_cut_off: bool,
    /// In an answer, the backlogs of shards that the instance owns.
    pub backlogs: Vec<(Shard, Backlog)>,
    /// Servers that may be cold after an event that the instance saw a moment ago.
    pub cold: Vec<Report>,
    /// The evacuated failure domains, or none before the instance knows of them.
    pub evacuations: Option<Evacuations>,
    /// Speeds of servers that changed a short time ago.
    pub speeds: Vec<Speed>,
}

/// How long a run of a server takes relative to its pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Speed {
    /// The server.
    pub server: Name,
    /// The start time of its run in Unix milliseconds, or 0 if unknown.
    pub started_at_ms: u64,
    /// The time to read prompts or to answer, in percent of the pool's usual time.
    pub reading: u32,
    /// The time between events, in percent of the pool's usual time.
    pub writing: u32,
    /// The number of answers on which this rests.
    pub weight: u32,
}

/// The evacuated failure domains at a position in the operator's topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// The position up to which the operator's records are known.
    pub position: Position,
    /// The domains.
    pub domains: Vec<Evacuation>,
}

/// An evacuated failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The failure domain.
    pub domain: Name,
    /// The time of day since which it is evacuated.
    pub since: Stamp,
    /// The time until the evacuation ends by itself, if a restored store lacks its record.
    pub left: Option<Duration>,
}

/// The request rate that a run of a server stated in an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limit {
    /// The server.
    pub server: Name,
    /// The start time of its run in Unix milliseconds, or 0 if unknown.
    pub started_at_ms: u64,
    /// The requests a second that it takes from all instances together, or none if it takes any number.
    pub rate: Option<f64>,
    /// The requests that it turns away in a second at most before it falls over, or none if it bears any number.
    pub brittle: Option<f64>,
    /// The time since the request was sent that the answer belongs to.
    pub sent_age: Duration,
    /// The time since the answer arrived.
    pub received_age: Duration,
    /// The turns granted ahead that the sender knows of as their granter or from it.
    pub balance: Option<Balance>,
}

/// The question for a turn at a server that limits its request rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The newest statement of the server that the asking instance knows.
    pub limit: Limit,
    /// What the call needs.
    pub demand: Demand,
    /// What the asking instance knows of a cold server, if the turn is one at a cold server.
    pub cold: Option<Report>,
}

/// The answer to a question for a turn.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The turn.
    pub turn: Turn,
    /// The newest statement of the server that the granting instance knows, if it knows one.
    pub limit: Option<Limit>,
}

/// The positions of an instance in the topics that it follows; none where it wants no changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    /// In the entries of servers.
    pub servers: Option<Position>,
    /// In the entries of instances.
    pub instances: Option<Position>,
    /// In the records of crashes.
    pub crashes: Option<Position>,
}

/// Records of the topics that instances follow; none where they are unknown or not wanted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topics {
    /// The entries of servers.
    pub servers: Option<Answer>,
    /// The entries of instances.
    pub instances: Option<Answer>,
    /// The records of crashes.
    pub crashes: Option<Answer>,
}

/// The answer to a request for the changes of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The changes since the position, or all records in an answer to [`Client::lists`].
    Changes(Changes<Bytes>),
    /// Changes since the position are unknown, so all records have to be fetched with [`Client::lists`].
    Gap,
}

/// All records of the topics that an instance follows, and how old they are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lists {
    /// The records.
    pub topics: Topics,
    /// The age of the instance's last read of the store.
    pub read_age: Duration,
}

/// A chain of prompt parts in the cache of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedChain {
    /// The engine.
    pub server: Name,
    /// A digest of the parts of the chain.
    pub chain: u64,
}

/// The load that an instance has in flight at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// The engine.
    pub server: Name,
    /// Prompt tokens that the engine has yet to read.
    pub tokens: u64,
    /// Requests in flight.
    pub running: u32,
}

/// Errors of calls to other instances.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call failed or timed out.
    #[error("{0}")]
    Call(String),
    /// The answer can't be decoded.
    #[error("the answer can't be read: {0}")]
    Malformed(&'static str),
}
