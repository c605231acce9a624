//! Publishes the roster's view to the rest of the instance.

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
use crate::view::{self as shared, Group, Instance, Server};

impl Roster {
    /// Publishes instances and backend servers if they have changed.
    ///
    /// - Servers of this instance's failure domain come from the roster.
    /// - Servers of other failure domains come from the platform's list, which one instance of the failure
    ///   domain reads for all. A server counts as leaving if the list or a report says so.
    pub(super) fn publish(&mut self) {
        let now = self.clock.tick();
        let view = self.core.view(now);
        self.publish_servers(&view, now);
        self.publish_members(&view, now);
        self.publish_limit_peers(&view, now);
        self.publish_screen(&view);
    }

    /// Publishes the numbered view, computed from the summaries that failure domains have sealed.
    fn publish_screen(&mut self, view: &View) {
        for listing in self.core.list() {
            self.screen.add_domain(&listing.domain);
        }
        let domains = view.own.iter().chain(&view.domains);
        for domain in domains {
            self.screen.insert_summary(&domain.summary);
        }
        for tally in &view.tallies {
            self.screen.insert_tally(tally);
        }
        let screen_view = self.screen.view(self.clock.stamp()).map(Arc::new);
        self.screen_view.send_replace(screen_view);
    }

    /// Publishes the other instances, among which client accounts' limits are divided.
    ///
    /// Demand is published only within a failure domain. Instances of other domains count as
    /// unreachable, so that they keep a fixed share.
    fn publish_limit_peers(&self, view: &View, now: Tick) {
        let mut demands: Vec<(Id, Demand)> = self
            .core
            .facts(now)
            .filter_map(|(origin, _, fact)| match fact {
                Fact::Demand(demand) => Some((origin, to_demand(demand))),
                _ => None,
            })
            .collect();
        demands.sort_by(|(a, one), (b, two)| (a, &one.account).cmp(&(b, &two.account)));
        let limit_peers: Vec<Peer> = view
            .peers
            .iter()
            .filter(|peer| peer.instance.state == State::Live)
            .map(|peer| self.limit_peer(peer, &demands))
            .collect();
        self.limit_peers.send_replace(Arc::new(limit_peers));
    }

    fn limit_peer(&self, peer: &view::Peer, demands: &[(Id, Demand)]) -> Peer {
        let id = Id::from_incarnation(&peer.instance.incarnation);
        let start = demands.partition_point(|(origin, _)| *origin < id);
        let own = demands[start..]
            .iter()
            .take_while(|(origin, _)| *origin == id);
        Peer {
            domain: peer.instance.domain.clone(),
            is_reachable: peer.is_heard && peer.instance.domain == self.own.domain,
            demands: own.map(|(_, demand)| demand.clone()).collect(),
        }
    }

    fn publish_servers(&self, view: &View, now: Tick) {
        let local = view.pools.iter().flat_map(|pool| {
            let domain = &self.own.domain;
            pool.servers
                .iter()
                .filter_map(move |server| local_server(&pool.name, domain, server, now))
        });
        let remote = self
            .core
            .list()
            .iter()
            .filter_map(|listing| self.remote_server(listing));
        let mut servers: Vec<Server> = local.chain(remote).collect();
        servers.sort();
        self.servers.send_if_modified(|published| {
            if **published == servers {
                return false;
            }
            if published.len() != servers.len() {
                log::info!("number of known backend servers is now {}", servers.len());
            }
            *published = Arc::new(servers);
            true
        });
    }

    fn remote_server(&self, listing: &Listing) -> Option<Server> {
        let Role::Backend(pool) = &listing.role else {
            return None;
        };
        if listing.domain == self.own.domain {
            return None;
        }
        Some(Server {
            pool: pool.clone(),
            incarnation: listing.incarnation.clone(),
            domain: listing.domain.clone(),
            address: listing.address.as_str().parse().ok()?,
            leaving: listing.state == State::Leaving || self.core.is_leaving(&listing.incarnation),
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
            instances: self.instances(view, now),
        };
        self.members.send_if_modified(|published| {
            if **published == group {
                return false;
            }
            if published.names.len() != group.names.len() {
                log::info!(
                    "number of live entry instances in this failure domain is now {}",
                    group.names.len()
                );
            }
            *published = Arc::new(group);
            true
        });
        let mut addresses: Vec<Name> = view
            .peers
            .iter()
            .map(|peer| peer.instance.address.clone())
            .collect();
        addresses.sort_unstable();
        self.connections.retain(&addresses);
    }

    /// Returns the latest incarnation of every entry instance, and whether it is lost.
    ///
    /// Only peers of this instance's failure domain are monitored, so others never count as lost.
    fn instances(&self, view: &View, now: Tick) -> Vec<Instance> {
        let timeout = configs::roster::Roster::default().peer_timeout;
        let own = Instance {
            incarnation: self.own.incarnation.clone(),
            lost: false,
        };
        let stamp = self.clock.stamp();
        // A peer that has not been heard yet does not count as lost while it, or this instance, may have
        // just started.
        let is_new = |peer: &view::Peer| {
            let age = stamp - peer.instance.incarnation.start;
            peer.age.is_none() && (now < Tick::default() + timeout || age < timeout)
        };
        let peers = view.peers.iter().map(|peer| Instance {
            incarnation: peer.instance.incarnation.clone(),
            lost: peer.instance.domain == self.own.domain && !peer.is_heard && !is_new(peer),
        });
        let mut instances: Vec<Instance> = peers.chain([own]).collect();
        instances.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        // This instance's own incarnation replaces any other one under its name: the list may be stale.
        instances.dedup_by(|later, earlier| {
            let is_same = later.incarnation.name == earlier.incarnation.name;
            if is_same {
                *earlier = later.clone();
            }
            is_same
        });
        instances
    }
}

fn to_demand(demand: &fact::Demand) -> Demand {
    Demand {
        account: demand.account.clone(),
        rate: f64::from(demand.asked),
    }
}

fn local_server(pool: &Name, domain: &Name, server: &view::Server, now: Tick) -> Option<Server> {
    Some(Server {
        pool: pool.clone(),
        incarnation: server.incarnation.clone(),
        domain: domain.clone(),
        address: server.address.as_str().parse().ok()?,
        leaving: server.state == State::Leaving,
        load: server.load.map(|load| to_load(load, now)),
    })
}

fn to_load(load: Load, now: Tick) -> shared::Load {
    let age = u64::try_from(load.age.as_micros()).unwrap_or(u64::MAX);
    shared::Load {
        running: load.running,
        waiting: load.waiting,
        at: Tick::from_micros(now.as_micros().saturating_sub(age)),
    }
}
