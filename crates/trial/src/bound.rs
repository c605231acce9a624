//! A bound on what any policy could answer.
//!
//! For each pool and each span of the trace: requests sent within the span whose deadlines lie in
//! it too can use no more than the pool's work in that span. The smallest of them that fit are
//! counted, and the rest can't be answered by anyone, however clairvoyant. Over disjoint spans
//! these losses add up; the best choice of spans is found by dynamic programming, and the pool
//! with the largest loss bounds the whole. Batches are taken as full, caches as always hit, and
//! hops, wait and the division into servers as free.

use crate::{
    fake::{BATCH_SLOWDOWN, TOKEN},
    size::Size,
    trace::{COLD, COLD_EVERY, Kind, LAME, LAME_EVERY, SLOW, Trace},
};

/// The step of the spans, in microseconds.
const STEP: u64 = 500_000;

/// What the bound knows of each request's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// Its work, so that the smallest are counted first: a bound for every policy.
    Exact,
    /// The mean only: what a policy that can't know sizes is near to.
    Mean,
}

/// Returns the largest share of requests that could be answered.
///
/// # Examples
///
/// ```
/// use trial::{Size, Trace, bound::{self, Sight}, trace::Kind};
/// let size = Size::compas();
/// let trace = Trace::new(&size, Kind::Burst, 1, 8.0);
/// let exact = bound::attainment(&size, &trace, Sight::Exact);
/// assert!(bound::attainment(&size, &trace, Sight::Mean) <= exact);
/// ```
pub fn attainment(size: &Size, trace: &Trace, sight: Sight) -> f64 {
    let asked = trace.requests.iter().filter(|request| !request.poison);
    let count = asked.count().max(1);
    let lost = (0..size.pools.len())
        .map(|pool| lost(size, trace, sight, pool))
        .max()
        .unwrap_or(0);
    1.0 - lost as f64 / count as f64
}

/// A request's demand on one pool.
struct Demand {
    from: usize,
    to: usize,
    work: f64,
}

fn lost(size: &Size, trace: &Trace, sight: Sight, pool: usize) -> usize {
    let mut demands = demands(size, trace, sight, pool);
    demands.sort_by(|a, b| a.work.total_cmp(&b.work));
    let steps = demands.iter().map(|demand| demand.to).max().unwrap_or(0);
    let capacity = capacities(size, trace, pool, steps);
    let mut best = vec![0; steps + 1];
    for to in 1..=steps {
        best[to] = best[to - 1];
        for from in 0..to {
            let room: f64 = capacity[from..to].iter().sum();
            best[to] = best[to].max(best[from] + lost_within(&demands, from, to, room));
        }
    }
    best[steps]
}

fn demands(size: &Size, trace: &Trace, sight: Sight, pool: usize) -> Vec<Demand> {
    let last = trace.horizon + 20 * STEP;
    trace
        .requests
        .iter()
        .filter(|request| !request.poison && request.deadline < last)
        .filter_map(|request| {
            let stages = &size.pipelines[request.pipeline].stages;
            let stage = stages.iter().position(|one| *one == pool)?;
            let settings = &size.pools[pool];
            let prefill = f64::from(settings.prefix_tokens) * TOKEN;
            let work = match sight {
                Sight::Exact => request.work[stage],
                Sight::Mean => 1.0,
            };
            Some(Demand {
                from: (request.at / STEP) as usize,
                to: request.deadline.div_ceil(STEP) as usize,
                work: (settings.service - prefill) * work,
            })
        })
        .collect()
}

fn lost_within(demands: &[Demand], from: usize, to: usize, mut room: f64) -> usize {
    let mut lost = 0;
    for demand in demands {
        if demand.from < from || demand.to > to {
            continue;
        }
        room -= demand.work;
        lost += usize::from(room < 0.0);
    }
    lost
}

fn capacities(size: &Size, trace: &Trace, pool: usize, steps: usize) -> Vec<f64> {
    let settings = &size.pools[pool];
    let places = f64::from(settings.concurrency) * settings.servers as f64;
    let full = places / (1.0 + BATCH_SLOWDOWN) * (STEP as f64 / 1e6);
    let kept = 1.0 - (settings.servers / size.domains) as f64 / settings.servers as f64;
    let cold = settings.servers.div_ceil(COLD_EVERY) as f64 / settings.servers as f64;
    let lame = settings.servers.div_ceil(LAME_EVERY) as f64 / settings.servers as f64;
    (0..steps)
        .map(|step| {
            // A step that the disturbance only touches counts as undisturbed.
            let at = step as u64 * STEP;
            let within = at >= trace.begin && at + STEP <= trace.end;
            let factor = match trace.kind {
                Kind::Slow if within && pool == size.main => 1.0 / SLOW,
                Kind::Cold if within && pool == size.main => 1.0 - cold + cold / COLD,
                Kind::Lame if within && pool == size.main => 1.0 - lame + lame / LAME,
                Kind::Down if within && pool == size.main => 0.0,
                Kind::Domain | Kind::Both if within => kept,
                _ => 1.0,
            };
            full * factor
        })
        .collect()
}
