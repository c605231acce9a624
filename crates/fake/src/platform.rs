//! Stand-in for the platform: log service, instance list and weight store.

mod bucket;
mod faults;
mod http;
mod list;
mod log;

use core::net::SocketAddr;
use std::{
    io,
    net::TcpListener,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use actix_web::{App, HttpServer, web};
use serde::Serialize;

pub use self::faults::Faults;
use self::{bucket::Bucket, list::List, log::Streams};
use crate::{Handle, configs::platform::Config, socket};

/// How long a stop waits for calls in flight, in seconds.
const STOP_SECONDS: u64 = 1;

/// Starts the platform's stand-in on the current actix runtime.
///
/// # Errors
///
/// The address cannot be bound.
///
/// # Examples
///
/// ```
/// # actix_web::rt::System::new().block_on(async {
/// let platform = fake::platform::bind(fake::configs::platform::Config::default()).unwrap();
/// assert_ne!(platform.address().port(), 0);
/// platform.stop().await;
/// # });
/// ```
pub fn bind(config: Config) -> io::Result<Handle> {
    let listener = TcpListener::bind(config.address)?;
    let address: SocketAddr = listener.local_addr()?;
    let state = web::Data::new(State::new(&config));
    let server =
        HttpServer::new(move || App::new().app_data(state.clone()).configure(http::routes))
            .on_connect(socket::attach)
            .workers(1)
            .disable_signals()
            .shutdown_timeout(STOP_SECONDS)
            .listen(listener)?
            .run();
    let handle = server.handle();
    Ok(Handle::new(address, handle, actix_web::rt::spawn(server)))
}

struct State {
    inner: Mutex<Inner>,
}

struct Inner {
    appends: Bucket,
    faults: Faults,
    list: List,
    /// Requests on connections with a lower number than this are never answered.
    silent_before: u64,
    stats: Stats,
    streams: Streams,
    weight_bytes: usize,
    weights: Bucket,
}

/// Counters since the start.
#[derive(Clone, Debug, Default, Serialize)]
struct Stats {
    appends: u64,
    appends_lost: u64,
    appends_limited: u64,
    list_reads: u64,
    log_reads: u64,
    refused_down: u64,
    weight_reads: u64,
    weights_limited: u64,
}

impl State {
    fn new(config: &Config) -> Self {
        let now = Instant::now();
        Self {
            inner: Mutex::new(Inner {
                appends: Bucket::new(config.appends_per_second, config.append_burst, now),
                faults: config.faults.clone(),
                list: List::default(),
                silent_before: 0,
                stats: Stats::default(),
                streams: Streams::default(),
                weight_bytes: config.weight_bytes,
                weights: Bucket::new(config.weights_per_second, 1.0, now),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
