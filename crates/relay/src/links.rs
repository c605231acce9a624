//! The links of the instance to servers, and other instances that make its calls while these are lost.

use core::{pin::pin, time::Duration};
use std::rc::Rc;

use base::{Name, Tick};
use futures_util::{
    FutureExt, StreamExt,
    future::{self, LocalBoxFuture, Shared},
    stream::FuturesUnordered,
};
use mesh::Peer;
use pick::links;
use rand::{RngExt, seq::SliceRandom};
use site::{region::Reach, roster::Server};
use tokio::{task, time};

use crate::{Hub, Job, Transport, attempt::Attempts, crash, hub::State};

/// The number of servers to which a check opens connections: one in the local failure domain, as that may be cut off from
/// the others, and the rest in different other ones if possible.
const CHECKED_SERVERS: usize = 3;

/// The number of other servers that a check tries before the links count as lost, as some servers may crash together.
const RECHECKED_SERVERS: usize = 8;

/// The same for the attempts to reach a server while the links are lost.
const PROBED_SERVERS: usize = 2;

/// How long after a connection broke the links are checked. A cut may take some milliseconds to reach all links.
const CUT_SPREAD: Duration = Duration::from_millis(20);

/// The average time between attempts to reach a server while the links are lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The largest part of the interval by which it varies, so that instances don't probe together.
const PROBE_JITTER: f64 = 0.25;

/// A check of the links, which returns whether a server was reached.
pub(crate) type Check = Shared<LocalBoxFuture<'static, bool>>;

/// How a call reaches its server.
pub(crate) enum Way {
    Direct,
    /// Another instance makes the call.
    Through(Peer),
    /// No instance is known that reaches servers.
    Nowhere,
}

impl<E: Transport> Hub<E> {
    /// Waits for the outcome of a call that was sent to a server now, and has the links checked if it takes long.
    pub(crate) async fn watch<T>(self: &Rc<Self>, call: impl Future<Output = T>) -> T {
        let sent_at = self.transport.now();
        let mut call = pin!(call);
        loop {
            match time::timeout(links::suspicious_silence(), &mut call).await {
                Ok(outcome) => return outcome,
                Err(_) => self.record_silence(sent_at),
            }
        }
    }

    fn record_silence(self: &Rc<Self>, sent_at: Tick) {
        let now = self.transport.now();
        if self.with(|state| state.links.record_silence(now, sent_at)) {
            drop(self.check_links());
        }
    }

    /// Records that this instance can't reach a server, and has its links checked if it isn't the first one.
    pub(crate) fn record_unreachable(self: &Rc<Self>, server: &Server) {
        let now = self.transport.now();
        if self.with(|state| state.links.record_unreachable(now, &server.id)) {
            drop(self.check_links());
        }
    }

    /// Records that this instance can't reach a server, and returns whether it reaches other ones.
    pub async fn reaches_others(self: &Rc<Self>, server: &Server) -> bool {
        self.record_unreachable(server);
        !self.are_links_lost().await
    }

    /// Returns whether no server can be reached any more, after a connection broke.
    pub async fn are_links_lost(self: &Rc<Self>) -> bool {
        if self.with(|state| state.links.is_cut_off()) {
            return true;
        }
        time::sleep(CUT_SPREAD).await;
        let now = self.transport.now();
        // Many connections break together when a server crashes.
        let is_sound = self.with(|state| state.links.is_sound(now));
        !is_sound && !self.check_links().await
    }

    /// Begins to find out whether any server can be reached, unless such a check is under way already, and returns the check.
    /// It goes on if nobody waits for it.
    fn check_links(self: &Rc<Self>) -> Check {
        if let Some(check) = &*self.check.borrow() {
            return check.clone();
        }
        let hub = self.clone();
        let check = async move {
            let count = CHECKED_SERVERS + RECHECKED_SERVERS;
            let now = hub.transport.now();
            let servers = hub.with(|state| state.sample_servers(now, &hub.domain, count));
            let (first, rest) = servers.split_at(servers.len().min(CHECKED_SERVERS));
            // A server list that is empty says nothing about the links.
            let is_reached =
                servers.is_empty() || hub.reaches_any(first).await || hub.reaches_any(rest).await;
            hub.check.take();
            hub.record_check(is_reached);
            is_reached
        };
        let check = check.boxed_local().shared();
        self.check.replace(Some(check.clone()));
        task::spawn_local(check.clone());
        check
    }

