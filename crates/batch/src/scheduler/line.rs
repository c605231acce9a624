//! The line of pieces for one shard, and the servers that work on it.

use core::time::Duration;
use std::rc::Rc;

use base::{Name, Tick};
use site::{pool::Pieces, roster::Server};

use super::{
    Action, Batch, Completion, Context,
    plan::{Group, Plan, Turns, plan, span},
};
use crate::{Piece, Shard, configs::Config, piece::Handle};

/// How much longer than expected a call may take before it is given up.
const PATIENCE: f64 = 3.0;

#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    pub(super) shard: Shard,
    groups: Vec<Group>,
    feeds: Vec<Feed>,
    /// The pace of the swiftest server that can be reached.
    best: f64,
}

/// One server, as this instance feeds it.
#[derive(Clone, Debug)]
struct Feed {
    server: Name,
    calls: u32,
    /// Until when the call under way, or calls of others, keep it busy.
    busy_until: Tick,
    /// The time of its calls, as a multiple of what is expected.
    pace: f64,
    tried: Tick,
    /// The bytes of the results of the call under way.
    reserved: u64,
    /// The results that lie there.
    results: Vec<Lying>,
    /// Until when it makes nothing for lack of memory.
    full_until: Tick,
}

/// A result that lies at its maker until it is given up or its time is over.
#[derive(Clone, Debug)]
struct Lying {
    text: Name,
    bytes: u64,
    until: Tick,
}

impl Line {
    pub(super) fn new(shard: &Shard) -> Self {
        Self {
            shard: shard.clone(),
            ..Self::default()
        }
    }

    pub(super) fn offer(&mut self, pieces: Vec<Piece>) {
        let Some(first) = pieces.first() else {
            return;
        };
        self.groups.push(Group {
            rank: first.rank,
            density: first.density,
            due: first.due,
            deadline: first.deadline,
            bytes: first.result_bytes,
            domain: first.preferred_domain.clone(),
            pull: first.transfer_bytes,
            pieces,
        });
    }

    pub(super) fn withdraw(&mut self, tickets: &core::ops::Range<u64>) {
        for group in &mut self.groups {
            group
                .pieces
                .retain(|piece| !tickets.contains(&piece.ticket));
        }
        self.groups.retain(|group| !group.pieces.is_empty());
    }

    pub(super) fn waiting(&self) -> usize {
        self.groups.iter().map(|group| group.pieces.len()).sum()
    }

    pub(super) fn clear(&mut self) -> Vec<Piece> {
        let groups = self.groups.drain(..);
        groups.flat_map(|group| group.pieces).collect()
    }

    pub(super) fn ended(
        &mut self,
        now: Tick,
        server: &Name,
        config: &Config,
        work: &Pieces,
        end: Completion,
    ) {
        let Some(feed) = self.feeds.iter_mut().find(|feed| feed.server == *server) else {
            return;
        };
        feed.calls = feed.calls.saturating_sub(1);
        let usual = span(work, work.max_batch / 2);
        feed.reserved = 0;
        match end {
            Completion::Answered {
                elapsed,
                pieces,
                load,
                results,
                is_out_of_memory,
            } => {
                let others = load.map_or(0, |load| load.running + load.waiting);
                let pace =
                    elapsed.div_duration_f64(span(work, pieces).max(Duration::from_millis(1)));
                feed.pace += config.latency_weight * (pace - feed.pace);
                feed.busy_until = now + usual * others;
                if is_out_of_memory {
                    feed.full_until = now + config.out_of_memory_pause;
                }
                let until = now + work.result_ttl;
                feed.results
                    .extend(results.into_iter().map(|(handle, bytes)| Lying {
                        text: handle.text,
                        bytes,
                        until,
                    }));
            }
            Completion::Full => feed.busy_until = now + usual,
            Completion::Failed => feed.busy_until = now,
            Completion::TimedOut => {
                feed.busy_until = now;
                feed.pace = feed.pace.max(config.slow_factor * 1.5);
            }
        }
    }

    pub(super) fn freed(&mut self, handles: &[Handle]) {
        for feed in &mut self.feeds {
            feed.results
                .retain(|result| handles.iter().all(|handle| handle.text != result.text));
        }
    }

