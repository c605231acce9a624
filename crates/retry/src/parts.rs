//! Parts of prompts that crash the servers that begin to answer them.
//!
//! Requests with such a part share nothing else, so a part is judged by all runs that held it, at all instances. A crash
//! ends every run at its server, so it counts against all parts of these runs: against the one that caused it, and
//! against those that were there by chance. What tells them apart:
//!
//! - A run that ends well speaks for its parts. If it began after a part's first crash, it clears the part.
//! - A crash that a harmful part explains counts against no other part.
//! - Of many servers that crash at the same time, a part is the cause only if it was at all of them.
//! - A request that a server had been writing an answer to for some time did not cause the crash.
//! - A part with earlier good runs is judged later, and only if it was at more of the crashes than its share of all requests
//!   explains. A part that is in all prompts is at each crash, which shows nothing.
//!
//! The last part of a prompt belongs to one request and is not judged.

pub mod configs;
mod evidence;
mod report;

use core::time::Duration;

use base::{Name, Stamp, Tick};

use self::evidence::{Evidence, Run};
pub use self::{configs::Config, report::Report};

/// A request that was running at a server that crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The server's id.
    pub server: Name,
    /// The start time of its run in Unix milliseconds, or 0 if unknown.
    pub started_at_ms: u64,
    /// When it crashed, by the clock of the instance that noticed it.
    pub at: Stamp,
    /// A digest that tells requests apart.
    pub request: u64,
    /// The parts of its prompt but for the last one.
    pub parts: Vec<u64>,
    /// How long the server had been writing the answer.
    pub wrote: Duration,
}

/// The evidence that made a part harmful.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The part.
    pub part: u64,
    /// The number of servers that crashed under it.
    pub servers: usize,
    /// The number of different requests that ran there.
    pub requests: usize,
    /// Whether runs with it had ended well before.
    pub has_good_runs: bool,
}

/// What is known of all parts.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    config: Config,
    /// In the order of their arrival.
    crashes: Vec<Record>,
    /// Sorted by part.
    sound: Vec<Sound>,
    /// Sorted by part.
    harmful: Vec<Harmful>,
    /// The number of good runs of this instance.
    runs: u64,
}

#[derive(Clone, Debug)]
struct Record {
    crash: Crash,
    recorded_at: Tick,
    /// When the request was sent, by the same clock as the crash.
    began_at: Stamp,
    /// Whether it is from before this instance started, so that no good runs since are known.
    is_old: bool,
    /// Whether the server had been writing the answer for some time, so that the request did not cause the crash.
    has_written: bool,
}

impl Record {
    /// Returns the run of the server that crashed.
    const fn run(&self) -> Run<'_> {
        (&self.crash.server, self.crash.started_at_ms)
    }

    /// Returns whether a part may have caused the crash.
    fn is_suspect(&self, part: u64) -> bool {
        !self.has_written && self.crash.parts.contains(&part)
    }
}

/// The good runs of a part.
#[derive(Clone, Copy, Debug, Default)]
struct Sound {
    part: u64,
    /// When the newest one ended.
    ended_at: Tick,
    /// When the newest one of this instance began.
    began_at: Tick,
    /// When the newest run of this instance began that wrote for some time.
    writing_since: Tick,
    /// When the newest one of this instance ended.
    local_at: Tick,
    /// When the instances were last told.
    told_at: Tick,
    /// Crashes until then don't count against the part.
    cleared_at: Tick,
    /// The number of good runs of this instance, and what it was at the first crash.
    runs: u64,
    runs_at_crash: u64,
    /// Whether another instance may take the part for harmful.
    is_disputed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Harmful {
    part: u64,
    trials: usize,
    next_trial: Tick,
    judged_at: Tick,
    /// Whether it was judged by the crashes that this instance knows.
    is_own: bool,
    /// When a request with the part last came to any instance, as far as it is known.
    wanted_at: Tick,
    /// When the instances were last told.
    told_at: Option<Tick>,
}

impl Parts {
    /// Records a request that was running at a server that crashed, `age` after it was sent there, and returns whether that
    /// was unknown. `is_old` states that it is from before this instance started.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Stamp, Tick};
    /// use core::time::Duration;
    /// use retry::parts::{Crash, Parts};
    /// let mut parts = Parts::default();
    /// let now = Tick::from_millis(9_000);
    /// for (request, server) in ["i-1", "i-2", "i-3", "i-4"].into_iter().enumerate() {
    ///     let request = request as u64;
    ///     let at = Stamp::from_millis(5_000 + 400 * request);
    ///     let crash = Crash { server: server.into(), started_at_ms: 7, at, request, parts: vec![10],
    ///         wrote: Duration::ZERO };
    ///     parts.record_crash(now, crash, Duration::ZERO, false);
    /// }
    /// assert_eq!(parts.judge(now).len(), 1);
    /// assert_eq!(parts.find_harmful(now, &[9, 10]), Some(10));
    /// ```
    pub fn record_crash(
        &mut self,
        now: Tick,
        mut crash: Crash,
        age: Duration,
        is_old: bool,
    ) -> bool {
        let retention = self.config.retention;
        self.crashes
            .retain(|record| now - record.recorded_at < retention);
        crash.parts.truncate(self.config.max_parts);
        if crash.parts.is_empty() || self.crashes.iter().any(|record| record.crash == crash) {
            return false;
        }
        if self.crashes.len() >= self.config.max_records {
            self.crashes.remove(0);
        }
        for at in 0..crash.parts.len() {
            let part = crash.parts[at];
            if !self.has_counted_crash(part) {
                let sound = self.sound_mut(now, part);
                sound.runs_at_crash = sound.runs;
            }
        }
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let began_at = Stamp::from_millis(crash.at.as_millis().saturating_sub(age_ms));
        self.crashes.push(Record {
            has_written: crash.wrote >= self.config.min_writing_time,
            crash,
            recorded_at: now,
            began_at,
            is_old,
        });
        true
    }

