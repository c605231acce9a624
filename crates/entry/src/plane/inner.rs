//! The state of the serving side: the decision crates' types, updated from what the control side
//! publishes.

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
    plane::{Plane, servers, timeouts::Pools, unresponsive},
    shared::Shared,
    view::{InForce, Server, Servers},
};

/// How often queued requests are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The largest body accepted before a configuration is in force.
const INITIAL_BODY_LIMIT_BYTES: usize = 256 * 1024;

/// The state of the serving side.
pub(crate) struct Inner {
    accounts: Vec<(Digest, usize)>,
    clock: Clock,
    pub(crate) budget: Budget,
    pub(crate) bundle: Option<Arc<Bundle>>,
    /// Dead servers that are still in the published list, sorted.
    dead: Vec<Incarnation>,
    pub(crate) unresponsive: unresponsive::Servers,
    bundle_receiver: watch::Receiver<InForce>,
    pub(crate) admission: Controller,
    /// The servers last applied to routing.
    applied_servers: Servers,
    pub(crate) limits: Limits,
    pub(crate) timeouts: Pools,
    /// The slots last reported to the admission controller, in the order of the bundle's pools.
    slots: Vec<u32>,
    /// The retries that the budget allows per hundred first attempts.
    retry_percent: u32,
    pub(crate) rng: ChaCha8Rng,
    server_receiver: watch::Receiver<Servers>,
    pub(crate) table: Table,
    waiters: Vec<(Id, oneshot::Sender<admit::Verdict>)>,
}

impl Inner {
    pub(crate) fn new(shared: &Shared) -> Self {
        let mut bundle_receiver = shared.in_force.clone();
        let mut server_receiver = shared.servers.clone();
        bundle_receiver.mark_changed();
        server_receiver.mark_changed();
        Self {
            accounts: Vec::new(),
            clock: shared.clock,
            budget: Budget::new(retry_config(0)),
            retry_percent: 0,
            bundle: None,
            dead: Vec::new(),
            unresponsive: unresponsive::Servers::default(),
            bundle_receiver,
            admission: Controller::default(),
            applied_servers: Servers::default(),
            limits: Limits::default(),
            timeouts: Pools::new(shared.settings.progress),
            slots: Vec::new(),
            rng: rand::make_rng(),
            server_receiver,
            table: Table::new(route::Config::default()),
            waiters: Vec::new(),
        }
    }

    /// Applies what the control side has published since the last call. The caller must pass the
    /// returned decisions of the admission controller to the waiting requests.
    ///
    /// The admission controller learns of servers before the next request; otherwise it would refuse
    /// that request because its pools are empty.
    #[must_use]
    pub(crate) fn refresh(
        &mut self,
        client: &backend::Client,
        shared: &Shared,
    ) -> Vec<admit::Action> {
        let bundle_changed = self.bundle_receiver.has_changed().unwrap_or(false);
        let servers_changed = self.server_receiver.has_changed().unwrap_or(false);
        if bundle_changed {
            let bundle = self.bundle_receiver.borrow_and_update().clone();
            self.apply_bundle(bundle, shared);
        }
        if servers_changed {
            let servers = self.server_receiver.borrow_and_update().clone();
            let mut addresses: Vec<SocketAddr> =
                servers.iter().map(|server| server.address).collect();
            addresses.sort_unstable();
            client.retain(&addresses);
        }
        if !bundle_changed && !servers_changed {
            return Vec::new();
        }
        self.apply_servers();
        self.update_capacity()
    }

    fn apply_bundle(&mut self, in_force: InForce, shared: &Shared) {
        let Some(bundle) = &in_force else {
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
            self.admission.set_account(&account.name, account.weight);
            let (rate, burst) = (account.requests_per_second, account.burst_requests);
            self.limits.set(&account.name, rate, burst);
        }
        for pipeline in &bundle.pipelines {
            let pools: Vec<Name> = pipeline
                .stages
                .iter()
                .map(|stage| stage.pool.clone())
                .collect();
            self.admission.set_pipeline(&pipeline.name, &pools);
        }
        let percent = bundle.limits.retry_percent;
        if percent != self.retry_percent {
            self.retry_percent = percent;
            self.budget = Budget::new(retry_config(percent));
        }
        shared
            .tracker()
            .record(self.clock.stamp(), &objectives_event(bundle));
        self.bundle = in_force;
    }

