//! Requests of pipelines and what their stages took, as protocol buffers.

use member::fact;

/// Encodes the requests of a pipeline.
pub(super) fn burn_out(burn: &fact::Burn) -> wire::Burn {
    wire::Burn {
        pipeline: burn.pipeline.to_string(),
        allowed: burn.allowed,
        short_good: burn.short.good,
        short_late: burn.short.late,
        short_refused: burn.short.refused,
        long_good: burn.long.good,
        long_late: burn.long.late,
        long_refused: burn.long.refused,
    }
}

/// Decodes the requests of a pipeline.
pub(super) fn burn_in(burn: wire::Burn) -> fact::Burn {
    fact::Burn {
        pipeline: burn.pipeline.into(),
        allowed: burn.allowed,
        short: fact::Count {
            good: burn.short_good,
            late: burn.short_late,
            refused: burn.short_refused,
        },
        long: fact::Count {
            good: burn.long_good,
            late: burn.long_late,
            refused: burn.long_refused,
        },
    }
}

/// Encodes the sums of a failure domain.
pub(super) fn tally_out(tally: &fact::Tally) -> wire::Tally {
    wire::Tally {
        domain: tally.domain.to_string(),
        version: tally.version,
        burns: tally.burns.iter().map(burn_out).collect(),
        stages: tally.stages.iter().map(stages_out).collect(),
        unheard: tally.unheard,
    }
}

/// Decodes the sums of a failure domain.
pub(super) fn tally_in(tally: wire::Tally) -> fact::Tally {
    fact::Tally {
        domain: tally.domain.into(),
        version: tally.version,
        burns: tally.burns.into_iter().map(burn_in).collect(),
        stages: tally.stages.into_iter().map(stages_in).collect(),
        unheard: tally.unheard,
    }
}

/// Encodes what the stages of a pipeline took.
pub(super) fn stages_out(stages: &fact::Stages) -> wire::Stages {
    let stage = |stage: &fact::Stage| wire::Stage {
        name: stage.name.to_string(),
        busy: stage.busy,
        cost: stage.cost,
    };
    wire::Stages {
        pipeline: stages.pipeline.to_string(),
        stages: stages.stages.iter().map(stage).collect(),
    }
}

/// Decodes what the stages of a pipeline took.
pub(super) fn stages_in(stages: wire::Stages) -> fact::Stages {
    let stage = |stage: wire::Stage| fact::Stage {
        name: stage.name.into(),
        busy: stage.busy,
        cost: stage.cost,
    };
    fact::Stages {
        pipeline: stages.pipeline.into(),
        stages: stages.stages.into_iter().map(stage).collect(),
    }
}
