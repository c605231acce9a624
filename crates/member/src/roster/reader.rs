//! The reader of the platform's list: one instance of a failure domain, which passes the lines on as facts.
//!
//! A list at second hand is taken in just as an own one. So two readers, or one with a stale list, do
//! no more harm than two reads of a list that lags.

use core::time::Duration;

use base::{Incarnation, Tick};

use super::{Roster, earlier};
use crate::{
    action::Action,
    event::{Context, Listing},
    fact::{Fact, Id, Subject},
    rendezvous,
};

/// Time after its start before an instance passes lines on, in which it gets to know the other members.
const SETTLE: Duration = Duration::from_secs(10);
/// Periods between two reads by an instance that has a list, but hears no reader any more.
const ALONE: u32 = 4;
/// Parts of a period between two attempts at the first read.
const FIRST: u32 = 4;

/// What an instance knows of the list and of its reader.
#[derive(Clone, Debug)]
pub(super) struct Reader {
    began: Tick,
    count: u64,
    due: Tick,
    /// When the list that a peer last passed on was read.
    heard: Option<Tick>,
    list: Vec<Listing>,
    /// When the list was last read by this instance.
    read: Option<Tick>,
    /// The lines that this instance tells its peers, sorted.
    told: Vec<Listing>,
}

/// What an instance does about the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Duty {
    /// It reads now and then, for itself.
    Alone,
    /// It relies on the reader.
    Idle,
    /// It reads for the failure domain.
    Reader,
}

impl Reader {
    pub(super) const fn open(now: Tick) -> Self {
        Self {
            began: now,
            count: 0,
            due: now,
            heard: None,
            list: Vec::new(),
            read: None,
            told: Vec::new(),
        }
    }

    pub(super) fn list(&self) -> &[Listing] {
        &self.list
    }

    /// Tells whether neither a peer nor this instance has read the list since an instant.
    fn stale(&self, since: Tick) -> bool {
        self.heard.max(self.read).is_none_or(|at| at < since)
    }
}

impl Roster {
    /// Asks for the platform's list when it is this instance's turn.
    pub(super) fn reads(&mut self, now: Tick, members: &[Incarnation]) -> Option<Action> {
        let duty = self.list_duty(now, members);
        if duty != Duty::Reader {
            self.untell();
        }
        if duty == Duty::Idle || now < self.reader.due {
            return None;
        }
        let period = self.config.list_interval;
        let wait = match duty {
            _ if self.reader.read.is_none() => period / FIRST,
            Duty::Alone if self.reader.heard.is_some() => period * ALONE,
            _ => period,
        };
        self.reader.due = now + wait;
        Some(Action::ReadList)
    }

    /// The first candidate reads. The second one reads while it hears of no read by another instance, and
    /// the others while they know of no read at all.
    fn list_duty(&self, now: Tick, members: &[Incarnation]) -> Duty {
        let since = earlier(now, self.config.peer_timeout);
        let candidates = rendezvous::candidates(members, b"list", 2);
        let rank = candidates
            .iter()
            .position(|one| **one == self.own.incarnation);
        let unheard = self.reader.heard.is_none_or(|at| at < since);
        match rank {
            Some(0) => Duty::Reader,
            Some(_) if unheard => Duty::Reader,
            _ if self.reader.heard.is_none() || self.reader.stale(since) => Duty::Alone,
            _ => Duty::Idle,
        }
    }

    /// Takes in a list that this instance read, and passes it on where it is the reader.
    ///
    /// Addresses from settings come the same way and say nothing of the list. An empty list is not passed on:
    /// it names nobody whose absence could be believed.
    pub(super) fn read(&mut self, context: &mut Context<'_>, list: Vec<Listing>) -> Vec<Action> {
        let actions = self.listed(context, &list);
        let named = |line: &Listing| !line.domain.as_str().is_empty();
        if list.iter().any(named) {
            self.reader.list = list;
            self.reader.list.sort_unstable();
            self.reader.list.dedup();
            self.reader.read = Some(context.now);
            let members = self.members(context.now);
            if self.list_duty(context.now, &members) == Duty::Reader
                && self.settled(context.now, &members)
            {
                self.tell_list();
            }
        }
        actions
    }

    /// Takes in the list that a peer has read and passed on.
    pub(super) fn take_over(
        &mut self,
        context: &mut Context<'_>,
        reader: Id,
        age: Duration,
    ) -> Vec<Action> {
        let read = earlier(context.now, age);
        if self.reader.heard.is_some_and(|heard| heard > read) {
            return Vec::new();
        }
        let Some(origin) = self.table.origin(reader) else {
            return Vec::new();
        };
        let lines = origin.facts().filter_map(|(_, fact)| match fact {
            Fact::Listed(line) => Some(line.clone()),
            _ => None,
        });
        let mut list: Vec<Listing> = lines.collect();
        list.sort_unstable();
        let actions = self.listed(context, &list);
        self.reader.list = list;
        self.reader.heard = Some(read);
        actions
    }

    /// The second candidate waits longer, so that at a common start only one of the two passes lines on.
    fn settled(&self, now: Tick, members: &[Incarnation]) -> bool {
        let first = rendezvous::owner(members, b"list") == Some(&self.own.incarnation);
        let more = if first {
            Duration::ZERO
        } else {
            self.config.peer_timeout
        };
        now - self.reader.began >= SETTLE + more
    }

    /// Tells the lines that have changed, and that the list was read.
    fn tell_list(&mut self) {
        let Reader { list, told, .. } = &self.reader;
        let gone = told.iter().filter(|line| list.binary_search(line).is_err());
        let named = |one: &Incarnation| list.iter().any(|line| line.incarnation == *one);
        let withdrawn: Vec<Subject> = gone
            .filter(|line| !named(&line.incarnation))
            .map(|line| Subject::Listed(line.incarnation.clone()))
            .collect();
        let new = list.iter().filter(|line| told.binary_search(line).is_err());
        let mut facts: Vec<Fact> = new.cloned().map(Fact::Listed).collect();
        self.reader.count += 1;
        facts.push(Fact::Reading(self.reader.count));
        self.reader.told = self.reader.list.clone();
        self.table.update(facts, &withdrawn);
    }

    /// Takes the lines back, where this instance is not the reader any more.
    fn untell(&mut self) {
        if self.reader.told.is_empty() {
            return;
        }
        let lines = core::mem::take(&mut self.reader.told);
        let mut subjects: Vec<Subject> = lines
            .into_iter()
            .map(|line| Subject::Listed(line.incarnation))
            .collect();
        subjects.push(Subject::Reading);
        self.table.update(Vec::new(), &subjects);
    }
}
