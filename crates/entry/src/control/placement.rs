//! The actor that places models on the engines of its failure domain according to demand.
//!
//! Each pool for which the bundle states `memory_bytes` has a lease of its own. Only the instance that
//! rendezvous hashing selects requests the lease, and only the holder polls engines and sends orders.

mod demand;
mod pool;

use core::{net::SocketAddr, time::Duration};
use std::sync::Arc;

use actix::{Actor, ActorFutureExt as _, AsyncContext as _, Context, WrapFuture as _};
use backend::orders;
use base::{Incarnation, Name};
use bundle::Bundle;
use member::rendezvous;
use place::{
    configs,
    lease::{Action, Event},
    order::Order,
};
use platform::{Log as _, log::Error};
use tokio::sync::watch;

use self::{demand::Demand, pool::Pool};
use crate::{
    clock::Clock,
    metrics::Metrics,
    view::{InForce, Members, Servers},
};

/// The timeout of an inventory request to an engine.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum number of records in one read of the log.
const MAX_READ_RECORDS: usize = 200;

/// Holds leases and sends orders to engines.
pub(crate) struct Placement {
    client: backend::Client,
    demand: Demand,
    pools: Vec<Pool>,
    environment: Environment,
}

/// What the actor gets from its instance.
pub(crate) struct Environment {
    pub(crate) clock: Clock,
    pub(crate) domain: Name,
    pub(crate) in_force: watch::Receiver<InForce>,
    pub(crate) lease: configs::Lease,
    pub(crate) members: watch::Receiver<Members>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) own: Incarnation,
    pub(crate) platform: platform::Http,
    pub(crate) servers: watch::Receiver<Servers>,
}

impl Placement {
    pub(crate) fn new(environment: Environment) -> Self {
        Self {
            client: backend::Client::open(backend::Config::default()),
            demand: Demand::new(environment.clock.tick()),
            pools: Vec::new(),
            environment,
        }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let Some(bundle) = self.environment.in_force.borrow().clone() else {
            return;
        };
        let now = self.environment.clock.tick();
        self.demand.update(now, &bundle, &self.environment.metrics);
        self.add_pools(&bundle);
        let names: Vec<Name> = self.pools.iter().map(|pool| pool.name.clone()).collect();
        for name in names {
            self.update_wanted(&bundle, &name);
            self.handle(&name, Event::Tick, context);
            self.poll_engines(&name, context);
            self.send_orders(&bundle, &name, context);
        }
    }

    /// Adds each new placed pool. A pool that is no longer placed stays, but its lease is not wanted.
    fn add_pools(&mut self, bundle: &Bundle) {
        for pool in bundle.pools.iter().filter(|pool| pool.is_placed()) {
            let found = self
                .pools
                .binary_search_by(|known| known.name.cmp(&pool.name));
            if let Err(at) = found {
                let pool = Pool::new(&self.environment, &pool.name);
                self.pools.insert(at, pool);
            }
        }
    }

    fn update_wanted(&mut self, bundle: &Bundle, name: &Name) {
        let is_placed = bundle
            .pool(name.as_str())
            .is_some_and(bundle::content::Pool::is_placed);
        let members = self.environment.members.borrow().clone();
        let Some(pool) = self.pool(name) else { return };
        let candidate = rendezvous::owner(&members.names, pool.stream.as_bytes()).cloned();
        let is_wanted = is_placed && candidate.as_ref() == Some(&self.environment.own);
        if let Some(pool) = self.pool(name) {
            pool.set_wanted(is_wanted);
        }
    }

    fn pool(&mut self, name: &Name) -> Option<&mut Pool> {
        let found = self.pools.binary_search_by(|pool| pool.name.cmp(name));
        found.ok().map(|at| &mut self.pools[at])
    }

    fn count(&self, pool: &Name, event: &str) {
        let labels = [pool.as_str(), event];
        self.environment
            .metrics
            .placement
            .with_label_values(&labels)
            .inc();
    }

    /// Handles an event of a pool's lease and executes the resulting actions.
    fn handle(&mut self, name: &Name, event: Event, context: &mut Context<Self>) {
        let now = self.environment.clock.tick();
        let Some(pool) = self.pool(name) else { return };
        let actions = pool.planner.handle(now, event);
        let stream = pool.stream.clone();
        if let Some(is_held) = pool.update_held(now) {
            self.report_lease(name, is_held);
        }
        for action in actions {
            match action {
                Action::Append { body } => self.append(name, stream.clone(), body, context),
                Action::Read { from } => self.read(name, stream.clone(), from, context),
            }
        }
    }

