//! Releases the results of stages on the servers that store them.

use core::time::Duration;
use std::rc::Rc;

use base::{Name, Tick};
use batch::piece::Handle;
use futures_util::future;
use mesh::Owner;
use quota::Demand;
use site::roster::Server;
use tokio::{task, time};

use crate::{Hub, Transport, hub::State};

/// How long released results are collected, so that few calls report them to their servers.
const RELEASE_DELAY: Duration = Duration::from_millis(10);

impl<E: Transport> Hub<E> {
    /// Releases results in the background, through the instances that own the shards of their servers.
    pub fn release(self: &Rc<Self>, mut handles: Vec<Handle>) {
        let now = self.transport.now();
        handles.sort_by(|a, b| a.maker.cmp(&b.maker));
        for group in handles.chunk_by(|a, b| a.maker == b.maker) {
            let group = group.to_vec();
            let owner = self.with(|state| {
                let server = state.holder(&group[0])?.clone();
                match state.members.owner(now, &server.pool, &server.domain) {
                    Owner::Peer(peer) => Some(peer),
                    Owner::Local | Owner::Unavailable => None,
                }
            });
            let hub = self.clone();
            task::spawn_local(async move {
                if let Some(peer) = owner {
                    match hub.transport.delegate_release(&peer, &group).await {
                        Ok(()) => return,
                        Err(failure) => {
                            log::debug!(target: "peers", peer:% = peer.name, cause:% = failure; "instance unreachable; releasing results directly");
                        }
                    }
                }
                hub.queue_release(group);
            });
        }
    }

    /// Queues the release of results on servers of this instance's shards, and reports several in one call.
    pub fn queue_release(self: &Rc<Self>, mut handles: Vec<Handle>) {
        // Servers keep results of unknown makers until they expire.
        handles.retain(|handle| handle.maker.is_some());
        let is_first = self.with(|state| {
            state.scheduler.record_released(&handles);
            let is_first = state.unreported.is_empty();
            state.unreported.extend(handles);
            is_first
        });
        self.dispatch();
        if !is_first {
            return;
        }
        let hub = self.clone();
        task::spawn_local(async move {
            time::sleep(RELEASE_DELAY).await;
            let handles = hub.with(|state| core::mem::take(&mut state.unreported));
            hub.report_released(handles).await;
        });
    }

    /// Reports released results to their servers, and to those that asked for a pause once it has ended.
    async fn report_released(&self, mut handles: Vec<Handle>) {
        handles.sort_by(|a, b| a.maker.cmp(&b.maker));
        while !handles.is_empty() {
            let now = self.transport.now();
            let mut paused = Vec::new();
            let mut first_end = Tick::MAX;
            let mut calls = Vec::new();
            for group in handles.chunk_by(|a, b| a.maker == b.maker) {
                let holder = self.with(|state| state.holder(&group[0]).cloned());
                // Results end with the run that holds them, and one that leaves gets no new work that needs their memory.
                // Nothing is sent to servers of evacuated domains.
                let is_released = |server: &Rc<Server>| {
                    !server.leaving && !self.with(|state| state.is_evacuated(now, server))
                };
                let Some(server) = holder.filter(is_released) else {
                    log::debug!(target: "stages", results = group.len(), maker:? = group[0].maker; "results are left to expire; their server is gone or evacuated");
                    continue;
                };
                let end = self.release_delay_end(now, &server).await;
                if let Some(end) = end {
                    first_end = first_end.min(end);
                    paused.extend_from_slice(group);
                    continue;
                }
                let group = group.to_vec();
                calls.push(async move {
                    // The server may have left, or been evacuated, while others were waited for.
                    let now = self.transport.now();
                    if self.with(|state| {
                        state.holder(&group[0]) == Some(&server)
                            && !state.is_evacuated(now, &server)
                    }) {
                        self.transport.release(&server, group).await;
                    }
                });
            }
            future::join_all(calls).await;
            if paused.is_empty() {
                return;
            }
            if first_end - now > self.settings.max_release_delay {
                log::info!(target: "stages", results = paused.len(); "results are left to expire; their servers asked for a longer pause");
                return;
            }
            time::sleep(first_end - now).await;
            handles = paused;
        }
    }

    /// Returns when a server may take a release, if it asked for a pause or has no turn left. Otherwise its turn is taken.
    async fn release_delay_end(&self, now: Tick, server: &Server) -> Option<Tick> {
        let end = self.with(|state| {
            let held = state.fleet.held_until(now, &server.id);
            held.max(state.fleet.paused_until(now, &server.id))
        });
        if end.is_some()
            || self
                .take_turn(server, Demand::one(Duration::ZERO, Duration::ZERO))
                .await
                .is_ok()
        {
            return end;
        }
        self.with(|state| state.fleet.held_until(now, &server.id))
    }

    /// Returns the failure domain of the server that stores a result.
    pub(crate) fn domain_of(&self, handle: &Handle) -> Option<Name> {
        self.with(|state| Some(state.holder(handle)?.domain.clone()))
    }
}

impl State {
    /// Returns the server that stores a result, if the run that made it is listed.
    fn holder(&self, handle: &Handle) -> Option<&Rc<Server>> {
        let maker = handle.maker.as_ref()?;
        let server = self.roster.get(&maker.name)?;
        (server.incarnation() == *maker).then_some(server)
    }
}
