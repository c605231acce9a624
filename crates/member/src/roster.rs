//! The roster of one instance: what it knows of the others, and what it does to know it.

use core::time::Duration;

use base::{Incarnation, Name, Stamp, Tick};

use crate::{
    action::Action,
    configs,
    event::{Context, Event, Listing},
    fact::{Domain, Fact, Id, Instance, Load, State, Tally},
    mark::Marks,
    peers::{Peer, Peers},
    servers::Servers,
    summary::{Body, Summary},
    table::{STEP, Table},
    view::{self, View},
};

mod bridge;
mod duty;
mod reader;
mod round;
mod seal;
mod source;

/// The membership core of one instance.
///
/// It reads no clock and does no I/O: the driver hands it events with the time and carries out the actions.
#[derive(Debug)]
pub struct Roster {
    own: Instance,
    config: configs::roster::Roster,
    table: Table,
    marks: Marks,
    servers: Servers,
    peers: Peers,
    /// The sums of each failure domain, by its name.
    tallies: Vec<Tally>,
    domains: Vec<Remote>,
    /// The period in which this instance started.
    began: Option<u64>,
    /// The latest sealed summary of the own failure domain.
    sealed: Option<Remote>,
    /// Addresses to ask while no instance of the own failure domain is heard.
    seeds: Vec<Name>,
    /// Whether the last summary came from an instance that knows the same origins.
    agreed: bool,
    next: Next,
    polls: Vec<duty::Poll>,
    reader: reader::Reader,
    roles: duty::Roles,
    revision: u64,
}

/// What a failure domain says of itself, and when that came.
#[derive(Clone, Debug)]
struct Remote {
    domain: Domain,
    heard: Tick,
}

/// When each periodic task is due.
#[derive(Clone, Copy, Debug, Default)]
struct Next {
    bridge: Tick,
    round: Tick,
}

impl Roster {
    /// Opens the roster of an instance, which knows nobody yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Incarnation, Stamp, Tick};
    /// use member::{Roster, configs, fact::Instance};
    /// let own = Instance {
    ///     incarnation: Incarnation::new("entry-1", Stamp::from_millis(1)),
    ///     domain: "accra-1".into(),
    ///     address: "127.0.0.1:7001".into(),
    ///     ..Instance::default()
    /// };
    /// let roster = Roster::new(own, configs::roster::Roster::default(), Tick::default());
    /// assert!(roster.view(Tick::default()).pools.is_empty());
    /// ```
    pub fn new(own: Instance, config: configs::roster::Roster, now: Tick) -> Self {
        Self {
            table: Table::new(Id::from_incarnation(&own.incarnation), now),
            own,
            config,
            marks: Marks::default(),
            servers: Servers::default(),
            peers: Peers::default(),
            tallies: Vec::new(),
            domains: Vec::new(),
            began: None,
            sealed: None,
            seeds: Vec::new(),
            agreed: false,
            next: Next::default(),
            polls: Vec::new(),
            reader: reader::Reader::open(now),
            roles: duty::Roles::default(),
            revision: 0,
        }
    }

    /// Handles one event and returns what is to be done.
    ///
    /// - An incarnation once seen leaving stays leaving, whatever a list or a peer says later.
    /// - A later start under the same name supersedes an earlier one.
    /// - First-hand news of a leaving incarnation goes to every peer of the failure domain at once.
    pub fn handle(&mut self, context: &mut Context<'_>, event: Event) -> Vec<Action> {
        self.table.beat(context.now, version(context.stamp));
        self.table.tell(Fact::Instance(self.own.clone()));
        match event {
            Event::ExchangeAnswered(summary) => self.answered(context, &summary),
            Event::ExchangeRequested(summary) => self.asked(context, &summary),
            Event::ServerReported(word) => self.heard(context, &word),
            Event::ListReceived(list) => self.read(context, list),
            Event::Stop => self.stop(context),
            Event::Publish(fact) => self.tell(context, fact),
            Event::Tick => self.tick(context),
            Event::Withdraw(subject) => {
                self.table.withdraw(&subject);
                Vec::new()
            }
        }
    }

    /// Returns whom to use at an instant, each list sorted by name.
    pub fn view(&self, now: Tick) -> View {
        let mut pools: Vec<view::Pool> = Vec::new();
        for known in self.servers.iter() {
            let at = match pools.binary_search_by(|pool| pool.name.cmp(&known.pool)) {
                Ok(at) => at,
                Err(at) => {
                    let pool = view::Pool {
                        name: known.pool.clone(),
                        servers: Vec::new(),
                    };
                    pools.insert(at, pool);
                    at
                }
            };
            pools[at].servers.push(view::Server {
                incarnation: known.incarnation.clone(),
                address: known.address.clone(),
                state: self.state(&known.incarnation),
                load: known.load.map(|(load, held)| Load {
                    age: now - held,
                    ..load
                }),
                age: now - known.heard,
            });
        }
        let peers = self.peers.iter().map(|peer| self.peer(now, peer)).collect();
        let remote = |one: &Remote| view::Domain {
            summary: one.domain.clone(),
            age: now - one.heard,
        };
        View {
            pools,
            peers,
            own: self.sealed.as_ref().map(remote),
            domains: self.domains.iter().map(remote).collect(),
            tallies: self.tallies.clone(),
        }
    }

