//! Exchanges of summaries between failure domains, by one instance of each.

use core::time::Duration;

use base::{Incarnation, Name, Tick};
use rand::seq::IndexedRandom;

use super::{Remote, Roster, saturating_sub};
use crate::{
    action::Action,
    event::Context,
    fact::{Domain, Fact, State, Subject, Suspect, Tally},
    rendezvous,
    summary::Summary,
    table::Origin,
};

/// The largest number of suspects in a message to another failure domain.
const MAX_SUSPECTS: usize = 64;
/// The largest number of leaving marks in a message to another failure domain.
const MAX_MARKS: usize = 64;
/// Instances of each other failure domain that get news; more than one, since one may have ended unnoticed.
const NEWS_TARGETS: usize = 2;
/// Periods by which a clock may be ahead; a summary with a later version is ignored.
const MAX_PERIODS_AHEAD: u64 = 2;

impl Roster {
    /// Exchanges summaries with the other failure domains that are assigned to this instance.
    pub(super) fn exchange_with_domains(
        &mut self,
        context: &mut Context<'_>,
        members: &[Incarnation],
    ) -> Vec<Action> {
        if context.now < self.next_due.domain_exchange {
            return Vec::new();
        }
        self.next_due.domain_exchange = context.now + self.time_to_exchange(context);
        let domains = self.other_domain_names();
        let own = Some(&self.own.incarnation);
        let is_assigned = |name: &&Name| {
            let key = [b"bridge/", name.as_str().as_bytes()].concat();
            rendezvous::owner(members, &key) == own
        };
        let mut actions = Vec::new();
        for name in domains.iter().filter(|name| !is_assigned(name)) {
            self.table.withdraw(&Subject::Domain(name.clone()));
            self.table.withdraw(&Subject::Tally(name.clone()));
        }
        for name in domains.iter().filter(is_assigned) {
            let summary = self.domain_summary(context.now);
            let addresses = self.choose_addresses(context, name, 1).into_iter();
            actions.extend(addresses.map(|address| Action::Exchange {
                address,
                summary: summary.clone(),
            }));
        }
        actions
    }

    /// Returns the time until the middle of the next period, when its summary is known throughout its domain.
    ///
    /// Exchanges near the start of a period would return the same summary twice, or skip one.
    fn time_to_exchange(&self, context: &Context<'_>) -> Duration {
        let length = u64::try_from(self.config.domain_exchange_interval.as_millis())
            .unwrap_or(1)
            .max(1);
        let elapsed = (context.stamp.as_millis() + length / 2) % length;
        Duration::from_millis(length - elapsed)
    }

    /// Builds the message of this failure domain to another one.
    pub(super) fn domain_summary(&self, now: Tick) -> Summary {
        let published = self.own_summary.as_ref().map(|one| one.domain.clone());
        // There is no published summary only right after a start.
        let domain = published.unwrap_or_else(|| self.build_summary(now, 0));
        let mut facts = vec![Fact::Domain(domain)];
        facts.extend(self.tally(&self.own.domain).cloned().map(Fact::Tally));
        facts.extend(self.suspects());
        let leaving = self.marks.recent(
            saturating_sub(now, self.config.domain_exchange_interval * 2),
            MAX_MARKS,
        );
        self.with_sender(&Summary {
            leaving,
            facts,
            ..Summary::default()
        })
    }

    /// Returns the suspects that changed last, each once.
    fn suspects(&self) -> Vec<Fact> {
        let facts = self.table.origins().iter().flat_map(Origin::facts);
        let mut suspects: Vec<_> = facts
            .filter(|(_, fact)| matches!(fact, Fact::Suspect(_)))
            .collect();
        suspects.sort_by_key(|(age, _)| *age);
        let mut facts: Vec<Fact> = Vec::new();
        for (_, fact) in suspects {
            if facts.len() < MAX_SUSPECTS && !facts.contains(fact) {
                facts.push(fact.clone());
            }
        }
        facts
    }

    /// Applies facts from another failure domain.
    pub(super) fn apply_domain_facts(
        &mut self,
        context: &Context<'_>,
        summary: &Summary,
    ) -> Vec<Action> {
        let origin = summary.sender;
        let mut deliveries = Vec::new();
        for fact in &summary.facts {
            match fact {
                Fact::Tally(tally) => self.apply_tally(context, tally.clone()),
                Fact::Domain(domain) => self.apply_domain(context, domain.clone()),
                fact => deliveries.push(Action::Deliver {
                    origin,
                    fact: fact.clone(),
                }),
            }
        }
        deliveries
    }

    /// Publishes in the own failure domain what another one answered about itself.
    ///
    /// Only the requesting side does so, since the other side sends its own requests.
    pub(super) fn publish_domain_facts(&mut self, summary: &Summary) {
        for fact in &summary.facts {
            let is_latest = match fact {
                Fact::Tally(tally) => self.tally(&tally.domain) == Some(tally),
                Fact::Domain(domain) => self.is_latest(domain),
                _ => false,
            };
            if is_latest {
                self.table.publish(fact.clone());
            }
        }
    }

