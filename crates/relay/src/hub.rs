//! What all requests of an instance share.

use core::{cell::RefCell, time::Duration};
use std::rc::Rc;

use base::{Name, Tick};
use batch::{
    Piece, Scheduler, Shard,
    piece::{Handle, Outcome, Reason},
    scheduler::{self, Action, Batch, Context},
};
use mesh::{Members, Owner};
use pick::{Fleet, fleet::Completion};
use rand::{SeedableRng, rngs::SmallRng};
use retry::{Crashes, Window, window::Bound};
use site::{Config, Roster, pool::Work, roster::Server};
use tokio::{sync::mpsc, task, time};

use crate::{Failure, Transport, call::Results, configs, estimate::Estimator};

/// How long results that are given up are gathered, so that few calls name them to their makers.
const FREE_GATHER: Duration = Duration::from_millis(10);

/// The shortest pause before the next calls are looked for again; timers fire a little late anyway.
const LEAST_WAKE: Duration = Duration::from_millis(2);

/// What all requests of an instance share.
pub struct Hub<E> {
    /// How calls reach servers.
    pub transport: E,
    /// The failure domain of the instance.
    pub domain: Name,
    /// Settings.
    pub settings: configs::Config,
    state: RefCell<State>,
}

/// What an instance believes, and what waits.
pub struct State {
    /// The configuration in force, none until one is known.
    pub config: Option<Rc<Config>>,
    /// The servers that are listed.
    pub roster: Roster,
    /// What was seen of them.
    pub fleet: Fleet,
    /// Pieces of stages that wait.
    pub scheduler: Scheduler,
    /// The bound on repeats.
    pub retry_window: Window,
    /// Contents that crashed servers.
    pub crashes: Crashes,
    /// The other instances.
    pub members: Members,
    /// How long engines usually take.
    pub estimator: Estimator,
    /// The source of chance.
    pub rng: SmallRng,
    tickets: Vec<Ticket>,
    next_ticket: u64,
    /// Results that are given up and not named to their makers yet.
    freed: Vec<Handle>,
    /// When the next calls are looked for again; the earliest that was planned.
    wake: Option<Tick>,
}

/// Who waits for a piece.
struct Ticket {
    number: u64,
    to: mpsc::UnboundedSender<Delivery>,
}

/// What became of a piece that someone waits for.
struct Delivery {
    ticket: u64,
    made: Outcome,
}

/// Pieces that someone waits for.
struct Wait<'a, E: Transport> {
    hub: &'a Rc<Hub<E>>,
    tickets: core::ops::Range<u64>,
    made: Vec<Option<Outcome>>,
}

impl<E: Transport> Drop for Wait<'_, E> {
    fn drop(&mut self) {
        self.hub.with(|state| {
            state.scheduler.cancel(&self.tickets);
            state
                .tickets
                .retain(|ticket| !self.tickets.contains(&ticket.number));
        });
        let made = self.made.drain(..).flatten();
        let handles = made.filter_map(|made| match made {
            Outcome::Result(handle) => Some(handle),
            Outcome::Failed(_) => None,
        });
        self.hub.release(handles.collect());
    }
}

