//! The summary that a failure domain seals of itself.

use base::{Incarnation, Tick};

use super::Roster;
use crate::{
    event::Context,
    fact::{Burn, Domain, Fact, Instance, Load, Pool, Position, State, Subject},
    rendezvous, view,
};

/// Periods without a summary after which the second candidate seals one.
const SEALER_LATE: u64 = 2;
/// Entry instances that a failure domain names to the others.
const NAMED: usize = 4;

impl Roster {
    /// Seals the summary of the own failure domain once in each period, where this instance holds that role.
    ///
    /// What is sealed goes everywhere as it is, so that all who hold a version hold the same content. The
    /// second candidate for the role seals where the first has not done so for some periods.
    pub(super) fn seal(&mut self, context: &Context<'_>, members: &[Incarnation]) {
        let number = self.period(context);
        let sealed = self.sealed.as_ref().map_or(0, |one| one.domain.version);
        let candidates = rendezvous::candidates(members, b"summary", 2);
        let rank = candidates
            .iter()
            .position(|one| **one == self.own.incarnation);
        let Some(rank) = rank else {
            let subject = Subject::Domain(self.own.domain.clone());
            return self.table.withdraw(&subject);
        };
        let late = if rank == 0 { 0 } else { SEALER_LATE };
        if number > sealed + late {
            let domain = self.summary(context.now, number);
            self.table.tell(Fact::Domain(domain.clone()));
            self.hear(context, domain);
        }
    }

    /// Returns the number of the present period.
    pub(super) fn period(&self, context: &Context<'_>) -> u64 {
        let length = u64::try_from(self.config.bridge.as_millis()).unwrap_or(1);
        context.stamp.as_millis() / length.max(1)
    }

    pub(super) fn summary(&self, now: Tick, number: u64) -> Domain {
        let view = self.view(now);
        let near: Vec<&view::Peer> = view
            .peers
            .iter()
            .filter(|peer| peer.instance.domain == self.own.domain)
            .collect();
        let heard = near.iter().filter(|peer| peer.heard);
        let mut instances: Vec<Instance> = heard.map(|peer| peer.instance.clone()).collect();
        let unheard = count(near.len() - instances.len());
        instances.push(self.own.clone());
        let total = count(instances.len());
        instances.retain(|one| one.state == State::Live);
        let leaving = total - count(instances.len());
        instances.truncate(NAMED);
        Domain {
            name: self.own.domain.clone(),
            version: number,
            pools: view.pools.iter().map(sum).collect(),
            instances,
            count: total,
            leaving,
            unheard,
            positions: self.positions(now),
            burns: self.burns(now),
        }
    }

    fn positions(&self, now: Tick) -> Vec<Position> {
        let told = self
            .facts(now)
            .filter(|(_, age, _)| *age <= self.config.lost);
        let mut positions: Vec<Position> = told
            .filter_map(|(_, _, fact)| match fact {
                Fact::Position(position) => Some(*position),
                _ => None,
            })
            .collect();
        positions.sort_unstable_by_key(|one| (one.offset, one.digest));
        positions.dedup();
        positions
    }

    fn burns(&self, now: Tick) -> Vec<Burn> {
        let mut sums: Vec<Burn> = Vec::new();
        for (_, _, fact) in self.facts(now) {
            let Fact::Burn(burn) = fact else { continue };
            match sums.binary_search_by(|sum| sum.pipeline.cmp(&burn.pipeline)) {
                Ok(at) => sums[at].add(burn),
                Err(at) => sums.insert(at, burn.clone()),
            }
        }
        sums
    }
}

fn sum(pool: &view::Pool) -> Pool {
    let live = || pool.servers.iter().filter(|one| one.state == State::Live);
    let total = |of: fn(&Load) -> u32| live().filter_map(|one| one.load.as_ref()).map(of).sum();
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
