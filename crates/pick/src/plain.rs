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
    let (candidates, reference) = {
        let usable = servers.filter(|server| {
            !cx.tried.contains(&server.id) && !fleet.is_blocked(cx.now, &server.id)
        });
        let rated = usable.map(|server| (server, fleet.speeds.reading(cx.now, &server.id)));
        let rated: Vec<_> = rated.collect();
        let reference = reference(cx.rng, rated.iter().map(|(_, ratio)| *ratio));
        (rated, reference)
    };
    let mut best: Option<(f64, &Rc<Server>)> = None;
    for (at, (server, ratio)) in candidates.into_iter().enumerate() {
        let cost = cost(fleet, cx, server, credit(reference, at, ratio));
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, server));
        }
    }
    best.map(|(_, server)| server)
}

/// `credit` is the ratio to the usual time that the server is expected to take for new work, and whether the request
/// was drawn for it.
fn cost<R: Rng>(
    fleet: &Fleet,
    cx: &mut Context<'_, R>,
    server: &Server,
    (ratio, is_reference): (f64, bool),
) -> f64 {
    let config = &fleet.config;
    let default_ms = config.default_latency_ms * ratio;
    let momentary = fleet.speeds.momentary(cx.now, &server.id);
    let (latency, running, failures) = match fleet.get(&server.id) {
        Some(stats) => (
            stats.latency_ms(cx.now, config, momentary, default_ms),
            stats.running,
            stats.failures(cx.now, config),
        ),
        None => (default_ms, 0, 0.0),
    };
    let (_, peer_running) = fleet.peer_load(cx.now, &server.id);
    let running = running.saturating_add(peer_running);
    let utilization = f64::from(running) / f64::from(server.slots.max(1));
    let domain_penalty = if server.domain == *cx.domain {
        0.0
    } else {
        config.remote_domain_penalty_ms
    };
    let jitter = jitter(config.jitter, cx.rng, is_reference);
    (latency * (1.0 + utilization) + domain_penalty) * jitter + config.failure_penalty_ms * failures
}

/// The exponent with which the speed of a server raises its chance to be drawn. With 1, servers of an idle pool would
/// get work in proportion to their speed; with more, the busiest would get more than twice its share sooner.
const SPEED_EXPONENT: f64 = 1.5;

/// The ratios within which servers count as equal; the jitter spreads the requests over them.
const EVEN: core::ops::Range<f64> = 0.9..1.1;

/// Draws a server by speed from those with the given ratios of time, unless all are equal. Returns its position and ratio.
///
/// New work at other servers is expected to take at least as long as at this one, so that instances that know the same
/// don't all choose the fastest server.
pub(crate) fn reference<R: Rng>(
    rng: &mut R,
    ratios: impl Iterator<Item = f64> + Clone,
) -> Option<(usize, f64)> {
    if ratios.clone().all(|ratio| EVEN.contains(&ratio)) {
        return None;
    }
    let weight = |ratio: f64| ratio.powf(-SPEED_EXPONENT);
    let total: f64 = ratios.clone().map(weight).sum();
    let mut draw = rng.random::<f64>() * total;
    for (at, ratio) in ratios.enumerate() {
        draw -= weight(ratio);
        if draw <= 0.0 {
            return Some((at, ratio));
        }
    }
    None
}

/// Returns the ratio with which new work counts at a server, and whether the server was drawn.
pub(crate) fn credit(reference: Option<(usize, f64)>, at: usize, ratio: f64) -> (f64, bool) {
    match reference {
        Some((drawn, lowest)) => (ratio.max(lowest), drawn == at),
        None => (ratio, false),
    }
}

/// Returns the factor by which the cost of a server is raised at random. The one that was drawn is not raised, so that it
/// wins among equals.
pub(crate) fn jitter<R: Rng>(range: f64, rng: &mut R, is_reference: bool) -> f64 {
    let draw = rng.random::<f64>();
    if is_reference {
        1.0
    } else {
        1.0 + range * draw
    }
}
