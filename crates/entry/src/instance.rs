//! One running entry instance.

use core::{net::SocketAddr, time::Duration};
use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc,
    },
    thread,
};

use actix::Actor as _;
use actix_web::{App, HttpServer, dev::ServerHandle, rt::System, web};
use base::Incarnation;
use burn::Book;
use thiserror::Error;
use tokio::sync::watch;

use crate::{
    clock::Clock,
    control::{config::Config, ledger::Ledger, roster::Roster, work::Work},
    metrics::Metrics,
    plane::Plane,
    routes,
    settings::Settings,
    shared::Shared,
};

/// The longest time that a stop waits for what is in flight once nothing new is taken.
const STOP_LIMIT: Duration = Duration::from_secs(600);

/// The pace at which a stop looks for what is still in flight.
const STOP_PACE: Duration = Duration::from_millis(20);

/// Why an instance did not start.
#[derive(Debug, Error)]
pub enum Error {
    /// An address could not be taken.
    #[error("cannot listen on {address}: {error}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why not.
        error: io::Error,
    },
    /// The instance's thread ended before it listened.
    #[error("the instance ended while it started")]
    Ended,
    /// The instance's thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}

/// A running instance.
pub struct Handle {
    address: SocketAddr,
    shared: Shared,
    thread: thread::JoinHandle<()>,
}

impl Handle {
    /// Returns where callers connect.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the name and the start of the instance.
    pub const fn incarnation(&self) -> &Incarnation {
        &self.shared.incarnation
    }

    /// Begins an orderly stop: unready at once, still accepting for the drain time, then what is
    /// in flight ends. Asking again changes nothing.
    pub fn stop(&self) {
        if self.shared.stopping.swap(true, Ordering::SeqCst) {
            return;
        }
        log::info!("stopping; taking no new connections after the drain time");
        self.shared.stop.notify_one();
    }

    /// Waits until the instance has ended.
    pub fn join(self) {
        // A panic of the instance's thread was reported by its own hook.
        let _panicked = self.thread.join();
    }
}

/// Starts an instance on threads of its own and returns once it listens.
///
/// # Errors
///
/// - `Bind`: an address is taken or is not of this machine.
/// - `Thread`, `Ended`: the system gave no thread, or the thread ended early.
///
/// # Examples
///
/// ```no_run
/// use entry::settings::{Flags, Settings};
/// let settings = Settings::from_process(&Flags::default()).unwrap();
/// let instance = entry::spawn(settings).unwrap();
/// println!("{}", instance.address());
/// instance.stop();
/// instance.join();
/// ```
pub fn spawn(settings: Settings) -> Result<Handle, Error> {
    crate::logs::start_from(&settings);
    let (sender, receiver) = mpsc::channel();
    let name = format!("{}-control", settings.name);
    let thread = thread::Builder::new().name(name).spawn(move || {
        System::new().block_on(run(settings, sender));
    })?;
    let (address, shared) = receiver.recv().map_err(|_| Error::Ended)??;
    Ok(Handle {
        address,
        shared,
        thread,
    })
}

type Started = Result<(SocketAddr, Shared), Error>;

async fn run(settings: Settings, started: mpsc::Sender<Started>) {
    let shared = control(settings);
    let server = match listen(&shared) {
        Ok((address, server)) => {
            // The receiver waits in `spawn`.
            let _sent = started.send(Ok((address, shared.clone())));
            log::info!("{} listens on {address}", shared.incarnation);
            server
        }
        Err(error) => {
            let _sent = started.send(Err(error));
            return;
        }
    };
    let handle = server.handle();
    let serving = actix_web::rt::spawn(server);
    stop(&shared, &handle).await;
    let _ended = serving.await;
    log::info!("{} has stopped", shared.incarnation);
}

/// Starts the control side on the present thread.
fn control(settings: Settings) -> Shared {
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::open());
    let platform = platform::Http::open(&settings.platform, settings.platform_limit);
    let (force, force_read) = watch::channel(None);
    let (servers, servers_read) = watch::channel(Arc::default());
    let incarnation = Incarnation::new(settings.name.clone(), clock.stamp());
    let (members, members_read) = watch::channel(Arc::new(vec![incarnation.clone()]));
    let (jobs, jobs_read) = tokio::sync::mpsc::unbounded_channel();
    let work = Work::new(clock, incarnation.clone(), &platform, members_read, jobs).start();
    let ledger = Ledger::new(clock, Arc::clone(&metrics), platform.clone()).start();
    Config::new(
        clock,
        settings.root_keys.clone(),
        platform.clone(),
        settings.poll,
        Arc::clone(&metrics),
        force,
    )
    .start();
    Roster {
        members,
        metrics: Arc::clone(&metrics),
        platform,
        poll: settings.poll,
        servers,
    }
    .start();
    Shared {
        book: Arc::new(Mutex::new(Book::open(incarnation.clone()))),
        clock,
        flights: Arc::new(AtomicUsize::new(0)),
        force: force_read,
        incarnation,
        jobs: Arc::new(Mutex::new(Some(jobs_read))),
        ledger,
        metrics,
        servers: servers_read,
        settings: Arc::new(settings),
        stop: Arc::default(),
        stopping: Arc::new(AtomicBool::new(false)),
        work,
    }
}

fn listen(shared: &Shared) -> Result<(SocketAddr, actix_web::dev::Server), Error> {
    let address = shared.settings.address;
    let fail = |error| Error::Bind { address, error };
    let serving = shared.clone();
    let server = HttpServer::new(move || {
        let shared = serving.clone();
        let plane = Plane::open(shared.clone());
        App::new()
            .configure(move |config| front::configure(config, plane))
            .configure(move |config| routes::configure(config, shared))
            .default_service(web::to(actix_web::HttpResponse::NotFound))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(STOP_LIMIT.as_secs())
    .bind(address)
    .map_err(fail)?;
    let bound = server.addrs().first().copied().unwrap_or(address);
    Ok((bound, server.run()))
}

/// Waits for a stop to be asked for and carries it out.
async fn stop(shared: &Shared, server: &ServerHandle) {
    shared.stop.notified().await;
    tokio::time::sleep(shared.settings.drain).await;
    server.stop(true).await;
    let limit = shared.clock.tick() + STOP_LIMIT;
    while shared.flights.load(Ordering::SeqCst) > 0 && shared.clock.tick() < limit {
        tokio::time::sleep(STOP_PACE).await;
    }
}
