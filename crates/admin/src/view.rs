//! Content of the read views.

use base::{Digest, Name, Stamp};
use bundle::{
    Position,
    content::{Account, Kind, Limits, Pipeline, Pool},
};
use serde::Serialize;

/// A read view with the instance that serves it and that instance's bundle.
#[derive(Clone, Debug, Serialize)]
pub struct Snapshot<T> {
    /// The name and the start time of the instance.
    pub instance: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The instance's wall-clock time.
    pub at_ms: Stamp,
    /// The bundle in force at this instance.
    pub bundle: Option<Position>,
    /// The time since the configuration log was last read to its end; none before the first time.
    pub bundle_age_ms: Option<u64>,
    /// The content of the view.
    #[serde(flatten)]
    pub content: T,
}

/// Client accounts.
#[derive(Clone, Debug, Serialize)]
pub struct Accounts {
    /// The accounts, sorted by name.
    pub accounts: Vec<Rate>,
}

/// The rates of a client account by the bundle; its token's digest is not shown.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Rate {
    /// The name.
    pub name: Name,
    /// Requests per second over all entry instances.
    pub requests_per_second: f64,
    /// The burst size: requests at once after an idle time.
    pub burst_requests: u32,
    /// The share of capacity under contention, relative to the other accounts.
    pub weight: u32,
}

impl Rate {
    /// Returns the view of an account.
    pub(crate) fn from_account(account: &Account) -> Self {
        Self {
            name: account.name.clone(),
            requests_per_second: account.requests_per_second,
            burst_requests: account.burst_requests,
            weight: account.weight,
        }
    }
}

/// Pipelines.
#[derive(Clone, Debug, Serialize)]
pub struct Pipelines {
    /// The pipelines, sorted by name.
    pub pipelines: Vec<Pipeline>,
}

/// Pools.
#[derive(Clone, Debug, Serialize)]
pub struct Pools {
    /// The pools, sorted by name.
    pub pools: Vec<Members>,
}

/// A pool and its backend servers.
#[derive(Clone, Debug, Serialize)]
pub struct Members {
    /// The name.
    pub name: Name,
    /// The kind of the servers.
    pub kind: Kind,
    /// Requests that one server processes concurrently.
    pub concurrency: u32,
    /// Whether the servers reject orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// The memory of one server for weights, in bytes; 0 if each server holds all models.
    pub memory_bytes: u64,
    /// The models that the servers can load, sorted.
    pub models: Vec<Name>,
    /// Whether the servers report their load.
    pub reports_load: bool,
    /// The servers known to this instance.
    pub servers: Vec<Server>,
}

impl Members {
    /// Returns the view of a pool with those of the known servers that belong to it.
    pub(crate) fn from_pool(pool: &Pool, servers: &[Server]) -> Self {
        let members = servers.iter().filter(|server| server.pool == pool.name);
        Self {
            name: pool.name.clone(),
            kind: pool.kind,
            concurrency: pool.concurrency,
            checks_fencing: pool.checks_fencing,
            memory_bytes: pool.memory_bytes,
            models: pool.models.clone(),
            reports_load: pool.reports_load,
            servers: members.cloned().collect(),
        }
    }
}

/// A backend server that this instance knows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Server {
    /// Its pool.
    #[serde(skip)]
    pub pool: Name,
    /// The name and the start time.
    pub incarnation: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its HTTP address.
    pub address: Name,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    /// The load that it reported last; none if it reports no load.
    pub load: Option<Load>,
}

/// The load that a backend server reported.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Load {
    /// The number of running calls.
    pub running: u32,
    /// The number of queued calls.
    pub waiting: u32,
    /// The age of the measurement.
    pub age_ms: u64,
}

/// The work in flight at this instance.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InFlight {
    /// Requests that callers are waiting for.
    pub requests: u64,
    /// All requests, including deferred ones, and background records; a graceful stop waits for them.
    pub with_background: u64,
    /// Whether the instance is stopping.
    pub stopping: bool,
}

/// Request contents suspected of crashing backend servers.
#[derive(Clone, Debug, Serialize)]
pub struct Suspects {
    /// The contents, sorted by digest.
    pub suspects: Vec<Suspect>,
}

/// A request content suspected of crashing backend servers.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Suspect {
    /// The digest over client account, pipeline and body.
    pub digest: Digest,
    /// The number of backend servers that crashed with it since it was last cleared.
    pub crashed: u64,
    /// The number of times that it was cleared by completing.
    pub cleared: u32,
    /// How a request with this content is handled.
    pub verdict: Verdict,
}

/// How a request with a suspected content is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It runs alone on its server.
    Alone,
    /// It runs like any other request.
    Free,
    /// It is refused.
    Refused,
}

/// The limits and the demand of other instances.
#[derive(Clone, Debug, Serialize)]
pub struct Bounds {
    /// Limits that hold for every pipeline; none before a bundle is in force.
    pub limits: Option<Limits>,
    /// The client accounts' demand that the other instances reported.
    pub others: Vec<Demand>,
}

/// The demand of a client account that another instance reported.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Demand {
    /// The failure domain of the other instance.
    pub domain: Name,
    /// Whether the other instance is reachable.
    pub heard: bool,
    /// The client account.
    pub account: Name,
    /// Requests per second that the account sent to it.
    pub requests_per_second: f64,
}
