//! State that the parts of one instance share.

use core::time::Duration;
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use actix::Addr;
use base::{Incarnation, Tick};
use bundle::{Bundle, Position};
use burn::Tracker;
use retry::{Registry, configs};
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    clock::Clock,
    control::{
        ledger::Ledger,
        roster::Roster,
        suspects::Suspects,
        work::{Job, Work},
    },
    metrics::Metrics,
    settings::Settings,
    view::{InForce, Members, Peers, Servers},
};

/// How long after its start an instance waits for a server of every pool before it is ready.
const SERVER_WAIT_LIMIT: Duration = Duration::from_secs(3);

/// Whether an instance can serve requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// No configuration is in force yet.
    Bundle,
    /// It can serve.
    Ready,
    /// It has just started, and some pool has no known server yet.
    Servers,
    /// It is stopping.
    Stopping,
}

/// State shared by the control side and the serving side.
#[derive(Clone)]
pub struct Shared {
    /// The tracker of the error budgets.
    pub tracker: Arc<Mutex<Tracker>>,
    /// The process's clocks.
    pub clock: Clock,
    /// The register of content in flight and of content that may crash backend servers.
    pub(crate) contents: Arc<Contents>,
    /// The number of requests and background records that a graceful stop waits for.
    pub in_flight: Arc<AtomicUsize>,
    /// The configuration in force.
    pub in_force: watch::Receiver<InForce>,
    /// The name and start time of this instance.
    pub incarnation: Incarnation,
    /// The actor that owns ledger partitions.
    pub ledger: Addr<Ledger>,
    /// Deferred requests for the serving side to run; the receiver is taken once.
    pub jobs: Arc<Mutex<Option<mpsc::UnboundedReceiver<Job>>>>,
    /// The known entry instances.
    pub members: watch::Receiver<Members>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// The position in the log of the configuration in force.
    pub position: watch::Receiver<Option<Position>>,
    /// When the configuration stream was last read to its end.
    pub(crate) config_read_at: watch::Receiver<Option<Tick>>,
    /// The other entry instances, among which account limits are divided.
    pub(crate) limit_peers: watch::Receiver<Peers>,
    /// The actor that tracks instances and backend servers.
    pub(crate) roster: Addr<Roster>,
    /// The numbered view for shared screens.
    pub(crate) screen: watch::Receiver<Option<Arc<screen::View>>>,
    /// Backend servers.
    pub servers: watch::Receiver<Servers>,
    /// Settings.
    pub settings: Arc<Settings>,
    /// Starts the graceful stop.
    pub stop_signal: Arc<Notify>,
    /// Whether a stop was requested.
    pub stopping: Arc<AtomicBool>,
    /// The actor that handles content that may crash backend servers.
    pub(crate) suspects: Addr<Suspects>,
    /// The actor that handles deferred requests.
    pub work: Addr<Work>,
}

/// The register of content in flight and of suspect content, shared by both sides.
pub(crate) struct Contents(Mutex<Registry>);

impl Contents {
    /// Returns a register without suspect content.
    pub(crate) fn new() -> Self {
        Self(Mutex::new(Registry::new(
            configs::suspect::Suspect::default(),
        )))
    }

    /// Locks the register.
    pub(crate) fn register(&self) -> MutexGuard<'_, Registry> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Locks the tracker.
    pub fn tracker(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether the instance can serve, and if not, why.
    ///
    /// A pool without any server delays readiness only for a short time.
    pub fn readiness(&self) -> Readiness {
        if self.is_stopping() {
            return Readiness::Stopping;
        }
        match self.in_force.borrow().as_ref() {
            None => Readiness::Bundle,
            Some(bundle) if self.lacks_servers(bundle) => Readiness::Servers,
            Some(_) => Readiness::Ready,
        }
    }

    fn lacks_servers(&self, bundle: &Bundle) -> bool {
        let servers = self.servers.borrow();
        let has_server = |pool: &str| servers.iter().any(|server| server.pool.as_str() == pool);
        let mut pools = bundle.pools.iter();
        self.clock.tick() < Tick::default() + SERVER_WAIT_LIMIT
            && pools.any(|pool| !has_server(pool.name.as_str()))
    }
}
