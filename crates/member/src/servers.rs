//! Backend servers of the own failure domain, from every source.

use core::time::Duration;

use base::{Incarnation, Name, Tick};

use crate::{
    configs,
    fact::{Load, Server},
    mark::Marks,
};

/// Backend servers by name, the latest incarnation of each.
#[derive(Clone, Debug, Default)]
pub(crate) struct Servers(Vec<Known>);

/// A known backend server.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    /// Its latest incarnation.
    pub(crate) incarnation: Incarnation,
    /// Its address.
    pub(crate) address: Name,
    /// Its pool.
    pub(crate) pool: Name,
    /// Its load and when that was measured.
    pub(crate) load: Option<(Load, Tick)>,
    /// When any instance last heard from it, or when it was first known.
    pub(crate) last_heard: Tick,
    /// When the platform's list last contained it, or when it was first known.
    pub(crate) last_listed: Tick,
}

impl Servers {
    /// Inserts or updates a backend server; a later start supersedes an earlier one.
    ///
    /// Returns `None` if a later start is known.
    pub(crate) fn insert(&mut self, now: Tick, server: &Server) -> Option<&mut Known> {
        let at = match self.find(&server.incarnation.name) {
            Ok(at) => at,
            Err(at) => {
                self.0.insert(at, Known::new(now, server));
                at
            }
        };
        let known = &mut self.0[at];
        if server.incarnation < known.incarnation {
            return None;
        }
        if server.incarnation > known.incarnation {
            *known = Known::new(now, server);
        }
        known.address = server.address.clone();
        known.pool = server.pool.clone();
        Some(known)
    }

    /// Returns the backend server with a name.
    pub(crate) fn get_mut(&mut self, name: &Name) -> Option<&mut Known> {
        let at = self.find(name).ok()?;
        Some(&mut self.0[at])
    }

    /// Returns the backend server with a name.
    pub(crate) fn get(&self, name: &Name) -> Option<&Known> {
        let at = self.find(name).ok()?;
        Some(&self.0[at])
    }

    /// Returns the backend servers, by name.
    pub(crate) fn iter(&self) -> core::slice::Iter<'_, Known> {
        self.0.iter()
    }

    /// Removes the backend servers that a new list no longer contains, and returns their names.
    ///
    /// A server is removed only if it is silent as well, and a list that looks incomplete is not trusted:
    ///
    /// - A server that is listed, or was heard from by any instance within `server_timeout`, stays.
    /// - If the list contains no live server of a pool, the whole pool stays.
    /// - If it contains fewer than half of them, the others stay until `partial_list_timeout` has passed.
    pub(crate) fn remove_unlisted(
        &mut self,
        now: Tick,
        marks: &Marks,
        config: &configs::roster::Roster,
    ) -> Vec<Name> {
        let pools = self.pool_coverage(now, marks);
        let is_gone = |known: &Known| {
            let timeout = match pools.binary_search_by(|one| one.name.cmp(&known.pool)) {
                Ok(at) => pools[at].removal_timeout(config),
                Err(_) => Some(config.server_timeout),
            };
            !marks.contains(&known.incarnation)
                && timeout.is_some_and(|timeout| known.is_silent(now, timeout))
        };
        self.remove_where(is_gone)
    }

    /// Removes the leaving servers that are no longer listed or heard, and returns their names; their marks stay.
    pub(crate) fn remove_ended(
        &mut self,
        now: Tick,
        marks: &Marks,
        timeout: Duration,
    ) -> Vec<Name> {
        self.remove_where(|known| {
            marks.contains(&known.incarnation) && known.is_silent(now, timeout)
        })
    }

    fn remove_where(&mut self, is_gone: impl Fn(&Known) -> bool) -> Vec<Name> {
        let names = self.0.iter().filter(|known| is_gone(known));
        let names = names.map(|known| known.incarnation.name.clone()).collect();
        self.0.retain(|known| !is_gone(known));
        names
    }

    fn pool_coverage(&self, now: Tick, marks: &Marks) -> Vec<Coverage> {
        let mut pools: Vec<Coverage> = Vec::new();
        for known in self
            .0
            .iter()
            .filter(|known| !marks.contains(&known.incarnation))
        {
            let at = match pools.binary_search_by(|one| one.name.cmp(&known.pool)) {
                Ok(at) => at,
                Err(at) => {
                    pools.insert(at, Coverage::new(&known.pool));
                    at
                }
            };
            pools[at].live_count += 1;
            pools[at].listed_count += usize::from(known.last_listed == now);
        }
        pools
    }

    fn find(&self, name: &Name) -> Result<usize, usize> {
        self.0
            .binary_search_by(|known| known.incarnation.name.cmp(name))
    }
}

impl Known {
    fn new(now: Tick, server: &Server) -> Self {
        Self {
            incarnation: server.incarnation.clone(),
            address: server.address.clone(),
            pool: server.pool.clone(),
            load: None,
            last_heard: now,
            last_listed: now,
        }
    }

    /// Records that the server was heard from, and the load that it reported.
    pub(crate) fn record_status(&mut self, at: Tick, load: Option<Load>) {
        self.last_heard = self.last_heard.max(at);
        let Some(load) = load else { return };
        let measured = Tick::from_micros(at.as_micros().saturating_sub(micros(load.age)));
        if self.load.is_none_or(|(_, last)| measured >= last) {
            self.load = Some((load, measured));
        }
    }

    fn is_silent(&self, now: Tick, timeout: Duration) -> bool {
        now - self.last_listed > timeout && now - self.last_heard > timeout
    }
}

/// How much of a pool a list covers.
struct Coverage {
    name: Name,
    live_count: usize,
    listed_count: usize,
}

impl Coverage {
    fn new(name: &Name) -> Self {
        Self {
            name: name.clone(),
            live_count: 0,
            listed_count: 0,
        }
    }

    /// Returns how long a server must be silent to be removed; `None` if it must stay.
    fn removal_timeout(&self, config: &configs::roster::Roster) -> Option<Duration> {
        match self.listed_count {
            0 => None,
            listed if listed * 2 < self.live_count => Some(config.partial_list_timeout),
            _ => Some(config.server_timeout),
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
