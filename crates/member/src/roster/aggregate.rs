//! Summaries and sums of the own failure domain.

use base::{Incarnation, Tick};

use super::Roster;
use crate::{
    event::Context,
    fact::{Burn, Domain, Fact, Instance, Load, Pool, Position, Stages, State, Subject, Tally},
    rendezvous, view,
};

/// Periods without a summary after which the second candidate publishes one.
const STANDBY_DELAY_PERIODS: u64 = 2;
/// Periods after its start before an instance knows enough of its failure domain to publish sums.
const STARTUP_PERIODS: u64 = 2;
/// The largest number of entry instances that a summary lists.
const MAX_INSTANCES: usize = 4;

impl Roster {
    /// Publishes the summary of the own failure domain once per period, if this instance has that role.
    ///
    /// A summary is distributed unchanged, so that a version has the same content everywhere. The second
    /// candidate for the role publishes one if the first has not done so for some periods.
    pub(super) fn publish_summary(&mut self, context: &Context<'_>, members: &[Incarnation]) {
        let period = self.period(context);
        let start_period = *self.start_period.get_or_insert(period);
        let published = self
            .own_summary
            .as_ref()
            .map_or(0, |one| one.domain.version);
        let candidates = rendezvous::candidates(members, b"summary", 2);
        let rank = candidates
            .iter()
            .position(|one| **one == self.own.incarnation);
        let Some(rank) = rank else {
            let name = &self.own.domain;
            self.table.withdraw(&Subject::Domain(name.clone()));
            return self.table.withdraw(&Subject::Tally(name.clone()));
        };
        let delay = if rank == 0 { 0 } else { STANDBY_DELAY_PERIODS };
        if period > published + delay {
            let domain = self.build_summary(context.now, period);
            self.table.publish(Fact::Domain(domain.clone()));
            self.apply_domain(context, domain);
            self.publish_tally(context, period, start_period + STARTUP_PERIODS);
        }
    }

    /// Publishes the sums over pipelines and stages if they are due; otherwise publishes the latest ones
    /// again, so that they remain known after the role has moved.
    fn publish_tally(&mut self, context: &Context<'_>, period: u64, first_version: u64) {
        let version = Tally::version_at(period);
        let own = self.own.domain.clone();
        let known = self.tally(&own);
        let tally = match known.filter(|known| known.version >= version) {
            Some(known) => known.clone(),
            // Right after a start the sums would lack nearly all instances, and stay in use for a minute.
            None if version < first_version => return,
            None => Tally {
                burns: self.burns(context.now),
                stages: self.stages(context.now),
                unheard: self.unheard_count(context.now),
                domain: own,
                version,
            },
        };
        self.table.publish(Fact::Tally(tally.clone()));
        self.apply_tally(context, tally);
    }

    /// Returns the number of the current period.
    pub(super) fn period(&self, context: &Context<'_>) -> u64 {
        let length = u64::try_from(self.config.domain_exchange_interval.as_millis()).unwrap_or(1);
        context.stamp.as_millis() / length.max(1)
    }

    pub(super) fn build_summary(&self, now: Tick, period: u64) -> Domain {
        let view = self.view(now);
        let domain_peers: Vec<&view::Peer> = view
            .peers
            .iter()
            .filter(|peer| peer.instance.domain == self.own.domain)
            .collect();
        let heard = domain_peers.iter().filter(|peer| peer.is_heard);
        let mut instances: Vec<Instance> = heard.map(|peer| peer.instance.clone()).collect();
        instances.push(self.own.clone());
        let total = count(instances.len());
        instances.retain(|one| one.state == State::Live);
        let leaving = total - count(instances.len());
        instances.truncate(MAX_INSTANCES);
        Domain {
            name: self.own.domain.clone(),
            version: period,
            pools: view.pools.iter().map(sum_pool).collect(),
            instances,
            count: total,
            leaving,
            unheard: self.unheard_count(now),
            positions: self.positions(now),
        }
    }

    fn positions(&self, now: Tick) -> Vec<Position> {
        let facts = self.recent_facts(now);
        let mut positions: Vec<Position> = facts
            .filter_map(|fact| match fact {
                Fact::Position(position) => Some(*position),
                _ => None,
            })
            .collect();
        positions.sort_unstable_by_key(|one| (one.offset, one.digest));
        positions.dedup();
        positions
    }

    fn unheard_count(&self, now: Tick) -> u32 {
        let domain_peers = self
            .peers
            .iter()
            .filter(|peer| peer.instance.domain == self.own.domain);
        count(domain_peers.count() - self.heard_peers(now).count())
    }

    fn burns(&self, now: Tick) -> Vec<Burn> {
        let burns = self.recent_facts(now).filter_map(|fact| match fact {
            Fact::Burn(burn) => Some(burn),
            _ => None,
        });
        let mut sums = Burn::sum(burns);
        sums.retain(|sum| sum.long.total() > 0);
        sums
    }

    fn stages(&self, now: Tick) -> Vec<Stages> {
        Stages::sum(self.recent_facts(now).filter_map(|fact| match fact {
            Fact::Stages(stages) => Some(stages),
            _ => None,
        }))
    }

    /// Returns the facts of instances heard from recently; the counts of others are about an earlier window.
    fn recent_facts(&self, now: Tick) -> impl Iterator<Item = &Fact> {
        let facts = self.facts(now);
        facts
            .filter(|(_, age, _)| *age <= self.config.peer_timeout)
            .map(|(_, _, fact)| fact)
    }
}

fn sum_pool(pool: &view::Pool) -> Pool {
    let live = || pool.servers.iter().filter(|one| one.state == State::Live);
    let total =
        |field: fn(&Load) -> u32| live().filter_map(|one| one.load.as_ref()).map(field).sum();
    Pool {
        name: pool.name.clone(),
        live: count(live().count()),
        leaving: count(pool.servers.len() - live().count()),
        running: total(|load| load.running),
        waiting: total(|load| load.waiting),
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
