//! What is usual for the requests of each route: the time to the first event, and the size.

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
pub struct Estimator {
    routes: Vec<Usual>,
}

#[derive(Clone, Debug)]
struct Usual {
    route: Name,
    /// The time to the first event besides reading the prompt, in milliseconds.
    engine_ms: f64,
    /// The mean size in tokens, none before the first request.
    tokens: Option<f64>,
}

impl Estimator {
    /// Takes note of the time to a first event, with the time that reading the prompt takes at full speed.
    pub fn record_first_event(&mut self, route: &Name, took: Duration, reading: Duration) {
        let ms = (millis(took) - millis(reading)).clamp(0.0, MOST_MS);
        let known = self.usual(route);
        known.engine_ms += GAIN * (ms - known.engine_ms);
    }

    /// Takes note of a request's size in tokens, and returns it in mean sizes of its route.
    pub fn record_size(&mut self, route: &Name, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let known = self.usual(route);
        let mean = known.tokens.unwrap_or(tokens);
        known.tokens = Some(mean + GAIN * (tokens - mean));
        tokens / mean.max(1.0)
    }

    /// Returns the time that a first event is expected to take.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use relay::estimate::Estimator;
    /// let (mut estimator, reading) = (Estimator::default(), Duration::from_millis(60));
    /// for _ in 0..50 {
    ///     estimator.record_first_event(&"digest".into(), Duration::from_millis(360), reading);
    /// }
    /// let expected = estimator.first_event_time(&"digest".into(), reading).as_millis();
    /// assert!((350..=360).contains(&expected));
    /// ```
    pub fn first_event_time(&self, route: &Name, reading: Duration) -> Duration {
        let ms = self
            .find(route)
            .map_or(UNKNOWN_MS, |at| self.routes[at].engine_ms);
        reading + Duration::from_secs_f64(ms / 1e3)
    }

    fn usual(&mut self, route: &Name) -> &mut Usual {
        let at = match self.find(route) {
            Ok(at) => at,
            Err(at) => {
                let usual = Usual {
                    route: route.clone(),
                    engine_ms: UNKNOWN_MS,
                    tokens: None,
                };
                self.routes.insert(at, usual);
                at
            }
        };
        &mut self.routes[at]
    }

    fn find(&self, route: &Name) -> Result<usize, usize> {
        self.routes.binary_search_by(|known| known.route.cmp(route))
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
