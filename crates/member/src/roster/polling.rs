//! Polls of backend servers by the instance with that role, and the loads that it publishes.

use core::time::Duration;

use base::{Incarnation, Name, Tick};

use super::Roster;
use crate::{
    action::Action,
    event::Context,
    fact::{Fact, Load, Server, State, Subject},
    rendezvous,
};

/// A load that changed by less than one part in this many is published only at the next refresh.
const LOAD_CHANGE_DIVISOR: u32 = 8;
/// The change in the use of memory, in thousandths, that is published before the next refresh.
const MIN_MEMORY_CHANGE: u32 = 50;

/// A backend server that this instance polls.
#[derive(Clone, Debug)]
pub(super) struct Poll {
    name: Name,
    due: Tick,
    rank: Rank,
    published: Option<(Load, Tick)>,
}

/// The backend servers that this instance polls, and the members and revision from which they follow.
#[derive(Clone, Debug, Default)]
pub(super) struct Roles {
    assigned: Vec<(Name, Rank)>,
    members: Vec<Incarnation>,
    revision: u64,
}

/// The rank of this instance among the pollers of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rank {
    /// It polls often and publishes the load.
    Owner,
    /// It polls rarely, so that a dead owner does not hide that the server is leaving.
    Standby,
}

impl Roster {
    /// Polls the due backend servers among those assigned to this instance.
    pub(super) fn poll_servers(
        &mut self,
        context: &mut Context<'_>,
        members: &[Incarnation],
    ) -> Vec<Action> {
        self.update_roles(members);
        let mut actions = Vec::new();
        for (name, rank) in self.roles.assigned.clone() {
            let period = match rank {
                Rank::Owner => self.config.poll_interval,
                Rank::Standby => self.config.standby_poll_interval,
            };
            let poll = self.poll_mut(context, &name, rank, period);
            if context.now < poll.due {
                continue;
            }
            poll.due = context.now + period;
            actions.extend(self.servers.get(&name).map(|known| Action::Poll {
                server: known.incarnation.clone(),
                address: known.address.clone(),
            }));
        }
        actions
    }

    /// Reassigns the roles if members or servers have changed.
    fn update_roles(&mut self, members: &[Incarnation]) {
        if self.roles.members == members && self.roles.revision == self.revision {
            return;
        }
        self.roles = Roles {
            assigned: self.assigned_roles(members),
            members: members.to_vec(),
            revision: self.revision,
        };
        self.withdraw_loads();
    }

    fn assigned_roles(&self, members: &[Incarnation]) -> Vec<(Name, Rank)> {
        let own = &self.own.incarnation;
        let rank = |name: &Name| {
            let pollers = rendezvous::candidates(members, name.as_str().as_bytes(), 2);
            let at = pollers.iter().position(|member| *member == own)?;
            Some(if at == 0 { Rank::Owner } else { Rank::Standby })
        };
        let names = self.servers.iter().map(|known| &known.incarnation.name);
        names
            .filter_map(|name| Some((name.clone(), rank(name)?)))
            .collect()
    }

    /// Publishes the load of a polled backend server if it has changed enough or is due for a refresh.
    pub(super) fn publish_load(&mut self, context: &Context<'_>, server: &Server) {
        let now = context.now;
        let find = |poll: &Poll| poll.name.cmp(&server.incarnation.name);
        let Ok(at) = self.polls.binary_search_by(find) else {
            return;
        };
        let load = server.load.unwrap_or_default();
        let poll = &mut self.polls[at];
        if poll.rank != Rank::Owner {
            return;
        }
        let is_due = |(published, since): (Load, Tick)| {
            let age = now - since;
            age >= self.config.load_refresh_interval
                || age >= self.config.min_load_interval && has_changed(&published, &load)
        };
        let is_leaving = self.marks.contains(&server.incarnation);
        let state = if is_leaving {
            State::Leaving
        } else {
            server.state
        };
        if poll.published.is_none_or(is_due) {
            poll.published = Some((load, now));
            let server = Server {
                state,
                load: Some(load),
                ..server.clone()
            };
            self.table.publish(Fact::Server(server));
        }
    }

    /// Withdraws the loads of backend servers that another instance polls now.
    fn withdraw_loads(&mut self) {
        let roles = &self.roles.assigned;
        let role = |poll: &Poll| {
            let at = roles
                .binary_search_by(|(name, _)| name.cmp(&poll.name))
                .ok()?;
            Some(roles[at].1)
        };
        for poll in &self.polls {
            if role(poll) != Some(Rank::Owner) && poll.published.is_some() {
                let subject = Subject::Server(poll.name.clone());
                self.table.withdraw(&subject);
            }
        }
        self.polls.retain(|poll| role(poll) == Some(poll.rank));
    }

    /// Returns the poll of a backend server; a new one starts at a random time within one period.
    fn poll_mut(
        &mut self,
        context: &mut Context<'_>,
        name: &Name,
        rank: Rank,
        period: Duration,
    ) -> &mut Poll {
        let at = match self.polls.binary_search_by(|poll| poll.name.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                let poll = Poll {
                    name: name.clone(),
                    due: context.now + period / 8 * (context.rng.next_u32() % 8),
                    rank,
                    published: None,
                };
                self.polls.insert(at, poll);
                at
            }
        };
        &mut self.polls[at]
    }
}

fn has_changed(old: &Load, new: &Load) -> bool {
    let (before, after) = (old.running + old.waiting, new.running + new.waiting);
    before.abs_diff(after) * LOAD_CHANGE_DIVISOR > before
        || old.memory.abs_diff(new.memory) > MIN_MEMORY_CHANGE
}
