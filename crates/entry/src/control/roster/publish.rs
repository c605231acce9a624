//! What the roster tells the rest of its instance.

use std::sync::Arc;

use admit::limit::{Demand, Peer};
use base::{Incarnation, Name, Tick};
use member::{
    Fact, View, configs,
    event::{Listing, Role},
    fact::{self, Id, Load, State},
    view,
};

use super::Roster;
use crate::view::{self as shared, Group, Known, Server};

impl Roster {
    /// Publishes instances and backend servers, where they have changed.
    ///
    /// - Servers of the own failure domain come from the roster.
    /// - Servers of other failure domains come from the platform's list, which one instance of the failure
    ///   domain reads for all, as far as nothing says
    ///   that they are leaving.
    pub(super) fn publish(&mut self) {
        let now = self.clock.tick();
        let view = self.core.view(now);
        self.publish_servers(&view, now);
        self.publish_members(&view, now);
        self.publish_rivals(&view, now);
        self.publish_screen(&view);
    }

    /// Publishes the numbered view, from the summaries that failure domains have sealed.
    fn publish_screen(&mut self, view: &View) {
        for line in self.core.list() {
            self.screen.add_domain(&line.domain);
        }
        let domains = view.own.iter().chain(&view.domains);
        for domain in domains {
            self.screen.insert_summary(&domain.summary);
        }
        for tally in &view.tallies {
            self.screen.insert_tally(tally);
        }
        let shown = self.screen.view(self.clock.stamp()).map(Arc::new);
        self.screen_view.send_replace(shown);
    }

    /// Publishes the other instances, among which client accounts' limits are shared.
    ///
    /// Demand is told within a failure domain. Another one counts as if nobody of it were heard, so
    /// that it keeps a fixed share.
    fn publish_rivals(&self, view: &View, now: Tick) {
        let mut demands: Vec<(Id, Demand)> = self
            .core
            .facts(now)
            .filter_map(|(origin, _, fact)| match fact {
                Fact::Demand(demand) => Some((origin, told(demand))),
                _ => None,
            })
            .collect();
        demands.sort_by(|(a, one), (b, two)| (a, &one.account).cmp(&(b, &two.account)));
        let rivals: Vec<Peer> = view
            .peers
            .iter()
            .filter(|peer| peer.instance.state == State::Live)
            .map(|peer| self.rival(peer, &demands))
            .collect();
        self.rivals.send_replace(Arc::new(rivals));
    }

    fn rival(&self, peer: &view::Peer, demands: &[(Id, Demand)]) -> Peer {
        let id = Id::from_incarnation(&peer.instance.incarnation);
        let from = demands.partition_point(|(origin, _)| *origin < id);
        let own = demands[from..]
            .iter()
            .take_while(|(origin, _)| *origin == id);
        Peer {
            domain: peer.instance.domain.clone(),
            is_reachable: peer.is_heard && peer.instance.domain == self.own.domain,
            demands: own.map(|(_, demand)| demand.clone()).collect(),
        }
    }

    fn publish_servers(&self, view: &View, now: Tick) {
        let near = view.pools.iter().flat_map(|pool| {
            let domain = &self.own.domain;
            pool.servers
                .iter()
                .filter_map(move |server| near(&pool.name, domain, server, now))
        });
        let far = self.core.list().iter().filter_map(|line| self.far(line));
        let mut servers: Vec<Server> = near.chain(far).collect();
        servers.sort();
        self.servers.send_if_modified(|known| {
            if **known == servers {
                return false;
            }
            if known.len() != servers.len() {
                log::info!("backend servers known: {}", servers.len());
            }
            *known = Arc::new(servers);
            true
        });
    }

    fn far(&self, line: &Listing) -> Option<Server> {
        let Role::Backend(pool) = &line.role else {
            return None;
        };
        if line.domain == self.own.domain {
            return None;
        }
        Some(Server {
            pool: pool.clone(),
            incarnation: line.incarnation.clone(),
            domain: line.domain.clone(),
            address: line.address.as_str().parse().ok()?,
            leaving: line.state == State::Leaving || self.core.is_leaving(&line.incarnation),
            load: None,
        })
    }

    fn publish_members(&self, view: &View, now: Tick) {
        let names = self.core.members(now);
        let address = |name: &Incarnation| {
            if *name == self.own.incarnation {
                return self.own.address.clone();
            }
            let peer = view
                .peers
                .iter()
                .find(|peer| peer.instance.incarnation == *name);
            peer.map_or_else(Name::default, |peer| peer.instance.address.clone())
        };
        let addresses = names.iter().map(address).collect();
        let group = Group {
            names,
            addresses,
            known: self.known(view, now),
        };
        self.members.send_if_modified(|known| {
            if **known == group {
                return false;
            }
            if known.names.len() != group.names.len() {
                log::info!(
                    "entry instances of the failure domain: {}",
                    group.names.len()
                );
            }
            *known = Arc::new(group);
            true
        });
        let mut addresses: Vec<Name> = view
            .peers
            .iter()
            .map(|peer| peer.instance.address.clone())
            .collect();
        addresses.sort_unstable();
        self.lines.retain(&addresses);
    }

    /// Returns the latest life of every entry instance, and whether it was lost.
    ///
    /// Only instances of the own failure domain are heard, so one of another is never lost.
    fn known(&self, view: &View, now: Tick) -> Vec<Known> {
        let patience = configs::roster::Roster::default().peer_timeout;
        let own = Known {
            incarnation: self.own.incarnation.clone(),
            lost: false,
        };
        let stamp = self.clock.stamp();
        // One that was never heard may just have started, or this one has.
        let new = |peer: &view::Peer| {
            let age = stamp - peer.instance.incarnation.start;
            peer.age.is_none() && (now < Tick::default() + patience || age < patience)
        };
        let peers = view.peers.iter().map(|peer| Known {
            incarnation: peer.instance.incarnation.clone(),
            lost: peer.instance.domain == self.own.domain && !peer.is_heard && !new(peer),
        });
        let mut known: Vec<Known> = peers.chain([own]).collect();
        known.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        // The own name is this life's, whatever a list still says.
        known.dedup_by(|later, earlier| {
            let same = later.incarnation.name == earlier.incarnation.name;
            if same {
                *earlier = later.clone();
            }
            same
        });
        known
    }
}

fn told(demand: &fact::Demand) -> Demand {
    Demand {
        account: demand.account.clone(),
        rate: f64::from(demand.asked),
    }
}

fn near(pool: &Name, domain: &Name, server: &view::Server, now: Tick) -> Option<Server> {
    Some(Server {
        pool: pool.clone(),
        incarnation: server.incarnation.clone(),
        domain: domain.clone(),
        address: server.address.as_str().parse().ok()?,
        leaving: server.state == State::Leaving,
        load: server.load.map(|load| reported(load, now)),
    })
}

fn reported(load: Load, now: Tick) -> shared::Load {
    let age = u64::try_from(load.age.as_micros()).unwrap_or(u64::MAX);
    shared::Load {
        running: load.running,
        waiting: load.waiting,
        at: Tick::from_micros(now.as_micros().saturating_sub(age)),
    }
}
