//! The actor that has the engines of the own failure domain hold the models that are asked for.
//!
//! Each pool whose bundle states `memory_bytes` has a lease of its own. Only the instance that
//! rendezvous hashing names asks for it, and only its holder asks engines what they hold and orders.

mod demand;
mod desk;

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

use self::{demand::Demand, desk::Desk};
use crate::{
    clock::Clock,
    metrics::Metrics,
    view::{Force, Members, Servers},
};

/// The time limit of asking an engine what it holds.
const ASK_LIMIT: Duration = Duration::from_millis(500);

/// Records read from the log at once.
const READ_RECORDS: usize = 200;

/// Holds leases and orders engines.
pub(crate) struct Placement {
    client: backend::Client,
    demand: Demand,
    desks: Vec<Desk>,
    world: World,
}

/// What the actor needs of its instance.
pub(crate) struct World {
    pub(crate) clock: Clock,
    pub(crate) domain: Name,
    pub(crate) force: watch::Receiver<Force>,
    pub(crate) lease: configs::Lease,
    pub(crate) members: watch::Receiver<Members>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) own: Incarnation,
    pub(crate) platform: platform::Http,
    pub(crate) servers: watch::Receiver<Servers>,
}

impl Placement {
    pub(crate) fn new(world: World) -> Self {
        Self {
            client: backend::Client::open(backend::Config::default()),
            demand: Demand::open(world.clock.tick()),
            desks: Vec::new(),
            world,
        }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let Some(bundle) = self.world.force.borrow().clone() else {
            return;
        };
        let now = self.world.clock.tick();
        self.demand.measure(now, &bundle, &self.world.metrics);
        self.open_desks(&bundle);
        let pools: Vec<Name> = self.desks.iter().map(|desk| desk.pool.clone()).collect();
        for pool in pools {
            self.want(&bundle, &pool);
            self.on(&pool, Event::Tick, context);
            self.survey(&pool, context);
            self.order(&bundle, &pool, context);
        }
    }

    /// Opens a desk for each placed pool; one that is placed no longer only stops wanting its lease.
    fn open_desks(&mut self, bundle: &Bundle) {
        for pool in bundle.pools.iter().filter(|pool| pool.is_placed()) {
            let found = self
                .desks
                .binary_search_by(|desk| desk.pool.cmp(&pool.name));
            if let Err(at) = found {
                let desk = Desk::open(&self.world, &pool.name);
                self.desks.insert(at, desk);
            }
        }
    }

    fn want(&mut self, bundle: &Bundle, pool: &Name) {
        let is_placed = bundle
            .pool(pool.as_str())
            .is_some_and(bundle::content::Pool::is_placed);
        let members = self.world.members.borrow().clone();
        let Some(desk) = self.desk(pool) else { return };
        let candidate = rendezvous::owner(&members.names, desk.stream.as_bytes()).cloned();
        let is_wanted = is_placed && candidate.as_ref() == Some(&self.world.own);
        if let Some(desk) = self.desk(pool) {
            desk.want(is_wanted);
        }
    }

    fn desk(&mut self, pool: &Name) -> Option<&mut Desk> {
        let found = self.desks.binary_search_by(|desk| desk.pool.cmp(pool));
        found.ok().map(|at| &mut self.desks[at])
    }

    fn count(&self, pool: &Name, event: &str) {
        let labels = [pool.as_str(), event];
        self.world
            .metrics
            .placement
            .with_label_values(&labels)
            .inc();
    }

    /// Takes an event of a pool's lease and carries out what follows.
    fn on(&mut self, pool: &Name, event: Event, context: &mut Context<Self>) {
        let now = self.world.clock.tick();
        let Some(desk) = self.desk(pool) else { return };
        let actions = desk.planner.handle(now, event);
        let stream = desk.stream.clone();
        if let Some(is_held) = desk.turn(now) {
            self.tell_lease(pool, is_held);
        }
        for action in actions {
            match action {
                Action::Append { body } => self.append(pool, stream.clone(), body, context),
                Action::Read { from } => self.read(pool, stream.clone(), from, context),
            }
        }
    }

