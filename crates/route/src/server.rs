//! What membership and the bundle say of a backend server.

use std::net::SocketAddr;

use base::{Incarnation, Name};

/// One backend server of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its name and start.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub concurrency: u32,
    /// Whether it is leaving and gets nothing new.
    pub leaving: bool,
}
