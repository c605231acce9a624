//! Restricts content that crashed backend servers, so that it crashes no more of them.

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
    control::suspects::{Execute, RequestPermit},
    plane::Plane,
};

/// The time limit of one liveness probe, and the wait before a failed permit request is repeated.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause between two probes of a server that accepts connections but does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);

/// How long a server that accepts connections but does not answer is probed before it counts as
/// alive.
const PROBE_PERIOD: Duration = Duration::from_millis(1_500);

/// Returns the digest of a request's content, which does not depend on its key.
pub(crate) fn content_digest(account: &base::Name, pipeline: &base::Name, body: &Digest) -> Digest {
    suspect::content_digest(account, pipeline, body.as_bytes())
}

/// Returns how content may run.
pub(crate) fn verdict(plane: &Plane, content: &Digest) -> Verdict {
    plane.shared.contents.register().verdict(content)
}

/// Waits until content may run at a server; returns `false` if it is refused.
pub(crate) async fn wait_for_permit(plane: &Plane, content: Digest, server: &Incarnation) -> bool {
    loop {
        match verdict(plane, &content) {
            Verdict::Allowed => return true,
            Verdict::Refused => return false,
            Verdict::PermitOnly => {}
        }
        let request = RequestPermit {
            digest: content,
            server: Id::from_incarnation(server),
        };
        match plane.shared.suspects.send(request).await {
            Ok(Decision::Free | Decision::Granted(_)) => return true,
            Ok(Decision::Refused) => return false,
            Ok(Decision::Busy(wait)) => time::sleep(wait).await,
            Err(_) => time::sleep(PROBE_TIMEOUT).await,
        }
    }
}

/// Records that an attempt with this content starts.
pub(crate) fn record_start(plane: &Plane, content: Digest, server: &Incarnation) {
    plane
        .shared
        .contents
        .register()
        .record_start(content, Id::from_incarnation(server));
}

/// Records that an attempt ended and its server stayed alive.
pub(crate) fn record_end(plane: &Plane, content: Digest, server: &Incarnation, outcome: Outcome) {
    let now = plane.shared.clock.tick();
    let mut register = plane.shared.contents.register();
    let actions = register.record_end(now, content, Id::from_incarnation(server), outcome);
    drop(register);
    execute(plane, actions);
}

/// Records that an attempt got no answer and that its server may be about to crash.
pub(crate) fn mark_unresponsive(plane: &Plane, content: Digest, server: &Incarnation) {
    let mut register = plane.shared.contents.register();
    register.mark_unresponsive(content, Id::from_incarnation(server));
}

/// Returns whether a server is dead; if so, all content in flight there becomes suspect.
pub(crate) async fn check_dead(plane: &Plane, server: &Incarnation, address: SocketAddr) -> bool {
    if is_alive(plane, server, address).await {
        return false;
    }
    record_death(plane, server);
    true
}

/// Marks all content in flight at a dead server as suspect.
pub(crate) fn record_death(plane: &Plane, server: &Incarnation) {
    let now = plane.shared.clock.tick();
    let actions = plane
        .shared
        .contents
        .register()
        .record_server_death(now, Id::from_incarnation(server));
    execute(plane, actions);
}

/// Returns whether a server is alive. Only a refused connection or an answer from a later incarnation
/// shows that it died: an unreachable server may be alive, and one that is shutting down accepts or
/// resets connections for a moment longer.
async fn is_alive(plane: &Plane, server: &Incarnation, address: SocketAddr) -> bool {
    let until = plane.shared.clock.tick() + PROBE_PERIOD;
    while plane.shared.clock.tick() < until {
        match presence::probe(&plane.client, address, PROBE_TIMEOUT).await {
            Presence::Answered(report) => return is_same_server(&report.incarnation, server),
            Presence::Refused => return false,
            Presence::Unreachable => return true,
            Presence::Inconclusive => time::sleep(PROBE_INTERVAL).await,
        }
    }
    true
}

/// Returns whether the answering server is the one that was called, or an earlier incarnation of it:
/// the list of servers may be stale.
pub(crate) fn is_same_server(answering: &Incarnation, called: &Incarnation) -> bool {
    answering.name == called.name && answering.start <= called.start
}

fn execute(plane: &Plane, actions: Vec<suspect::Action>) {
    if !actions.is_empty() {
        plane.shared.suspects.do_send(Execute(actions));
    }
}
