//! The queue of one shard, and the servers that work on it.

use core::time::Duration;
use std::rc::Rc;

use base::{Name, Tick};
use site::{pool::Pieces, roster::Server};

use super::{
    Action, Batch, Completion, Context,
    plan::{Group, Plan, Timeline, call_time, fitting_pieces, median, plan},
    report::report,
    share::Recent,
    worker::{StoredResult, Worker},
};
use crate::{Backlog, Piece, Shard, configs::Config, piece::Handle};

/// The factor by which a call may exceed its expected time before it is overdue.
const TIMEOUT_FACTOR: f64 = 3.0;

#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    pub(super) shard: Shard,
    groups: Vec<Group>,
    workers: Vec<Worker>,
    /// The ratio of the fastest reachable server.
    best_ratio: f64,
    /// The median latency ratio of the reachable servers.
    usual_ratio: f64,
    /// When the first server without a turn may get a call, or the first one at all if all are blocked or paused.
    unblocked_at: Option<Tick>,
    /// When each server is free, as of the last plan; empty before the first one.
    free_at: Vec<Tick>,
    /// The pieces that were sent on time lately.
    on_time: Recent,
    /// The factor by which the last plan stretched the wait of late pieces.
    late_wait_factor: f64,
    /// The backlog that was computed last, and when.
    backlog: Option<(Tick, Backlog)>,
}

impl Queue {
    pub(super) fn new(shard: &Shard) -> Self {
        Self {
            shard: shard.clone(),
            ..Self::default()
        }
    }

    pub(super) fn enqueue(&mut self, pieces: Vec<Piece>) {
        let Some(first) = pieces.first() else {
            return;
        };
        self.groups.push(Group {
            rank: first.rank,
            density: first.density,
            due: first.due,
            latest: first.due + first.slack,
            deadline: first.deadline,
            is_late: false,
            result_bytes: first.result_bytes,
            preferred_domain: first.preferred_domain.clone(),
            transfer_bytes: first.transfer_bytes,
            pieces,
        });
    }

    pub(super) fn cancel(&mut self, tickets: &core::ops::Range<u64>) {
        for group in &mut self.groups {
            group
                .pieces
                .retain(|piece| !tickets.contains(&piece.ticket));
        }
        self.groups.retain(|group| !group.pieces.is_empty());
    }

    pub(super) fn len(&self) -> usize {
        self.groups.iter().map(|group| group.pieces.len()).sum()
    }

    pub(super) fn clear(&mut self) -> Vec<Piece> {
        let groups = self.groups.drain(..);
        groups.flat_map(|group| group.pieces).collect()
    }

    pub(super) fn record_completion(
        &mut self,
        now: Tick,
        server: &Name,
        config: &Config,
        work: &Pieces,
        completion: Completion,
    ) {
        let Some(worker) = self.workers.iter_mut().find(|worker| worker.id == *server) else {
            return;
        };
        worker.calls = worker.calls.saturating_sub(1);
        let was_overdue = core::mem::take(&mut worker.is_overdue);
        // Calls of other instances are assumed to be half full.
        let typical_time = call_time(work, work.max_batch / 2);
        worker.reserved_bytes = 0;
        match completion {
            Completion::Answered {
                elapsed,
                pieces,
                load,
                results,
                is_out_of_memory,
            } => {
                let other_calls = load.map_or(0, |load| load.running + load.waiting);
                let mut latency_ratio =
                    elapsed.div_duration_f64(call_time(work, pieces).max(Duration::from_millis(1)));
                if let Some(percent) = load.and_then(|load| load.slowness) {
                    worker.momentary.record(now, percent);
                    let base = worker.latency_ratio.max(0.1);
                    latency_ratio = worker.momentary.compare(now, latency_ratio / base) * base;
                }
                if was_overdue {
                    // A single silence, however long, tells little about the calls that follow.
                    latency_ratio = latency_ratio.min(TIMEOUT_FACTOR * worker.latency_ratio);
                }
                worker.newest_ratio = latency_ratio;
                worker.latency_ratio +=
                    config.latency_weight * (latency_ratio - worker.latency_ratio);
                worker.busy_until = now + typical_time * other_calls;
                if is_out_of_memory {
                    worker.out_of_memory_until = now + config.out_of_memory_pause;
                }
                let expires_at = now + work.result_ttl;
                worker
                    .results
                    .extend(results.into_iter().map(|(handle, bytes)| StoredResult {
                        handle: handle.text,
                        bytes,
                        expires_at,
                    }));
            }
            Completion::Full => worker.busy_until = now + typical_time,
            Completion::Failed => worker.busy_until = now,
            Completion::TimedOut => {
                worker.busy_until = now;
                // The server counts as slow from now on, unless the whole pool is slow.
                worker.latency_ratio = worker.latency_ratio.max(config.slow_factor * 1.5);
            }
        }
    }