impl<E: Transport> Hub<E> {
    /// Opens a hub that knows nothing of the deployment yet.
    pub fn open(
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
                estimator: Estimator::default(),
                rng: SmallRng::seed_from_u64(seed),
                tickets: Vec::new(),
                next_ticket: 0,
                freed: Vec::new(),
                wake: None,
            }),
        })
    }

    /// Lets a decision see and change the shared state.
    pub fn with<T>(&self, decide: impl FnOnce(&mut State) -> T) -> T {
        decide(&mut self.state.borrow_mut())
    }

    /// Has pieces of one stage of a request made, here or by the instance that feeds the pool.
    ///
    /// When this is dropped, pieces that wait are dropped and results are given up.
    pub(crate) async fn run_pieces(
        self: &Rc<Self>,
        pool: &Name,
        pieces: Vec<Piece>,
    ) -> Vec<Outcome> {
        let near = pieces
            .first()
            .and_then(|piece| piece.preferred_domain.clone());
        for near in [near.as_ref(), near.as_ref(), None] {
            let (shard, holder) = self.feeder(pool, near);
            let feeder = match holder {
                Owner::Local => return self.run_local(&shard, pieces).await,
                Owner::Peer(feeder) => feeder,
                Owner::Unavailable => continue,
            };
            let handing = self.transport.delegate(&feeder, &shard, &pieces);
            let lost = self.until_lost(&feeder.name);
            let made = tokio::select! {
                made = handing => made,
                () = lost => Err(Failure::TimedOut),
            };
            match made {
                Ok(made) if made.len() == pieces.len() => return made,
                Ok(_) => {
                    log::error!(target: "peers", peer:% = feeder.name; "results do not fit the pieces")
                }
                Err(failure) => {
                    log::info!(
                        target: "peers", peer:% = feeder.name, pool:% = pool,
                        request:% = pieces.first().map_or("", |piece| piece.request.as_str()),
                        cause:% = failure; "feeder lost"
                    );
                    self.with(|state| {
                        state.members.mark_lost(&feeder.name);
                        state.note_reach(
                            self.transport.now(),
                            &feeder.domain,
                            Failure::Unreachable,
                        );
                    });
                }
            }
        }
        let (shard, _) = self.feeder(pool, None);
        self.run_local(&shard, pieces).await
    }

    /// Names the shard of a pool that is nearest to a failure domain, and who feeds it.
    fn feeder(&self, pool: &Name, near: Option<&Name>) -> (Shard, Owner) {
        let now = self.transport.now();
        self.with(|state| {
            if !state.members.has_cells() {
                let holder = state.members.owner(now, pool, &self.domain);
                return (Shard::whole(pool), holder);
            }
            let reach = &state.fleet.reachability;
            let domains = || state.roster.usable(now, pool).map(|server| &server.domain);
            let near = near.filter(|domain| !reach.is_unreachable(now, domain));
            let wanted = near.into_iter().chain([&self.domain]);
            let mut wanted = wanted.filter(|domain| domains().any(|one| one == *domain));
            let domain = wanted.next().or_else(|| domains().min());
            let domain = domain.unwrap_or(&self.domain).clone();
            let holder = state.members.owner(now, pool, &domain);
            let shard = Shard {
                pool: pool.clone(),
                domain: Some(domain),
            };
            (shard, holder)
        })
    }

    /// Returns once an instance no longer answers.
    async fn until_lost(&self, peer: &Name) {
        const LOOK: Duration = Duration::from_millis(100);
        while self.with(|state| state.members.is_live(self.transport.now(), peer)) {
            time::sleep(LOOK).await;
        }
    }

    /// Has pieces made in calls of this instance, and returns what became of each.
    ///
    /// When this is dropped, pieces that wait are dropped and results are given up.
    pub async fn run_local(self: &Rc<Self>, shard: &Shard, pieces: Vec<Piece>) -> Vec<Outcome> {
        let now = self.transport.now();
        let (to, mut from) = mpsc::unbounded_channel();
        let count = pieces.len();
        let tickets = self.with(|state| {
            let first = state.next_ticket;
            state.retry_window.record_request(now, &shard.pool);
            let mut pieces = pieces;
            for piece in &mut pieces {
                piece.ticket = state.next_ticket;
                state.next_ticket += 1;
                state.tickets.push(Ticket {
                    number: piece.ticket,
                    to: to.clone(),
                });
            }
            state.scheduler.enqueue(shard, pieces);
            first..state.next_ticket
        });
        drop(to);
        self.dispatch();
        let mut wait = Wait {
            hub: self,
            made: vec![None; count],
            tickets,
        };
        for _ in 0..count {
            let Some(Delivery { ticket, made }) = from.recv().await else {
                break;
            };
            let at = usize::try_from(ticket - wait.tickets.start).unwrap_or(usize::MAX);
            if let Some(slot) = wait.made.get_mut(at) {
                *slot = Some(made);
            }
        }
        let made = core::mem::take(&mut wait.made).into_iter();
        made.map(|made| made.unwrap_or(Outcome::Failed(Reason::Late)))
            .collect()
    }

    /// Gives up results in the background, by the instances that feed the pools of their makers.
    pub fn release(self: &Rc<Self>, mut handles: Vec<Handle>) {
        let now = self.transport.now();
        handles.sort_by_key(|handle| handle.address);
        for group in handles.chunk_by(|a, b| a.address == b.address) {
            let group = group.to_vec();
            let feeder = self.with(|state| {
                let mut servers = state.roster.all();
                let server = servers.find(|server| server.address == group[0].address)?;
                match state.members.owner(now, &server.pool, &server.domain) {
                    Owner::Peer(feeder) => Some(feeder),
                    Owner::Local | Owner::Unavailable => None,
                }
            });
            let hub = self.clone();
            task::spawn_local(async move {
                if let Some(feeder) = feeder {
                    match hub.transport.delegate_release(&feeder, &group).await {
                        Ok(()) => return,
                        Err(failure) => {
                            log::debug!(target: "peers", peer:% = feeder.name, cause:% = failure; "results are given up here");
                        }
                    }
                }
                hub.queue_release(group);
            });
        }
    }

    /// Gives up results that lie at servers that this instance feeds, several in one call.
    pub fn queue_release(self: &Rc<Self>, handles: Vec<Handle>) {
        let is_first = self.with(|state| {
            state.scheduler.record_released(&handles);
            let is_first = state.freed.is_empty();
            state.freed.extend(handles);
            is_first
        });
        self.dispatch();
        if !is_first {
            return;
        }
        let hub = self.clone();
        task::spawn_local(async move {
            time::sleep(FREE_GATHER).await;
            let handles = hub.with(|state| core::mem::take(&mut state.freed));
            hub.transport.release(handles).await;
        });
    }

    /// Starts every call that can start.
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
                    task::spawn_local(async move { hub.work(batch).await });
                }
                Action::Expire(piece) => self.deliver(&piece, Outcome::Failed(Reason::Late)),
            }
        }
        self.plan_wake(now);
    }

    /// Has the next calls looked for when a server may be free again.
    fn plan_wake(self: &Rc<Self>, now: Tick) {
        let at = self.with(|state| {
            let at = state.scheduler.next_wakeup(now)?;
            if state
                .wake
                .is_some_and(|planned| now < planned && planned <= at)
            {
                return None;
            }
            state.wake = Some(at);
            Some(at)
        });
        let Some(at) = at else {
            return;
        };
        let hub = self.clone();
        task::spawn_local(async move {
            time::sleep((at - now).max(LEAST_WAKE)).await;
            hub.with(|state| state.wake.take_if(|planned| *planned <= at));
            hub.dispatch();
        });
    }

    async fn work(self: Rc<Self>, batch: Batch) {
        let pool = self.with(|state| state.config.clone()?.pool(&batch.shard.pool).cloned());
        let Some(Work::Pieces(work)) = pool.map(|pool| pool.work) else {
            // The pool was taken out of the configuration meanwhile.
            for piece in &batch.pieces {
                self.deliver(piece, Outcome::Failed(Reason::Error));
            }
            return;
        };
        let sent = self.transport.now();
        let worked = self
            .transport
            .run_pieces(&batch.server, &batch.pieces, batch.timeout)
            .await;
        let now = self.transport.now();
        match worked {
            Ok(worked) => self.worked(now, now - sent, batch, worked, &work),
            Err(failure) => self.not_worked(now, batch, failure, &work),
        }
        self.dispatch();
    }

    fn worked(
        self: &Rc<Self>,
        now: Tick,
        took: Duration,
        batch: Batch,
        worked: Results,
        work: &site::pool::Pieces,
    ) {
        let server = &batch.server;
        let is_out_of_memory = worked.outcomes.contains(&Outcome::Failed(Reason::Room));
        let made = batch.pieces.iter().zip(&worked.outcomes);
        let results = made.filter_map(|(piece, made)| match made {
            Outcome::Result(handle) => Some((handle.clone(), piece.result_bytes)),
            Outcome::Failed(_) => None,
        });
        let end = scheduler::Completion::Answered {
            elapsed: took,
            pieces: batch.pieces.len(),
            load: worked.load,
            results: results.collect(),
            is_out_of_memory,
        };
        self.with(|state| {
            let answered = Completion::Answered { latency: took };
            state.fleet.record_completion(now, &server.id, answered);
            state.fleet.reachability.record_success(&server.domain);
            state
                .scheduler
                .record_completion(now, &batch.shard, &server.id, work, end);
        });
        let mut made = worked.outcomes.into_iter();
        for piece in batch.pieces {
            let made = made.next().unwrap_or(Outcome::Failed(Reason::Error));
            match made {
                Outcome::Failed(Reason::Error | Reason::Room) => {
                    self.again(now, &batch.shard, piece, made, &server.id);
                }
                Outcome::Failed(_) | Outcome::Result(_) => self.deliver(&piece, made),
            }
        }
    }

    fn not_worked(
        self: &Rc<Self>,
        now: Tick,
        batch: Batch,
        failure: Failure,
        work: &site::pool::Pieces,
    ) {
        let server = &batch.server;
        log::info!(
            target: "stages", pool:% = batch.shard.pool, server:% = server.id,
            requests:% = requests(&batch.pieces), cause:% = failure; "stage call failed"
        );
        self.with(|state| {
            state
                .fleet
                .record_completion(now, &server.id, end_of(failure));
            state.note_reach(now, &server.domain, failure);
            let end = match failure {
                Failure::Full => scheduler::Completion::Full,
                Failure::TimedOut => scheduler::Completion::TimedOut,
                _ => scheduler::Completion::Failed,
            };
            state
                .scheduler
                .record_completion(now, &batch.shard, &server.id, work, end);
            if failure == Failure::Moved {
                state.roster.mark_leaving(now, &server.id);
            }
        });
        for piece in batch.pieces {
            if matches!(failure, Failure::Full | Failure::Unreachable) {
                self.with(|state| state.scheduler.enqueue(&batch.shard, vec![piece]));
            } else {
                self.again(
                    now,
                    &batch.shard,
                    piece,
                    Outcome::Failed(Reason::Error),
                    &server.id,
                );
            }
        }
    }

    /// Puts a piece back in line where its tries and the retry budget allow it.
    fn again(
        self: &Rc<Self>,
        now: Tick,
        shard: &Shard,
        mut piece: Piece,
        made: Outcome,
        server: &Name,
    ) {
        piece.attempts += 1;
        let tries = self.settings.max_piece_attempts;
        // A piece that was refused for lack of memory was not worked on, so it costs no repeat.
        let is_unworked = made == Outcome::Failed(Reason::Room);
        let is_allowed = self.with(|state| {
            let count = state.members.count();
            is_unworked
                || (piece.attempts < tries && state.retry_window.try_retry(now, &shard.pool, count))
        });
        log::info!(
            target: "stages", request:% = piece.request, stage = piece.stage, piece = piece.number,
            server:% = server, tries = piece.attempts, repeated = is_allowed; "piece was not made"
        );
        if is_allowed {
            self.with(|state| state.scheduler.enqueue(shard, vec![piece]));
        } else {
            self.deliver(&piece, made);
        }
    }

    fn deliver(self: &Rc<Self>, piece: &Piece, made: Outcome) {
        let to = self.with(|state| {
            let find = |ticket: &Ticket| ticket.number.cmp(&piece.ticket);
            let at = state.tickets.binary_search_by(find).ok()?;
            Some(state.tickets.remove(at).to)
        });
        let lost = match to {
            Some(to) => match to.send(Delivery {
                ticket: piece.ticket,
                made,
            }) {
                Ok(()) => None,
                Err(mpsc::error::SendError(delivery)) => Some(delivery.made),
            },
            None => Some(made),
        };
        // The request ended meanwhile, so its result is given up.
        if let Some(Outcome::Result(handle)) = lost {
            self.release(vec![handle]);
        }
    }

    /// Returns the failure domain of the server that made a result.
    pub(crate) fn domain_of(&self, maker: core::net::SocketAddr) -> Option<Name> {
        self.with(|state| {
            let mut servers = state.roster.all();
            let server = servers.find(|server| server.address == maker);
            server.map(|server| server.domain.clone())
        })
    }
}

