//! The state that all requests of an instance share.

use core::{cell::RefCell, time::Duration};
use std::rc::Rc;

use base::{Name, Tick};
use batch::{
    Piece, Scheduler, Shard,
    piece::{Handle, Outcome, Reason},
    scheduler::{self, Action, Batch, Context},
};
use mesh::{Departures, Members, Origins, Owner};
use pick::{Fleet, fleet::Completion};
use rand::{SeedableRng, rngs::SmallRng};
use retry::{Crashes, Window, window::Bound};
use site::{Config, Roster, roster::Server};
use tokio::{sync::mpsc, task, time};

use crate::{Failure, Transport, call::Results, configs, estimate::Estimator};

/// The shortest delay of a wakeup; timers fire slightly late anyway.
const MIN_WAKEUP_DELAY: Duration = Duration::from_millis(2);

/// The state that all requests of an instance share, and the calls of its scheduler.
pub struct Hub<E> {
    /// The transport that makes the calls.
    pub transport: E,
    /// The failure domain of the instance.
    pub domain: Name,
    /// Settings.
    pub settings: configs::Config,
    state: RefCell<State>,
}

/// The mutable state of an instance.
pub struct State {
    /// The active configuration, or none until one is known.
    pub config: Option<Rc<Config>>,
    /// The registered servers.
    pub roster: Roster,
    /// The load estimates of these servers.
    pub fleet: Fleet,
    /// The scheduler of stage pieces.
    pub scheduler: Scheduler,
    /// The retry budget.
    pub retry_window: Window,
    /// Requests that crashed servers.
    pub crashes: Crashes,
    /// The other instances.
    pub members: Members,
    /// Departures of servers that other instances are told.
    pub departures: Departures,
    /// Where recent streams began.
    pub origins: Origins,
    /// Estimates of the time to the first event and of request sizes.
    pub estimator: Estimator,
    /// The source of randomness.
    pub rng: SmallRng,
    waiters: Vec<Waiter>,
    next_ticket: u64,
    /// Released results that are not yet reported to their servers.
    pub(crate) unreported: Vec<Handle>,
    /// The time of the earliest scheduled wakeup.
    next_wakeup: Option<Tick>,
}

/// The receiver of a piece's outcome.
struct Waiter {
    ticket: u64,
    /// The copies of the piece that are queued or part of a call.
    copies: u32,
    sender: mpsc::UnboundedSender<Delivery>,
}

/// The outcome of a piece, sent to its waiter.
struct Delivery {
    ticket: u64,
    outcome: Outcome,
}

/// Pieces whose outcomes are awaited; cancels them and releases their results when dropped.
struct PendingPieces<'a, E: Transport> {
    hub: &'a Rc<Hub<E>>,
    tickets: core::ops::Range<u64>,
    outcomes: Vec<Option<Outcome>>,
}

impl<E: Transport> Drop for PendingPieces<'_, E> {
    fn drop(&mut self) {
        self.hub.with(|state| {
            state.scheduler.cancel(&self.tickets);
            state
                .waiters
                .retain(|waiter| !self.tickets.contains(&waiter.ticket));
        });
        let outcomes = self.outcomes.drain(..).flatten();
        let handles = outcomes.filter_map(|outcome| match outcome {
            Outcome::Result(handle) => Some(handle),
            Outcome::Failed(_) => None,
        });
        self.hub.release(handles.collect());
    }
}

