//! Counts over a recent time span.

use core::time::Duration;

use base::{Name, Stamp};
use serde::{Deserialize, Serialize};

use crate::bucket::{Bucket, Requests};

/// Requests over a recent time span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// The length of the span, in seconds.
    pub seconds: u64,
    /// The number of requests that count.
    pub total: u64,
    /// The number of requests completely answered within their deadline.
    pub within: u64,
    /// The share answered within their deadline, from 0 to 1; 1 if there were no requests.
    pub attainment: f64,
    /// The burn rate of the error budget; a rate of 1 spends exactly the budget.
    pub burn: f64,
}

impl Window {
    /// Counts the requests of a pipeline in all buckets that overlap the last `span`.
    pub(crate) fn over(
        span: Duration,
        now: Stamp,
        buckets: &[Bucket],
        objective: f64,
        pipeline: &Name,
    ) -> Self {
        let recent = buckets.iter().filter(|bucket| now - bucket.end < span);
        let requests = recent.flat_map(|bucket| bucket.requests_of(pipeline));
        Self::from_requests(span, requests, objective)
    }

    /// Counts the given requests.
    pub(crate) fn from_requests<'a>(
        span: Duration,
        requests: impl IntoIterator<Item = &'a Requests>,
        objective: f64,
    ) -> Self {
        let (mut total, mut within) = (0, 0);
        for one in requests {
            total += one.count;
            within += if one.blame.is_none() { one.count } else { 0 };
        }
        Self::new(span.as_secs(), total, within, objective)
    }

    /// Returns the window with the given counts.
    pub(crate) fn new(seconds: u64, total: u64, within: u64, objective: f64) -> Self {
        let attainment = share(within, total);
        Self {
            seconds,
            total,
            within,
            attainment,
            burn: (1.0 - attainment) / (1.0 - objective),
        }
    }
}

/// Returns the counts of a pipeline for each of the last sixty minutes, oldest first.
pub(crate) fn minutes(
    now: Stamp,
    buckets: &[Bucket],
    objective: f64,
    pipeline: &Name,
) -> Vec<Window> {
    const COUNT: u64 = 60;
    const MINUTE: Duration = Duration::from_secs(60);
    let last = now.as_millis() / 60_000;
    (last.saturating_sub(COUNT - 1)..=last)
        .map(|minute| {
            let start = Stamp::from_millis(minute * 60_000);
            let within = buckets.iter().filter(|bucket| bucket.start == start);
            let requests = within.flat_map(|bucket| bucket.requests_of(pipeline));
            Window::from_requests(MINUTE, requests, objective)
        })
        .collect()
}

/// Returns `part` as a share of `whole`; 1 if the whole is 0.
pub(crate) fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        1.0
    } else {
        part as f64 / whole as f64
    }
}

/// Returns the names sorted and without duplicates.
pub(crate) fn names<'a>(names: impl Iterator<Item = &'a Name>) -> Vec<Name> {
    let mut names: Vec<Name> = names.cloned().collect();
    names.sort();
    names.dedup();
    names
}