impl State {
    /// Takes note of what a failed call says of a failure domain.
    pub(crate) fn note_reach(&mut self, now: Tick, domain: &Name, failure: Failure) {
        match failure {
            Failure::Unreachable => {
                if self.fleet.reachability.record_failure(now, domain) {
                    log::warn!(target: "servers", domain:% = domain; "failure domain can't be reached");
                }
            }
            Failure::Full | Failure::InputGone | Failure::Moved | Failure::Rejected => {
                self.fleet.reachability.record_success(domain);
            }
            // The other end may have answered or not.
            Failure::Broken | Failure::Mismatched | Failure::TimedOut => {}
        }
    }

    /// Keeps the servers of failure domains that can be reached, or all if none can.
    pub(crate) fn reachable<'a>(
        &self,
        now: Tick,
        servers: Vec<&'a Rc<Server>>,
    ) -> Vec<&'a Rc<Server>> {
        let is_cut = |server: &Server| self.fleet.reachability.is_unreachable(now, &server.domain);
        let open: Vec<_> = servers.iter().copied().filter(|one| !is_cut(one)).collect();
        if open.is_empty() { servers } else { open }
    }
}

/// Returns what a failure says of the server.
pub(crate) const fn end_of(failure: Failure) -> Completion {
    match failure {
        Failure::Broken | Failure::Mismatched | Failure::TimedOut => Completion::Failed,
        Failure::Full => Completion::Full,
        Failure::InputGone | Failure::Rejected => Completion::Abandoned,
        Failure::Moved | Failure::Unreachable => Completion::Unreachable,
    }
}

fn requests(pieces: &[Piece]) -> String {
    let mut ids: Vec<_> = pieces.iter().map(|piece| piece.request.as_str()).collect();
    ids.dedup();
    ids.join(",")
}
