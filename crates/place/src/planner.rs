//! Orders what the plan wants, where this instance holds the lease.
//!
//! An order is counted as done only once the engine was seen to hold what it names. What an engine
//! holds beside that, because a replaced planner's order came late, is seen too, and planned anew.

use base::{Incarnation, Name, Tick};

use crate::{
    configs,
    lease::{self, Lease},
    order::{Engine, Order, Pending},
    plan::{self, Input, Load, Model},
};

/// How many loads are looked ahead to find some for engines that are idle.
const MAX_PLANNED_LOADS: usize = 32;

/// What a planner knows of the domain at a moment.
#[derive(Clone, Debug)]
pub struct Snapshot<'a> {
    /// The models with their demand, sorted by name.
    pub models: &'a [Model],
    /// The engines as observed, sorted by server.
    pub engines: &'a [Engine],
    /// Bytes a second that the weight store gives to one load.
    pub store_bandwidth: f64,
}

/// One instance's planner.
#[derive(Clone, Debug)]
pub struct Planner {
    config: configs::Planner,
    lease: Lease,
    fence: Option<u64>,
    pending: Vec<Pending>,
    effects: u64,
}

impl Planner {
    /// Returns a planner that has ordered nothing.
    pub const fn new(config: configs::Planner, lease: Lease) -> Self {
        Self {
            config,
            lease,
            fence: None,
            pending: Vec::new(),
            effects: 0,
        }
    }

    /// Returns how many orders were seen to have had their effect.
    pub const fn effect_count(&self) -> u64 {
        self.effects
    }

    /// Returns the engines whose orders were not seen to have their effect yet.
    pub fn pending_servers(&self) -> Vec<Incarnation> {
        let servers = self
            .pending
            .iter()
            .map(|pending| pending.order.server.clone());
        servers.collect()
    }

    /// Takes note of what an engine, asked at an instant, said that its last order wanted.
    ///
    /// An order that took effect by then, or never will, and that another one replaced is not waited
    /// for any longer.
    pub fn record_target(&mut self, polled_at: Tick, server: &Incarnation, models: &[Name]) {
        let limit = self.lease.order_limit();
        self.pending.retain(|pending| {
            let is_expired = polled_at > pending.sent_at + limit;
            let is_replaced = pending.order.server == *server && pending.order.models != models;
            !(is_expired && is_replaced)
        });
    }

    /// Returns the lease, to say whether it is wanted.
    pub const fn lease(&mut self) -> &mut Lease {
        &mut self.lease
    }

    /// Takes an event of the lease and returns what is to be done.
    pub fn handle(&mut self, now: Tick, event: lease::Event) -> Vec<lease::Action> {
        self.lease.handle(now, event)
    }

    /// Returns the fencing number if an order with it may be sent at this moment.
    pub fn fence(&self, now: Tick) -> Option<u64> {
        self.lease.fence(now)
    }

    /// Returns the orders to send now; none without the lease.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Incarnation, Stamp, Tick};
    /// use place::{configs, lease::Lease, planner::{Snapshot, Planner}};
    /// let holder = Incarnation::new("entry-1", Stamp::from_millis(5));
    /// let lease = Lease::new(configs::Lease::default(), holder, true);
    /// let mut planner = Planner::new(configs::Planner::default(), lease);
    /// let snapshot = Snapshot { models: &[], engines: &[], store_bandwidth: 1.0 };
    /// assert!(planner.next_orders(Tick::from_millis(1), &snapshot).is_empty());
    /// ```
    pub fn next_orders(&mut self, now: Tick, snapshot: &Snapshot<'_>) -> Vec<Order> {
        let Some(fence) = self.fence(now) else {
            self.pending.clear();
            return Vec::new();
        };
        if self.fence.replace(fence).is_none() {
            self.pending.clear();
        }
        self.remove_settled(now, snapshot.engines);
        let engines = self.expected(snapshot.engines);
        let input = Input {
            models: snapshot.models,
            engines: &engines,
            store_bandwidth: snapshot.store_bandwidth,
        };
        let free_loads = self.config.max_loads.saturating_sub(self.pending.len());
        if free_loads == 0 {
            return Vec::new();
        }
        let loads = plan::loads(&input, MAX_PLANNED_LOADS).into_iter();
        let idle = loads.filter(|load| !self.is_busy(&load.server));
        let chosen: Vec<Load> = first_of_each(idle).into_iter().take(free_loads).collect();
        chosen
            .into_iter()
            .map(|load| self.record_order(now, fence, load))
            .collect()
    }

    /// Forgets the orders whose effect was seen, or whose effect is not waited for any longer.
    ///
    /// A planner that lost its lease settles what it ordered before, as nobody else counts that.
    pub fn remove_settled(&mut self, now: Tick, engines: &[Engine]) {
        let limit = self.config.effect_timeout;
        let effects = &mut self.effects;
        self.pending.retain(|pending| {
            let found = engines.binary_search_by(|engine| engine.server.cmp(&pending.order.server));
            let Ok(at) = found else {
                return false;
            };
            let is_done = engines[at].models == pending.order.models;
            *effects += u64::from(is_done);
            !is_done && now - pending.sent_at < limit
        });
    }

    /// Returns the engines with what they were ordered to hold.
    fn expected(&self, engines: &[Engine]) -> Vec<Engine> {
        let mut engines = engines.to_vec();
        for pending in &self.pending {
            let found = engines.binary_search_by(|engine| engine.server.cmp(&pending.order.server));
            if let Ok(at) = found {
                engines[at].models.clone_from(&pending.order.models);
            }
        }
        engines
    }

    fn is_busy(&self, server: &Incarnation) -> bool {
        self.pending
            .iter()
            .any(|pending| pending.order.server == *server)
    }

    fn record_order(&mut self, now: Tick, fence: u64, load: Load) -> Order {
        let order = Order {
            fence,
            server: load.server,
            models: load.models,
        };
        self.pending.push(Pending {
            order: order.clone(),
            sent_at: now,
        });
        order
    }
}

/// Keeps the first load of each engine; a later one builds on it.
fn first_of_each(loads: impl Iterator<Item = Load>) -> Vec<Load> {
    let mut first: Vec<Load> = Vec::new();
    for load in loads {
        if first.iter().all(|kept| kept.server != load.server) {
            first.push(load);
        }
    }
    first
}
