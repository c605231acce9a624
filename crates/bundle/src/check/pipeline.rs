//! Pipelines: their stages and what those refer to.

use super::{Fault, fault, nearest};
use crate::content::{Bundle, Kind, Pipeline, Stage};

/// The most stages of a pipeline.
const STAGES: usize = 6;

pub(super) fn check(bundle: &Bundle, found: &mut Vec<Fault>) {
    for pipeline in &bundle.pipelines {
        let path = format!("pipelines.{}", pipeline.name);
        figures(pipeline, &path, found);
        accounts(bundle, pipeline, &path, found);
        count(pipeline, &path, found);
        deferred(pipeline, &path, found);
        for (at, stage) in pipeline.stages.iter().enumerate() {
            let last = at + 1 == pipeline.stages.len();
            let path = format!("{path}.stages.{}", stage.name);
            check_stage(bundle, stage, last, &path, found);
        }
    }
}

fn figures(pipeline: &Pipeline, path: &str, found: &mut Vec<Fault>) {
    if pipeline.deadline_ms == 0 {
        found.push(fault(format!("{path}.deadline_ms"), "must be above 0"));
    }
    if !(pipeline.objective > 0.0 && pipeline.objective < 1.0) {
        found.push(fault(
            format!("{path}.objective"),
            "must lie between 0 and 1, both excluded",
        ));
    }
}

fn accounts(bundle: &Bundle, pipeline: &Pipeline, path: &str, found: &mut Vec<Fault>) {
    for name in &pipeline.accounts {
        if bundle.account(name.as_str()).is_some() {
            continue;
        }
        let names = bundle.accounts.iter().map(|account| account.name.as_str());
        found.push(Fault {
            path: format!("{path}.accounts"),
            reason: format!("no client account is named `{name}`"),
            nearest: nearest::of(name.as_str(), names),
        });
    }
}

fn count(pipeline: &Pipeline, path: &str, found: &mut Vec<Fault>) {
    let stages = &pipeline.stages;
    if stages.is_empty() || stages.len() > STAGES {
        found.push(fault(
            format!("{path}.stages"),
            format!("a pipeline has 1 to {STAGES} stages, not {}", stages.len()),
        ));
    }
    let once = stages.iter().filter(|stage| !stage.idempotent).count();
    if once > 1 {
        found.push(fault(
            format!("{path}.stages"),
            format!("at most one stage may be non-idempotent, not {once}"),
        ));
    }
}

/// The ledger decides about a key for a shorter time than a deferred request may take.
fn deferred(pipeline: &Pipeline, path: &str, found: &mut Vec<Fault>) {
    let once = pipeline
        .non_idempotent_stage()
        .filter(|_| pipeline.deferred);
    if let Some(stage) = once.and_then(|at| pipeline.stages.get(at)) {
        let reason = format!(
            "stage `{}` may not be repeated, so the pipeline cannot be deferred",
            stage.name
        );
        found.push(fault(format!("{path}.deferred"), reason));
    }
}

fn check_stage(bundle: &Bundle, stage: &Stage, last: bool, path: &str, found: &mut Vec<Fault>) {
    let Some(pool) = bundle.pool(stage.pool.as_str()) else {
        let names = bundle.pools.iter().map(|pool| pool.name.as_str());
        found.push(Fault {
            path: format!("{path}.pool"),
            reason: format!("no pool is named `{}`", stage.pool),
            nearest: nearest::of(stage.pool.as_str(), names),
        });
        return;
    };
    if !stage.idempotent && pool.kind != Kind::Service {
        found.push(fault(
            format!("{path}.idempotent"),
            format!(
                "pool `{}` is not of kind `service`, so its calls must be idempotent",
                pool.name
            ),
        ));
    }
    let model = stage.model.as_str();
    if !model.is_empty() && !pool.models.contains(&stage.model) {
        found.push(Fault {
            path: format!("{path}.model"),
            reason: format!("pool `{}` has no model `{model}`", pool.name),
            nearest: nearest::of(model, pool.models.iter().map(base::Name::as_str)),
        });
    }
    if pool.kind == Kind::Generate && !last {
        found.push(fault(
            path.to_owned(),
            "a generate stage streams its answer and must be the last one",
        ));
    }
}
