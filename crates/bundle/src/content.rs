//! The content of a bundle: pipelines, stages, pools, client accounts, signers and limits.
//!
//! Every list is sorted by name when the bundle is parsed, so that look-ups use a binary search.

use core::time::Duration;

use base::{Digest, Name};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A bundle: the whole configuration that operators publish.
///
/// # Examples
///
/// ```
/// let text = r#"
/// name = "tiny"
/// version = 1
/// "#;
/// let bundle = bundle::Bundle::from_toml(text).unwrap();
/// assert_eq!(bundle.version, 1);
/// assert!(bundle.pipeline("none").is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The name of the deployment.
    pub name: Name,
    /// The version; each published bundle has a higher one than the one it is based on.
    pub version: u64,
    /// Limits that hold for every pipeline.
    #[serde(default)]
    pub limits: Limits,
    /// Client accounts, sorted by name.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Pipelines, sorted by name.
    #[serde(default)]
    pub pipelines: Vec<Pipeline>,
    /// Pools of backend servers, sorted by name.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// The operators who may sign bundles, sorted by name.
    #[serde(default)]
    pub signers: Vec<Signer>,
    /// The operators with read-only access to the administration interface, sorted by name. Signers
    /// have access too.
    #[serde(default)]
    pub viewers: Vec<Viewer>,
}

/// Limits that hold for every pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The number of requests that may wait in one entry instance.
    pub queue_requests: usize,
    /// Retries allowed per hundred first attempts.
    pub retry_percent: u32,
    /// The number of different signers, other than the author, that a roll-out needs.
    pub sign_offs: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 256 * 1024,
            queue_requests: 1_000,
            retry_percent: 10,
            sign_offs: 1,
        }
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The name.
    pub name: Name,
    /// The SHA-256 digest of the bearer token that the account's callers send.
    pub token_digest: Digest,
    /// Requests per second that the account may send to all entry instances together.
    #[serde(default = "Account::default_rate")]
    pub requests_per_second: f64,
    /// The burst size: requests that the account may send at once after an idle time.
    #[serde(default = "Account::default_burst")]
    pub burst_requests: u32,
    /// The share of capacity under contention, relative to the other accounts.
    #[serde(default = "Account::default_weight")]
    pub weight: u32,
}

impl Account {
    const fn default_rate() -> f64 {
        50.0
    }

    const fn default_burst() -> u32 {
        100
    }

    const fn default_weight() -> u32 {
        1
    }
}

/// A pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// The name.
    pub name: Name,
    /// The deadline of a request that sets none, in milliseconds.
    pub deadline_ms: u64,
    /// The priority; requests with a higher one are served first.
    #[serde(default)]
    pub priority: u8,
    /// The client accounts that may use the pipeline; all of them if empty.
    #[serde(default)]
    pub accounts: Vec<Name>,
    /// Whether requests are stored in the platform's log and answered asynchronously.
    #[serde(default)]
    pub deferred: bool,
    /// The objective: the share of requests to be answered within their deadline, from 0 to 1.
    #[serde(default = "Pipeline::default_objective")]
    pub objective: f64,
    /// The stages, in the order in which a request passes through them.
    pub stages: Vec<Stage>,
}

impl Pipeline {
    const fn default_objective() -> f64 {
        0.99
    }

    /// Returns the deadline of a request that sets none.
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns the index of the stage that is not idempotent, if there is one.
    pub fn non_idempotent_stage(&self) -> Option<usize> {
        self.stages.iter().position(|stage| !stage.idempotent)
    }

    /// Returns whether the last stage streams its answer.
    pub fn is_streaming(&self, bundle: &Bundle) -> bool {
        self.stages
            .last()
            .and_then(|stage| bundle.pool(stage.pool.as_str()))
            .is_some_and(|pool| pool.kind == Kind::Generate)
    }
}

/// One stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// The name, unique within the pipeline.
    pub name: Name,
    /// The pool that serves the stage.
    pub pool: Name,
    /// Whether a call of this stage may be retried or hedged.
    #[serde(default = "Stage::default_idempotent")]
    pub idempotent: bool,
    /// The operation requested from the backend server; the stage's name if empty.
    #[serde(default)]
    pub operation: Name,
    /// The model that the stage needs, one of the pool's; empty if any server of the pool can serve it.
    #[serde(default)]
    pub model: Name,
}

impl Stage {
    const fn default_idempotent() -> bool {
        true
    }

    /// Returns the operation requested from the backend server.
    pub fn operation(&self) -> &Name {
        if self.operation.as_str().is_empty() {
            &self.name
        } else {
            &self.operation
        }
    }
}

