//! All buckets that an instance knows of, its own and those of its peers.

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

/// Minutes that are joined.
const HOUR: Duration = Duration::from_secs(3_600);

/// All buckets that an instance knows of.
///
/// # Examples
///
/// ```
/// use base::{Code, Incarnation, Stamp};
/// use burn::{Tracker, Event};
/// let now = Stamp::from_millis(60_000);
/// let mut here = Tracker::open(Incarnation::new("entry-1", now));
/// let mut there = Tracker::open(Incarnation::new("entry-2", now));
/// let event = Event::ended("status".into(), "stewards".into(), Code::Answered, true, None);
/// here.record(now, &event.clone().unwrap());
/// there.record(now, &event.unwrap());
/// here.merge(&there);
/// here.merge(&there);
/// assert_eq!(here.report(now).pipelines[0].budget.total, 2);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tracker {
    /// The instance whose tracker it is.
    pub origin: Incarnation,
    /// The objectives of the newest bundle heard of.
    pub objectives: Objectives,
    /// Buckets, sorted by origin and sequence.
    buckets: Vec<Bucket>,
    /// The sequence number of the next bucket.
    next: u64,
    /// The own bucket that still grows, by its sequence number.
    open: Option<u64>,
    #[serde(skip)]
    config: Config,
}

impl Tracker {
    /// Returns an empty tracker of an instance, with default settings.
    pub fn open(origin: Incarnation) -> Self {
        Self::with_config(origin, Config::default())
    }

    /// Returns an empty tracker of an instance.
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
            Event::Called(called) => self.bucket(now).count_call(called),
            Event::Ended(ended) => self.bucket(now).count_request(ended),
            Event::InForce(objectives) => self.update_objectives(objectives),
        }
    }

    /// Closes the minute that is over, joins old minutes by the hour and drops what is too old.
    ///
    /// Counting does this too, once a minute; an idle instance calls it by itself.
    pub fn compact(&mut self, now: Stamp) {
        let open = self.open.and_then(|sequence| self.find(sequence));
        if let Some(at) = open.filter(|at| now >= self.buckets[*at].end) {
            self.buckets[at].merge_small_accounts(self.config.max_accounts);
            self.open = None;
        }
        self.join_hours(now);
        let kept = self.config.retention;
        self.buckets.retain(|bucket| now - bucket.end < kept);
    }

    /// Takes in what another tracker holds; doing it twice changes nothing.
    pub fn merge(&mut self, other: &Self) {
        self.update_objectives(&other.objectives);
        for bucket in &other.buckets {
            self.merge_bucket(bucket);
        }
    }

    /// Takes in a bucket; buckets of this instance's own life are known better here.
    pub fn merge_bucket(&mut self, bucket: &Bucket) {
        if bucket.origin == self.origin || bucket.first > bucket.last {
            return;
        }
        let same = self.range_of(&bucket.origin);
        let held = &self.buckets[same.clone()];
        if held.iter().any(|held| held.covers(bucket)) {
            return;
        }
        for at in same.rev() {
            if bucket.covers(&self.buckets[at]) {
                self.buckets.remove(at);
            }
        }
        self.insert(bucket.clone());
    }

    /// Returns the own closed buckets that end after a sequence number, for peers.
    pub fn closed_after(&self, sequence: Option<u64>) -> impl Iterator<Item = &Bucket> {
        self.buckets[self.range_of(&self.origin)]
            .iter()
            .filter(move |bucket| !self.is_open(bucket) && Some(bucket.last) > sequence)
    }

    /// Returns all buckets, sorted by origin and sequence.
    pub fn buckets(&self) -> &[Bucket] {
        &self.buckets
    }

    /// Returns the report for a time.
    pub fn report(&self, now: Stamp) -> Report {
        Report::new(now, &self.buckets, &self.objectives, &self.config)
    }

    /// Returns the buckets of this instance's own life.
    pub(crate) fn own_buckets(&self) -> &[Bucket] {
        &self.buckets[self.range_of(&self.origin)]
    }

    pub(crate) const fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the buckets of this instance's own life that reach into the last span.
    pub(crate) fn own(&self, now: Stamp, span: Duration) -> impl Iterator<Item = &Bucket> {
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

    /// Returns the own bucket for a time; a new one if the clock left the minute either way.
    fn bucket(&mut self, now: Stamp) -> &mut Bucket {
        let open = self.open.and_then(|sequence| self.find(sequence));
        let at = match open {
            Some(at) if (self.buckets[at].start..self.buckets[at].end).contains(&now) => at,
            _ => {
                self.compact(now);
                let bucket =
                    Bucket::open(self.origin.clone(), self.next, floor(now, MINUTE), MINUTE);
                self.open = Some(self.next);
                self.next += 1;
                self.insert(bucket)
            }
        };
        &mut self.buckets[at]
    }

    fn range_of(&self, origin: &Incarnation) -> Range<usize> {
        let start = self.buckets.partition_point(|held| held.origin < *origin);
        let end = self.buckets.partition_point(|held| held.origin <= *origin);
        start..end
    }

    fn find(&self, sequence: u64) -> Option<usize> {
        self.buckets
            .binary_search_by(|held| (&held.origin, held.first).cmp(&(&self.origin, sequence)))
            .ok()
    }

    fn insert(&mut self, bucket: Bucket) -> usize {
        let at = self
            .buckets
            .partition_point(|held| (&held.origin, held.first) < (&bucket.origin, bucket.first));
        self.buckets.insert(at, bucket);
        at
    }

    /// Joins own neighbours that lie in one hour. Only their origin may, or two instances would
    /// join different ranges that overlap.
    fn join_hours(&mut self, now: Stamp) {
        let (kept, own, open) = (self.config.minute_retention, self.origin.clone(), self.open);
        let accounts = self.config.max_accounts;
        let old = |bucket: &Bucket| {
            bucket.origin == own && open != Some(bucket.first) && now - bucket.end >= kept
        };
        self.buckets.dedup_by(|next, before| {
            let joined = old(next)
                && old(before)
                && before.last + 1 == next.first
                && floor(before.start, HOUR) == floor(next.start, HOUR);
            if joined {
                before.merge(next);
                before.merge_small_accounts(accounts);
            }
            joined
        });
    }
}

fn floor(at: Stamp, span: Duration) -> Stamp {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    Stamp::from_millis(at.as_millis() / millis * millis)
}
