//! Keeps a content that crashed backend servers from crashing more.

use core::{net::SocketAddr, time::Duration};

use backend::presence::{self, Presence};
use base::{Digest, Incarnation};
use member::fact::Id;
use retry::{
    arbiter::Decision,
    suspect::{self, Outcome, Verdict},
};
use tokio::time;

use crate::{
    control::suspects::{Act, Ask},
    plane::Plane,
};

/// The time limit of finding out whether a server is still there.
const PROBE: Duration = Duration::from_millis(500);

/// The pause between two looks at a server that takes connections but does not answer.
const PROBE_PACE: Duration = Duration::from_millis(30);

/// How long such a server is looked at again, before it counts as one that lives.
const SETTLING: Duration = Duration::from_millis(1_500);

/// Names the content of a request, whatever its key.
pub(crate) fn content(account: &base::Name, pipeline: &base::Name, body: &Digest) -> Digest {
    suspect::content_digest(account, pipeline, body.as_bytes())
}

/// Tells how a content may run.
pub(crate) fn verdict(plane: &Plane, content: &Digest) -> Verdict {
    plane.shared.contents.register().verdict(content)
}

/// Waits until a content may run at a server, and tells whether it ever may.
pub(crate) async fn permit(plane: &Plane, content: Digest, server: &Incarnation) -> bool {
    loop {
        match verdict(plane, &content) {
            Verdict::Allowed => return true,
            Verdict::Refused => return false,
            Verdict::PermitOnly => {}
        }
        let ask = Ask {
            digest: content,
            server: Id::from_incarnation(server),
        };
        match plane.shared.suspects.send(ask).await {
            Ok(Decision::Free | Decision::Granted(_)) => return true,
            Ok(Decision::Refused) => return false,
            Ok(Decision::Busy(wait)) => time::sleep(wait).await,
            Err(_) => time::sleep(PROBE).await,
        }
    }
}

/// Takes note that an attempt at a content starts.
pub(crate) fn start(plane: &Plane, content: Digest, server: &Incarnation) {
    plane
        .shared
        .contents
        .register()
        .record_start(content, Id::from_incarnation(server));
}

/// Takes note that an attempt ended while its server lived on.
pub(crate) fn end(plane: &Plane, content: Digest, server: &Incarnation, end: Outcome) {
    let now = plane.shared.clock.tick();
    let mut register = plane.shared.contents.register();
    let actions = register.record_end(now, content, Id::from_incarnation(server), end);
    drop(register);
    act(plane, actions);
}

/// Takes note that an attempt got no answer while its server may be about to die of it.
pub(crate) fn doubt(plane: &Plane, content: Digest, server: &Incarnation) {
    let mut register = plane.shared.contents.register();
    register.mark_unresponsive(content, Id::from_incarnation(server));
}

/// Finds out whether a server died, and if so suspects every content that was in flight there.
pub(crate) async fn check(plane: &Plane, server: &Incarnation, address: SocketAddr) -> bool {
    if is_there(plane, server, address).await {
        return false;
    }
    died(plane, server);
    true
}

/// Suspects every content that was in flight at a server that died.
pub(crate) fn died(plane: &Plane, server: &Incarnation) {
    let now = plane.shared.clock.tick();
    let actions = plane
        .shared
        .contents
        .register()
        .record_server_death(now, Id::from_incarnation(server));
    act(plane, actions);
}

/// Only a refused connection, or another life that answers, shows that a server died: one that cannot be
/// reached may live on, and one that is going down takes or resets connections for a moment longer.
async fn is_there(plane: &Plane, server: &Incarnation, address: SocketAddr) -> bool {
    let until = plane.shared.clock.tick() + SETTLING;
    while plane.shared.clock.tick() < until {
        match presence::probe(&plane.client, address, PROBE).await {
            Presence::Answered(report) => return is_life(&report.incarnation, server),
            Presence::Refused => return false,
            Presence::Unreachable => return true,
            Presence::Inconclusive => time::sleep(PROBE_PACE).await,
        }
    }
    true
}

/// Tells whether the one that answers is the server called, or an earlier life that a late list names.
pub(crate) fn is_life(answering: &Incarnation, called: &Incarnation) -> bool {
    answering.name == called.name && answering.start <= called.start
}

fn act(plane: &Plane, actions: Vec<suspect::Action>) {
    if !actions.is_empty() {
        plane.shared.suspects.do_send(Act(actions));
    }
}
