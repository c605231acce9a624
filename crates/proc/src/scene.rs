//! Scenes: a platform, failure domains with entry instances, and backend servers.

mod start;

use core::time::Duration;

use bundle::Bundle;
use tokio::sync::{Mutex, MutexGuard};

use crate::{
    caller::{Caller, Request},
    fakes,
    link::Link,
    process::Process,
    view::View,
};

/// Held by a running scene: the scenes of a test program run one at a time, which limits processes
/// and load.
static SCENE_LOCK: Mutex<()> = Mutex::const_new(());

/// The configuration of a scene.
///
/// # Examples
///
/// ```no_run
/// # async fn run() {
/// let scene = proc::scene::Builder::new("compas").domains(3).entries(2).start().await;
/// assert_eq!(scene.entries.len(), 6);
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Builder {
    carry: Option<Duration>,
    domains: usize,
    drain: Duration,
    entries: usize,
    entry_args: Vec<String>,
    example: String,
    extra_bundle: String,
    pools: Option<Vec<String>>,
    partitionable: bool,
    progress: Duration,
    server_args: Vec<(String, Vec<String>)>,
    servers: usize,
    unlimited: bool,
}

/// A running scene; dropping it kills its processes.
pub struct Scene {
    /// The bundle in force.
    pub bundle: Bundle,
    /// Entry instances, domain by domain.
    pub entries: Vec<Entry>,
    /// The link from each domain's entry instances to the platform.
    pub links: Vec<Link>,
    /// Each domain's view of the platform, if domains can be cut off from each other.
    pub views: Vec<View>,
    /// The platform.
    pub platform: Server,
    /// Backend servers, domain by domain.
    pub servers: Vec<Server>,
    /// The configuration, for starting more processes.
    pub builder: Builder,
    _lock: MutexGuard<'static, ()>,
}

/// One entry instance.
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its process.
    pub process: Process,
    /// The URL for callers.
    pub url: String,
}

/// One fake: a backend server or the platform.
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// Its process.
    pub process: Process,
    /// The URL for calls and faults.
    pub url: String,
}

impl Builder {
    /// Returns a scene of one domain, with two entry instances and a server for each pool.
    pub fn new(example: &str) -> Self {
        Self {
            carry: None,
            domains: 1,
            drain: Duration::from_millis(500),
            entries: 2,
            entry_args: Vec::new(),
            example: example.to_owned(),
            extra_bundle: String::new(),
            pools: None,
            partitionable: false,
            progress: Duration::from_secs(2),
            server_args: Vec::new(),
            servers: 1,
            unlimited: false,
        }
    }

    /// Sets the number of failure domains.
    pub fn domains(mut self, count: usize) -> Self {
        self.domains = count;
        self
    }

    /// Sets the number of entry instances in each domain.
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Sets the number of servers of each pool in each domain.
    pub fn servers(mut self, count: usize) -> Self {
        self.servers = count;
        self
    }

    /// Starts only servers of these pools.
    pub fn pools(mut self, pools: &[&str]) -> Self {
        self.pools = Some(pools.iter().map(|pool| (*pool).to_owned()).collect());
        self
    }

    /// Sets the age of the configuration's last record at which instances append it again.
    pub fn carry(mut self, age: Duration) -> Self {
        self.carry = Some(age);
        self
    }

    /// Sets the longest wait for a server's next sign of progress.
    pub fn progress(mut self, progress: Duration) -> Self {
        self.progress = progress;
        self
    }

    /// Allows cutting failure domains off from each other.
    pub fn partitionable(mut self) -> Self {
        self.partitionable = true;
        self
    }

    /// Removes the limits of client accounts, for tests that send many requests.
    pub fn unlimited(mut self) -> Self {
        self.unlimited = true;
        self
    }

    /// Adds arguments for the entry instances.
    pub fn entry_args(mut self, args: &[&str]) -> Self {
        self.entry_args
            .extend(args.iter().map(|arg| (*arg).to_owned()));
        self
    }

    /// Adds pools and pipelines to the example's bundle.
    pub fn extra_bundle(mut self, text: &str) -> Self {
        self.extra_bundle.push_str(text);
        self
    }

    /// Adds arguments for the servers of one pool.
    pub fn server_args(mut self, pool: &str, args: &[&str]) -> Self {
        let args = args.iter().map(|arg| (*arg).to_owned()).collect();
        self.server_args.push((pool.to_owned(), args));
        self
    }
}

impl Scene {
    /// Returns the servers of a pool.
    pub fn pool(&self, pool: &str) -> Vec<&Server> {
        let wanted = |server: &&Server| server.pool == pool;
        self.servers.iter().filter(wanted).collect()
    }

    /// Returns the URLs of a pool's servers.
    pub fn urls(&self, pool: &str) -> Vec<String> {
        let servers = self.pool(pool);
        servers.iter().map(|server| server.url.clone()).collect()
    }

    /// Sends requests one after another to each instance, so that it has used every server before.
    pub async fn warm_up(&self, account: &str, requests: &[Request], rounds: usize) {
        let caller = Caller::new(account);
        for entry in &self.entries {
            for request in (0..rounds).flat_map(|_| requests) {
                // Only the effect on the instance matters.
                let _answered = caller.send(&entry.url, request).await;
            }
        }
    }

    /// Sets faults of every server of a pool.
    pub async fn set_faults(&self, pool: &str, change: serde_json::Value) {
        for url in self.urls(pool) {
            fakes::set_faults(&url, change.clone()).await;
        }
    }
}
