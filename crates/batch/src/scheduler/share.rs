//! The part of a shard's capacity that pieces on time take.

use core::time::Duration;

use base::Tick;
use site::pool::Pieces;

use crate::configs::Config;

/// A decaying number of pieces.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    pieces: f64,
    decayed_at: Tick,
}

impl Recent {
    pub(super) fn record(&mut self, pieces: usize) {
        self.pieces += pieces as f64;
    }

    /// Returns the part of the servers' capacity that the pieces took lately.
    pub(super) fn share(
        &mut self,
        now: Tick,
        config: &Config,
        work: &Pieces,
        servers: usize,
    ) -> f64 {
        let elapsed = now - self.decayed_at;
        self.decayed_at = now;
        self.pieces *= (-elapsed.div_duration_f64(config.share_memory)).exp();
        let call_time = work.full_call_time().max(Duration::from_millis(1));
        let calls = config.share_memory.div_duration_f64(call_time);
        let capacity = servers as f64 * work.max_batch.max(1) as f64 * calls;
        self.pieces / capacity.max(1.0)
    }
}
