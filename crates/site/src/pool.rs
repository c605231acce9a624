//! One pool of backend servers.

use core::time::Duration;

use base::Name;

/// A pool of backend servers that do the same work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// The pool's name.
    pub name: Name,
    /// The most connections that one server accepts from all instances.
    pub max_connections: usize,
    /// What its servers do.
    pub work: Work,
}

/// What the servers of a pool do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Work {
    /// Runs models over prompts that are kept in memory.
    Engine(Engine),
    /// Works on pieces of stages, several in one call.
    Pieces(Pieces),
    /// Answers requests.
    #[default]
    Plain,
}

/// An engine, as the operator states it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Tokens that fit into memory.
    pub memory_tokens: u64,
}

/// A server of stages, as the operator states it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pieces {
    /// Calls that are worked on at the same time.
    pub slots: u32,
    /// Calls that may wait.
    pub queue: u32,
    /// The most pieces of one call.
    pub max_batch: usize,
    /// The time that each call takes.
    pub call_time: Duration,
    /// The time that each piece adds, about.
    pub piece_time: Duration,
    /// The bytes of results that fit into memory.
    pub memory_bytes: u64,
    /// How long a result is kept after its call.
    pub result_ttl: Duration,
}

impl Pieces {
    /// Returns a piece's share of the time of a full call.
    pub fn time_per_piece(&self) -> Duration {
        self.full_call_time() / u32::try_from(self.max_batch.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the time of a call with as many pieces as it may hold.
    pub fn full_call_time(&self) -> Duration {
        self.call_time + self.piece_time * u32::try_from(self.max_batch).unwrap_or(u32::MAX)
    }
}
