//! What peers and shared screens learn of this instance's pipelines and their stages.

use core::time::Duration;
use std::rc::Weak;

use base::{Name, Stamp};
use burn::{Tracker, bucket::Cost, event::Objectives, recent::Recent};
use member::{
    Fact,
    fact::{Burn, Count, Stage, Stages, Subject},
};

use crate::{control::roster::Tell, plane::Plane};

/// How often requests by pipeline are told, where they have changed.
const PERIOD: Duration = Duration::from_secs(60);

/// Periods after which stages are told, where they have changed; their names make them long.
const STAGES: u64 = 10;

/// The period, by number from the start, in which stages are told first: nothing has run in the one before.
const FIRST: u64 = 1;

/// The short window, that of the first pair of alarms.
const SHORT: Duration = Duration::from_secs(5 * 60);

/// The long window.
const LONG: Duration = Duration::from_secs(60 * 60);

/// A second in microseconds.
const SECOND: u64 = 1_000_000;

/// A whole, in the parts in which the objective is told.
const MILLION: f64 = 1e6;

/// Tells the peers what has changed, until the plane is gone.
pub(crate) async fn tell(plane: Weak<Plane>) {
    let mut interval = tokio::time::interval(PERIOD);
    let mut told: Vec<Fact> = Vec::new();
    for period in 0_u64.. {
        interval.tick().await;
        let Some(plane) = plane.upgrade() else {
            return;
        };
        let now = plane.shared.clock.stamp();
        let mut facts = burns(&plane.shared.tracker(), now, &told);
        if period % STAGES == FIRST {
            facts.extend(stages(&plane.shared.tracker(), now, &told));
        }
        facts.retain(|fact| !told.contains(fact));
        for fact in facts {
            told.retain(|one| one.subject() != fact.subject());
            told.push(fact.clone());
            plane.shared.roster.do_send(Tell(fact));
        }
    }
}

/// Returns the requests of each pipeline, also of those that had some when last told.
fn burns(tracker: &Tracker, now: Stamp, told: &[Fact]) -> Vec<Fact> {
    let (short, long) = (tracker.recent(now, SHORT), tracker.recent(now, LONG));
    let quiet = told.iter().filter_map(|fact| match fact {
        Fact::Burn(burn) => Some(&burn.pipeline),
        _ => None,
    });
    let mut names: Vec<_> = long.iter().map(|one| &one.pipeline).chain(quiet).collect();
    names.sort_unstable();
    names.dedup();
    let burn = |name| {
        Fact::Burn(Burn {
            pipeline: Name::clone(name),
            allowed: allowed(&tracker.objectives, name),
            short: count(&short, name),
            long: count(&long, name),
        })
    };
    names.into_iter().map(burn).collect()
}

/// Returns what the stages of each pipeline took, also of those that took something when last told.
fn stages(tracker: &Tracker, now: Stamp, told: &[Fact]) -> Vec<Fact> {
    let costs = tracker.recent_costs(now, LONG);
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
    let quiet = told.iter().filter(|fact| !known.contains(&fact.subject()));
    stages.extend(quiet.filter_map(|fact| match fact {
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
        busy: (cost.busy_micros + SECOND / 2) / SECOND,
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

/// Returns how many requests of a million the objective in force lets miss.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn allowed(objectives: &Objectives, pipeline: &Name) -> u32 {
    let known = &objectives.pipelines;
    let at = known.binary_search_by(|one| one.pipeline.cmp(pipeline));
    at.map_or(0, |at| {
        // An objective lies between 0 and 1, so that nothing is cut off.
        ((1.0 - known[at].share) * MILLION).round().max(0.0) as u32
    })
}
