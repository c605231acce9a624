//! Static properties of a backend server, from membership and the bundle.

use std::net::SocketAddr;

use base::{Incarnation, Name};

/// A backend server of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its name and start time.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Number of requests that it processes at a time.
    pub concurrency: u32,
    /// Whether it is leaving and gets no new attempts.
    pub leaving: bool,
}
