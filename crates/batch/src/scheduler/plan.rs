//! Which groups of pieces can be on time, which only late, and which not at all.

use core::{cmp::Reverse, time::Duration};

use base::Tick;
use site::{pool::Pieces, route::Rank};

use crate::{Piece, configs::Config};

/// Pieces of one stage of one request, which are due at the same time.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) pieces: Vec<Piece>,
    pub(crate) rank: Rank,
    pub(crate) density: u32,
    pub(crate) due: Tick,
    pub(crate) deadline: Tick,
    pub(crate) bytes: u64,
    pub(crate) domain: Option<base::Name>,
    pub(crate) pull: u64,
}

impl Group {
    fn ticket(&self) -> Option<u64> {
        self.pieces.first().map(|piece| piece.ticket)
    }
}

/// When the next calls to a pool begin, as long as each is full.
#[derive(Clone, Debug)]
pub(crate) struct Turns<'a> {
    work: &'a Pieces,
    /// The pieces that wait; a call is filled up with those that are late.
    waiting: usize,
    /// When each server is free for a call that is not planned yet.
    free: Vec<Tick>,
    begins: Vec<Tick>,
}

impl<'a> Turns<'a> {
    /// Takes when each server is free; there is at least one.
    pub(crate) const fn new(work: &'a Pieces, waiting: usize, free: Vec<Tick>) -> Self {
        Self {
            work,
            waiting,
            free,
            begins: Vec::new(),
        }
    }

    /// Returns when the last of some pieces is made.
    pub(crate) fn finish(&mut self, pieces: usize) -> Tick {
        let batch = self.work.max_batch.max(1);
        let call = pieces.saturating_sub(1) / batch;
        let filled = self.waiting.saturating_sub(call * batch).min(batch);
        self.begin(call) + span(self.work, filled)
    }

    fn begin(&mut self, call: usize) -> Tick {
        while self.begins.len() <= call {
            let full = span(self.work, self.work.max_batch);
            match self.free.iter_mut().min() {
                Some(free) => {
                    self.begins.push(*free);
                    *free = *free + full;
                }
                None => return Tick::MAX,
            }
        }
        self.begins[call]
    }
}

/// Groups in the batch in which they are served.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan {
    /// Those that can be on time, by when they are due.
    pub(crate) on_time: Vec<Group>,
    /// Those that can be answered late.
    pub(crate) late: Vec<Group>,
    /// Those that can't be answered before their deadline.
    pub(crate) lost: Vec<Group>,
}

/// Sorts groups by what can still be made of them.
///
/// Groups are taken by when they are due. Where one would be late, groups of its rank or after it are put off
/// until it is on time, those that are worth least for their work first.
///
/// A group counts as late already if it would be made just in time, as calls end a little later than planned.
pub(crate) fn plan(
    now: Tick,
    mut groups: Vec<Group>,
    mut turns: Turns<'_>,
    config: &Config,
) -> Plan {
    let mut plan = Plan::default();
    groups.sort_by_key(|group| (group.due, group.ticket()));
    let mut count = 0;
    for group in groups {
        count += group.pieces.len();
        let (due, rank, ticket) = (group.due, group.rank, group.ticket());
        plan.on_time.push(group);
        // Calls end all at once, so it may take several pieces less for one to be in an earlier call.
        while turns.finish(count) + config.due_margin > due {
            let Some(group) = put_off(&mut plan.on_time, rank) else {
                break;
            };
            count -= group.pieces.len();
            let is_itself = group.ticket() == ticket;
            plan.late.push(group);
            if is_itself {
                break;
            }
        }
    }
    let mut late = core::mem::take(&mut plan.late);
    late.sort_by_key(|group| (group.rank, group.deadline));
    for group in late {
        let wait = turns.finish(count + group.pieces.len()) - now;
        if now + wait.mul_f64(config.late_wait_factor) <= group.deadline {
            count += group.pieces.len();
            plan.late.push(group);
        } else {
            plan.lost.push(group);
        }
    }
    plan
}

/// Takes out the group that yields first to one of a rank: the last by rank, then the one that is worth least
/// for its work, then the one that is due last.
fn put_off(groups: &mut Vec<Group>, rank: Rank) -> Option<Group> {
    let yields = (0..groups.len()).filter(|at| groups[*at].rank >= rank);
    let worst = yields.max_by_key(|at| {
        let group = &groups[*at];
        (group.rank, Reverse(group.density), *at)
    })?;
    Some(groups.remove(worst))
}

/// Returns the time of a call with some pieces.
pub(crate) fn span(work: &Pieces, pieces: usize) -> Duration {
    work.call_time + work.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
}
