//! A pool of servers of stages in virtual time, for tests of the scheduler.

#![allow(dead_code, reason = "each test file uses a part of it")]

use core::time::Duration;

use base::{Name, Tick};
use batch::{
    Piece, Scheduler, Shard,
    piece::{Handle, Source},
    scheduler::{Action, Batch, Completion, Context},
};
use pick::Fleet;
use site::{
    Config, Pool, Roster,
    pool::{Pieces, Work},
    roster::Server,
    route::Rank,
};

pub(crate) const POOL: &str = "portfolio";

/// Returns the shard that every test but those of cells uses.
pub(crate) fn shard() -> Shard {
    Shard::whole(&POOL.into())
}

/// The work of the first stage at the smaller site: 8 pieces a call, 150 ms a call, 16 ms a piece.
pub(crate) const WORK: Pieces = Pieces {
    slots: 1,
    queue: 2,
    max_batch: 8,
    call_time: Duration::from_millis(150),
    piece_time: Duration::from_millis(16),
    memory_bytes: 38_000_000,
    result_ttl: Duration::from_secs(4),
};

/// A pool whose servers work as its configuration says.
pub(crate) struct World {
    pub(crate) now: Tick,
    pub(crate) scheduler: Scheduler,
    pub(crate) roster: Roster,
    pub(crate) fleet: Fleet,
    pub(crate) config: Config,
    pub(crate) work: Pieces,
    running: Vec<(Tick, Batch)>,
    pub(crate) done: Vec<(Tick, Name, Piece)>,
    pub(crate) late: Vec<(Tick, Piece)>,
    pub(crate) calls: Vec<(Name, usize)>,
    /// How much longer each server's calls take.
    pub(crate) slow: Vec<(Name, u32)>,
    /// How long a result lies before it is given up.
    pub(crate) lies: Duration,
    lying: Vec<(Tick, Handle)>,
    next: u64,
}

impl World {
    /// Opens a pool with a server in each domain named.
    pub(crate) fn open(domains: &[&str], work: Pieces) -> Self {
        let pool = Pool {
            name: POOL.into(),
            max_connections: 8,
            work: Work::Pieces(work),
        };
        let mut roster = Roster::default();
        for (at, domain) in domains.iter().enumerate() {
            roster.insert(Server {
                id: format!("i-{at}").into(),
                pool: POOL.into(),
                address: format!("10.0.0.{}:80", at + 1).parse().unwrap(),
                domain: (*domain).into(),
                slots: 1,
                leaving: false,
                started_at_ms: 0,
            });
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
            late: Vec::new(),
            calls: Vec::new(),
            slow: Vec::new(),
            lies: Duration::from_millis(200),
            lying: Vec::new(),
            next: 1,
        }
    }

    /// Offers the pieces of a request.
    pub(crate) fn offer(&mut self, count: u32, edit: impl Fn(&mut Piece)) -> Name {
        let request = Name::from(format!("r-{}", self.next));
        let pieces = (0..count).map(|number| {
            let mut piece = Piece {
                ticket: self.next + u64::from(number),
                request: request.clone(),
                stage: 0,
                number,
                source: Source::Key("k".into()),
                rank: Rank::default(),
                density: 1_000,
                due: self.now + Duration::from_millis(850),
                deadline: self.now + Duration::from_secs(4),
                result_bytes: 8_000,
                preferred_domain: None,
                transfer_bytes: 0,
                attempts: 0,
            };
            edit(&mut piece);
            piece
        });
        let pieces = pieces.collect();
        self.next += u64::from(count);
        self.scheduler.enqueue(&shard(), pieces);
        self.pump();
        request
    }

    /// Lets time pass.
    pub(crate) fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Duration::from_millis(1);
            self.end_calls();
            self.free();
            self.pump();
        }
    }

    pub(crate) fn pump(&mut self) {
        let cx = Context {
            now: self.now,
            config: &self.config,
            roster: &self.roster,
            fleet: &self.fleet,
        };
        for action in self.scheduler.next_actions(cx) {
            match action {
                Action::Expire(piece) => self.late.push((self.now, piece)),
                Action::Send(batch) => {
                    let id = batch.server.id.clone();
                    let slow = self.slow.iter().find(|(server, _)| *server == id);
                    let factor = slow.map_or(1, |(_, factor)| *factor);
                    let count = u32::try_from(batch.pieces.len()).unwrap();
                    let elapsed = (self.work.call_time + self.work.piece_time * count) * factor;
                    self.calls.push((id, batch.pieces.len()));
                    self.running.push((self.now + elapsed, batch));
                }
            }
        }
    }

    fn end_calls(&mut self) {
        let over = self.running.extract_if(.., |(end, _)| *end <= self.now);
        for (_, batch) in over.collect::<Vec<_>>() {
            let results = batch.pieces.iter().map(|piece| {
                let handle = Handle {
                    address: batch.server.address,
                    text: format!("{}-{}", batch.server.id, piece.ticket).into(),
                };
                (handle, piece.result_bytes)
            });
            let results: Vec<_> = results.collect();
            for (handle, _) in &results {
                self.lying.push((self.now + self.lies, handle.clone()));
            }
            let count = u32::try_from(batch.pieces.len()).unwrap();
            let id = batch.server.id.clone();
            let slow = self.slow.iter().find(|(server, _)| *server == id);
            let factor = slow.map_or(1, |(_, factor)| *factor);
            let end = Completion::Answered {
                elapsed: (self.work.call_time + self.work.piece_time * count) * factor,
                pieces: batch.pieces.len(),
                load: None,
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

    fn free(&mut self) {
        let over = self.lying.extract_if(.., |(until, _)| *until <= self.now);
        let handles: Vec<_> = over.map(|(_, handle)| handle).collect();
        self.scheduler.record_released(&handles);
    }

    /// Returns how many pieces with a rank were made when they were due.
    pub(crate) fn on_time(&self, rank: u8) -> usize {
        let done = self.done.iter();
        let done = done.filter(|(at, _, piece)| piece.rank.account == rank && *at <= piece.due);
        done.count()
    }
}
