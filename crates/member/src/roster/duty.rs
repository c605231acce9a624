//! Polls of backend servers by the instance that holds the role, and reports of their load.

use core::time::Duration;

use base::{Incarnation, Name, Tick};

use super::Roster;
use crate::{
    action::Action,
    event::Context,
    fact::{Fact, Load, Server, State, Subject},
    rendezvous,
};

/// A load that moved by less than this share is not told before it is refreshed.
const SHARE: u32 = 8;
/// Use of memory, in thousandths, that is worth telling.
const MEMORY: u32 = 50;

/// A backend server that this instance polls.
#[derive(Clone, Debug)]
pub(super) struct Poll {
    name: Name,
    due: Tick,
    rank: Rank,
    told: Option<(Load, Tick)>,
}

/// The backend servers that this instance polls, and what that follows from.
#[derive(Clone, Debug, Default)]
pub(super) struct Roles {
    list: Vec<(Name, Rank)>,
    members: Vec<Incarnation>,
    revision: u64,
}

/// Which candidate for the role of a backend server's poller this instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rank {
    /// It polls often and tells the load.
    Owner,
    /// It polls now and then, so that a dead owner does not hide that the server is leaving.
    Standby,
}

impl Roster {
    /// Polls the backend servers that are due, among those whose poller this instance is.
    pub(super) fn duties(
        &mut self,
        context: &mut Context<'_>,
        members: &[Incarnation],
    ) -> Vec<Action> {
        self.assign(members);
        let mut actions = Vec::new();
        for (name, rank) in self.roles.list.clone() {
            let period = match rank {
                Rank::Owner => self.config.poll_interval,
                Rank::Standby => self.config.standby_poll_interval,
            };
            let poll = self.poll(context, &name, rank, period);
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

    /// Assigns the roles anew where members or servers have changed.
    fn assign(&mut self, members: &[Incarnation]) {
        if self.roles.members == members && self.roles.revision == self.revision {
            return;
        }
        self.roles = Roles {
            list: self.roles(members),
            members: members.to_vec(),
            revision: self.revision,
        };
        self.hand_over();
    }

    fn roles(&self, members: &[Incarnation]) -> Vec<(Name, Rank)> {
        let own = &self.own.incarnation;
        let rank = |name: &Name| {
            let few = rendezvous::candidates(members, name.as_str().as_bytes(), 2);
            let at = few.iter().position(|member| *member == own)?;
            Some(if at == 0 { Rank::Owner } else { Rank::Standby })
        };
        let names = self.servers.iter().map(|known| &known.incarnation.name);
        names
            .filter_map(|name| Some((name.clone(), rank(name)?)))
            .collect()
    }

    /// Tells peers what a polled backend server said, where it is worth the bytes.
    pub(super) fn report(&mut self, context: &Context<'_>, server: &Server) {
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
        let due = |(told, when): (Load, Tick)| {
            let since = now - when;
            since >= self.config.load_refresh_interval
                || since >= self.config.min_load_interval && moved(&told, &load)
        };
        let marked = self.marks.contains(&server.incarnation);
        let state = if marked { State::Leaving } else { server.state };
        if poll.told.is_none_or(due) {
            poll.told = Some((load, now));
            let server = Server {
                state,
                load: Some(load),
                ..server.clone()
            };
            self.table.tell(Fact::Server(server));
        }
    }

    /// Takes back the reports of backend servers that another instance polls now.
    fn hand_over(&mut self) {
        let roles = &self.roles.list;
        let role = |poll: &Poll| {
            let at = roles
                .binary_search_by(|(name, _)| name.cmp(&poll.name))
                .ok()?;
            Some(roles[at].1)
        };
        for poll in &self.polls {
            if role(poll) != Some(Rank::Owner) && poll.told.is_some() {
                let subject = Subject::Server(poll.name.clone());
                self.table.withdraw(&subject);
            }
        }
        self.polls.retain(|poll| role(poll) == Some(poll.rank));
    }

    /// Finds the poll of a backend server, or sets it up to start within one period.
    fn poll(
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
                    told: None,
                };
                self.polls.insert(at, poll);
                at
            }
        };
        &mut self.polls[at]
    }
}

fn moved(told: &Load, load: &Load) -> bool {
    let (before, after) = (told.running + told.waiting, load.running + load.waiting);
    before.abs_diff(after) * SHARE > before || told.memory.abs_diff(load.memory) > MEMORY
}
