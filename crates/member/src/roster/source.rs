//! Input from the sources: the platform's list, backend servers, and rows of peers.

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
    /// Applies the status that a backend server reported.
    pub(super) fn handle_status(
        &mut self,
        context: &mut Context<'_>,
        status: &Status,
    ) -> Vec<Action> {
        let now = context.now;
        let Some(known) = self.servers.get(&status.incarnation.name) else {
            return Vec::new();
        };
        let server = Server {
            incarnation: status.incarnation.clone(),
            domain: self.own.domain.clone(),
            address: known.address.clone(),
            pool: known.pool.clone(),
            state: status.state,
            load: status.load,
        };
        let is_new = status.incarnation > known.incarnation;
        let Some(known) = self.servers.insert(now, &server) else {
            return Vec::new();
        };
        known.record_status(now, status.load);
        self.revision += u64::from(is_new);
        self.publish_load(context, &server);
        match status.state {
            State::Live => Vec::new(),
            State::Leaving => self.mark_leaving(context, slice::from_ref(&status.incarnation)),
        }
    }

    /// Applies a list of the platform.
    pub(super) fn apply_list(
        &mut self,
        context: &mut Context<'_>,
        list: &[Listing],
    ) -> Vec<Action> {
        for listing in list {
            self.apply_listing(context.now, listing);
        }
        let gone = self
            .servers
            .remove_unlisted(context.now, &self.marks, &self.config);
        self.withdraw_servers(&gone);
        let leaving = list
            .iter()
            .filter(|listing| listing.state == State::Leaving);
        let leaving: Vec<_> = leaving.map(|listing| listing.incarnation.clone()).collect();
        self.mark_leaving(context, &leaving)
    }

    fn apply_listing(&mut self, now: Tick, listing: &Listing) {
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
                self.insert_server(now, &server);
                if let Some(known) = self.servers.get_mut(&listing.incarnation.name) {
                    known.last_listed = now;
                }
            }
            Role::Backend(_) => {}
            Role::Entry if listing.incarnation.name == self.own.incarnation.name => {}
            Role::Entry if listing.domain.as_str().is_empty() => self.add_seed(&listing.address),
            Role::Entry => {
                let instance = Instance {
                    incarnation: listing.incarnation.clone(),
                    domain: listing.domain.clone(),
                    address: listing.address.clone(),
                    state: self.server_state(&listing.incarnation),
                };
                self.peers.insert(now, &instance);
            }
        }
    }

    fn add_seed(&mut self, address: &Name) {
        if let Err(at) = self.seeds.binary_search(address) {
            self.seeds.insert(at, address.clone());
        }
    }

    /// Inserts or updates a backend server. Leaving ones are kept, so that polls find their next incarnation.
    fn insert_server(&mut self, now: Tick, server: &Server) {
        let name = &server.incarnation.name;
        let before = self
            .servers
            .get(name)
            .map(|known| known.incarnation.clone());
        self.servers.insert(now, server);
        let after = self.servers.get(name).map(|known| &known.incarnation);
        self.revision += u64::from(before.as_ref() != after);
    }

    /// Marks incarnations as leaving on first-hand news, and broadcasts the new marks.
    pub(super) fn mark_leaving(
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
            self.peers.mark_leaving(incarnation);
            self.publish_leaving(incarnation);
        }
        if leaving.is_empty() {
            return Vec::new();
        }
        let notice = Summary {
            leaving,
            ..Summary::default()
        };
        self.broadcast(context, &notice)
    }

    /// Publishes that a known backend server is leaving.
    fn publish_leaving(&mut self, incarnation: &Incarnation) {
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
        self.table.publish(Fact::Server(server));
    }

    /// Adds marks from a peer, and returns the new ones.
    pub(super) fn add_marks(
        &mut self,
        context: &Context<'_>,
        leaving: &[Incarnation],
    ) -> Vec<Incarnation> {
        let mut new = leaving.to_vec();
        new.retain(|one| self.marks.add(context.now, one));
        for incarnation in &new {
            self.revision += 1;
            self.peers.mark_leaving(incarnation);
        }
        new
    }

    /// Applies facts that are new in the table.
    pub(super) fn apply_news(&mut self, context: &mut Context<'_>, news: Vec<News>) -> Vec<Action> {
        let mut actions = Vec::new();
        for News { origin, age, fact } in news {
            match fact {
                Fact::Domain(domain) => self.apply_domain(context, domain),
                Fact::Instance(instance) => self.apply_instance(context, &instance),
                Fact::Server(server) => self.apply_server(context.now, &server, age),
                Fact::Tally(tally) => self.apply_tally(context, tally),
                Fact::Listed(_) => {}
                Fact::Reading(_) => actions.extend(self.adopt_list(context, origin, age)),
                Fact::Burn(_)
                | Fact::Demand(_)
                | Fact::Position(_)
                | Fact::Stages(_)
                | Fact::Suspect(_) => {
                    actions.push(Action::Deliver { origin, fact });
                }
            }
        }
        actions
    }

    fn apply_instance(&mut self, context: &Context<'_>, instance: &Instance) {
        if instance.state == State::Leaving {
            self.add_marks(context, slice::from_ref(&instance.incarnation));
        }
        self.peers.insert(context.now, instance);
        self.revision += 1;
    }

    fn apply_server(&mut self, now: Tick, server: &Server, age: Duration) {
        if server.state == State::Leaving && self.marks.add(now, &server.incarnation) {
            self.revision += 1;
        }
        self.insert_server(now, server);
        let heard = Tick::from_micros(now.as_micros().saturating_sub(micros(age)));
        if let Some(known) = self.servers.get_mut(&server.incarnation.name)
            && known.incarnation == server.incarnation
        {
            known.record_status(heard, server.load);
        }
    }

    /// Withdraws this instance's facts about removed backend servers.
    pub(super) fn withdraw_servers(&mut self, names: &[Name]) {
        for name in names {
            self.revision += 1;
            let subject = Subject::Server(name.clone());
            self.table.withdraw(&subject);
        }
    }
}
