//! Departures of backend servers that an instance learned recently, to be passed on to other instances.

use core::time::Duration;

use base::{Name, Tick};

/// How long a departure is passed on; it covers several heartbeats.
const PASS_ON_TIME: Duration = Duration::from_secs(2);

/// The largest number of departures that are passed on at a time.
const MAX_DEPARTURES: usize = 256;

/// The departure of one run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The server.
    pub server: Name,
    /// The start time of the run in Unix milliseconds, or 0 if unknown.
    pub started_at_ms: u64,
}

/// The departures that were learned recently.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    recent: Vec<(Tick, Departure)>,
}

impl Departures {
    /// Records a departure that was unknown before.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use mesh::Departures;
    /// let mut departures = Departures::default();
    /// departures.record(Tick::from_millis(5), &"i-1".into(), 7);
    /// assert_eq!(departures.recent(Tick::from_millis(6)).count(), 1);
    /// assert_eq!(departures.recent(Tick::from_millis(9_000)).count(), 0);
    /// ```
    pub fn record(&mut self, now: Tick, server: &Name, started_at_ms: u64) {
        self.recent.retain(|(since, _)| now - *since < PASS_ON_TIME);
        if self.recent.len() >= MAX_DEPARTURES {
            self.recent.remove(0);
        }
        let departure = Departure {
            server: server.clone(),
            started_at_ms,
        };
        self.recent.push((now, departure));
    }

    /// Returns the departures to pass on.
    pub fn recent(&self, now: Tick) -> impl Iterator<Item = &Departure> {
        let recent = self.recent.iter();
        recent
            .filter(move |(since, _)| now - *since < PASS_ON_TIME)
            .map(|(_, departure)| departure)
    }
}