    /// Returns the live instances of the own failure domain, the own one included, by name.
    ///
    /// Roles are assigned among these by [`crate::rendezvous`].
    pub fn members(&self, now: Tick) -> Vec<Incarnation> {
        let mut members: Vec<Incarnation> = self
            .near(now)
            .filter(|peer| peer.instance.state == State::Live)
            .map(|peer| peer.instance.incarnation.clone())
            .collect();
        if self.own.state == State::Live || members.is_empty() {
            members.push(self.own.incarnation.clone());
        }
        members.sort_unstable();
        members
    }

    /// Returns every fact of every origin, with the time since it was last known to stand.
    pub fn facts(&self, now: Tick) -> impl Iterator<Item = (Id, Duration, &Fact)> {
        self.table.origins().iter().flat_map(move |origin| {
            let age = now - origin.heard;
            origin.facts().map(move |(_, fact)| (origin.id, age, fact))
        })
    }

    /// Returns a number that grows whenever servers, peers or marks change, loads aside.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the platform's list as this instance or the reader of its failure domain last had it.
    pub fn list(&self) -> &[Listing] {
        self.reader.list()
    }

    /// Tells whether an incarnation was seen leaving.
    pub fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        self.marks.contains(incarnation)
    }

    fn answered(&mut self, context: &mut Context<'_>, summary: &Summary) -> Vec<Action> {
        let told = self.take(context, summary, true);
        self.carry(summary);
        told
    }

    fn asked(&mut self, context: &mut Context<'_>, summary: &Summary) -> Vec<Action> {
        if self.foreign(summary) {
            return vec![Action::Answer(self.abroad(context.now))];
        }
        let mut actions = self.take(context, summary, false);
        actions.push(Action::Answer(self.answer(context.now, summary)));
        actions
    }

    /// Tells whether a summary comes from an instance that took this one for one of its own failure domain.
    fn foreign(&self, summary: &Summary) -> bool {
        let rows = summary.deltas.iter().flat_map(|delta| &delta.rows);
        let mut facts = rows.filter_map(|row| match &row.body {
            Body::Whole(Fact::Instance(instance)) => Some(instance),
            _ => None,
        });
        facts.any(|instance| instance.domain != self.own.domain)
    }

    fn take(
        &mut self,
        context: &mut Context<'_>,
        summary: &Summary,
        answered: bool,
    ) -> Vec<Action> {
        self.compare(summary);
        let news = self.table.merge(context.now, summary, answered);
        let mut actions = self.absorb(context, news);
        let leaving = self.learn(context, &summary.leaving);
        actions.extend(self.adopt(context, summary));
        if self.table.origin(summary.sender).is_none() {
            actions.extend(self.pass_on(context.now, summary, leaving));
        }
        actions
    }

    fn stop(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        self.own.state = State::Leaving;
        self.table.tell(Fact::Instance(self.own.clone()));
        let own = self.own.incarnation.clone();
        self.leave(context, &[own])
    }

    fn tell(&mut self, context: &mut Context<'_>, fact: Fact) -> Vec<Action> {
        self.table.tell(fact.clone());
        if !matches!(fact, Fact::Suspect(_)) {
            return Vec::new();
        }
        let news = Summary {
            facts: vec![fact],
            ..Summary::default()
        };
        self.spread(context, &news)
    }

    fn state(&self, incarnation: &Incarnation) -> State {
        match self.marks.contains(incarnation) {
            true => State::Leaving,
            false => State::Live,
        }
    }

    fn peer(&self, now: Tick, peer: &Peer) -> view::Peer {
        let origin = self.table.origin(peer.id).filter(|one| one.version > 0);
        let age = origin.map(|one| now - one.heard);
        view::Peer {
            instance: peer.instance.clone(),
            age,
            is_heard: age.is_some_and(|age| age <= self.config.peer_timeout),
        }
    }

    /// Returns the other instances of the own failure domain that were heard lately.
    fn near(&self, now: Tick) -> impl Iterator<Item = &Peer> {
        let lost = self.config.peer_timeout;
        let heard = move |peer: &&Peer| {
            let origin = self.table.origin(peer.id).filter(|one| one.version > 0);
            origin.is_some_and(|one| now - one.heard <= lost)
        };
        let near = |peer: &&Peer| peer.instance.domain == self.own.domain;
        self.peers.iter().filter(near).filter(heard)
    }
}

/// Returns the version that belongs to a wall-clock time.
fn version(stamp: Stamp) -> u64 {
    stamp.as_millis() / u64::try_from(STEP.as_millis()).unwrap_or(1)
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn earlier(now: Tick, span: Duration) -> Tick {
    Tick::from_micros(now.as_micros().saturating_sub(micros(span)))
}
