//! Pieces of stages, from a request that needs them to the delivery of their outcomes.

use core::time::Duration;
use std::rc::Rc;

use base::Name;
use batch::{
    Piece, Shard,
    piece::{Outcome, Reason},
};
use mesh::Owner;
use site::region::Reach;
use tokio::{sync::mpsc, time};

use crate::{Failure, Hub, Transport, hub::State};

/// The receiver of a piece's outcome.
pub(crate) struct Waiter {
    ticket: u64,
    /// The copies of the piece that are queued or part of a call.
    pub(crate) copies: u32,
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
    /// Runs pieces of one stage of a request, in calls of this instance or of the one that owns the shard.
    ///
    /// Dropping the future cancels queued pieces and releases their results.
    pub(crate) async fn run_pieces(
        self: &Rc<Self>,
        pool: &Name,
        pieces: Vec<Piece>,
        reach: Option<&Reach>,
    ) -> Vec<Outcome> {
        let preferred = pieces
            .first()
            .and_then(|piece| piece.preferred_domain.clone());
        // Tries the owner in the preferred domain, then its successor, and then the owner in the local domain.
        for domain in [preferred.as_ref(), preferred.as_ref(), None] {
            let (shard, owner) = self.shard_owner(pool, domain, reach);
            let peer = match owner {
                Owner::Local => {
                    let made = self.run_local(&shard, pieces.clone());
                    tokio::select! {
                        outcomes = made => match self.is_moved(&shard, &outcomes) {
                            true => {
                                self.release_results(outcomes);
                                continue;
                            }
                            false => return outcomes,
                        },
                        () = self.wait_until_cut_off(reach) => continue,
                    }
                }
                Owner::Peer(peer) => peer,
                Owner::Unavailable => continue,
            };
            let delegated = self.transport.delegate(&peer, &shard, &pieces);
            let lost = self.wait_until_lost(&peer.name);
            let delegated = tokio::select! {
                delegated = delegated => delegated,
                () = lost => Err(Failure::TimedOut),
            };
            let outcomes = delegated.map(|delegated| {
                self.record_backlogs(&peer.name, delegated.backlogs);
                delegated.outcomes
            });
            match outcomes {
                Ok(outcomes) if outcomes.len() == pieces.len() => {
                    if !self.is_moved(&shard, &outcomes) {
                        return outcomes;
                    }
                    self.release_results(outcomes);
                }
                Ok(_) => {
                    log::error!(target: "peers", peer:% = peer.name; "instance returned a wrong number of results")
                }
                Err(_) if self.with(|state| state.members.is_peer_cut_off(&peer.name)) => {
                    log::info!(
                        target: "peers", peer:% = peer.name, pool:% = pool;
                        "instance that runs the pieces reaches no servers"
                    );
                }
                Err(failure) => {
                    log::info!(
                        target: "peers", peer:% = peer.name, pool:% = pool,
                        request:% = pieces.first().map_or("", |piece| piece.request.as_str()),
                        cause:% = failure; "instance that runs the pieces was lost"
                    );
                    self.with(|state| {
                        state.members.mark_lost(&peer.name);
                        state.controller.forecast.forget_owner(&peer.name);
                        state.record_reachability(
                            self.transport.now(),
                            &peer.domain,
                            Failure::Unreachable,
                        );
                    });
                }
            }
        }
        let (shard, _) = self.shard_owner(pool, None, reach);
        self.run_local(&shard, pieces).await
    }

    /// Returns whether pieces failed in a shard whose failure domain is evacuated, so that they go to another one.
    fn is_moved(&self, shard: &Shard, outcomes: &[Outcome]) -> bool {
        let now = self.transport.now();
        let has_failed = |outcome: &Outcome| matches!(outcome, Outcome::Failed(_));
        let Some(domain) = shard.domain.as_ref() else {
            return false;
        };
        outcomes.iter().any(has_failed)
            && self.with(|state| {
                let is_evacuated = state.roster.evacuations.contains(now, domain);
                is_evacuated && !state.roster.is_evacuated(now, &shard.pool)
            })
    }

    fn release_results(self: &Rc<Self>, outcomes: Vec<Outcome>) {
        let results = outcomes.into_iter().filter_map(|outcome| match outcome {
            Outcome::Result(handle) => Some(handle),
            Outcome::Failed(_) => None,
        });
        self.release(results.collect());
    }

    /// Returns the shard of a pool that is nearest to a failure domain, and its owner. A request that must stay in some regions
    /// reaches shards of single domains only, and without cells this instance runs its pieces.
    fn shard_owner(
        &self,
        pool: &Name,
        preferred: Option<&Name>,
        reach: Option<&Reach>,
    ) -> (Shard, Owner) {
        let now = self.transport.now();
        self.with(|state| {
            let has_cells = state.members.has_cells();
            if !has_cells && reach.is_none() {
                let owner = state.members.owner(now, pool, &self.domain);
                return (Shard::whole(pool), owner);
            }
            let reachability = &state.fleet.reachability;
            let is_allowed = |domain: &&Name| reach.is_none_or(|reach| reach.allows_server(domain));
            let domains = || {
                let servers = state.roster.usable(now, pool);
                servers.map(|server| &server.domain).filter(is_allowed)
            };
            let preferred = preferred.filter(|domain| !reachability.is_unreachable(now, domain));
            let candidates = preferred.into_iter().chain([&self.domain]);
            let candidates = candidates.filter(|domain| domains().any(|known| known == *domain));
            let mut others: Vec<_> = domains().collect();
            others.sort();
            others.dedup();
            let candidates: Vec<_> = candidates.chain(others).cloned().collect();
            let nearest = match reach {
                // No domain has this name, so that the pieces expire.
                Some(_) => &Name::default(),
                None => &self.domain,
            };
            let mut domain = candidates.first().unwrap_or(nearest).clone();
            if !has_cells {
                let shard = Shard {
                    pool: pool.clone(),
                    domain: Some(domain),
                };
                return (shard, Owner::Local);
            }
            let mut owner = state.members.owner(now, pool, &domain);
            // All instances of a domain may be lost, or reach no servers.
            for candidate in candidates {
                if owner != Owner::Unavailable || !state.links.is_cut_off() {
                    break;
                }
                owner = state.members.owner(now, pool, &candidate);
                domain = candidate;
            }
            let shard = Shard {
                pool: pool.clone(),
                domain: Some(domain),
            };
            (shard, owner)
        })
    }

    /// Returns once an instance is unreachable, or reaches no servers.
    async fn wait_until_lost(&self, peer: &Name) {
        const POLL_INTERVAL: Duration = Duration::from_millis(100);
        let is_lost = |state: &mut State| {
            let members = &state.members;
            members.is_unreachable(self.transport.now(), peer) || members.is_peer_cut_off(peer)
        };
        while !self.with(is_lost) {
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

    /// Delivers the outcome of a piece to its waiter, unless another copy may still succeed.
    pub(crate) fn deliver(self: &Rc<Self>, piece: &Piece, outcome: Outcome) {
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
    pub(crate) fn find_waiter(&self, ticket: u64) -> Option<usize> {
        let find = |waiter: &Waiter| waiter.ticket.cmp(&ticket);
        self.waiters.binary_search_by(find).ok()
    }

    pub(crate) fn waiter_mut(&mut self, ticket: u64) -> Option<&mut Waiter> {
        let at = self.find_waiter(ticket)?;
        Some(&mut self.waiters[at])
    }

    fn take_waiter(&mut self, ticket: u64) -> Option<Waiter> {
        let at = self.find_waiter(ticket)?;
        Some(self.waiters.remove(at))
    }
}