    pub(super) fn record_overdue(&mut self, server: &Name) {
        if let Some(worker) = self.workers.iter_mut().find(|worker| worker.id == *server) {
            worker.is_overdue = true;
        }
    }

    pub(super) fn record_released(&mut self, handles: &[Handle]) {
        for worker in &mut self.workers {
            worker
                .results
                .retain(|result| handles.iter().all(|handle| handle.text != result.handle));
        }
    }

    /// Collects the batches that can be sent and the pieces that expire.
    pub(super) fn next_actions(
        &mut self,
        cx: Context<'_>,
        config: &Config,
        work: &Pieces,
        actions: &mut Vec<Action>,
    ) {
        let registered = cx.roster.usable(cx.now, &self.shard.pool);
        let registered = registered.filter(|server| self.shard.contains(server));
        let registered: Vec<_> = registered.cloned().collect();
        self.workers.retain(|worker| {
            worker.calls > 0 || registered.iter().any(|server| server.id == worker.id)
        });
        if self.groups.is_empty() {
            return;
        }
        let unblocked = registered.iter();
        let unblocked = unblocked.filter(|server| !cx.fleet.is_blocked(cx.now, &server.id));
        let is_reachable =
            |server: &&Rc<Server>| !cx.fleet.reachability.is_unreachable(cx.now, &server.domain);
        let mut servers: Vec<_> = unblocked.clone().filter(is_reachable).cloned().collect();
        if servers.is_empty() {
            servers = unblocked.cloned().collect();
        }
        if servers.is_empty() {
            self.expire_unreachable(cx, config, &registered, actions);
            return;
        }
        let held = registered.iter();
        let held = held.filter_map(|server| cx.fleet.held_until(cx.now, &server.id));
        self.unblocked_at = held.min();
        for server in &servers {
            self.worker_mut(&server.id);
        }
        self.record_ratios(&servers);
        let on_time_share = self.on_time.share(cx.now, config, work, servers.len());
        self.late_wait_factor = config.late_wait_factor(on_time_share);
        let timeline = Timeline::new(work, self.len(), self.free_times(cx, config, &servers));
        let groups = core::mem::take(&mut self.groups);
        let factor = self.late_wait_factor;
        let mut plan = plan(cx.now, groups, timeline, config, factor);
        let expired = plan.expired.drain(..).flat_map(|group| group.pieces);
        actions.extend(expired.map(Action::Expire));
        let mut free: Vec<_> = servers
            .iter()
            .filter(|server| self.is_free(cx, config, &server.id))
            .collect();
        free.sort_by_key(|server| self.worker(&server.id).map(|worker| worker.busy_until));
        for server in free {
            let count = |plan: &Plan| plan.on_time.iter().map(|group| group.pieces.len()).sum();
            let before: usize = count(&plan);
            let pieces = self.take_pieces(cx, config, work, server, &servers, &mut plan);
            if !pieces.is_empty() {
                let on_time = before.saturating_sub(count(&plan));
                self.on_time.record(on_time);
                actions.push(Action::Send(self.start_batch(cx, work, server, pieces)));
            }
        }
        self.groups = plan.on_time;
        self.groups.append(&mut plan.late);
        self.free_at = self.free_times(cx, config, &servers);
    }

    /// Returns the backlog, which is computed anew when the last one is older than a short time.
    pub(super) fn backlog(&mut self, now: Tick, config: &Config, work: &Pieces) -> &Backlog {
        let known = self.backlog.take();
        let known = known.filter(|(at, _)| now < *at + config.backlog_interval);
        let (at, backlog) = known.unwrap_or_else(|| (now, self.compute_backlog(now, work)));
        &self.backlog.insert((at, backlog)).1
    }

    fn compute_backlog(&self, now: Tick, work: &Pieces) -> Backlog {
        let stored = self.workers.iter().map(|worker| worker.used_bytes(now));
        let used = stored.sum::<u64>().saturating_mul(1_000);
        let capacity = work.memory_bytes * self.workers.len() as u64;
        let memory = used.checked_div(capacity).unwrap_or_default().min(1_000);
        let free_at = self.free_at.iter().map(|at| (*at).max(now));
        Backlog {
            memory_permille: u16::try_from(memory).unwrap_or(1_000),
            ..report(
                now,
                work,
                &self.groups,
                free_at.collect(),
                self.late_wait_factor,
            )
        }
    }

