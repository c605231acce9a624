//! What the read views show.

use base::{Digest, Name, Stamp};
use bundle::{
    Position,
    content::{Account, Kind, Limits, Pipeline, Pool},
};
use serde::Serialize;

/// A read view: what one instance knows, and which instance that is.
#[derive(Clone, Debug, Serialize)]
pub struct Snapshot<T> {
    /// The name and the start of the instance.
    pub instance: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The instance's time.
    pub at_ms: Stamp,
    /// The bundle in force here.
    pub bundle: Option<Position>,
    /// The time since the log's configuration was last read to its end; none before the first time.
    pub bundle_age_ms: Option<u64>,
    /// What is shown.
    #[serde(flatten)]
    pub content: T,
}

/// Client accounts.
#[derive(Clone, Debug, Serialize)]
pub struct Accounts {
    /// The accounts, sorted by name.
    pub accounts: Vec<Rate>,
}

/// What the bundle gives a client account; its token's digest is not shown.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Rate {
    /// The name.
    pub name: Name,
    /// Requests a second over all entry instances.
    pub requests_per_second: f64,
    /// Requests at once after a pause.
    pub burst_requests: u32,
    /// The share of capacity under contention, relative to the other accounts.
    pub weight: u32,
}

impl Rate {
    /// Returns what a view shows of an account.
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
    /// What the servers do.
    pub kind: Kind,
    /// Requests that one server works on at once.
    pub concurrency: u32,
    /// Whether the servers refuse an order that carries an old fencing number.
    pub checks_fencing: bool,
    /// The bytes of weights that one server can hold; 0 where each holds every model.
    pub memory_bytes: u64,
    /// The models that the servers may hold, sorted.
    pub models: Vec<Name>,
    /// Whether the servers report their load.
    pub reports_load: bool,
    /// The servers known here.
    pub servers: Vec<Server>,
}

impl Members {
    /// Returns what a view shows of a pool.
    pub(crate) fn from_pool(pool: &Pool, known: &[Server]) -> Self {
        let own = known.iter().filter(|server| server.pool == pool.name);
        Self {
            name: pool.name.clone(),
            kind: pool.kind,
            concurrency: pool.concurrency,
            checks_fencing: pool.checks_fencing,
            memory_bytes: pool.memory_bytes,
            models: pool.models.clone(),
            reports_load: pool.reports_load,
            servers: own.cloned().collect(),
        }
    }
}

/// A backend server as this instance knows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Server {
    /// Its pool.
    #[serde(skip)]
    pub pool: Name,
    /// The name and the start of this life.
    pub incarnation: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes HTTP.
    pub address: Name,
    /// Whether it takes nothing new.
    pub leaving: bool,
    /// The load that it reported last; none where it reports none.
    pub load: Option<Load>,
}

/// The load that a backend server reported.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Load {
    /// Calls that it worked on.
    pub running: u32,
    /// Calls that waited in it.
    pub waiting: u32,
    /// How long ago that was measured.
    pub age_ms: u64,
}

/// What is in flight here.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InFlight {
    /// Requests that callers wait for.
    pub requests: u64,
    /// The same with deferred requests and background records, which an orderly stop waits for.
    pub with_background: u64,
    /// Whether the instance is stopping.
    pub stopping: bool,
}

/// Contents that are suspected of crashing backend servers.
#[derive(Clone, Debug, Serialize)]
pub struct Suspects {
    /// The contents, sorted by digest.
    pub suspects: Vec<Suspect>,
}

/// A content that is suspected of crashing backend servers.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Suspect {
    /// The digest over client account, pipeline and body.
    pub digest: Digest,
    /// The backend servers that died with it since it was last cleared.
    pub crashed: u64,
    /// How often it was cleared by completing.
    pub cleared: u32,
    /// What becomes of a request with this content.
    pub verdict: Verdict,
}

/// What becomes of a request with a suspected content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It runs alone on its server.
    Alone,
    /// It runs like any other.
    Free,
    /// It is refused.
    Refused,
}

/// Limits.
#[derive(Clone, Debug, Serialize)]
pub struct Bounds {
    /// Limits that hold for every pipeline; none before a bundle is in force.
    pub limits: Option<Limits>,
    /// What the other instances told of the client accounts' demand.
    pub others: Vec<Demand>,
}

/// What another instance told of one client account.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Demand {
    /// The failure domain of the other instance.
    pub domain: Name,
    /// Whether it was heard from lately.
    pub heard: bool,
    /// The client account.
    pub account: Name,
    /// Requests a second that it was asked for.
    pub requests_per_second: f64,
}
