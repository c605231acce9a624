//! The decision cores of the serving side, fed with what the control side publishes.

use core::{net::SocketAddr, time::Duration};
use std::{rc::Weak, sync::Arc};

use admit::{Controller, limit::Limits};
use base::{Digest, Incarnation, Name, Stamp, Tick, request::Id};
use bundle::{
    Bundle,
    content::{Account, Pipeline},
};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use retry::{Budget, configs};
use route::Table;
use tokio::sync::{oneshot, watch};

use crate::{
    clock::Clock,
    plane::{Plane, doubt::Doubts, places, progress::Paces},
    shared::Shared,
    view::{Force, Server, Servers},
};

/// The pace at which waiting requests are looked at.
const TICK: Duration = Duration::from_millis(20);

/// The largest body taken before a configuration is in force, in bytes.
const BODY_BYTES: usize = 256 * 1024;

/// The decision cores and what they decide on.
pub(crate) struct Inner {
    accounts: Vec<(Digest, usize)>,
    clock: Clock,
    pub(crate) budget: Budget,
    pub(crate) bundle: Option<Arc<Bundle>>,
    /// Servers found dead that the list still has, sorted.
    dead: Vec<Incarnation>,
    pub(crate) doubts: Doubts,
    force: watch::Receiver<Force>,
    pub(crate) gate: Controller,
    /// The servers that the routing was last told of.
    known: Servers,
    pub(crate) limits: Limits,
    pub(crate) paces: Paces,
    /// The places that the gate was last told of, in the order of the bundle's pools.
    places: Vec<u32>,
    /// The retries that the budget allows for each hundred first attempts.
    retry_percent: u32,
    pub(crate) rng: ChaCha8Rng,
    servers: watch::Receiver<Servers>,
    pub(crate) table: Table,
    waiters: Vec<(Id, oneshot::Sender<admit::Verdict>)>,
}

impl Inner {
    pub(crate) fn new(shared: &Shared) -> Self {
        let mut force = shared.force.clone();
        let mut servers = shared.servers.clone();
        force.mark_changed();
        servers.mark_changed();
        Self {
            accounts: Vec::new(),
            clock: shared.clock,
            budget: Budget::new(retry_config(0)),
            retry_percent: 0,
            bundle: None,
            dead: Vec::new(),
            doubts: Doubts::default(),
            force,
            gate: Controller::default(),
            known: Servers::default(),
            limits: Limits::default(),
            paces: Paces::new(shared.settings.progress),
            places: Vec::new(),
            rng: rand::make_rng(),
            servers,
            table: Table::new(route::Config::default()),
            waiters: Vec::new(),
        }
    }

    /// Takes in what the control side has published since the last call; what the gate decides on it has
    /// to reach those who wait.
    ///
    /// The gate hears of servers before the next request, or it would refuse that for want of them.
    #[must_use]
    pub(crate) fn refresh(
        &mut self,
        client: &backend::Client,
        shared: &Shared,
    ) -> Vec<admit::Action> {
        let force_changed = self.force.has_changed().unwrap_or(false);
        let servers_changed = self.servers.has_changed().unwrap_or(false);
        if force_changed {
            let force = self.force.borrow_and_update().clone();
            self.take_bundle(force, shared);
        }
        if servers_changed {
            let servers = self.servers.borrow_and_update().clone();
            let mut addresses: Vec<SocketAddr> =
                servers.iter().map(|server| server.address).collect();
            addresses.sort_unstable();
            client.retain(&addresses);
        }
        if !force_changed && !servers_changed {
            return Vec::new();
        }
        self.take_servers();
        self.measure()
    }

    fn take_bundle(&mut self, force: Force, shared: &Shared) {
        let Some(bundle) = &force else {
            return;
        };
        self.accounts = bundle
            .accounts
            .iter()
            .enumerate()
            .map(|(at, account)| (account.token_digest, at))
            .collect();
        self.accounts.sort_unstable();
        for account in &bundle.accounts {
            self.gate.set_account(&account.name, account.weight);
            let (rate, burst) = (account.requests_per_second, account.burst_requests);
            self.limits.set(&account.name, rate, burst);
        }
        for pipeline in &bundle.pipelines {
            let pools: Vec<Name> = pipeline
                .stages
                .iter()
                .map(|stage| stage.pool.clone())
                .collect();
            self.gate.set_pipeline(&pipeline.name, &pools);
        }
        let percent = bundle.limits.retry_percent;
        if percent != self.retry_percent {
            self.retry_percent = percent;
            self.budget = Budget::new(retry_config(percent));
        }
        shared
            .tracker()
            .record(self.clock.stamp(), &in_force(bundle));
        self.bundle = force;
    }

