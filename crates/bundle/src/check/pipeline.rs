//! Checks of pipelines, their stages and the references of these.

use super::{Fault, fault, nearest};
use crate::content::{Bundle, Kind, Pipeline, Stage};

/// The maximum number of stages of a pipeline.
const MAX_STAGES: usize = 6;

pub(super) fn check(bundle: &Bundle, found: &mut Vec<Fault>) {
    for pipeline in &bundle.pipelines {
        let path = format!("pipelines.{}", pipeline.name);
        check_ranges(pipeline, &path, found);
        check_accounts(bundle, pipeline, &path, found);
        check_stage_count(pipeline, &path, found);
        check_deferred(pipeline, &path, found);
        for (index, stage) in pipeline.stages.iter().enumerate() {
            let last = index + 1 == pipeline.stages.len();
            let path = format!("{path}.stages.{}", stage.name);
            check_stage(bundle, stage, last, &path, found);
        }
    }
}

fn check_ranges(pipeline: &Pipeline, path: &str, found: &mut Vec<Fault>) {
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

fn check_accounts(bundle: &Bundle, pipeline: &Pipeline, path: &str, found: &mut Vec<Fault>) {
    for name in &pipeline.accounts {
        if bundle.account(name.as_str()).is_some() {
            continue;
        }
        let names = bundle.accounts.iter().map(|account| account.name.as_str());
        found.push(Fault {
            path: format!("{path}.accounts"),
            reason: format!("no client account is named `{name}`"),
            nearest: nearest::find(name.as_str(), names),
        });
    }
}

fn check_stage_count(pipeline: &Pipeline, path: &str, found: &mut Vec<Fault>) {
    let stages = &pipeline.stages;
    if stages.is_empty() || stages.len() > MAX_STAGES {
        found.push(fault(
            format!("{path}.stages"),
            format!(
                "a pipeline has 1 to {MAX_STAGES} stages, not {}",
                stages.len()
            ),
        ));
    }
    let non_idempotent = stages.iter().filter(|stage| !stage.idempotent).count();
    if non_idempotent > 1 {
        found.push(fault(
            format!("{path}.stages"),
            format!("at most one stage may be non-idempotent, not {non_idempotent}"),
        ));
    }
}

/// Checks that a deferred pipeline has idempotent stages only: the ledger keeps a key for a shorter
/// time than a deferred request may take.
fn check_deferred(pipeline: &Pipeline, path: &str, found: &mut Vec<Fault>) {
    let index = pipeline
        .non_idempotent_stage()
        .filter(|_| pipeline.deferred);
    if let Some(stage) = index.and_then(|index| pipeline.stages.get(index)) {
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
            nearest: nearest::find(stage.pool.as_str(), names),
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
            nearest: nearest::find(model, pool.models.iter().map(base::Name::as_str)),
        });
    }
    if pool.kind == Kind::Generate && !last {
        found.push(fault(
            path.to_owned(),
            "a generate stage streams its answer and must be the last one",
        ));
    }
}
