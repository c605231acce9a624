//! Selection of the candidate with the lowest expected latency.

use core::time::Duration;

use base::Code;
use rand::RngExt;

use crate::{
    configs::Config,
    health::Allowance,
    pool::Pool,
    state::State,
    table::{Choice, Context, Error, Request},
};

/// Picks a server of a pool.
pub(crate) fn choose(
    config: &Config,
    pool: &Pool,
    cx: &mut Context<'_>,
    request: &Request<'_>,
) -> Result<Choice, Error> {
    if let Some(until) = pool.down_until(cx.now) {
        return Err(error(config, cx, until - cx.now));
    }
    let (mut local, mut remote) =
        candidates(pool, cx, request, |state| state.is_usable(config, cx.now));
    if local.is_empty() && remote.is_empty() {
        // If every server is new, admitted requests have no other server to go to.
        (local, remote) = candidates(pool, cx, request, |state| state.is_allowed(cx.now));
    }
    let settings = &config.choose;
    let (local_count, remote_count) = if request.prefix.is_some() {
        (
            settings.candidates_beside_holders,
            settings.candidates_beside_holders,
        )
    } else {
        (settings.local_candidates, settings.remote_candidates)
    };
    let mut candidates = sample(cx.rng, &local, local_count);
    candidates.extend(sample(cx.rng, &remote, remote_count));
    candidates.extend(holders(config, cx.rng, pool, request, &local, &remote));
    let home = home(pool, request, &local, &remote);
    candidates.extend(home);
    let best = candidates
        .into_iter()
        .map(|at| (at, score(config, pool, cx, request, at, home == Some(at))))
        .min_by(|a, b| a.1.total_cmp(&b.1));
    let Some((at, _)) = best else {
        return Err(unavailable(config, pool, cx));
    };
    Ok(choice(config, pool, cx, request, &pool.servers[at]))
}

/// Returns the indexes of the candidates in this instance's failure domain and of those in other domains.
fn candidates(
    pool: &Pool,
    cx: &Context<'_>,
    request: &Request<'_>,
    is_candidate: impl Fn(&State) -> bool,
) -> (Vec<usize>, Vec<usize>) {
    (0..pool.servers.len())
        .filter(|at| {
            let state = &pool.servers[*at];
            is_candidate(state)
                && !request.exclude.contains(&state.server.incarnation)
                && (!request.exclusive || state.in_flight() == 0)
        })
        .partition(|at| pool.servers[*at].server.domain == *cx.own_domain)
}

/// Samples at random with replacement, or returns all if there are no more than `count`.
fn sample(rng: &mut dyn rand::Rng, from: &[usize], count: usize) -> Vec<usize> {
    if from.len() <= count {
        return from.to_vec();
    }
    (0..count)
        .map(|_| from[rng.random_range(0..from.len())])
        .collect()
}

/// Returns a random sample of the candidates that are believed to hold the prefix.
fn holders(
    config: &Config,
    rng: &mut dyn rand::Rng,
    pool: &Pool,
    request: &Request<'_>,
    local: &[usize],
    remote: &[usize],
) -> Vec<usize> {
    let Some(prefix) = request.prefix else {
        return Vec::new();
    };
    let holding: Vec<usize> = local
        .iter()
        .chain(remote)
        .copied()
        .filter(|at| pool.servers[*at].index.contains(prefix))
        .collect();
    // The sample is random, since with a fixed order all instances would use the same few servers.
    sample(rng, &holding, config.choose.prefix_holders)
}

/// Returns the server that every instance places the prefix on, by rendezvous hashing.
fn home(pool: &Pool, request: &Request<'_>, local: &[usize], remote: &[usize]) -> Option<usize> {
    let prefix = request.prefix?;
    local
        .iter()
        .chain(remote)
        .copied()
        .max_by_key(|at| mix(prefix ^ pool.servers[*at].salt()))
}

/// Mixes the bits of a number with the finalizer of SplitMix64.
const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Returns the expected latency of an attempt at a server, in seconds, with the penalty for another failure
/// domain and without the prefill time that a cached prefix is expected to save.
fn score(
    config: &Config,
    pool: &Pool,
    cx: &Context<'_>,
    request: &Request<'_>,
    at: usize,
    is_home: bool,
) -> f64 {
    let state = &pool.servers[at];
    let penalty = if state.server.domain == *cx.own_domain {
        0.0
    } else {
        config.choose.cross_domain_penalty.as_secs_f64()
    };
    let cached_probability = request
        .prefix
        .map_or(0.0, |prefix| state.index.hit_probability(prefix));
    let hit_probability = if is_home {
        cached_probability.max(config.choose.home_weight)
    } else {
        cached_probability
    };
    let saved = config.choose.prefill_time_per_token.as_secs_f64()
        * f64::from(request.prefill_tokens)
        * hit_probability;
    state.expected_latency(config, cx.now, pool.mean_service_time()) + penalty - saved
}

fn choice(
    config: &Config,
    pool: &Pool,
    cx: &Context<'_>,
    request: &Request<'_>,
    state: &State,
) -> Choice {
    let pool_mean = pool.mean_service_time();
    Choice {
        incarnation: state.server.incarnation.clone(),
        address: state.server.address,
        expected_wait: Duration::from_secs_f64(state.expected_wait(config, cx.now, pool_mean)),
        expected_latency: Duration::from_secs_f64(
            state.expected_latency(config, cx.now, pool_mean),
        ),
        cached: request
            .prefix
            .is_some_and(|prefix| state.index.contains(prefix)),
    }
}

/// Returns the error for a pool without a candidate, with the time until the first server may get an attempt.
fn unavailable(config: &Config, pool: &Pool, cx: &mut Context<'_>) -> Error {
    let earliest = pool
        .servers
        .iter()
        .filter(|state| state.is_present && !state.server.leaving)
        .map(|state| match state.health.allowance(cx.now) {
            Allowance::Blocked(until) => until,
            Allowance::Unlimited | Allowance::Limited(_) => cx.now + config.health.backoff,
        })
        .min();
    let wait = earliest.unwrap_or(cx.now + config.health.backoff_max) - cx.now;
    error(config, cx, wait)
}

fn error(config: &Config, cx: &mut Context<'_>, wait: Duration) -> Error {
    Error {
        code: Code::StageUnavailable,
        retry_after: jitter(cx, wait.max(config.health.backoff)),
    }
}

/// Lengthens a wait at random by up to its own length, so that callers don't retry at the same time.
fn jitter(cx: &mut Context<'_>, wait: Duration) -> Duration {
    wait.mul_f64(cx.rng.random_range(1.0..2.0))
}
