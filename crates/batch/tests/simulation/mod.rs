//! A simulated pool of stage servers in virtual time, for tests of the scheduler.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use core::time::Duration;

use base::{Name, Tick};
use batch::{
    Piece, Scheduler, Shard,
    piece::{Handle, Source},
    scheduler::{Action, Batch, Completion, Context, Load},
};
use pick::Fleet;
use site::{
    Config, Pool, Roster,
    pool::{Pieces, Work},
    roster::Server,
    route::Rank,
};

pub(crate) const POOL: &str = "portfolio";

/// Returns the shard that covers the whole pool.
pub(crate) fn shard() -> Shard {
    Shard::whole(&POOL.into())
}

/// The first stage of the smaller site: calls of up to 8 pieces, 150 ms per call and 16 ms per piece.
pub(crate) const WORK: Pieces = Pieces {
    slots: 1,
    queue: 2,
    max_batch: 8,
    call_time: Duration::from_millis(150),
    piece_time: Duration::from_millis(16),
    memory_bytes: 38_000_000,
    result_ttl: Duration::from_secs(4),
};

/// A pool whose servers take as long as its configuration states.
pub(crate) struct Simulation {
    pub(crate) now: Tick,
    pub(crate) scheduler: Scheduler,
    pub(crate) roster: Roster,
    pub(crate) fleet: Fleet,
    pub(crate) config: Config,
    pub(crate) work: Pieces,
    running: Vec<(Tick, Batch)>,
    pub(crate) done: Vec<(Tick, Name, Piece)>,
    pub(crate) expired: Vec<(Tick, Piece)>,
    pub(crate) calls: Vec<(Name, usize)>,
    /// The factors by which the calls of slow servers take longer.
    pub(crate) slow_factors: Vec<(Name, u32)>,
    /// The percentages that servers state as their momentary speed.
    pub(crate) stated: Vec<(Name, u32)>,
    /// The share of the expected time that usual calls take in percent.
    pub(crate) usual_percent: u32,
    /// The factors in percent by which the calls of some servers take longer.
    pub(crate) percents: Vec<(Name, u32)>,
    /// The time after which a result is released.
    pub(crate) release_delay: Duration,
    stored: Vec<(Tick, Handle)>,
    next_ticket: u64,
}

impl Simulation {
    /// Creates a pool with one server in each of the given domains.
    pub(crate) fn new(domains: &[&str], work: Pieces) -> Self {
        let pool = Pool {
            name: POOL.into(),
            max_connections: 8,
            work: Work::Pieces(work),
            cold: None,
        };
        let mut roster = Roster::default();
        for (at, domain) in domains.iter().enumerate() {
            roster.insert(
                Server {
                    id: format!("i-{at}").into(),
                    pool: POOL.into(),
                    address: format!("10.0.0.{}:80", at + 1).parse().unwrap(),
                    domain: (*domain).into(),
                    slots: 1,
                    leaving: false,
                    started_at_ms: 0,
                    version: Some("v1".into()),
                },
                1,
            );
        }
        Self {
            now: Tick::from_millis(1_000),
            scheduler: Scheduler::default(),
            roster,
            fleet: Fleet::default(),
            config: Config::new(1, Vec::new(), vec![pool], None),
            work,
            running: Vec::new(),
            done: Vec::new(),
            expired: Vec::new(),
            calls: Vec::new(),
            slow_factors: Vec::new(),
            stated: Vec::new(),
            usual_percent: 100,
            percents: Vec::new(),
            release_delay: Duration::from_millis(200),
            stored: Vec::new(),
            next_ticket: 1,
        }
    }

    /// Queues the pieces of a request and returns the request's id.
    pub(crate) fn enqueue(&mut self, count: u32, configure: impl Fn(&mut Piece)) -> Name {
        let request = Name::from(format!("r-{}", self.next_ticket));
        let pieces = (0..count).map(|number| {
            let mut piece = Piece {
                ticket: self.next_ticket + u64::from(number),
                request: request.clone(),
                stage: 0,
                number,
                source: Source::Key("k".into()),
                rank: Rank::default(),
                density: 1_000,
                due: self.now + Duration::from_millis(850),
                slack: Duration::ZERO,
                deadline: self.now + Duration::from_secs(4),
                result_bytes: 8_000,
                preferred_domain: None,
                transfer_bytes: 0,
                attempts: 0,
            };
            configure(&mut piece);
            piece
        });
        let pieces = pieces.collect();
        self.next_ticket += u64::from(count);
        self.scheduler.enqueue(&shard(), pieces);
        self.dispatch();
        request
    }

    /// Advances the virtual time.
    pub(crate) fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now = self.now + Duration::from_millis(1);
            self.finish_calls();
            self.release_due();
            self.dispatch();
        }
    }

    pub(crate) fn dispatch(&mut self) {
        let cx = Context {
            now: self.now,
            config: &self.config,
            roster: &self.roster,
            fleet: &self.fleet,
        };
        for action in self.scheduler.next_actions(cx) {
            match action {
                Action::Expire(piece) => self.expired.push((self.now, piece)),
                Action::Send(batch) => {
                    let id = batch.server.id.clone();
                    let elapsed = self.elapsed(&id, batch.pieces.len());
                    self.calls.push((id, batch.pieces.len()));
                    self.running.push((self.now + elapsed, batch));
                }
            }
        }
    }

    fn finish_calls(&mut self) {
        let finished = self.running.extract_if(.., |(end, _)| *end <= self.now);
        for (_, batch) in finished.collect::<Vec<_>>() {
            let results = batch.pieces.iter().map(|piece| {
                let handle = Handle {
                    maker: Some(batch.server.incarnation()),
                    text: format!("{}-{}", batch.server.id, piece.ticket).into(),
                };
                (handle, piece.result_bytes)
            });
            let results: Vec<_> = results.collect();
            for (handle, _) in &results {
                self.stored
                    .push((self.now + self.release_delay, handle.clone()));
            }
            let id = batch.server.id.clone();
            let stated = self.stated.iter().find(|(server, _)| *server == id);
            let load = stated.map(|(_, percent)| Load {
                running: 0,
                waiting: 0,
                slowness: Some(*percent),
            });
            let end = Completion::Answered {
                elapsed: self.elapsed(&id, batch.pieces.len()),
                pieces: batch.pieces.len(),
                load,
                results,
                is_out_of_memory: false,
            };
            self.scheduler
                .record_completion(self.now, &batch.shard, &id, &self.work, end);
            for piece in batch.pieces {
                self.done.push((self.now, id.clone(), piece));
            }
        }
    }

    /// Returns the time of a call.
    fn elapsed(&self, server: &Name, pieces: usize) -> Duration {
        let factor = self.slow_factors.iter().find(|(id, _)| id == server);
        let percent = self.percents.iter().find(|(id, _)| id == server);
        let percent = percent.map_or(self.usual_percent, |(_, percent)| *percent);
        let expected = self.work.call_time + self.work.piece_time * u32::try_from(pieces).unwrap();
        expected * factor.map_or(1, |(_, factor)| *factor) * percent / 100
    }

    fn release_due(&mut self) {
        let finished = self.stored.extract_if(.., |(until, _)| *until <= self.now);
        let handles: Vec<_> = finished.map(|(_, handle)| handle).collect();
        self.scheduler.record_released(&handles);
    }

    /// Returns the number of pieces of a rank that finished by their due time.
    pub(crate) fn on_time(&self, rank: u8) -> usize {
        let done = self.done.iter();
        let done = done.filter(|(at, _, piece)| piece.rank.account == rank && *at <= piece.due);
        done.count()
    }
}
