//! Start and stop of one entry instance.

use core::{net::SocketAddr, time::Duration};
use std::{
    io,
    net::TcpListener,
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc,
    },
    thread,
};

use actix::Actor as _;
use actix_web::{App, HttpServer, dev::ServerHandle, rt::System, web};
use admin::configs::admin::Admin;
use base::{Incarnation, Name};
use burn::Tracker;
use member::fact;
use retry::Arbiter;
use thiserror::Error;
use tokio::{net::TcpSocket, sync::watch};

use crate::{
    clock::Clock,
    console::Console,
    control::{
        config::{self, Config},
        connections::Connections,
        ledger::Ledger,
        peers::Peers,
        placement::{self, Placement},
        roster::{self, Leave, Roster},
        suspects::Suspects,
        work::Work,
    },
    metrics::Metrics,
    plane::Plane,
    routes,
    settings::Settings,
    shared::{Contents, Shared},
};

/// How long a stop waits for requests in flight once no new ones are accepted.
const STOP_TIMEOUT: Duration = Duration::from_secs(600);

/// How long a stop waits for connections once no request is in flight: long enough to write out the
/// remaining answers, and short enough that an idle connection does not block the stop.
const STOP_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The send buffer of a caller's socket. A small one shows sooner that a caller reads nothing.
const SEND_BUFFER_BYTES: u32 = 32 * 1024;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// How often a stop checks what is still in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why an instance did not start.
#[derive(Debug, Error)]
pub enum Error {
    /// An address could not be bound.
    #[error("cannot listen on {address}: {error}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The instance's thread ended before it listened.
    #[error("the instance's thread ended during startup")]
    Ended,
    /// The instance's thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}

/// A running instance.
pub struct Handle {
    address: SocketAddr,
    peer_address: SocketAddr,
    shared: Shared,
    thread: thread::JoinHandle<()>,
}

impl Handle {
    /// Returns the address to which callers connect.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address to which peers connect.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the name and start time of the instance.
    pub const fn incarnation(&self) -> &Incarnation {
        &self.shared.incarnation
    }

    /// Begins a graceful stop: the instance is unready at once, accepts connections for the drain time,
    /// and then finishes what is in flight. Further calls have no effect.
    pub fn stop(&self) {
        if self.shared.stopping.swap(true, Ordering::SeqCst) {
            return;
        }
        log::info!("stopping; accepting connections until the drain time ends");
        self.shared.stop_signal.notify_one();
    }

    /// Waits until the instance has ended.
    pub fn join(self) {
        // The panic hook has reported a panic of the instance's thread.
        let _panicked = self.thread.join();
    }
}

/// Starts an instance on threads of its own and returns once it listens.
///
/// # Errors
///
/// - `Bind`: an address is in use or not local to this machine.
/// - `Thread`, `Ended`: the thread could not be started, or it ended early.
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
    let (address, peer_address, shared) = receiver.recv().map_err(|_| Error::Ended)??;
    Ok(Handle {
        address,
        peer_address,
        shared,
        thread,
    })
}

type Started = Result<(SocketAddr, SocketAddr, Shared), Error>;

async fn run(settings: Settings, started: mpsc::Sender<Started>) {
    let start = start_control(settings).and_then(|(shared, peers)| {
        let (address, server) = start_server(&shared)?;
        Ok((shared, peers, address, server))
    });
    let (shared, peers, server) = match start {
        Ok((shared, peers, address, server)) => {
            log::info!("{} listens on {address}", shared.incarnation);
            // `spawn` waits on the receiver.
            let _sent = started.send(Ok((address, peers.address(), shared.clone())));
            (shared, peers, server)
        }
        Err(error) => {
            let _sent = started.send(Err(error));
            return;
        }
    };
    let handle = server.handle();
    let serving = actix_web::rt::spawn(server);
    if stop(&shared, &handle).await == Stop::Complete {
        let _ended = serving.await;
    }
    peers.stop().await;
    log::info!("{} has stopped", shared.incarnation);
}

