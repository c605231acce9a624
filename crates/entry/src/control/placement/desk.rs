//! One pool's planner, and what its engines said they hold.

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

use super::World;
use crate::view::Server;

/// Bytes a second that the weight store gives to one load. Plans compare loads with one another, so
/// that any rate gives the same ones.
const STORE_RATE: f64 = 1e6;

/// One placed pool.
pub(super) struct Desk {
    pub(super) planner: Planner,
    pub(super) pool: Name,
    pub(super) stream: String,
    effects: u64,
    is_held: bool,
    is_wanted: bool,
    polls: usize,
    survey: Poller,
    /// What each engine was last wanted to hold, sorted by server.
    wants: Vec<(Incarnation, Target)>,
}

impl Desk {
    pub(super) fn open(world: &World, pool: &Name) -> Self {
        let lease = Lease::new(world.lease.clone(), world.own.clone(), false);
        let config = configs::Planner::default();
        Self {
            effects: 0,
            is_held: false,
            is_wanted: false,
            polls: config.max_polls,
            planner: Planner::new(config, lease),
            pool: pool.clone(),
            stream: format!("place-{}-{pool}", world.domain),
            survey: Poller::default(),
            wants: Vec::new(),
        }
    }

    /// Says whether this instance is to hold the lease.
    pub(super) const fn want(&mut self, is_wanted: bool) {
        self.is_wanted = is_wanted;
        self.planner.lease().set_wanted(is_wanted);
    }

    /// Tells whether the lease is held now, where that has changed.
    pub(super) fn turn(&mut self, now: Tick) -> Option<bool> {
        let is_held = self.is_wanted && self.planner.fence(now).is_some();
        if is_held == self.is_held {
            return None;
        }
        self.is_held = is_held;
        self.survey.restart();
        Some(is_held)
    }

    /// Returns the engines to ask now, with their addresses; without the lease just those whose orders
    /// were not seen to have their effect.
    pub(super) fn survey(
        &mut self,
        now: Tick,
        servers: &[Server],
        domain: &Name,
    ) -> Vec<(Incarnation, SocketAddr)> {
        let busy = self.planner.pending_servers();
        if !self.is_held && busy.is_empty() {
            return Vec::new();
        }
        let is_own = |server: &&Server| {
            server.pool == self.pool && server.domain == *domain && !server.leaving
        };
        let mut own: Vec<(Incarnation, SocketAddr)> = servers
            .iter()
            .filter(is_own)
            .map(|server| (server.incarnation.clone(), server.address))
            .collect();
        own.sort();
        let names: Vec<Incarnation> = own.iter().map(|(name, _)| name.clone()).collect();
        self.survey.set_servers(&names);
        self.wants
            .retain(|(server, _)| names.binary_search(server).is_ok());
        let polls = if self.is_held { self.polls } else { 0 };
        let chosen = self.survey.next_polls(now, &busy, polls);
        own.retain(|(name, _)| chosen.contains(name));
        own
    }

    /// Takes an engine's answer, or that there was none.
    pub(super) fn answer(
        &mut self,
        asked: Tick,
        server: &Incarnation,
        holding: Option<Inventory>,
        pool: &content::Pool,
    ) {
        let Some(mut holding) = holding else {
            return self.survey.record_answer(server, None);
        };
        holding.held.sort();
        holding.want.models.sort();
        self.planner
            .record_target(asked, server, &holding.want.models);
        let engine = Engine {
            server: server.clone(),
            models: holding.held,
            memory: pool.memory_bytes,
            is_fenced: pool.checks_fencing,
        };
        self.survey.record_answer(server, Some(engine));
        let found = self.wants.binary_search_by(|(known, _)| known.cmp(server));
        match found {
            Ok(at) => self.wants[at].1 = holding.want,
            Err(at) => self.wants.insert(at, (server.clone(), holding.want)),
        }
    }

    /// Returns the orders to send now; none before each engine was asked.
    pub(super) fn orders(&mut self, now: Tick, models: &[Model]) -> Vec<Order> {
        if !self.is_held {
            self.planner.remove_settled(now, &self.survey.engines());
            return Vec::new();
        }
        if !self.survey.is_complete() {
            return Vec::new();
        }
        let domain = Snapshot {
            models,
            engines: &self.survey.engines(),
            store_bandwidth: STORE_RATE,
        };
        self.planner.next_orders(now, &domain)
    }

    /// Returns how many orders were newly seen to have had their effect.
    pub(super) fn take_effects(&mut self) -> u64 {
        let before = core::mem::replace(&mut self.effects, self.planner.effect_count());
        self.effects - before
    }

    /// Returns the state that an order wants; adapters and role stay as the engine has them.
    pub(super) fn want_of(&self, order: &Order) -> Target {
        let server = &order.server;
        let found = self.wants.binary_search_by(|(known, _)| known.cmp(server));
        let kept = found.map(|at| self.wants[at].1.clone());
        Target {
            models: order.models.clone(),
            ..kept.unwrap_or_default()
        }
    }
}

/// Returns the lease's event for a page of its stream.
pub(super) fn event(page: log::Page) -> Event {
    let records = page.records.into_iter();
    Event::Page {
        first: page.first,
        end: page.end,
        records: records.map(|record| (record.offset, record.body)).collect(),
    }
}
