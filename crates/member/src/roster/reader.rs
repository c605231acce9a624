//! The reader of the platform's list: one instance of a failure domain, which publishes its lines as facts.
//!
//! A list read by a peer is applied like one that this instance read. So two readers, or one with a stale
//! list, do no more harm than two reads of a list that lags.

use core::time::Duration;

use base::{Incarnation, Tick};

use super::{Roster, saturating_sub};
use crate::{
    action::Action,
    event::{Context, Listing},
    fact::{Fact, Id, Subject},
    rendezvous,
};

/// Time after its start before an instance publishes lines, in which it discovers the other members.
const STARTUP_DELAY: Duration = Duration::from_secs(10);
/// Periods between two reads by an instance that has a list but no longer hears of a reader.
const STANDALONE_PERIODS: u32 = 4;
/// The interval between attempts at the first read is the period divided by this.
const FIRST_READ_DIVISOR: u32 = 4;

/// What an instance knows of the list and of its reads.
#[derive(Clone, Debug)]
pub(super) struct Reader {
    started: Tick,
    read_count: u64,
    due: Tick,
    /// When the list that a peer last published was read.
    last_peer_read: Option<Tick>,
    list: Vec<Listing>,
    /// When the list was last read by this instance.
    last_own_read: Option<Tick>,
    /// The lines that this instance publishes, sorted.
    published: Vec<Listing>,
}

/// The role of an instance in reading the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Duty {
    /// It reads rarely, for itself.
    Standalone,
    /// It relies on the reader.
    Idle,
    /// It reads for the failure domain.
    Reader,
}

impl Reader {
    pub(super) const fn new(now: Tick) -> Self {
        Self {
            started: now,
            read_count: 0,
            due: now,
            last_peer_read: None,
            list: Vec::new(),
            last_own_read: None,
            published: Vec::new(),
        }
    }

    pub(super) fn list(&self) -> &[Listing] {
        &self.list
    }

    /// Returns whether neither a peer nor this instance has read the list since an instant.
    fn is_stale(&self, since: Tick) -> bool {
        self.last_peer_read
            .max(self.last_own_read)
            .is_none_or(|at| at < since)
    }
}

impl Roster {
    /// Returns an action to read the platform's list if a read by this instance is due.
    pub(super) fn read_list(&mut self, now: Tick, members: &[Incarnation]) -> Option<Action> {
        let duty = self.list_duty(now, members);
        if duty != Duty::Reader {
            self.withdraw_list();
        }
        if duty == Duty::Idle || now < self.reader.due {
            return None;
        }
        let period = self.config.list_interval;
        let wait = match duty {
            _ if self.reader.last_own_read.is_none() => period / FIRST_READ_DIVISOR,
            Duty::Standalone if self.reader.last_peer_read.is_some() => period * STANDALONE_PERIODS,
            _ => period,
        };
        self.reader.due = now + wait;
        Some(Action::ReadList)
    }

    /// Returns the role of this instance: the first candidate reads, the second one while it hears of no read
    /// by another instance, and the others while they know of no read at all.
    fn list_duty(&self, now: Tick, members: &[Incarnation]) -> Duty {
        let since = saturating_sub(now, self.config.peer_timeout);
        let candidates = rendezvous::candidates(members, b"list", 2);
        let rank = candidates
            .iter()
            .position(|one| **one == self.own.incarnation);
        let unheard = self.reader.last_peer_read.is_none_or(|at| at < since);
        match rank {
            Some(0) => Duty::Reader,
            Some(_) if unheard => Duty::Reader,
            _ if self.reader.last_peer_read.is_none() || self.reader.is_stale(since) => {
                Duty::Standalone
            }
            _ => Duty::Idle,
        }
    }

    /// Applies a list that this instance read, and publishes it if this instance is the reader.
    ///
    /// Addresses from settings use the same event and are not a list. An empty list is not published, since
    /// the absence of a process from it proves nothing.
    pub(super) fn handle_list(
        &mut self,
        context: &mut Context<'_>,
        list: Vec<Listing>,
    ) -> Vec<Action> {
        let actions = self.apply_list(context, &list);
        let has_domain = |line: &Listing| !line.domain.as_str().is_empty();
        if list.iter().any(has_domain) {
            self.reader.list = list;
            self.reader.list.sort_unstable();
            self.reader.list.dedup();
            self.reader.last_own_read = Some(context.now);
            let members = self.members(context.now);
            if self.list_duty(context.now, &members) == Duty::Reader
                && self.can_publish_list(context.now, &members)
            {
                self.publish_list();
            }
        }
        actions
    }

    /// Applies the list that a peer has read and published.
    pub(super) fn adopt_list(
        &mut self,
        context: &mut Context<'_>,
        reader: Id,
        age: Duration,
    ) -> Vec<Action> {
        let read = saturating_sub(context.now, age);
        if self.reader.last_peer_read.is_some_and(|heard| heard > read) {
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
        let actions = self.apply_list(context, &list);
        self.reader.list = list;
        self.reader.last_peer_read = Some(read);
        actions
    }

    /// Returns whether this instance has run long enough to publish lines. The second candidate waits longer,
    /// so that only one of the two publishes when they start together.
    fn can_publish_list(&self, now: Tick, members: &[Incarnation]) -> bool {
        let is_first = rendezvous::owner(members, b"list") == Some(&self.own.incarnation);
        let extra = if is_first {
            Duration::ZERO
        } else {
            self.config.peer_timeout
        };
        now - self.reader.started >= STARTUP_DELAY + extra
    }

    /// Publishes the lines that have changed, and that the list was read.
    fn publish_list(&mut self) {
        let Reader {
            list, published, ..
        } = &self.reader;
        let gone = published
            .iter()
            .filter(|line| list.binary_search(line).is_err());
        let is_listed = |one: &Incarnation| list.iter().any(|line| line.incarnation == *one);
        let withdrawn: Vec<Subject> = gone
            .filter(|line| !is_listed(&line.incarnation))
            .map(|line| Subject::Listed(line.incarnation.clone()))
            .collect();
        let new = list
            .iter()
            .filter(|line| published.binary_search(line).is_err());
        let mut facts: Vec<Fact> = new.cloned().map(Fact::Listed).collect();
        self.reader.read_count += 1;
        facts.push(Fact::Reading(self.reader.read_count));
        self.reader.published = self.reader.list.clone();
        self.table.update(facts, &withdrawn);
    }

    /// Withdraws the lines if this instance is no longer the reader.
    fn withdraw_list(&mut self) {
        if self.reader.published.is_empty() {
            return;
        }
        let lines = core::mem::take(&mut self.reader.published);
        let mut subjects: Vec<Subject> = lines
            .into_iter()
            .map(|line| Subject::Listed(line.incarnation))
            .collect();
        subjects.push(Subject::Reading);
        self.table.update(Vec::new(), &subjects);
    }
}
