//! Which groups of pieces can be on time, which only late, and which not at all.

use core::time::Duration;

use base::Tick;
use site::pool::Pieces;

use crate::Piece;

/// Pieces of one stage of one request, which are due at the same time.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) pieces: Vec<Piece>,
    pub(crate) rank: u8,
    pub(crate) due: Tick,
    pub(crate) deadline: Tick,
    pub(crate) bytes: u64,
    pub(crate) domain: Option<base::Name>,
    pub(crate) pull: u64,
}

/// When the next calls to a pool begin, as long as each is full.
#[derive(Clone, Debug)]
pub(crate) struct Turns<'a> {
    work: &'a Pieces,
    /// When each server is free for a call that is not planned yet.
    free: Vec<Tick>,
    begins: Vec<Tick>,
}

impl<'a> Turns<'a> {
    /// Takes when each server is free; there is at least one.
    pub(crate) fn new(work: &'a Pieces, free: Vec<Tick>) -> Self {
        Self {
            work,
            free,
            begins: Vec::new(),
        }
    }

    /// Returns when the last of some pieces is made.
    pub(crate) fn finish(&mut self, pieces: usize) -> Tick {
        let batch = self.work.batch.max(1);
        let call = pieces.saturating_sub(1) / batch;
        let rest = pieces - call * batch;
        self.begin(call) + span(self.work, rest)
    }

    fn begin(&mut self, call: usize) -> Tick {
        while self.begins.len() <= call {
            let full = span(self.work, self.work.batch);
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

/// Groups in the order in which they are served.
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
/// Groups are taken by when they are due. Where one would be late, a group of the lowest rank so far is put
/// off: the fewest groups are late, and no group takes the place of one that goes first.
///
/// A group counts as late already if it would be made just in time, as calls end a little later than planned.
pub(crate) fn plan(mut groups: Vec<Group>, mut turns: Turns<'_>, margin: Duration) -> Plan {
    let mut plan = Plan::default();
    groups.sort_by_key(|group| (group.due, group.pieces.first().map(|piece| piece.ticket)));
    let mut count = 0;
    for group in groups {
        count += group.pieces.len();
        let due = group.due;
        plan.on_time.push(group);
        if turns.finish(count) + margin <= due {
            continue;
        }
        // The last one of the lowest rank; a large group makes the most room.
        let worst = (0..plan.on_time.len())
            .max_by_key(|at| (plan.on_time[*at].rank, plan.on_time[*at].pieces.len(), *at));
        if let Some(worst) = worst {
            let group = plan.on_time.remove(worst);
            count -= group.pieces.len();
            plan.late.push(group);
        }
    }
    let mut late = core::mem::take(&mut plan.late);
    late.sort_by_key(|group| (group.rank, group.deadline));
    for group in late {
        let end = turns.finish(count + group.pieces.len());
        if end <= group.deadline {
            count += group.pieces.len();
            plan.late.push(group);
        } else {
            plan.lost.push(group);
        }
    }
    plan
}

/// Returns the time of a call with some pieces.
pub(crate) fn span(work: &Pieces, pieces: usize) -> Duration {
    work.call + work.piece * u32::try_from(pieces).unwrap_or(u32::MAX)
}
