//! Picks the candidate on which an attempt is expected to end soonest.

use core::time::Duration;

use base::Code;
use rand::RngExt;

use crate::{
    configs::Config,
    health::Use,
    pool::Pool,
    state::State,
    table::{Ask, Context, Error, Pick},
};

/// Picks a server of a pool.
pub(crate) fn choose(
    config: &Config,
    pool: &Pool,
    cx: &mut Context<'_>,
    ask: &Ask<'_>,
) -> Result<Pick, Error> {
    if let Some(until) = pool.down_until(cx.now) {
        return Err(refuse(config, cx, until - cx.now));
    }
    let (mut local, mut remote) = usable(pool, cx, ask, |state| state.usable(config, cx.now));
    if local.is_empty() && remote.is_empty() {
        // Where every server is new, what the gate let in has nowhere else to go.
        (local, remote) = usable(pool, cx, ask, |state| state.allowed(cx.now));
    }
    let settings = &config.choose;
    let (near, far) = if ask.prefix.is_some() {
        (settings.beside_holders, settings.beside_holders)
    } else {
        (settings.local, settings.remote)
    };
    let mut candidates = sample(cx.rng, &local, near);
    candidates.extend(sample(cx.rng, &remote, far));
    candidates.extend(holders(config, cx.rng, pool, ask, &local, &remote));
    let home = home(pool, ask, &local, &remote);
    candidates.extend(home);
    let best = candidates
        .into_iter()
        .map(|at| (at, score(config, pool, cx, ask, at, home == Some(at))))
        .min_by(|a, b| a.1.total_cmp(&b.1));
    let Some((at, _)) = best else {
        return Err(unavailable(config, pool, cx));
    };
    Ok(pick(config, pool, cx, ask, &pool.servers[at]))
}

fn usable(
    pool: &Pool,
    cx: &Context<'_>,
    ask: &Ask<'_>,
    may: impl Fn(&State) -> bool,
) -> (Vec<usize>, Vec<usize>) {
    (0..pool.servers.len())
        .filter(|at| {
            let state = &pool.servers[*at];
            may(state)
                && !ask.exclude.contains(&state.server.incarnation)
                && (!ask.alone || state.in_flight() == 0)
        })
        .partition(|at| pool.servers[*at].server.domain == *cx.own_domain)
}

fn sample(rng: &mut dyn rand::Rng, from: &[usize], count: usize) -> Vec<usize> {
    if from.len() <= count {
        return from.to_vec();
    }
    (0..count)
        .map(|_| from[rng.random_range(0..from.len())])
        .collect()
}

fn holders(
    config: &Config,
    rng: &mut dyn rand::Rng,
    pool: &Pool,
    ask: &Ask<'_>,
    local: &[usize],
    remote: &[usize],
) -> Vec<usize> {
    let Some(prefix) = ask.prefix else {
        return Vec::new();
    };
    let held: Vec<usize> = local
        .iter()
        .chain(remote)
        .copied()
        .filter(|at| pool.servers[*at].index.holds(prefix))
        .collect();
    // Any of them: with a fixed order, every instance would go to the same few.
    sample(rng, &held, config.choose.holders)
}

/// Finds the server that every instance would place the prefix on: the highest hash of the two.
fn home(pool: &Pool, ask: &Ask<'_>, local: &[usize], remote: &[usize]) -> Option<usize> {
    let prefix = ask.prefix?;
    local
        .iter()
        .chain(remote)
        .copied()
        .max_by_key(|at| mix(prefix ^ pool.servers[*at].salt()))
}

/// Scrambles the bits of a number.
const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

fn score(
    config: &Config,
    pool: &Pool,
    cx: &Context<'_>,
    ask: &Ask<'_>,
    at: usize,
    home: bool,
) -> f64 {
    let state = &pool.servers[at];
    let hop = if state.server.domain == *cx.own_domain {
        0.0
    } else {
        config.choose.hop.as_secs_f64()
    };
    let held = ask.prefix.map_or(0.0, |prefix| state.index.chance(prefix));
    let chance = if home {
        held.max(config.choose.home)
    } else {
        held
    };
    let saved = config.choose.token.as_secs_f64() * f64::from(ask.prefill_tokens) * chance;
    state.expected(config, cx.now, pool.typical()) + hop - saved
}

fn pick(config: &Config, pool: &Pool, cx: &Context<'_>, ask: &Ask<'_>, state: &State) -> Pick {
    let typical = pool.typical();
    Pick {
        incarnation: state.server.incarnation.clone(),
        address: state.server.address,
        expected_wait: Duration::from_secs_f64(state.wait(config, cx.now, typical)),
        expected: Duration::from_secs_f64(state.expected(config, cx.now, typical)),
        cached: ask.prefix.is_some_and(|prefix| state.index.holds(prefix)),
    }
}

fn unavailable(config: &Config, pool: &Pool, cx: &mut Context<'_>) -> Error {
    let soonest = pool
        .servers
        .iter()
        .filter(|state| state.present && !state.server.leaving)
        .map(|state| match state.health.allows(cx.now) {
            Use::None(until) => until,
            Use::Free | Use::Limited(_) => cx.now + config.health.backoff,
        })
        .min();
    let wait = soonest.unwrap_or(cx.now + config.health.backoff_max) - cx.now;
    refuse(config, cx, wait)
}

fn refuse(config: &Config, cx: &mut Context<'_>, wait: Duration) -> Error {
    Error {
        code: Code::StageUnavailable,
        retry_after: spread(cx, wait.max(config.health.backoff)),
    }
}

/// Lengthens a wait by up to its own length, so that callers don't return together.
fn spread(cx: &mut Context<'_>, wait: Duration) -> Duration {
    wait.mul_f64(cx.rng.random_range(1.0..2.0))
}
