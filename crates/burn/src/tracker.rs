//! Tracks an instance's own buckets and those of its peers.

use core::{ops::Range, time::Duration};

use base::{Incarnation, Stamp};
use serde::{Deserialize, Serialize};

use crate::{
    bucket::Bucket,
    configs::Config,
    event::{Event, Objectives},
    report::Report,
};

/// The span of a bucket.
const MINUTE: Duration = Duration::from_secs(60);

/// The span of a merged bucket.
const HOUR: Duration = Duration::from_secs(3_600);

/// Tracks an instance's own buckets and those of its peers.
///
/// # Examples
///
/// ```
/// use base::{Code, Incarnation, Stamp};
/// use burn::{Tracker, Event};
/// let now = Stamp::from_millis(60_000);
/// let mut tracker = Tracker::new(Incarnation::new("entry-1", now));
/// let mut peer = Tracker::new(Incarnation::new("entry-2", now));
/// let event = Event::ended("status".into(), "stewards".into(), Code::Answered, true, None);
/// tracker.record(now, &event.clone().unwrap());
/// peer.record(now, &event.unwrap());
/// tracker.merge(&peer);
/// tracker.merge(&peer);
/// assert_eq!(tracker.report(now).pipelines[0].budget.total, 2);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tracker {
    /// The instance that owns this tracker.
    pub origin: Incarnation,
    /// The objectives of the newest known bundle.
    pub objectives: Objectives,
    /// Buckets, sorted by origin and sequence.
    buckets: Vec<Bucket>,
    /// The sequence number of the next bucket.
    next: u64,
    /// The sequence number of the own bucket that is still open.
    open: Option<u64>,
    #[serde(skip)]
    config: Config,
}

impl Tracker {
    /// Returns an empty tracker with default settings.
    pub fn new(origin: Incarnation) -> Self {
        Self::with_config(origin, Config::default())
    }

    /// Returns an empty tracker with the given settings.
    pub fn with_config(origin: Incarnation, config: Config) -> Self {
        Self {
            origin,
            objectives: Objectives::default(),
            buckets: Vec::new(),
            next: 0,
            open: None,
            config,
        }
    }

    /// Counts an event.
    pub fn record(&mut self, now: Stamp, event: &Event) {
        match event {
            Event::Called(called) => self.open_bucket(now).count_call(called),
            Event::Ended(ended) => self.open_bucket(now).count_request(ended),
            Event::InForce(objectives) => self.update_objectives(objectives),
        }
    }

    /// Closes the bucket of a past minute, merges old minutes by the hour and drops expired buckets.
    ///
    /// Recording an event does this once a minute too; an idle instance has to call it.
    pub fn compact(&mut self, now: Stamp) {
        let open = self.open.and_then(|sequence| self.find(sequence));
        if let Some(at) = open.filter(|at| now >= self.buckets[*at].end) {
            self.buckets[at].merge_small_accounts(self.config.max_accounts);
            self.open = None;
        }
        self.merge_hours(now);
        let retention = self.config.retention;
        self.buckets.retain(|bucket| now - bucket.end < retention);
    }

    /// Merges another tracker into this one. Merging is idempotent.
    pub fn merge(&mut self, other: &Self) {
        self.update_objectives(&other.objectives);
        for bucket in &other.buckets {
            self.merge_bucket(bucket);
        }
    }

    /// Merges a bucket of a peer. Buckets of this instance are ignored, since its own are up to date.
    pub fn merge_bucket(&mut self, bucket: &Bucket) {
        if bucket.origin == self.origin || bucket.first > bucket.last {
            return;
        }
        let range = self.range_of(&bucket.origin);
        let known = &self.buckets[range.clone()];
        if known.iter().any(|known| known.covers(bucket)) {
            return;
        }
        for at in range.rev() {
            if bucket.covers(&self.buckets[at]) {
                self.buckets.remove(at);
            }
        }
        self.insert(bucket.clone());
    }

    /// Returns the own closed buckets after a sequence number.
    pub fn closed_after(&self, sequence: Option<u64>) -> impl Iterator<Item = &Bucket> {
        self.buckets[self.range_of(&self.origin)]
            .iter()
            .filter(move |bucket| !self.is_open(bucket) && Some(bucket.last) > sequence)
    }

    /// Returns all buckets, sorted by origin and sequence.
    pub fn buckets(&self) -> &[Bucket] {
        &self.buckets
    }

    /// Returns the report at a time.
    pub fn report(&self, now: Stamp) -> Report {
        Report::new(now, &self.buckets, &self.objectives, &self.config)
    }

    /// Returns the own buckets since this instance's start.
    pub(crate) fn own_buckets(&self) -> &[Bucket] {
        &self.buckets[self.range_of(&self.origin)]
    }

    pub(crate) const fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the own buckets that overlap the last `span`.
    pub(crate) fn own_recent(&self, now: Stamp, span: Duration) -> impl Iterator<Item = &Bucket> {
        self.own_buckets()
            .iter()
            .filter(move |bucket| now - bucket.end < span)
    }

    fn update_objectives(&mut self, objectives: &Objectives) {
        if objectives.version > self.objectives.version {
            self.objectives = objectives.clone();
        }
    }

    fn is_open(&self, bucket: &Bucket) -> bool {
        bucket.origin == self.origin && self.open == Some(bucket.first)
    }

    /// Returns the own bucket for a time. Opens a new one if the clock left the minute of the open one,
    /// forwards or backwards.
    fn open_bucket(&mut self, now: Stamp) -> &mut Bucket {
        let open = self.open.and_then(|sequence| self.find(sequence));
        let at = match open {
            Some(at) if (self.buckets[at].start..self.buckets[at].end).contains(&now) => at,
            _ => {
                self.compact(now);
                let bucket =
                    Bucket::new(self.origin.clone(), self.next, floor(now, MINUTE), MINUTE);
                self.open = Some(self.next);
                self.next += 1;
                self.insert(bucket)
            }
        };
        &mut self.buckets[at]
    }

    fn range_of(&self, origin: &Incarnation) -> Range<usize> {
        let start = self.buckets.partition_point(|known| known.origin < *origin);
        let end = self
            .buckets
            .partition_point(|known| known.origin <= *origin);
        start..end
    }

    fn find(&self, sequence: u64) -> Option<usize> {
        self.buckets
            .binary_search_by(|known| (&known.origin, known.first).cmp(&(&self.origin, sequence)))
            .ok()
    }

    fn insert(&mut self, bucket: Bucket) -> usize {
        let at = self
            .buckets
            .partition_point(|known| (&known.origin, known.first) < (&bucket.origin, bucket.first));
        self.buckets.insert(at, bucket);
        at
    }

    /// Merges adjacent own buckets of the same hour. Only their origin may do this: two instances could
    /// merge different ranges that overlap.
    fn merge_hours(&mut self, now: Stamp) {
        let (retention, own, open) = (self.config.minute_retention, self.origin.clone(), self.open);
        let accounts = self.config.max_accounts;
        let is_old = |bucket: &Bucket| {
            bucket.origin == own && open != Some(bucket.first) && now - bucket.end >= retention
        };
        self.buckets.dedup_by(|next, before| {
            let mergeable = is_old(next)
                && is_old(before)
                && before.last + 1 == next.first
                && floor(before.start, HOUR) == floor(next.start, HOUR);
            if mergeable {
                before.merge(next);
                before.merge_small_accounts(accounts);
            }
            mergeable
        });
    }
}

fn floor(at: Stamp, span: Duration) -> Stamp {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    Stamp::from_millis(at.as_millis() / millis * millis)
}
