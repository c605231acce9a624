//! What operators read: attainment, burn, what spent the budget, and cost.

use base::{Incarnation, Name, Stamp};
use serde::{Deserialize, Serialize};

use crate::{
    bucket::{Bucket, Cost},
    cause::Blame,
    configs::Config,
    event::Objectives,
    window::{Window, names},
};

/// The objective of a pipeline that the bundle in force doesn't have.
const OBJECTIVE: f64 = 0.99;

/// What operators read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The time of the report.
    pub at: Stamp,
    /// Attainment and burn of each pipeline, sorted by name.
    pub pipelines: Vec<Pipeline>,
    /// Attainment and burn of each client account, worst burn first.
    pub accounts: Vec<Account>,
    /// What spent the error budget, most first.
    pub blames: Vec<BlameCount>,
    /// Cost by stage over the budget's window, sorted by pipeline and stage.
    pub costs: Vec<Cost>,
    /// The instances heard from, and what is missing of each.
    pub origins: Vec<Origin>,
}

/// Attainment and burn of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pipeline {
    /// The name.
    pub name: Name,
    /// The objective.
    pub objective: f64,
    /// The window over which the budget is counted.
    pub budget: Window,
    /// The share of the budget that is left; below 0 once it is overspent.
    pub left: f64,
    /// The alarms' windows.
    pub alarms: Vec<Alarm>,
    /// Attainment of the last hour by the minute, oldest first.
    pub minutes: Vec<Window>,
}

/// A pair of windows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Alarm {
    /// The short window.
    pub short: Window,
    /// The long window.
    pub long: Window,
    /// The burn rate at which both raise the alarm.
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
    /// The window over which the budget is counted.
    pub budget: Window,
}

/// Requests that spent the error budget alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlameCount {
    /// The pipeline.
    pub pipeline: Name,
    /// What was to blame.
    pub blame: Blame,
    /// The number of requests.
    pub count: u64,
}

/// What is known of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The instance.
    pub incarnation: Incarnation,
    /// Where the first bucket heard of begins.
    pub since: Stamp,
    /// Where the last one ends.
    pub until: Stamp,
    /// Buckets known to have existed and not heard of, from the first one heard of on.
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
        rank(&mut report);
        report
    }

    /// Tells whether any alarm is raised.
    pub fn is_alarm_raised(&self) -> bool {
        self.pipelines
            .iter()
            .any(|pipeline| pipeline.alarms.iter().any(|alarm| alarm.raised))
    }
}

impl Alarm {
    /// Returns the alarm of two windows.
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
    /// Returns what a pipeline's windows say.
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

/// Puts accounts and blames that are sorted by name in the order of a report, the worst first.
pub(crate) fn rank(report: &mut Report) {
    let accounts = &mut report.accounts;
    accounts.sort_by(|a, b| b.budget.burn.total_cmp(&a.budget.burn));
    let blames = &mut report.blames;
    blames.sort_by_key(|one| core::cmp::Reverse(one.count));
}

pub(crate) fn objective(objectives: &Objectives, pipeline: &Name) -> f64 {
    objectives
        .pipelines
        .binary_search_by(|one| one.pipeline.cmp(pipeline))
        .map_or(OBJECTIVE, |at| objectives.pipelines[at].share)
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
    let mut joined: Option<Bucket> = None;
    for bucket in recent(now, buckets, config) {
        match &mut joined {
            Some(joined) => joined.merge(bucket),
            None => joined = Some(bucket.clone()),
        }
    }
    let requests = joined.map_or_else(Vec::new, |bucket| bucket.requests);
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
    let mut spent: Vec<BlameCount> = Vec::new();
    for requests in recent(now, buckets, config).flat_map(|bucket| &bucket.requests) {
        let Some(blame) = &requests.blame else {
            continue;
        };
        let key = (&requests.pipeline, blame);
        match spent.binary_search_by(|one| (&one.pipeline, &one.blame).cmp(&key)) {
            Ok(at) => spent[at].count += requests.count,
            Err(at) => spent.insert(
                at,
                BlameCount {
                    pipeline: requests.pipeline.clone(),
                    blame: blame.clone(),
                    count: requests.count,
                },
            ),
        }
    }
    spent
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
