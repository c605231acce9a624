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

/// What is known of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    /// Its latest incarnation.
    pub(crate) incarnation: Incarnation,
    /// Where it is reached.
    pub(crate) address: Name,
    /// Its pool.
    pub(crate) pool: Name,
    /// Its load and when that held.
    pub(crate) load: Option<(Load, Tick)>,
    /// When it was last heard by any instance, or first known.
    pub(crate) heard: Tick,
    /// When the platform's list last named it, or it was first known.
    pub(crate) listed: Tick,
}

impl Servers {
    /// Takes in what a source says of a backend server; a later start supersedes an earlier one.
    pub(crate) fn place(&mut self, now: Tick, server: &Server) -> Option<&mut Known> {
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

    /// Returns what is known under a name.
    pub(crate) fn get_mut(&mut self, name: &Name) -> Option<&mut Known> {
        let at = self.find(name).ok()?;
        Some(&mut self.0[at])
    }

    /// Returns what is known under a name.
    pub(crate) fn get(&self, name: &Name) -> Option<&Known> {
        let at = self.find(name).ok()?;
        Some(&self.0[at])
    }

    /// Returns the backend servers, by name.
    pub(crate) fn iter(&self) -> core::slice::Iter<'_, Known> {
        self.0.iter()
    }

    /// Removes those that a fresh list no longer names.
    ///
    /// Absence counts only with silence, and a list that looks broken is not believed:
    ///
    /// - One that is listed, or was heard by any instance within `silence`, stays.
    /// - Where the list names no live server of a pool, the whole pool stays.
    /// - Where it names fewer than half of them, the others stay until `patience` has passed.
    pub(crate) fn absent(
        &mut self,
        now: Tick,
        marks: &Marks,
        config: &configs::roster::Roster,
    ) -> Vec<Name> {
        let pools = self.pools(now, marks);
        let gone = |known: &Known| {
            let wait = match pools.binary_search_by(|one| one.name.cmp(&known.pool)) {
                Ok(at) => pools[at].wait(config),
                Err(_) => Some(config.server_timeout),
            };
            !marks.contains(&known.incarnation) && wait.is_some_and(|wait| known.silent(now, wait))
        };
        self.remove(gone)
    }

    /// Removes leaving ones that are neither listed nor heard any more; their marks stay.
    pub(crate) fn ended(&mut self, now: Tick, marks: &Marks, silence: Duration) -> Vec<Name> {
        self.remove(|known| marks.contains(&known.incarnation) && known.silent(now, silence))
    }

    fn remove(&mut self, gone: impl Fn(&Known) -> bool) -> Vec<Name> {
        let names = self.0.iter().filter(|known| gone(known));
        let names = names.map(|known| known.incarnation.name.clone()).collect();
        self.0.retain(|known| !gone(known));
        names
    }

    fn pools(&self, now: Tick, marks: &Marks) -> Vec<Tally> {
        let mut tallies: Vec<Tally> = Vec::new();
        for known in self
            .0
            .iter()
            .filter(|known| !marks.contains(&known.incarnation))
        {
            let at = match tallies.binary_search_by(|one| one.name.cmp(&known.pool)) {
                Ok(at) => at,
                Err(at) => {
                    tallies.insert(at, Tally::new(&known.pool));
                    at
                }
            };
            tallies[at].live += 1;
            tallies[at].listed += usize::from(known.listed == now);
        }
        tallies
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
            heard: now,
            listed: now,
        }
    }

    /// Notes a sign of life and the load that came with it.
    pub(crate) fn hear(&mut self, at: Tick, load: Option<Load>) {
        self.heard = self.heard.max(at);
        let Some(load) = load else { return };
        let held = Tick::from_micros(at.as_micros().saturating_sub(micros(load.age)));
        if self.load.is_none_or(|(_, last)| held >= last) {
            self.load = Some((load, held));
        }
    }

    fn silent(&self, now: Tick, wait: Duration) -> bool {
        now - self.listed > wait && now - self.heard > wait
    }
}

/// How a list covers a pool.
struct Tally {
    name: Name,
    live: usize,
    listed: usize,
}

impl Tally {
    fn new(name: &Name) -> Self {
        Self {
            name: name.clone(),
            live: 0,
            listed: 0,
        }
    }

    fn wait(&self, config: &configs::roster::Roster) -> Option<Duration> {
        match self.listed {
            0 => None,
            listed if listed * 2 < self.live => Some(config.partial_list_timeout),
            _ => Some(config.server_timeout),
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
