//! Request contents that were in flight when backend servers died.

use base::{Digest, Incarnation, Name, Tick};
use member::{
    fact::{Id, Suspect},
    rendezvous,
};

use crate::configs;

/// Number of crashed backend servers at which a content is refused permanently.
///
/// The limit holds for copies that run one after another, and for concurrent copies if routing only uses
/// the servers returned by [`candidates`]. If copies of a content that is not suspect yet run on more
/// servers at the same time, each of these servers may crash before the first crash becomes known.
pub const CRASH_LIMIT: usize = 2;

/// The contents in flight and the suspect contents known to one instance.
///
/// Suspects are identified by content, a digest over client account, pipeline and body, because a caller
/// may resend the same body under a new key.
#[derive(Clone, Debug)]
pub struct Registry {
    config: configs::suspect::Suspect,
    entries: Vec<Entry>,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Debug)]
struct Entry {
    fact: Suspect,
    /// When the fact last changed.
    changed: Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    digest: Digest,
    /// Whether the server stopped answering and may be crashing because of the content.
    unresponsive: bool,
    server: Id,
    /// Whether the attempt was reported to the owner of suspects.
    reported: bool,
}

/// Whether and how a content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Only with a permit from the owner of suspects.
    PermitOnly,
    /// Without restriction.
    Allowed,
    /// Not at all; the refusal is permanent.
    Refused,
}

/// How an attempt ended on a server that stayed alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server gave a complete answer.
    Completed,
    /// It was cancelled, refused or cut off, which says nothing about the content.
    Other,
}

/// The state of an attempt to run a suspect content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It started before the content became suspect and is still running.
    Running,
    /// It completed.
    Completed,
    /// The server died while running it.
    Crashed,
    /// It ended in another way, which says nothing about the content.
    Other,
}

/// What the registry asks its driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Withdraw the broadcast fact about a content.
    Forget(Digest),
    /// Report the state of an attempt to run a suspect content to the owner of suspects.
    Report {
        /// The content.
        digest: Digest,
        /// The backend server.
        server: Id,
        /// The state of the attempt.
        step: Step,
    },
    /// Send a fact about a content to all peers immediately.
    Broadcast(Suspect),
}

/// Returns the two backend servers of a pool that may run a content that is not suspect.
///
/// The digest spreads different contents as evenly as a random choice of two servers, and sends copies of
/// one content to the same two servers, whichever instance they arrive at.
///
/// # Examples
///
/// ```
/// use base::{Digest, Incarnation, Stamp};
/// let servers = ["a", "b", "c"].map(|name| Incarnation::new(name, Stamp::default()));
/// let candidates = retry::suspect::candidates(&servers, &Digest::of(b"body"));
/// assert_eq!(candidates.len(), 2);
/// ```
pub fn candidates<'a>(servers: &'a [Incarnation], digest: &Digest) -> Vec<&'a Incarnation> {
    rendezvous::candidates(servers, digest.as_bytes(), CRASH_LIMIT)
}

/// Returns the digest that identifies a content.
///
/// # Examples
///
/// ```
/// use retry::suspect::content_digest;
/// let (account, pipeline) = ("adinkra".into(), "brief".into());
/// assert_eq!(content_digest(&account, &pipeline, b"{}"), content_digest(&account, &pipeline, b"{}"));
/// assert_ne!(content_digest(&account, &pipeline, b"{}"), content_digest(&account, &pipeline, b"[]"));
/// ```
pub fn content_digest(account: &Name, pipeline: &Name, body: &[u8]) -> Digest {
    Digest::of_parts(&[
        account.as_str().as_bytes(),
        pipeline.as_str().as_bytes(),
        body,
    ])
}

impl Registry {
    /// Creates a registry without suspects.
    pub const fn new(config: configs::suspect::Suspect) -> Self {
        Self {
            config,
            entries: Vec::new(),
            attempts: Vec::new(),
        }
    }

    /// Returns whether and how a content may run.
    ///
    /// Servers that stopped answering while running it count towards the crash limit until their state is
    /// known.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Digest, Tick};
    /// use member::fact::Id;
    /// use retry::{Registry, configs, suspect::Verdict};
    /// let mut registry = Registry::new(configs::suspect::Suspect::default());
    /// let digest = Digest::of(b"body");
    /// registry.record_start(digest, Id(1));
    /// registry.record_server_death(Tick::default(), Id(1));
    /// assert_eq!(registry.verdict(&digest), Verdict::PermitOnly);
    /// registry.record_start(digest, Id(2));
    /// registry.record_server_death(Tick::default(), Id(2));
    /// assert_eq!(registry.verdict(&digest), Verdict::Refused);
    /// ```
    pub fn verdict(&self, digest: &Digest) -> Verdict {
        match self.get(digest).map_or(0, |fact| fact.crashed.len()) {
            0 if self.unresponsive_servers(digest) < CRASH_LIMIT => Verdict::Allowed,
            crashed if crashed < CRASH_LIMIT => Verdict::PermitOnly,
            _ => Verdict::Refused,
        }
    }

