//! The results of a run.

use base::Code;
use serde::Serialize;

use crate::{size::Size, trace::Trace};

/// The result of one request of the trace.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Whether its whole answer came within its deadline.
    pub answered: bool,
    /// Seconds from when it was sent until its answer.
    pub took: f64,
    /// Submissions by its caller.
    pub submissions: u32,
    /// Attempts at the main pool.
    pub attempts: u32,
    /// Work done for it, in seconds of one batch slot.
    pub work: f64,
    /// Work of attempts whose result was not used.
    pub waste: f64,
    /// Servers that crashed while they ran it.
    pub crashes: u32,
    /// The last refusal.
    pub code: Option<Code>,
}

/// The state of the main pool and the admission queues at one time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// The second.
    pub at: u64,
    /// The share of the main pool's batch slots that is in use.
    pub busy: f64,
    /// Attempts in the queues of its servers.
    pub queued: usize,
    /// Requests in the admission queues.
    pub waiting: usize,
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Tally {
    /// The size.
    pub size: &'static str,
    /// The trace.
    pub trace: &'static str,
    /// The policy.
    pub policy: &'static str,
    /// Requests in the trace, without harmful ones.
    pub requests: usize,
    /// Requests answered within their deadline.
    pub answered: usize,
    /// The 50th, 99th and 99.9th percentile of the time to an answer in seconds, without requests
    /// that are due in days.
    pub took: [f64; 3],
    /// Work by pool, in seconds of one batch slot.
    pub work: Vec<f64>,
    /// Work on requests that were not answered and of attempts whose result was not used.
    pub wasted: f64,
    /// Unanswered requests by the code of the last refusal, sorted by code.
    pub refusals: Vec<(u16, usize)>,
    /// Jain's index over the accounts' attainment, from 0 to 1.
    pub fairness: f64,
    /// The lowest attainment of an account other than the hot one.
    pub least: f64,
    /// Attainment of requests sent before the disturbance.
    pub before: f64,
    /// Attainment of requests sent in the disturbance.
    pub during: f64,
    /// Attainment of requests sent from 5 s after the disturbance on.
    pub after: f64,
    /// Seconds after the disturbance until attainment stays at 0.99 of the value before it.
    pub recovery: f64,
    /// Attempts at the main pool for each request to it that was sent in the disturbance.
    pub attempts: f64,
    /// The most servers that one harmful request crashed.
    pub crashes: u32,
    /// The share of attempts at the main pool that found their prefix cached.
    pub hits: f64,
    /// Load reports and cache events that reached instances.
    pub messages: u64,
    /// The size of these messages in bytes.
    pub bytes: u64,
    /// Samples of the main pool, each second.
    pub samples: Vec<Sample>,
}

impl Tally {
    /// Returns the share of requests answered within their deadline.
    pub fn attainment(&self) -> f64 {
        ratio(self.answered, self.requests)
    }

    /// Returns the work for each request answered.
    pub fn cost(&self) -> f64 {
        self.work.iter().sum::<f64>() / (self.answered.max(1) as f64)
    }

    pub(crate) fn new(
        size: &Size,
        trace: &Trace,
        policy: &'static str,
        jobs: &[Job],
        work: Vec<f64>,
    ) -> Self {
        let harmless: Vec<usize> = (0..jobs.len())
            .filter(|at| !trace.requests[*at].poison)
            .collect();
        let evaluation = Evaluation {
            size,
            trace,
            jobs,
            harmless: &harmless,
        };
        Self {
            size: size.name,
            trace: trace.kind.as_str(),
            policy,
            requests: harmless.len(),
            answered: harmless.iter().filter(|at| jobs[**at].answered).count(),
            took: evaluation.took(),
            work,
            wasted: evaluation.wasted(),
            refusals: evaluation.refusals(),
            fairness: evaluation.fairness(),
            least: evaluation.least(),
            before: evaluation.attainment(trace.begin / 4, trace.begin),
            during: evaluation.attainment(trace.begin, trace.end),
            after: evaluation.attainment(trace.end + RECOVERY_GRACE_MICROS, trace.horizon),
            recovery: evaluation.recovery(),
            attempts: evaluation.attempts(),
            crashes: evaluation.crashes(),
            hits: 0.0,
            messages: 0,
            bytes: 0,
            samples: Vec::new(),
        }
    }
}

