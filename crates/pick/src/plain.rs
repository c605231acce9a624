//! Selection among servers that answer requests.

use std::rc::Rc;

use base::{Name, Tick};
use rand::{Rng, RngExt};
use site::roster::Server;

use crate::Fleet;

/// The inputs of a selection.
#[derive(Debug)]
pub struct Context<'a, R> {
    /// The current time.
    pub now: Tick,
    /// The failure domain of the local instance.
    pub domain: &'a Name,
    /// The servers that the request was already sent to.
    pub tried: &'a [Name],
    /// The source of randomness.
    pub rng: &'a mut R,
}

/// Returns the server with the lowest expected latency, or none if all are blocked or were tried.
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
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, server));
        }
    }
    best.map(|(_, server)| server)
}

fn cost<R: Rng>(fleet: &Fleet, cx: &mut Context<'_, R>, server: &Server) -> f64 {
    let config = &fleet.config;
    let (latency, running, failures) = match fleet.get(&server.id) {
        Some(stats) => (
            stats.latency_ms(cx.now, config),
            stats.running,
            stats.failures(cx.now, config),
        ),
        None => (config.default_latency_ms, 0, 0.0),
    };
    let utilization = f64::from(running) / f64::from(server.slots.max(1));
    let domain_penalty = if server.domain == *cx.domain {
        0.0
    } else {
        config.remote_domain_penalty_ms
    };
    let jitter = 1.0 + config.jitter * cx.rng.random::<f64>();
    (latency * (1.0 + utilization) + domain_penalty) * jitter + config.failure_penalty_ms * failures
}
