//! Stand-in for a backend server: an encoder, retriever, reranker, generation engine or plain
//! service.

mod cache;
mod call;
mod faults;
mod generate;
mod headers;
mod http;
mod kind;
mod load;
mod orders;
pub mod output;
mod queue;
mod registration;
mod runs;
mod streams;

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
    cache::Cache, load::History, orders::Orders, queue::Queue, runs::Runs, streams::Streams,
};
pub use self::{faults::Faults, kind::Kind};
use crate::{Handle, configs::server::Config, socket};

/// How long a stop waits for calls in flight, in seconds.
const STOP_SECONDS: u64 = 30;

/// Starts a backend server's stand-in on the current actix runtime.
///
/// If a platform is configured, it registers there at a fixed interval until it stops.
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
            .on_connect(socket::attach)
            .h1_allow_half_closed(false)
            .workers(1)
            .disable_signals()
            .shutdown_timeout(STOP_SECONDS)
            .listen(listener)?
            .run();
    let handle = server.handle();
    state.server.get_or_init(|| handle.clone());
    registration::spawn(state.clone());
    if own_process {
        registration::leave_on_signal(state.clone());
    }
    let task = actix_web::rt::spawn(async move {
        let result = server.await;
        state.stopped.store(true, Ordering::Relaxed);
        result
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
    /// Requests on connections with a lower number than this are never answered.
    silent_before: u64,
    stats: Stats,
    streams: Streams,
}

/// Counters since the start.
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

    /// Aborts the process, or stops only this server if it shares the process with others.
    fn crash(&self) {
        if self.config.own_process {
            std::process::abort();
        }
        if let Some(server) = self.server.get() {
            // `stop` sends the command at once; its future only waits for completion.
            drop(server.stop(false));
        }
    }
}
