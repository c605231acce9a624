//! Calls of stage servers, each with a batch of pieces.

use core::{pin::pin, time::Duration};
use std::rc::Rc;

use base::{Name, Tick};
use batch::{
    Piece, Shard,
    piece::{Outcome, Reason},
    scheduler::{self, Action, Batch, Context},
};
use pick::fleet::Completion;
use quota::Demand;
use tokio::{task, time};

use crate::{Failure, Hub, Transport, call::Results, hub::completion_of};

/// The shortest delay of a wakeup; timers fire slightly late anyway.
const MIN_WAKEUP_DELAY: Duration = Duration::from_millis(2);

impl<E: Transport> Hub<E> {
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
        let limit = batch.timeout + self.settings.max_stage_silence;
        self.transport.settled().await;
        let demand = Demand::one(Duration::ZERO, limit);
        let turn = self.take_turn(&batch.server, demand);
        let has_turn = turn.await.is_ok();
        let now = self.transport.now();
        let may_send = self.with(|state| state.may_get_work(now, &batch.server));
        if has_turn && !may_send {
            self.end_turn(&batch.server, false);
        }
        if !has_turn || !may_send {
            self.put_back(batch);
            self.dispatch();
            return;
        }
        let has_turn = self.with(|state| state.is_brittle(&batch.server));
        let sent_at = self.transport.now();
        let results = {
            // A call that takes long goes on, as its server may only be silent for a while.
            let call = self
                .transport
                .run_pieces(&batch.server, &batch.pieces, limit);
            let mut call = pin!(self.watch(call));
            match time::timeout(batch.timeout, &mut call).await {
                Ok(results) => results,
                Err(_) => {
                    self.repeat_overdue(&batch);
                    call.await
                }
            }
        };
        let now = self.transport.now();
        if has_turn {
            let is_rejected = matches!(results, Err(Failure::Full));
            self.end_turn(&batch.server, is_rejected);
        }
        match results {
            Ok(results) => self.record_results(now, now - sent_at, batch, results),
            Err(failure) => self.record_batch_failure(now, batch, failure),
        }
        self.dispatch();
    }

    /// Queues the pieces of a call again that was not sent, as its server had no turn left.
    fn put_back(&self, batch: Batch) {
        let now = self.transport.now();
        self.with(|state| {
            let Batch {
                shard,
                server,
                work,
                pieces,
                ..
            } = batch;
            state
                .fleet
                .record_completion(now, &server.id, Completion::Abandoned);
            let completion = scheduler::Completion::Failed;
            state
                .scheduler
                .record_completion(now, &shard, &server.id, &work, completion);
            // Requests may have ended meanwhile.
            for piece in pieces {
                if state.find_waiter(piece.ticket).is_some() {
                    state.scheduler.enqueue(&shard, vec![piece]);
                }
            }
        });
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
            state.record_cold_failure(now, server, failure);
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
        if failure == Failure::Unreachable {
            self.record_unreachable(server);
        }
        for piece in batch.pieces {
            if matches!(
                failure,
                Failure::Evacuated | Failure::Exhausted | Failure::Full | Failure::Unreachable
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
}

fn request_ids(pieces: &[Piece]) -> String {
    let mut ids: Vec<_> = pieces.iter().map(|piece| piece.request.as_str()).collect();
    ids.dedup();
    ids.join(",")
}
