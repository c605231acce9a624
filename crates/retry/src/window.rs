//! A retry limit that holds for the sum over all instances without coordination.

use core::time::Duration;
use std::collections::VecDeque;

use base::{Name, Tick};

/// The retry limit of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of all instances together.
    pub slack: f64,
    /// The length of the sliding window in which both are counted.
    pub span: Duration,
}

/// The share of the ratio that is used; the rest covers calls that are counted elsewhere and later.
const RATIO_SHARE: f64 = 0.75;

/// The share of the slack that all instances together use.
const SLACK_SHARE: f64 = 0.5;

/// Limits the retries of one instance, per pool, by its own requests and its share of the slack.
///
/// An instance counts what it sent in the window. The requests of all instances add up to all requests, and
/// their shares add up to at most the slack. So the sum of retries stays within the limit even if instances
/// can't communicate.
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
    /// Creates a window without requests.
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

    /// Records a request for a pool.
    pub fn record_request(&mut self, now: Tick, pool: &Name) {
        let span = self.bound.span;
        let pool = self.pool(now, pool);
        pool.requests.push_back(now);
        while pool.requests.front().is_some_and(|at| now - *at > span) {
            pool.requests.pop_front();
        }
    }

    /// Records a retry and returns `true` if the limit allows it; `instances` is the number of instances that
    /// share the slack.
    pub fn try_retry(&mut self, now: Tick, pool: &Name, instances: usize) -> bool {
        let bound = self.bound;
        let pool = self.pool(now, pool);
        let requests = pool.requests.iter().filter(|at| now - **at <= bound.span);
        let quota = bound.ratio * RATIO_SHARE * requests.count() as f64;
        let slack = bound.slack * SLACK_SHARE / instances.max(1) as f64;
        if pool.retries.len() as f64 + 1.0 > quota + slack {
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
