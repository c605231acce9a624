//! Compact summaries of trackers, for a report over many instances.

use base::{Name, Stamp};
use serde::{Deserialize, Serialize};

use crate::{
    Report, Tracker,
    bucket::{Cost, OTHERS},
    configs::Config,
    event::Objectives,
    report::{self, Account, Alarm, BlameCount, Origin, Pipeline, objective},
    window::Window,
};

/// Requests of a time span: the total, and how many were completely answered within their deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count(pub u64, pub u64);

/// The own counts of one or more instances, in the windows of a report at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The owner: an instance with its start time, or a failure domain.
    pub name: Name,
    /// The time of the report.
    pub at: Stamp,
    /// The objectives of the newest known bundle.
    pub objectives: Objectives,
    /// Requests by pipeline, sorted.
    pub pipelines: Vec<PipelineCount>,
    /// Requests by pipeline and client account, sorted; small accounts are counted under [`OTHERS`].
    pub accounts: Vec<AccountCount>,
    /// The causes that spent the budget, sorted by pipeline and blame.
    pub blames: Vec<BlameCount>,
    /// Cost by stage over the budget window, sorted by pipeline and stage.
    pub costs: Vec<Cost>,
    /// The instances included, sorted.
    pub origins: Vec<Origin>,
}

/// Requests of a pipeline.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PipelineCount {
    /// The pipeline.
    pub pipeline: Name,
    /// Requests in the budget window.
    pub budget: Count,
    /// Requests in the short and the long window of each alarm.
    pub alarms: Vec<(Count, Count)>,
    /// Requests in each of the last sixty minutes, oldest first.
    pub minutes: Vec<Count>,
}

/// Requests of a client account in a pipeline.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountCount {
    /// The pipeline.
    pub pipeline: Name,
    /// The client account.
    pub account: Name,
    /// Requests in the budget window.
    pub budget: Count,
}

/// Summaries of different instances or failure domains, one for each name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summaries(Vec<Summary>);

/// The summary of a failure domain, collected by one of its instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Domain {
    /// The sum over the instances that answered, under the name of the failure domain.
    #[serde(rename = "part")]
    pub summary: Summary,
    /// The instances that returned no summary.
    pub silent: Vec<Failure>,
}

/// A failed request for an instance's summary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The address of the instance.
    pub address: Name,
    /// The reason of the failure.
    pub reason: String,
}

impl Tracker {
    /// Returns the summary of this instance's own counts for a report at a time.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Code, Incarnation, Stamp};
    /// use burn::{Tracker, Config, Event, summary::Summaries};
    /// let now = Stamp::from_millis(60_000);
    /// let mut tracker = Tracker::new(Incarnation::new("entry-1", now));
    /// let event = Event::ended("status".into(), "stewards".into(), Code::Answered, true, None);
    /// tracker.record(now, &event.unwrap());
    /// let mut summaries = Summaries::default();
    /// summaries.insert(tracker.summary(now));
    /// summaries.insert(tracker.summary(now));
    /// let config = Config::default();
    /// assert_eq!(summaries.sum("accra-1".into(), &config).report(&config), tracker.report(now));
    /// ```
    pub fn summary(&self, now: Stamp) -> Summary {
        let config = self.config();
        let report = Report::new(now, self.own_buckets(), &self.objectives, config);
        let mut summary = Summary {
            name: self.origin.to_string().into(),
            at: now,
            objectives: self.objectives.clone(),
            pipelines: report
                .pipelines
                .iter()
                .map(PipelineCount::from_pipeline)
                .collect(),
            accounts: report
                .accounts
                .iter()
                .map(AccountCount::from_account)
                .collect(),
            blames: report.blames,
            costs: report.costs,
            origins: report.origins,
        };
        summary.accounts.sort_by_key(AccountCount::key);
        summary.blames.sort_by_key(BlameCount::key);
        summary.merge_small_accounts(config.max_summary_accounts);
        summary
    }
}

impl Summaries {
    /// Inserts a summary. Of two with the same name the one with the higher counts is kept, so that neither
    /// order nor repeats matter.
    pub fn insert(&mut self, summary: Summary) {
        match self.0.binary_search_by(|one| one.name.cmp(&summary.name)) {
            Ok(at) if self.0[at].freshness() >= summary.freshness() => {}
            Ok(at) => self.0[at] = summary,
            Err(at) => self.0.insert(at, summary),
        }
    }

    /// Returns the sum of all summaries, under a new name.
    pub fn sum(&self, name: Name, config: &Config) -> Summary {
        let mut sum = Summary {
            name,
            ..Summary::default()
        };
        self.0.iter().for_each(|summary| sum.add(summary));
        sum.merge_small_accounts(config.max_summary_accounts);
        sum
    }
}

impl Summary {
    /// Returns the report over the counts.
    pub fn report(&self, config: &Config) -> Report {
        let pipelines = self.pipelines.iter();
        let accounts = self.accounts.iter().map(|one| Account {
            account: one.account.clone(),
            pipeline: one.pipeline.clone(),
            budget: one.budget.window(
                config.budget_window.as_secs(),
                objective(&self.objectives, &one.pipeline),
            ),
        });
        let mut report = Report {
            at: self.at,
            pipelines: pipelines
                .map(|counts| counts.report(&self.objectives, config))
                .collect(),
            accounts: accounts.collect(),
            blames: self.blames.clone(),
            costs: self.costs.clone(),
            origins: self.origins.clone(),
        };
        report::sort_by_impact(&mut report);
        report
    }

