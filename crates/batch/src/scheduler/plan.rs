//! Plans which groups of pieces run on time, which run late and which expire.

use core::{cmp::Reverse, time::Duration};

use base::Tick;
use site::{pool::Pieces, route::Rank};

use crate::{Piece, configs::Config};

/// Pieces of one stage of one request, which share a due time.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) pieces: Vec<Piece>,
    pub(crate) rank: Rank,
    pub(crate) density: u32,
    pub(crate) due: Tick,
    /// When the group has to finish to be on time.
    pub(crate) latest: Tick,
    pub(crate) deadline: Tick,
    /// Whether the last plan found that the group can't be on time.
    pub(crate) is_late: bool,
    pub(crate) result_bytes: u64,
    pub(crate) preferred_domain: Option<base::Name>,
    pub(crate) transfer_bytes: u64,
}

impl Group {
    /// Returns whether the pieces fit into one call and into the memory for its results.
    pub(crate) fn fits(&self, work: &Pieces, free_bytes: u64) -> bool {
        let pieces = self.pieces.len();
        pieces <= work.max_batch && self.result_bytes * pieces as u64 <= free_bytes
    }

    /// Returns whether a call with all pieces is on time at a server that takes `ratio` times as long as usual.
    pub(crate) fn is_on_time_at(
        &self,
        now: Tick,
        config: &Config,
        work: &Pieces,
        ratio: f64,
    ) -> bool {
        let time = call_time(work, self.pieces.len()).mul_f64(ratio);
        now + time + config.due_margin <= self.due
    }

    fn ticket(&self) -> Option<u64> {
        self.pieces.first().map(|piece| piece.ticket)
    }
}

/// The start times of the next calls to a pool, assuming that each call is full.
#[derive(Clone, Debug)]
pub(crate) struct Timeline<'a> {
    work: &'a Pieces,
    /// The number of queued pieces; late ones fill up calls that are not full.
    queued: usize,
    /// When each server is free for the next unplanned call.
    free_at: Vec<Tick>,
    starts: Vec<Tick>,
}

impl<'a> Timeline<'a> {
    /// Creates a timeline from the times at which each server is free, of which there must be at least one.
    pub(crate) const fn new(work: &'a Pieces, queued: usize, free_at: Vec<Tick>) -> Self {
        Self {
            work,
            queued,
            free_at,
            starts: Vec::new(),
        }
    }

    /// Returns when the last of the first `pieces` pieces finishes.
    pub(crate) fn finish_time(&mut self, pieces: usize) -> Tick {
        let batch = self.work.max_batch.max(1);
        let call = pieces.saturating_sub(1) / batch;
        let size = self.queued.saturating_sub(call * batch).min(batch);
        self.start(call) + call_time(self.work, size)
    }

    /// Returns when the call starts that takes a piece behind the first `pieces` pieces.
    pub(crate) fn start_time(&mut self, pieces: usize) -> Tick {
        self.start(pieces / self.work.max_batch.max(1))
    }

    fn start(&mut self, call: usize) -> Tick {
        while self.starts.len() <= call {
            let full = call_time(self.work, self.work.max_batch);
            match self.free_at.iter_mut().min() {
                Some(free_at) => {
                    self.starts.push(*free_at);
                    *free_at = *free_at + full;
                }
                None => return Tick::MAX,
            }
        }
        self.starts[call]
    }
}

/// Groups in the order in which they run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan {
    /// Groups that can be on time, by due time.
    pub(crate) on_time: Vec<Group>,
    /// Groups that finish late but before their deadline.
    pub(crate) late: Vec<Group>,
    /// Groups that can't finish before their deadline.
    pub(crate) expired: Vec<Group>,
}

/// Sorts groups into those that can be on time, those that run late and those that expire.
///
/// Groups are considered by due time. If a group would finish after it is due, groups of a lower-priority rank are deferred
/// until it doesn't; if it can't be on time even without waits in later stages, groups of its rank are deferred, too, starting
/// with the lowest density.
///
/// The wait of a late group is stretched by `late_wait_factor`, so that it expires at once if it would miss its deadline, and
/// its inputs don't take memory meanwhile.
///
/// A group that would finish just in time already counts as late, as calls end slightly later than planned.
pub(crate) fn plan(
    now: Tick,
    mut groups: Vec<Group>,
    mut timeline: Timeline<'_>,
    config: &Config,
    late_wait_factor: f64,
) -> Plan {
    let mut plan = Plan::default();
    groups.sort_by_key(|group| (group.due, group.ticket()));
    for group in &mut groups {
        group.is_late = false;
    }
    let mut count = 0;
    for group in groups {
        count += group.pieces.len();
        let (due, latest) = (group.due, group.latest);
        let (rank, ticket) = (group.rank, group.ticket());
        plan.on_time.push(group);
        // All pieces of a call finish together, so several may have to be deferred before one moves to an
        // earlier call.
        loop {
            let end = timeline.finish_time(count) + config.due_margin;
            if end <= due {
                break;
            }
            // Less urgent groups make way already for what is due, which leaves time for the stages that follow.
            let deferred = match (end > latest, defer_one(&mut plan.on_time, rank, false)) {
                (_, Some(group)) => Some(group),
                (true, None) => defer_one(&mut plan.on_time, rank, true),
                (false, None) => None,
            };
            let Some(group) = deferred else {
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
        let wait = timeline.finish_time(count + group.pieces.len()) - now;
        if now + wait.mul_f64(late_wait_factor) <= group.deadline {
            count += group.pieces.len();
            plan.late.push(Group {
                is_late: true,
                ..group
            });
        } else {
            plan.expired.push(group);
        }
    }
    plan
}

/// Removes the group that is deferred first in favor of one with the given rank: the lowest-priority rank, then the
/// lowest density, then the latest due time. Groups of the same rank are deferred only with `has_own_rank`.
fn defer_one(groups: &mut Vec<Group>, rank: Rank, has_own_rank: bool) -> Option<Group> {
    let candidates = (0..groups.len()).filter(|at| {
        let other = groups[*at].rank;
        other > rank || has_own_rank && other == rank
    });
    let worst = candidates.max_by_key(|at| {
        let group = &groups[*at];
        (group.rank, Reverse(group.density), *at)
    })?;
    Some(groups.remove(worst))
}

/// Returns the expected time of a call with the given number of pieces.
pub(crate) fn call_time(work: &Pieces, pieces: usize) -> Duration {
    work.call_time + work.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
}

/// Returns the number of pieces with which a call to a server that takes `ratio` times as long ends when a full call to a
/// usual server would; at least one.
pub(crate) fn fitting_pieces(work: &Pieces, ratio: f64) -> usize {
    let time = work.full_call_time().div_f64(ratio.max(1.0));
    let time = time.saturating_sub(work.call_time);
    let pieces = time.div_duration_f64(work.piece_time.max(Duration::from_micros(1)));
    (pieces as usize).clamp(1, work.max_batch.max(1))
}

/// Returns the lower median.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
