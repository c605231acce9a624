//! Summaries between failure domains, carried by one instance of each.

use core::time::Duration;

use base::{Incarnation, Name, Tick};
use rand::seq::IndexedRandom;

use super::{Remote, Roster, earlier};
use crate::{
    action::Action,
    event::Context,
    fact::{Domain, Fact, State, Subject, Suspect, Tally},
    rendezvous,
    summary::Summary,
    table::Origin,
};

/// Suspects that go to another failure domain at a time.
const SUSPECTS: usize = 64;
/// Leaving marks that go to another failure domain at a time.
const MARKS: usize = 64;
/// Instances of another failure domain that news goes to, as one of them may be gone unnoticed.
const DOORS: usize = 2;
/// Periods by which a clock may be ahead; a summary from further on is not believed.
const AHEAD: u64 = 2;

impl Roster {
    /// Exchanges summaries with each other failure domain for which this instance holds the role.
    pub(super) fn bridges(
        &mut self,
        context: &mut Context<'_>,
        members: &[Incarnation],
    ) -> Vec<Action> {
        if context.now < self.next.bridge {
            return Vec::new();
        }
        self.next.bridge = context.now + self.until_bridge(context);
        let domains = self.abroad_names();
        let own = Some(&self.own.incarnation);
        let mine = |name: &&Name| {
            let key = [b"bridge/", name.as_str().as_bytes()].concat();
            rendezvous::owner(members, &key) == own
        };
        let mut actions = Vec::new();
        for name in domains.iter().filter(|name| !mine(name)) {
            self.table.withdraw(&Subject::Domain(name.clone()));
            self.table.withdraw(&Subject::Tally(name.clone()));
        }
        for name in domains.iter().filter(mine) {
            let summary = self.abroad(context.now);
            let doors = self.doors(context, name, 1).into_iter();
            actions.extend(doors.map(|address| Action::Exchange {
                address,
                summary: summary.clone(),
            }));
        }
        actions
    }

    /// Returns the time until the middle of the next period, when its summaries are known in their domains.
    ///
    /// An exchange near the start of the periods would get now the last summary, now the next but one.
    fn until_bridge(&self, context: &Context<'_>) -> Duration {
        let length = u64::try_from(self.config.domain_exchange_interval.as_millis())
            .unwrap_or(1)
            .max(1);
        let past = (context.stamp.as_millis() + length / 2) % length;
        Duration::from_millis(length - past)
    }

    /// Builds what this failure domain says to another one.
    pub(super) fn abroad(&self, now: Tick) -> Summary {
        let sealed = self.sealed.as_ref().map(|one| one.domain.clone());
        // Nothing is sealed yet only right after a start.
        let domain = sealed.unwrap_or_else(|| self.summary(now, 0));
        let mut facts = vec![Fact::Domain(domain)];
        facts.extend(self.tally(&self.own.domain).cloned().map(Fact::Tally));
        facts.extend(self.suspects());
        let leaving = self.marks.recent(
            earlier(now, self.config.domain_exchange_interval * 2),
            MARKS,
        );
        self.signed(&Summary {
            leaving,
            facts,
            ..Summary::default()
        })
    }

    /// Returns the suspects that changed last, each once.
    fn suspects(&self) -> Vec<Fact> {
        let told = self.table.origins().iter().flat_map(Origin::facts);
        let mut suspects: Vec<_> = told
            .filter(|(_, fact)| matches!(fact, Fact::Suspect(_)))
            .collect();
        suspects.sort_by_key(|(age, _)| *age);
        let mut facts: Vec<Fact> = Vec::new();
        for (_, fact) in suspects {
            if facts.len() < SUSPECTS && !facts.contains(fact) {
                facts.push(fact.clone());
            }
        }
        facts
    }

    /// Takes in facts from another failure domain.
    pub(super) fn adopt(&mut self, context: &Context<'_>, summary: &Summary) -> Vec<Action> {
        let origin = summary.sender;
        let mut learned = Vec::new();
        for fact in &summary.facts {
            match fact {
                Fact::Tally(tally) => self.hear_tally(context, tally.clone()),
                Fact::Domain(domain) => self.hear(context, domain.clone()),
                fact => learned.push(Action::Deliver {
                    origin,
                    fact: fact.clone(),
                }),
            }
        }
        learned
    }

