//! Follows servers that stopped answering until it is known whether they died.
//!
//! A content may make a server hang for seconds before it dies of it. Until then it counts as in
//! flight there, so that it is suspected when the server dies although nobody waits any longer.

use core::{net::SocketAddr, time::Duration};
use std::rc::Rc;

use backend::presence::{self, Presence};
use base::{Digest, Incarnation};
use retry::suspect::Outcome;
use tokio::time;

use crate::plane::{Plane, suspect};

/// How long a server that takes connections but says nothing is followed.
const LIMIT: Duration = Duration::from_secs(20);

/// The time limit of one look.
const LOOK: Duration = Duration::from_millis(500);

/// The pause between two looks.
const PACE: Duration = Duration::from_millis(200);

/// The servers followed, sorted, with the contents that got no answer there.
#[derive(Debug, Default)]
pub(crate) struct Doubts {
    servers: Vec<Doubt>,
}

#[derive(Debug)]
struct Doubt {
    server: Incarnation,
    contents: Vec<Digest>,
}

/// Notes a content as one that its server may be about to die of, and follows the server.
pub(crate) fn follow(
    plane: &Rc<Plane>,
    content: Digest,
    server: &Incarnation,
    address: SocketAddr,
) {
    suspect::doubt(plane, content, server);
    if !plane.inner.borrow_mut().doubts.add(server, content) {
        return;
    }
    let (plane, server) = (Rc::clone(plane), server.clone());
    actix_web::rt::spawn(async move {
        let lives = wait(&plane, &server, address).await;
        let contents = plane.inner.borrow_mut().doubts.take(&server);
        if !lives {
            return suspect::died(&plane, &server);
        }
        for content in contents {
            suspect::end(&plane, content, &server, Outcome::Other);
        }
    });
}

/// Waits until a server has shown whether it lives; one that cannot be reached may live on.
async fn wait(plane: &Plane, server: &Incarnation, address: SocketAddr) -> bool {
    let until = plane.shared.clock.tick() + LIMIT;
    while plane.shared.clock.tick() < until {
        match presence::probe(&plane.client, address, LOOK).await {
            Presence::Answered(report) => return suspect::is_life(&report.incarnation, server),
            Presence::Refused => return false,
            Presence::Unreachable => return true,
            Presence::Inconclusive => time::sleep(PACE).await,
        }
    }
    true
}

impl Doubts {
    /// Adds a content, and tells whether its server was not followed yet.
    fn add(&mut self, server: &Incarnation, content: Digest) -> bool {
        match self.find(server) {
            Ok(at) => {
                self.servers[at].contents.push(content);
                false
            }
            Err(at) => {
                let doubt = Doubt {
                    server: server.clone(),
                    contents: vec![content],
                };
                self.servers.insert(at, doubt);
                true
            }
        }
    }

    /// Ends to follow a server and returns its contents.
    fn take(&mut self, server: &Incarnation) -> Vec<Digest> {
        let Ok(at) = self.find(server) else {
            return Vec::new();
        };
        self.servers.remove(at).contents
    }

    fn find(&self, server: &Incarnation) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|doubt| doubt.server.cmp(server))
    }
}
