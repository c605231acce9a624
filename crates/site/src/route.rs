//! Routes: which requests they match and how these are served.

use core::time::Duration;

use base::Name;

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Name,
    /// The host that requests are sent to.
    pub host: Name,
    /// The path prefix that the route matches; starts and ends with a slash.
    pub prefix: Name,
    /// Which requests may be retried.
    pub kind: Kind,
    /// Whether a stream may resume on another backend server after its last event.
    pub resumable: bool,
    /// The longest time that a caller may be kept waiting.
    pub timeout: Duration,
    /// The target time for an answer or for the first event of a stream.
    pub objective: Duration,
    /// The longest pause between events at which a stream is on time.
    pub max_event_gap: Duration,
    /// The route's priority; 0 goes first.
    pub priority: u8,
    /// The pools that serve the route, with their weights.
    pub pools: Vec<(Name, u32)>,
    /// The maximum number of backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// The stages that run before the request itself.
    pub stages: Vec<Stage>,
    /// Whether no key is needed.
    pub public: bool,
    /// The regions whose servers may get the requests; empty without a restriction.
    pub allowed_regions: Vec<Name>,
}

/// Which of a route's requests may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// Answers are streams of events.
    Streaming,
    /// Requests run at most once.
    #[default]
    AtMostOnce,
}

/// The rank of a request: the client account's priority, and among equals the route's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The account's priority, or the route's if the account has none; 0 goes first.
    pub account: u8,
    /// The route's priority; 0 goes first.
    pub route: u8,
}

impl Rank {
    /// Returns the rank for the priorities of an account and a route.
    ///
    /// # Examples
    ///
    /// ```
    /// use site::route::Rank;
    /// assert!(Rank::new(Some(0), 2) < Rank::new(None, 1));
    /// assert!(Rank::new(Some(1), 0) < Rank::new(Some(1), 2));
    /// ```
    pub fn new(account: Option<u8>, route: u8) -> Self {
        Self {
            account: account.unwrap_or(route),
            route,
        }
    }
}

/// One stage of a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stage {
    /// The pool that runs the stage.
    pub pool: Name,
    /// The indexes of the stages whose results it reads.
    pub depends_on: Vec<usize>,
    /// The typical size of a result, in bytes.
    pub result_bytes: u64,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            name: Name::default(),
            host: Name::default(),
            prefix: Name::default(),
            kind: Kind::default(),
            resumable: false,
            timeout: Duration::from_secs(10),
            objective: Duration::from_secs(1),
            max_event_gap: Duration::from_secs(1),
            priority: 0,
            pools: Vec::new(),
            max_attempts: 1,
            stages: Vec::new(),
            public: false,
            allowed_regions: Vec::new(),
        }
    }
}

impl Route {
    /// Returns whether a request that may have run may be sent again.
    ///
    /// # Examples
    ///
    /// ```
    /// use site::{Route, route::Kind};
    /// let route = Route { kind: Kind::Streaming, resumable: true, ..Route::default() };
    /// assert!(route.is_repeatable());
    /// assert!(!Route::default().is_repeatable());
    /// ```
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::AtMostOnce => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Returns the stages that no other stage depends on.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> {
        (0..self.stages.len()).filter(|at| !self.stages.iter().any(|s| s.depends_on.contains(at)))
    }

    /// Returns the length of the longest chain of stages that depend on a stage.
    pub fn depth_after(&self, stage: usize) -> u32 {
        let next = (0..self.stages.len()).filter(|at| self.stages[*at].depends_on.contains(&stage));
        next.map(|at| 1 + self.depth_after(at)).max().unwrap_or(0)
    }

    /// Returns whether requests of the route may go to a pool.
    pub fn allows_pool(&self, pool: &Name) -> bool {
        let mut pools = self.pools.iter();
        pools.any(|(name, weight)| name == pool && *weight > 0)
    }

    /// Returns the pool for a random number from 0 to 1, by weight.
    pub fn pool(&self, draw: f64) -> Option<&Name> {
        let total: u32 = self.pools.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * f64::from(total);
        for (name, weight) in &self.pools {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(name);
            }
        }
        self.pools.last().map(|(name, _)| name)
    }
}
