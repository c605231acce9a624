//! A chain of three stages in virtual time, whose requests are admitted by a controller.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use core::time::Duration;

use base::{Name, Tick};
use batch::{
    Piece, Scheduler, Shard,
    piece::{Handle, Source},
    scheduler::{Action, Batch, Completion, Context},
};
use pick::Fleet;
use room::{
    Config, Controller,
    controller::{Decision, Request, Stage},
};
use site::{
    Pool, Roster,
    pool::{Pieces, Work},
    roster::Server,
    route::Rank,
};

pub(crate) const POOLS: [&str; 3] = ["first", "second", "third"];

/// Full calls of 275 ms with 8 pieces.
pub(crate) const WORK: Pieces = Pieces {
    slots: 1,
    queue: 2,
    max_batch: 8,
    call_time: Duration::from_millis(155),
    piece_time: Duration::from_millis(15),
    memory_bytes: 40_000_000,
    result_ttl: Duration::from_secs(4),
};

pub(crate) const ENGINE_TIME: Duration = Duration::from_millis(150);
pub(crate) const OBJECTIVE: Duration = Duration::from_millis(1_300);
pub(crate) const DEADLINE: Duration = Duration::from_millis(5_000);

/// The size of a result; a server holds 40 of them.
const RESULT_BYTES: u64 = 1_000_000;

/// The time between reports, as between heartbeats.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) account: Name,
    pub(crate) rank: Rank,
    pub(crate) pieces: u32,
    pub(crate) first_at: Tick,
    pub(crate) returns: u32,
    at: Tick,
    delayed_since: Option<Tick>,
    stage: usize,
    waiting: u32,
    held: Vec<(usize, Handle)>,
    draw: f64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    OnTime,
    Late,
    Refused,
    Expired,
}

pub(crate) struct Simulation {
    pub(crate) now: Tick,
    pub(crate) controller: Controller,
    /// Whether requests start without a decision.
    pub(crate) is_open: bool,
    /// Whether reports reach the controller.
    pub(crate) has_reports: bool,
    /// Whether refused callers return as told.
    pub(crate) callers_return: bool,
    pub(crate) roster: Roster,
    pub(crate) calls: Vec<Call>,
    pub(crate) ended: Vec<(Call, End)>,
    /// The largest memory use of each stage, in thousandths.
    pub(crate) memory: [u16; 3],
    /// The sum of the memory use of the second stage, and the number of samples.
    pub(crate) second_memory: (u64, u64),
    schedulers: Vec<Scheduler>,
    config: site::Config,
    fleet: Fleet,
    running: Vec<(Tick, usize, Batch)>,
    pending: Vec<usize>,
    reported_at: Tick,
    next_ticket: u64,
    tickets: Vec<(u64, usize)>,
    rng: u64,
}

impl Simulation {
    /// Creates a chain with the given number of servers in each stage.
    pub(crate) fn new(servers: [usize; 3]) -> Self {
        let mut roster = Roster::default();
        let mut pools = Vec::new();
        for (stage, count) in servers.into_iter().enumerate() {
            pools.push(Pool {
                name: POOLS[stage].into(),
                max_connections: 8,
                cold: None,
                work: Work::Pieces(WORK),
            });
            for at in 0..count {
                let server = Server {
                    id: format!("{}-{at}", POOLS[stage]).into(),
                    pool: POOLS[stage].into(),
                    address: format!("10.0.{stage}.{}:80", at + 1).parse().unwrap(),
                    domain: "a".into(),
                    slots: 1,
                    leaving: false,
                    started_at_ms: 0,
                    version: Some("v1".into()),
                };
                roster.insert(server, 1);
            }
        }
        Self {
            now: Tick::from_millis(10_000),
            controller: Controller::new(Config::default()),
            is_open: false,
            has_reports: true,
            callers_return: false,
            roster,
            calls: Vec::new(),
            ended: Vec::new(),
            memory: [0; 3],
            second_memory: (0, 0),
            schedulers: vec![Scheduler::default(); 3],
            config: site::Config::new(1, Vec::new(), pools, None),
            fleet: Fleet::default(),
            running: Vec::new(),
            pending: Vec::new(),
            reported_at: Tick::default(),
            next_ticket: 1,
            tickets: Vec::new(),
            rng: 7,
        }
    }

    /// Adds a request that arrives now.
    pub(crate) fn arrive(&mut self, account: &str, rank: u8, pieces: u32) {
        let draw = self.draw();
        self.calls.push(Call {
            account: account.into(),
            rank: Rank::new(Some(rank), 0),
            pieces,
            first_at: self.now,
            returns: 0,
            at: self.now,
            delayed_since: None,
            stage: 0,
            waiting: 0,
            held: Vec::new(),
            draw,
        });
        self.pending.push(self.calls.len() - 1);
    }

