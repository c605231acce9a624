//! The instance's side of the administration interface.

use core::time::Duration;
use std::sync::{Arc, atomic::Ordering};

use admin::view::{Demand, InFlight, Load, Server, Suspect, Verdict};
use base::{Digest, Name, Stamp, Tick, request::Id};
use bundle::{Bundle, Position};
use retry::suspect;

use crate::{shared::Shared, view};

/// The state of an instance for the administration interface.
pub(crate) struct Console {
    platform: platform::Http,
    shared: Shared,
}

impl Console {
    /// Returns the console of an instance.
    pub(crate) fn new(shared: Shared) -> Self {
        let settings = &shared.settings;
        let platform = platform::Http::open(&settings.platform, settings.platform_limit);
        Self { platform, shared }
    }

    fn age_ms(&self, at: Tick) -> u64 {
        millis(self.shared.clock.tick() - at)
    }

    fn server(&self, server: &view::Server) -> Server {
        let load = server.load.map(|load| Load {
            running: load.running,
            waiting: load.waiting,
            age_ms: self.age_ms(load.at),
        });
        Server {
            pool: server.pool.clone(),
            incarnation: Name::from(server.incarnation.to_string()),
            domain: server.domain.clone(),
            address: Name::from(server.address.to_string()),
            leaving: server.leaving,
            load,
        }
    }
}

impl admin::Service for Console {
    type Log = platform::Http;

    fn bundle(&self) -> Option<Arc<Bundle>> {
        self.shared.in_force.borrow().clone()
    }

    fn bundle_age_ms(&self) -> Option<u64> {
        let read_at = *self.shared.config_read_at.borrow();
        read_at.map(|at| self.age_ms(at))
    }

    fn domain(&self) -> Name {
        self.shared.settings.domain.clone()
    }

    fn new_request_id(&self) -> Id {
        Id::from_random(rand::random())
    }

    fn in_flight(&self) -> InFlight {
        let requests = self.shared.metrics.in_flight.get();
        InFlight {
            requests: u64::try_from(requests).unwrap_or_default(),
            with_background: self.shared.in_flight.load(Ordering::SeqCst) as u64,
            stopping: self.shared.is_stopping(),
        }
    }

    fn instance(&self) -> Name {
        Name::from(self.shared.incarnation.to_string())
    }

    fn log(&self) -> &Self::Log {
        &self.platform
    }

    fn now(&self) -> Stamp {
        self.shared.clock.stamp()
    }

    fn position(&self) -> Option<Position> {
        *self.shared.position.borrow()
    }

    fn root_keys(&self) -> Vec<Digest> {
        self.shared.settings.root_keys.clone()
    }

    fn servers(&self) -> Vec<Server> {
        let servers = self.shared.servers.borrow().clone();
        servers.iter().map(|server| self.server(server)).collect()
    }

    fn demands(&self) -> Vec<Demand> {
        let peers = self.shared.limit_peers.borrow().clone();
        let demands = peers.iter().flat_map(|peer| {
            peer.demands.iter().map(|demand| Demand {
                domain: peer.domain.clone(),
                heard: peer.is_reachable,
                account: demand.account.clone(),
                requests_per_second: demand.rate,
            })
        });
        demands.collect()
    }

    fn suspects(&self) -> Vec<Suspect> {
        let register = self.shared.contents.register();
        let contents = register.iter().map(|fact| Suspect {
            digest: fact.digest,
            crashed: fact.crashed.len() as u64,
            cleared: fact.cleared,
            verdict: match register.verdict(&fact.digest) {
                suspect::Verdict::PermitOnly => Verdict::Alone,
                suspect::Verdict::Allowed => Verdict::Free,
                suspect::Verdict::Refused => Verdict::Refused,
            },
        });
        contents.collect()
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