    /// Sends what can be sent, and gives up what can't be made in time.
    pub(super) fn next(
        &mut self,
        cx: Context<'_>,
        config: &Config,
        work: &Pieces,
        actions: &mut Vec<Action>,
    ) {
        let listed = cx.roster.usable(cx.now, &self.shard.pool);
        let listed = listed.filter(|server| self.shard.contains(server));
        let listed: Vec<_> = listed.cloned().collect();
        self.feeds
            .retain(|feed| feed.calls > 0 || listed.iter().any(|one| one.id == feed.server));
        if self.groups.is_empty() {
            return;
        }
        let reached = listed.iter();
        let reached = reached.filter(|server| !cx.fleet.is_blocked(cx.now, &server.id));
        let is_open =
            |server: &&Rc<Server>| !cx.fleet.reachability.is_unreachable(cx.now, &server.domain);
        let mut servers: Vec<_> = reached.clone().filter(is_open).cloned().collect();
        if servers.is_empty() {
            servers = reached.cloned().collect();
        }
        if servers.is_empty() {
            self.give_up(cx, config, listed.is_empty(), actions);
            return;
        }
        for server in &servers {
            self.feed(&server.id);
        }
        self.best = self.best(&servers);
        let turns = Turns::new(work, self.waiting(), self.free(cx, config, &servers));
        let mut planned = plan(cx.now, core::mem::take(&mut self.groups), turns, config);
        let lost = planned.lost.drain(..).flat_map(|group| group.pieces);
        actions.extend(lost.map(Action::Expire));
        let mut free: Vec<_> = servers
            .iter()
            .filter(|server| self.is_free(cx, config, &server.id))
            .collect();
        free.sort_by_key(|server| self.get(&server.id).map(|feed| feed.busy_until));
        for server in free {
            let pieces = self.take(cx, config, work, server, &servers, &mut planned);
            if !pieces.is_empty() {
                actions.push(Action::Send(self.batch(cx, work, server, pieces)));
            }
        }
        self.groups = planned.on_time;
        self.groups.append(&mut planned.late);
    }

    /// Returns when a server that could take what waits may be free or have memory again.
    pub(super) fn wake(&self, now: Tick) -> Option<Tick> {
        if self.groups.is_empty() {
            return None;
        }
        let idle = self.feeds.iter().filter(|feed| feed.calls == 0);
        let times = idle.flat_map(|feed| {
            let results = feed.results.iter().map(|result| result.until);
            results.chain([feed.busy_until, feed.full_until])
        });
        times.filter(|at| now < *at).min()
    }

    /// Gives up what no server can be expected to make.
    fn give_up(
        &mut self,
        cx: Context<'_>,
        config: &Config,
        is_nobody: bool,
        actions: &mut Vec<Action>,
    ) {
        let groups = core::mem::take(&mut self.groups);
        let (kept, lost): (Vec<_>, Vec<_>) = groups
            .into_iter()
            .partition(|group| !is_nobody && cx.now + config.min_recovery_time < group.deadline);
        self.groups = kept;
        let lost = lost.into_iter().flat_map(|group| group.pieces);
        actions.extend(lost.map(Action::Expire));
    }

    /// Returns when each server is free; slow ones count only where there is no other.
    fn free(&self, cx: Context<'_>, config: &Config, servers: &[Rc<Server>]) -> Vec<Tick> {
        let feeds = servers.iter().filter_map(|server| self.get(&server.id));
        let swift = feeds.clone().filter(|feed| !self.is_slow(config, feed));
        let free = |feed: &Feed| feed.busy_until.max(cx.now);
        let times: Vec<_> = swift.map(free).collect();
        if times.is_empty() {
            return feeds.map(free).collect();
        }
        times
    }

    fn best(&self, servers: &[Rc<Server>]) -> f64 {
        let feeds = servers.iter().filter_map(|server| self.get(&server.id));
        feeds.map(|feed| feed.pace).fold(f64::INFINITY, f64::min)
    }

    /// Tells whether a server is slow beside the others of its pool.
    fn is_slow(&self, config: &Config, feed: &Feed) -> bool {
        feed.pace >= config.slow_factor * self.best.max(1.0)
    }

    fn is_free(&self, cx: Context<'_>, config: &Config, server: &Name) -> bool {
        let Some(feed) = self.get(server) else {
            return false;
        };
        let is_trial = feed.tried + config.trial_interval <= cx.now;
        feed.calls == 0 && feed.busy_until <= cx.now && (is_trial || !self.is_slow(config, feed))
    }

