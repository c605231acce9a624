//! An upper bound on the share of requests that any policy can answer.
//!
//! For each pool and each span of the trace, the requests that are sent and due within the span can
//! use no more than the pool's work in that span. The smallest of them that fit are counted; no
//! policy can answer the rest, even with knowledge of the future. These losses add up over disjoint
//! spans. Dynamic programming finds the best choice of spans, and the pool with the largest loss
//! gives the bound. The bound assumes full batches, cache hits only, no network latency, no waiting
//! and no division of a pool into servers.

use crate::{
    fake::{BATCH_SLOWDOWN, PREFILL_SECONDS_PER_TOKEN},
    size::Size,
    trace::{
        COLD_EVERY, COLD_FACTOR, Kind, SLOW_SERVER_EVERY, SLOW_SERVER_FACTOR, SLOW_STAGE_FACTOR,
        Trace,
    },
};

/// The step of the spans, in microseconds.
const STEP_MICROS: u64 = 500_000;

/// What is known of each request's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// The exact work, so that the smallest requests are counted first: a bound for every policy.
    Exact,
    /// Only the mean: close to the best of a policy that can't know sizes.
    Mean,
}

/// Returns the largest share of requests that could be answered.
///
/// # Examples
///
/// ```
/// use trial::{Size, Trace, bound::{self, Knowledge}, trace::Kind};
/// let size = Size::compas();
/// let trace = Trace::new(&size, Kind::Burst, 1, 8.0);
/// let exact = bound::attainment(&size, &trace, Knowledge::Exact);
/// assert!(bound::attainment(&size, &trace, Knowledge::Mean) <= exact);
/// ```
pub fn attainment(size: &Size, trace: &Trace, knowledge: Knowledge) -> f64 {
    let asked = trace.requests.iter().filter(|request| !request.poison);
    let count = asked.count().max(1);
    let lost = (0..size.pools.len())
        .map(|pool| lost(size, trace, knowledge, pool))
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

fn lost(size: &Size, trace: &Trace, knowledge: Knowledge, pool: usize) -> usize {
    let mut demands = demands(size, trace, knowledge, pool);
    demands.sort_by(|a, b| a.work.total_cmp(&b.work));
    let steps = demands.iter().map(|demand| demand.to).max().unwrap_or(0);
    let capacity = capacities(size, trace, pool, steps);
    let mut best = vec![0; steps + 1];
    for to in 1..=steps {
        best[to] = best[to - 1];
        for from in 0..to {
            let capacity_left: f64 = capacity[from..to].iter().sum();
            best[to] = best[to].max(best[from] + lost_within(&demands, from, to, capacity_left));
        }
    }
    best[steps]
}

fn demands(size: &Size, trace: &Trace, knowledge: Knowledge, pool: usize) -> Vec<Demand> {
    let last = trace.horizon + 20 * STEP_MICROS;
    trace
        .requests
        .iter()
        .filter(|request| !request.poison && request.deadline < last)
        .filter_map(|request| {
            let stages = &size.pipelines[request.pipeline].stages;
            let stage = stages.iter().position(|one| *one == pool)?;
            let settings = &size.pools[pool];
            let prefill = f64::from(settings.prefix_tokens) * PREFILL_SECONDS_PER_TOKEN;
            let work = match knowledge {
                Knowledge::Exact => request.work[stage],
                Knowledge::Mean => 1.0,
            };
            Some(Demand {
                from: (request.at / STEP_MICROS) as usize,
                to: request.deadline.div_ceil(STEP_MICROS) as usize,
                work: (settings.service - prefill) * work,
            })
        })
        .collect()
}

fn lost_within(demands: &[Demand], from: usize, to: usize, mut capacity_left: f64) -> usize {
    let mut lost = 0;
    for demand in demands {
        if demand.from < from || demand.to > to {
            continue;
        }
        capacity_left -= demand.work;
        lost += usize::from(capacity_left < 0.0);
    }
    lost
}

fn capacities(size: &Size, trace: &Trace, pool: usize, steps: usize) -> Vec<f64> {
    let settings = &size.pools[pool];
    let slots = f64::from(settings.concurrency) * settings.servers as f64;
    let full = slots / (1.0 + BATCH_SLOWDOWN) * (STEP_MICROS as f64 / 1e6);
    let kept = 1.0 - (settings.servers / size.domains) as f64 / settings.servers as f64;
    let cold = settings.servers.div_ceil(COLD_EVERY) as f64 / settings.servers as f64;
    let lame = settings.servers.div_ceil(SLOW_SERVER_EVERY) as f64 / settings.servers as f64;
    (0..steps)
        .map(|step| {
            // A step that is only partly within the disturbance counts as undisturbed.
            let at = step as u64 * STEP_MICROS;
            let within = at >= trace.begin && at + STEP_MICROS <= trace.end;
            let factor = match trace.kind {
                Kind::Slow if within && pool == size.main => 1.0 / SLOW_STAGE_FACTOR,
                Kind::Cold if within && pool == size.main => 1.0 - cold + cold / COLD_FACTOR,
                Kind::SlowServers if within && pool == size.main => {
                    1.0 - lame + lame / SLOW_SERVER_FACTOR
                }
                Kind::Down if within && pool == size.main => 0.0,
                Kind::Domain | Kind::BurstAndDomain if within => kept,
                _ => 1.0,
            };
            full * factor
        })
        .collect()
}
