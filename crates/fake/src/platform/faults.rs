//! Faults of the platform, which can be changed while it runs.

use serde::{Deserialize, Serialize};

/// Faults of the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every service answers 503 without effect.
    pub down: bool,
    /// Requests on connections open when this is set are never answered; the setting itself
    /// returns to false at once.
    pub silence_open: bool,
    /// Added to every call, in milliseconds.
    pub slow_ms: u64,
    /// This many appends take effect and their connections are closed without an answer.
    pub lose_answers: u64,
    /// The time from the effect of an append to its answer, in milliseconds.
    pub append_answer_delay_ms: u64,
    /// This many appends take effect and are never answered.
    pub hang_appends: u64,
    /// This many appends have no effect and are never answered.
    pub hang_appends_before: u64,
    /// The age of the instance list that is served, in milliseconds.
    pub list_lag_ms: u64,
    /// The instance list that is served stays as it was when this was set.
    pub list_frozen: bool,
    /// An instance that has not registered again for this long leaves the list; 0 keeps all.
    pub list_expire_ms: u64,
    /// Records kept in each stream.
    pub keep_records: usize,
    /// How long records are kept, in milliseconds.
    pub keep_ms: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            silence_open: false,
            slow_ms: 0,
            lose_answers: 0,
            append_answer_delay_ms: 0,
            hang_appends: 0,
            hang_appends_before: 0,
            list_lag_ms: 0,
            list_frozen: false,
            list_expire_ms: 0,
            keep_records: 1_000_000,
            keep_ms: 24 * 60 * 60 * 1_000,
        }
    }
}

/// How one append ends for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Answered,
    HungAfterAppend,
    HungBeforeAppend,
    Closed,
}

impl Faults {
    /// Returns the outcome of the next append and decrements the counter of its fault.
    pub(super) fn next_append_outcome(&mut self) -> Outcome {
        let counters = [
            (&mut self.hang_appends_before, Outcome::HungBeforeAppend),
            (&mut self.hang_appends, Outcome::HungAfterAppend),
            (&mut self.lose_answers, Outcome::Closed),
        ];
        for (remaining, outcome) in counters {
            if *remaining > 0 {
                *remaining -= 1;
                return outcome;
            }
        }
        Outcome::Answered
    }
}
