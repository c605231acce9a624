//! What the roster is told.

use core::fmt;

use base::{Incarnation, Name, Stamp, Tick};
use rand::Rng;

use crate::{
    fact::{Fact, Load, State, Subject},
    summary::Summary,
};

/// What the roster may see of the world while it handles an event.
pub struct Context<'a> {
    /// The monotonic time.
    pub now: Tick,
    /// The wall-clock time; versions are made from it.
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

/// What a listed process is.
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
    /// Name and start of the process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// Where it is reached, `ip:port`.
    pub address: Name,
    /// What it is.
    pub role: Role,
    /// What the platform says of it.
    pub state: State,
}

/// What a backend server said of itself in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Its name and start.
    pub incarnation: Incarnation,
    /// Whether it said that it takes new work.
    pub state: State,
    /// Its load, where it told it.
    pub load: Option<Load>,
}

/// An event for the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer answered an exchange.
    ExchangeAnswered(Summary),
    /// A peer asks for an exchange.
    ExchangeRequested(Summary),
    /// A backend server answered a poll or an attempt.
    ServerReported(Status),
    /// The platform gave its list, or settings gave addresses: an entry instance without a failure domain is
    /// one of which only the address is known.
    ListReceived(Vec<Listing>),
    /// This instance is leaving.
    Stop,
    /// This instance tells a fact to its peers.
    Publish(Fact),
    /// Time has passed; due every 250 ms or more often.
    Tick,
    /// This instance takes a fact back.
    Withdraw(Subject),
}
