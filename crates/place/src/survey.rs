//! Which engines to ask what they hold, and what they answered.

use base::{Incarnation, Tick};

use crate::order::Engine;

/// Polls in a row without an answer after which an engine counts as holding nothing.
const MISSES: u32 = 3;

/// What is known of the engines of one pool, from their own answers.
#[derive(Clone, Debug, Default)]
pub struct Survey {
    entries: Vec<Entry>,
}

/// One engine.
#[derive(Clone, Debug)]
struct Entry {
    server: Incarnation,
    /// When it was asked last.
    asked: Option<Tick>,
    /// Whether an answer to that is still awaited.
    is_asking: bool,
    /// Whether it answered, or failed to, since the survey began anew.
    is_settled: bool,
    engine: Option<Engine>,
    /// Polls in a row without an answer.
    misses: u32,
}

impl Survey {
    /// Takes the engines that are there now, sorted; what is known of others is forgotten.
    pub fn list(&mut self, servers: &[Incarnation]) {
        let known = core::mem::take(&mut self.entries);
        let entry = |server: &Incarnation| {
            let found = known.binary_search_by(|entry| entry.server.cmp(server));
            found.map_or_else(|_| Entry::open(server), |at| known[at].clone())
        };
        self.entries = servers.iter().map(entry).collect();
    }

    /// Begins anew: orders have to wait until each engine was asked again.
    pub fn restart(&mut self) {
        for entry in &mut self.entries {
            entry.asked = None;
            entry.is_settled = false;
        }
    }

    /// Returns the engines to ask now: each `urgent` one, and of the others those that were not
    /// asked for longest, at most `limit`.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Incarnation, Stamp, Tick};
    /// use place::survey::Survey;
    /// let names = ["a", "b", "c"].map(|name| Incarnation::new(name, Stamp::from_millis(5)));
    /// let mut survey = Survey::default();
    /// survey.list(&names);
    /// assert_eq!(survey.ask(Tick::from_millis(1), &names[2..], 1), [names[2].clone(), names[0].clone()]);
    /// assert!(!survey.is_whole());
    /// ```
    pub fn ask(&mut self, now: Tick, urgent: &[Incarnation], limit: usize) -> Vec<Incarnation> {
        let idle = |entry: &Entry| !entry.is_asking;
        let is_urgent = |entry: &Entry| urgent.contains(&entry.server);
        let places = (0..self.entries.len()).filter(|at| idle(&self.entries[*at]));
        let (mut chosen, mut rest): (Vec<usize>, Vec<usize>) =
            places.partition(|at| is_urgent(&self.entries[*at]));
        rest.sort_by_key(|at| self.entries[*at].asked);
        chosen.extend(rest.into_iter().take(limit));
        for at in &chosen {
            self.entries[*at].asked = Some(now);
            self.entries[*at].is_asking = true;
        }
        let server = |at: usize| self.entries[at].server.clone();
        chosen.into_iter().map(server).collect()
    }

    /// Takes an engine's answer, or that there was none; what it said before stands for a few polls
    /// more, so that one lost answer has nothing loaded elsewhere.
    pub fn answer(&mut self, server: &Incarnation, engine: Option<Engine>) {
        let found = self
            .entries
            .binary_search_by(|entry| entry.server.cmp(server));
        let Ok(at) = found else { return };
        let entry = &mut self.entries[at];
        entry.is_asking = false;
        entry.is_settled = entry.asked.is_some();
        entry.misses = match engine {
            Some(_) => 0,
            None => entry.misses + 1,
        };
        if engine.is_some() || entry.misses >= MISSES {
            entry.engine = engine;
        }
    }

    /// Tells whether each engine answered, or failed to, since the survey began anew.
    pub fn is_whole(&self) -> bool {
        self.entries.iter().all(|entry| entry.is_settled)
    }

    /// Returns the engines that answered, sorted.
    pub fn engines(&self) -> Vec<Engine> {
        let engines = self.entries.iter().filter_map(|entry| entry.engine.clone());
        engines.collect()
    }
}

impl Entry {
    fn open(server: &Incarnation) -> Self {
        Self {
            server: server.clone(),
            asked: None,
            is_asking: false,
            is_settled: false,
            engine: None,
            misses: 0,
        }
    }
}
