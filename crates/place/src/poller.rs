//! Polling of engines for the models that they hold.

use base::{Incarnation, Tick};

use crate::order::Engine;

/// Number of consecutive failed polls after which an engine counts as holding nothing.
const MAX_FAILED_POLLS: u32 = 3;

/// The engines of one pool and their last answers.
#[derive(Clone, Debug, Default)]
pub struct Poller {
    entries: Vec<Entry>,
}

/// The polling state of one engine.
#[derive(Clone, Debug)]
struct Entry {
    server: Incarnation,
    /// Time of the last poll.
    polled_at: Option<Tick>,
    /// Whether the answer to the last poll is pending.
    is_pending: bool,
    /// Whether a poll has succeeded or failed since the last restart.
    is_polled: bool,
    engine: Option<Engine>,
    /// Number of consecutive failed polls.
    failed_polls: u32,
}

impl Poller {
    /// Sets the current engines, which must be sorted; the state of other engines is removed.
    pub fn set_servers(&mut self, servers: &[Incarnation]) {
        let known = core::mem::take(&mut self.entries);
        let entry = |server: &Incarnation| {
            let found = known.binary_search_by(|entry| entry.server.cmp(server));
            found.map_or_else(|_| Entry::new(server), |at| known[at].clone())
        };
        self.entries = servers.iter().map(entry).collect();
    }

    /// Restarts polling, so that orders wait until each engine has been polled again.
    pub fn restart(&mut self) {
        for entry in &mut self.entries {
            entry.polled_at = None;
            entry.is_polled = false;
        }
    }

    /// Returns the engines to poll now: each `urgent` one, and at most `limit` of the others, the least
    /// recently polled first.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Incarnation, Stamp, Tick};
    /// use place::poller::Poller;
    /// let names = ["a", "b", "c"].map(|name| Incarnation::new(name, Stamp::from_millis(5)));
    /// let mut poller = Poller::default();
    /// poller.set_servers(&names);
    /// assert_eq!(poller.next_polls(Tick::from_millis(1), &names[2..], 1), [names[2].clone(), names[0].clone()]);
    /// assert!(!poller.is_complete());
    /// ```
    pub fn next_polls(
        &mut self,
        now: Tick,
        urgent: &[Incarnation],
        limit: usize,
    ) -> Vec<Incarnation> {
        let is_idle = |entry: &Entry| !entry.is_pending;
        let is_urgent = |entry: &Entry| urgent.contains(&entry.server);
        let idle = (0..self.entries.len()).filter(|at| is_idle(&self.entries[*at]));
        let (mut chosen, mut rest): (Vec<usize>, Vec<usize>) =
            idle.partition(|at| is_urgent(&self.entries[*at]));
        rest.sort_by_key(|at| self.entries[*at].polled_at);
        chosen.extend(rest.into_iter().take(limit));
        for at in &chosen {
            self.entries[*at].polled_at = Some(now);
            self.entries[*at].is_pending = true;
        }
        let server = |at: usize| self.entries[at].server.clone();
        chosen.into_iter().map(server).collect()
    }

    /// Records the answer of an engine, or a failed poll. The previous answer stays valid for a few failed
    /// polls, so that one lost answer causes no load on another engine.
    pub fn record_answer(&mut self, server: &Incarnation, engine: Option<Engine>) {
        let found = self
            .entries
            .binary_search_by(|entry| entry.server.cmp(server));
        let Ok(at) = found else { return };
        let entry = &mut self.entries[at];
        entry.is_pending = false;
        // A restart clears `polled_at`, so the answer to a poll from before it does not count.
        entry.is_polled = entry.polled_at.is_some();
        entry.failed_polls = match engine {
            Some(_) => 0,
            None => entry.failed_polls + 1,
        };
        if engine.is_some() || entry.failed_polls >= MAX_FAILED_POLLS {
            entry.engine = engine;
        }
    }

    /// Returns whether each engine has answered or failed to answer since the last restart.
    pub fn is_complete(&self) -> bool {
        self.entries.iter().all(|entry| entry.is_polled)
    }

    /// Returns the engines that answered, sorted.
    pub fn engines(&self) -> Vec<Engine> {
        let engines = self.entries.iter().filter_map(|entry| entry.engine.clone());
        engines.collect()
    }
}

impl Entry {
    fn new(server: &Incarnation) -> Self {
        Self {
            server: server.clone(),
            polled_at: None,
            is_pending: false,
            is_polled: false,
            engine: None,
            failed_polls: 0,
        }
    }
}
