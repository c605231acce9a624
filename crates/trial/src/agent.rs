//! The decisions of one entry instance, under any policy.

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

/// A server as a list names it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Its index in the world.
    pub(crate) server: usize,
    pub(crate) known: route::Server,
}

/// One entry instance.
pub(crate) struct Agent {
    pub(crate) domain: Name,
    pub(crate) domain_at: usize,
    pub(crate) up: bool,
    pub(crate) table: Table,
    pub(crate) gate: Controller,
    /// Members of each pool.
    members: Vec<Vec<Member>>,
    /// Own attempts in flight, by server.
    flights: Vec<u32>,
    turns: Vec<usize>,
    retries: Budget,
}

/// What a pick may use.
pub(crate) struct Wish<'a> {
    pub(crate) pool: usize,
    pub(crate) prefix: Option<u64>,
    pub(crate) alone: bool,
    pub(crate) call: &'a Call,
}

impl Agent {
    pub(crate) fn new(size: &Size, domain_at: usize, servers: usize) -> Self {
        let mut agent = Self {
            domain: domain(domain_at),
            domain_at,
            up: true,
            table: Table::default(),
            gate: Controller::default(),
            members: vec![Vec::new(); size.pools.len()],
            flights: vec![0; servers],
            turns: vec![domain_at; size.pools.len()],
            retries: Budget::new(retry::configs::budget::Budget::default()),
        };
        for pipeline in &size.pipelines {
            let pools: Vec<Name> = pipeline
                .stages
                .iter()
                .map(|pool| Name::from(size.pools[*pool].name))
                .collect();
            agent.gate.set_pipeline(&Name::from(pipeline.name), &pools);
        }
        agent
    }

    /// Takes the list of a pool's servers.
    pub(crate) fn list(&mut self, size: &Size, pool: usize, members: &[Member]) {
        let servers: Vec<_> = members.iter().map(|member| member.known.clone()).collect();
        self.table.set_servers(size.pools[pool].name, &servers);
        self.members[pool] = members.to_vec();
    }

    /// Picks a server, or tells when to try again.
    pub(crate) fn pick(
        &mut self,
        policy: Policy,
        size: &Size,
        now: Tick,
        rng: &mut ChaCha8Rng,
        wish: &Wish<'_>,
    ) -> Result<(usize, Incarnation), Duration> {
        let found = match policy.route {
            Route::Table => return self.pick_by_table(size, now, rng, wish),
            Route::Random => self.pick_by(wish, |_, count| rng.random_range(0..count)),
            Route::RoundRobin => {
                self.turns[wish.pool] += 1;
                let turn = self.turns[wish.pool];
                self.pick_by(wish, |_, count| turn % count)
            }
            Route::Fewest => self.pick_by(wish, |agent, count| {
                agent.fewest(wish.pool, count, wish.call)
            }),
        };
        found.ok_or(Duration::from_millis(500))
    }

    pub(crate) fn sent(&mut self, server: usize) {
        self.flights[server] += 1;
    }

    pub(crate) fn ended(&mut self, server: usize) {
        self.flights[server] = self.flights[server].saturating_sub(1);
    }

    /// Notes a first attempt, which adds to the retry budget.
    pub(crate) fn first_attempt(&mut self, now: Tick, stage: &Name, account: &Name) {
        self.retries.deposit(now, stage, account);
    }

    /// Takes a retry out of the budget, if there is one.
    pub(crate) fn take_retry(&mut self, now: Tick, stage: &Name, account: &Name) -> bool {
        self.retries.try_withdraw(now, stage, account).is_ok()
    }

    fn pick_by_table(
        &mut self,
        size: &Size,
        now: Tick,
        rng: &mut ChaCha8Rng,
        wish: &Wish<'_>,
    ) -> Result<(usize, Incarnation), Duration> {
        let mut cx = route::Context {
            now,
            rng,
            own_domain: &self.domain,
        };
        let settings = &size.pools[wish.pool];
        let ask = route::Request {
            pool: settings.name,
            prefix: wish.prefix,
            prefill_tokens: settings.prefix_tokens,
            exclude: &wish.call.tried,
            exclusive: wish.alone,
        };
        let pick = self
            .table
            .pick(&mut cx, &ask)
            .map_err(|error| error.retry_after)?;
        self.members[wish.pool]
            .iter()
            .find(|member| member.known.incarnation == pick.incarnation)
            .map(|member| (member.server, pick.incarnation))
            .ok_or(Duration::from_millis(100))
    }

    /// Picks among members not tried yet, or among all if each was.
    fn pick_by(
        &self,
        wish: &Wish<'_>,
        choose: impl FnOnce(&Self, usize) -> usize,
    ) -> Option<(usize, Incarnation)> {
        let members = self.untried(wish.pool, wish.call);
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

    fn fewest(&self, pool: usize, count: usize, call: &Call) -> usize {
        let members = self.untried(pool, call);
        (0..count)
            .min_by_key(|at| self.flights[members[*at].server])
            .unwrap_or_default()
    }
}

/// Names a failure domain.
pub(crate) fn domain(at: usize) -> Name {
    Name::from(format!("domain-{at}"))
}
