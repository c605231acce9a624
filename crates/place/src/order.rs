//! What engines hold and what they are ordered to hold.

use base::{Incarnation, Name, Tick};

/// What an engine was seen to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// One life of the engine; a restarted one holds nothing that was seen of it before.
    pub server: Incarnation,
    /// The models it holds, sorted.
    pub models: Vec<Name>,
    /// The bytes that it can hold.
    pub memory: u64,
    /// Whether it refuses an order with a lower fencing number than it has seen.
    pub is_fenced: bool,
}

/// The state that one engine is to reach. Sending it twice is the same as sending it once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The fencing number.
    pub fence: u64,
    /// The engine.
    pub server: Incarnation,
    /// All models that it is to hold, sorted; it drops every other.
    pub models: Vec<Name>,
}

/// An order that was sent, until its effect was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// The order.
    pub order: Order,
    /// When it was sent.
    pub sent_at: Tick,
}
