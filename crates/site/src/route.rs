//! One route: which requests it takes and how they are served.

use core::time::Duration;

use base::Name;

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// The beginning of the paths it takes; begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: Kind,
    /// Whether a stream may go on at another backend server after its last event.
    pub resumable: bool,
    /// The longest time that the operator wants a caller kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub objective: Duration,
    /// The longest pause between events of a stream that is on time.
    pub max_event_gap: Duration,
    /// The route's rank; 0 goes first.
    pub priority: u8,
    /// The pools that serve it, with their weights.
    pub pools: Vec<(Name, u32)>,
    /// The most backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Work to be done before the request can run.
    pub stages: Vec<Stage>,
    /// Whether no key is needed.
    pub public: bool,
}

/// What of a route's requests may be repeated.
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

/// What goes first: the client account's priority, and among equals the route's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The account's priority, or the route's where the account has none; 0 goes first.
    pub account: u8,
    /// The route's priority; 0 goes first.
    pub route: u8,
}

impl Rank {
    /// Returns the rank of a route's requests of an account.
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
    /// The pool that works on it.
    pub pool: Name,
    /// The stages whose results it needs.
    pub depends_on: Vec<usize>,
    /// The usual size of a result, in bytes.
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
        }
    }
}

impl Route {
    /// Tells whether a request that may have run may be sent again.
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

    /// Returns the stages that no other stage follows.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> {
        (0..self.stages.len()).filter(|at| !self.stages.iter().any(|s| s.depends_on.contains(at)))
    }

    /// Returns how many stages in a row still follow a stage.
    pub fn depth_after(&self, stage: usize) -> u32 {
        let next = (0..self.stages.len()).filter(|at| self.stages[*at].depends_on.contains(&stage));
        next.map(|at| 1 + self.depth_after(at)).max().unwrap_or(0)
    }

    /// Returns the pool for a draw from 0 to 1.
    pub fn pool(&self, draw: f64) -> Option<&Name> {
        let total: u32 = self.pools.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (name, weight) in &self.pools {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(name);
            }
        }
        self.pools.last().map(|(name, _)| name)
    }
}
