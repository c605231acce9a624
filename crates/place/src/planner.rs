//! Orders to engines according to the plan, while this instance holds the lease.
//!
//! An order is complete only when its models were observed on the engine. Different models, such as
//! from a late order of a replaced planner, are observed too and corrected by the next plan.

use base::{Incarnation, Name, Tick};

use crate::{
    configs,
    lease::{self, Lease},
    order::{Engine, Order, Pending},
    plan::{self, Input, Load, Model},
};

/// Maximum number of planned loads, among which those for idle engines are selected.
const MAX_PLANNED_LOADS: usize = 32;

/// The state of the failure domain at the time of planning.
#[derive(Clone, Debug)]
pub struct Snapshot<'a> {
    /// The models with their demand, sorted by name.
    pub models: &'a [Model],
    /// The engines as observed, sorted by server.
    pub engines: &'a [Engine],
    /// Bandwidth of the weight store for one load, in bytes per second.
    pub store_bandwidth: f64,
}

/// The planner of one instance.
#[derive(Clone, Debug)]
pub struct Planner {
    config: configs::Planner,
    lease: Lease,
    /// The fencing token of the latest orders.
    fence: Option<u64>,
    /// Orders whose effect has not been observed yet, at most one per engine.
    pending: Vec<Pending>,
    /// Number of orders whose effect was observed.
    effects: u64,
}

impl Planner {
    /// Creates a planner without orders.
    pub const fn new(config: configs::Planner, lease: Lease) -> Self {
        Self {
            config,
            lease,
            fence: None,
            pending: Vec::new(),
            effects: 0,
        }
    }

    /// Returns the number of orders whose effect was observed.
    pub const fn effect_count(&self) -> u64 {
        self.effects
    }

    /// Returns the engines with an order whose effect has not been observed yet.
    pub fn pending_servers(&self) -> Vec<Incarnation> {
        let servers = self
            .pending
            .iter()
            .map(|pending| pending.order.server.clone());
        servers.collect()
    }

    /// Records the models of the last order that an engine reported when it was polled at the given time.
    ///
    /// A pending order is removed if it can no longer take effect after that time and the engine has
    /// another order.
    pub fn record_target(&mut self, polled_at: Tick, server: &Incarnation, models: &[Name]) {
        let limit = self.lease.order_limit();
        self.pending.retain(|pending| {
            let is_expired = polled_at > pending.sent_at + limit;
            let is_replaced = pending.order.server == *server && pending.order.models != models;
            !(is_expired && is_replaced)
        });
    }

    /// Returns the lease, to set whether it is wanted.
    pub const fn lease(&mut self) -> &mut Lease {
        &mut self.lease
    }

    /// Handles an event of the lease and returns the actions to execute.
    pub fn handle(&mut self, now: Tick, event: lease::Event) -> Vec<lease::Action> {
        self.lease.handle(now, event)
    }

    /// Returns the fencing token if an order may be sent now.
    pub fn fence(&self, now: Tick) -> Option<u64> {
        self.lease.fence(now)
    }

    /// Returns the orders to send now; there are none without the lease.
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
        let engines = self.expected_engines(snapshot.engines);
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
        let idle = loads.filter(|load| !self.has_pending_order(&load.server));
        let chosen: Vec<Load> = first_load_per_engine(idle)
            .into_iter()
            .take(free_loads)
            .collect();
        chosen
            .into_iter()
            .map(|load| self.record_order(now, fence, load))
            .collect()
    }

    /// Removes orders whose effect was observed or whose effect timeout has passed.
    ///
    /// A planner that lost its lease still does this for its earlier orders, since no other planner counts
    /// their effects.
    pub fn remove_settled(&mut self, now: Tick, engines: &[Engine]) {
        let timeout = self.config.effect_timeout;
        let effects = &mut self.effects;
        self.pending.retain(|pending| {
            let found = engines.binary_search_by(|engine| engine.server.cmp(&pending.order.server));
            let Ok(at) = found else {
                return false;
            };
            let is_done = engines[at].models == pending.order.models;
            *effects += u64::from(is_done);
            !is_done && now - pending.sent_at < timeout
        });
    }

    /// Returns the engines with the models of their pending orders.
    fn expected_engines(&self, engines: &[Engine]) -> Vec<Engine> {
        let mut engines = engines.to_vec();
        for pending in &self.pending {
            let found = engines.binary_search_by(|engine| engine.server.cmp(&pending.order.server));
            if let Ok(at) = found {
                engines[at].models.clone_from(&pending.order.models);
            }
        }
        engines
    }

    fn has_pending_order(&self, server: &Incarnation) -> bool {
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

/// Returns the first load of each engine, as later ones depend on it.
fn first_load_per_engine(loads: impl Iterator<Item = Load>) -> Vec<Load> {
    let mut first: Vec<Load> = Vec::new();
    for load in loads {
        if first.iter().all(|kept| kept.server != load.server) {
            first.push(load);
        }
    }
    first
}