    /// Returns the number of servers that stopped answering while running a content.
    fn unresponsive_servers(&self, digest: &Digest) -> usize {
        let attempts = self.attempts.iter();
        let mut servers: Vec<Id> = attempts
            .filter(|attempt| attempt.unresponsive && attempt.digest == *digest)
            .map(|attempt| attempt.server)
            .collect();
        servers.sort_unstable();
        servers.dedup();
        servers.len()
    }

    /// Returns the known fact about a content.
    pub fn get(&self, digest: &Digest) -> Option<&Suspect> {
        let at = self.find(digest).ok()?;
        Some(&self.entries[at].fact)
    }

    /// Records that an attempt starts at a server; a suspect content needs a permit before.
    pub fn record_start(&mut self, digest: Digest, server: Id) {
        let reported = self.verdict(&digest) != Verdict::Allowed;
        self.attempts.push(Attempt {
            digest,
            unresponsive: false,
            server,
            reported,
        });
    }

    /// Records that an attempt got no answer and that its server may be crashing because of it.
    ///
    /// The attempt counts as in flight until [`Registry::record_end`] or [`Registry::record_server_death`]
    /// is called.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Digest, Tick};
    /// use member::fact::Id;
    /// use retry::{Registry, configs, suspect::{Outcome, Verdict}};
    /// let mut registry = Registry::new(configs::suspect::Suspect::default());
    /// let digest = Digest::of(b"body");
    /// for server in [Id(1), Id(2)] {
    ///     registry.record_start(digest, server);
    ///     registry.mark_unresponsive(digest, server);
    /// }
    /// assert_eq!(registry.verdict(&digest), Verdict::PermitOnly);
    /// registry.record_end(Tick::default(), digest, Id(1), Outcome::Other);
    /// assert_eq!(registry.verdict(&digest), Verdict::Allowed);
    /// ```
    pub fn mark_unresponsive(&mut self, digest: Digest, server: Id) {
        let mut attempts = self.attempts.iter_mut();
        let is_same = |attempt: &&mut Attempt| {
            attempt.digest == digest && attempt.server == server && !attempt.unresponsive
        };
        if let Some(attempt) = attempts.find(is_same) {
            attempt.unresponsive = true;
        }
    }

    /// Records that an attempt ended on a server that stayed alive; a completed attempt clears a suspect.
    pub fn record_end(
        &mut self,
        now: Tick,
        digest: Digest,
        server: Id,
        outcome: Outcome,
    ) -> Vec<Action> {
        let is_same = |attempt: &Attempt| attempt.digest == digest && attempt.server == server;
        let attempt = self.attempts.iter().position(is_same);
        let reported = attempt.is_some_and(|at| self.attempts.swap_remove(at).reported);
        let (mut actions, step) = match outcome {
            Outcome::Completed => (self.clear(now, &digest), Step::Completed),
            Outcome::Other => (Vec::new(), Step::Other),
        };
        if reported {
            actions.push(Action::Report {
                digest,
                server,
                step,
            });
        }
        actions
    }

    /// Records the death of a backend server, which makes all contents in flight there suspect.
    ///
    /// A server counts as dead if its attempts broke off and a new connection fails, or if it answers as a
    /// later incarnation.
    pub fn record_server_death(&mut self, now: Tick, server: Id) -> Vec<Action> {
        let is_lost = |attempt: &Attempt| attempt.server == server;
        let mut lost: Vec<Attempt> = self
            .attempts
            .iter()
            .filter(|attempt| is_lost(attempt))
            .copied()
            .collect();
        self.attempts.retain(|attempt| !is_lost(attempt));
        // Keeps one attempt of each content, a reported one if there is any.
        lost.sort_unstable_by_key(|attempt| (attempt.digest, !attempt.reported));
        lost.dedup_by_key(|attempt| attempt.digest);
        let mut actions = Vec::new();
        for Attempt {
            digest, reported, ..
        } in lost
        {
            actions.push(Action::Broadcast(self.record_crash(now, digest, server)));
            if reported {
                let step = Step::Crashed;
                actions.push(Action::Report {
                    digest,
                    server,
                    step,
                });
            }
            actions.extend(self.report_running(&digest));
        }
        actions
    }