    /// Opens connections to servers until one opens.
    async fn regain_links(self: Rc<Self>) {
        while self.with(|state| state.links.is_cut_off()) {
            let draw = self.with(|state| state.rng.random_range(-PROBE_JITTER..PROBE_JITTER));
            time::sleep(PROBE_INTERVAL.mul_f64(1.0 + draw)).await;
            let now = self.transport.now();
            let servers =
                self.with(|state| state.sample_servers(now, &self.domain, PROBED_SERVERS));
            if servers.is_empty() || self.reaches_any(&servers).await {
                self.record_check(true);
            }
        }
    }

    /// Returns whether one of some servers can be reached.
    async fn reaches_any(&self, servers: &[Rc<Server>]) -> bool {
        let probes = servers.iter().map(|server| self.transport.probe(server));
        let probes: FuturesUnordered<_> = probes.collect();
        pin!(probes.any(future::ready)).await
    }

    fn record_check(self: &Rc<Self>, is_reached: bool) {
        let now = self.transport.now();
        let is_changed = self.with(|state| state.links.record_check(now, is_reached));
        if !is_changed {
            return;
        }
        self.with(|state| {
            state.members.set_cut_off(!is_reached);
            // Servers and domains were unreachable for a reason of this instance.
            state.fleet.forget_unreachable();
        });
        self.transport.close_idle();
        if is_reached {
            log::info!(target: "servers", "servers are reachable again");
            crash::settle(self);
        } else {
            log::warn!(target: "servers", "no server is reachable; other instances make the calls");
            task::spawn_local(self.clone().regain_links());
        }
        self.dispatch();
    }

    /// Returns once the links of this instance to all servers are lost while another instance can take its pieces.
    pub(crate) async fn wait_until_cut_off(&self, reach: Option<&Reach>) {
        const POLL_INTERVAL: Duration = Duration::from_millis(100);
        loop {
            let is_replaceable = self.with(|state| {
                let now = self.transport.now();
                let may_help =
                    |peer: &Peer| reach.is_none_or(|reach| reach.allows_instance(&peer.domain));
                let is_cut_off = state.links.is_cut_off();
                is_cut_off && state.members.helper(now, &[], 0.0, may_help).is_some()
            });
            if is_replaceable {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl State {
    /// Returns how the next call of a request reaches its server.
    pub(crate) fn way<R>(&mut self, now: Tick, job: &Job<R>, attempts: &Attempts) -> Way {
        let is_cut_off = self.links.is_cut_off();
        if !is_cut_off && !attempts.needs_helper {
            return Way::Direct;
        }
        let draw = self.rng.random();
        let may_help = |peer: &Peer| job.allows_instance(&peer.domain);
        match self.members.helper(now, &attempts.helpers, draw, may_help) {
            Some(helper) => Way::Through(helper),
            None if is_cut_off => Way::Nowhere,
            None => Way::Direct,
        }
    }

    /// Returns random servers, one of the local failure domain first, and of different ones as far as there are that many.
    fn sample_servers(&mut self, now: Tick, local: &Name, count: usize) -> Vec<Rc<Server>> {
        // The machines of an evacuated domain may be switched off, which says nothing about the links.
        let all: Vec<_> = self.roster.all().cloned().collect();
        let used = all.iter().filter(|server| !self.is_evacuated(now, server));
        let used: Vec<_> = used.cloned().collect();
        let mut servers = if used.is_empty() { all } else { used };
        servers.shuffle(&mut self.rng);
        servers.sort_by_key(|server| server.domain != *local);
        let mut sample: Vec<Rc<Server>> = Vec::new();
        for is_any in [false, true] {
            for server in &servers {
                let is_new = |known: &Rc<Server>| match is_any {
                    true => known.id != server.id,
                    false => known.domain != server.domain,
                };
                if sample.len() < count && sample.iter().all(is_new) {
                    sample.push(server.clone());
                }
            }
        }
        sample
    }
}
