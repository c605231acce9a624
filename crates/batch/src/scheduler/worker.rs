//! One server of a shard: its calls, its speed and the results that it stores.

use base::{Name, Tick};
use pick::speed::Momentary;
use site::pool::Pieces;

/// The state of one server, as seen by this instance.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) id: Name,
    /// Calls of this instance in flight.
    pub(super) calls: u32,
    /// When the call in flight and the calls of other instances are expected to end.
    pub(super) busy_until: Tick,
    /// The moving average of call times, relative to the expected time.
    pub(super) latency_ratio: f64,
    /// The time of the newest call, relative to the expected time.
    pub(super) newest_ratio: f64,
    /// How long work takes at the server now, as it states.
    pub(super) momentary: Momentary,
    /// When the last call was sent.
    pub(super) last_call: Tick,
    /// Whether the call in flight is overdue.
    pub(super) is_overdue: bool,
    /// The result bytes of the call in flight.
    pub(super) reserved_bytes: u64,
    /// The results that the server stores.
    pub(super) results: Vec<StoredResult>,
    /// The end of the pause that follows a refusal for lack of memory.
    pub(super) out_of_memory_until: Tick,
}

/// A result that a server stores until it is released or expires.
#[derive(Clone, Debug)]
pub(super) struct StoredResult {
    pub(super) handle: Name,
    pub(super) bytes: u64,
    pub(super) expires_at: Tick,
}

impl Worker {
    pub(super) fn new(server: &Name) -> Self {
        Self {
            id: server.clone(),
            calls: 0,
            busy_until: Tick::default(),
            latency_ratio: 1.0,
            newest_ratio: 1.0,
            momentary: Momentary::default(),
            last_call: Tick::default(),
            is_overdue: false,
            reserved_bytes: 0,
            results: Vec::new(),
            out_of_memory_until: Tick::default(),
        }
    }

    /// Returns the ratio by which the server counts as slow; a single slow call suffices.
    pub(super) const fn highest_ratio(&self) -> f64 {
        self.latency_ratio.max(self.newest_ratio)
    }

    /// Returns the time that calls are expected to take now, relative to the configured time.
    pub(super) fn expected_ratio(&self, now: Tick) -> f64 {
        self.latency_ratio * self.momentary.factor(now)
    }

    /// Returns the memory left for results, in bytes.
    pub(super) fn free_bytes(&self, now: Tick, work: &Pieces) -> u64 {
        if now < self.out_of_memory_until {
            return 0;
        }
        work.memory_bytes.saturating_sub(self.used_bytes(now))
    }

    /// Returns the memory that results take or will take after the call in flight, in bytes.
    pub(super) fn used_bytes(&self, now: Tick) -> u64 {
        let stored = self.results.iter().filter(|result| now < result.expires_at);
        let stored: u64 = stored.map(|result| result.bytes).sum();
        self.reserved_bytes + stored
    }
}
