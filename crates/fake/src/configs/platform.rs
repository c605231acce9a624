//! Settings of the platform's stand-in.

use core::net::{Ipv4Addr, SocketAddr};

/// Settings of the platform's stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Appends taken per second, over all streams.
    pub appends_per_second: f64,
    /// Appends taken at once after a pause.
    pub append_burst: f64,
    /// Fetches of weights taken per second.
    pub weights_per_second: f64,
    /// The size of each stored weight, in bytes.
    pub weight_bytes: usize,
    /// What goes wrong from the start.
    pub faults: crate::platform::Faults,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            appends_per_second: 400.0,
            append_burst: 100.0,
            weights_per_second: 2.0,
            weight_bytes: 64 * 1024,
            faults: crate::platform::Faults::default(),
        }
    }
}
