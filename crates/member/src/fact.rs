//! The facts that instances publish to each other.

mod burn;

use core::time::Duration;

use base::{Digest, Incarnation, Name};

pub use self::burn::{Burn, Count, Stage, Stages, Tally};
use crate::event::Listing;

/// Short id of an incarnation: the prefix of the digest of its name and start time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

impl Id {
    /// Derives the id of an incarnation.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Incarnation, Stamp};
    /// use member::fact::Id;
    /// let first = Incarnation::new("entry-1", Stamp::from_millis(1));
    /// let second = Incarnation::new("entry-1", Stamp::from_millis(2));
    /// assert_ne!(Id::from_incarnation(&first), Id::from_incarnation(&second));
    /// ```
    pub fn from_incarnation(incarnation: &Incarnation) -> Self {
        Self(Digest::of(incarnation.to_string().as_bytes()).prefix())
    }
}

/// Whether new work may be sent to an instance or backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It takes new work.
    #[default]
    Live,
    /// It finishes its work and takes no new work.
    Leaving,
}

/// An entry instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Instance {
    /// Its name and start time.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// Its address for peers, `ip:port`.
    pub address: Name,
    /// Whether it takes new work.
    pub state: State,
}

/// The load of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Use of the memory for KV caches, in thousandths.
    pub memory: u32,
    /// How old the figures were when they were published.
    pub age: Duration,
}

/// A backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Server {
    /// Its name and start time.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// Its address, `ip:port`.
    pub address: Name,
    /// The pool that it belongs to.
    pub pool: Name,
    /// Whether it takes new work.
    pub state: State,
    /// Its load, if it reports one.
    pub load: Option<Load>,
}

/// The sums over one pool of a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// The name of the pool.
    pub name: Name,
    /// Backend servers that take new work.
    pub live: u32,
    /// Backend servers that are leaving.
    pub leaving: u32,
    /// Requests that the live ones run.
    pub running: u32,
    /// Requests that wait in the live ones.
    pub waiting: u32,
}

/// The summary that a failure domain publishes for the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Domain {
    /// The name of the failure domain.
    pub name: Name,
    /// Number of the period of wall-clock time in which this was published.
    pub version: u64,
    /// Its pools, by name.
    pub pools: Vec<Pool>,
    /// A few entry instances to contact.
    pub instances: Vec<Instance>,
    /// How many entry instances it has heard from recently.
    pub count: u32,
    /// How many of those are leaving.
    pub leaving: u32,
    /// How many entry instances it knows but has not heard from recently.
    pub unheard: u32,
    /// The configurations in force at its instances, each once.
    pub positions: Vec<Position>,
}

/// The log position of the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Offset of the record in the log.
    pub offset: u64,
    /// Digest of the configuration.
    pub digest: Digest,
}

/// The content of a request that was in flight when backend servers died.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Digest over client account, pipeline and body.
    pub digest: Digest,
    /// The backend servers that died with it since it was last cleared, sorted.
    pub crashed: Vec<Id>,
    /// How often it was cleared by completing.
    pub cleared: u32,
}

/// Demand of one client account at an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The client account.
    pub account: Name,
    /// Cost units a second that were asked for.
    pub asked: u32,
    /// Cost units a second that were admitted.
    pub admitted: u32,
}

impl Suspect {
    /// Merges what another instance knows of the same content, and returns whether that was new.
    ///
    /// The result does not depend on the order or number of merges: the higher number of clearings wins, and
    /// crashes since the same clearing are united.
    ///
    /// # Examples
    ///
    /// ```
    /// use member::fact::{Id, Suspect};
    /// let known = |crashed: &[u64], cleared| Suspect {
    ///     digest: base::Digest::of(b"body"),
    ///     crashed: crashed.iter().map(|id| Id(*id)).collect(),
    ///     cleared,
    /// };
    /// let mut one = known(&[1], 0);
    /// assert!(one.merge(&known(&[2], 0)) && one == known(&[1, 2], 0));
    /// assert!(one.merge(&known(&[], 1)) && one == known(&[], 1));
    /// assert!(!one.merge(&known(&[3], 0)));
    /// ```
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.cleared != self.cleared {
            let is_newer = other.cleared > self.cleared;
            if is_newer {
                self.clone_from(other);
            }
            return is_newer;
        }
        let before = self.crashed.len();
        self.crashed.extend(&other.crashed);
        self.crashed.sort_unstable();
        self.crashed.dedup();
        self.crashed.len() > before
    }
}

/// A fact that an instance publishes to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    /// Request counts of a pipeline.
    Burn(Burn),
    /// Pipelines and their stages, summed over a failure domain.
    Tally(Tally),
    /// Demand of a client account.
    Demand(Demand),
    /// The summary of a failure domain.
    Domain(Domain),
    /// The instance itself.
    Instance(Instance),
    /// A line of the platform's list, as the origin last read it.
    Listed(Listing),
    /// The configuration in force.
    Position(Position),
    /// How often the origin has read the platform's list, whose lines it publishes.
    Reading(u64),
    /// A backend server.
    Server(Server),
    /// Time and cost of the stages of a pipeline.
    Stages(Stages),
    /// The content of a request, which may crash backend servers.
    Suspect(Suspect),
}

/// The subject of a fact; an instance publishes at most one fact about each subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// Request counts of a pipeline.
    Burn(Name),
    /// The sums of a failure domain.
    Tally(Name),
    /// A client account.
    Demand(Name),
    /// A failure domain.
    Domain(Name),
    /// The instance itself.
    Instance,
    /// A line of the platform's list.
    Listed(Incarnation),
    /// The configuration in force.
    Position,
    /// The number of reads of the platform's list.
    Reading,
    /// A backend server, by name.
    Server(Name),
    /// The stages of a pipeline.
    Stages(Name),
    /// The content of a request.
    Suspect(Digest),
}

impl Fact {
    /// Returns whether the fact is about a subject.
    pub(crate) fn is_about(&self, subject: &Subject) -> bool {
        match (self, subject) {
            (Self::Listed(line), Subject::Listed(incarnation)) => line.incarnation == *incarnation,
            // There are many lines of the list, so avoid building a subject for each of them.
            (Self::Listed(_), _) | (_, Subject::Listed(_)) => false,
            _ => self.subject() == *subject,
        }
    }

    /// Returns the subject of the fact.
    ///
    /// # Examples
    ///
    /// ```
    /// use member::fact::{Demand, Fact, Subject};
    /// let fact = Fact::Demand(Demand { account: "adinkra".into(), ..Demand::default() });
    /// assert_eq!(fact.subject(), Subject::Demand("adinkra".into()));
    /// ```
    pub fn subject(&self) -> Subject {
        match self {
            Self::Burn(burn) => Subject::Burn(burn.pipeline.clone()),
            Self::Tally(tally) => Subject::Tally(tally.domain.clone()),
            Self::Demand(demand) => Subject::Demand(demand.account.clone()),
            Self::Domain(domain) => Subject::Domain(domain.name.clone()),
            Self::Instance(_) => Subject::Instance,
            Self::Listed(line) => Subject::Listed(line.incarnation.clone()),
            Self::Position(_) => Subject::Position,
            Self::Reading(_) => Subject::Reading,
            Self::Server(server) => Subject::Server(server.incarnation.name.clone()),
            Self::Stages(stages) => Subject::Stages(stages.pipeline.clone()),
            Self::Suspect(suspect) => Subject::Suspect(suspect.digest),
        }
    }
}