/// The kind of the backend servers of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Encoders.
    Encode,
    /// Engines that generate tokens.
    Generate,
    /// Rerankers.
    Rerank,
    /// Retrievers.
    Retrieve,
    /// Other services.
    Service,
}

/// A pool of backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name, by which the platform's instance list identifies the pool's servers.
    pub name: Name,
    /// The kind of the servers.
    pub kind: Kind,
    /// Requests that one server processes concurrently.
    #[serde(default = "Pool::default_concurrency")]
    pub concurrency: u32,
    /// The cost of one second of one server's work, in the operators' cost unit.
    #[serde(default = "Pool::default_cost")]
    pub cost_per_second: f64,
    /// Whether the servers reject orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the servers report their load.
    #[serde(default)]
    pub reports_load: bool,
    /// The models that the servers can load.
    #[serde(default)]
    pub models: Vec<Name>,
    /// The memory of one server for weights, in bytes; 0 if every server holds all models, in which
    /// case no server is ever ordered to load one.
    #[serde(default)]
    pub memory_bytes: u64,
    /// The sizes of the models, sorted by model.
    #[serde(default)]
    pub weights: Vec<Weight>,
}

/// The size of one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weight {
    /// The model.
    pub model: Name,
    /// The size of its weights, in bytes.
    pub bytes: u64,
}

impl Pool {
    const fn default_concurrency() -> u32 {
        8
    }

    const fn default_cost() -> f64 {
        1.0
    }

    /// Returns whether models are placed on the servers of this pool by orders to load them.
    pub const fn is_placed(&self) -> bool {
        self.memory_bytes > 0
    }

    /// Returns the size of a model's weights in bytes, if it is stated.
    pub fn weight(&self, model: &str) -> Option<u64> {
        find(&self.weights, |weight| &weight.model, model).map(|weight| weight.bytes)
    }
}

/// An operator who may author and sign off bundles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Signer {
    /// The name.
    pub name: Name,
    /// The ed25519 public key, as 64 hexadecimal digits.
    pub public_key: Digest,
}

/// An operator with read-only access.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Viewer {
    /// The name.
    pub name: Name,
    /// The ed25519 public key, as 64 hexadecimal digits.
    pub public_key: Digest,
}

/// An error in parsing a bundle.
#[derive(Debug, Error)]
pub enum Error {
    /// The text is not TOML of the expected shape.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// The text is not JSON of the expected shape.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

impl Bundle {
    /// Parses a bundle from TOML and sorts its lists.
    ///
    /// # Errors
    ///
    /// - The text is not TOML.
    /// - A field is unknown, missing or of the wrong type.
    pub fn from_toml(text: &str) -> Result<Self, Error> {
        let mut bundle: Self = toml::from_str(text)?;
        bundle.sort();
        Ok(bundle)
    }

    /// Parses a bundle from JSON and sorts its lists.
    ///
    /// # Errors
    ///
    /// - The text is not JSON.
    /// - A field is unknown, missing or of the wrong type.
    pub fn from_json(text: &str) -> Result<Self, Error> {
        let mut bundle: Self = serde_json::from_str(text)?;
        bundle.sort();
        Ok(bundle)
    }

    /// Finds the client account with a name.
    pub fn account(&self, name: &str) -> Option<&Account> {
        find(&self.accounts, |account| &account.name, name)
    }

    /// Finds the pipeline with a name.
    pub fn pipeline(&self, name: &str) -> Option<&Pipeline> {
        find(&self.pipelines, |pipeline| &pipeline.name, name)
    }

    /// Finds the pool with a name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        find(&self.pools, |pool| &pool.name, name)
    }

    /// Finds the signer with a name.
    pub fn signer(&self, name: &str) -> Option<&Signer> {
        find(&self.signers, |signer| &signer.name, name)
    }

    fn sort(&mut self) {
        self.accounts.sort_by(|a, b| a.name.cmp(&b.name));
        self.pipelines.sort_by(|a, b| a.name.cmp(&b.name));
        self.pools.sort_by(|a, b| a.name.cmp(&b.name));
        for pool in &mut self.pools {
            pool.weights.sort_by(|a, b| a.model.cmp(&b.model));
        }
        self.signers.sort_by(|a, b| a.name.cmp(&b.name));
        self.viewers.sort_by(|a, b| a.name.cmp(&b.name));
    }
}

fn find<'a, T>(list: &'a [T], name_of: impl Fn(&T) -> &Name, name: &str) -> Option<&'a T> {
    list.binary_search_by(|item| name_of(item).as_str().cmp(name))
        .ok()
        .map(|index| &list[index])
}