    /// Sends news to the own failure domain, and to some instances of each other one, which forward it there.
    pub(super) fn broadcast(&self, context: &mut Context<'_>, news: &Summary) -> Vec<Action> {
        let mut actions = self.notify(context.now, news);
        for name in self.other_domain_names() {
            let addresses = self.choose_addresses(context, &name, NEWS_TARGETS);
            actions.extend(addresses.into_iter().map(|address| Action::Exchange {
                address,
                summary: self.with_sender(news),
            }));
        }
        actions
    }

    /// Forwards news from another failure domain within the own one.
    pub(super) fn forward(
        &mut self,
        now: Tick,
        summary: &Summary,
        leaving: Vec<Incarnation>,
    ) -> Vec<Action> {
        let suspects = summary.facts.iter().filter_map(|fact| match fact {
            Fact::Suspect(suspect) => self.merged_suspect(now, suspect).map(Fact::Suspect),
            _ => None,
        });
        let facts: Vec<Fact> = suspects.collect();
        facts
            .iter()
            .for_each(|fact| self.table.publish(fact.clone()));
        if leaving.is_empty() && facts.is_empty() {
            return Vec::new();
        }
        let news = Summary {
            leaving,
            facts,
            ..Summary::default()
        };
        self.notify(now, &news)
    }

    /// Returns whether a summary of another failure domain is the latest one known.
    fn is_latest(&self, domain: &Domain) -> bool {
        self.other_domains.iter().any(|one| one.domain == *domain)
    }

    /// Merges news of a suspect with what this failure domain knows; `None` if that contains the news.
    fn merged_suspect(&self, now: Tick, news: &Suspect) -> Option<Suspect> {
        let mut known = Suspect {
            digest: news.digest,
            crashed: Vec::new(),
            cleared: 0,
        };
        for (_, _, fact) in self.facts(now) {
            match fact {
                Fact::Suspect(suspect) if suspect.digest == news.digest => known.merge(suspect),
                _ => false,
            };
        }
        known.merge(news).then_some(known)
    }

    /// Applies the summary of a failure domain, if it is newer and not from the future.
    pub(super) fn apply_domain(&mut self, context: &Context<'_>, domain: Domain) {
        if domain.version > self.period(context) + MAX_PERIODS_AHEAD {
            return;
        }
        let remote = Remote {
            domain,
            received: context.now,
        };
        if remote.domain.name == self.own.domain {
            let known = self
                .own_summary
                .as_ref()
                .map_or(0, |one| one.domain.version);
            if remote.domain.version > known {
                self.own_summary = Some(remote);
            }
            return;
        }
        for instance in &remote.domain.instances {
            self.peers.insert(context.now, instance);
        }
        let name = &remote.domain.name;
        match self
            .other_domains
            .binary_search_by(|one| one.domain.name.cmp(name))
        {
            Ok(at) if self.other_domains[at].domain.version >= remote.domain.version => return,
            Ok(at) => self.other_domains[at] = remote,
            Err(at) => self.other_domains.insert(at, remote),
        }
        self.revision += 1;
    }

    /// Applies the sums of a failure domain, if they are newer and not from the future.
    pub(super) fn apply_tally(&mut self, context: &Context<'_>, tally: Tally) {
        if tally.version > self.period(context) + MAX_PERIODS_AHEAD {
            return;
        }
        match self
            .tallies
            .binary_search_by(|one| one.domain.cmp(&tally.domain))
        {
            Ok(at) if self.tallies[at].version >= tally.version => return,
            Ok(at) => self.tallies[at] = tally,
            Err(at) => self.tallies.insert(at, tally),
        }
        self.revision += 1;
    }

    /// Returns the latest sums of a failure domain.
    pub(super) fn tally(&self, domain: &Name) -> Option<&Tally> {
        let at = self.tallies.binary_search_by(|one| one.domain.cmp(domain));
        at.ok().map(|at| &self.tallies[at])
    }

    fn other_domain_names(&self) -> Vec<Name> {
        let listed = self.peers.iter().map(|peer| peer.instance.domain.clone());
        let summarized = self.other_domains.iter().map(|one| one.domain.name.clone());
        let mut names: Vec<Name> = listed
            .chain(summarized)
            .filter(|name| *name != self.own.domain)
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Chooses the addresses of some live instances of another failure domain, each once.
    fn choose_addresses(
        &self,
        context: &mut Context<'_>,
        domain: &Name,
        count: usize,
    ) -> Vec<Name> {
        let peers = self
            .peers
            .iter()
            .filter(|peer| peer.instance.domain == *domain);
        let live = peers.filter(|peer| peer.instance.state == State::Live);
        let all: Vec<&Name> = live.map(|peer| &peer.instance.address).collect();
        let chosen = all.sample(&mut *context.rng, count);
        chosen.map(|address| (*address).clone()).collect()
    }
}