    fn apply_servers(&mut self) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let servers = self.server_receiver.borrow().clone();
        for pool in &bundle.pools {
            let members = servers::in_pool(&servers, pool);
            self.table.set_servers(pool.name.as_str(), &members);
        }
        self.dead
            .retain(|dead| servers.iter().any(|server| server.incarnation == *dead));
        self.apply_loads(&servers);
        self.applied_servers = servers;
    }

    /// Passes new load reports to routing.
    fn apply_loads(&mut self, servers: &[Server]) {
        let now = self.clock.tick();
        for server in servers {
            let Some(load) = server.load else {
                continue;
            };
            if servers::load_of(&self.applied_servers, server) == Some(load) {
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

    /// Reports the capacity of each pool to the admission controller if it has changed.
    fn update_capacity(&mut self) -> Vec<admit::Action> {
        let Some(bundle) = self.bundle.clone() else {
            return Vec::new();
        };
        self.slots.resize(bundle.pools.len(), u32::MAX);
        let mut actions = Vec::new();
        for (at, pool) in bundle.pools.iter().enumerate() {
            actions.extend(self.update_pool_capacity(at, &pool.name));
        }
        actions
    }

    /// Reports the capacity of a pool that had none, as an attempt there has ended. The caller must pass the returned
    /// decisions to the waiting requests.
    #[must_use]
    pub(crate) fn update_empty_pool(&mut self, pool: &Name) -> Vec<admit::Action> {
        let pools = self.bundle.iter().flat_map(|bundle| &bundle.pools);
        let mut pools = pools.zip(&self.slots);
        match pools.position(|(known, slots)| known.name == *pool && *slots == 0) {
            Some(at) => self.update_pool_capacity(at, pool),
            None => Vec::new(),
        }
    }

    fn update_pool_capacity(&mut self, at: usize, pool: &Name) -> Vec<admit::Action> {
        let capacity = self.table.capacity(self.clock.tick(), pool.as_str());
        // The expected wait for an empty pool changes with every call, so it is always reported.
        if self.slots[at] == capacity.slots && capacity.slots > 0 {
            return Vec::new();
        }
        self.slots[at] = capacity.slots;
        self.handle_admission(admit::Event::Capacity {
            pool: pool.clone(),
            slots: f64::from(capacity.slots),
            retry_after: capacity.retry_after,
        })
    }

    pub(crate) fn body_limit(&self) -> usize {
        self.bundle
            .as_ref()
            .map_or(INITIAL_BODY_LIMIT_BYTES, |bundle| bundle.limits.body_bytes)
    }

    /// Returns whether any pipeline is deferred.
    pub(crate) fn has_deferred(&self) -> bool {
        let bundle = self.bundle.as_ref();
        bundle.is_some_and(|bundle| bundle.pipelines.iter().any(|pipeline| pipeline.deferred))
    }

    pub(crate) fn new_id(&mut self) -> Id {
        Id::from_random(self.random_bits())
    }

    pub(crate) fn random_bits(&mut self) -> u128 {
        u128::from(self.rng.next_u64()) << 64 | u128::from(self.rng.next_u64())
    }

    /// Returns the client account whose token has this digest.
    pub(crate) fn account_by_token(&self, token: Digest) -> Option<&Account> {
        let at = self
            .accounts
            .binary_search_by_key(&token, |(digest, _)| *digest)
            .ok()?;
        let (_, index) = self.accounts[at];
        self.bundle.as_ref()?.accounts.get(index)
    }

    /// Offers a request to the admission controller.
    pub(crate) fn offer(&mut self, request: admit::Request) -> admit::Verdict {
        let mut context = admit::Context {
            now: self.clock.tick(),
            rng: &mut self.rng,
        };
        self.admission.offer(&mut context, request)
    }

    /// Records that a server is dead; returns whether that was unknown before.
    pub(crate) fn record_death(&mut self, server: &Incarnation) -> bool {
        let Err(at) = self.dead.binary_search(server) else {
            return false;
        };
        self.dead.insert(at, server.clone());
        true
    }

    /// Passes an event to the admission controller. The caller must pass the returned decisions to the
    /// waiting requests.
    #[must_use]
    pub(crate) fn handle_admission(&mut self, event: admit::Event) -> Vec<admit::Action> {
        let mut context = admit::Context {
            now: self.clock.tick(),
            rng: &mut self.rng,
        };
        self.admission.handle(&mut context, event)
    }

    fn tick(&mut self) -> Vec<admit::Action> {
        let mut actions = self.update_capacity();
        let mut context = admit::Context {
            now: self.clock.tick(),
            rng: &mut self.rng,
        };
        actions.extend(self.admission.tick(&mut context));
        actions
    }

    /// Picks a backend server.
    pub(crate) fn pick(
        &mut self,
        own_domain: &Name,
        request: &route::Request<'_>,
    ) -> Result<route::Choice, route::Error> {
        let mut context = route::Context {
            now: self.clock.tick(),
            rng: &mut self.rng,
            own_domain,
        };
        self.table.pick(&mut context, request)
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

    /// Returns the channel on which a queued request receives its verdict.
    pub(crate) fn add_waiter(&mut self, id: Id) -> oneshot::Receiver<admit::Verdict> {
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

/// Returns the retry budget's settings for a number of retries per hundred first attempts.
///
/// A tenth is held back for the reserve of accounts with few requests.
fn retry_config(percent: u32) -> configs::budget::Budget {
    let default = configs::budget::Budget::default();
    configs::budget::Budget {
        stage_ratio: f64::from(percent) / 100.0 * 0.9,
        stage_initial: default.stage_max,
        account_initial: default.account_max,
        ..default
    }
}

/// Returns the event that reports the objectives of a bundle to the tracker.
fn objectives_event(bundle: &Bundle) -> burn::Event {
    let objective = |pipeline: &Pipeline| burn::event::Objective {
        pipeline: pipeline.name.clone(),
        share: pipeline.objective,
    };
    burn::Event::InForce(burn::event::Objectives {
        version: bundle.version,
        pipelines: bundle.pipelines.iter().map(objective).collect(),
    })
}

/// Checks queued requests periodically, until the plane is dropped.
pub(crate) async fn run_ticks(plane: Weak<Plane>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
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
