//! Settings of the platform's stand-in.

use core::net::{Ipv4Addr, SocketAddr};

/// Settings of the platform's stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// The listening address; port 0 selects a free port.
    pub address: SocketAddr,
    /// Appends accepted per second, over all streams.
    pub appends_per_second: f64,
    /// Appends accepted at once after a pause.
    pub append_burst: f64,
    /// Fetches of weights accepted per second.
    pub weights_per_second: f64,
    /// The size of each stored weight, in bytes.
    pub weight_bytes: usize,
    /// The faults that are active from the start.
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
