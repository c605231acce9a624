//! What the control side publishes for the serving side.

use core::net::SocketAddr;
use std::sync::Arc;

use base::{Incarnation, Name};
use bundle::Bundle;

/// The configuration in force, if there is one yet.
pub type Force = Option<Arc<Bundle>>;

/// The backend servers known, sorted by pool and incarnation.
pub type Servers = Arc<Vec<Server>>;

/// The entry instances heard of, sorted; this one is always among them.
pub type Members = Arc<Vec<Incarnation>>;

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Server {
    /// The pool.
    pub pool: Name,
    /// The name and the start of this life.
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: Name,
    /// Where it takes HTTP.
    pub address: SocketAddr,
    /// Whether it takes nothing new.
    pub leaving: bool,
}