    /// Records a run of this instance that ended well, and returns the parts that were harmful until then.
    pub fn record_run(&mut self, now: Tick, began_at: Tick, parts: &[u64]) -> Vec<u64> {
        let mut cleared = Vec::new();
        self.runs += 1;
        for part in parts.iter().take(self.config.max_parts) {
            let is_later = self.is_after_crash(*part, began_at);
            let is_harmful = self.position(*part).is_ok();
            let sound = self.sound_mut(now, *part);
            sound.local_at = now;
            sound.runs += 1;
            sound.is_disputed |= is_harmful;
            sound.began_at = sound.began_at.max(began_at);
            cleared.extend(self.record_good(now, *part, is_later));
        }
        cleared
    }

    /// Records a run of this instance that has been writing for some time. It speaks only for parts with good runs, as a
    /// part may crash servers late.
    pub fn record_writing(&mut self, now: Tick, began_at: Tick, parts: &[u64]) {
        for part in parts.iter().take(self.config.max_parts) {
            if self.has_crashes(*part) {
                let sound = self.sound_mut(now, *part);
                sound.writing_since = sound.writing_since.max(began_at);
            }
        }
    }

    /// Judges all parts by the crashes so far, and returns the ones that are harmful from now on. New verdicts are judged
    /// again together with the other parts, as the records of one crash come at different times.
    pub fn judge(&mut self, now: Tick) -> Vec<Verdict> {
        let review_time = self.config.review_time;
        let is_new = |harmful: &mut Harmful| {
            harmful.is_own && harmful.trials == 0 && now - harmful.judged_at < review_time
        };
        let former: Vec<_> = self.harmful.extract_if(.., is_new).collect();
        let mut verdicts = Vec::new();
        loop {
            let scene = self.scene(None);
            let mut found: Vec<_> = self
                .parts_with(self.config.min_servers)
                .into_iter()
                .filter(|part| self.position(*part).is_err())
                .filter_map(|part| self.examine(now, part, &scene))
                .filter(|evidence| self.is_sufficient(now, evidence))
                .collect();
            drop(scene);
            let most = found.iter().map(Evidence::strength).max();
            found.retain(|evidence| Some(evidence.strength()) == most);
            // Of parts that came together, a later crash shows which one causes them.
            let is_clear = found.len() == 1
                || found
                    .first()
                    .is_some_and(|evidence| evidence.verdict.servers >= self.config.max_servers);
            if !is_clear {
                return verdicts;
            }
            for evidence in found {
                let part = evidence.verdict.part;
                let known = former.iter().find(|harmful| harmful.part == part);
                let harmful = self.harmful_mut(now, part);
                match known {
                    Some(known) => *harmful = *known,
                    None => verdicts.push(evidence.verdict),
                }
            }
        }
    }

    /// Returns a harmful part of a request.
    pub fn find_harmful(&mut self, now: Tick, parts: &[u64]) -> Option<u64> {
        let retention = self.config.retention;
        self.harmful
            .retain(|harmful| now - harmful.wanted_at < retention);
        let mut parts = parts.iter().take(self.config.max_parts);
        let at = parts.find_map(|part| self.position(*part).ok())?;
        self.harmful[at].wanted_at = now;
        Some(self.harmful[at].part)
    }

    /// Takes a trial: returns whether one request with a harmful part may be sent to a server nevertheless. It must have only
    /// one such part, as its end shows nothing of the others.
    pub fn take_trial(&mut self, now: Tick, parts: &[u64]) -> bool {
        let parts = parts.iter().take(self.config.max_parts);
        let mut found: Vec<_> = parts.filter_map(|part| self.position(*part).ok()).collect();
        found.dedup();
        let &[at] = found.as_slice() else {
            return false;
        };
        let harmful = &mut self.harmful[at];
        if harmful.trials >= self.config.trial_delays.len() || now < harmful.next_trial {
            return false;
        }
        harmful.trials += 1;
        harmful.told_at = None;
        let part = harmful.part;
        self.schedule_trial(now, part);
        true
    }

    /// Returns the number of servers that crashed under a part and whose crashes count against it.
    pub fn crash_count(&self, now: Tick, part: u64) -> usize {
        self.examine(now, part, &self.scene(Some(part)))
            .map_or(0, |evidence| evidence.verdict.servers)
    }

