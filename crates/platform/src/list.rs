//! The platform's list of instances, which lags behind reality.

use core::net::SocketAddr;

use base::{Incarnation, Name};
use serde::{Deserialize, Serialize};

/// What the list says of an instance's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The instance takes work.
    Live,
    /// The instance finishes what it has and takes nothing new.
    Leaving,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name and the start of this life.
    pub incarnation: Incarnation,
    /// The pool: a bundle's pool, or `entry` for the system's own instances.
    pub pool: Name,
    /// The failure domain.
    pub domain: Name,
    /// Where it takes HTTP; for entry instances, where it takes messages of its peers.
    pub address: SocketAddr,
    /// Whether it takes work.
    pub state: State,
}
