//! The waits that a plan lets expect.

use base::Tick;
use site::{pool::Pieces, route::Rank};

use super::plan::{Group, Timeline};
use crate::{
    Backlog,
    backlog::{Level, MAX_LEVELS},
};

/// Pieces of a rank.
struct Count {
    rank: Rank,
    on_time: usize,
    late: usize,
}

/// Returns the waits in a queue whose servers are free at the given times. Nothing is known of a queue without servers.
///
/// The waits of late pieces are stretched by `late_wait_factor`, as the plan does it.
pub(super) fn report(
    now: Tick,
    work: &Pieces,
    groups: &[Group],
    free_at: Vec<Tick>,
    late_wait_factor: f64,
) -> Backlog {
    if free_at.is_empty() {
        return Backlog::default();
    }
    let counts = count(groups);
    let queued = counts.iter().map(|count| count.on_time + count.late).sum();
    let mut timeline = Timeline::new(work, queued, free_at);
    let mut wait = |pieces| timeline.start_time(pieces) - now;
    let free_in = wait(0);
    let (mut on_time, mut late) = (0, counts.iter().map(|count| count.on_time).sum());
    let levels = counts.into_iter().map(|count| {
        on_time += count.on_time;
        late += count.late;
        Level {
            rank: count.rank,
            on_time: wait(on_time),
            late: wait(late).mul_f64(late_wait_factor.max(1.0)),
        }
    });
    Backlog {
        free_in,
        levels: levels.collect(),
        memory_permille: 0,
    }
}

/// Counts the pieces of each rank. The last ranks count together if there are many.
fn count(groups: &[Group]) -> Vec<Count> {
    let mut counts: Vec<Count> = Vec::new();
    for group in groups {
        let at = match counts.binary_search_by_key(&group.rank, |count| count.rank) {
            Ok(at) => at,
            Err(at) => {
                let count = Count {
                    rank: group.rank,
                    on_time: 0,
                    late: 0,
                };
                counts.insert(at, count);
                at
            }
        };
        match group.is_late {
            false => counts[at].on_time += group.pieces.len(),
            true => counts[at].late += group.pieces.len(),
        }
    }
    while counts.len() > MAX_LEVELS {
        if let Some(excess) = counts.pop()
            && let Some(last) = counts.last_mut()
        {
            last.on_time += excess.on_time;
            last.late += excess.late;
        }
    }
    counts
}
