//! What every part of one instance shares.

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
    view::{Force, Members, Rivals, Servers},
};

/// The longest time after the start in which an instance waits for a server of every pool.
const SERVERS_LIMIT: Duration = Duration::from_secs(3);

/// Whether an instance can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// No configuration is in force yet.
    Bundle,
    /// It can.
    Ready,
    /// It has just started and knows no server of some pool yet.
    Servers,
    /// It is stopping.
    Stopping,
}

/// Shared by the control side and the serving side.
#[derive(Clone)]
pub struct Shared {
    /// What spent the error budgets.
    pub tracker: Arc<Mutex<Tracker>>,
    /// The clocks.
    pub clock: Clock,
    /// Contents in flight and those that may crash backend servers.
    pub(crate) contents: Arc<Contents>,
    /// Requests and background records that an orderly stop waits for.
    pub flights: Arc<AtomicUsize>,
    /// The configuration in force.
    pub force: watch::Receiver<Force>,
    /// The name and the start of this instance.
    pub incarnation: Incarnation,
    /// The ledger's actor.
    pub ledger: Addr<Ledger>,
    /// Deferred requests that the serving side is to work on; taken once.
    pub jobs: Arc<Mutex<Option<mpsc::UnboundedReceiver<Job>>>>,
    /// The entry instances known.
    pub members: watch::Receiver<Members>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// The place in the log of the configuration in force.
    pub position: watch::Receiver<Option<Position>>,
    /// When the log's configuration was last read to its end.
    pub(crate) read: watch::Receiver<Option<Tick>>,
    /// The other entry instances, by which limits are shared.
    pub(crate) rivals: watch::Receiver<Rivals>,
    /// The actor of instances and backend servers.
    pub(crate) roster: Addr<Roster>,
    /// The numbered view for shared screens.
    pub(crate) screen: watch::Receiver<Option<Arc<screen::View>>>,
    /// Backend servers.
    pub servers: watch::Receiver<Servers>,
    /// Settings.
    pub settings: Arc<Settings>,
    /// Wakes the stop.
    pub stop: Arc<Notify>,
    /// Set once the instance is to stop.
    pub stopping: Arc<AtomicBool>,
    /// The actor of contents that may crash backend servers.
    pub(crate) suspects: Addr<Suspects>,
    /// The actor of deferred requests.
    pub work: Addr<Work>,
}

/// What the instance knows of contents, for both sides.
pub(crate) struct Contents(Mutex<Registry>);

impl Contents {
    /// Returns a register that knows no suspects.
    pub(crate) fn open() -> Self {
        Self(Mutex::new(Registry::new(
            configs::suspect::Suspect::default(),
        )))
    }

    /// Lets an event into the register, or reads it.
    pub(crate) fn register(&self) -> MutexGuard<'_, Registry> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Lets an event into the tracker, or reads it.
    pub fn tracker(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether the instance is to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Tells whether the instance can serve, and if not why.
    ///
    /// A pool without any server does not keep it from getting ready for long.
    pub fn readiness(&self) -> Readiness {
        if self.is_stopping() {
            return Readiness::Stopping;
        }
        match self.force.borrow().as_ref() {
            None => Readiness::Bundle,
            Some(bundle) if self.lacks_servers(bundle) => Readiness::Servers,
            Some(_) => Readiness::Ready,
        }
    }

    fn lacks_servers(&self, bundle: &Bundle) -> bool {
        let servers = self.servers.borrow();
        let known = |pool: &str| servers.iter().any(|server| server.pool.as_str() == pool);
        let mut pools = bundle.pools.iter();
        self.clock.tick() < Tick::default() + SERVERS_LIMIT
            && pools.any(|pool| !known(pool.name.as_str()))
    }
}
