//! How long engines usually take to the first event of each route.

use core::time::Duration;

use base::Name;

/// The usual time besides reading the prompt, until it is measured, in milliseconds.
const UNKNOWN_MS: f64 = 120.0;

/// The share of the newest answer; 0.1 follows a change within some ten answers.
const GAIN: f64 = 0.1;

/// The longest time that counts, in milliseconds; longer ones tell of a failure.
const MOST_MS: f64 = 2_000.0;

/// What was measured, by route.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    routes: Vec<(Name, f64)>,
}

impl Pace {
    /// Takes note of the time to a first event, with the time that reading the prompt takes at full speed.
    pub fn note(&mut self, route: &Name, took: Duration, reading: Duration) {
        let ms = (millis(took) - millis(reading)).clamp(0.0, MOST_MS);
        let at = match self.find(route) {
            Ok(at) => at,
            Err(at) => {
                self.routes.insert(at, (route.clone(), UNKNOWN_MS));
                at
            }
        };
        let known = &mut self.routes[at].1;
        *known += GAIN * (ms - *known);
    }

    /// Returns the time that a first event is expected to take.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use relay::pace::Pace;
    /// let (mut pace, reading) = (Pace::default(), Duration::from_millis(60));
    /// for _ in 0..50 {
    ///     pace.note(&"digest".into(), Duration::from_millis(360), reading);
    /// }
    /// let expected = pace.expect(&"digest".into(), reading).as_millis();
    /// assert!((350..=360).contains(&expected));
    /// ```
    pub fn expect(&self, route: &Name, reading: Duration) -> Duration {
        let ms = self.find(route).map_or(UNKNOWN_MS, |at| self.routes[at].1);
        reading + Duration::from_secs_f64(ms / 1e3)
    }

    fn find(&self, route: &Name) -> Result<usize, usize> {
        self.routes.binary_search_by(|(known, _)| known.cmp(route))
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
