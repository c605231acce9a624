//! Decides which pieces the next call to each server takes, and which pieces expire.

mod plan;
mod queue;
mod report;
mod share;
mod worker;

use std::rc::Rc;

use base::{Name, Tick};
use core::time::Duration;
use pick::Fleet;
use site::{
    Config, Roster,
    pool::{Pieces, Work},
    roster::Server,
};

use self::queue::Queue;
use crate::{Backlog, Piece, Shard, configs, piece::Handle};

/// The inputs of a scheduling decision.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Tick,
    /// The configuration in force.
    pub config: &'a Config,
    /// The registered servers.
    pub roster: &'a Roster,
    /// The load estimates of these servers.
    pub fleet: &'a Fleet,
}

/// Queued pieces and calls in flight, by shard.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    config: configs::Config,
    queues: Vec<Queue>,
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a batch.
    Send(Batch),
    /// Tell the waiter that a piece can't finish in time.
    Expire(Piece),
}

/// Pieces to send in one call.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The shard that the server belongs to.
    pub shard: Shard,
    /// The server.
    pub server: Rc<Server>,
    /// The work of the pool as configured when the call started.
    pub work: Pieces,
    /// The pieces of the call.
    pub pieces: Vec<Piece>,
    /// The time after which the call is overdue.
    pub timeout: Duration,
}

/// The load that a server reports in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that are running.
    pub running: u32,
    /// Calls that are queued.
    pub waiting: u32,
    /// How long work takes there now in percent of the usual time, if the server states it.
    pub slowness: Option<u32>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The server answered.
    Answered {
        /// The duration of the call.
        elapsed: Duration,
        /// The number of pieces in the call.
        pieces: usize,
        /// The load that the server reported.
        load: Option<Load>,
        /// The results that the server now stores, with their sizes in bytes.
        results: Vec<(Handle, u64)>,
        /// Whether pieces were refused for lack of memory.
        is_out_of_memory: bool,
    },
    /// The server had no free slot.
    Full,
    /// The call failed for a reason that says nothing about the server's speed.
    Failed,
    /// The call timed out.
    TimedOut,
}

impl Scheduler {
    /// Creates a scheduler with empty queues.
    pub const fn new(config: configs::Config) -> Self {
        Self {
            config,
            queues: Vec::new(),
        }
    }

    /// Queues pieces of one stage of a request for a shard.
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
    ///     slack: core::time::Duration::ZERO,
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
        self.queue_mut(shard).enqueue(pieces);
    }

    /// Removes queued pieces by their tickets.
    pub fn cancel(&mut self, tickets: &core::ops::Range<u64>) {
        for queue in &mut self.queues {
            queue.cancel(tickets);
        }
    }

    /// Returns the number of pieces queued for a shard.
    pub fn queue_len(&self, shard: &Shard) -> usize {
        self.find(shard).map_or(0, |at| self.queues[at].len())
    }

    /// Returns the shards that pieces were queued for.
    pub fn shards(&self) -> impl Iterator<Item = &Shard> {
        self.queues.iter().map(|queue| &queue.shard)
    }

    /// Returns the backlog of a shard as the last plan shows it, or none if no piece was ever queued for it or its pool is
    /// no longer configured.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use batch::{Scheduler, Shard};
    /// let (now, config) = (Tick::from_millis(1), site::Config::default());
    /// let shard = Shard::whole(&"board".into());
    /// assert_eq!(Scheduler::default().backlog(now, &config, &shard), None);
    /// ```
    pub fn backlog(&mut self, now: Tick, config: &Config, shard: &Shard) -> Option<&Backlog> {
        let at = self.find(shard).ok()?;
        match config.pool(&shard.pool)?.work {
            Work::Pieces(work) => Some(self.queues[at].backlog(now, &self.config, &work)),
            Work::Engine(_) | Work::Plain => None,
        }
    }

    /// Records that a call ended.
    pub fn record_completion(
        &mut self,
        now: Tick,
        shard: &Shard,
        server: &Name,
        work: &Pieces,
        completion: Completion,
    ) {
        let config = self.config.clone();
        self.queue_mut(shard)
            .record_completion(now, server, &config, work, completion);
    }

    /// Records that a call is overdue, and may end later. Its server counts as slow until then.
    pub fn record_overdue(&mut self, shard: &Shard, server: &Name) {
        self.queue_mut(shard).record_overdue(server);
    }

    /// Returns the batches to send now, and the pieces that can no longer finish in time.
    pub fn next_actions(&mut self, cx: Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        for queue in &mut self.queues {
            let pool = cx.config.pool(&queue.shard.pool);
            match pool.map(|pool| pool.work) {
                Some(Work::Pieces(work)) => {
                    queue.next_actions(cx, &self.config, &work, &mut actions)
                }
                // The pool is no longer configured.
                _ => actions.extend(queue.clear().into_iter().map(Action::Expire)),
            }
        }
        actions
    }

    /// Records that results were released.
    pub fn record_released(&mut self, handles: &[Handle]) {
        for queue in &mut self.queues {
            queue.record_released(handles);
        }
    }

    /// Returns when to call [`Self::next_actions`] again if nothing else happens before.
    pub fn next_wakeup(&self, now: Tick) -> Option<Tick> {
        self.queues
            .iter()
            .filter_map(|queue| queue.next_wakeup(now))
            .min()
    }

    fn queue_mut(&mut self, shard: &Shard) -> &mut Queue {
        let at = match self.find(shard) {
            Ok(at) => at,
            Err(at) => {
                self.queues.insert(at, Queue::new(shard));
                at
            }
        };
        &mut self.queues[at]
    }

    fn find(&self, shard: &Shard) -> Result<usize, usize> {
        self.queues.binary_search_by(|queue| queue.shard.cmp(shard))
    }
}
