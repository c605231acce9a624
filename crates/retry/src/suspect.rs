//! Contents that were in flight when backend servers died.

use base::{Digest, Incarnation, Name, Tick};
use member::{
    fact::{Id, Suspect},
    rendezvous,
};

use crate::configs;

/// Backend servers that one content may crash before it is refused for good.
///
/// The bound holds for copies that run one after the other, and for those that run at the same time where
/// routing takes one of [`candidates`]. Where copies of a content that nobody suspects yet run at more
/// servers at the same time, each of these servers may be lost before the first loss is heard of.
pub const CRASH_LIMIT: usize = 2;

/// What one instance knows of contents in flight and of suspects.
///
/// The suspect is the content, a digest over client account, pipeline and body, as a caller sends it
/// again under a new key.
#[derive(Clone, Debug)]
pub struct Registry {
    config: configs::suspect::Suspect,
    entries: Vec<Entry>,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Debug)]
struct Entry {
    fact: Suspect,
    changed: Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    digest: Digest,
    /// Whether the server stopped answering and may be about to die of it.
    unresponsive: bool,
    server: Id,
    /// Whether the owner of suspects knows of it.
    reported: bool,
}

/// How a content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// With a permit of the suspects' owner only.
    PermitOnly,
    /// Like any other.
    Allowed,
    /// Never again.
    Refused,
}

/// How an attempt ended while its server lived on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered it, whole.
    Completed,
    /// It was cancelled, refused or cut; this says nothing of the content.
    Other,
}

/// A step of an attempt at a suspect content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It started before the content was suspected, and still runs.
    Running,
    /// It completed.
    Completed,
    /// The server died with it.
    Crashed,
    /// It ended otherwise; this says nothing of the content.
    Other,
}

/// What the register asks its driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Withdraw what was told of a content.
    Forget(Digest),
    /// Report to the owner of suspects what became of an attempt at a suspect content.
    Report {
        /// The content.
        digest: Digest,
        /// The backend server.
        server: Id,
        /// What became of it.
        step: Step,
    },
    /// Tell the peers at once what is known of a content.
    Broadcast(Suspect),
}

/// Returns the two backend servers of a pool that may run a content while nobody suspects it.
///
/// The digest spreads different contents as evenly as a random choice of two, and holds copies of
/// one content to the same two, at whatever instance they arrive.
///
/// # Examples
///
/// ```
/// use base::{Digest, Incarnation, Stamp};
/// let servers = ["a", "b", "c"].map(|name| Incarnation::new(name, Stamp::default()));
/// let servers = retry::suspect::candidates(&servers, &Digest::of(b"body"));
/// assert_eq!(servers.len(), 2);
/// ```
pub fn candidates<'a>(servers: &'a [Incarnation], digest: &Digest) -> Vec<&'a Incarnation> {
    rendezvous::candidates(servers, digest.as_bytes(), CRASH_LIMIT)
}

