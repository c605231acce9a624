//! Orders what the plan wants, where this instance holds the lease.
//!
//! An order is counted as done only once the engine was seen to hold what it names. What an engine
//! holds beside that, because a replaced planner's order came late, is seen too, and planned anew.

use base::{Incarnation, Name, Tick};

use crate::{
    configs,
    lease::{self, Lease},
    order::{Engine, Order, Sent},
    plan::{self, Load, Model, View},
};

/// How many loads are looked ahead to find some for engines that are idle.
const PLAN_LIMIT: usize = 32;

/// What a planner knows of the domain at a moment.
#[derive(Clone, Debug)]
pub struct Domain<'a> {
    /// The models with their demand, sorted by name.
    pub models: &'a [Model],
    /// The engines as observed, sorted by server.
    pub engines: &'a [Engine],
    /// Bytes a second that the weight store gives to one load.
    pub store_rate: f64,
}

/// One instance's planner.
#[derive(Clone, Debug)]
pub struct Planner {
    config: configs::Planner,
    lease: Lease,
    fence: Option<u64>,
    sent: Vec<Sent>,
    effects: u64,
}

impl Planner {
    /// Returns a planner that has ordered nothing.
    pub const fn open(config: configs::Planner, lease: Lease) -> Self {
        Self {
            config,
            lease,
            fence: None,
            sent: Vec::new(),
            effects: 0,
        }
    }

    /// Returns how many orders were seen to have had their effect.
    pub const fn effects(&self) -> u64 {
        self.effects
    }

    /// Returns the engines whose orders were not seen to have their effect yet.
    pub fn busy(&self) -> Vec<Incarnation> {
        let servers = self.sent.iter().map(|sent| sent.order.server.clone());
        servers.collect()
    }

    /// Takes note of what an engine, asked at an instant, said that its last order wanted.
    ///
    /// An order that took effect by then, or never will, and that another one replaced is not waited
    /// for any longer.
    pub fn wanted(&mut self, asked: Tick, server: &Incarnation, models: &[Name]) {
        let limit = self.lease.order_limit();
        self.sent.retain(|sent| {
            let is_late = asked > sent.at + limit;
            let is_replaced = sent.order.server == *server && sent.order.models != models;
            !(is_late && is_replaced)
        });
    }

    /// Returns the lease, to say whether it is wanted.
    pub const fn lease(&mut self) -> &mut Lease {
        &mut self.lease
    }

    /// Takes an event of the lease and returns what is to be done.
    pub fn on(&mut self, now: Tick, event: lease::Event) -> Vec<lease::Action> {
        self.lease.on(now, event)
    }

    /// Returns the fencing number if an order with it may be sent at this moment.
    pub fn permit(&self, now: Tick) -> Option<u64> {
        self.lease.permit(now)
    }

    /// Returns the orders to send now; none without the lease.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Incarnation, Stamp, Tick};
    /// use place::{configs, lease::Lease, planner::{Domain, Planner}};
    /// let holder = Incarnation::new("entry-1", Stamp::from_millis(5));
    /// let lease = Lease::open(configs::Lease::default(), holder, true);
    /// let mut planner = Planner::open(configs::Planner::default(), lease);
    /// let domain = Domain { models: &[], engines: &[], store_rate: 1.0 };
    /// assert!(planner.orders(Tick::from_millis(1), &domain).is_empty());
    /// ```
    pub fn orders(&mut self, now: Tick, domain: &Domain<'_>) -> Vec<Order> {
        let Some(fence) = self.permit(now) else {
            self.sent.clear();
            return Vec::new();
        };
        if self.fence.replace(fence).is_none() {
            self.sent.clear();
        }
        self.settle(now, domain.engines);
        let engines = self.expected(domain.engines);
        let view = View {
            models: domain.models,
            engines: &engines,
            store_rate: domain.store_rate,
        };
        let free = self.config.loads.saturating_sub(self.sent.len());
        if free == 0 {
            return Vec::new();
        }
        let loads = plan::loads(&view, PLAN_LIMIT).into_iter();
        let idle = loads.filter(|load| !self.is_busy(&load.server));
        let chosen: Vec<Load> = first_of_each(idle).into_iter().take(free).collect();
        chosen
            .into_iter()
            .map(|load| self.order(now, fence, load))
            .collect()
    }

    /// Forgets the orders whose effect was seen, or whose effect is not waited for any longer.
    ///
    /// A planner that lost its lease settles what it ordered before, as nobody else counts that.
    pub fn settle(&mut self, now: Tick, engines: &[Engine]) {
        let limit = self.config.settle_limit;
        let effects = &mut self.effects;
        self.sent.retain(|sent| {
            let found = engines.binary_search_by(|engine| engine.server.cmp(&sent.order.server));
            let Ok(at) = found else {
                return false;
            };
            let is_done = engines[at].models == sent.order.models;
            *effects += u64::from(is_done);
            !is_done && now - sent.at < limit
        });
    }

    /// Returns the engines with what they were ordered to hold.
    fn expected(&self, engines: &[Engine]) -> Vec<Engine> {
        let mut engines = engines.to_vec();
        for sent in &self.sent {
            let found = engines.binary_search_by(|engine| engine.server.cmp(&sent.order.server));
            if let Ok(at) = found {
                engines[at].models.clone_from(&sent.order.models);
            }
        }
        engines
    }

    fn is_busy(&self, server: &Incarnation) -> bool {
        self.sent.iter().any(|sent| sent.order.server == *server)
    }

    fn order(&mut self, now: Tick, fence: u64, load: Load) -> Order {
        let order = Order {
            fence,
            server: load.server,
            models: load.models,
        };
        self.sent.push(Sent {
            order: order.clone(),
            at: now,
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
