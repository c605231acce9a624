//! Divides the rate limits of client accounts between the entry instances.

use core::time::Duration;
use std::rc::Weak;

use admit::limit::Demand;
use member::{
    Fact,
    fact::{self, Subject},
};

use crate::{
    control::roster::{Publish, Withdraw},
    plane::Plane,
};

/// How often the shares of the limits are recomputed.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(1);

/// The smallest demand that is published to peers, in requests per second; smaller ones are served from
/// the part of the limit that is split evenly.
const MIN_PUBLISHED_RATE: f64 = 1.0;

/// The smallest change of a demand that is published, as a fraction of the last published value.
const MIN_RELATIVE_CHANGE: f64 = 0.25;

/// Rebalances limits with the peers until the plane is dropped.
pub(crate) async fn share_limits(plane: Weak<Plane>) {
    let mut interval = tokio::time::interval(REBALANCE_INTERVAL);
    let mut published: Vec<fact::Demand> = Vec::new();
    loop {
        interval.tick().await;
        let Some(plane) = plane.upgrade() else {
            return;
        };
        let demands = rebalance(&plane);
        publish_demands(&plane, &demands, &mut published);
    }
}

fn rebalance(plane: &Plane) -> Vec<Demand> {
    let now = plane.shared.clock.tick();
    let peers = plane.shared.limit_peers.borrow().clone();
    let mut inner = plane.inner.borrow_mut();
    let own_domain = &plane.shared.settings.domain;
    inner.limits.rebalance(now, own_domain, &peers);
    let mut demands = inner.limits.demands(now);
    demands.retain(|demand| demand.rate >= MIN_PUBLISHED_RATE);
    demands
}

/// Publishes demands that have changed, and withdraws those that have ended.
fn publish_demands(plane: &Plane, demands: &[Demand], published: &mut Vec<fact::Demand>) {
    let roster = &plane.shared.roster;
    published.retain(|old| {
        let is_current = demands.iter().any(|demand| demand.account == old.account);
        if !is_current {
            roster.do_send(Withdraw(Subject::Demand(old.account.clone())));
        }
        is_current
    });
    for demand in demands {
        let at = published.binary_search_by(|old| old.account.cmp(&demand.account));
        let before = at.map_or(0.0, |at| f64::from(published[at].asked));
        if (demand.rate - before).abs() <= before * MIN_RELATIVE_CHANGE {
            continue;
        }
        let demand = fact::Demand {
            account: demand.account.clone(),
            asked: round_up(demand.rate),
            admitted: 0,
        };
        roster.do_send(Publish(Fact::Demand(demand.clone())));
        match at {
            Ok(at) => published[at] = demand,
            Err(at) => published.insert(at, demand),
        }
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_up(rate: f64) -> u32 {
    // A cast of a float saturates, and a rate is never negative.
    rate.ceil() as u32
}
