//! The servers of a pool.

use bundle::content::Pool;

use crate::view::{Load, Server};

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

/// Returns the load that a server had in a list sorted by pool and incarnation.
pub(crate) fn load(servers: &[Server], server: &Server) -> Option<Load> {
    let key = |known: &Server| (known.pool.clone(), known.incarnation.clone());
    let at = servers.binary_search_by_key(&key(server), key).ok()?;
    servers[at].load
}
