//! What instances tell each other of parts: those that crash servers, and those that run well though servers crashed.

use base::Tick;

use super::{Parts, Record, evidence::count_different};

/// What other instances are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// Runs with a part ended well, though servers crashed under it.
    Sound {
        /// The part.
        part: u64,
        /// Whether one of them began after the first of these crashes.
        is_later: bool,
    },
    /// A part crashes servers.
    Harmful {
        /// The part.
        part: u64,
        /// The number of requests with it that were tried since.
        trials: usize,
    },
}

impl Parts {
    /// Applies what another instance tells, and returns the part if it was harmful until then.
    pub fn apply(&mut self, now: Tick, report: Report) -> Option<u64> {
        match report {
            Report::Sound { part, is_later } => {
                self.sound_mut(now, part).told_at = now;
                self.record_good(now, part, is_later)
            }
            Report::Harmful { part, trials } => {
                // The own good runs go first; the other instances are told of them.
                let own = self.find_sound(part).map(|at| &mut self.sound[at]);
                if let Ok(own) = own
                    && own.local_at > Tick::default()
                {
                    own.is_disputed = true;
                } else {
                    let is_new = self.position(part).is_err();
                    let harmful = self.harmful_mut(now, part);
                    harmful.is_own &= !is_new;
                    harmful.told_at = Some(now);
                    harmful.wanted_at = now;
                    if trials > harmful.trials {
                        harmful.trials = trials;
                        self.schedule_trial(now, part);
                    }
                }
                None
            }
        }
    }

    /// Returns what the other instances are to be told now, and counts it as told.
    pub fn take_reports(&mut self, now: Tick) -> Vec<Report> {
        let mut reports = Vec::new();
        for harmful in &mut self.harmful {
            let interval = self.config.harmful_interval;
            let is_due = harmful
                .told_at
                .is_none_or(|told_at| now - told_at >= interval && harmful.wanted_at > told_at);
            if is_due {
                harmful.told_at = Some(now);
                reports.push(Report::Harmful {
                    part: harmful.part,
                    trials: harmful.trials,
                });
            }
        }
        let explained = self.explained_runs(None);
        let contested = self.parts_with(self.config.min_servers / 2);
        let due = self.sound.iter().enumerate().filter_map(|(at, sound)| {
            let is_new = |record: &&Record| {
                record.is_suspect(sound.part)
                    && record.recorded_at > sound.told_at
                    && explained.binary_search(&record.run()).is_err()
            };
            let is_contested = || {
                let new = self.crashes.iter().filter(is_new).map(Record::run);
                contested.binary_search(&sound.part).is_ok()
                    && count_different(new.collect()) >= self.config.min_servers / 2
            };
            let is_due = (sound.is_disputed || is_contested())
                && sound.local_at > sound.told_at
                && (sound.told_at == Tick::default()
                    || now - sound.told_at >= self.config.sound_interval);
            let first = self
                .crashes
                .iter()
                .find(|record| record.is_suspect(sound.part));
            let is_later = first.is_none_or(|first| sound.began_at > first.recorded_at);
            is_due.then_some((at, is_later))
        });
        for (at, is_later) in due.collect::<Vec<_>>() {
            let sound = &mut self.sound[at];
            sound.told_at = now;
            sound.is_disputed = false;
            let part = sound.part;
            reports.push(Report::Sound { part, is_later });
        }
        reports
    }
}
