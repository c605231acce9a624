//! The evidence against a part: the crashes that count against it, and the good runs that speak for it.

use core::{cmp::Reverse, time::Duration};

use base::{Name, Stamp, Tick};

use super::{Parts, Record, Verdict};

/// The id of a server and the start time of its run.
pub(super) type Run<'a> = (&'a Name, u64);

/// The crashes that count against a part.
pub(super) struct Evidence {
    pub(super) verdict: Verdict,
    first_at: Tick,
    /// The number of servers that crashed under runs which began after the first crash.
    later_servers: usize,
    /// The number of times apart.
    times: usize,
    /// The good runs since the first crash.
    good_runs: u64,
    /// The good runs before it.
    earlier_runs: u64,
    /// How improbable it is that the part was at so many crashes by chance, as a negative natural logarithm.
    excess: f64,
}

impl Evidence {
    /// Returns the strength of the evidence, to compare parts that were at the same servers. A part that was there by chance
    /// was at fewer of them, has more good runs meanwhile, or is in more requests.
    pub(super) fn strength(&self) -> impl Ord + use<> {
        let Verdict {
            servers,
            has_good_runs,
            ..
        } = self.verdict;
        let good_runs = usize::try_from(self.good_runs).unwrap_or(usize::MAX);
        let margin = servers.saturating_sub(good_runs);
        (!has_good_runs, margin, servers, Reverse(self.earlier_runs))
    }
}