    fn tell_lease(&self, pool: &Name, is_held: bool) {
        let gauge = &self.world.metrics.placement_lease;
        gauge
            .with_label_values(&[pool.as_str()])
            .set(i64::from(is_held));
        let state = if is_held { "holds" } else { "does not hold" };
        log::info!("{state} the lease of the placement of pool '{pool}'");
    }

    fn append(&self, pool: &Name, stream: String, body: String, context: &mut Context<Self>) {
        self.count(pool, "append");
        let platform = self.world.platform.clone();
        let appending = async move { platform.append(&stream, body).await };
        let pool = pool.clone();
        let done = appending.into_actor(self).map(move |end, actor, context| {
            let event = match end {
                Ok(_) => Event::Appended,
                Err(Error::Refused(_)) => Event::AppendRefused,
                Err(Error::Unanswered(_)) => Event::AppendUnanswered,
            };
            actor.on(&pool, event, context);
        });
        context.spawn(done);
    }

    fn read(&self, pool: &Name, stream: String, from: u64, context: &mut Context<Self>) {
        self.count(pool, "read");
        let platform = self.world.platform.clone();
        let reading = async move { platform.read(&stream, from, READ_RECORDS).await };
        let pool = pool.clone();
        let done = reading.into_actor(self).map(move |page, actor, context| {
            let event = page.map_or(Event::ReadFailed, desk::event);
            actor.on(&pool, event, context);
        });
        context.spawn(done);
    }

    /// Asks a few engines what they hold, where this instance holds the lease.
    fn survey(&mut self, pool: &Name, context: &mut Context<Self>) {
        let now = self.world.clock.tick();
        let servers = self.world.servers.borrow().clone();
        let domain = self.world.domain.clone();
        let Some(desk) = self.desk(pool) else { return };
        for (server, address) in desk.survey(now, &servers, &domain) {
            self.ask(pool, server, address, context);
        }
    }

    fn ask(
        &self,
        pool: &Name,
        server: Incarnation,
        address: SocketAddr,
        context: &mut Context<Self>,
    ) {
        self.count(pool, "poll");
        let asked = self.world.clock.tick();
        let client = self.client.clone();
        let asking = async move { orders::fetch(&client, address, ASK_LIMIT).await };
        let pool = pool.clone();
        let done = asking.into_actor(self).map(move |holding, actor, _| {
            let Some(bundle) = actor.world.force.borrow().clone() else {
                return;
            };
            if let (Some(desk), Some(pool)) = (actor.desk(&pool), bundle.pool(pool.as_str())) {
                desk.answer(asked, &server, holding, pool);
            }
        });
        context.spawn(done);
    }

    /// Orders what the plan wants.
    fn order(&mut self, bundle: &Bundle, pool: &Name, context: &mut Context<Self>) {
        let Some(found) = bundle.pool(pool.as_str()) else {
            return;
        };
        let members = self.world.members.borrow().names.len();
        let models = self
            .demand
            .models(bundle, found, members, &self.world.metrics);
        let now = self.world.clock.tick();
        let Some(desk) = self.desk(pool) else { return };
        let orders = desk.orders(now, &models);
        let effects = desk.take_effects();
        let labels = [pool.as_str(), "effect"];
        let counter = self.world.metrics.placement.with_label_values(&labels);
        counter.inc_by(effects);
        for order in orders {
            self.send(pool, order, context);
        }
    }

    /// Sends an order, if the lease still permits it at this moment.
    fn send(&mut self, pool: &Name, order: Order, context: &mut Context<Self>) {
        let servers = self.world.servers.borrow().clone();
        let clock = self.world.clock;
        let limit = self.world.lease.order_limit;
        let client = self.client.clone();
        let Some(desk) = self.desk(pool) else { return };
        let found = servers
            .iter()
            .find(|server| server.incarnation == order.server);
        let Some(address) = found.map(|server| server.address) else {
            return;
        };
        let body = orders::Order {
            fence: order.fence,
            want: desk.want_of(&order),
        };
        if desk.planner.fence(clock.tick()) != Some(order.fence) {
            return;
        }
        let sending = async move { orders::send(&client, address, &body, limit).await };
        let pool = pool.clone();
        let done = sending.into_actor(self).map(move |end, actor, _| {
            let event = match end {
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
        let pace = self.world.lease.retry_interval;
        context.run_interval(pace, |actor, context| actor.tick(context));
    }
}
