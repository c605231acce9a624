//! What one instance counted in one span of time.

use core::time::Duration;

use base::{Incarnation, Name, Stamp};
use serde::{Deserialize, Serialize};

use crate::{
    cause::Blame,
    event::{Called, Ended},
};

/// Cost is counted in millionths of operators' units, so that sums don't depend on their order.
const MICROS: f64 = 1e6;

/// Stands for all client accounts that have no count of their own; no account can have this name.
pub const OTHERS: &str = "(others)";

/// What one instance counted in one span of time.
///
/// A bucket only grows while its minute lasts, so of two copies the one with more events holds
/// the other. A bucket that joins several covers a range of sequence numbers and holds all that
/// buckets within this range hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// The instance that counted.
    pub origin: Incarnation,
    /// The sequence number, in this life of the instance, of the first bucket in it.
    pub first: u64,
    /// The sequence number of the last bucket in it.
    pub last: u64,
    /// Where its span begins, by the instance's clock.
    pub start: Stamp,
    /// Where its span ends.
    pub end: Stamp,
    /// The number of events counted.
    pub events: u64,
    /// Requests by pipeline, client account and blame, sorted.
    pub requests: Vec<Requests>,
    /// Cost by pipeline and stage, sorted.
    pub costs: Vec<Cost>,
}

/// Requests that ended alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requests {
    /// The pipeline.
    pub pipeline: Name,
    /// The client account.
    pub account: Name,
    /// Why they were not wholly answered in time; none if they were.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub blame: Option<Blame>,
    /// Their number.
    pub count: u64,
}

/// What a stage of a pipeline cost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// The pipeline.
    pub pipeline: Name,
    /// The stage.
    pub stage: Name,
    /// Calls.
    pub calls: u64,
    /// Calls that were retries or hedges.
    pub repeats: u64,
    /// Calls whose result was of no use.
    pub wasted_calls: u64,
    /// The time that backend servers were busy, in microseconds.
    pub busy_micros: u64,
    /// The cost, in millionths of operators' units.
    pub cost_micros: u64,
    /// The cost of calls whose result was of no use, in millionths of operators' units.
    pub wasted_micros: u64,
}

impl Bucket {
    /// Returns an empty bucket.
    pub fn open(origin: Incarnation, sequence: u64, start: Stamp, span: Duration) -> Self {
        Self {
            origin,
            first: sequence,
            last: sequence,
            start,
            end: start + span,
            events: 0,
            requests: Vec::new(),
            costs: Vec::new(),
        }
    }

    /// Counts the end of a request.
    pub fn count_request(&mut self, ended: &Ended) {
        self.events += 1;
        self.add_requests(&Requests {
            pipeline: ended.pipeline.clone(),
            account: ended.account.clone(),
            blame: ended.blame.clone(),
            count: 1,
        });
    }

    /// Counts a call.
    pub fn count_call(&mut self, called: &Called) {
        self.events += 1;
        let busy = u64::try_from(called.busy.as_micros()).unwrap_or(u64::MAX);
        let cost = (called.busy.as_secs_f64() * called.cost_per_second * MICROS) as u64;
        self.add_cost(&Cost {
            pipeline: called.pipeline.clone(),
            stage: called.stage.clone(),
            calls: 1,
            repeats: u64::from(called.repeat),
            wasted_calls: u64::from(called.wasted),
            busy_micros: busy,
            cost_micros: cost,
            wasted_micros: if called.wasted { cost } else { 0 },
        });
    }

    /// Returns the requests of a pipeline.
    pub fn requests_of(&self, pipeline: &Name) -> &[Requests] {
        let start = self
            .requests
            .partition_point(|one| one.pipeline < *pipeline);
        let end = self
            .requests
            .partition_point(|one| one.pipeline <= *pipeline);
        &self.requests[start..end]
    }

    /// Tells whether this bucket holds everything that another one holds.
    pub fn covers(&self, other: &Self) -> bool {
        let within = self.first <= other.first && other.last <= self.last;
        let same = self.first == other.first && self.last == other.last;
        self.origin == other.origin && within && (!same || self.events >= other.events)
    }

    /// Adds the counts of another bucket, and its sequence numbers and span.
    pub fn merge(&mut self, other: &Self) {
        self.first = self.first.min(other.first);
        self.last = self.last.max(other.last);
        self.start = self.start.min(other.start);
        self.end = self.end.max(other.end);
        self.events += other.events;
        for requests in &other.requests {
            self.add_requests(requests);
        }
        for cost in &other.costs {
            self.add_cost(cost);
        }
    }

    /// Counts all but the client accounts with the most requests under the name [`OTHERS`].
    pub fn merge_small_accounts(&mut self, kept: usize) {
        let mut totals: Vec<(Name, u64)> = Vec::new();
        for one in &self.requests {
            match totals.binary_search_by(|(name, _)| name.cmp(&one.account)) {
                Ok(at) => totals[at].1 += one.count,
                Err(at) => totals.insert(at, (one.account.clone(), one.count)),
            }
        }
        let is_others = |name: &Name| name.as_str() == OTHERS;
        totals.retain(|(name, _)| !is_others(name));
        if totals.len() <= kept {
            return;
        }
        totals.sort_by_key(|(_, count)| core::cmp::Reverse(*count));
        let folded = totals.split_off(kept);
        for mut one in core::mem::take(&mut self.requests) {
            if folded.iter().any(|(name, _)| *name == one.account) {
                one.account = Name::from(OTHERS);
            }
            self.add_requests(&one);
        }
    }

    fn add_requests(&mut self, more: &Requests) {
        match self
            .requests
            .binary_search_by(|requests| requests.key().cmp(&more.key()))
        {
            Ok(at) => self.requests[at].count += more.count,
            Err(at) => self.requests.insert(at, more.clone()),
        }
    }

    fn add_cost(&mut self, more: &Cost) {
        match self
            .costs
            .binary_search_by(|cost| cost.key().cmp(&more.key()))
        {
            Ok(at) => self.costs[at].add(more),
            Err(at) => self.costs.insert(at, more.clone()),
        }
    }
}

impl Requests {
    fn key(&self) -> (&Name, &Name, &Option<Blame>) {
        (&self.pipeline, &self.account, &self.blame)
    }
}

impl Cost {
    pub(crate) fn key(&self) -> (&Name, &Name) {
        (&self.pipeline, &self.stage)
    }

    pub(crate) fn add(&mut self, more: &Self) {
        self.calls += more.calls;
        self.repeats += more.repeats;
        self.wasted_calls += more.wasted_calls;
        self.busy_micros += more.busy_micros;
        self.cost_micros += more.cost_micros;
        self.wasted_micros += more.wasted_micros;
    }
}