    /// Returns the number of crashes, of parts with good runs and of harmful parts that are remembered.
    pub const fn lens(&self) -> (usize, usize, usize) {
        (self.crashes.len(), self.sound.len(), self.harmful.len())
    }

    fn record_good(&mut self, now: Tick, part: u64, is_later: bool) -> Option<u64> {
        let sound = self.sound_mut(now, part);
        sound.ended_at = now;
        if is_later {
            sound.cleared_at = now;
        }
        let at = self.position(part).ok()?;
        // A run that began before the first crash shows that the part was sound until then; the slower rule applies.
        let is_upheld = !is_later
            && (self.harmful[at].trials > 0
                || self
                    .examine(now, part, &self.scene(Some(part)))
                    .is_some_and(|evidence| self.is_sufficient(now, &evidence)));
        if is_upheld {
            return None;
        }
        Some(self.harmful.remove(at).part)
    }

    /// Returns whether a run that began at a time began after a crash that counts against a part, or after the verdict on it.
    fn is_after_crash(&self, part: u64, began_at: Tick) -> bool {
        self.counted_crashes(part)
            .next()
            .is_some_and(|first| began_at > first.recorded_at)
            || self
                .position(part)
                .is_ok_and(|at| began_at > self.harmful[at].judged_at)
    }

    /// Returns the crashes under a part since it was last cleared.
    fn counted_crashes(&self, part: u64) -> impl Iterator<Item = &Record> {
        let sound = self.find_sound(part);
        let cleared_at = sound.map_or(Tick::default(), |at| self.sound[at].cleared_at);
        self.crashes.iter().filter(move |record| {
            record.is_suspect(part) && !record.is_old && record.recorded_at > cleared_at
        })
    }

    fn has_counted_crash(&self, part: u64) -> bool {
        self.counted_crashes(part).next().is_some()
    }

    fn has_crashes(&self, part: u64) -> bool {
        self.crashes.iter().any(|record| record.is_suspect(part))
    }

    /// Returns the parts with a number of records, sorted.
    fn parts_with(&self, count: usize) -> Vec<u64> {
        let parts = self.crashes.iter().flat_map(|record| &record.crash.parts);
        let mut parts: Vec<_> = parts.copied().collect();
        parts.sort_unstable();
        let groups = parts.chunk_by(|a, b| a == b);
        let groups = groups.filter(|group| group.len() >= count);
        groups.filter_map(|group| group.first().copied()).collect()
    }

    fn schedule_trial(&mut self, now: Tick, part: u64) {
        let delays = self.config.trial_delays;
        if let Ok(at) = self.position(part) {
            let harmful = &mut self.harmful[at];
            let delay = delays.get(harmful.trials).copied().unwrap_or(Duration::MAX);
            harmful.next_trial = now + delay;
        }
    }

    fn harmful_mut(&mut self, now: Tick, part: u64) -> &mut Harmful {
        let at = match self.position(part) {
            Ok(at) => at,
            Err(_) => {
                if self.harmful.len() >= self.config.max_harmful {
                    let oldest = self.harmful.iter().enumerate();
                    let oldest = oldest.min_by_key(|(_, harmful)| harmful.wanted_at);
                    let oldest = oldest.map(|(at, _)| at);
                    oldest.map(|at| self.harmful.remove(at));
                }
                let at = self.harmful.partition_point(|harmful| harmful.part < part);
                let harmful = Harmful {
                    part,
                    trials: 0,
                    next_trial: now + self.config.trial_delays[0],
                    judged_at: now,
                    is_own: true,
                    wanted_at: now,
                    told_at: None,
                };
                self.harmful.insert(at, harmful);
                at
            }
        };
        &mut self.harmful[at]
    }

    fn sound_mut(&mut self, now: Tick, part: u64) -> &mut Sound {
        let at = match self.find_sound(part) {
            Ok(at) => at,
            Err(_) => {
                if self.sound.len() >= self.config.max_sound {
                    self.forget_sound(now);
                }
                let at = self.sound.partition_point(|sound| sound.part < part);
                let sound = Sound {
                    part,
                    ..Sound::default()
                };
                self.sound.insert(at, sound);
                at
            }
        };
        &mut self.sound[at]
    }

    /// Forgets the half of the parts whose good runs are the oldest, and all that are too old to matter.
    fn forget_sound(&mut self, now: Tick) {
        let mut ends: Vec<_> = self.sound.iter().map(|sound| sound.ended_at).collect();
        let middle = ends.len() / 2;
        let (_, median, _) = ends.select_nth_unstable(middle);
        let (median, retention) = (*median, self.config.retention);
        self.sound
            .retain(|sound| sound.ended_at > median && now - sound.ended_at < retention);
    }

    fn position(&self, part: u64) -> Result<usize, usize> {
        self.harmful
            .binary_search_by_key(&part, |harmful| harmful.part)
    }

    fn find_sound(&self, part: u64) -> Result<usize, usize> {
        self.sound.binary_search_by_key(&part, |sound| sound.part)
    }
}
