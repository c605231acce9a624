//! The state that all requests of an instance share.

use core::cell::RefCell;
use std::rc::Rc;

use base::{Name, Tick};
use batch::{Scheduler, piece::Handle};
use mesh::{Departures, Members, Origins};
use pick::{Fleet, Links, fleet::Completion};
use quota::{Brittle, Cold, Limits, Meter};
use rand::{SeedableRng, rngs::SmallRng};
use retry::{Crashes, Parts, Window, window::Bound};
use room::Controller;
use site::{Config, History, Regions, Roster, roster::Server};

use crate::{
    Failure, Transport, configs, crash::Held, estimate::Estimator, hold::Budget, links::Check,
    pieces::Waiter, stop::Stop, uploads::Uploads,
};

/// The state that all requests of an instance share.
pub struct Hub<E> {
    /// The transport that makes the calls.
    pub transport: E,
    /// The failure domain of the instance.
    pub domain: Name,
    /// Settings.
    pub settings: configs::Config,
    /// The check of the links that is under way.
    pub(crate) check: RefCell<Option<Check>>,
    state: RefCell<State>,
}

/// The mutable state of an instance.
pub struct State {
    /// The active configuration, or none until one is known.
    pub config: Option<Rc<Config>>,
    /// The registered servers.
    pub roster: Roster,
    /// The regions of failure domains.
    pub regions: Regions,
    /// The load estimates of these servers.
    pub fleet: Fleet,
    /// Whether this instance reaches servers at all.
    pub links: Links,
    /// The request rates that servers state.
    pub limits: Limits,
    /// The turns that this instance grants at such servers.
    pub meter: Meter,
    /// The turns that it grants at servers that fall over when they turn too many requests away.
    pub brittle: Brittle,
    /// The cold servers, and the turns that it grants at them.
    pub cold: Cold,
    /// The scheduler of stage pieces.
    pub scheduler: Scheduler,
    /// The waits that the backlogs of shards let expect, and the admission of requests by them.
    pub controller: Controller,
    /// When the backlogs of this instance's shards were recorded last.
    pub(crate) backlogs_at: Option<Tick>,
    /// When backlogs were last reported to other instances with heartbeats.
    pub(crate) backlogs_reported: Vec<(Name, Tick)>,
    /// The retry budget.
    pub retry_window: Window,
    /// Connections that broke while the links were lost, any of which may be a crash.
    pub(crate) held: Vec<Held>,
    /// Requests that crashed servers.
    pub crashes: Crashes,
    /// Parts of prompts that crash servers.
    pub parts: Parts,
    /// The other instances.
    pub members: Members,
    /// Departures of servers that other instances are told.
    pub departures: Departures,
    /// Where recent streams began.
    pub origins: Origins,
    /// Since when the servers of each pool run one software.
    pub software: History,
    /// The bytes that are held for callers.
    pub hold: Budget,
    /// The bytes of requests at servers.
    pub uploads: Uploads,
    /// The shutdown of this instance, once it has begun.
    pub stop: Option<Stop>,
    /// Estimates of the time to the first event and of request sizes.
    pub estimator: Estimator,
    /// The source of randomness.
    pub rng: SmallRng,
    /// The receivers of pieces, in the order of their tickets.
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) next_ticket: u64,
    /// Released results that are not yet reported to their servers.
    pub(crate) unreported: Vec<Handle>,
    /// The time of the earliest scheduled wakeup.
    pub(crate) next_wakeup: Option<Tick>,
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
        let hold = Budget::new(settings.max_kept_bytes);
        Rc::new(Self {
            transport,
            domain,
            settings,
            check: RefCell::default(),
            state: RefCell::new(State {
                config: None,
                roster: Roster::default(),
                regions: Regions::default(),
                fleet: Fleet::default(),
                links: Links::default(),
                limits: Limits::default(),
                meter: Meter::new(quota::configs::Config::default(), seed),
                brittle: Brittle::default(),
                cold: Cold::default(),
                scheduler: Scheduler::default(),
                controller: Controller::default(),
                backlogs_at: None,
                backlogs_reported: Vec::new(),
                retry_window: Window::new(bound),
                held: Vec::new(),
                crashes: Crashes::default(),
                parts: Parts::default(),
                members,
                departures: Departures::default(),
                origins: Origins::default(),
                software: History::default(),
                hold,
                uploads: Uploads::default(),
                stop: None,
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
}

impl State {
    /// Records what a failed call shows about the reachability of a failure domain.
    pub(crate) fn record_reachability(&mut self, now: Tick, domain: &Name, failure: Failure) {
        match failure {
            Failure::Unreachable => {
                if self.fleet.reachability.record_failure(now, domain) {
                    log::warn!(target: "servers", domain:% = domain; "failure domain is unreachable");
                    self.record_domain_return(now, domain);
                }
            }
            Failure::Full
            | Failure::InputGone
            | Failure::Moved
            | Failure::Rejected
            | Failure::Unattested => {
                self.fleet.reachability.record_success(domain);
            }
            // These failures don't show whether the domain is reachable.
            Failure::Broken
            | Failure::Evacuated
            | Failure::Exhausted
            | Failure::HelperLost
            | Failure::HelperUnavailable
            | Failure::Mismatched
            | Failure::TimedOut
            | Failure::Unacknowledged
            | Failure::Unconfirmed => {}
        }
    }
}

/// Returns the servers in reachable failure domains, or all servers if there are none.
pub(crate) fn reachable<'a>(
    fleet: &Fleet,
    now: Tick,
    servers: Vec<&'a Rc<Server>>,
) -> Vec<&'a Rc<Server>> {
    let is_unreachable = |server: &Server| fleet.reachability.is_unreachable(now, &server.domain);
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

/// Returns the completion that a failure counts as in the load estimates.
pub(crate) const fn completion_of(failure: Failure) -> Completion {
    match failure {
        Failure::Broken
        | Failure::Mismatched
        | Failure::TimedOut
        | Failure::Unacknowledged
        | Failure::Unattested => Completion::Failed,
        Failure::Exhausted | Failure::Full => Completion::Full,
        Failure::Evacuated
        | Failure::HelperLost
        | Failure::HelperUnavailable
        | Failure::InputGone
        | Failure::Rejected
        | Failure::Unconfirmed => Completion::Abandoned,
        Failure::Moved | Failure::Unreachable => Completion::Unreachable,
    }
}