    /// Returns the key by which summaries of one name are compared. Counts only grow from an instance's start
    /// on, so of two summaries for the same time the one with the higher counts is the newer.
    fn freshness(&self) -> (usize, Stamp, u64) {
        let requests = self.pipelines.iter().map(|counts| counts.budget.0);
        let calls = self.costs.iter().map(|cost| cost.calls);
        (self.origins.len(), self.at, requests.chain(calls).sum())
    }

    fn add(&mut self, other: &Self) {
        self.at = self.at.max(other.at);
        if other.objectives.version > self.objectives.version {
            self.objectives = other.objectives.clone();
        }
        let pipelines = &mut self.pipelines;
        merge_sorted(
            pipelines,
            &other.pipelines,
            |one| one.pipeline.clone(),
            PipelineCount::add,
        );
        merge_sorted(
            &mut self.accounts,
            &other.accounts,
            AccountCount::key,
            |sum, one| {
                sum.budget.add(one.budget);
            },
        );
        merge_sorted(
            &mut self.blames,
            &other.blames,
            BlameCount::key,
            |sum, one| {
                sum.count += one.count;
            },
        );
        let cost = |one: &Cost| (one.pipeline.clone(), one.stage.clone());
        merge_sorted(&mut self.costs, &other.costs, cost, Cost::add);
        // No instance is in two summaries, since each instance has one name.
        let origins = &mut self.origins;
        merge_sorted(
            origins,
            &other.origins,
            |one| one.incarnation.clone(),
            |_, _| {},
        );
    }

    /// Merges all but the `kept` client accounts with the most requests under the name [`OTHERS`].
    fn merge_small_accounts(&mut self, kept: usize) {
        let mut totals: Vec<(Name, u64)> = Vec::new();
        let named = self.accounts.iter();
        for one in named.filter(|one| one.account.as_str() != OTHERS) {
            match totals.binary_search_by(|(name, _)| name.cmp(&one.account)) {
                Ok(at) => totals[at].1 += one.budget.0,
                Err(at) => totals.insert(at, (one.account.clone(), one.budget.0)),
            }
        }
        if totals.len() <= kept {
            return;
        }
        totals.sort_by_key(|(_, count)| core::cmp::Reverse(*count));
        totals.truncate(kept);
        totals.sort();
        for mut one in core::mem::take(&mut self.accounts) {
            if totals
                .binary_search_by(|(name, _)| name.cmp(&one.account))
                .is_err()
            {
                one.account = Name::from(OTHERS);
            }
            merge_sorted(&mut self.accounts, &[one], AccountCount::key, |sum, one| {
                sum.budget.add(one.budget);
            });
        }
    }
}

/// Merges items into a list sorted by key: adds each to the one with the same key, or inserts it.
fn merge_sorted<T: Clone, K: Ord>(
    sums: &mut Vec<T>,
    items: &[T],
    key: impl Fn(&T) -> K,
    add: impl Fn(&mut T, &T),
) {
    for item in items {
        match sums.binary_search_by(|sum| key(sum).cmp(&key(item))) {
            Ok(at) => add(&mut sums[at], item),
            Err(at) => sums.insert(at, item.clone()),
        }
    }
}

impl Count {
    fn from_window(window: &Window) -> Self {
        Self(window.total, window.within)
    }

    fn add(&mut self, other: Self) {
        self.0 += other.0;
        self.1 += other.1;
    }

    fn window(self, seconds: u64, objective: f64) -> Window {
        Window::new(seconds, self.0, self.1, objective)
    }
}

impl PipelineCount {
    fn from_pipeline(pipeline: &Pipeline) -> Self {
        let alarm = |alarm: &Alarm| {
            (
                Count::from_window(&alarm.short),
                Count::from_window(&alarm.long),
            )
        };
        Self {
            pipeline: pipeline.name.clone(),
            budget: Count::from_window(&pipeline.budget),
            alarms: pipeline.alarms.iter().map(alarm).collect(),
            minutes: pipeline.minutes.iter().map(Count::from_window).collect(),
        }
    }

    fn add(&mut self, other: &Self) {
        self.budget.add(other.budget);
        for (sum, one) in self.alarms.iter_mut().zip(&other.alarms) {
            sum.0.add(one.0);
            sum.1.add(one.1);
        }
        for (sum, one) in self.minutes.iter_mut().zip(&other.minutes) {
            sum.add(*one);
        }
    }

    fn report(&self, objectives: &Objectives, config: &Config) -> Pipeline {
        const MINUTE: u64 = 60;
        let objective = objective(objectives, &self.pipeline);
        let alarms = config.alarms.iter().zip(&self.alarms);
        let alarms = alarms.map(|(alarm, (short, long))| {
            Alarm::new(
                alarm.rate,
                short.window(alarm.short.as_secs(), objective),
                long.window(alarm.long.as_secs(), objective),
            )
        });
        let minutes = self.minutes.iter();
        Pipeline::new(
            self.pipeline.clone(),
            objective,
            self.budget
                .window(config.budget_window.as_secs(), objective),
            alarms.collect(),
            minutes
                .map(|count| count.window(MINUTE, objective))
                .collect(),
        )
    }
}

impl AccountCount {
    fn from_account(account: &Account) -> Self {
        Self {
            pipeline: account.pipeline.clone(),
            account: account.account.clone(),
            budget: Count::from_window(&account.budget),
        }
    }

    fn key(&self) -> (Name, Name) {
        (self.pipeline.clone(), self.account.clone())
    }
}