    /// Returns the next time at which a server for the queued pieces may be free or have memory again.
    pub(super) fn next_wakeup(&self, now: Tick) -> Option<Tick> {
        if self.groups.is_empty() {
            return None;
        }
        let idle = self.workers.iter().filter(|worker| worker.calls == 0);
        let times = idle.flat_map(|worker| {
            let results = worker.results.iter().map(|result| result.expires_at);
            results.chain([worker.busy_until, worker.out_of_memory_until])
        });
        times.chain(self.unblocked_at).filter(|at| now < *at).min()
    }

    /// Expires the pieces that no server is expected to finish, as all servers are blocked or paused.
    fn expire_unreachable(
        &mut self,
        cx: Context<'_>,
        config: &Config,
        registered: &[Rc<Server>],
        actions: &mut Vec<Action>,
    ) {
        let groups = core::mem::take(&mut self.groups);
        let ids = registered.iter().map(|server| &server.id);
        self.unblocked_at = ids.clone().filter_map(|id| cx.fleet.unblocked_at(id)).min();
        // A server that asked for a pause gets no call before its end, while an unreachable one may recover any time.
        let usable_at = ids
            .map(|id| {
                let paused = cx.fleet.paused_until(cx.now, id);
                paused
                    .max(cx.fleet.held_until(cx.now, id))
                    .unwrap_or(cx.now)
            })
            .min()
            .map(|at| at.max(cx.now + config.min_recovery_time));
        let (kept, expired): (Vec<_>, Vec<_>) = groups
            .into_iter()
            .partition(|group| usable_at.is_some_and(|at| at < group.deadline));
        self.groups = kept;
        self.free_at = usable_at.into_iter().collect();
        let expired = expired.into_iter().flat_map(|group| group.pieces);
        actions.extend(expired.map(Action::Expire));
    }

    /// Returns when each server is free; slow servers count only if there are no others.
    fn free_times(&self, cx: Context<'_>, config: &Config, servers: &[Rc<Server>]) -> Vec<Tick> {
        let workers = servers.iter().filter_map(|server| self.worker(&server.id));
        let fast = workers
            .clone()
            .filter(|worker| !self.is_slow(config, worker));
        let free_at = |worker: &Worker| worker.busy_until.max(cx.now);
        let times: Vec<_> = fast.map(free_at).collect();
        if times.is_empty() {
            return workers.map(free_at).collect();
        }
        times
    }

    /// Finds the lowest and the median ratio of the servers, which are slow only beside faster ones.
    fn record_ratios(&mut self, servers: &[Rc<Server>]) {
        let workers = servers.iter().filter_map(|server| self.worker(&server.id));
        let highest = workers.clone().map(Worker::highest_ratio);
        let usual = median(workers.map(|worker| worker.latency_ratio).collect());
        self.best_ratio = highest.fold(f64::INFINITY, f64::min);
        self.usual_ratio = usual.unwrap_or(1.0);
    }

    /// Returns the time that a server's calls take now relative to a usual server, or none if it counts as usual.
    fn uneven_ratio(&self, now: Tick, config: &Config, worker: &Worker) -> Option<f64> {
        // One usual call shows that a server is no longer slow.
        let base = worker.latency_ratio.min(worker.newest_ratio);
        let ratio = base * worker.momentary.factor(now) / self.usual_ratio.max(1.0);
        (ratio >= config.uneven_factor).then_some(ratio)
    }

    /// Returns whether a server is slow compared with the others of its pool.
    fn is_slow(&self, config: &Config, worker: &Worker) -> bool {
        let limit = config.slow_factor * self.best_ratio.max(1.0);
        worker.is_overdue || worker.highest_ratio() >= limit
    }

    fn is_free(&self, cx: Context<'_>, config: &Config, server: &Name) -> bool {
        let Some(worker) = self.worker(server) else {
            return false;
        };
        let is_trial_due = worker.last_call + config.trial_interval <= cx.now;
        worker.calls == 0
            && worker.busy_until <= cx.now
            && (is_trial_due || !self.is_slow(config, worker))
    }