    /// Takes what the next call to a server holds.
    fn take(
        &self,
        cx: Context<'_>,
        config: &Config,
        work: &Pieces,
        server: &Server,
        servers: &[Rc<Server>],
        planned: &mut Plan,
    ) -> Vec<Piece> {
        let Some(feed) = self.get(&server.id) else {
            return Vec::new();
        };
        let is_trial = self.is_slow(config, feed);
        let most = if is_trial { 1 } else { work.max_batch.max(1) };
        let mut room = feed.room(cx.now, work);
        let mut taken: Vec<Piece> = Vec::new();
        for groups in [&mut planned.on_time, &mut planned.late] {
            for group in groups.iter_mut() {
                if taken.len() >= most {
                    break;
                }
                if self.stays(cx, config, work, server, servers, group) {
                    continue;
                }
                // Results of one stage lie together, so that whatever reads them finds them in one place.
                let is_split = group.pieces.len() > most - taken.len();
                if is_split && !taken.is_empty() {
                    continue;
                }
                let mut count = group.pieces.len().min(most - taken.len());
                if let Some(fit) = room.checked_div(group.bytes) {
                    count = count.min(usize::try_from(fit).unwrap_or(usize::MAX));
                    room -= group.bytes * count as u64;
                }
                taken.extend(group.pieces.drain(..count));
            }
            groups.retain(|group| !group.pieces.is_empty());
        }
        taken
    }

    /// Tells whether a group waits for a server in the domain where its results are needed.
    fn stays(
        &self,
        cx: Context<'_>,
        config: &Config,
        work: &Pieces,
        server: &Server,
        servers: &[Rc<Server>],
        group: &Group,
    ) -> bool {
        let Some(domain) = &group.domain else {
            return false;
        };
        if group.pull < config.min_transfer_bytes || *domain == server.domain {
            return false;
        }
        let near = servers.iter().filter(|one| one.domain == *domain);
        let near = near.filter_map(|one| self.get(&one.id));
        let near = near.filter(|feed| !self.is_slow(config, feed));
        let free = near.map(|feed| feed.busy_until.max(cx.now)).min();
        let calls = 1 + config.slack_calls;
        free.is_some_and(|free| free + span(work, work.max_batch) * calls <= group.due)
    }

    fn batch(
        &mut self,
        cx: Context<'_>,
        work: &Pieces,
        server: &Rc<Server>,
        pieces: Vec<Piece>,
    ) -> Batch {
        let expected = span(work, pieces.len());
        let feed = self.feed(&server.id);
        let paced = expected.mul_f64(feed.pace.clamp(1.0, 10.0));
        feed.calls += 1;
        feed.tried = cx.now;
        feed.busy_until = cx.now + paced;
        feed.reserved = pieces.iter().map(|piece| piece.result_bytes).sum();
        feed.results.retain(|result| cx.now < result.until);
        Batch {
            shard: self.shard.clone(),
            server: server.clone(),
            pieces,
            timeout: paced.mul_f64(PATIENCE) + work.call_time,
        }
    }

    fn feed(&mut self, server: &Name) -> &mut Feed {
        let at = match self.feeds.binary_search_by(|feed| feed.server.cmp(server)) {
            Ok(at) => at,
            Err(at) => {
                self.feeds.insert(at, Feed::new(server));
                at
            }
        };
        &mut self.feeds[at]
    }

    fn get(&self, server: &Name) -> Option<&Feed> {
        let at = self.feeds.binary_search_by(|feed| feed.server.cmp(server));
        at.ok().map(|at| &self.feeds[at])
    }
}

impl Feed {
    fn new(server: &Name) -> Self {
        Self {
            server: server.clone(),
            calls: 0,
            busy_until: Tick::default(),
            pace: 1.0,
            tried: Tick::default(),
            reserved: 0,
            results: Vec::new(),
            full_until: Tick::default(),
        }
    }

    /// Returns the memory that is left for results, in bytes.
    fn room(&self, now: Tick, work: &Pieces) -> u64 {
        if now < self.full_until {
            return 0;
        }
        let lying = self.results.iter().filter(|result| now < result.until);
        let lying: u64 = lying.map(|result| result.bytes).sum();
        work.memory_bytes.saturating_sub(self.reserved + lying)
    }
}
