//! Estimates for the requests of each route: the time to the first event, and the size.

use core::time::Duration;

use base::Name;

/// The initial estimate of the time to the first event without reading the prompt, in milliseconds.
const DEFAULT_MS: f64 = 120.0;

/// The weight of the newest answer; 0.1 follows a change within about ten answers.
const WEIGHT: f64 = 0.1;

/// The upper bound of a sample, in milliseconds; longer times indicate a failure.
const MAX_SAMPLE_MS: f64 = 2_000.0;

/// Moving averages by route.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    routes: Vec<Estimate>,
}

#[derive(Clone, Debug)]
struct Estimate {
    route: Name,
    /// The time to the first event without reading the prompt, in milliseconds.
    engine_ms: f64,
    /// The average size in tokens, or none before the first request.
    tokens: Option<f64>,
}

impl Estimator {
    /// Records the time to a first event, and the time that reading its prompt takes at full speed.
    pub fn record_first_event(
        &mut self,
        route: &Name,
        elapsed: Duration,
        prompt_read_time: Duration,
    ) {
        let ms = (millis(elapsed) - millis(prompt_read_time)).clamp(0.0, MAX_SAMPLE_MS);
        let estimate = self.estimate(route);
        estimate.engine_ms += WEIGHT * (ms - estimate.engine_ms);
    }

    /// Records a request's size in tokens, and returns its ratio to the average size of the route.
    pub fn record_size(&mut self, route: &Name, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let estimate = self.estimate(route);
        let average = estimate.tokens.unwrap_or(tokens);
        estimate.tokens = Some(average + WEIGHT * (tokens - average));
        tokens / average.max(1.0)
    }

    /// Returns the expected time to the first event.
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
    pub fn first_event_time(&self, route: &Name, prompt_read_time: Duration) -> Duration {
        let ms = self
            .find(route)
            .map_or(DEFAULT_MS, |at| self.routes[at].engine_ms);
        prompt_read_time + Duration::from_secs_f64(ms / 1e3)
    }

    fn estimate(&mut self, route: &Name) -> &mut Estimate {
        let at = match self.find(route) {
            Ok(at) => at,
            Err(at) => {
                let estimate = Estimate {
                    route: route.clone(),
                    engine_ms: DEFAULT_MS,
                    tokens: None,
                };
                self.routes.insert(at, estimate);
                at
            }
        };
        &mut self.routes[at]
    }

    fn find(&self, route: &Name) -> Result<usize, usize> {
        self.routes
            .binary_search_by(|estimate| estimate.route.cmp(route))
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
