//! How long callers have waited before, by the deadlines that they state.

use core::time::Duration;

use base::{Name, Tick};

use crate::Config;

/// The usual deadlines of routes' callers.
#[derive(Clone, Debug, Default)]
pub struct Deadlines {
    config: Config,
    routes: Vec<(Name, [Window; 2])>,
}

/// The deadlines stated in a period.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    since: Tick,
    longest: Duration,
    count: u32,
    /// The number of requests with about the longest deadline.
    usual: u32,
}

impl Deadlines {
    /// Creates a record without deadlines.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            routes: Vec::new(),
        }
    }

    /// Records the time left that a caller states, and returns how long it has waited since its first attempt.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::Tick;
    /// let (mut deadlines, ms) = (room::Deadlines::default(), Duration::from_millis);
    /// let route = "digest".into();
    /// assert_eq!(deadlines.record(Tick::from_millis(1), &route, ms(5_000)), ms(0));
    /// assert_eq!(deadlines.record(Tick::from_millis(9), &route, ms(4_200)), ms(800));
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
        if time_left > current.longest + config.min_waited {
            *current = Window {
                since: current.since,
                longest: time_left,
                ..*current
            };
            current.usual = 0;
        }
        current.count += 1;
        current.usual += u32::from(time_left + config.min_waited > current.longest);
        let longest = current.longest.max(previous.longest);
        let count = current.count + previous.count;
        let is_near = |window: &Window| window.longest + config.min_waited > longest;
        let windows = [*current, *previous];
        let usual = windows.iter().filter(|window| is_near(window));
        let usual: u32 = usual.map(|window| window.usual).sum();
        let waited = longest.saturating_sub(time_left);
        if waited < config.min_waited || f64::from(usual) < config.usual_share * f64::from(count) {
            return Duration::ZERO;
        }
        waited
    }
}
