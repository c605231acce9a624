//! Models held by engines, and orders to change them.

use base::{Incarnation, Name, Tick};

/// An engine and the models that it was observed to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The incarnation of the engine; a restarted engine has lost all models.
    pub server: Incarnation,
    /// The models that it holds, sorted.
    pub models: Vec<Name>,
    /// Its capacity, in bytes.
    pub memory: u64,
    /// Whether it refuses orders with a lower fencing token than it has received before.
    pub is_fenced: bool,
}

/// The target state of one engine; orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The fencing token.
    pub fence: u64,
    /// The engine.
    pub server: Incarnation,
    /// All models that it must hold, sorted; it unloads all others.
    pub models: Vec<Name>,
}

/// An order whose effect has not been observed yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// The order.
    pub order: Order,
    /// When it was sent.
    pub sent_at: Tick,
}