    /// Sends requests at a rate per second for some time; `next` gives the account, rank and pieces of each.
    pub(crate) fn run(
        &mut self,
        rate: f64,
        time: Duration,
        mut next: impl FnMut(u64) -> (String, u8, u32),
    ) {
        let end = self.now + time;
        let (mut due, mut number) = (0.0, 0);
        while self.now < end {
            // Arrivals with random gaps.
            due -= 0.001;
            while due <= 0.0 {
                let (account, rank, pieces) = next(number);
                number += 1;
                self.arrive(&account, rank, pieces);
                due += -(1.0 - self.draw()).ln() / rate;
            }
            self.step();
        }
    }

    /// Runs until all requests have ended.
    pub(crate) fn finish(&mut self) {
        for _ in 0..12_000 {
            self.step();
        }
    }

    /// Returns the part of the ended requests that a filter selects with an end.
    pub(crate) fn count(&self, end: End, filter: impl Fn(&Call) -> bool) -> usize {
        let ended = self.ended.iter();
        ended
            .filter(|(call, found)| *found == end && filter(call))
            .count()
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(1);
        self.finish_calls();
        let pending = core::mem::take(&mut self.pending);
        for call in pending {
            match self.calls[call].at <= self.now {
                true => self.decide(call),
                false => self.pending.push(call),
            }
        }
        for stage in 0..3 {
            self.dispatch(stage);
        }
        if self.reported_at + REPORT_INTERVAL <= self.now {
            self.reported_at = self.now;
            self.report();
        }
    }

    fn report(&mut self) {
        for (stage, pool) in POOLS.into_iter().enumerate() {
            let shard = Shard::whole(&pool.into());
            let backlog = self.schedulers[stage].backlog(self.now, &self.config, &shard);
            let Some(backlog) = backlog.cloned() else {
                continue;
            };
            let memory = backlog.memory_permille;
            self.memory[stage] = self.memory[stage].max(memory);
            if stage == 1 {
                self.second_memory.0 += u64::from(memory);
                self.second_memory.1 += 1;
            }
            if self.has_reports {
                let forecast = &mut self.controller.forecast;
                forecast.record(self.now, &shard, &"b".into(), backlog);
            }
        }
    }

    fn decide(&mut self, at: usize) {
        let call = &self.calls[at];
        let stages = [vec![], vec![0], vec![1]];
        let stages = stages.iter().enumerate().map(|(stage, depends_on)| Stage {
            shard: Shard::whole(&POOLS[stage].into()),
            depends_on,
            call_time: WORK.full_call_time(),
            is_omitted: false,
        });
        let stages: Vec<_> = stages.collect();
        let request = Request {
            rank: call.rank,
            account: Some(&call.account),
            objective: OBJECTIVE,
            waited: self.now - call.first_at,
            has_returned: call.returns > 0,
            time_left: call.first_at + DEADLINE - self.now,
            delayed: call
                .delayed_since
                .map_or(Duration::ZERO, |since| self.now - since),
            draw: call.draw,
        };
        let estimate = self
            .controller
            .estimate(self.now, &stages, call.rank, ENGINE_TIME);
        let decision = match self.is_open {
            true => Decision::Start,
            false => self.controller.decide(&request, &estimate),
        };
        let call = &mut self.calls[at];
        match decision {
            Decision::Start => {
                let work = WORK.time_per_piece() * 3 * call.pieces;
                self.controller
                    .accounts
                    .record(self.now, &call.account, work);
                self.start_stage(at, 0);
            }
            Decision::Delay(delay) => {
                call.delayed_since.get_or_insert(self.now);
                call.at = self.now + delay;
                self.pending.push(at);
            }
            Decision::Refuse { retry_after, .. } => {
                if self.callers_return && call.returns < 3 {
                    call.returns += 1;
                    call.delayed_since = None;
                    call.at = self.now + retry_after;
                    self.pending.push(at);
                } else {
                    self.ended.push((call.clone(), End::Refused));
                }
            }
        }
    }

    fn start_stage(&mut self, at: usize, stage: usize) {
        let after = self.time_after(at, stage);
        let priority = self.controller.accounts.priority(&self.calls[at].account);
        let call = &mut self.calls[at];
        call.stage = stage;
        call.waiting = call.pieces;
        let source = match stage {
            0 => Source::Key("k".into()),
            _ => Source::Results(call.held.iter().map(|(_, handle)| handle.clone()).collect()),
        };
        let deadline = (call.first_at + DEADLINE.saturating_sub(after)).min(match stage {
            0 => Tick::MAX,
            _ => self.now + Duration::from_secs(3),
        });
        let pieces = (0..call.pieces).map(|number| Piece {
            ticket: self.next_ticket + u64::from(number),
            request: format!("r-{at}").into(),
            stage,
            number,
            source: source.clone(),
            rank: call.rank,
            density: (1_000.0 * priority) as u32,
            due: call.first_at + OBJECTIVE.saturating_sub(after),
            slack: after.saturating_sub(
                WORK.full_call_time() * u32::try_from(2 - stage).unwrap() + ENGINE_TIME,
            ),
            deadline,
            result_bytes: RESULT_BYTES,
            preferred_domain: None,
            transfer_bytes: 0,
            attempts: 0,
        });
        let pieces: Vec<_> = pieces.collect();
        for piece in &pieces {
            self.tickets.push((piece.ticket, at));
        }
        self.next_ticket += pieces.len() as u64;
        self.schedulers[stage].enqueue(&Shard::whole(&POOLS[stage].into()), pieces);
    }

