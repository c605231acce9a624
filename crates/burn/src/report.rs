//! The report for operators: attainment, burn, causes and cost.

use base::{Incarnation, Name, Stamp};
use serde::{Deserialize, Serialize};

use crate::{
    bucket::{Bucket, Cost},
    cause::Blame,
    configs::Config,
    event::Objectives,
    window::{Window, names},
};

/// The objective of a pipeline that is not in the bundle in force.
const DEFAULT_OBJECTIVE: f64 = 0.99;

/// The report for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The time of the report.
    pub at: Stamp,
    /// Attainment and burn of each pipeline, sorted by name.
    pub pipelines: Vec<Pipeline>,
    /// Attainment and burn of each client account, highest burn first.
    pub accounts: Vec<Account>,
    /// The causes that spent the error budget, most requests first.
    pub blames: Vec<BlameCount>,
    /// Cost by stage over the budget window, sorted by pipeline and stage.
    pub costs: Vec<Cost>,
    /// The instances that contributed, and the number of buckets missing of each.
    pub origins: Vec<Origin>,
}

/// Attainment and burn of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pipeline {
    /// The name.
    pub name: Name,
    /// The objective.
    pub objective: f64,
    /// The budget window.
    pub budget: Window,
    /// The share of the budget that is left; below 0 once it is overspent.
    pub left: f64,
    /// The alarms with their windows.
    pub alarms: Vec<Alarm>,
    /// Attainment of each minute of the last hour, oldest first.
    pub minutes: Vec<Window>,
}

/// An alarm with its pair of windows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Alarm {
    /// The short window.
    pub short: Window,
    /// The long window.
    pub long: Window,
    /// The burn rate that both must reach to raise the alarm.
    pub rate: f64,
    /// Whether the alarm is raised.
    pub raised: bool,
}

/// Attainment and burn of a client account in a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The client account.
    pub account: Name,
    /// The pipeline.
    pub pipeline: Name,
    /// The budget window.
    pub budget: Window,
}

/// The number of requests of a pipeline that missed the objective for the same cause.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlameCount {
    /// The pipeline.
    pub pipeline: Name,
    /// The cause.
    pub blame: Blame,
    /// The number of requests.
    pub count: u64,
}

/// The data known of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The instance.
    pub incarnation: Incarnation,
    /// The start of the first known bucket.
    pub since: Stamp,
    /// The end of the last known bucket.
    pub until: Stamp,
    /// The number of buckets missing after the first known one.
    pub missing: u64,
}

impl Report {
    /// Builds a report from buckets that are sorted by origin and sequence.
    pub fn new(now: Stamp, buckets: &[Bucket], objectives: &Objectives, config: &Config) -> Self {
        let requests = || buckets.iter().flat_map(|bucket| &bucket.requests);
        let known = objectives.pipelines.iter().map(|one| &one.pipeline);
        let pipelines = names(requests().map(|one| &one.pipeline).chain(known));
        let mut report = Self {
            at: now,
            accounts: accounts(now, buckets, objectives, config),
            blames: blames(now, buckets, config),
            costs: costs(now, buckets, config),
            origins: origins(buckets),
            pipelines: pipelines
                .into_iter()
                .map(|name| pipeline(name, now, buckets, objectives, config))
                .collect(),
        };
        sort_by_impact(&mut report);
        report
    }

    /// Returns whether any alarm is raised.
    pub fn is_alarm_raised(&self) -> bool {
        self.pipelines
            .iter()
            .any(|pipeline| pipeline.alarms.iter().any(|alarm| alarm.raised))
    }
}

impl Alarm {
    /// Returns the alarm for two windows.
    pub(crate) fn new(rate: f64, short: Window, long: Window) -> Self {
        Self {
            short,
            long,
            rate,
            raised: short.burn >= rate && long.burn >= rate,
        }
    }
}

impl Pipeline {
    /// Returns the pipeline's attainment and burn from its windows.
    pub(crate) fn new(
        name: Name,
        objective: f64,
        budget: Window,
        alarms: Vec<Alarm>,
        minutes: Vec<Window>,
    ) -> Self {
        Self {
            name,
            objective,
            budget,
            left: 1.0 - budget.burn,
            alarms,
            minutes,
        }
    }
}

impl BlameCount {
    pub(crate) fn key(&self) -> (Name, Blame) {
        (self.pipeline.clone(), self.blame.clone())
    }
}

