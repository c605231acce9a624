//! Events of the roster.

use core::fmt;

use base::{Incarnation, Name, Stamp, Tick};
use rand::Rng;

use crate::{
    fact::{Fact, Load, State, Subject},
    summary::Summary,
};

/// The clocks and randomness that the roster uses while it handles an event.
pub struct Context<'a> {
    /// The monotonic time.
    pub now: Tick,
    /// The wall-clock time, from which first versions and periods are derived.
    pub stamp: Stamp,
    /// The source of randomness.
    pub rng: &'a mut dyn Rng,
}

impl fmt::Debug for Context<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context")
            .field("now", &self.now)
            .field("stamp", &self.stamp)
            .finish_non_exhaustive()
    }
}

/// The role of a listed process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A backend server of a pool.
    Backend(Name),
    /// An entry instance.
    Entry,
}

/// One line of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Listing {
    /// Name and start time of the process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// Its address, `ip:port`.
    pub address: Name,
    /// Its role.
    pub role: Role,
    /// Its state according to the platform.
    pub state: State,
}

/// The status that a backend server reported in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Its name and start time.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub state: State,
    /// Its load, if it reported one.
    pub load: Option<Load>,
}

/// An event of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer answered an exchange.
    ExchangeAnswered(Summary),
    /// A peer requests an exchange.
    ExchangeRequested(Summary),
    /// A backend server answered a poll or an attempt.
    ServerReported(Status),
    /// The platform's list was read, or the settings name seed addresses. An entry instance listed without a
    /// failure domain is a seed, of which only the address is known.
    ListReceived(Vec<Listing>),
    /// This instance is leaving.
    Stop,
    /// This instance publishes a fact to its peers.
    Publish(Fact),
    /// Time has passed; must occur every 250 ms or more often.
    Tick,
    /// This instance withdraws a fact.
    Withdraw(Subject),
}