    /// Returns the time that follows a stage, as the relay reserves it.
    fn time_after(&self, at: usize, stage: usize) -> Duration {
        let call_time = WORK.full_call_time();
        let after = (stage + 1..3).map(|next| {
            let shard = Shard::whole(&POOLS[next].into());
            let rank = self.calls[at].rank;
            let wait = &self.controller.forecast;
            let wait = wait.wait(self.now, &shard, rank);
            let wait = wait.map_or(Duration::ZERO, |wait| wait.on_time);
            (call_time + wait).max(call_time.mul_f64(1.5))
        });
        after.sum::<Duration>() + ENGINE_TIME
    }

    fn dispatch(&mut self, stage: usize) {
        let cx = Context {
            now: self.now,
            config: &self.config,
            roster: &self.roster,
            fleet: &self.fleet,
        };
        for action in self.schedulers[stage].next_actions(cx) {
            match action {
                Action::Expire(piece) => {
                    let (_, at) = self.take_ticket(piece.ticket);
                    // All pieces of a stage expire together or end before.
                    if self.calls[at].stage == stage && self.calls[at].waiting > 0 {
                        self.calls[at].waiting = 0;
                        self.release(at);
                        self.expire(at);
                    }
                }
                Action::Send(batch) => {
                    let pieces = u32::try_from(batch.pieces.len()).unwrap();
                    let elapsed = WORK.call_time + WORK.piece_time * pieces;
                    self.running.push((self.now + elapsed, stage, batch));
                }
            }
        }
    }

    /// Ends a request whose piece expired, or lets its caller return after a third of the time left at most.
    fn expire(&mut self, at: usize) {
        let call = &mut self.calls[at];
        let left = call.first_at + DEADLINE - self.now;
        if self.callers_return && call.returns < 3 {
            call.returns += 1;
            call.delayed_since = None;
            call.at = self.now + left.mul_f64(0.2 + 0.13 * call.draw);
            self.pending.push(at);
        } else {
            self.ended.push((call.clone(), End::Expired));
        }
    }

    fn finish_calls(&mut self) {
        let finished = self.running.extract_if(.., |(end, ..)| *end <= self.now);
        for (_, stage, batch) in finished.collect::<Vec<_>>() {
            let handle = |piece: &Piece| Handle {
                maker: Some(batch.server.incarnation()),
                text: format!("{stage}-{}", piece.ticket).into(),
            };
            let results = batch.pieces.iter();
            let results = results.map(|piece| (handle(piece), piece.result_bytes));
            let pieces = u32::try_from(batch.pieces.len()).unwrap();
            let end = Completion::Answered {
                elapsed: WORK.call_time + WORK.piece_time * pieces,
                pieces: batch.pieces.len(),
                load: None,
                results: results.collect(),
                is_out_of_memory: false,
            };
            let id = &batch.server.id;
            self.schedulers[stage].record_completion(self.now, &batch.shard, id, &WORK, end);
            for piece in &batch.pieces {
                let (_, at) = self.take_ticket(piece.ticket);
                let handle = handle(piece);
                if self.calls[at].waiting == 0 {
                    self.schedulers[stage].record_released(&[handle]);
                    continue;
                }
                self.calls[at].held.push((stage, handle));
                self.calls[at].waiting -= 1;
                if self.calls[at].waiting == 0 {
                    self.finish_stage(at, stage);
                }
            }
        }
    }

    fn finish_stage(&mut self, at: usize, stage: usize) {
        let earlier = self.calls[at].held.extract_if(.., |(of, _)| *of < stage);
        for (of, handle) in earlier.collect::<Vec<_>>() {
            self.schedulers[of].record_released(&[handle]);
        }
        if stage < 2 {
            return self.start_stage(at, stage + 1);
        }
        let answered_at = self.now + ENGINE_TIME;
        let end = match answered_at <= self.calls[at].first_at + OBJECTIVE {
            true => End::OnTime,
            false => End::Late,
        };
        self.release(at);
        self.ended.push((self.calls[at].clone(), end));
    }

    fn release(&mut self, at: usize) {
        for (of, handle) in core::mem::take(&mut self.calls[at].held) {
            self.schedulers[of].record_released(&[handle]);
        }
    }

    fn take_ticket(&mut self, ticket: u64) -> (u64, usize) {
        let at = self.tickets.iter().position(|(known, _)| *known == ticket);
        self.tickets.swap_remove(at.unwrap())
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn draw(&mut self) -> f64 {
        self.rng = self
            .rng
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.rng >> 11) as f64 / (1_u64 << 53) as f64
    }
}