/// Starts the control side on the current thread.
fn start_control(settings: Settings) -> Result<(Shared, peer::Handle), Error> {
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::register());
    let platform = platform::Http::open(&settings.platform, settings.platform_limit);
    let incarnation = Incarnation::new(settings.name.clone(), clock.stamp());
    let (in_force, in_force_receiver) = watch::channel(None);
    let (position, position_receiver) = watch::channel(None);
    let (read_at, read_at_receiver) = watch::channel(None);
    let (servers, servers_receiver) = watch::channel(Arc::default());
    let (members, members_receiver) = watch::channel(Arc::default());
    let (screen, screen_receiver) = watch::channel(None);
    let (limit_peers, limit_peers_receiver) = watch::channel(Arc::default());
    let (jobs, jobs_receiver) = tokio::sync::mpsc::unbounded_channel();
    let connections = Connections::default();
    let listener = bind_peers(&settings)?;
    let peer_address = listener.local_addr().unwrap_or(settings.peer_address);

    let config = Config::new(config::Environment {
        carry_age: settings.carry,
        clock,
        in_force,
        connections: connections.clone(),
        metrics: Arc::clone(&metrics),
        platform: platform.clone(),
        poll_interval: settings.poll,
        position,
        read_at,
        root_keys: settings.root_keys.clone(),
    })
    .start();
    let ledger = Ledger::new(
        clock,
        Arc::clone(&metrics),
        platform.clone(),
        incarnation.clone(),
        members_receiver.clone(),
        connections.clone(),
    )
    .start();
    let work_members = members_receiver.clone();
    let work = Work::new(clock, incarnation.clone(), &platform, work_members, jobs).start();
    Placement::new(placement::Environment {
        clock,
        domain: settings.domain.clone(),
        in_force: in_force_receiver.clone(),
        lease: place::configs::Lease::from_term(settings.lease_term, settings.order_limit),
        members: members_receiver.clone(),
        metrics: Arc::clone(&metrics),
        own: incarnation.clone(),
        platform: platform.clone(),
        servers: servers_receiver.clone(),
    })
    .start();
    let roster = Roster::new(roster::Environment {
        clock,
        config: config.clone(),
        connections: connections.clone(),
        members,
        metrics: Arc::clone(&metrics),
        own: fact::Instance {
            incarnation: incarnation.clone(),
            domain: settings.domain.clone(),
            address: Name::from(peer_address.to_string()),
            state: fact::State::Live,
        },
        platform,
        poll: settings.poll,
        limit_peers,
        screen,
        seeds: settings.peers.clone(),
        servers,
    })
    .start();
    config.do_send(config::SetRoster(roster.clone()));
    let contents = Arc::new(Contents::new());
    let suspects = Suspects {
        clock,
        contents: Arc::clone(&contents),
        arbiter: Arbiter::default(),
        connections: connections.clone(),
        members: members_receiver.clone(),
        own: incarnation.clone(),
        roster: roster.clone(),
    }
    .start();
    roster.do_send(roster::SetSuspects(suspects.clone()));
    let tracker = Arc::new(Mutex::new(Tracker::new(incarnation.clone())));
    let service = Peers {
        tracker: tracker.clone(),
        config,
        ledger: ledger.clone(),
        roster: roster.clone(),
        suspects: suspects.clone(),
    };
    let peers = peer::serve(listener, service, &peer::configs::peer::Config::default())
        .map_err(|error| bind_error(settings.peer_address, error))?;
    let shared = Shared {
        tracker,
        clock,
        contents,
        in_flight: Arc::new(AtomicUsize::new(0)),
        in_force: in_force_receiver,
        incarnation,
        jobs: Arc::new(Mutex::new(Some(jobs_receiver))),
        ledger,
        members: members_receiver,
        metrics,
        position: position_receiver,
        config_read_at: read_at_receiver,
        limit_peers: limit_peers_receiver,
        roster,
        screen: screen_receiver,
        servers: servers_receiver,
        settings: Arc::new(settings),
        stop_signal: Arc::default(),
        stopping: Arc::new(AtomicBool::new(false)),
        suspects,
        work,
    };
    Ok((shared, peers))
}

fn bind_peers(settings: &Settings) -> Result<TcpListener, Error> {
    let address = settings.peer_address;
    TcpListener::bind(address).map_err(|error| bind_error(address, error))
}

const fn bind_error(address: SocketAddr, error: io::Error) -> Error {
    Error::Bind { address, error }
}

fn start_server(shared: &Shared) -> Result<(SocketAddr, actix_web::dev::Server), Error> {
    let address = shared.settings.address;
    let fail = |error| Error::Bind { address, error };
    let shared = shared.clone();
    let server = HttpServer::new(move || {
        let shared = shared.clone();
        let plane = Plane::new(shared.clone());
        let console = Rc::new(Console::new(shared.clone()));
        App::new()
            .configure(move |config| front::configure(config, plane))
            .configure(move |config| admin::configure(config, console, Admin::default()))
            .configure(move |config| routes::configure(config, shared))
            .default_service(web::to(actix_web::HttpResponse::NotFound))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(STOP_TIMEOUT.as_secs())
    .listen(bind(address).map_err(fail)?)
    .map_err(fail)?;
    let bound = server.addrs().first().copied().unwrap_or(address);
    Ok((bound, server.run()))
}

/// Binds an address, with a small send buffer for each connection.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    /// Every connection was closed.
    Complete,
    /// Idle connections were still open.
    Incomplete,
}

/// Waits for a stop request and executes it.
async fn stop(shared: &Shared, server: &ServerHandle) -> Stop {
    shared.stop_signal.notified().await;
    shared.roster.do_send(Leave);
    tokio::time::sleep(shared.settings.drain).await;
    tokio::select! {
        () = server.stop(true) => {
            wait_for_in_flight(shared).await;
            Stop::Complete
        }
        () = wait_until_idle(shared) => {
            log::warn!("stopping although idle connections are still open");
            Stop::Incomplete
        }
    }
}

/// Waits until no request and no background record is in flight.
async fn wait_for_in_flight(shared: &Shared) {
    let deadline = shared.clock.tick() + STOP_TIMEOUT;
    while shared.in_flight.load(Ordering::SeqCst) > 0 && shared.clock.tick() < deadline {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Waits until nothing has been in flight for `STOP_IDLE_TIMEOUT`.
async fn wait_until_idle(shared: &Shared) {
    let mut idle_since = shared.clock.tick();
    while shared.clock.tick() < idle_since + STOP_IDLE_TIMEOUT {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        if shared.in_flight.load(Ordering::SeqCst) > 0 {
            idle_since = shared.clock.tick();
        }
    }
}
