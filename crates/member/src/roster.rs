//! The roster of one instance: its knowledge of the other processes, and the protocol that keeps it current.

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
    table::{Table, VERSION_STEP},
    view::{self, View},
};

mod aggregate;
mod domains;
mod polling;
mod reader;
mod round;
mod source;

/// The membership core of one instance.
///
/// It reads no clock and does no I/O: the driver passes it events with the time and carries out the actions.
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
    other_domains: Vec<Remote>,
    /// The period of the first event.
    start_period: Option<u64>,
    /// The latest published summary of the own failure domain.
    own_summary: Option<Remote>,
    /// Addresses to contact while no instance of the own failure domain is heard.
    seeds: Vec<Name>,
    /// Whether the sender of the last summary knows the same origins.
    has_same_origins: bool,
    next_due: Next,
    polls: Vec<polling::Poll>,
    reader: reader::Reader,
    roles: polling::Roles,
    revision: u64,
}

/// The summary of a failure domain, and when it arrived.
#[derive(Clone, Debug)]
struct Remote {
    domain: Domain,
    received: Tick,
}

/// The times when periodic tasks are due.
#[derive(Clone, Copy, Debug, Default)]
struct Next {
    domain_exchange: Tick,
    round: Tick,
}

impl Roster {
    /// Returns the roster of an instance that knows no other process.
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
            other_domains: Vec::new(),
            start_period: None,
            own_summary: None,
            seeds: Vec::new(),
            has_same_origins: false,
            next_due: Next::default(),
            polls: Vec::new(),
            reader: reader::Reader::new(now),
            roles: polling::Roles::default(),
            revision: 0,
        }
    }

    /// Handles an event and returns the actions to carry out.
    ///
    /// - An incarnation once seen leaving stays leaving, whatever a list or a peer says later.
    /// - A later start under the same name supersedes an earlier one.
    /// - First-hand news of a leaving incarnation goes to every peer of the failure domain at once.
    pub fn handle(&mut self, context: &mut Context<'_>, event: Event) -> Vec<Action> {
        self.table
            .advance_version(context.now, version_at(context.stamp));
        self.table.publish(Fact::Instance(self.own.clone()));
        match event {
            Event::ExchangeAnswered(summary) => self.handle_answer(context, &summary),
            Event::ExchangeRequested(summary) => self.handle_request(context, &summary),
            Event::ServerReported(status) => self.handle_status(context, &status),
            Event::ListReceived(list) => self.handle_list(context, list),
            Event::Stop => self.stop(context),
            Event::Publish(fact) => self.publish(context, fact),
            Event::Tick => self.handle_tick(context),
            Event::Withdraw(subject) => {
                self.table.withdraw(&subject);
                Vec::new()
            }
        }
    }

    /// Returns the known processes at an instant, each list sorted by name.
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
                state: self.server_state(&known.incarnation),
                load: known.load.map(|(load, measured)| Load {
                    age: now - measured,
                    ..load
                }),
                age: now - known.last_heard,
            });
        }
        let peers = self
            .peers
            .iter()
            .map(|peer| self.peer_view(now, peer))
            .collect();
        let remote = |one: &Remote| view::Domain {
            summary: one.domain.clone(),
            age: now - one.received,
        };
        View {
            pools,
            peers,
            own: self.own_summary.as_ref().map(remote),
            domains: self.other_domains.iter().map(remote).collect(),
            tallies: self.tallies.clone(),
        }
    }

    /// Returns the live instances of the own failure domain, the own one included, by name.
    ///
    /// Roles are assigned among these by [`crate::rendezvous`].
    pub fn members(&self, now: Tick) -> Vec<Incarnation> {
        let mut members: Vec<Incarnation> = self
            .heard_peers(now)
            .filter(|peer| peer.instance.state == State::Live)
            .map(|peer| peer.instance.incarnation.clone())
            .collect();
        if self.own.state == State::Live || members.is_empty() {
            members.push(self.own.incarnation.clone());
        }
        members.sort_unstable();
        members
    }

    /// Returns every fact of every origin, with the time since the origin was last heard from.
    pub fn facts(&self, now: Tick) -> impl Iterator<Item = (Id, Duration, &Fact)> {
        self.table.origins().iter().flat_map(move |origin| {
            let age = now - origin.last_heard;
            origin.facts().map(move |(_, fact)| (origin.id, age, fact))
        })
    }

    /// Returns a number that grows whenever servers, peers or marks change; changes of load don't count.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the platform's list as last read by this instance or the reader of its failure domain.
    pub fn list(&self) -> &[Listing] {
        self.reader.list()
    }

    /// Returns whether an incarnation was seen leaving.
    pub fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        self.marks.contains(incarnation)
    }

    fn handle_answer(&mut self, context: &mut Context<'_>, summary: &Summary) -> Vec<Action> {
        let actions = self.merge(context, summary, true);
        self.publish_domain_facts(summary);
        actions
    }

    fn handle_request(&mut self, context: &mut Context<'_>, summary: &Summary) -> Vec<Action> {
        if self.is_from_other_domain(summary) {
            return vec![Action::Answer(self.domain_summary(context.now))];
        }
        let mut actions = self.merge(context, summary, false);
        actions.push(Action::Answer(self.answer(context.now, summary)));
        actions
    }

    /// Returns whether a summary comes from an instance of another failure domain that takes this one for a
    /// member of its own.
    fn is_from_other_domain(&self, summary: &Summary) -> bool {
        let rows = summary.deltas.iter().flat_map(|delta| &delta.rows);
        let mut facts = rows.filter_map(|row| match &row.body {
            Body::Whole(Fact::Instance(instance)) => Some(instance),
            _ => None,
        });
        facts.any(|instance| instance.domain != self.own.domain)
    }

    fn merge(
        &mut self,
        context: &mut Context<'_>,
        summary: &Summary,
        is_answer: bool,
    ) -> Vec<Action> {
        self.compare_origins(summary);
        let news = self.table.merge(context.now, summary, is_answer);
        let mut actions = self.apply_news(context, news);
        let leaving = self.add_marks(context, &summary.leaving);
        actions.extend(self.apply_domain_facts(context, summary));
        if self.table.origin(summary.sender).is_none() {
            actions.extend(self.forward(context.now, summary, leaving));
        }
        actions
    }

    fn stop(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        self.own.state = State::Leaving;
        self.table.publish(Fact::Instance(self.own.clone()));
        let own = self.own.incarnation.clone();
        self.mark_leaving(context, &[own])
    }

    fn publish(&mut self, context: &mut Context<'_>, fact: Fact) -> Vec<Action> {
        self.table.publish(fact.clone());
        if !matches!(fact, Fact::Suspect(_)) {
            return Vec::new();
        }
        let news = Summary {
            facts: vec![fact],
            ..Summary::default()
        };
        self.broadcast(context, &news)
    }

    fn server_state(&self, incarnation: &Incarnation) -> State {
        match self.marks.contains(incarnation) {
            true => State::Leaving,
            false => State::Live,
        }
    }

    fn peer_view(&self, now: Tick, peer: &Peer) -> view::Peer {
        let origin = self.table.origin(peer.id).filter(|one| one.version > 0);
        let age = origin.map(|one| now - one.last_heard);
        view::Peer {
            instance: peer.instance.clone(),
            age,
            is_heard: age.is_some_and(|age| age <= self.config.peer_timeout),
        }
    }

    /// Returns the other instances of the own failure domain that were heard from recently.
    fn heard_peers(&self, now: Tick) -> impl Iterator<Item = &Peer> {
        let timeout = self.config.peer_timeout;
        let is_heard = move |peer: &&Peer| {
            let origin = self.table.origin(peer.id).filter(|one| one.version > 0);
            origin.is_some_and(|one| now - one.last_heard <= timeout)
        };
        let is_same_domain = |peer: &&Peer| peer.instance.domain == self.own.domain;
        self.peers.iter().filter(is_same_domain).filter(is_heard)
    }
}

/// Returns the first version of an instance that starts at a wall-clock time.
fn version_at(stamp: Stamp) -> u64 {
    stamp.as_millis() / u64::try_from(VERSION_STEP.as_millis()).unwrap_or(1)
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn saturating_sub(now: Tick, span: Duration) -> Tick {
    Tick::from_micros(now.as_micros().saturating_sub(micros(span)))
}
