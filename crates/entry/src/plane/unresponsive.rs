//! Watches servers that stopped answering until it is known whether they died.
//!
//! Content can make a server hang for seconds before it crashes. Until then the content counts as in
//! flight there, so that it becomes suspect if the server dies after the request has ended.

use core::{net::SocketAddr, time::Duration};
use std::rc::Rc;

use backend::presence::{self, Presence};
use base::{Digest, Incarnation};
use retry::suspect::Outcome;
use tokio::time;

use crate::plane::{Plane, suspect};

/// How long a server that accepts connections but does not answer is watched.
const WATCH_PERIOD: Duration = Duration::from_secs(20);

/// The timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// The watched servers, sorted, each with the content that got no answer there.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    servers: Vec<Server>,
}

#[derive(Debug)]
struct Server {
    server: Incarnation,
    contents: Vec<Digest>,
}

/// Marks content as in flight at an unresponsive server, and watches the server.
pub(crate) fn watch(plane: &Rc<Plane>, content: Digest, server: &Incarnation, address: SocketAddr) {
    suspect::mark_unresponsive(plane, content, server);
    if !plane
        .inner
        .borrow_mut()
        .unresponsive
        .insert(server, content)
    {
        return;
    }
    let (plane, server) = (Rc::clone(plane), server.clone());
    actix_web::rt::spawn(async move {
        let is_alive = wait_for_result(&plane, &server, address).await;
        let contents = plane.inner.borrow_mut().unresponsive.remove(&server);
        if !is_alive {
            return suspect::record_death(&plane, &server);
        }
        for content in contents {
            suspect::record_end(&plane, content, &server, Outcome::Other);
        }
    });
}

/// Waits until it is known whether a server is alive; an unreachable server counts as alive.
async fn wait_for_result(plane: &Plane, server: &Incarnation, address: SocketAddr) -> bool {
    let until = plane.shared.clock.tick() + WATCH_PERIOD;
    while plane.shared.clock.tick() < until {
        match presence::probe(&plane.client, address, PROBE_TIMEOUT).await {
            Presence::Answered(report) => {
                return suspect::is_same_server(&report.incarnation, server);
            }
            Presence::Refused => return false,
            Presence::Unreachable => return true,
            Presence::Inconclusive => time::sleep(PROBE_INTERVAL).await,
        }
    }
    true
}

impl Servers {
    /// Adds content; returns whether its server was not watched before.
    fn insert(&mut self, server: &Incarnation, content: Digest) -> bool {
        match self.find(server) {
            Ok(at) => {
                self.servers[at].contents.push(content);
                false
            }
            Err(at) => {
                let entry = Server {
                    server: server.clone(),
                    contents: vec![content],
                };
                self.servers.insert(at, entry);
                true
            }
        }
    }

    /// Stops watching a server and returns its content.
    fn remove(&mut self, server: &Incarnation) -> Vec<Digest> {
        let Ok(at) = self.find(server) else {
            return Vec::new();
        };
        self.servers.remove(at).contents
    }

    fn find(&self, server: &Incarnation) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|entry| entry.server.cmp(server))
    }
}
