//! Checks for priorities that would starve a client account.
//!
//! Weights divide a pool among accounts within one priority only. If an account can use a pool only at
//! priorities below that of a pipeline it may not use, it gets no capacity while that pipeline fills
//! the pool, whatever its weight.

use base::Name;

use super::{Fault, fault};
use crate::content::{Account, Bundle, Pipeline};

pub(super) fn check(bundle: &Bundle, found: &mut Vec<Fault>) {
    for account in &bundle.accounts {
        let is_usable = |pipeline: &&Pipeline| may_use(pipeline, account);
        if !bundle.pipelines.is_empty() && !bundle.pipelines.iter().any(|one| is_usable(&one)) {
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
        .filter(|pipeline| may_use(pipeline, account))
        .max_by_key(|pipeline| pipeline.priority);
    let top = users()
        .filter(|pipeline| !may_use(pipeline, account))
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

fn may_use(pipeline: &Pipeline, account: &Account) -> bool {
    pipeline.accounts.is_empty() || pipeline.accounts.contains(&account.name)
}
