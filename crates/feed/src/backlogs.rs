//! Conversions of backlogs.

use core::time::Duration;

use base::Name;
use batch::{
    Backlog, Shard,
    backlog::{Level, MAX_LEVELS},
};
use site::route::Rank;
use wire::feed as message;

/// The largest number of backlogs in a message; an instance owns few shards.
const MAX_BACKLOGS: usize = 16;

pub(crate) fn encode(backlogs: Vec<(Shard, Backlog)>) -> Vec<message::Backlog> {
    let backlogs = backlogs.into_iter().take(MAX_BACKLOGS);
    let backlogs = backlogs.map(|(shard, backlog)| {
        let levels = backlog.levels.iter().map(|level| message::Level {
            rank: u32::from(level.rank.account),
            route_rank: u32::from(level.rank.route),
            on_time_ms: millis(level.on_time),
            late_ms: millis(level.late),
        });
        message::Backlog {
            pool: shard.pool.as_str().to_owned(),
            domain: shard
                .domain
                .map_or_else(String::new, |domain| domain.as_str().to_owned()),
            free_ms: millis(backlog.free_in),
            levels: levels.collect(),
            memory_permille: u32::from(backlog.memory_permille),
        }
    });
    backlogs.collect()
}

/// Decodes backlogs; what exceeds their bounds is dropped.
pub(crate) fn decode(backlogs: Vec<message::Backlog>) -> Vec<(Shard, Backlog)> {
    let backlogs = backlogs.into_iter().take(MAX_BACKLOGS);
    let backlogs = backlogs.map(|backlog| {
        let levels = backlog.levels.iter().take(MAX_LEVELS).map(|level| Level {
            rank: Rank {
                account: u8::try_from(level.rank).unwrap_or(u8::MAX),
                route: u8::try_from(level.route_rank).unwrap_or(u8::MAX),
            },
            on_time: Duration::from_millis(u64::from(level.on_time_ms)),
            late: Duration::from_millis(u64::from(level.late_ms)),
        });
        let mut levels: Vec<_> = levels.collect();
        levels.sort_by_key(|level| level.rank);
        let shard = Shard {
            pool: backlog.pool.into(),
            domain: (!backlog.domain.is_empty()).then(|| Name::from(backlog.domain)),
        };
        let backlog = Backlog {
            free_in: Duration::from_millis(u64::from(backlog.free_ms)),
            levels,
            memory_permille: u16::try_from(backlog.memory_permille.min(1_000)).unwrap_or(1_000),
        };
        (shard, backlog)
    });
    backlogs.collect()
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
