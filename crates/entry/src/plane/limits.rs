//! Shares of client accounts' limits between the entry instances.

use core::time::Duration;
use std::rc::Weak;

use admit::limit::Demand;
use member::{
    Fact,
    fact::{self, Subject},
};

use crate::{
    control::roster::{Tell, Withdraw},
    plane::Plane,
};

/// How often shares are worked out anew.
const PERIOD: Duration = Duration::from_secs(1);

/// The least demand that is told to peers, in requests a second; smaller ones live on the part of
/// the limit that is split evenly.
const LEAST: f64 = 1.0;

/// The change of a demand that is told to peers, as a part of what was told last.
const CHANGE: f64 = 0.25;

/// Shares limits with the peers until the plane is gone.
pub(crate) async fn share(plane: Weak<Plane>) {
    let mut interval = tokio::time::interval(PERIOD);
    let mut told: Vec<fact::Demand> = Vec::new();
    loop {
        interval.tick().await;
        let Some(plane) = plane.upgrade() else {
            return;
        };
        let demands = take_shares(&plane);
        tell(&plane, &demands, &mut told);
    }
}

fn take_shares(plane: &Plane) -> Vec<Demand> {
    let now = plane.shared.clock.tick();
    let rivals = plane.shared.rivals.borrow().clone();
    let mut inner = plane.inner.borrow_mut();
    let own_domain = &plane.shared.settings.domain;
    inner.limits.rebalance(now, own_domain, &rivals);
    let mut demands = inner.limits.demands(now);
    demands.retain(|demand| demand.rate >= LEAST);
    demands
}

/// Tells the peers of demands that have changed, and takes back those that are over.
fn tell(plane: &Plane, demands: &[Demand], told: &mut Vec<fact::Demand>) {
    let roster = &plane.shared.roster;
    told.retain(|old| {
        let stands = demands.iter().any(|demand| demand.account == old.account);
        if !stands {
            roster.do_send(Withdraw(Subject::Demand(old.account.clone())));
        }
        stands
    });
    for demand in demands {
        let at = told.binary_search_by(|old| old.account.cmp(&demand.account));
        let before = at.map_or(0.0, |at| f64::from(told[at].asked));
        if (demand.rate - before).abs() <= before * CHANGE {
            continue;
        }
        let news = fact::Demand {
            account: demand.account.clone(),
            asked: whole(demand.rate),
            admitted: 0,
        };
        roster.do_send(Tell(Fact::Demand(news.clone())));
        match at {
            Ok(at) => told[at] = news,
            Err(at) => told.insert(at, news),
        }
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(rate: f64) -> u32 {
    // A cast of a float saturates, and a rate is never negative.
    rate.ceil() as u32
}
