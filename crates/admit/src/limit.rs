//! Rate limits of client accounts that hold over several entry instances.
//!
//! Each instance holds a share of every account's limit. Shares follow the demand that peers
//! report. Instances that cannot reach each other fall back to fixed shares per failure domain,
//! so that they neither refuse everything nor admit without a limit.

use core::time::Duration;

use base::{Name, Tick};

use crate::configs::limit::Config;

/// Another entry instance.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its failure domain.
    pub domain: Name,
    /// Whether it can be reached.
    pub is_reachable: bool,
    /// Its demand per account, sorted by account name.
    pub demands: Vec<Demand>,
}

/// The demand of an account at one instance.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The account.
    pub account: Name,
    /// Requests per second, including refused ones.
    pub rate: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    account: Name,
    rate: f64,
    burst: f64,
    /// The share of the limit that this instance may use, from 0 to 1.
    share: f64,
    tokens: f64,
    /// Requests per second at this instance, including refused ones.
    demand: f64,
    updated: Tick,
}

/// The rate limits of all accounts at one instance.
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
    /// Creates limits without accounts.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            buckets: Vec::new(),
        }
    }

    /// Sets the limit of an account over all instances, with `rate` in requests per second.
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

    /// Takes one request out of an account's limit; an account without a limit is unlimited.
    ///
    /// # Errors
    ///
    /// - The share is used up; the error is the time until a request is allowed again.
    pub fn try_acquire(&mut self, now: Tick, account: &Name) -> Result<(), Duration> {
        let Ok(at) = self.find(account) else {
            return Ok(());
        };
        let half_life = self.config.half_life;
        let bucket = &mut self.buckets[at];
        bucket.advance(now, half_life);
        // Each request adds ln 2 / half-life, so that the decaying sum converges to the request rate.
        bucket.demand += core::f64::consts::LN_2 / half_life.as_secs_f64();
        if bucket.tokens < 1.0 {
            let rate = (bucket.rate * bucket.share).max(f64::MIN_POSITIVE);
            let wait = ((1.0 - bucket.tokens) / rate).min(MAX_WAIT_SECONDS);
            return Err(Duration::from_secs_f64(wait));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Returns the demand to report to peers, sorted by account, without idle accounts.
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

    /// Recomputes the shares from the reports of peers; `peers` holds all other live instances.
    ///
    /// - A failure domain without a reachable instance keeps the fixed share of one domain, and this
    ///   instance shares the rest with its reachable peers.
    /// - An instance that reaches no other domain shares the fixed share of its own domain; if it
    ///   reaches no peer at all, it uses one instance's part of that share.
    /// - Part of the rest is split evenly, so that new demand is served immediately.
    pub fn rebalance(&mut self, now: Tick, own_domain: &Name, peers: &[Peer]) {
        let reachability = reachability(own_domain, peers);
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
                1.0 / reachability.instances
            };
            bucket.share =
                reachability.share * (even / reachability.instances + (1.0 - even) * demand_share);
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

/// Demand below which an account counts as idle.
const MIN_DEMAND_PER_SECOND: f64 = 0.01;

/// Maximum retry delay of a caller over its limit.
const MAX_WAIT_SECONDS: f64 = 60.0;

impl Bucket {
    fn advance(&mut self, now: Tick, half_life: Duration) {
        let elapsed = (now - self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed * self.rate * self.share).min(self.capacity());
        self.demand *= (-elapsed / half_life.as_secs_f64()).exp2();
    }

    /// Returns the maximum number of tokens, at least one, as a small share could never be used otherwise.
    fn capacity(&self) -> f64 {
        (self.burst * self.share).max(1.0)
    }
}

/// The instances that this one can reach.
struct Reachability {
    /// Number of reachable instances, including this one.
    instances: f64,
    /// The share of each limit that they have together.
    share: f64,
}

fn reachability(own_domain: &Name, peers: &[Peer]) -> Reachability {
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
    let own_domain_peers = || peers.iter().filter(|peer| peer.domain == *own_domain);
    let own_domain_reachable = 1 + own_domain_peers().filter(|peer| peer.is_reachable).count();
    let is_isolated = reachable_domains == 1 && domains.len() > 1;
    let own_share = if is_isolated {
        own_domain_reachable as f64 / (1 + own_domain_peers().count()) as f64
    } else {
        1.0
    };
    let instances = 1 + peers.iter().filter(|peer| peer.is_reachable).count();
    Reachability {
        instances: instances as f64,
        share: own_share * reachable_domains as f64 / domains.len() as f64,
    }
}

fn demand_of(peer: &Peer, account: &Name) -> f64 {
    peer.demands
        .binary_search_by(|demand| demand.account.cmp(account))
        .map_or(0.0, |at| peer.demands[at].rate)
}
