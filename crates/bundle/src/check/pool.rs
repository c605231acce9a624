//! Pools of backend servers.

use super::{Fault, fault};
use crate::content::Bundle;

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
    }
}
