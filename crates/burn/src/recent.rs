//! Recent counts of the instance itself, for shared screens.

use core::time::Duration;

use base::{Name, Stamp};

use crate::{
    Tracker,
    bucket::{Cost, Requests},
    cause::Cause,
};

/// Requests of a pipeline in a recent time span.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recent {
    /// The pipeline.
    pub pipeline: Name,
    /// Requests completely answered within their deadline.
    pub within: u64,
    /// Requests answered late.
    pub late: u64,
    /// Requests that were refused or failed.
    pub refused: u64,
}

impl Tracker {
    /// Returns the requests that this instance counted in the last `span`, by pipeline.
    ///
    /// The window is that of [`Tracker::report`]: all buckets that overlap the span count.
    ///
    /// # Examples
    ///
    /// ```
    /// use core::time::Duration;
    /// use base::{Code, Incarnation, Stamp};
    /// use burn::{Tracker, Event};
    /// let now = Stamp::from_millis(60_000);
    /// let mut tracker = Tracker::new(Incarnation::new("entry-1", now));
    /// let event = Event::ended("status".into(), "stewards".into(), Code::Overloaded, true, None);
    /// tracker.record(now, &event.unwrap());
    /// assert_eq!(tracker.recent(now, Duration::from_secs(300))[0].refused, 1);
    /// ```
    pub fn recent(&self, now: Stamp, span: Duration) -> Vec<Recent> {
        let mut sums: Vec<Recent> = Vec::new();
        for bucket in self.own_recent(now, span) {
            // Requests are sorted by pipeline, so each pipeline is looked up once per bucket.
            let groups = bucket.requests.chunk_by(|a, b| a.pipeline == b.pipeline);
            for group in groups {
                let pipeline = &group[0].pipeline;
                let at = sums.binary_search_by(|sum| sum.pipeline.cmp(pipeline));
                let at = at.unwrap_or_else(|at| {
                    let pipeline = pipeline.clone();
                    let sum = Recent {
                        pipeline,
                        ..Recent::default()
                    };
                    sums.insert(at, sum);
                    at
                });
                group.iter().for_each(|requests| sums[at].add(requests));
            }
        }
        sums
    }

    /// Returns the cost of stages that this instance counted in the last `span`, sorted by pipeline and stage.
    pub fn recent_costs(&self, now: Stamp, span: Duration) -> Vec<Cost> {
        let mut sums: Vec<Cost> = Vec::new();
        for cost in self.own_recent(now, span).flat_map(|bucket| &bucket.costs) {
            match sums.binary_search_by(|sum| sum.key().cmp(&cost.key())) {
                Ok(at) => sums[at].add(cost),
                Err(at) => sums.insert(at, cost.clone()),
            }
        }
        sums
    }
}

impl Recent {
    fn add(&mut self, requests: &Requests) {
        let sum = match requests.blame.as_ref().map(|blame| blame.cause) {
            None => &mut self.within,
            Some(Cause::Late) => &mut self.late,
            Some(_) => &mut self.refused,
        };
        *sum += requests.count;
    }
}
