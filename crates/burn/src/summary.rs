//! Books condensed for a report over many instances.

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

/// Requests of a span: how many count, and how many of them were wholly answered within their deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count(pub u64, pub u64);

/// What instances counted themselves, in the windows that a report shows at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Whose it is: an instance with its start, or a failure domain.
    pub name: Name,
    /// The time of the report.
    pub at: Stamp,
    /// The objectives of the newest bundle heard of.
    pub objectives: Objectives,
    /// Requests by pipeline, sorted.
    pub pipelines: Vec<PipelineCount>,
    /// Requests by pipeline and client account, sorted; those of small accounts under [`OTHERS`].
    pub accounts: Vec<AccountCount>,
    /// What spent the budget, sorted by pipeline and blame.
    pub blames: Vec<BlameCount>,
    /// Cost by stage over the budget's window, sorted by pipeline and stage.
    pub costs: Vec<Cost>,
    /// The instances that counted, sorted.
    pub origins: Vec<Origin>,
}

/// Requests of a pipeline.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PipelineCount {
    /// The pipeline.
    pub pipeline: Name,
    /// Those of the budget's window.
    pub budget: Count,
    /// Those of each alarm's short and long window.
    pub alarms: Vec<(Count, Count)>,
    /// Those of each of the last sixty minutes, oldest first.
    pub minutes: Vec<Count>,
}

/// Requests of a client account in a pipeline.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountCount {
    /// The pipeline.
    pub pipeline: Name,
    /// The client account.
    pub account: Name,
    /// Those of the budget's window.
    pub budget: Count,
}

/// Summaries of different instances or failure domains, each once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summaries(Vec<Summary>);

/// A failure domain's summary, as one of its instances gathered it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Domain {
    /// The sum over the instances heard, under the name of the failure domain.
    #[serde(rename = "part")]
    pub summary: Summary,
    /// The instances that gave no summary.
    pub silent: Vec<Failure>,
}

/// An instance that gave no summary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Where it was asked.
    pub address: Name,
    /// What went wrong.
    pub reason: String,
}

impl Tracker {
    /// Condenses what this instance counted itself into the windows of a report at a time.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Code, Incarnation, Stamp};
    /// use burn::{Tracker, Config, Event, summary::Summaries};
    /// let now = Stamp::from_millis(60_000);
    /// let mut tracker = Tracker::open(Incarnation::new("entry-1", now));
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
    /// Takes in a summary; of two under one name the one that counted more stays, so that neither order nor
    /// repeats matter.
    pub fn insert(&mut self, summary: Summary) {
        match self.0.binary_search_by(|one| one.name.cmp(&summary.name)) {
            Ok(at) if self.0[at].weight() >= summary.weight() => {}
            Ok(at) => self.0[at] = summary,
            Err(at) => self.0.insert(at, summary),
        }
    }

    /// Returns the sum under a name.
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
    /// Returns the report over what was counted.
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
                .map(|line| line.report(&self.objectives, config))
                .collect(),
            accounts: accounts.collect(),
            blames: self.blames.clone(),
            costs: self.costs.clone(),
            origins: self.origins.clone(),
        };
        report::rank(&mut report);
        report
    }

    /// How much was counted. Counts of one life only grow, so that of two summaries of one time the larger is the later.
    fn weight(&self) -> (usize, Stamp, u64) {
        let requests = self.pipelines.iter().map(|line| line.budget.0);
        let calls = self.costs.iter().map(|cost| cost.calls);
        (self.origins.len(), self.at, requests.chain(calls).sum())
    }

    fn add(&mut self, other: &Self) {
        self.at = self.at.max(other.at);
        if other.objectives.version > self.objectives.version {
            self.objectives = other.objectives.clone();
        }
        let lines = &mut self.pipelines;
        fold(
            lines,
            &other.pipelines,
            |one| one.pipeline.clone(),
            PipelineCount::add,
        );
        fold(
            &mut self.accounts,
            &other.accounts,
            AccountCount::key,
            |sum, one| {
                sum.budget.add(one.budget);
            },
        );
        fold(
            &mut self.blames,
            &other.blames,
            BlameCount::key,
            |sum, one| {
                sum.count += one.count;
            },
        );
        let cost = |one: &Cost| (one.pipeline.clone(), one.stage.clone());
        fold(&mut self.costs, &other.costs, cost, Cost::add);
        // An instance has one name, so that none is in two summaries.
        let origins = &mut self.origins;
        fold(
            origins,
            &other.origins,
            |one| one.incarnation.clone(),
            |_, _| {},
        );
    }

    /// Counts all but the client accounts with the most requests under the name [`OTHERS`].
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
            fold(&mut self.accounts, &[one], AccountCount::key, |sum, one| {
                sum.budget.add(one.budget);
            });
        }
    }
}

/// Adds each item to the one with its key, or puts it in its place.
fn fold<T: Clone, K: Ord>(
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