/// Sorts accounts by burn and causes by number of requests, highest first. The sort is stable, so
/// equal ones stay sorted by name.
pub(crate) fn sort_by_impact(report: &mut Report) {
    let accounts = &mut report.accounts;
    accounts.sort_by(|a, b| b.budget.burn.total_cmp(&a.budget.burn));
    let blames = &mut report.blames;
    blames.sort_by_key(|one| core::cmp::Reverse(one.count));
}

pub(crate) fn objective(objectives: &Objectives, pipeline: &Name) -> f64 {
    objectives
        .pipelines
        .binary_search_by(|one| one.pipeline.cmp(pipeline))
        .map_or(DEFAULT_OBJECTIVE, |at| objectives.pipelines[at].share)
}

fn pipeline(
    name: Name,
    now: Stamp,
    buckets: &[Bucket],
    objectives: &Objectives,
    config: &Config,
) -> Pipeline {
    let objective = objective(objectives, &name);
    let over = |span| Window::over(span, now, buckets, objective, &name);
    let alarms = config
        .alarms
        .iter()
        .map(|alarm| Alarm::new(alarm.rate, over(alarm.short), over(alarm.long)));
    let minutes = crate::window::minutes(now, buckets, objective, &name);
    let (budget, alarms) = (over(config.budget_window), alarms.collect());
    Pipeline::new(name, objective, budget, alarms, minutes)
}

fn accounts(
    now: Stamp,
    buckets: &[Bucket],
    objectives: &Objectives,
    config: &Config,
) -> Vec<Account> {
    let mut merged: Option<Bucket> = None;
    for bucket in recent(now, buckets, config) {
        match &mut merged {
            Some(merged) => merged.merge(bucket),
            None => merged = Some(bucket.clone()),
        }
    }
    let requests = merged.map_or_else(Vec::new, |bucket| bucket.requests);
    requests
        .chunk_by(|a, b| (&a.pipeline, &a.account) == (&b.pipeline, &b.account))
        .map(|group| Account {
            account: group[0].account.clone(),
            pipeline: group[0].pipeline.clone(),
            budget: Window::from_requests(
                config.budget_window,
                group,
                objective(objectives, &group[0].pipeline),
            ),
        })
        .collect()
}

fn blames(now: Stamp, buckets: &[Bucket], config: &Config) -> Vec<BlameCount> {
    let mut counts: Vec<BlameCount> = Vec::new();
    for requests in recent(now, buckets, config).flat_map(|bucket| &bucket.requests) {
        let Some(blame) = &requests.blame else {
            continue;
        };
        let key = (&requests.pipeline, blame);
        match counts.binary_search_by(|one| (&one.pipeline, &one.blame).cmp(&key)) {
            Ok(at) => counts[at].count += requests.count,
            Err(at) => counts.insert(
                at,
                BlameCount {
                    pipeline: requests.pipeline.clone(),
                    blame: blame.clone(),
                    count: requests.count,
                },
            ),
        }
    }
    counts
}

fn costs(now: Stamp, buckets: &[Bucket], config: &Config) -> Vec<Cost> {
    let mut sum: Option<Bucket> = None;
    for bucket in recent(now, buckets, config) {
        let mut bucket = bucket.clone();
        bucket.requests.clear();
        match &mut sum {
            Some(sum) => sum.merge(&bucket),
            None => sum = Some(bucket),
        }
    }
    sum.map_or_else(Vec::new, |bucket| bucket.costs)
}

fn recent<'a>(
    now: Stamp,
    buckets: &'a [Bucket],
    config: &Config,
) -> impl Iterator<Item = &'a Bucket> {
    let span = config.budget_window;
    buckets.iter().filter(move |bucket| now - bucket.end < span)
}

fn origins(buckets: &[Bucket]) -> Vec<Origin> {
    buckets
        .chunk_by(|a, b| a.origin == b.origin)
        .map(|group| Origin {
            incarnation: group[0].origin.clone(),
            since: group
                .iter()
                .map(|bucket| bucket.start)
                .min()
                .unwrap_or_default(),
            until: group
                .iter()
                .map(|bucket| bucket.end)
                .max()
                .unwrap_or_default(),
            missing: group
                .windows(2)
                .map(|pair| pair[1].first.saturating_sub(pair[0].last + 1))
                .sum(),
        })
        .collect()
}