    fn report_lease(&self, pool: &Name, is_held: bool) {
        let gauge = &self.environment.metrics.placement_lease;
        gauge
            .with_label_values(&[pool.as_str()])
            .set(i64::from(is_held));
        let state = if is_held {
            "acquired"
        } else {
            "no longer holds"
        };
        log::info!("{state} the placement lease of pool '{pool}'");
    }

    fn append(&self, pool: &Name, stream: String, body: String, context: &mut Context<Self>) {
        self.count(pool, "append");
        let platform = self.environment.platform.clone();
        let appending = async move { platform.append(&stream, body).await };
        let pool = pool.clone();
        let done = appending
            .into_actor(self)
            .map(move |result, actor, context| {
                let event = match result {
                    Ok(_) => Event::Appended,
                    Err(Error::Refused(_)) => Event::AppendRefused,
                    Err(Error::Unanswered(_)) => Event::AppendUnanswered,
                };
                actor.handle(&pool, event, context);
            });
        context.spawn(done);
    }

    fn read(&self, pool: &Name, stream: String, from: u64, context: &mut Context<Self>) {
        self.count(pool, "read");
        let platform = self.environment.platform.clone();
        let reading = async move { platform.read(&stream, from, MAX_READ_RECORDS).await };
        let pool = pool.clone();
        let done = reading.into_actor(self).map(move |page, actor, context| {
            let event = page.map_or(Event::ReadFailed, pool::page_event);
            actor.handle(&pool, event, context);
        });
        context.spawn(done);
    }

    /// Polls a few engines for their inventory if this instance holds the lease.
    fn poll_engines(&mut self, name: &Name, context: &mut Context<Self>) {
        let now = self.environment.clock.tick();
        let servers = self.environment.servers.borrow().clone();
        let domain = self.environment.domain.clone();
        let Some(pool) = self.pool(name) else { return };
        for (server, address) in pool.next_polls(now, &servers, &domain) {
            self.poll(name, server, address, context);
        }
    }

    fn poll(
        &self,
        pool: &Name,
        server: Incarnation,
        address: SocketAddr,
        context: &mut Context<Self>,
    ) {
        self.count(pool, "poll");
        let requested_at = self.environment.clock.tick();
        let client = self.client.clone();
        let asking = async move { orders::fetch(&client, address, POLL_TIMEOUT).await };
        let pool = pool.clone();
        let done = asking.into_actor(self).map(move |inventory, actor, _| {
            let Some(bundle) = actor.environment.in_force.borrow().clone() else {
                return;
            };
            if let (Some(pool), Some(content)) = (actor.pool(&pool), bundle.pool(pool.as_str())) {
                pool.record_inventory(requested_at, &server, inventory, content);
            }
        });
        context.spawn(done);
    }

    /// Sends the orders that the plan requires.
    fn send_orders(&mut self, bundle: &Bundle, name: &Name, context: &mut Context<Self>) {
        let Some(content) = bundle.pool(name.as_str()) else {
            return;
        };
        let members = self.environment.members.borrow().names.len();
        let models = self
            .demand
            .models(bundle, content, members, &self.environment.metrics);
        let now = self.environment.clock.tick();
        let Some(pool) = self.pool(name) else { return };
        let orders = pool.next_orders(now, &models);
        let effects = pool.take_new_effects();
        let labels = [name.as_str(), "effect"];
        let counter = self
            .environment
            .metrics
            .placement
            .with_label_values(&labels);
        counter.inc_by(effects);
        for order in orders {
            self.send(name, order, context);
        }
    }

    /// Sends an order if the lease still permits it.
    fn send(&mut self, name: &Name, order: Order, context: &mut Context<Self>) {
        let servers = self.environment.servers.borrow().clone();
        let clock = self.environment.clock;
        let timeout = self.environment.lease.order_limit;
        let client = self.client.clone();
        let Some(pool) = self.pool(name) else { return };
        let found = servers
            .iter()
            .find(|server| server.incarnation == order.server);
        let Some(address) = found.map(|server| server.address) else {
            return;
        };
        let body = orders::Order {
            fence: order.fence,
            want: pool.target(&order),
        };
        if pool.planner.fence(clock.tick()) != Some(order.fence) {
            return;
        }
        let sending = async move { orders::send(&client, address, &body, timeout).await };
        let pool = name.clone();
        let done = sending.into_actor(self).map(move |result, actor, _| {
            let event = match result {
                orders::Outcome::Refused => "refused",
                orders::Outcome::Accepted => "taken",
                orders::Outcome::Unanswered => "unanswered",
            };
            actor.count(&pool, event);
        });
        context.spawn(done);
    }
}

impl Actor for Placement {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        let interval = self.environment.lease.retry_interval;
        context.run_interval(interval, |actor, context| actor.tick(context));
    }
}
