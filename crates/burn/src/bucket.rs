//! The counts of one instance in one time span.

use core::time::Duration;

use base::{Incarnation, Name, Stamp};
use serde::{Deserialize, Serialize};

use crate::{
    cause::Blame,
    event::{Called, Ended},
};

/// Cost is counted in integer millionths of the operators' cost unit, so that sums don't depend on
/// their order.
const MICROS_PER_UNIT: f64 = 1e6;

/// The name that stands for all client accounts without a count of their own. No account can have it,
/// since names have no parentheses.
pub const OTHERS: &str = "(others)";

/// The counts of one instance in one time span.
///
/// A bucket only grows during its minute, so of two copies the one with more events includes the
/// other. A merged bucket has a range of sequence numbers and includes all buckets within it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// The instance that counted.
    pub origin: Incarnation,
    /// The sequence number of the first bucket included, counted from the instance's start.
    pub first: u64,
    /// The sequence number of the last bucket included.
    pub last: u64,
    /// The start of the span, by the instance's clock.
    pub start: Stamp,
    /// The end of the span.
    pub end: Stamp,
    /// The number of events counted.
    pub events: u64,
    /// Requests by pipeline, client account and blame, sorted.
    pub requests: Vec<Requests>,
    /// Cost by pipeline and stage, sorted.
    pub costs: Vec<Cost>,
}

/// Requests of one pipeline and client account with the same blame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requests {
    /// The pipeline.
    pub pipeline: Name,
    /// The client account.
    pub account: Name,
    /// Why they were not completely answered in time; none if they were.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub blame: Option<Blame>,
    /// The number of requests.
    pub count: u64,
}

/// The cost of a stage of a pipeline.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// The pipeline.
    pub pipeline: Name,
    /// The stage.
    pub stage: Name,
    /// The number of calls.
    pub calls: u64,
    /// The number of calls that were retries or hedges.
    pub repeats: u64,
    /// The number of calls whose result was not used.
    pub wasted_calls: u64,
    /// The time that backend servers were busy, in microseconds.
    pub busy_micros: u64,
    /// The cost, in millionths of the operators' cost unit.
    pub cost_micros: u64,
    /// The cost of calls whose result was not used, in millionths of the operators' cost unit.
    pub wasted_micros: u64,
}

impl Bucket {
    /// Returns an empty bucket.
    pub fn new(origin: Incarnation, sequence: u64, start: Stamp, span: Duration) -> Self {
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

    /// Counts a finished request.
    pub fn count_request(&mut self, ended: &Ended) {
        self.events += 1;
        self.add_requests(&Requests {
            pipeline: ended.pipeline.clone(),
            account: ended.account.clone(),
            blame: ended.blame.clone(),
            count: 1,
        });
    }

    /// Counts a call and its cost.
    pub fn count_call(&mut self, called: &Called) {
        self.events += 1;
        let busy = u64::try_from(called.busy.as_micros()).unwrap_or(u64::MAX);
        let cost = (called.busy.as_secs_f64() * called.cost_per_second * MICROS_PER_UNIT) as u64;
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

    /// Returns whether this bucket includes all counts of another one.
    pub fn covers(&self, other: &Self) -> bool {
        let within = self.first <= other.first && other.last <= self.last;
        let same = self.first == other.first && self.last == other.last;
        self.origin == other.origin && within && (!same || self.events >= other.events)
    }

    /// Merges another bucket into this one: its counts, sequence numbers and span.
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

    /// Merges all but the `kept` client accounts with the most requests under the name [`OTHERS`].
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
        let merged = totals.split_off(kept);
        for mut one in core::mem::take(&mut self.requests) {
            if merged.iter().any(|(name, _)| *name == one.account) {
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
