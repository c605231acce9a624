//! What the sources say: the platform's list, backend servers themselves, and rows of peers.

use core::{slice, time::Duration};

use base::{Incarnation, Name, Tick};

use super::{Roster, micros};
use crate::{
    action::Action,
    event::{Context, Listing, Role, Status},
    fact::{Fact, Instance, Server, State, Subject},
    summary::Summary,
    table::News,
};

impl Roster {
    /// Takes in what a backend server said of itself.
    pub(super) fn heard(&mut self, context: &mut Context<'_>, word: &Status) -> Vec<Action> {
        let now = context.now;
        let Some(known) = self.servers.get(&word.incarnation.name) else {
            return Vec::new();
        };
        let server = Server {
            incarnation: word.incarnation.clone(),
            domain: self.own.domain.clone(),
            address: known.address.clone(),
            pool: known.pool.clone(),
            state: word.state,
            load: word.load,
        };
        let renewed = word.incarnation > known.incarnation;
        let Some(known) = self.servers.place(now, &server) else {
            return Vec::new();
        };
        known.hear(now, word.load);
        self.revision += u64::from(renewed);
        self.report(context, &server);
        match word.state {
            State::Live => Vec::new(),
            State::Leaving => self.leave(context, slice::from_ref(&word.incarnation)),
        }
    }

    pub(super) fn listed(&mut self, context: &mut Context<'_>, list: &[Listing]) -> Vec<Action> {
        for listing in list {
            self.place(context.now, listing);
        }
        let gone = self.servers.absent(context.now, &self.marks, &self.config);
        self.drop(&gone);
        let leaving = list
            .iter()
            .filter(|listing| listing.state == State::Leaving);
        let leaving: Vec<_> = leaving.map(|listing| listing.incarnation.clone()).collect();
        self.leave(context, &leaving)
    }

    fn place(&mut self, now: Tick, listing: &Listing) {
        self.marks.record_named(now, &listing.incarnation.name);
        match &listing.role {
            Role::Backend(pool) if listing.domain == self.own.domain => {
                let server = Server {
                    incarnation: listing.incarnation.clone(),
                    domain: listing.domain.clone(),
                    address: listing.address.clone(),
                    pool: pool.clone(),
                    state: listing.state,
                    load: None,
                };
                self.see(now, &server);
                if let Some(known) = self.servers.get_mut(&listing.incarnation.name) {
                    known.listed = now;
                }
            }
            Role::Backend(_) => {}
            Role::Entry if listing.incarnation.name == self.own.incarnation.name => {}
            Role::Entry if listing.domain.as_str().is_empty() => self.seed(&listing.address),
            Role::Entry => {
                let instance = Instance {
                    incarnation: listing.incarnation.clone(),
                    domain: listing.domain.clone(),
                    address: listing.address.clone(),
                    state: self.state(&listing.incarnation),
                };
                self.peers.place(now, &instance);
            }
        }
    }

    fn seed(&mut self, address: &Name) {
        if let Err(at) = self.seeds.binary_search(address) {
            self.seeds.insert(at, address.clone());
        }
    }

    /// Places a backend server. Leaving ones are placed as well: their pollers find the next life.
    fn see(&mut self, now: Tick, server: &Server) {
        let name = &server.incarnation.name;
        let before = self
            .servers
            .get(name)
            .map(|known| known.incarnation.clone());
        self.servers.place(now, server);
        let after = self.servers.get(name).map(|known| &known.incarnation);
        self.revision += u64::from(before.as_ref() != after);
    }

    /// Marks incarnations on first-hand news and passes on those that were not marked.
    pub(super) fn leave(
        &mut self,
        context: &mut Context<'_>,
        leaving: &[Incarnation],
    ) -> Vec<Action> {
        let new = leaving
            .iter()
            .filter(|one| self.marks.add(context.now, one));
        let leaving: Vec<Incarnation> = new.cloned().collect();
        for incarnation in &leaving {
            self.revision += 1;
            self.peers.leave(incarnation);
            self.tell_leaving(incarnation);
        }
        if leaving.is_empty() {
            return Vec::new();
        }
        let notice = Summary {
            leaving,
            ..Summary::default()
        };
        self.spread(context, &notice)
    }

    fn tell_leaving(&mut self, incarnation: &Incarnation) {
        let known = self.servers.get(&incarnation.name);
        let Some(known) = known.filter(|known| known.incarnation == *incarnation) else {
            return;
        };
        let server = Server {
            incarnation: incarnation.clone(),
            domain: self.own.domain.clone(),
            address: known.address.clone(),
            pool: known.pool.clone(),
            state: State::Leaving,
            load: None,
        };
        self.table.tell(Fact::Server(server));
    }

    /// Takes over marks that a peer passed on, and returns those that were new.
    pub(super) fn learn(
        &mut self,
        context: &Context<'_>,
        leaving: &[Incarnation],
    ) -> Vec<Incarnation> {
        let mut new = leaving.to_vec();
        new.retain(|one| self.marks.add(context.now, one));
        for incarnation in &new {
            self.revision += 1;
            self.peers.leave(incarnation);
        }
        new
    }

    /// Takes in facts that are new in the table.
    pub(super) fn absorb(&mut self, context: &mut Context<'_>, news: Vec<News>) -> Vec<Action> {
        let mut learned = Vec::new();
        for News { origin, age, fact } in news {
            match fact {
                Fact::Domain(domain) => self.hear(context, domain),
                Fact::Instance(instance) => self.meet(context, &instance),
                Fact::Server(server) => self.hear_server(context.now, &server, age),
                Fact::Tally(tally) => self.hear_tally(context, tally),
                Fact::Listed(_) => {}
                Fact::Reading(_) => learned.extend(self.take_over(context, origin, age)),
                Fact::Burn(_)
                | Fact::Demand(_)
                | Fact::Position(_)
                | Fact::Stages(_)
                | Fact::Suspect(_) => {
                    learned.push(Action::Deliver { origin, fact });
                }
            }
        }
        learned
    }

    fn meet(&mut self, context: &Context<'_>, instance: &Instance) {
        if instance.state == State::Leaving {
            self.learn(context, slice::from_ref(&instance.incarnation));
        }
        self.peers.place(context.now, instance);
        self.revision += 1;
    }

    fn hear_server(&mut self, now: Tick, server: &Server, age: Duration) {
        if server.state == State::Leaving && self.marks.add(now, &server.incarnation) {
            self.revision += 1;
        }
        self.see(now, server);
        let held = Tick::from_micros(now.as_micros().saturating_sub(micros(age)));
        if let Some(known) = self.servers.get_mut(&server.incarnation.name)
            && known.incarnation == server.incarnation
        {
            known.hear(held, server.load);
        }
    }

    pub(super) fn drop(&mut self, names: &[Name]) {
        for name in names {
            self.revision += 1;
            let subject = Subject::Server(name.clone());
            self.table.withdraw(&subject);
        }
    }
}
