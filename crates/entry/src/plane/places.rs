//! The servers of a pool.

use bundle::content::Pool;

use crate::view::Server;

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
