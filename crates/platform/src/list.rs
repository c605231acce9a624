//! The platform's list of instances, which is eventually consistent.

use core::net::SocketAddr;

use base::{Incarnation, Name};
use serde::{Deserialize, Serialize};

/// The state of an instance in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The instance accepts work.
    Live,
    /// The instance finishes its work and accepts no new work.
    Leaving,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name and start time of the instance.
    pub incarnation: Incarnation,
    /// The pool of a backend server as in the bundle, or `entry` for the system's own instances.
    pub pool: Name,
    /// The failure domain.
    pub domain: Name,
    /// The HTTP address of a backend server, or the address for messages from peers of an entry instance.
    pub address: SocketAddr,
    /// Whether the instance accepts work.
    pub state: State,
}
