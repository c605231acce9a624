//! Lookups in the published list of servers.

use bundle::content::Pool;

use crate::view::{Load, Server};

/// Returns the servers of a pool, sorted by incarnation.
pub(crate) fn in_pool(servers: &[Server], pool: &Pool) -> Vec<route::Server> {
    let start = servers.partition_point(|server| server.pool < pool.name);
    let end = servers.partition_point(|server| server.pool <= pool.name);
    servers[start..end]
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

/// Returns the load of a server in a list sorted by pool and incarnation.
pub(crate) fn load_of(servers: &[Server], server: &Server) -> Option<Load> {
    let key = |known: &Server| (known.pool.clone(), known.incarnation.clone());
    let at = servers.binary_search_by_key(&key(server), key).ok()?;
    servers[at].load
}
