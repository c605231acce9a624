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
/// routing takes one of [`pair`]. Where copies of a content that nobody suspects yet run at more
/// servers at the same time, each of these servers may be lost before the first loss is heard of.
pub const BOUND: usize = 2;

/// What one instance knows of contents in flight and of suspects.
///
/// The suspect is the content, a digest over client account, pipeline and body, as a caller sends it
/// again under a new key.
#[derive(Clone, Debug)]
pub struct Register {
    config: configs::suspect::Suspect,
    entries: Vec<Entry>,
    flights: Vec<Flight>,
}

#[derive(Clone, Debug)]
struct Entry {
    fact: Suspect,
    changed: Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Flight {
    digest: Digest,
    /// Whether the server stopped answering and may be about to die of it.
    doubtful: bool,
    server: Id,
    /// Whether the owner of suspects knows of it.
    reported: bool,
}

/// How a content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// With a permit of the suspects' owner only.
    Alone,
    /// Like any other.
    Free,
    /// Never again.
    Refused,
}

/// How an attempt ended while its server lived on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
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
    Tell(Suspect),
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
/// let pair = retry::suspect::pair(&servers, &Digest::of(b"body"));
/// assert_eq!(pair.len(), 2);
/// ```
pub fn pair<'a>(servers: &'a [Incarnation], digest: &Digest) -> Vec<&'a Incarnation> {
    rendezvous::candidates(servers, digest.as_bytes(), BOUND)
}

/// Returns the digest of a content.
///
/// # Examples
///
/// ```
/// use retry::suspect::content;
/// let (account, pipeline) = ("adinkra".into(), "brief".into());
/// assert_eq!(content(&account, &pipeline, b"{}"), content(&account, &pipeline, b"{}"));
/// assert_ne!(content(&account, &pipeline, b"{}"), content(&account, &pipeline, b"[]"));
/// ```
pub fn content(account: &Name, pipeline: &Name, body: &[u8]) -> Digest {
    Digest::of_parts(&[
        account.as_str().as_bytes(),
        pipeline.as_str().as_bytes(),
        body,
    ])
}

