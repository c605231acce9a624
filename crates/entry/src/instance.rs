//! One running entry instance.

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
        ledger::Ledger,
        lines::Lines,
        peers::Peers,
        placement::{self, Placement},
        roster::{self, Leave, Roster, World},
        suspects::Suspects,
        work::Work,
    },
    metrics::Metrics,
    plane::Plane,
    routes,
    settings::Settings,
    shared::{Contents, Shared},
};

/// The longest time that a stop waits for what is in flight once nothing new is taken.
const STOP_LIMIT: Duration = Duration::from_secs(600);

/// How long a stop waits for connections once no request is in flight: what is left to write goes
/// out, and a silent connection holds nothing up.
const STOP_SILENCE: Duration = Duration::from_secs(5);

/// Bytes written to a caller that the system keeps; a caller that takes nothing is noticed sooner.
const SEND_BYTES: u32 = 32 * 1024;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

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
    peer_address: SocketAddr,
    shared: Shared,
    thread: thread::JoinHandle<()>,
}

impl Handle {
    /// Returns where callers connect.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns where peers connect.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
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
    let begun = control(settings).and_then(|(shared, peers)| {
        let (address, server) = listen(&shared)?;
        Ok((shared, peers, address, server))
    });
    let (shared, peers, server) = match begun {
        Ok((shared, peers, address, server)) => {
            log::info!("{} listens on {address}", shared.incarnation);
            // The receiver waits in `spawn`.
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
    if stop(&shared, &handle).await == Stop::Whole {
        let _ended = serving.await;
    }
    peers.stop().await;
    log::info!("{} has stopped", shared.incarnation);
}

/// Starts the control side on the present thread.
fn control(settings: Settings) -> Result<(Shared, peer::Handle), Error> {
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::open());
    let platform = platform::Http::open(&settings.platform, settings.platform_limit);
    let incarnation = Incarnation::new(settings.name.clone(), clock.stamp());
    let (force, force_read) = watch::channel(None);
    let (position, position_read) = watch::channel(None);
    let (read, read_read) = watch::channel(None);
    let (servers, servers_read) = watch::channel(Arc::default());
    let (members, members_read) = watch::channel(Arc::default());
    let (screen, screen_read) = watch::channel(None);
    let (rivals, rivals_read) = watch::channel(Arc::default());
    let (jobs, jobs_read) = tokio::sync::mpsc::unbounded_channel();
    let lines = Lines::default();
    let listener = bind_peers(&settings)?;
    let peer_address = listener.local_addr().unwrap_or(settings.peer_address);

    let config = Config::new(config::World {
        carry: settings.carry,
        clock,
        force,
        lines: lines.clone(),
        metrics: Arc::clone(&metrics),
        platform: platform.clone(),
        poll: settings.poll,
        position,
        read,
        root_keys: settings.root_keys.clone(),
    })
    .start();
    let ledger = Ledger::new(
        clock,
        Arc::clone(&metrics),
        platform.clone(),
        incarnation.clone(),
        members_read.clone(),
        lines.clone(),
    )
    .start();
    let work_members = members_read.clone();
    let work = Work::new(clock, incarnation.clone(), &platform, work_members, jobs).start();
    Placement::new(placement::World {
        clock,
        domain: settings.domain.clone(),
        force: force_read.clone(),
        lease: place::configs::Lease::from_term(settings.lease_term, settings.order_limit),
        members: members_read.clone(),
        metrics: Arc::clone(&metrics),
        own: incarnation.clone(),
        platform: platform.clone(),
        servers: servers_read.clone(),
    })
    .start();
    let roster = Roster::new(World {
        clock,
        config: config.clone(),
        lines: lines.clone(),
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
        rivals,
        screen,
        seeds: settings.peers.clone(),
        servers,
    })
    .start();
    config.do_send(config::Report(roster.clone()));
    let contents = Arc::new(Contents::open());
    let suspects = Suspects {
        clock,
        contents: Arc::clone(&contents),
        desk: Arbiter::default(),
        lines: lines.clone(),
        members: members_read.clone(),
        own: incarnation.clone(),
        roster: roster.clone(),
    }
    .start();
    roster.do_send(roster::Report(suspects.clone()));
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
        flights: Arc::new(AtomicUsize::new(0)),
        force: force_read,
        incarnation,
        jobs: Arc::new(Mutex::new(Some(jobs_read))),
        ledger,
        members: members_read,
        metrics,
        position: position_read,
        read: read_read,
        rivals: rivals_read,
        roster,
        screen: screen_read,
        servers: servers_read,
        settings: Arc::new(settings),
        stop: Arc::default(),
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

fn listen(shared: &Shared) -> Result<(SocketAddr, actix_web::dev::Server), Error> {
    let address = shared.settings.address;
    let fail = |error| Error::Bind { address, error };
    let serving = shared.clone();
    let server = HttpServer::new(move || {
        let shared = serving.clone();
        let plane = Plane::new(shared.clone());
        let console = Rc::new(Console::open(shared.clone()));
        App::new()
            .configure(move |config| front::configure(config, plane))
            .configure(move |config| admin::configure(config, console, Admin::default()))
            .configure(move |config| routes::configure(config, shared))
            .default_service(web::to(actix_web::HttpResponse::NotFound))
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(STOP_LIMIT.as_secs())
    .listen(bind(address).map_err(fail)?)
    .map_err(fail)?;
    let bound = server.addrs().first().copied().unwrap_or(address);
    Ok((bound, server.run()))
}

/// Takes an address, with little memory for what callers do not take.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    /// Every connection was closed.
    Whole,
    /// Silent connections were left behind.
    Silent,
}

/// Waits for a stop to be asked for and carries it out.
async fn stop(shared: &Shared, server: &ServerHandle) -> Stop {
    shared.stop.notified().await;
    shared.roster.do_send(Leave);
    tokio::time::sleep(shared.settings.drain).await;
    tokio::select! {
        () = server.stop(true) => {
            land(shared).await;
            Stop::Whole
        }
        () = fall_silent(shared) => {
            log::warn!("stopping with silent connections");
            Stop::Silent
        }
    }
}

/// Waits until no request and no background record is in flight.
async fn land(shared: &Shared) {
    let limit = shared.clock.tick() + STOP_LIMIT;
    while shared.flights.load(Ordering::SeqCst) > 0 && shared.clock.tick() < limit {
        tokio::time::sleep(STOP_PACE).await;
    }
}

/// Waits until nothing has been in flight for longer than a connection may be silent.
async fn fall_silent(shared: &Shared) {
    let mut quiet = shared.clock.tick();
    while shared.clock.tick() < quiet + STOP_SILENCE {
        tokio::time::sleep(STOP_PACE).await;
        if shared.flights.load(Ordering::SeqCst) > 0 {
            quiet = shared.clock.tick();
        }
    }
}
