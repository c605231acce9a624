//! A bound on repeats that holds for the sum over all instances without any message.

use core::time::Duration;
use std::collections::VecDeque;

use base::{Name, Tick};

/// How the bound is stated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, of all instances together.
    pub slack: f64,
    /// The span over which both are counted.
    pub span: Duration,
}

/// The share of the stated ratio that is used; the rest covers calls that are counted elsewhere later.
const RATIO_SHARE: f64 = 0.75;

/// The share of the slack that all instances use together.
const SLACK_SHARE: f64 = 0.5;

/// Repeats of one instance by pool, within its own requests and its share of the slack.
///
/// An instance counts what it sent in the last span. As the sum of the instances' own requests are all
/// requests and the sum of their shares is at most the slack, the sum of repeats stays within the bound
/// also when instances can't hear each other.
#[derive(Clone, Debug)]
pub struct Window {
    bound: Bound,
    pools: Vec<Pool>,
}

#[derive(Clone, Debug)]
struct Pool {
    name: Name,
    requests: VecDeque<Tick>,
    retries: VecDeque<Tick>,
}

impl Window {
    /// Opens a window.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// use retry::{Window, window::Bound};
    /// let bound = Bound { ratio: 0.2, slack: 8.0, span: Duration::from_secs(10) };
    /// let mut window = Window::new(bound);
    /// assert!(window.try_retry(Tick::default(), &"ledger".into(), 4));
    /// assert!(!window.try_retry(Tick::default(), &"ledger".into(), 4));
    /// ```
    pub const fn new(bound: Bound) -> Self {
        Self {
            bound,
            pools: Vec::new(),
        }
    }

    /// Counts a request for a pool.
    pub fn record_request(&mut self, now: Tick, pool: &Name) {
        let span = self.bound.span;
        let pool = self.pool(now, pool);
        pool.requests.push_back(now);
        while pool.requests.front().is_some_and(|at| now - *at > span) {
            pool.requests.pop_front();
        }
    }

    /// Takes the leave for one repeat, where `instances` share the slack.
    pub fn try_retry(&mut self, now: Tick, pool: &Name, instances: usize) -> bool {
        let bound = self.bound;
        let pool = self.pool(now, pool);
        let requests = pool.requests.iter().filter(|at| now - **at <= bound.span);
        let own = bound.ratio * RATIO_SHARE * requests.count() as f64;
        let slack = bound.slack * SLACK_SHARE / instances.max(1) as f64;
        if pool.retries.len() as f64 + 1.0 > own + slack {
            return false;
        }
        pool.retries.push_back(now);
        true
    }

    fn pool(&mut self, now: Tick, name: &Name) -> &mut Pool {
        let span = self.bound.span;
        let at = match self.pools.binary_search_by(|pool| pool.name.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                let pool = Pool {
                    name: name.clone(),
                    requests: VecDeque::new(),
                    retries: VecDeque::new(),
                };
                self.pools.insert(at, pool);
                at
            }
        };
        let pool = &mut self.pools[at];
        while pool.retries.front().is_some_and(|at| now - *at > span) {
            pool.retries.pop_front();
        }
        pool
    }
}
