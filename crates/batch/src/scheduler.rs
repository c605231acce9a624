//! Which pieces the next call to each server takes, and which can't be made in time.

mod line;
mod plan;

use std::rc::Rc;

use base::{Name, Tick};
use core::time::Duration;
use pick::Fleet;
use site::{
    Config, Roster,
    pool::{Pieces, Work},
    roster::Server,
};

use self::line::Line;
use crate::{Piece, Shard, configs, piece::Handle};

/// What a decision may see.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The present instant.
    pub now: Tick,
    /// The configuration in force.
    pub config: &'a Config,
    /// The servers that are listed.
    pub roster: &'a Roster,
    /// What was seen of them.
    pub fleet: &'a Fleet,
}

/// Pieces that wait, and calls that are under way, by shard.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    config: configs::Config,
    lines: Vec<Line>,
}

/// What to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a call.
    Send(Batch),
    /// Tell whoever waits that a piece can't be made in time.
    Expire(Piece),
}

/// A call to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The servers among which it was chosen.
    pub shard: Shard,
    /// The server.
    pub server: Rc<Server>,
    /// What the call holds.
    pub pieces: Vec<Piece>,
    /// When the call is given up.
    pub timeout: Duration,
}

/// What a server tells of its load in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that it works on.
    pub running: u32,
    /// Calls that wait there.
    pub waiting: u32,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// It was answered.
    Answered {
        /// The time it elapsed.
        elapsed: Duration,
        /// Its pieces.
        pieces: usize,
        /// What the server told of its load.
        load: Option<Load>,
        /// The results that lie at the server now, with their sizes.
        results: Vec<(Handle, u64)>,
        /// Whether pieces were not made for lack of memory.
        is_out_of_memory: bool,
    },
    /// The server was full.
    Full,
    /// It was not answered, for a reason that says nothing of the server's speed.
    Failed,
    /// It was not answered in time.
    TimedOut,
}

impl Scheduler {
    /// Makes a scheduler on which nothing waits.
    pub const fn new(config: configs::Config) -> Self {
        Self {
            config,
            lines: Vec::new(),
        }
    }

    /// Adds pieces of one stage of a request for the servers of a shard.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use batch::{Scheduler, Piece, Shard, piece::Source};
    /// let piece = Piece {
    ///     ticket: 1,
    ///     request: "r".into(),
    ///     stage: 0,
    ///     number: 0,
    ///     source: Source::Key("k".into()),
    ///     rank: site::route::Rank::default(),
    ///     density: 1_000,
    ///     due: Tick::from_millis(100),
    ///     deadline: Tick::from_millis(900),
    ///     result_bytes: 8_000,
    ///     preferred_domain: None,
    ///     transfer_bytes: 0,
    ///     attempts: 0,
    /// };
    /// let mut scheduler = Scheduler::default();
    /// let shard = Shard::whole(&"board".into());
    /// scheduler.enqueue(&shard, vec![piece]);
    /// assert_eq!(scheduler.queue_len(&shard), 1);
    /// ```
    pub fn enqueue(&mut self, shard: &Shard, pieces: Vec<Piece>) {
        self.line(shard).offer(pieces);
    }

    /// Drops pieces that wait, by their tickets.
    pub fn cancel(&mut self, tickets: &core::ops::Range<u64>) {
        for line in &mut self.lines {
            line.withdraw(tickets);
        }
    }

    /// Returns the number of pieces that wait for the servers of a shard.
    pub fn queue_len(&self, shard: &Shard) -> usize {
        self.find(shard).map_or(0, |at| self.lines[at].waiting())
    }

    /// Takes note that a call ended.
    pub fn record_completion(
        &mut self,
        now: Tick,
        shard: &Shard,
        server: &Name,
        work: &Pieces,
        end: Completion,
    ) {
        let config = self.config.clone();
        self.line(shard).ended(now, server, &config, work, end);
    }

    /// Returns the calls to send now, and the pieces that can't be made in time any more.
    pub fn next_actions(&mut self, cx: Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        for line in &mut self.lines {
            let pool = cx.config.pool(&line.shard.pool);
            match pool.map(|pool| pool.work) {
                Some(Work::Pieces(work)) => line.next(cx, &self.config, &work, &mut actions),
                // The pool is no longer configured.
                _ => actions.extend(line.clear().into_iter().map(Action::Expire)),
            }
        }
        actions
    }

    /// Takes note that results were given up.
    pub fn record_released(&mut self, handles: &[Handle]) {
        for line in &mut self.lines {
            line.freed(handles);
        }
    }

    /// Returns when to ask for the next calls again, if nothing happens before.
    pub fn next_wakeup(&self, now: Tick) -> Option<Tick> {
        self.lines.iter().filter_map(|line| line.wake(now)).min()
    }

    fn line(&mut self, shard: &Shard) -> &mut Line {
        let at = match self.find(shard) {
            Ok(at) => at,
            Err(at) => {
                self.lines.insert(at, Line::new(shard));
                at
            }
        };
        &mut self.lines[at]
    }

    fn find(&self, shard: &Shard) -> Result<usize, usize> {
        self.lines.binary_search_by(|line| line.shard.cmp(shard))
    }
}
