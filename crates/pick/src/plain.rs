//! Choice among servers that answer requests.

use std::rc::Rc;

use base::{Name, Tick};
use rand::{Rng, RngExt};
use site::roster::Server;

use crate::Fleet;

/// What a choice may see.
#[derive(Debug)]
pub struct Context<'a, R> {
    /// The present instant.
    pub now: Tick,
    /// The failure domain of the instance.
    pub domain: &'a Name,
    /// Servers that the request was sent to before.
    pub tried: &'a [Name],
    /// The source of chance.
    pub rng: &'a mut R,
}

/// Returns the server with the least expected time, none if all are blocked or were tried.
///
/// # Examples
///
/// ```
/// use base::Tick;
/// use pick::{Fleet, plain};
/// use rand::{SeedableRng, rngs::SmallRng};
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut cx = plain::Context { now: Tick::default(), domain: &"a".into(), tried: &[], rng: &mut rng };
/// assert!(plain::choose(&Fleet::default(), &mut cx, [].iter()).is_none());
/// ```
pub fn choose<'a, R: Rng>(
    fleet: &Fleet,
    cx: &mut Context<'_, R>,
    servers: impl Iterator<Item = &'a Rc<Server>>,
) -> Option<&'a Rc<Server>> {
    let mut best: Option<(f64, &Rc<Server>)> = None;
    for server in servers {
        if cx.tried.contains(&server.id) || fleet.is_blocked(cx.now, &server.id) {
            continue;
        }
        let cost = cost(fleet, cx, server);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, server));
        }
    }
    best.map(|(_, server)| server)
}

fn cost<R: Rng>(fleet: &Fleet, cx: &mut Context<'_, R>, server: &Server) -> f64 {
    let config = &fleet.config;
    let (usual, running, failures) = match fleet.get(&server.id) {
        Some(seen) => (
            seen.usual_ms(cx.now, config),
            seen.running,
            seen.failures(cx.now, config),
        ),
        None => (config.default_latency_ms, 0, 0.0),
    };
    let busy = f64::from(running) / f64::from(server.slots.max(1));
    let away = if server.domain == *cx.domain {
        0.0
    } else {
        config.remote_domain_penalty_ms
    };
    let chance = 1.0 + config.jitter * cx.rng.random::<f64>();
    (usual * (1.0 + busy) + away) * chance + config.failure_penalty_ms * failures
}
