//! The planner of one pool, and the inventories of its engines.

use core::net::SocketAddr;

use backend::orders::{Inventory, Target};
use base::{Incarnation, Name, Tick};
use bundle::content;
use place::{
    configs,
    lease::{Event, Lease},
    order::{Engine, Order},
    plan::Model,
    planner::{Planner, Snapshot},
    poller::Poller,
};
use platform::log;

use super::Environment;
use crate::view::Server;

/// The bandwidth of the weight store for one load. Plans only compare loads with one another, so any
/// value gives the same plans.
const STORE_BYTES_PER_SECOND: f64 = 1e6;

/// One placed pool.
pub(super) struct Pool {
    pub(super) planner: Planner,
    pub(super) name: Name,
    pub(super) stream: String,
    effects: u64,
    is_held: bool,
    is_wanted: bool,
    max_polls: usize,
    poller: Poller,
    /// The last target reported by each engine, sorted by server.
    targets: Vec<(Incarnation, Target)>,
}

impl Pool {
    pub(super) fn new(environment: &Environment, name: &Name) -> Self {
        let lease = Lease::new(environment.lease.clone(), environment.own.clone(), false);
        let config = configs::Planner::default();
        Self {
            effects: 0,
            is_held: false,
            is_wanted: false,
            max_polls: config.max_polls,
            planner: Planner::new(config, lease),
            name: name.clone(),
            stream: format!("place-{}-{name}", environment.domain),
            poller: Poller::default(),
            targets: Vec::new(),
        }
    }

    /// Sets whether this instance should hold the lease.
    pub(super) const fn set_wanted(&mut self, is_wanted: bool) {
        self.is_wanted = is_wanted;
        self.planner.lease().set_wanted(is_wanted);
    }

    /// Updates whether the lease is held, and returns the new state, or `None` if it has not changed.
    pub(super) fn update_held(&mut self, now: Tick) -> Option<bool> {
        let is_held = self.is_wanted && self.planner.fence(now).is_some();
        if is_held == self.is_held {
            return None;
        }
        self.is_held = is_held;
        self.poller.restart();
        Some(is_held)
    }

    /// Returns the engines to poll now, with their addresses. Without the lease these are only the engines
    /// with orders whose effect has not been observed.
    pub(super) fn next_polls(
        &mut self,
        now: Tick,
        servers: &[Server],
        domain: &Name,
    ) -> Vec<(Incarnation, SocketAddr)> {
        let pending = self.planner.pending_servers();
        if !self.is_held && pending.is_empty() {
            return Vec::new();
        }
        let is_own = |server: &&Server| {
            server.pool == self.name && server.domain == *domain && !server.leaving
        };
        let mut own: Vec<(Incarnation, SocketAddr)> = servers
            .iter()
            .filter(is_own)
            .map(|server| (server.incarnation.clone(), server.address))
            .collect();
        own.sort();
        let names: Vec<Incarnation> = own.iter().map(|(name, _)| name.clone()).collect();
        self.poller.set_servers(&names);
        self.targets
            .retain(|(server, _)| names.binary_search(server).is_ok());
        let polls = if self.is_held { self.max_polls } else { 0 };
        let chosen = self.poller.next_polls(now, &pending, polls);
        own.retain(|(name, _)| chosen.contains(name));
        own
    }

    /// Records an engine's inventory, or that it gave no answer.
    pub(super) fn record_inventory(
        &mut self,
        requested_at: Tick,
        server: &Incarnation,
        inventory: Option<Inventory>,
        pool: &content::Pool,
    ) {
        let Some(mut inventory) = inventory else {
            return self.poller.record_answer(server, None);
        };
        inventory.held.sort();
        inventory.want.models.sort();
        self.planner
            .record_target(requested_at, server, &inventory.want.models);
        let engine = Engine {
            server: server.clone(),
            models: inventory.held,
            memory: pool.memory_bytes,
            is_fenced: pool.checks_fencing,
        };
        self.poller.record_answer(server, Some(engine));
        let found = self
            .targets
            .binary_search_by(|(known, _)| known.cmp(server));
        match found {
            Ok(at) => self.targets[at].1 = inventory.want,
            Err(at) => self.targets.insert(at, (server.clone(), inventory.want)),
        }
    }

    /// Returns the orders to send now; there are none before each engine has been polled.
    pub(super) fn next_orders(&mut self, now: Tick, models: &[Model]) -> Vec<Order> {
        if !self.is_held {
            self.planner.remove_settled(now, &self.poller.engines());
            return Vec::new();
        }
        if !self.poller.is_complete() {
            return Vec::new();
        }
        let snapshot = Snapshot {
            models,
            engines: &self.poller.engines(),
            store_bandwidth: STORE_BYTES_PER_SECOND,
        };
        self.planner.next_orders(now, &snapshot)
    }

    /// Returns the number of orders whose effect was observed since the last call.
    pub(super) fn take_new_effects(&mut self) -> u64 {
        let before = core::mem::replace(&mut self.effects, self.planner.effect_count());
        self.effects - before
    }

    /// Returns the target of an order; adapters and role stay as the engine reported them.
    pub(super) fn target(&self, order: &Order) -> Target {
        let server = &order.server;
        let found = self
            .targets
            .binary_search_by(|(known, _)| known.cmp(server));
        let reported = found.map(|at| self.targets[at].1.clone());
        Target {
            models: order.models.clone(),
            ..reported.unwrap_or_default()
        }
    }
}

/// Returns the lease's event for a page of its stream.
pub(super) fn page_event(page: log::Page) -> Event {
    let records = page.records.into_iter();
    Event::Page {
        first: page.first,
        end: page.end,
        records: records.map(|record| (record.offset, record.body)).collect(),
    }
}