const MICROS_PER_SECOND: u64 = 1_000_000;
/// Requests with a longer time to their deadline don't count in the percentiles.
const MAX_MEASURED_DEADLINE_MICROS: u64 = 3_600 * MICROS_PER_SECOND;
const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];
/// The time after a disturbance within which attainment is to recover.
const RECOVERY_GRACE_MICROS: u64 = 5 * MICROS_PER_SECOND;
/// The length of the windows in which recovery is measured.
const RECOVERY_WINDOW_MICROS: u64 = 2 * MICROS_PER_SECOND;
/// The share of the attainment before the disturbance that counts as recovered.
const RECOVERED_SHARE: f64 = 0.99;

struct Evaluation<'a> {
    size: &'a Size,
    trace: &'a Trace,
    jobs: &'a [Job],
    harmless: &'a [usize],
}

impl Evaluation<'_> {
    fn attainment(&self, from: u64, to: u64) -> f64 {
        let within = |at: &&usize| (from..to).contains(&self.trace.requests[**at].at);
        let sent = self.harmless.iter().filter(within);
        let answered = sent.clone().filter(|at| self.jobs[**at].answered).count();
        ratio(answered, sent.count())
    }

    fn took(&self) -> [f64; 3] {
        let answered = self.harmless.iter().filter(|at| self.jobs[**at].answered);
        let soon = answered.filter(|at| {
            let request = &self.trace.requests[**at];
            request.deadline - request.at < MAX_MEASURED_DEADLINE_MICROS
        });
        let mut took: Vec<f64> = soon.map(|at| self.jobs[*at].took).collect();
        took.sort_by(f64::total_cmp);
        let last = took.len().saturating_sub(1) as f64;
        QUANTILES.map(|part| took.get((part * last) as usize).copied().unwrap_or(0.0))
    }

    fn wasted(&self) -> f64 {
        self.jobs
            .iter()
            .map(|job| if job.answered { job.waste } else { job.work })
            .sum()
    }

    fn refusals(&self) -> Vec<(u16, usize)> {
        let mut counts: Vec<(u16, usize)> = Vec::new();
        for at in self.harmless.iter().filter(|at| !self.jobs[**at].answered) {
            let code = self.jobs[*at].code.map_or(0, Code::number);
            match counts.binary_search_by_key(&code, |count| count.0) {
                Ok(at) => counts[at].1 += 1,
                Err(at) => counts.insert(at, (code, 1)),
            }
        }
        counts
    }

    fn accounts(&self) -> Vec<f64> {
        (0..self.size.accounts.len())
            .map(|account| {
                let own = |at: &&usize| self.trace.requests[**at].account == account;
                let sent = self.harmless.iter().filter(own);
                let answered = sent.clone().filter(|at| self.jobs[**at].answered).count();
                ratio(answered, sent.count())
            })
            .collect()
    }

    fn fairness(&self) -> f64 {
        let shares = self.accounts();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        if squares > 0.0 {
            sum * sum / (shares.len() as f64 * squares)
        } else {
            1.0
        }
    }

    fn least(&self) -> f64 {
        let hot = crate::trace::hot_account(self.size);
        let shares = self.accounts().into_iter().enumerate();
        shares
            .filter(|(at, _)| *at != hot)
            .map(|(_, share)| share)
            .fold(1.0, f64::min)
    }

    fn recovery(&self) -> f64 {
        let before = self.attainment(self.trace.begin / 4, self.trace.begin);
        let last = (self.trace.end..self.trace.horizon.saturating_sub(RECOVERY_WINDOW_MICROS))
            .step_by((MICROS_PER_SECOND / 4) as usize)
            .filter(|from| {
                self.attainment(*from, from + RECOVERY_WINDOW_MICROS) < RECOVERED_SHARE * before
            })
            .last();
        last.map_or(0.0, |from| {
            (from + MICROS_PER_SECOND / 4 - self.trace.end) as f64 / MICROS_PER_SECOND as f64
        })
    }

    fn attempts(&self) -> f64 {
        let asked = self.harmless.iter().filter(|at| {
            let request = &self.trace.requests[**at];
            let pipeline = &self.size.pipelines[request.pipeline];
            self.trace.is_disturbed(request.at) && pipeline.stages.contains(&self.size.main)
        });
        let attempts: u32 = asked.clone().map(|at| self.jobs[*at].attempts).sum();
        f64::from(attempts) / (asked.count().max(1) as f64)
    }

    fn crashes(&self) -> u32 {
        let harmful = (0..self.jobs.len()).filter(|at| self.trace.requests[*at].poison);
        harmful.map(|at| self.jobs[at].crashes).max().unwrap_or(0)
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        1.0
    } else {
        part as f64 / whole as f64
    }
}
