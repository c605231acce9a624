//! The pace at which a server writes the events of a stream.

use core::time::Duration;

use base::Tick;

/// The number of events after which their mean gap is recorded, also while the stream runs.
const EVENTS: u64 = 16;

/// The fewest events of which a mean gap is recorded at the end of a stream.
const MIN_EVENTS: u64 = 4;

/// The delay of a caller above which the gap to the next event shows nothing of the server.
const MAX_CALLER_DELAY: Duration = Duration::from_millis(5);

/// The events since the mean gap was last recorded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    /// The first of these events, and when it arrived.
    first: Option<(Tick, u64)>,
    last: Option<(Tick, u64)>,
}

impl Pace {
    /// Records that the caller waits for the next event.
    pub(crate) fn record_wait(&mut self, now: Tick) {
        if self.last.is_some_and(|(at, _)| now - at > MAX_CALLER_DELAY) {
            *self = Self::default();
        }
    }

    /// Records the number of the newest event, and returns the mean gap once enough have arrived.
    pub(crate) fn record(&mut self, now: Tick, event: Option<u64>) -> Option<Duration> {
        let newest = (now, event?);
        self.last = Some(newest);
        self.first.get_or_insert(newest);
        let gap = self.mean_gap(EVENTS)?;
        self.first = Some(newest);
        Some(gap)
    }

    /// Returns the mean gap of the events that were not recorded yet, if there are enough.
    pub(crate) fn finish(&mut self) -> Option<Duration> {
        let gap = self.mean_gap(MIN_EVENTS);
        *self = Self::default();
        gap
    }

    fn mean_gap(&self, min_events: u64) -> Option<Duration> {
        let ((since, first), (until, last)) = (self.first?, self.last?);
        let events = last.saturating_sub(first);
        (events >= min_events).then(|| (until - since) / u32::try_from(events).unwrap_or(u32::MAX))
    }
}