    /// Removes the pieces for the next call to a server from the plan.
    fn take_pieces(
        &self,
        cx: Context<'_>,
        config: &Config,
        work: &Pieces,
        server: &Server,
        servers: &[Rc<Server>],
        plan: &mut Plan,
    ) -> Vec<Piece> {
        let Some(worker) = self.worker(&server.id) else {
            return Vec::new();
        };
        let is_trial = self.is_slow(config, worker);
        // Full calls do the most work in their time, which counts where not all work can be on time.
        let ratio = self.uneven_ratio(cx.now, config, worker);
        let ratio = ratio.filter(|_| !is_trial && plan.late.is_empty());
        let max_pieces = match (is_trial, ratio) {
            (true, _) => 1,
            (false, Some(ratio)) => fitting_pieces(work, ratio),
            (false, None) => work.max_batch.max(1),
        };
        let mut free_bytes = worker.free_bytes(cx.now, work);
        let is_waiting = self.workers.iter().any(|worker| worker.calls > 0);
        let mut batch: Vec<Piece> = Vec::new();
        for groups in [&mut plan.on_time, &mut plan.late] {
            for group in groups.iter_mut() {
                if batch.len() >= max_pieces {
                    break;
                }
                if self.waits_for_preferred_domain(cx, config, work, server, servers, group) {
                    continue;
                }
                // A slower server takes a larger group as a whole, or leaves it to a call that is to end.
                let fits = group.fits(work, free_bytes);
                if let Some(ratio) = ratio.filter(|_| fits || is_waiting)
                    && group.pieces.len() > max_pieces
                {
                    let waits = is_waiting && !group.is_on_time_at(cx.now, config, work, ratio);
                    if batch.is_empty() && !waits && fits {
                        batch.append(&mut group.pieces);
                    }
                    continue;
                }
                // Keep the results of one stage on one server, so that their reader finds them in one place.
                let must_split = group.pieces.len() > max_pieces - batch.len();
                if must_split && !batch.is_empty() {
                    continue;
                }
                let mut count = group.pieces.len().min(max_pieces - batch.len());
                if let Some(fitting) = free_bytes.checked_div(group.result_bytes) {
                    count = count.min(usize::try_from(fitting).unwrap_or(usize::MAX));
                    free_bytes -= group.result_bytes * count as u64;
                }
                batch.extend(group.pieces.drain(..count));
            }
            groups.retain(|group| !group.pieces.is_empty());
        }
        batch
    }

    /// Returns whether a group waits for a server in its preferred domain.
    fn waits_for_preferred_domain(
        &self,
        cx: Context<'_>,
        config: &Config,
        work: &Pieces,
        server: &Server,
        servers: &[Rc<Server>],
        group: &Group,
    ) -> bool {
        let Some(domain) = &group.preferred_domain else {
            return false;
        };
        if group.transfer_bytes < config.min_transfer_bytes || *domain == server.domain {
            return false;
        }
        let preferred = servers.iter().filter(|one| one.domain == *domain);
        let preferred = preferred.filter_map(|one| self.worker(&one.id));
        let preferred = preferred.filter(|worker| !self.is_slow(config, worker));
        let free_at = preferred.map(|worker| worker.busy_until.max(cx.now)).min();
        let calls = 1 + config.slack_calls;
        free_at
            .is_some_and(|free_at| free_at + call_time(work, work.max_batch) * calls <= group.due)
    }

    fn start_batch(
        &mut self,
        cx: Context<'_>,
        work: &Pieces,
        server: &Rc<Server>,
        pieces: Vec<Piece>,
    ) -> Batch {
        let expected = call_time(work, pieces.len());
        let worker = self.worker_mut(&server.id);
        let expected_here = expected.mul_f64(worker.expected_ratio(cx.now).clamp(1.0, 10.0));
        worker.calls += 1;
        worker.last_call = cx.now;
        worker.busy_until = cx.now + expected_here;
        worker.reserved_bytes = pieces.iter().map(|piece| piece.result_bytes).sum();
        worker.results.retain(|result| cx.now < result.expires_at);
        Batch {
            shard: self.shard.clone(),
            server: server.clone(),
            work: *work,
            pieces,
            timeout: expected_here.mul_f64(TIMEOUT_FACTOR) + work.call_time,
        }
    }

    fn worker_mut(&mut self, server: &Name) -> &mut Worker {
        let at = match self
            .workers
            .binary_search_by(|worker| worker.id.cmp(server))
        {
            Ok(at) => at,
            Err(at) => {
                self.workers.insert(at, Worker::new(server));
                at
            }
        };
        &mut self.workers[at]
    }

    fn worker(&self, server: &Name) -> Option<&Worker> {
        let at = self
            .workers
            .binary_search_by(|worker| worker.id.cmp(server));
        at.ok().map(|at| &self.workers[at])
    }
}
