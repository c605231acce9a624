//! The table of pools from which one entry instance selects servers.

use core::time::Duration;
use std::net::SocketAddr;

use base::{Code, Incarnation, Name, Tick};
use thiserror::Error;

use crate::{choose::choose, configs::Config, event::Event, pool::Pool, server::Server};

/// The clock, randomness and failure domain that a selection uses.
pub struct Context<'a> {
    /// The current time.
    pub now: Tick,
    /// The random number generator.
    pub rng: &'a mut dyn rand::Rng,
    /// The failure domain of this instance.
    pub own_domain: &'a Name,
}

/// The requirements of a selection.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The pool.
    pub pool: &'a str,
    /// The digest of the prompt prefix, if there is one.
    pub prefix: Option<u64>,
    /// Number of tokens of the prefix, whose prefill a cache hit saves.
    pub prefill_tokens: u32,
    /// Servers that must not be selected, such as those already tried.
    pub exclude: &'a [Incarnation],
    /// Whether the server must have no other attempt of this instance in flight.
    pub exclusive: bool,
}

impl<'a> Request<'a> {
    /// Creates a request for any server of a pool.
    pub const fn any(pool: &'a str) -> Self {
        Self {
            pool,
            prefix: None,
            prefill_tokens: 0,
            exclude: &[],
            exclusive: false,
        }
    }
}

/// The selected server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub incarnation: Incarnation,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The expected waiting time in its queue.
    pub expected_wait: Duration,
    /// The expected time until the attempt ends.
    pub expected_latency: Duration,
    /// Whether it is believed to hold the prefix.
    pub cached: bool,
}

/// The capacity of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Batch slots of its usable servers; a failing server counts as one slot while a probe of it is
    /// due.
    pub slots: u32,
    /// Time until the pool may be available again, if it has no slot.
    pub retry_after: Duration,
}

/// The reason why no server was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{code}; try again in {retry_after:?}")]
pub struct Error {
    /// The result code.
    pub code: Code,
    /// Time after which a retry may succeed; randomized, so that callers don't retry at the same time.
    pub retry_after: Duration,
}

/// All pools, with the state of their servers.
///
/// # Examples
///
/// ```
/// use base::{Incarnation, Name, Stamp, Tick};
/// use rand::{SeedableRng, rngs::SmallRng};
/// use route::{Context, Request, Server, Table};
///
/// let server = Server {
///     incarnation: Incarnation::new("runner-1", Stamp::from_millis(1)),
///     domain: Name::from("north"),
///     address: "127.0.0.1:9000".parse().unwrap(),
///     concurrency: 8,
///     leaving: false,
/// };
/// let mut table = Table::default();
/// table.set_servers("runners", &[server.clone()]);
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut cx = Context { now: Tick::default(), rng: &mut rng, own_domain: &server.domain };
/// let choice = table.pick(&mut cx, &Request::any("runners")).unwrap();
/// assert_eq!(choice.incarnation, server.incarnation);
/// assert!(table.pick(&mut cx, &Request::any("encoders")).is_err());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Table {
    config: Config,
    pools: Vec<Pool>,
}

impl Table {
    /// Creates an empty table.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            pools: Vec::new(),
        }
    }

    /// Sets the servers of a pool; each server belongs to one pool.
    ///
    /// - A server missing from the list keeps its attempts in flight until they end and gets no new ones.
    /// - A server that is leaving stays so, even if a later list says otherwise.
    pub fn set_servers(&mut self, pool: &str, servers: &[Server]) {
        let at = match self.find(pool) {
            Ok(at) => at,
            Err(at) => {
                self.pools
                    .insert(at, Pool::new(&self.config, Name::from(pool)));
                at
            }
        };
        self.pools[at].set_servers(servers);
    }

    /// Selects a server; the caller then reports [`Event::Started`].
    ///
    /// # Errors
    ///
    /// - The pool is unknown or has no server that may be used now.
    /// - Every usable server is excluded, or busy while the request is `exclusive`.
    pub fn pick(&mut self, cx: &mut Context<'_>, request: &Request<'_>) -> Result<Choice, Error> {
        let Ok(at) = self.find(request.pool) else {
            return Err(Error {
                code: Code::StageUnavailable,
                retry_after: self.config.health.backoff_max,
            });
        };
        let pool = &mut self.pools[at];
        pool.eject_slow(&self.config, cx.now);
        choose(&self.config, pool, cx, request)
    }

    /// Handles an event; an event about an unknown server or attempt is ignored.
    pub fn handle(&mut self, now: Tick, event: Event) {
        let config = &self.config;
        let found = self.pools.iter_mut().find_map(|pool| {
            let at = pool.find(event.server()).ok()?;
            Some((pool, at))
        });
        let Some((pool, at)) = found else {
            return;
        };
        let state = &mut pool.servers[at];
        match event {
            Event::Started {
                attempt, prefix, ..
            } => pool.record_start(config, now, at, attempt, prefix),
            Event::FirstByte { .. } => {}
            Event::Finished {
                attempt, elapsed, ..
            } => {
                pool.record_success(config, now, at, attempt, elapsed);
            }
            Event::Failed { attempt, kind, .. } => {
                pool.record_failure(config, now, at, attempt, kind)
            }
            Event::Load {
                running,
                waiting,
                age,
                ..
            } => state.record_load(now, running.saturating_add(waiting), age),
            Event::Cache { seq, change, .. } => state.index.apply(&config.cache, seq, change),
            Event::CacheMiss { prefix, .. } => state.record_cache_miss(config, prefix),
            Event::Leaving { .. } => state.server.leaving = true,
        }
        let state = &pool.servers[at];
        if !state.is_present && state.in_flight() == 0 {
            pool.remove_drained();
        }
    }

    /// Returns the current capacity of a pool, which is zero for an unknown pool.
    pub fn capacity(&self, now: Tick, pool: &str) -> Capacity {
        self.find(pool).map_or(
            Capacity {
                slots: 0,
                retry_after: self.config.health.backoff_max,
            },
            |at| self.pools[at].capacity(&self.config, now),
        )
    }

    /// Returns the pools, sorted by name.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    fn find(&self, pool: &str) -> Result<usize, usize> {
        self.pools
            .binary_search_by(|item| item.name.as_str().cmp(pool))
    }
}
