//! Priorities that would starve a client account.
//!
//! Weights share a pool among accounts within one priority. An account that may use a pool only
//! at priorities below one that is closed to it gets nothing while the others fill the pool,
//! whatever its weight says.

use base::Name;

use super::{Fault, fault};
use crate::content::{Account, Bundle, Pipeline};

pub(super) fn check(bundle: &Bundle, found: &mut Vec<Fault>) {
    for account in &bundle.accounts {
        let open = |pipeline: &&Pipeline| is_open(pipeline, account);
        if !bundle.pipelines.is_empty() && !bundle.pipelines.iter().any(|one| open(&one)) {
            found.push(fault(
                format!("accounts.{}", account.name),
                "no pipeline is open to the client account",
            ));
        }
        for pool in &bundle.pools {
            check_pool(bundle, account, &pool.name, found);
        }
    }
}

fn check_pool(bundle: &Bundle, account: &Account, pool: &Name, found: &mut Vec<Fault>) {
    let users = || {
        bundle
            .pipelines
            .iter()
            .filter(|pipeline| pipeline.stages.iter().any(|stage| stage.pool == *pool))
    };
    let own = users()
        .filter(|pipeline| is_open(pipeline, account))
        .max_by_key(|pipeline| pipeline.priority);
    let top = users()
        .filter(|pipeline| !is_open(pipeline, account))
        .max_by_key(|pipeline| pipeline.priority);
    if let (Some(own), Some(top)) = (own, top)
        && top.priority > own.priority
    {
        found.push(fault(
            format!("pipelines.{}.priority", top.name),
            format!(
                "{} would starve client account `{}` in pool `{pool}`, where it has at most \
                 priority {} by pipeline `{}`",
                top.priority, account.name, own.priority, own.name
            ),
        ));
    }
}

fn is_open(pipeline: &Pipeline, account: &Account) -> bool {
    pipeline.accounts.is_empty() || pipeline.accounts.contains(&account.name)
}