/// The crashes of all servers, by when they were.
pub(super) struct Scene<'a> {
    /// Sorted by time.
    crashes: Vec<(Stamp, &'a Record)>,
    /// The crashed runs that harmful parts explain, sorted.
    explained: Vec<Run<'a>>,
    /// A record of each crashed request, sorted by request.
    requests: Vec<(u64, &'a Record)>,
    same_time: Duration,
}

impl<'a> Scene<'a> {
    /// Returns the runs of servers that crashed at the same time as the given one, including that.
    fn company(&self, record: &Record) -> Vec<(Run<'a>, &'a Record)> {
        let margin = u64::try_from(self.same_time.as_millis()).unwrap_or(u64::MAX);
        let at = record.crash.at.as_millis();
        let from = Stamp::from_millis(at.saturating_sub(margin));
        let start = self.crashes.partition_point(|(at, _)| *at < from);
        let company = self.crashes[start..].iter();
        let company =
            company.take_while(|(other, _)| other.as_millis() <= at.saturating_add(margin));
        company.map(|(_, other)| (other.run(), *other)).collect()
    }
}

impl Parts {
    /// Returns the crashed runs that harmful parts other than the given one explain, sorted.
    pub(super) fn explained_runs(&self, except: Option<u64>) -> Vec<Run<'_>> {
        if self.harmful.is_empty() {
            return Vec::new();
        }
        let explains = |part: &u64| Some(*part) != except && self.position(*part).is_ok();
        let explained = self.crashes.iter();
        let explained = explained.filter(|record| record.crash.parts.iter().any(explains));
        let mut runs: Vec<_> = explained.map(Record::run).collect();
        runs.sort_unstable();
        runs
    }

    /// Returns the crashes as they are seen when a part is judged. Harmful parts other than this one explain them.
    pub(super) fn scene(&self, part: Option<u64>) -> Scene<'_> {
        let mut crashes: Vec<_> = self
            .crashes
            .iter()
            .map(|record| (record.crash.at, record))
            .collect();
        crashes.sort_by_key(|(at, _)| *at);
        let requests = self.crashes.iter();
        let mut requests: Vec<_> = requests
            .map(|record| (record.crash.request, record))
            .collect();
        requests.sort_by_key(|(request, _)| *request);
        requests.dedup_by_key(|(request, _)| *request);
        Scene {
            requests,
            crashes,
            explained: self.explained_runs(part),
            same_time: self.config.same_time,
        }
    }

    /// Returns the evidence against a part, if there is any.
    pub(super) fn examine(&self, now: Tick, part: u64, scene: &Scene<'_>) -> Option<Evidence> {
        let mut counted = Vec::new();
        let mut times = Vec::new();
        for record in self.counted_crashes(part) {
            if scene.explained.binary_search(&record.run()).is_ok() {
                continue;
            }
            let mut company = scene.company(record);
            company.retain(|(run, _)| scene.explained.binary_search(run).is_err());
            company.sort_by_key(|(run, _)| *run);
            let runs: Vec<_> = company.chunk_by(|(a, _), (b, _)| a == b).collect();
            let is_wave = runs.len() >= self.config.min_wave;
            let holds =
                |run: &&[(Run<'_>, &Record)]| run.iter().any(|(_, record)| record.is_suspect(part));
            if is_wave && !runs.iter().all(holds) {
                continue;
            }
            times.push(record.crash.at);
            counted.push(record);
        }
        let first_at = counted.first()?.recorded_at;
        let first_crash = times.iter().min().copied()?;
        let later = counted
            .iter()
            .filter(|record| record.began_at - first_crash > self.config.same_time);
        let servers = counted.iter().map(|record| record.run());
        let requests = counted.iter().map(|record| record.crash.request);
        let sound = self.find_sound(part).map(|at| self.sound[at]);
        let sound = sound.unwrap_or_default();
        let has_good_runs =
            sound.ended_at > Tick::default() && now - sound.ended_at < self.config.retention;
        Some(Evidence {
            excess: self.excess(part, first_at, sound.runs, scene),
            verdict: Verdict {
                part,
                servers: count_different(servers.collect()),
                requests: count_different(requests.collect()),
                has_good_runs,
            },
            first_at,
            later_servers: count_different(later.map(|record| record.run()).collect()),
            times: count_apart(times, self.config.same_time),
            good_runs: sound.runs - sound.runs_at_crash,
            earlier_runs: sound.runs_at_crash,
        })
    }

    /// Returns how improbable it is that a part was at so many of the crashes since its first one by chance, as a negative
    /// natural logarithm. `runs` are its good runs at this instance.
    fn excess(&self, part: u64, since: Tick, runs: u64, scene: &Scene<'_>) -> f64 {
        let crashed = scene
            .requests
            .iter()
            .filter(|(_, record)| record.crash.parts.contains(&part));
        let seen = runs + crashed.count() as u64;
        let all_seen = self.runs + scene.requests.len() as u64;
        let share = seen as f64 / all_seen as f64;
        let mut records: Vec<_> = scene.crashes.iter().map(|(_, record)| *record).collect();
        records.retain(|record| {
            !record.has_written
                && record.recorded_at >= since
                && scene.explained.binary_search(&record.run()).is_err()
        });
        records.sort_by_key(|record| record.run());
        let (mut count, mut held, mut expected) = (0.0, 0.0, 0.0);
        for run in records.chunk_by(|a, b| a.run() == b.run()) {
            count += 1.0;
            held += f64::from(u8::from(run.iter().any(|record| record.is_suspect(part))));
            expected += 1.0 - (1.0 - share).powi(i32::try_from(run.len()).unwrap_or(i32::MAX));
        }
        if held <= expected {
            return 0.0;
        }
        let missing = match count - held {
            0.0 => 0.0,
            missing => missing * (missing / (count - expected)).ln(),
        };
        held * (held / expected).ln() + missing
    }

    pub(super) fn is_sufficient(&self, now: Tick, evidence: &Evidence) -> bool {
        let Verdict {
            part,
            servers,
            requests,
            has_good_runs,
        } = evidence.verdict;
        if requests < self.config.min_requests || evidence.times < self.config.min_times {
            return false;
        }
        if !has_good_runs {
            return servers >= self.config.min_servers;
        }
        let is_writing = self
            .find_sound(part)
            .is_ok_and(|at| self.sound[at].writing_since > evidence.first_at);
        servers >= self.config.max_servers
            && evidence.excess >= self.config.min_excess
            && evidence.later_servers >= self.config.min_later_crashes
            && now - evidence.first_at >= self.config.defense_time
            && !is_writing
    }
}

pub(super) fn count_different<T: Ord>(mut items: Vec<T>) -> usize {
    items.sort_unstable();
    items.dedup();
    items.len()
}

/// Returns the number of times that are further apart than a difference.
fn count_apart(mut times: Vec<Stamp>, same_time: Duration) -> usize {
    times.sort_unstable();
    let mut start = None;
    let starts = times.into_iter().filter(|at| {
        let is_apart = start.is_none_or(|start| *at - start > same_time);
        if is_apart {
            start = Some(*at);
        }
        is_apart
    });
    starts.count()
}
