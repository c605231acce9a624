//! Request counts of pipelines and times of their stages as protocol buffers.

use member::fact;

/// Encodes the request counts of a pipeline.
pub(super) fn encode_burn(burn: &fact::Burn) -> wire::Burn {
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

/// Decodes the request counts of a pipeline.
pub(super) fn decode_burn(burn: wire::Burn) -> fact::Burn {
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

/// Encodes the totals of a failure domain.
pub(super) fn encode_tally(tally: &fact::Tally) -> wire::Tally {
    wire::Tally {
        domain: tally.domain.to_string(),
        version: tally.version,
        burns: tally.burns.iter().map(encode_burn).collect(),
        stages: tally.stages.iter().map(encode_stages).collect(),
        unheard: tally.unheard,
    }
}

/// Decodes the totals of a failure domain.
pub(super) fn decode_tally(tally: wire::Tally) -> fact::Tally {
    fact::Tally {
        domain: tally.domain.into(),
        version: tally.version,
        burns: tally.burns.into_iter().map(decode_burn).collect(),
        stages: tally.stages.into_iter().map(decode_stages).collect(),
        unheard: tally.unheard,
    }
}

/// Encodes the times of a pipeline's stages.
pub(super) fn encode_stages(stages: &fact::Stages) -> wire::Stages {
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

/// Decodes the times of a pipeline's stages.
pub(super) fn decode_stages(stages: wire::Stages) -> fact::Stages {
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
