//! Publishes the request counts and stage costs of this instance's pipelines to peers and shared
//! screens.

use core::time::Duration;
use std::rc::Weak;

use base::{Name, Stamp};
use burn::{Tracker, bucket::Cost, event::Objectives, recent::Recent};
use member::{
    Fact,
    fact::{Burn, Count, Stage, Stages, Subject},
};

use crate::{control::roster::Publish, plane::Plane};

/// How often the request counts of pipelines are published, if they have changed.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(60);

/// Stage costs are published once in this many publish intervals, if they have changed. They are
/// published less often than request counts because the stage names make them long.
const INTERVALS_PER_STAGE_PUBLICATION: u64 = 10;

/// The interval in which stage costs are first published, counted from the start: nothing has run in
/// interval 0.
const FIRST_STAGE_INTERVAL: u64 = 1;

/// The short window of the first pair of alarms.
const SHORT_WINDOW: Duration = Duration::from_secs(5 * 60);

/// The long window of the first pair of alarms.
const LONG_WINDOW: Duration = Duration::from_secs(60 * 60);

/// The microseconds of a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The unit in which the error budget of an objective is published: requests per million.
const MILLION: f64 = 1e6;

/// Publishes the counters that have changed, until the plane is dropped.
pub(crate) async fn publish_counters(plane: Weak<Plane>) {
    let mut interval = tokio::time::interval(PUBLISH_INTERVAL);
    let mut published: Vec<Fact> = Vec::new();
    for interval_number in 0_u64.. {
        interval.tick().await;
        let Some(plane) = plane.upgrade() else {
            return;
        };
        let now = plane.shared.clock.stamp();
        let mut facts = burn_facts(&plane.shared.tracker(), now, &published);
        if interval_number % INTERVALS_PER_STAGE_PUBLICATION == FIRST_STAGE_INTERVAL {
            facts.extend(stage_facts(&plane.shared.tracker(), now, &published));
        }
        facts.retain(|fact| !published.contains(fact));
        for fact in facts {
            published.retain(|one| one.subject() != fact.subject());
            published.push(fact.clone());
            plane.shared.roster.do_send(Publish(fact));
        }
    }
}

/// Returns the request counts of each pipeline. Pipelines published before are included even without
/// recent requests, so that their published counts return to zero.
fn burn_facts(tracker: &Tracker, now: Stamp, published: &[Fact]) -> Vec<Fact> {
    let (short, long) = (
        tracker.recent(now, SHORT_WINDOW),
        tracker.recent(now, LONG_WINDOW),
    );
    let published_names = published.iter().filter_map(|fact| match fact {
        Fact::Burn(burn) => Some(&burn.pipeline),
        _ => None,
    });
    let mut names: Vec<_> = long
        .iter()
        .map(|one| &one.pipeline)
        .chain(published_names)
        .collect();
    names.sort_unstable();
    names.dedup();
    let burn = |name| {
        Fact::Burn(Burn {
            pipeline: Name::clone(name),
            allowed: allowed_misses(&tracker.objectives, name),
            short: count(&short, name),
            long: count(&long, name),
        })
    };
    names.into_iter().map(burn).collect()
}

/// Returns the stage costs of each pipeline. Pipelines published before are included even without
/// recent costs, so that their published costs are cleared.
fn stage_facts(tracker: &Tracker, now: Stamp, published: &[Fact]) -> Vec<Fact> {
    let costs = tracker.recent_costs(now, LONG_WINDOW);
    let groups = costs.chunk_by(|a, b| a.pipeline == b.pipeline);
    let mut stages: Vec<Fact> = groups
        .map(|group| {
            Fact::Stages(Stages {
                pipeline: group[0].pipeline.clone(),
                stages: group.iter().map(stage).collect(),
            })
        })
        .collect();
    let known: Vec<Subject> = stages.iter().map(Fact::subject).collect();
    let idle = published
        .iter()
        .filter(|fact| !known.contains(&fact.subject()));
    stages.extend(idle.filter_map(|fact| match fact {
        Fact::Stages(one) => Some(Fact::Stages(Stages {
            pipeline: one.pipeline.clone(),
            stages: Vec::new(),
        })),
        _ => None,
    }));
    stages
}

fn stage(cost: &Cost) -> Stage {
    Stage {
        name: cost.stage.clone(),
        busy: (cost.busy_micros + MICROS_PER_SECOND / 2) / MICROS_PER_SECOND,
        cost: cost.cost_micros / 1_000,
    }
}

fn count(counts: &[Recent], pipeline: &Name) -> Count {
    let at = counts.binary_search_by(|one| one.pipeline.cmp(pipeline));
    at.map_or_else(
        |_| Count::default(),
        |at| Count {
            good: counts[at].within,
            late: counts[at].late,
            refused: counts[at].refused,
        },
    )
}

/// Returns how many requests in a million may miss the objective in force.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn allowed_misses(objectives: &Objectives, pipeline: &Name) -> u32 {
    let known = &objectives.pipelines;
    let at = known.binary_search_by(|one| one.pipeline.cmp(pipeline));
    at.map_or(0, |at| {
        // An objective is between 0 and 1, so the cast does not truncate the value.
        ((1.0 - known[at].share) * MILLION).round().max(0.0) as u32
    })
}
