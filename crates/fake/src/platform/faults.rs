//! What goes wrong at the platform, settable while it runs.

use serde::{Deserialize, Serialize};

/// What goes wrong at the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every service answers 503 without effect.
    pub down: bool,
    /// Connections open when this is set go silent for good; it is back to false at once.
    pub silence_open: bool,
    /// Added to every call, in milliseconds.
    pub slow_ms: u64,
    /// This many appends take effect and their connections are closed without an answer.
    pub lose_answers: u64,
    /// This many appends take effect and their connections go silent.
    pub hang_appends: u64,
    /// This many appends have no effect and their connections go silent.
    pub hang_appends_before: u64,
    /// How old the instance list is that is served, in milliseconds.
    pub list_lag_ms: u64,
    /// The instance list stays as it was when this was set.
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

/// What becomes of one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    Answered,
    HungAfter,
    HungBefore,
    Lost,
}

impl Faults {
    /// Uses up one of the appends that go wrong, if any are left.
    pub(super) fn take_fate(&mut self) -> Fate {
        let counters = [
            (&mut self.hang_appends_before, Fate::HungBefore),
            (&mut self.hang_appends, Fate::HungAfter),
            (&mut self.lose_answers, Fate::Lost),
        ];
        for (left, fate) in counters {
            if *left > 0 {
                *left -= 1;
                return fate;
            }
        }
        Fate::Answered
    }
}
