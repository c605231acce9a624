//! The decisions of one entry instance under any policy.

use core::time::Duration;

use admit::Controller;
use base::{Incarnation, Name, Tick};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use retry::Budget;
use route::Table;

use crate::{
    call::Call,
    policy::{Policy, Route},
    size::Size,
};

/// An entry of the server list.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// The index of the server in the simulation.
    pub(crate) server: usize,
    pub(crate) known: route::Server,
}

/// One entry instance.
pub(crate) struct Agent {
    pub(crate) domain: Name,
    pub(crate) domain_at: usize,
    pub(crate) up: bool,
    pub(crate) table: Table,
    pub(crate) admission: Controller,
    /// Members of each pool.
    members: Vec<Vec<Member>>,
    /// Own attempts in flight, by server.
    in_flight: Vec<u32>,
    turns: Vec<usize>,
    retries: Budget,
}

/// The input for the choice of a server.
pub(crate) struct Query<'a> {
    pub(crate) pool: usize,
    pub(crate) prefix: Option<u64>,
    pub(crate) exclusive: bool,
    pub(crate) call: &'a Call,
}

impl Agent {
    pub(crate) fn new(size: &Size, domain_at: usize, servers: usize) -> Self {
        let mut agent = Self {
            domain: domain(domain_at),
            domain_at,
            up: true,
            table: Table::default(),
            admission: Controller::default(),
            members: vec![Vec::new(); size.pools.len()],
            in_flight: vec![0; servers],
            turns: vec![domain_at; size.pools.len()],
            retries: Budget::new(retry::configs::budget::Budget::default()),
        };
        for pipeline in &size.pipelines {
            let pools: Vec<Name> = pipeline
                .stages
                .iter()
                .map(|pool| Name::from(size.pools[*pool].name))
                .collect();
            agent
                .admission
                .set_pipeline(&Name::from(pipeline.name), &pools);
        }
        agent
    }

    /// Sets the servers of a pool.
    pub(crate) fn list(&mut self, size: &Size, pool: usize, members: &[Member]) {
        let servers: Vec<_> = members.iter().map(|member| member.known.clone()).collect();
        self.table.set_servers(size.pools[pool].name, &servers);
        self.members[pool] = members.to_vec();
    }

    /// Picks a server, or returns the time to wait before a retry.
    pub(crate) fn pick(
        &mut self,
        policy: Policy,
        size: &Size,
        now: Tick,
        rng: &mut ChaCha8Rng,
        query: &Query<'_>,
    ) -> Result<(usize, Incarnation), Duration> {
        let found = match policy.route {
            Route::Table => return self.pick_by_table(size, now, rng, query),
            Route::Random => self.pick_by(query, |_, count| rng.random_range(0..count)),
            Route::RoundRobin => {
                self.turns[query.pool] += 1;
                let turn = self.turns[query.pool];
                self.pick_by(query, |_, count| turn % count)
            }
            Route::FewestInFlight => self.pick_by(query, |agent, count| {
                agent.fewest_in_flight(query.pool, count, query.call)
            }),
        };
        found.ok_or(Duration::from_millis(500))
    }

    pub(crate) fn record_sent(&mut self, server: usize) {
        self.in_flight[server] += 1;
    }

    pub(crate) fn record_ended(&mut self, server: usize) {
        self.in_flight[server] = self.in_flight[server].saturating_sub(1);
    }

    /// Records a first attempt, which adds to the retry budget.
    pub(crate) fn record_first_attempt(&mut self, now: Tick, stage: &Name, account: &Name) {
        self.retries.deposit(now, stage, account);
    }

    /// Withdraws a retry from the budget; returns whether there was one.
    pub(crate) fn withdraw_retry(&mut self, now: Tick, stage: &Name, account: &Name) -> bool {
        self.retries.try_withdraw(now, stage, account).is_ok()
    }

    fn pick_by_table(
        &mut self,
        size: &Size,
        now: Tick,
        rng: &mut ChaCha8Rng,
        query: &Query<'_>,
    ) -> Result<(usize, Incarnation), Duration> {
        let mut cx = route::Context {
            now,
            rng,
            own_domain: &self.domain,
        };
        let settings = &size.pools[query.pool];
        let ask = route::Request {
            pool: settings.name,
            prefix: query.prefix,
            prefill_tokens: settings.prefix_tokens,
            exclude: &query.call.tried,
            exclusive: query.exclusive,
        };
        let pick = self
            .table
            .pick(&mut cx, &ask)
            .map_err(|error| error.retry_after)?;
        self.members[query.pool]
            .iter()
            .find(|member| member.known.incarnation == pick.incarnation)
            .map(|member| (member.server, pick.incarnation))
            .ok_or(Duration::from_millis(100))
    }

    /// Picks among members that were not tried yet, or among all if there are none.
    fn pick_by(
        &self,
        query: &Query<'_>,
        choose: impl FnOnce(&Self, usize) -> usize,
    ) -> Option<(usize, Incarnation)> {
        let members = self.untried(query.pool, query.call);
        if members.is_empty() {
            return None;
        }
        let member = members[choose(self, members.len())];
        Some((member.server, member.known.incarnation.clone()))
    }

    fn untried(&self, pool: usize, call: &Call) -> Vec<&Member> {
        let all = &self.members[pool];
        let untried: Vec<_> = all
            .iter()
            .filter(|member| !call.tried.contains(&member.known.incarnation))
            .collect();
        if untried.is_empty() {
            return all.iter().collect();
        }
        untried
    }

    fn fewest_in_flight(&self, pool: usize, count: usize, call: &Call) -> usize {
        let members = self.untried(pool, call);
        (0..count)
            .min_by_key(|at| self.in_flight[members[*at].server])
            .unwrap_or_default()
    }
}

/// Returns the name of a failure domain.
pub(crate) fn domain(at: usize) -> Name {
    Name::from(format!("domain-{at}"))
}
