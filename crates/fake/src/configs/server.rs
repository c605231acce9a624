//! Settings of a backend server's stand-in.

use core::net::{Ipv4Addr, SocketAddr};

use base::Name;

use crate::server::{Faults, Kind};

/// Settings of a backend server's stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// The listening address; port 0 selects a free port.
    pub address: SocketAddr,
    /// The name of the server.
    pub name: Name,
    /// The pool that it registers in.
    pub pool: Name,
    /// The failure domain that it registers in.
    pub domain: Name,
    /// The base URL of the platform; without one it does not register.
    pub platform: Option<String>,
    /// What it computes.
    pub kind: Kind,
    /// Calls or streams processed at once.
    pub batch: usize,
    /// Calls or streams that may wait.
    pub queue: usize,
    /// The time that one call takes, in milliseconds.
    pub work_ms: f64,
    /// Tokens generated per second, shared by the running streams.
    pub tokens_per_second: f64,
    /// The shortest time between two tokens of one stream, in milliseconds.
    pub token_ms: f64,
    /// Tokens in an answer that asks for no number of its own.
    pub tokens: u64,
    /// The time to read one uncached block of a prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Blocks of prompts that the prefix cache keeps.
    pub cache_blocks: usize,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// The models loaded at the start.
    pub models: Vec<Name>,
    /// The age of the load that a report gives, in milliseconds.
    pub load_lag_ms: u64,
    /// The delay before a cache event is published, in milliseconds.
    pub event_lag_ms: u64,
    /// One cache event in this many is lost; 0 loses none.
    pub event_gap: u64,
    /// The shortest time between the start of leaving and the exit, in milliseconds.
    pub leave_ms: u64,
    /// Whether the server has the process to itself; a crash then ends the whole process.
    pub own_process: bool,
    /// The faults that are active from the start.
    pub faults: Faults,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: Name::from("server"),
            pool: Name::from("pool"),
            domain: Name::from("domain"),
            platform: None,
            kind: Kind::Service,
            batch: 8,
            queue: 64,
            work_ms: 2.0,
            tokens_per_second: 2_000.0,
            token_ms: 2.0,
            tokens: 24,
            prefill_ms: 2.0,
            cache_blocks: 256,
            checks_fencing: false,
            models: Vec::new(),
            load_lag_ms: 200,
            event_lag_ms: 200,
            event_gap: 0,
            leave_ms: 500,
            own_process: false,
            faults: Faults::default(),
        }
    }
}