impl Register {
    /// Opens a register that knows no suspects.
    pub const fn open(config: configs::suspect::Suspect) -> Self {
        Self {
            config,
            entries: Vec::new(),
            flights: Vec::new(),
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
    /// use retry::{Register, configs, suspect::Verdict};
    /// let mut register = Register::open(configs::suspect::Suspect::default());
    /// let digest = Digest::of(b"body");
    /// register.start(digest, Id(1));
    /// register.died(Tick::default(), Id(1));
    /// assert_eq!(register.verdict(&digest), Verdict::Alone);
    /// register.start(digest, Id(2));
    /// register.died(Tick::default(), Id(2));
    /// assert_eq!(register.verdict(&digest), Verdict::Refused);
    /// ```
    pub fn verdict(&self, digest: &Digest) -> Verdict {
        match self.get(digest).map_or(0, |fact| fact.crashed.len()) {
            0 if self.doubtful(digest) < BOUND => Verdict::Free,
            crashed if crashed < BOUND => Verdict::Alone,
            _ => Verdict::Refused,
        }
    }

    /// Returns the number of servers that stopped answering while they ran a content.
    fn doubtful(&self, digest: &Digest) -> usize {
        let flights = self.flights.iter();
        let mut servers: Vec<Id> = flights
            .filter(|flight| flight.doubtful && flight.digest == *digest)
            .map(|flight| flight.server)
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
    pub fn start(&mut self, digest: Digest, server: Id) {
        let reported = self.verdict(&digest) != Verdict::Free;
        self.flights.push(Flight {
            digest,
            doubtful: false,
            server,
            reported,
        });
    }

    /// Notes that an attempt got no answer while its server may be about to die of it.
    ///
    /// It counts as in flight until [`Register::end`] or [`Register::died`] is told.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Digest, Tick};
    /// use member::fact::Id;
    /// use retry::{Register, configs, suspect::{End, Verdict}};
    /// let mut register = Register::open(configs::suspect::Suspect::default());
    /// let digest = Digest::of(b"body");
    /// for server in [Id(1), Id(2)] {
    ///     register.start(digest, server);
    ///     register.doubt(digest, server);
    /// }
    /// assert_eq!(register.verdict(&digest), Verdict::Alone);
    /// register.end(Tick::default(), digest, Id(1), End::Other);
    /// assert_eq!(register.verdict(&digest), Verdict::Free);
    /// ```
    pub fn doubt(&mut self, digest: Digest, server: Id) {
        let mut flights = self.flights.iter_mut();
        let this = |flight: &&mut Flight| {
            flight.digest == digest && flight.server == server && !flight.doubtful
        };
        if let Some(flight) = flights.find(this) {
            flight.doubtful = true;
        }
    }

    /// Notes that an attempt ended while its server lived on; completing clears a suspect.
    pub fn end(&mut self, now: Tick, digest: Digest, server: Id, end: End) -> Vec<Action> {
        let this = |flight: &Flight| flight.digest == digest && flight.server == server;
        let flight = self.flights.iter().position(this);
        let reported = flight.is_some_and(|at| self.flights.swap_remove(at).reported);
        let (mut actions, step) = match end {
            End::Completed => (self.clear(now, &digest), Step::Completed),
            End::Other => (Vec::new(), Step::Other),
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
    pub fn died(&mut self, now: Tick, server: Id) -> Vec<Action> {
        let dead = |flight: &Flight| flight.server == server;
        let mut lost: Vec<Flight> = self
            .flights
            .iter()
            .filter(|one| dead(one))
            .copied()
            .collect();
        self.flights.retain(|flight| !dead(flight));
        lost.sort_unstable_by_key(|flight| (flight.digest, !flight.reported));
        lost.dedup_by_key(|flight| flight.digest);
        let mut actions = Vec::new();
        for Flight {
            digest, reported, ..
        } in lost
        {
            actions.push(Action::Tell(self.crash(now, digest, server)));
            if reported {
                let step = Step::Crashed;
                actions.push(Action::Report {
                    digest,
                    server,
                    step,
                });
            }
            actions.extend(self.running(&digest));
        }
        actions
    }

    /// Takes in what a peer told.
    ///
    /// Attempts that run at a content which is a suspect now are reported to the owner, which gives no
    /// permit while they run.
    pub fn learn(&mut self, now: Tick, fact: &Suspect) -> Vec<Action> {
        let entry = self.entry(now, fact.digest);
        if !entry.fact.merge(fact) {
            return Vec::new();
        }
        entry.changed = now;
        self.running(&fact.digest)
    }

    /// Tells whether an attempt of this instance stands in the way of running a content alone at a server.
    pub fn blocks(&self, digest: &Digest, server: Id) -> bool {
        let suspect = |flight: &Flight| self.verdict(&flight.digest) != Verdict::Free;
        let mut flights = self.flights.iter();
        flights.any(|one| one.digest == *digest || one.server == server && suspect(one))
    }

    /// Returns until when no permit may be given for a content.
    pub(crate) fn held(&self, digest: &Digest) -> Tick {
        let changed = self
            .find(digest)
            .map_or(Tick::default(), |at| self.entries[at].changed);
        changed + self.config.hold
    }

    /// Reports the attempts at a suspect content that the owner does not know of.
    fn running(&mut self, digest: &Digest) -> Vec<Action> {
        if self.verdict(digest) == Verdict::Free {
            return Vec::new();
        }
        let new = |flight: &&mut Flight| flight.digest == *digest && !flight.reported;
        let report = |flight: &mut Flight| {
            flight.reported = true;
            Action::Report {
                digest: flight.digest,
                server: flight.server,
                step: Step::Running,
            }
        };
        self.flights.iter_mut().filter(new).map(report).collect()
    }

    /// Forgets contents that have not changed for long, and the oldest beyond the most that are kept.
    pub fn sweep(&mut self, now: Tick) -> Vec<Action> {
        let mut ages: Vec<Tick> = self.entries.iter().map(|entry| entry.changed).collect();
        ages.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = ages.get(self.config.most).copied();
        let keep = self.config.keep;
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
    pub(crate) fn crash(&mut self, now: Tick, digest: Digest, server: Id) -> Suspect {
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
        if entry.fact.crashed.is_empty() || entry.fact.crashed.len() >= BOUND {
            return Vec::new();
        }
        entry.fact.crashed.clear();
        entry.fact.cleared += 1;
        entry.changed = now;
        vec![Action::Tell(entry.fact.clone())]
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