impl<E: Transport> Hub<E> {
    /// Creates a hub without a configuration and without servers.
    pub fn new(
        transport: E,
        domain: Name,
        members: Members,
        bound: Bound,
        settings: configs::Config,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            transport,
            domain,
            settings,
            state: RefCell::new(State {
                config: None,
                roster: Roster::default(),
                fleet: Fleet::default(),
                scheduler: Scheduler::default(),
                retry_window: Window::new(bound),
                crashes: Crashes::default(),
                members,
                departures: Departures::default(),
                origins: Origins::default(),
                estimator: Estimator::default(),
                rng: SmallRng::seed_from_u64(seed),
                waiters: Vec::new(),
                next_ticket: 0,
                unreported: Vec::new(),
                next_wakeup: None,
            }),
        })
    }

    /// Runs a closure on the shared state, to which the notices that arrived until now were applied.
    pub fn with<T>(&self, run: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.borrow_mut();
        for notice in self.transport.take_notices() {
            state.apply_notice(&self.settings, notice);
        }
        run(&mut state)
    }

    /// Returns the maximum number of connections to a server of a pool.
    pub(crate) fn max_connections(&self, pool: &Name) -> usize {
        self.with(|state| {
            let pool = state.config.as_ref()?.pool(pool)?;
            Some(pool.max_connections)
        })
        .unwrap_or(usize::MAX)
    }

    /// Runs pieces of one stage of a request, in calls of this instance or of the one that owns the shard.
    ///
    /// Dropping the future cancels queued pieces and releases their results.
    pub(crate) async fn run_pieces(
        self: &Rc<Self>,
        pool: &Name,
        pieces: Vec<Piece>,
    ) -> Vec<Outcome> {
        let preferred = pieces
            .first()
            .and_then(|piece| piece.preferred_domain.clone());
        // Tries the owner in the preferred domain, then its successor, and then the owner in the local domain.
        for domain in [preferred.as_ref(), preferred.as_ref(), None] {
            let (shard, owner) = self.shard_owner(pool, domain);
            let peer = match owner {
                Owner::Local => return self.run_local(&shard, pieces).await,
                Owner::Peer(peer) => peer,
                Owner::Unavailable => continue,
            };
            let delegated = self.transport.delegate(&peer, &shard, &pieces);
            let lost = self.wait_until_lost(&peer.name);
            let outcomes = tokio::select! {
                outcomes = delegated => outcomes,
                () = lost => Err(Failure::TimedOut),
            };
            match outcomes {
                Ok(outcomes) if outcomes.len() == pieces.len() => return outcomes,
                Ok(_) => {
                    log::error!(target: "peers", peer:% = peer.name; "instance returned a wrong number of results")
                }
                Err(failure) => {
                    log::info!(
                        target: "peers", peer:% = peer.name, pool:% = pool,
                        request:% = pieces.first().map_or("", |piece| piece.request.as_str()),
                        cause:% = failure; "instance that runs the pieces was lost"
                    );
                    self.with(|state| {
                        state.members.mark_lost(&peer.name);
                        state.record_reachability(
                            self.transport.now(),
                            &peer.domain,
                            Failure::Unreachable,
                        );
                    });
                }
            }
        }
        let (shard, _) = self.shard_owner(pool, None);
        self.run_local(&shard, pieces).await
    }

    /// Returns the shard of a pool that is nearest to a failure domain, and its owner.
    fn shard_owner(&self, pool: &Name, preferred: Option<&Name>) -> (Shard, Owner) {
        let now = self.transport.now();
        self.with(|state| {
            if !state.members.has_cells() {
                let owner = state.members.owner(now, pool, &self.domain);
                return (Shard::whole(pool), owner);
            }
            let reachability = &state.fleet.reachability;
            let domains = || state.roster.usable(now, pool).map(|server| &server.domain);
            let preferred = preferred.filter(|domain| !reachability.is_unreachable(now, domain));
            let candidates = preferred.into_iter().chain([&self.domain]);
            let mut candidates =
                candidates.filter(|domain| domains().any(|known| known == *domain));
            let domain = candidates.next().or_else(|| domains().min());
            let domain = domain.unwrap_or(&self.domain).clone();
            let owner = state.members.owner(now, pool, &domain);
            let shard = Shard {
                pool: pool.clone(),
                domain: Some(domain),
            };
            (shard, owner)
        })
    }

    /// Returns once an instance is unreachable.
    async fn wait_until_lost(&self, peer: &Name) {
        const POLL_INTERVAL: Duration = Duration::from_millis(100);
        while !self.with(|state| state.members.is_unreachable(self.transport.now(), peer)) {
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Runs pieces in calls of this instance, and returns the outcome of each.
    ///
    /// Dropping the future cancels queued pieces and releases their results.
    pub async fn run_local(self: &Rc<Self>, shard: &Shard, pieces: Vec<Piece>) -> Vec<Outcome> {
        let now = self.transport.now();
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let count = pieces.len();
        let tickets = self.with(|state| {
            let first = state.next_ticket;
            state.retry_window.record_request(now, &shard.pool);
            let mut pieces = pieces;
            for piece in &mut pieces {
                piece.ticket = state.next_ticket;
                state.next_ticket += 1;
                state.waiters.push(Waiter {
                    ticket: piece.ticket,
                    copies: 1,
                    sender: sender.clone(),
                });
            }
            state.scheduler.enqueue(shard, pieces);
            first..state.next_ticket
        });
        drop(sender);
        self.dispatch();
        let mut pending = PendingPieces {
            hub: self,
            outcomes: vec![None; count],
            tickets,
        };
        for _ in 0..count {
            let Some(Delivery { ticket, outcome }) = receiver.recv().await else {
                break;
            };
            let at = usize::try_from(ticket - pending.tickets.start).unwrap_or(usize::MAX);
            if let Some(slot) = pending.outcomes.get_mut(at) {
                *slot = Some(outcome);
            }
        }
        let outcomes = core::mem::take(&mut pending.outcomes).into_iter();
        outcomes
            .map(|outcome| outcome.unwrap_or(Outcome::Failed(Reason::Late)))
            .collect()
    }

    /// Sends the batches that are ready and delivers expired pieces.
    pub fn dispatch(self: &Rc<Self>) {
        let now = self.transport.now();
        let actions = self.with(|state| {
            let Some(config) = state.config.clone() else {
                return Vec::new();
            };
            let cx = Context {
                now,
                config: &config,
                roster: &state.roster,
                fleet: &state.fleet,
            };
            state.scheduler.next_actions(cx)
        });
        for action in actions {
            match action {
                Action::Send(batch) => {
                    self.with(|state| state.fleet.record_start(now, &batch.server.id, 0));
                    let hub = self.clone();
                    task::spawn_local(async move { hub.run_batch(batch).await });
                }
                Action::Expire(piece) => self.deliver(&piece, Outcome::Failed(Reason::Late)),
            }
        }
        self.schedule_wakeup(now);
    }

    /// Schedules the next dispatch for when a server may be free again.
    fn schedule_wakeup(self: &Rc<Self>, now: Tick) {
        let at = self.with(|state| {
            let at = state.scheduler.next_wakeup(now)?;
            if state
                .next_wakeup
                .is_some_and(|planned| now < planned && planned <= at)
            {
                return None;
            }
            state.next_wakeup = Some(at);
            Some(at)
        });
        let Some(at) = at else {
            return;
        };
        let hub = self.clone();
        task::spawn_local(async move {
            time::sleep((at - now).max(MIN_WAKEUP_DELAY)).await;
            hub.with(|state| state.next_wakeup.take_if(|planned| *planned <= at));
            hub.dispatch();
        });
    }

    async fn run_batch(self: Rc<Self>, batch: Batch) {
        let sent_at = self.transport.now();
        let results = {
            // A call that takes long goes on, as its server may only be silent for a while.
            let limit = batch.timeout + self.settings.max_stage_silence;
            let call = self
                .transport
                .run_pieces(&batch.server, &batch.pieces, limit);
            let mut call = core::pin::pin!(call);
            match time::timeout(batch.timeout, &mut call).await {
                Ok(results) => results,
                Err(_) => {
                    self.repeat_overdue(&batch);
                    call.await
                }
            }
        };
        let now = self.transport.now();
        match results {
            Ok(results) => self.record_results(now, now - sent_at, batch, results),
            Err(failure) => self.record_batch_failure(now, batch, failure),
        }
        self.dispatch();
    }

    /// Queues copies of the pieces of a call that is overdue, as far as their attempts and the retry budget allow it. The
    /// first result of a piece counts.
    fn repeat_overdue(self: &Rc<Self>, batch: &Batch) {
        let now = self.transport.now();
        let max_attempts = self.settings.max_piece_attempts;
        let repeated = self.with(|state| {
            state
                .scheduler
                .record_overdue(&batch.shard, &batch.server.id);
            let count = state.members.count();
            let mut copies = Vec::new();
            for piece in &batch.pieces {
                let attempts = piece.attempts + 1;
                let Some(at) = state.find_waiter(piece.ticket) else {
                    continue;
                };
                if attempts < max_attempts
                    && state.retry_window.try_retry(now, &batch.shard.pool, count)
                {
                    state.waiters[at].copies += 1;
                    copies.push(Piece {
                        attempts,
                        ..piece.clone()
                    });
                }
            }
            let repeated = copies.len();
            state.scheduler.enqueue(&batch.shard, copies);
            repeated
        });
        log::info!(
            target: "stages", pool:% = batch.shard.pool, server:% = batch.server.id,
            requests:% = request_ids(&batch.pieces), pieces = batch.pieces.len(), repeated = repeated,
            silent_ms = batch.timeout.as_millis(); "stage call overdue"
        );
        self.dispatch();
    }

    fn record_results(
        self: &Rc<Self>,
        now: Tick,
        elapsed: Duration,
        batch: Batch,
        results: Results,
    ) {
        let server = &batch.server;
        let is_out_of_memory = results.outcomes.contains(&Outcome::Failed(Reason::Room));
        let outcomes = batch.pieces.iter().zip(&results.outcomes);
        let stored = outcomes.filter_map(|(piece, outcome)| match outcome {
            Outcome::Result(handle) => Some((handle.clone(), piece.result_bytes)),
            Outcome::Failed(_) => None,
        });
        let completion = scheduler::Completion::Answered {
            elapsed,
            pieces: batch.pieces.len(),
            load: results.load,
            results: stored.collect(),
            is_out_of_memory,
        };
        self.with(|state| {
            let answered = Completion::Answered { latency: elapsed };
            state.fleet.record_completion(now, &server.id, answered);
            state.fleet.reachability.record_success(&server.domain);
            state.scheduler.record_completion(
                now,
                &batch.shard,
                &server.id,
                &batch.work,
                completion,
            );
        });
        let mut outcomes = results.outcomes.into_iter();
        for piece in batch.pieces {
            let outcome = outcomes.next().unwrap_or(Outcome::Failed(Reason::Error));
            match outcome {
                Outcome::Failed(Reason::Error | Reason::Room) => {
                    self.retry_piece(now, &batch.shard, piece, outcome, &server.id);
                }
                Outcome::Failed(_) | Outcome::Result(_) => self.deliver(&piece, outcome),
            }
        }
    }

    fn record_batch_failure(self: &Rc<Self>, now: Tick, batch: Batch, failure: Failure) {
        let server = &batch.server;
        log::info!(
            target: "stages", pool:% = batch.shard.pool, server:% = server.id,
            requests:% = request_ids(&batch.pieces), cause:% = failure; "stage call failed"
        );
        self.with(|state| {
            state
                .fleet
                .record_completion(now, &server.id, completion_of(failure));
            state.record_reachability(now, &server.domain, failure);
            let completion = match failure {
                Failure::Exhausted | Failure::Full => scheduler::Completion::Full,
                Failure::TimedOut | Failure::Unacknowledged => scheduler::Completion::TimedOut,
                _ => scheduler::Completion::Failed,
            };
            state.scheduler.record_completion(
                now,
                &batch.shard,
                &server.id,
                &batch.work,
                completion,
            );
            if failure == Failure::Moved {
                state.mark_leaving(now, &server.id, server.started_at_ms, "answer");
            }
        });
        for piece in batch.pieces {
            if matches!(
                failure,
                Failure::Exhausted | Failure::Full | Failure::Unreachable
            ) {
                self.with(|state| {
                    // The request may have ended meanwhile.
                    if state.find_waiter(piece.ticket).is_some() {
                        state.scheduler.enqueue(&batch.shard, vec![piece]);
                    }
                });
            } else {
                self.retry_piece(
                    now,
                    &batch.shard,
                    piece,
                    Outcome::Failed(Reason::Error),
                    &server.id,
                );
            }
        }
    }

    /// Queues a piece again if its attempts and the retry budget allow it, and delivers the outcome otherwise.
    fn retry_piece(
        self: &Rc<Self>,
        now: Tick,
        shard: &Shard,
        mut piece: Piece,
        outcome: Outcome,
        server: &Name,
    ) {
        let is_only_copy = self.with(|state| {
            let waiter = state.waiter_mut(piece.ticket);
            waiter.is_some_and(|waiter| waiter.copies == 1)
        });
        if !is_only_copy {
            return self.deliver(&piece, outcome);
        }
        piece.attempts += 1;
        let max_attempts = self.settings.max_piece_attempts;
        // A piece that was refused for lack of memory did not run, so its retry doesn't count.
        let is_uncounted = outcome == Outcome::Failed(Reason::Room);
        let is_allowed = self.with(|state| {
            let count = state.members.count();
            is_uncounted
                || (piece.attempts < max_attempts
                    && state.retry_window.try_retry(now, &shard.pool, count))
        });
        log::info!(
            target: "stages", request:% = piece.request, stage = piece.stage, piece = piece.number,
            server:% = server, tries = piece.attempts, repeated = is_allowed; "piece failed"
        );
        if is_allowed {
            self.with(|state| state.scheduler.enqueue(shard, vec![piece]));
        } else {
            self.deliver(&piece, outcome);
        }
    }

    fn deliver(self: &Rc<Self>, piece: &Piece, outcome: Outcome) {
        let sender = self.with(|state| {
            let waiter = state.waiter_mut(piece.ticket)?;
            waiter.copies -= 1;
            if waiter.copies > 0 {
                if let Outcome::Failed(_) = outcome {
                    // Another copy may still succeed.
                    return None;
                }
                let tickets = piece.ticket..piece.ticket + 1;
                state.scheduler.cancel(&tickets);
            }
            state.take_waiter(piece.ticket).map(|waiter| waiter.sender)
        });
        let undelivered = match sender {
            Some(sender) => match sender.send(Delivery {
                ticket: piece.ticket,
                outcome,
            }) {
                Ok(()) => None,
                Err(mpsc::error::SendError(delivery)) => Some(delivery.outcome),
            },
            None => Some(outcome),
        };
        // The request ended or got the result of another copy meanwhile, so this one is released.
        if let Some(Outcome::Result(handle)) = undelivered {
            self.release(vec![handle]);
        }
    }
}

impl State {
    fn find_waiter(&self, ticket: u64) -> Option<usize> {
        let find = |waiter: &Waiter| waiter.ticket.cmp(&ticket);
        self.waiters.binary_search_by(find).ok()
    }

    fn waiter_mut(&mut self, ticket: u64) -> Option<&mut Waiter> {
        let at = self.find_waiter(ticket)?;
        Some(&mut self.waiters[at])
    }

    fn take_waiter(&mut self, ticket: u64) -> Option<Waiter> {
        let at = self.find_waiter(ticket)?;
        Some(self.waiters.remove(at))
    }

    /// Records what a failed call shows about the reachability of a failure domain.
    pub(crate) fn record_reachability(&mut self, now: Tick, domain: &Name, failure: Failure) {
        match failure {
            Failure::Unreachable => {
                if self.fleet.reachability.record_failure(now, domain) {
                    log::warn!(target: "servers", domain:% = domain; "failure domain is unreachable");
                }
            }
            Failure::Full | Failure::InputGone | Failure::Moved | Failure::Rejected => {
                self.fleet.reachability.record_success(domain);
            }
            // These failures don't show whether the domain is reachable.
            Failure::Broken
            | Failure::Exhausted
            | Failure::Mismatched
            | Failure::TimedOut
            | Failure::Unacknowledged
            | Failure::Unconfirmed => {}
        }
    }

    /// Returns the servers in reachable failure domains, or all servers if there are none.
    pub(crate) fn reachable<'a>(
        &self,
        now: Tick,
        servers: Vec<&'a Rc<Server>>,
    ) -> Vec<&'a Rc<Server>> {
        let is_unreachable =
            |server: &Server| self.fleet.reachability.is_unreachable(now, &server.domain);
        let reachable: Vec<_> = servers
            .iter()
            .copied()
            .filter(|server| !is_unreachable(server))
            .collect();
        if reachable.is_empty() {
            servers
        } else {
            reachable
        }
    }
}

/// Returns the completion that a failure counts as in the load estimates.
pub(crate) const fn completion_of(failure: Failure) -> Completion {
    match failure {
        Failure::Broken | Failure::Mismatched | Failure::TimedOut | Failure::Unacknowledged => {
            Completion::Failed
        }
        Failure::Exhausted | Failure::Full => Completion::Full,
        Failure::InputGone | Failure::Rejected | Failure::Unconfirmed => Completion::Abandoned,
        Failure::Moved | Failure::Unreachable => Completion::Unreachable,
    }
}

fn request_ids(pieces: &[Piece]) -> String {
    let mut ids: Vec<_> = pieces.iter().map(|piece| piece.request.as_str()).collect();
    ids.dedup();
    ids.join(",")
}
