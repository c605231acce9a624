//! How long callers have waited before, by the deadlines that they state.

use core::time::Duration;

use base::{Name, Tick};

use crate::Config;

/// The longest deadlines that routes' callers stated lately.
#[derive(Clone, Debug, Default)]
pub struct Deadlines {
    config: Config,
    routes: Vec<(Name, [Window; 2])>,
}

/// The longest deadline of a period.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    since: Tick,
    longest: Duration,
}

impl Deadlines {
    /// Creates a record without deadlines.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            routes: Vec::new(),
        }
    }

    /// Records the time left that a caller states, and returns how long it has waited since its first attempt, or zero if
    /// it may be its first attempt.
    ///
    /// First attempts state between 0.85 and 1 of the longest deadline of their route, so only a caller that states clearly
    /// less has returned, and its first deadline is taken to be an average one.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// let (mut deadlines, ms) = (room::Deadlines::default(), Duration::from_millis);
    /// let route = "digest".into();
    /// assert_eq!(deadlines.record(Tick::from_millis(1), &route, ms(5_000)), ms(0));
    /// assert_eq!(deadlines.record(Tick::from_millis(9), &route, ms(4_200)), ms(0));
    /// assert_eq!(deadlines.record(Tick::from_millis(9), &route, ms(3_800)), ms(825));
    /// ```
    pub fn record(&mut self, now: Tick, route: &Name, time_left: Duration) -> Duration {
        let at = match self.routes.binary_search_by(|(known, _)| known.cmp(route)) {
            Ok(at) => at,
            Err(at) => {
                self.routes.insert(at, (route.clone(), Default::default()));
                at
            }
        };
        let config = &self.config;
        let [current, previous] = &mut self.routes[at].1;
        if now - current.since >= config.deadline_memory {
            *previous = *current;
            *current = Window {
                since: now,
                ..Window::default()
            };
        }
        current.longest = current.longest.max(time_left);
        let longest = current.longest.max(previous.longest);
        if time_left >= longest.mul_f64(config.min_first_deadline) {
            return Duration::ZERO;
        }
        longest
            .mul_f64(config.mean_first_deadline)
            .saturating_sub(time_left)
    }
}