    /// Merges a fact received from a peer.
    ///
    /// Running attempts of a content that thereby becomes suspect are reported to the owner, which grants
    /// no permit while they run.
    pub fn merge(&mut self, now: Tick, fact: &Suspect) -> Vec<Action> {
        let entry = self.entry(now, fact.digest);
        if !entry.fact.merge(fact) {
            return Vec::new();
        }
        entry.changed = now;
        self.report_running(&fact.digest)
    }

    /// Returns whether an attempt of this instance prevents a content from running alone at a server.
    pub fn blocks(&self, digest: &Digest, server: Id) -> bool {
        let is_suspect = |attempt: &Attempt| self.verdict(&attempt.digest) != Verdict::Allowed;
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| {
            attempt.digest == *digest || attempt.server == server && is_suspect(attempt)
        })
    }

    /// Returns the time until which no permit may be granted for a content.
    pub(crate) fn cooldown_end(&self, digest: &Digest) -> Tick {
        let changed = self
            .find(digest)
            .map_or(Tick::default(), |at| self.entries[at].changed);
        changed + self.config.crash_cooldown
    }

    /// Reports the running attempts of a suspect content that were not reported yet.
    fn report_running(&mut self, digest: &Digest) -> Vec<Action> {
        if self.verdict(digest) == Verdict::Allowed {
            return Vec::new();
        }
        let is_unreported = |attempt: &&mut Attempt| attempt.digest == *digest && !attempt.reported;
        let report = |attempt: &mut Attempt| {
            attempt.reported = true;
            Action::Report {
                digest: attempt.digest,
                server: attempt.server,
                step: Step::Running,
            }
        };
        self.attempts
            .iter_mut()
            .filter(is_unreported)
            .map(report)
            .collect()
    }

    /// Removes contents that exceed the retention time, and the oldest ones beyond the maximum number.
    pub fn sweep(&mut self, now: Tick) -> Vec<Action> {
        let mut ages: Vec<Tick> = self.entries.iter().map(|entry| entry.changed).collect();
        ages.sort_unstable_by(|a, b| b.cmp(a));
        let cutoff = ages.get(self.config.max_entries).copied();
        let retention = self.config.retention;
        let is_expired = |entry: &Entry| {
            now - entry.changed > retention || cutoff.is_some_and(|cutoff| entry.changed <= cutoff)
        };
        let expired = self.entries.iter().filter(|entry| is_expired(entry));
        let actions = expired
            .map(|entry| Action::Forget(entry.fact.digest))
            .collect();
        self.entries.retain(|entry| !is_expired(entry));
        actions
    }

    /// Returns all known facts, sorted by digest.
    pub fn iter(&self) -> impl Iterator<Item = &Suspect> {
        self.entries.iter().map(|entry| &entry.fact)
    }

    /// Records a server crash against a content and returns the updated fact.
    pub(crate) fn record_crash(&mut self, now: Tick, digest: Digest, server: Id) -> Suspect {
        let entry = self.entry(now, digest);
        let crashed = Suspect {
            digest,
            crashed: vec![server],
            cleared: entry.fact.cleared,
        };
        entry.fact.merge(&crashed);
        entry.changed = now;
        entry.fact.clone()
    }

    /// Returns the configuration.
    pub const fn config(&self) -> &configs::suspect::Suspect {
        &self.config
    }

    /// Clears a suspect content that ran to completion; a refused content stays refused.
    pub(crate) fn clear(&mut self, now: Tick, digest: &Digest) -> Vec<Action> {
        let Ok(at) = self.find(digest) else {
            return Vec::new();
        };
        let entry = &mut self.entries[at];
        if entry.fact.crashed.is_empty() || entry.fact.crashed.len() >= CRASH_LIMIT {
            return Vec::new();
        }
        entry.fact.crashed.clear();
        entry.fact.cleared += 1;
        entry.changed = now;
        vec![Action::Broadcast(entry.fact.clone())]
    }

    /// Returns the entry of a content, and adds it without crashes if it is missing.
    fn entry(&mut self, now: Tick, digest: Digest) -> &mut Entry {
        let at = match self.find(&digest) {
            Ok(at) => at,
            Err(at) => {
                self.entries.insert(at, Entry::new(now, digest));
                at
            }
        };
        &mut self.entries[at]
    }

    fn find(&self, digest: &Digest) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.fact.digest.cmp(digest))
    }
}

impl Entry {
    const fn new(now: Tick, digest: Digest) -> Self {
        let fact = Suspect {
            digest,
            crashed: Vec::new(),
            cleared: 0,
        };
        Self { fact, changed: now }
    }
}