    /// Tells the own failure domain what another one answered about itself.
    ///
    /// Only the asking side does so: the other side asks by itself.
    pub(super) fn carry(&mut self, summary: &Summary) {
        for fact in &summary.facts {
            let latest = match fact {
                Fact::Tally(tally) => self.tally(&tally.domain) == Some(tally),
                Fact::Domain(domain) => self.latest(domain),
                _ => false,
            };
            if latest {
                self.table.tell(fact.clone());
            }
        }
    }

    /// Sends news to the own failure domain, and to some instances of each other one, which pass it on there.
    pub(super) fn spread(&self, context: &mut Context<'_>, news: &Summary) -> Vec<Action> {
        let mut actions = self.notify(context.now, news);
        for name in self.abroad_names() {
            let doors = self.doors(context, &name, DOORS);
            actions.extend(doors.into_iter().map(|address| Action::Exchange {
                address,
                summary: self.signed(news),
            }));
        }
        actions
    }

    /// Passes on what came from another failure domain and is new in the own one.
    pub(super) fn pass_on(
        &mut self,
        now: Tick,
        summary: &Summary,
        leaving: Vec<Incarnation>,
    ) -> Vec<Action> {
        let suspects = summary.facts.iter().filter_map(|fact| match fact {
            Fact::Suspect(suspect) => self.suspect(now, suspect).map(Fact::Suspect),
            _ => None,
        });
        let facts: Vec<Fact> = suspects.collect();
        facts.iter().for_each(|fact| self.table.tell(fact.clone()));
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

    /// Tells whether a summary of another failure domain is the latest one known.
    fn latest(&self, domain: &Domain) -> bool {
        self.domains.iter().any(|one| one.domain == *domain)
    }

    /// Joins news of a suspect content with what this failure domain knows; none where it knows that already.
    fn suspect(&self, now: Tick, news: &Suspect) -> Option<Suspect> {
        let mut known = Suspect {
            digest: news.digest,
            crashed: Vec::new(),
            cleared: 0,
        };
        for (_, _, fact) in self.facts(now) {
            match fact {
                Fact::Suspect(told) if told.digest == news.digest => known.merge(told),
                _ => false,
            };
        }
        known.merge(news).then_some(known)
    }

    /// Takes in what a failure domain says of itself, where it is newer and not of the future.
    pub(super) fn hear(&mut self, context: &Context<'_>, domain: Domain) {
        if domain.version > self.period(context) + AHEAD {
            return;
        }
        let remote = Remote {
            domain,
            heard: context.now,
        };
        if remote.domain.name == self.own.domain {
            let known = self.sealed.as_ref().map_or(0, |one| one.domain.version);
            if remote.domain.version > known {
                self.sealed = Some(remote);
            }
            return;
        }
        for instance in &remote.domain.instances {
            self.peers.place(context.now, instance);
        }
        let name = &remote.domain.name;
        match self
            .domains
            .binary_search_by(|one| one.domain.name.cmp(name))
        {
            Ok(at) if self.domains[at].domain.version >= remote.domain.version => return,
            Ok(at) => self.domains[at] = remote,
            Err(at) => self.domains.insert(at, remote),
        }
        self.revision += 1;
    }

    /// Takes in the sums of a failure domain, where they are newer and not of the future.
    pub(super) fn hear_tally(&mut self, context: &Context<'_>, tally: Tally) {
        if tally.version > self.period(context) + AHEAD {
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

    /// Returns the sums of a failure domain, as last heard.
    pub(super) fn tally(&self, domain: &Name) -> Option<&Tally> {
        let at = self.tallies.binary_search_by(|one| one.domain.cmp(domain));
        at.ok().map(|at| &self.tallies[at])
    }

    fn abroad_names(&self) -> Vec<Name> {
        let listed = self.peers.iter().map(|peer| peer.instance.domain.clone());
        let told = self.domains.iter().map(|one| one.domain.name.clone());
        let mut names: Vec<Name> = listed
            .chain(told)
            .filter(|name| *name != self.own.domain)
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Chooses instances of another failure domain, each once.
    fn doors(&self, context: &mut Context<'_>, domain: &Name, count: usize) -> Vec<Name> {
        let there = self
            .peers
            .iter()
            .filter(|peer| peer.instance.domain == *domain);
        let live = there.filter(|peer| peer.instance.state == State::Live);
        let all: Vec<&Name> = live.map(|peer| &peer.instance.address).collect();
        let chosen = all.sample(&mut *context.rng, count);
        chosen.map(|address| (*address).clone()).collect()
    }
}