/// Returns the digest of a content.
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
    /// Opens a register that knows no suspects.
    pub const fn new(config: configs::suspect::Suspect) -> Self {
        Self {
            config,
            entries: Vec::new(),
            attempts: Vec::new(),
        }
    }

    /// Tells how a content may run.
    ///
    /// - Servers that stopped answering while they ran it count towards the bound: it waits until it is
    ///   known what became of them.
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

    /// Returns the number of servers that stopped answering while they ran a content.
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

    /// Returns what is known of a content.
    pub fn get(&self, digest: &Digest) -> Option<&Suspect> {
        let at = self.find(digest).ok()?;
        Some(&self.entries[at].fact)
    }

    /// Notes that an attempt at a server starts, for a suspect with a permit.
    pub fn record_start(&mut self, digest: Digest, server: Id) {
        let reported = self.verdict(&digest) != Verdict::Allowed;
        self.attempts.push(Attempt {
            digest,
            unresponsive: false,
            server,
            reported,
        });
    }

    /// Notes that an attempt got no answer while its server may be about to die of it.
    ///
    /// It counts as in flight until [`Registry::record_end`] or [`Registry::record_server_death`] is told.
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
        let this = |attempt: &&mut Attempt| {
            attempt.digest == digest && attempt.server == server && !attempt.unresponsive
        };
        if let Some(attempt) = attempts.find(this) {
            attempt.unresponsive = true;
        }
    }

    /// Notes that an attempt ended while its server lived on; completing clears a suspect.
    pub fn record_end(
        &mut self,
        now: Tick,
        digest: Digest,
        server: Id,
        outcome: Outcome,
    ) -> Vec<Action> {
        let this = |attempt: &Attempt| attempt.digest == digest && attempt.server == server;
        let attempt = self.attempts.iter().position(this);
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

    /// Notes that a backend server died: all contents in flight there are suspects.
    ///
    /// A server has died when attempts at it broke and a new connection to it fails, or when it answers
    /// as a later incarnation.
    pub fn record_server_death(&mut self, now: Tick, server: Id) -> Vec<Action> {
        let dead = |attempt: &Attempt| attempt.server == server;
        let mut lost: Vec<Attempt> = self
            .attempts
            .iter()
            .filter(|one| dead(one))
            .copied()
            .collect();
        self.attempts.retain(|attempt| !dead(attempt));
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

    /// Takes in what a peer told.
    ///
    /// Attempts that run at a content which is a suspect now are reported to the owner, which gives no
    /// permit while they run.
    pub fn merge(&mut self, now: Tick, fact: &Suspect) -> Vec<Action> {
        let entry = self.entry(now, fact.digest);
        if !entry.fact.merge(fact) {
            return Vec::new();
        }
        entry.changed = now;
        self.report_running(&fact.digest)
    }

    /// Tells whether an attempt of this instance stands in the way of running a content alone at a server.
    pub fn blocks(&self, digest: &Digest, server: Id) -> bool {
        let suspect = |attempt: &Attempt| self.verdict(&attempt.digest) != Verdict::Allowed;
        let mut attempts = self.attempts.iter();
        attempts.any(|one| one.digest == *digest || one.server == server && suspect(one))
    }

    /// Returns until when no permit may be given for a content.
    pub(crate) fn cooldown_end(&self, digest: &Digest) -> Tick {
        let changed = self
            .find(digest)
            .map_or(Tick::default(), |at| self.entries[at].changed);
        changed + self.config.crash_cooldown
    }

    /// Reports the attempts at a suspect content that the owner does not know of.
    fn report_running(&mut self, digest: &Digest) -> Vec<Action> {
        if self.verdict(digest) == Verdict::Allowed {
            return Vec::new();
        }
        let new = |attempt: &&mut Attempt| attempt.digest == *digest && !attempt.reported;
        let report = |attempt: &mut Attempt| {
            attempt.reported = true;
            Action::Report {
                digest: attempt.digest,
                server: attempt.server,
                step: Step::Running,
            }
        };
        self.attempts.iter_mut().filter(new).map(report).collect()
    }

    /// Forgets contents that have not changed for long, and the oldest beyond the most that are kept.
    pub fn sweep(&mut self, now: Tick) -> Vec<Action> {
        let mut ages: Vec<Tick> = self.entries.iter().map(|entry| entry.changed).collect();
        ages.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = ages.get(self.config.max_entries).copied();
        let keep = self.config.retention;
        let over = |entry: &Entry| {
            now - entry.changed > keep || oldest.is_some_and(|oldest| entry.changed <= oldest)
        };
        let gone = self.entries.iter().filter(|entry| over(entry));
        let actions = gone
            .map(|entry| Action::Forget(entry.fact.digest))
            .collect();
        self.entries.retain(|entry| !over(entry));
        actions
    }

    /// Returns all that is known, by digest.
    pub fn iter(&self) -> impl Iterator<Item = &Suspect> {
        self.entries.iter().map(|entry| &entry.fact)
    }

    /// Counts a crash of a server against a content, and returns what is known then.
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

    /// Returns the bounds that it works by.
    pub const fn config(&self) -> &configs::suspect::Suspect {
        &self.config
    }

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