    fn take_servers(&mut self) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let servers = self.servers.borrow().clone();
        for pool in &bundle.pools {
            let members = places::members(&servers, pool);
            self.table.set_servers(pool.name.as_str(), &members);
        }
        self.dead
            .retain(|dead| servers.iter().any(|server| server.incarnation == *dead));
        self.take_loads(&servers);
        self.known = servers;
    }

    /// Tells the routing of load reports that are new.
    fn take_loads(&mut self, servers: &[Server]) {
        let now = self.clock.tick();
        for server in servers {
            let Some(load) = server.load else {
                continue;
            };
            if places::load(&self.known, server) == Some(load) {
                continue;
            }
            let event = route::Event::Load {
                server: server.incarnation.clone(),
                running: load.running,
                waiting: load.waiting,
                age: now - load.at,
            };
            self.table.handle(now, event);
        }
    }

    /// Tells the gate what each pool can take, where that has changed.
    fn measure(&mut self) -> Vec<admit::Action> {
        let Some(bundle) = self.bundle.clone() else {
            return Vec::new();
        };
        let now = self.clock.tick();
        self.places.resize(bundle.pools.len(), u32::MAX);
        let mut actions = Vec::new();
        for (at, pool) in bundle.pools.iter().enumerate() {
            let capacity = self.table.capacity(now, pool.name.as_str());
            // How long an empty pool stays so changes with every look.
            if self.places[at] == capacity.slots && capacity.slots > 0 {
                continue;
            }
            self.places[at] = capacity.slots;
            actions.extend(self.tell(admit::Event::Capacity {
                pool: pool.name.clone(),
                slots: f64::from(capacity.slots),
                retry_after: capacity.retry_after,
            }));
        }
        actions
    }

    pub(crate) fn body_limit(&self) -> usize {
        self.bundle
            .as_ref()
            .map_or(BODY_BYTES, |bundle| bundle.limits.body_bytes)
    }

    /// Tells whether any pipeline is deferred.
    pub(crate) fn has_deferred(&self) -> bool {
        let bundle = self.bundle.as_ref();
        bundle.is_some_and(|bundle| bundle.pipelines.iter().any(|pipeline| pipeline.deferred))
    }

    pub(crate) fn id(&mut self) -> Id {
        Id::from_random(self.bits())
    }

    pub(crate) fn bits(&mut self) -> u128 {
        u128::from(self.rng.next_u64()) << 64 | u128::from(self.rng.next_u64())
    }

    /// Finds the client account whose token has a digest.
    pub(crate) fn account(&self, token: Digest) -> Option<&Account> {
        let at = self
            .accounts
            .binary_search_by_key(&token, |(digest, _)| *digest)
            .ok()?;
        let (_, index) = self.accounts[at];
        self.bundle.as_ref()?.accounts.get(index)
    }

    /// Offers a request to the gate.
    pub(crate) fn offer(&mut self, ask: admit::Request) -> admit::Verdict {
        let mut cx = admit::Context {
            now: self.clock.tick(),
            rng: &mut self.rng,
        };
        self.gate.offer(&mut cx, ask)
    }

    /// Takes note that a server is dead, and tells whether that was news.
    pub(crate) fn bury(&mut self, server: &Incarnation) -> bool {
        let Err(at) = self.dead.binary_search(server) else {
            return false;
        };
        self.dead.insert(at, server.clone());
        true
    }

    /// Tells the gate of an event; what it decides has to reach those who wait.
    #[must_use]
    pub(crate) fn tell(&mut self, event: admit::Event) -> Vec<admit::Action> {
        let mut cx = admit::Context {
            now: self.clock.tick(),
            rng: &mut self.rng,
        };
        self.gate.handle(&mut cx, event)
    }

    fn tick(&mut self) -> Vec<admit::Action> {
        let mut actions = self.measure();
        let mut cx = admit::Context {
            now: self.clock.tick(),
            rng: &mut self.rng,
        };
        actions.extend(self.gate.tick(&mut cx));
        actions
    }

    /// Picks a backend server.
    pub(crate) fn pick(
        &mut self,
        own_domain: &Name,
        ask: &route::Request<'_>,
    ) -> Result<route::Choice, route::Error> {
        let mut cx = route::Context {
            now: self.clock.tick(),
            rng: &mut self.rng,
            own_domain,
        };
        self.table.pick(&mut cx, ask)
    }

    /// Turns a wall-clock time into an instant of the monotonic clock.
    pub(crate) fn tick_of(&self, stamp: Stamp) -> Tick {
        let (now, wall) = (self.clock.tick(), self.clock.stamp());
        if stamp >= wall {
            return now + (stamp - wall);
        }
        let ago = u64::try_from((wall - stamp).as_micros()).unwrap_or(u64::MAX);
        Tick::from_micros(now.as_micros().saturating_sub(ago))
    }

    /// Returns the channel on which a request learns what became of its wait.
    pub(crate) fn wait(&mut self, id: Id) -> oneshot::Receiver<admit::Verdict> {
        let (sender, receiver) = oneshot::channel();
        let at = self.waiters.partition_point(|(known, _)| *known < id);
        self.waiters.insert(at, (id, sender));
        receiver
    }

    pub(crate) fn take_waiter(&mut self, id: Id) -> Option<oneshot::Sender<admit::Verdict>> {
        let at = self
            .waiters
            .binary_search_by_key(&id, |(known, _)| *known)
            .ok()?;
        Some(self.waiters.remove(at).1)
    }
}

/// Returns the retry budget's settings for a number of retries for each hundred first attempts.
///
/// A part is kept back for the reserve that quiet accounts have.
fn retry_config(percent: u32) -> configs::budget::Budget {
    let default = configs::budget::Budget::default();
    configs::budget::Budget {
        stage_ratio: f64::from(percent) / 100.0 * 0.9,
        stage_initial: default.stage_max,
        account_initial: default.account_max,
        ..default
    }
}

/// Tells the tracker of the objectives of a bundle.
fn in_force(bundle: &Bundle) -> burn::Event {
    let objective = |pipeline: &Pipeline| burn::event::Objective {
        pipeline: pipeline.name.clone(),
        share: pipeline.objective,
    };
    burn::Event::InForce(burn::event::Objectives {
        version: bundle.version,
        pipelines: bundle.pipelines.iter().map(objective).collect(),
    })
}

/// Looks at waiting requests again and again, until the plane is gone.
pub(crate) async fn tick(plane: Weak<Plane>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        let Some(plane) = plane.upgrade() else {
            return;
        };
        plane.refresh();
        let actions = plane.inner.borrow_mut().tick();
        plane.dispatch(actions);
    }
}
