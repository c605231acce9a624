//! What a pool can take.

use core::time::Duration;

use bundle::content::Pool;

use crate::view::Server;

/// The wait advised while a pool has no server.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the servers of a pool, sorted by incarnation.
pub(crate) fn members(servers: &[Server], pool: &Pool) -> Vec<route::Server> {
    let from = servers.partition_point(|server| server.pool < pool.name);
    let to = servers.partition_point(|server| server.pool <= pool.name);
    servers[from..to]
        .iter()
        .map(|server| route::Server {
            incarnation: server.incarnation.clone(),
            domain: server.domain.clone(),
            address: server.address,
            concurrency: pool.concurrency,
            leaving: server.leaving,
        })
        .collect()
}

/// Returns what the gate is told of a pool's places.
pub(crate) fn capacity(members: &[route::Server], pool: &Pool) -> admit::Event {
    let live = members.iter().filter(|server| !server.leaving);
    let places: f64 = live.map(|server| f64::from(server.concurrency)).sum();
    admit::Event::Capacity {
        pool: pool.name.clone(),
        places,
        retry_after: RETRY_AFTER,
    }
}
