//! Checks of pools of backend servers.

use super::{Fault, fault, nearest};
use crate::content::{Bundle, Pool};

pub(super) fn check(bundle: &Bundle, found: &mut Vec<Fault>) {
    for pool in &bundle.pools {
        let path = |field: &str| format!("pools.{}.{field}", pool.name);
        if pool.concurrency == 0 {
            found.push(fault(path("concurrency"), "must be above 0"));
        }
        if !(pool.cost_per_second.is_finite() && pool.cost_per_second >= 0.0) {
            found.push(fault(path("cost_per_second"), "must be 0 or above"));
        }
        let mut models: Vec<_> = pool.models.iter().collect();
        models.sort();
        for pair in models.windows(2) {
            if pair[0] == pair[1] {
                found.push(fault(
                    path("models"),
                    format!("`{}` is named twice", pair[0]),
                ));
            }
        }
        check_weights(pool, found);
    }
}

/// Checks that each model of a pool has exactly one size and fits into a server's memory.
fn check_weights(pool: &Pool, found: &mut Vec<Fault>) {
    let path = |model: &str| format!("pools.{}.weights.{model}", pool.name);
    for pair in pool.weights.windows(2) {
        if pair[0].model == pair[1].model {
            found.push(fault(path(pair[0].model.as_str()), "is stated twice"));
        }
    }
    for weight in &pool.weights {
        let model = weight.model.as_str();
        if !pool.models.contains(&weight.model) {
            found.push(Fault {
                path: path(model),
                reason: format!("the pool has no model `{model}`"),
                nearest: nearest::find(model, pool.models.iter().map(base::Name::as_str)),
            });
        }
        if weight.bytes == 0 {
            found.push(fault(path(model), "must be above 0"));
        }
        if pool.is_placed() && weight.bytes > pool.memory_bytes {
            found.push(fault(path(model), "is larger than `memory_bytes`"));
        }
    }
    for model in pool.models.iter().filter(|_| pool.is_placed()) {
        if pool.weight(model.as_str()).is_none() {
            let reason = "must be stated, since the pool has `memory_bytes`";
            found.push(fault(path(model.as_str()), reason));
        }
    }
}
