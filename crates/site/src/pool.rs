//! Pools of backend servers.

use core::time::Duration;

use base::Name;

/// A pool of backend servers that do the same work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// The pool's name.
    pub name: Name,
    /// The maximum number of connections that one server accepts from all instances.
    pub max_connections: usize,
    /// The kind of work that its servers do.
    pub work: Work,
    /// How many requests a cold server takes, or none if cold servers take as many as others.
    pub cold: Option<Cold>,
}

/// What a cold server of a pool takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// The requests a second that it sustains.
    pub rate: f64,
    /// How long a server is cold after its start.
    pub start_time: Duration,
}

/// The kind of work that the servers of a pool do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Work {
    /// Runs models over prompts and keeps the prompts in memory.
    Engine(Engine),
    /// Runs pieces of stages, several in one call.
    Pieces(Pieces),
    /// Answers requests.
    #[default]
    Plain,
}

/// The configured capacity of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    /// The number of requests that run concurrently.
    pub slots: u32,
    /// The number of tokens that fit into memory.
    pub memory_tokens: u64,
}

/// The configured capacity of a stage server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pieces {
    /// The number of calls that run concurrently.
    pub slots: u32,
    /// The maximum number of queued calls.
    pub queue: u32,
    /// The maximum number of pieces in one call.
    pub max_batch: usize,
    /// The fixed time of each call.
    pub call_time: Duration,
    /// The approximate time that each piece adds to a call.
    pub piece_time: Duration,
    /// The bytes of results that fit into memory.
    pub memory_bytes: u64,
    /// How long a result is kept after its call.
    pub result_ttl: Duration,
}

impl Pieces {
    /// Returns the share of one piece in the time of a full call.
    pub fn time_per_piece(&self) -> Duration {
        self.full_call_time() / u32::try_from(self.max_batch.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the time of a call with the maximum number of pieces.
    pub fn full_call_time(&self) -> Duration {
        self.call_time + self.piece_time * u32::try_from(self.max_batch).unwrap_or(u32::MAX)
    }
}
