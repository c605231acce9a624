//! A backend server's stand-in: an encoder, retriever, reranker, engine or plain service.

mod cache;
mod call;
mod engine;
mod faults;
mod generate;
mod head;
mod http;
mod kind;
mod load;
mod orders;
pub mod output;
mod queue;
mod register;
mod runs;

use core::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
};
use std::{
    io,
    net::TcpListener,
    sync::{Mutex, MutexGuard, OnceLock, PoisonError},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use actix_web::{App, HttpServer, dev::ServerHandle, web};
use base::{Incarnation, Stamp};
use serde::Serialize;

use self::{
    cache::Cache, engine::Streams, load::History, orders::Orders, queue::Queue, runs::Runs,
};
pub use self::{faults::Faults, kind::Kind};
use crate::{Handle, configs::server::Config, socket};

/// How long a stop waits for calls in flight, in seconds.
const STOP_SECONDS: u64 = 30;

/// Starts a backend server's stand-in on the current actix runtime.
///
/// With a platform it registers itself and repeats that until the platform has it.
///
/// # Errors
///
/// The address cannot be bound.
///
/// # Examples
///
/// ```
/// # actix_web::rt::System::new().block_on(async {
/// let config = fake::configs::server::Config {
///     kind: fake::server::Kind::Encode,
///     ..Default::default()
/// };
/// let server = fake::server::bind(config).unwrap();
/// assert_ne!(server.address().port(), 0);
/// server.stop().await;
/// # });
/// ```
pub fn bind(config: Config) -> io::Result<Handle> {
    let listener = TcpListener::bind(config.address)?;
    let address = listener.local_addr()?;
    let own_process = config.own_process;
    let state = web::Data::new(State::new(config, address));
    let shared = state.clone();
    let server =
        HttpServer::new(move || App::new().app_data(shared.clone()).configure(http::routes))
            .on_connect(socket::keep)
            .h1_allow_half_closed(false)
            .workers(1)
            .disable_signals()
            .shutdown_timeout(STOP_SECONDS)
            .listen(listener)?
            .run();
    let handle = server.handle();
    state.server.get_or_init(|| handle.clone());
    register::spawn(state.clone());
    if own_process {
        register::leave_on_signal(state.clone());
    }
    let task = actix_web::rt::spawn(async move {
        let end = server.await;
        state.stopped.store(true, Ordering::Relaxed);
        end
    });
    Ok(Handle::new(address, handle, task))
}

struct State {
    address: SocketAddr,
    config: Config,
    incarnation: Incarnation,
    inner: Mutex<Inner>,
    server: OnceLock<ServerHandle>,
    stopped: AtomicBool,
}

struct Inner {
    cache: Cache,
    faults: Faults,
    history: History,
    orders: Orders,
    queue: Queue,
    runs: Runs,
    /// Connections accepted before the one with this number are silent.
    silent_before: u64,
    stats: Stats,
    streams: Streams,
}

/// Counts since the start.
#[derive(Clone, Debug, Default, Serialize)]
struct Stats {
    calls: u64,
    cancelled: u64,
    cut: u64,
    limited: u64,
    refused_down: u64,
    refused_input: u64,
    refused_leaving: u64,
    tokens: u64,
}

impl State {
    fn new(config: Config, address: SocketAddr) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let start = Stamp::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX));
        let inner = Inner {
            cache: Cache::new(config.cache_blocks, config.event_gap),
            faults: config.faults.clone(),
            history: History::new(Instant::now()),
            orders: Orders::new(&config.models),
            queue: Queue::new(config.batch, config.queue),
            runs: Runs::default(),
            silent_before: 0,
            stats: Stats::default(),
            streams: Streams::default(),
        };
        Self {
            address,
            incarnation: Incarnation::new(config.name.clone(), start),
            config,
            inner: Mutex::new(inner),
            server: OnceLock::new(),
            stopped: AtomicBool::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the process, or this server alone if it shares its process.
    fn crash(&self) {
        if self.config.own_process {
            std::process::abort();
        }
        if let Some(server) = self.server.get() {
            // The command is sent at once; the future only waits for its effect.
            drop(server.stop(false));
        }
    }
}
