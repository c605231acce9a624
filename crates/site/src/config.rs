//! One version of the operator's configuration.

use core::time::Duration;
use std::rc::Rc;

use base::Name;

use crate::{Pool, Route};

/// A complete configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// The version, which increases with each change, though not always by one.
    pub version: u64,
    /// Bounds on what callers may send.
    pub limits: Limits,
    routes: Vec<Rc<Route>>,
    pools: Vec<Pool>,
    keys: Vec<Key>,
    allows_anonymous: bool,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A client account, identified by one of its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The account's name.
    pub name: Name,
    /// The account's priority, if it has its own; 0 goes first.
    pub priority: Option<u8>,
    /// The regions whose servers may get its requests; empty without a restriction.
    pub allowed_regions: Vec<Name>,
}

#[derive(Clone, Debug)]
struct Key {
    key: Name,
    account: Account,
}

impl Config {
    /// Creates a configuration.
    ///
    /// Every request needs the key of an account unless `keys` is `None` or its route is public.
    ///
    /// # Examples
    ///
    /// ```
    /// use site::{Config, Route};
    /// let route = Route { host: "a.example".into(), prefix: "/x/".into(), ..Route::default() };
    /// let config = Config::new(7, vec![route], Vec::new(), None);
    /// assert!(config.route("a.example", "/x/1").is_some());
    /// assert!(config.route("a.example", "/y").is_none());
    /// ```
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        mut pools: Vec<Pool>,
        keys: Option<Vec<(Name, Account)>>,
    ) -> Self {
        let mut routes: Vec<_> = routes.into_iter().map(Rc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        pools.sort_by(|a, b| a.name.cmp(&b.name));
        let allows_anonymous = keys.is_none();
        let mut keys: Vec<_> = keys
            .into_iter()
            .flatten()
            .map(|(key, account)| Key { key, account })
            .collect();
        keys.sort_by(|a, b| a.key.cmp(&b.key));
        Self {
            version,
            limits: Limits::default(),
            routes,
            pools,
            keys,
            allows_anonymous,
        }
    }

    /// Returns the route of a host with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.map(|end| &path[..end]).find_map(|prefix| {
            let at = self.routes.binary_search_by(|route| {
                (route.host.as_str(), route.prefix.as_str()).cmp(&(host, prefix))
            });
            at.ok().map(|at| &self.routes[at])
        })
    }

    /// Returns the account that a key belongs to.
    pub fn account(&self, key: &str) -> Option<&Account> {
        let at = self
            .keys
            .binary_search_by(|known| known.key.as_str().cmp(key));
        at.ok().map(|at| &self.keys[at].account)
    }

    /// Returns whether requests need no key.
    pub const fn allows_anonymous(&self) -> bool {
        self.allows_anonymous
    }

    /// Returns a pool by its name.
    pub fn pool(&self, name: &Name) -> Option<&Pool> {
        let at = self.pools.binary_search_by(|pool| pool.name.cmp(name));
        at.ok().map(|at| &self.pools[at])
    }

    /// Returns every pool, sorted by name.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    /// Returns the number of routes.
    pub const fn route_count(&self) -> usize {
        self.routes.len()
    }
}
