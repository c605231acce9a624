//! The summary that a failure domain seals of itself.

use base::{Incarnation, Tick};

use super::Roster;
use crate::{
    event::Context,
    fact::{Burn, Domain, Fact, Instance, Load, Pool, Position, Stages, State, Subject, Tally},
    rendezvous, view,
};

/// Periods without a summary after which the second candidate seals one.
const SEALER_LATE: u64 = 2;
/// Periods after its start from which an instance knows enough of its failure domain to seal sums.
const KNOWING: u64 = 2;
/// Entry instances that a failure domain names to the others.
const NAMED: usize = 4;

impl Roster {
    /// Seals the summary of the own failure domain once in each period, where this instance holds that role.
    ///
    /// What is sealed goes everywhere as it is, so that all who hold a version hold the same content. The
    /// second candidate for the role seals where the first has not done so for some periods.
    pub(super) fn seal(&mut self, context: &Context<'_>, members: &[Incarnation]) {
        let number = self.period(context);
        let began = *self.began.get_or_insert(number);
        let sealed = self.sealed.as_ref().map_or(0, |one| one.domain.version);
        let candidates = rendezvous::candidates(members, b"summary", 2);
        let rank = candidates
            .iter()
            .position(|one| **one == self.own.incarnation);
        let Some(rank) = rank else {
            let name = &self.own.domain;
            self.table.withdraw(&Subject::Domain(name.clone()));
            return self.table.withdraw(&Subject::Tally(name.clone()));
        };
        let late = if rank == 0 { 0 } else { SEALER_LATE };
        if number > sealed + late {
            let domain = self.summary(context.now, number);
            self.table.tell(Fact::Domain(domain.clone()));
            self.hear(context, domain);
            self.seal_tally(context, number, began + KNOWING);
        }
    }

    /// Seals the sums over pipelines and stages, where that is due, and goes on telling it after the sealer has changed.
    fn seal_tally(&mut self, context: &Context<'_>, number: u64, knowing: u64) {
        let version = Tally::version_at(number);
        let own = self.own.domain.clone();
        let known = self.tally(&own);
        let sealed = match known.filter(|known| known.version >= version) {
            Some(known) => known.clone(),
            // Right after a start the sums would lack nearly all instances, and stand for a minute.
            None if version < knowing => return,
            None => Tally {
                burns: self.burns(context.now),
                stages: self.stages(context.now),
                unheard: self.unheard(context.now),
                domain: own,
                version,
            },
        };
        self.table.tell(Fact::Tally(sealed.clone()));
        self.hear_tally(context, sealed);
    }

    /// Returns the number of the present period.
    pub(super) fn period(&self, context: &Context<'_>) -> u64 {
        let length = u64::try_from(self.config.domain_exchange_interval.as_millis()).unwrap_or(1);
        context.stamp.as_millis() / length.max(1)
    }

    pub(super) fn summary(&self, now: Tick, number: u64) -> Domain {
        let view = self.view(now);
        let near: Vec<&view::Peer> = view
            .peers
            .iter()
            .filter(|peer| peer.instance.domain == self.own.domain)
            .collect();
        let heard = near.iter().filter(|peer| peer.is_heard);
        let mut instances: Vec<Instance> = heard.map(|peer| peer.instance.clone()).collect();
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
            unheard: self.unheard(now),
            positions: self.positions(now),
        }
    }

    fn positions(&self, now: Tick) -> Vec<Position> {
        let told = self.heard_lately(now);
        let mut positions: Vec<Position> = told
            .filter_map(|fact| match fact {
                Fact::Position(position) => Some(*position),
                _ => None,
            })
            .collect();
        positions.sort_unstable_by_key(|one| (one.offset, one.digest));
        positions.dedup();
        positions
    }

    fn unheard(&self, now: Tick) -> u32 {
        let near = self
            .peers
            .iter()
            .filter(|peer| peer.instance.domain == self.own.domain);
        count(near.count() - self.near(now).count())
    }

    fn burns(&self, now: Tick) -> Vec<Burn> {
        let told = self.heard_lately(now).filter_map(|fact| match fact {
            Fact::Burn(burn) => Some(burn),
            _ => None,
        });
        let mut sums = Burn::sum(told);
        sums.retain(|sum| sum.long.total() > 0);
        sums
    }

    fn stages(&self, now: Tick) -> Vec<Stages> {
        Stages::sum(self.heard_lately(now).filter_map(|fact| match fact {
            Fact::Stages(stages) => Some(stages),
            _ => None,
        }))
    }

    /// Returns the facts of instances that were heard lately; what others counted is of another window.
    fn heard_lately(&self, now: Tick) -> impl Iterator<Item = &Fact> {
        let told = self.facts(now);
        told.filter(|(_, age, _)| *age <= self.config.peer_timeout)
            .map(|(_, _, fact)| fact)
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
