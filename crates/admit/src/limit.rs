//! Limits of client accounts that hold over several entry instances.
//!
//! Each instance holds a share of every account's limit. Shares follow the demand that peers
//! report. Instances that can't hear each other fall back on fixed shares, by failure domain:
//! neither nothing nor without limit.

use core::time::Duration;

use base::{Name, Tick};

use crate::configs::limit::Config;

/// An entry instance as another one sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its failure domain.
    pub domain: Name,
    /// Whether it is heard.
    pub is_reachable: bool,
    /// Requests a second that it was asked for, by account, sorted by name.
    pub demands: Vec<Demand>,
}

/// Requests a second that an account asked of one instance.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The account.
    pub account: Name,
    /// Requests a second, refused ones included.
    pub rate: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    account: Name,
    rate: f64,
    burst: f64,
    share: f64,
    tokens: f64,
    demand: f64,
    updated: Tick,
}

/// The limits of every account at one instance.
///
/// # Examples
///
/// ```
/// use admit::limit::Limits;
/// use base::Tick;
///
/// let mut limits = Limits::default();
/// limits.set(&"press".into(), 1.0, 1);
/// assert!(limits.try_acquire(Tick::default(), &"press".into()).is_ok());
/// assert!(limits.try_acquire(Tick::default(), &"press".into()).is_err());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limits {
    config: Config,
    buckets: Vec<Bucket>,
}

impl Limits {
    /// Makes limits with settings.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            buckets: Vec::new(),
        }
    }

    /// Sets the limit of an account over all instances.
    pub fn set(&mut self, account: &Name, rate: f64, burst: u32) {
        let burst = f64::from(burst.max(1));
        match self.find(account) {
            Ok(at) => {
                self.buckets[at].rate = rate;
                self.buckets[at].burst = burst;
            }
            Err(at) => {
                let bucket = Bucket {
                    account: account.clone(),
                    rate,
                    burst,
                    share: 1.0,
                    tokens: burst,
                    demand: 0.0,
                    updated: Tick::default(),
                };
                self.buckets.insert(at, bucket);
            }
        }
    }

    /// Takes one request of an account's limit; an account without a limit is not bounded.
    ///
    /// # Errors
    ///
    /// - The share is used up: returns when it has room again.
    pub fn try_acquire(&mut self, now: Tick, account: &Name) -> Result<(), Duration> {
        let Ok(at) = self.find(account) else {
            return Ok(());
        };
        let half_life = self.config.half_life;
        let bucket = &mut self.buckets[at];
        bucket.advance(now, half_life);
        bucket.demand += core::f64::consts::LN_2 / half_life.as_secs_f64();
        if bucket.tokens < 1.0 {
            let rate = (bucket.rate * bucket.share).max(f64::MIN_POSITIVE);
            let wait = ((1.0 - bucket.tokens) / rate).min(MAX_WAIT_SECONDS);
            return Err(Duration::from_secs_f64(wait));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Returns the demand to report to peers, sorted by account; idle accounts are left out.
    pub fn demands(&mut self, now: Tick) -> Vec<Demand> {
        let half_life = self.config.half_life;
        self.buckets
            .iter_mut()
            .filter_map(|bucket| {
                bucket.advance(now, half_life);
                (bucket.demand > MIN_DEMAND_PER_SECOND).then(|| Demand {
                    account: bucket.account.clone(),
                    rate: bucket.demand,
                })
            })
            .collect()
    }

    /// Works out shares anew from what peers reported; `peers` holds every other live instance.
    ///
    /// - A failure domain of which nobody is heard keeps the fixed share of one domain, and this
    ///   instance shares the rest with the peers it hears.
    /// - An instance that hears no other domain shares the fixed share of its own domain; if it
    ///   hears nobody at all, it takes one instance's part of that.
    /// - Part of the rest is split evenly, so that a new demand starts at once.
    pub fn rebalance(&mut self, now: Tick, own_domain: &Name, peers: &[Peer]) {
        let reach = reach(own_domain, peers);
        let even = self.config.even_share;
        let half_life = self.config.half_life;
        for bucket in &mut self.buckets {
            bucket.advance(now, half_life);
            let others: f64 = peers
                .iter()
                .filter(|peer| peer.is_reachable)
                .map(|peer| demand_of(peer, &bucket.account))
                .sum();
            let total = bucket.demand + others;
            let demand_share = if total > MIN_DEMAND_PER_SECOND {
                bucket.demand / total
            } else {
                1.0 / reach.instances
            };
            bucket.share = reach.share * (even / reach.instances + (1.0 - even) * demand_share);
            bucket.tokens = bucket.tokens.min(bucket.capacity());
        }
    }

    /// Returns this instance's share of an account's limit, from 0 to 1.
    pub fn share(&self, account: &Name) -> Option<f64> {
        self.find(account).ok().map(|at| self.buckets[at].share)
    }

    fn find(&self, account: &Name) -> Result<usize, usize> {
        self.buckets
            .binary_search_by(|bucket| bucket.account.cmp(account))
    }
}

/// Demand, in requests a second, below which an account counts as idle.
const MIN_DEMAND_PER_SECOND: f64 = 0.01;

/// The longest time that a caller over its limit is told to wait, in seconds.
const MAX_WAIT_SECONDS: f64 = 60.0;

impl Bucket {
    fn advance(&mut self, now: Tick, half_life: Duration) {
        let elapsed = (now - self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed * self.rate * self.share).min(self.capacity());
        self.demand *= (-elapsed / half_life.as_secs_f64()).exp2();
    }

    /// Returns the most tokens held; at least one, or a small share could never be used.
    fn capacity(&self) -> f64 {
        (self.burst * self.share).max(1.0)
    }
}

struct Reach {
    /// Instances heard, this one included.
    instances: f64,
    /// The part of each limit that they share.
    share: f64,
}

fn reach(own_domain: &Name, peers: &[Peer]) -> Reach {
    let mut domains: Vec<&Name> = peers.iter().map(|peer| &peer.domain).collect();
    domains.push(own_domain);
    domains.sort();
    domains.dedup();
    let is_reachable = |domain: &&&Name| {
        **domain == own_domain
            || peers
                .iter()
                .any(|peer| peer.is_reachable && peer.domain == ***domain)
    };
    let reachable_domains = domains.iter().filter(is_reachable).count();
    let own = || peers.iter().filter(|peer| peer.domain == *own_domain);
    let own_reachable = 1 + own().filter(|peer| peer.is_reachable).count();
    let is_isolated = reachable_domains == 1 && domains.len() > 1;
    let own_share = if is_isolated {
        own_reachable as f64 / (1 + own().count()) as f64
    } else {
        1.0
    };
    let instances = 1 + peers.iter().filter(|peer| peer.is_reachable).count();
    Reach {
        instances: instances as f64,
        share: own_share * reachable_domains as f64 / domains.len() as f64,
    }
}

fn demand_of(peer: &Peer, account: &Name) -> f64 {
    peer.demands
        .binary_search_by(|demand| demand.account.cmp(account))
        .map_or(0.0, |at| peer.demands[at].rate)
}
