//! Learned speeds of servers relative to their pools.
//!
//! Servers of one pool differ permanently and for moments. [`Speeds`] compares the time of each answer with the usual time
//! of its pool, which the newest answers of all its servers show, and keeps the momentary figure that a server states
//! of itself.

mod momentary;
mod ratio;
mod samples;

use core::time::Duration;

use base::{Name, Tick};
use site::roster::Server;

pub use self::momentary::Momentary;
use self::{
    ratio::Ratio,
    samples::{Line, Samples},
};

/// The largest number of speeds in one message to other instances.
pub const MAX_TOLD: usize = 64;

/// How long a changed speed is told, which covers several heartbeats.
const TELL_TTL: Duration = Duration::from_millis(700);

/// The time after which a known speed is told again, for instances that have started since.
const REPEAT_INTERVAL: Duration = Duration::from_secs(30);

/// The shortest time between two messages about the same server.
const MIN_TELL_INTERVAL: Duration = Duration::from_secs(1);

/// The factor by which a speed must have changed to be told.
const CHANGE: f64 = 1.1;

/// The evidence, in answers, below which a speed is not told.
const MIN_WEIGHT: f64 = 3.0;

/// The evidence below which a server is forgotten.
const FORGOTTEN_WEIGHT: f64 = 0.1;

/// The part of the reading speed and of the writing speed that is known of a server.
#[derive(Clone, Debug)]
struct Entry {
    server: Name,
    started_at_ms: u64,
    reading: Ratio,
    writing: Ratio,
    momentary: Momentary,
    /// Prompts of this instance that the server has yet to read.
    unread: Vec<Reading>,
    /// The speeds that other instances know, and since when.
    known: Option<(f64, f64, Tick)>,
    told_until: Tick,
}

/// A prompt that a server is to read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    sent_at: Tick,
    /// The tokens of the prompt and of those queued before it.
    tokens: u64,
    /// The usual time for them in the pool in milliseconds, or none if it is not known.
    usual_ms: Option<f64>,
}

/// The usual times of a pool.
#[derive(Clone, Debug)]
struct Pool {
    name: Name,
    reading: Samples,
    gaps: Samples,
    latencies: Samples,
}

/// The speed of a server as instances tell each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// The server.
    pub server: Name,
    /// The start time of its run in Unix milliseconds, or 0 if unknown.
    pub started_at_ms: u64,
    /// The time that it takes to read, in percent of its pool's usual time.
    pub reading: u32,
    /// The time that it takes to write, in percent of its pool's usual time.
    pub writing: u32,
    /// The number of answers on which this rests.
    pub weight: u32,
}

/// The usual time of the answers of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    /// Prompt tokens that an engine reads per millisecond.
    pub tokens_per_ms: f64,
    /// The time to the first event that does not depend on the prompt, in milliseconds.
    pub fixed_ms: f64,
    /// The time between two events in milliseconds; 0 before it is known.
    pub gap_ms: f64,
}

/// The speeds of all servers.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    entries: Vec<Entry>,
    pools: Vec<Pool>,
}

impl Speeds {
    /// Records the momentary figure of a server in percent of its usual time.
    pub fn record_momentary(&mut self, now: Tick, server: &Name, started_at_ms: u64, percent: u32) {
        let entry = self.entry(server, started_at_ms);
        entry.momentary.record(now, percent);
    }

    /// Records that a prompt was sent to a server with `queued` tokens before it. Returns a token for its end.
    pub fn record_sent(&mut self, now: Tick, server: &Server, tokens: u64, queued: u64) -> Reading {
        let tokens = tokens + queued;
        let line = self.pool(&server.pool).and_then(|pool| pool.reading.line());
        let reading = Reading {
            sent_at: now,
            tokens,
            usual_ms: line.map(|line| line.fixed_ms + tokens as f64 / line.tokens_per_ms),
        };
        let entry = self.entry(&server.id, server.started_at_ms);
        entry.unread.push(reading);
        reading
    }

    /// Records that a server sent the first event of an answer. Returns whether its speed is told to other instances now.
    pub fn record_first_event(
        &mut self,
        now: Tick,
        server: &Server,
        reading: Reading,
        default_rate: f64,
    ) -> bool {
        self.forget_reading(&server.id, reading);
        let ms = millis(now - reading.sent_at);
        let samples = &mut self.pool_mut(&server.pool).reading;
        samples.record(reading.tokens as f64, ms, default_rate);
        reading
            .usual_ms
            .is_some_and(|usual_ms| self.record_reading(now, server, ms / usual_ms.max(1.0)))
    }

    /// Forgets a prompt whose reading a server did not finish, or whose call was given up.
    pub fn forget_reading(&mut self, server: &Name, reading: Reading) {
        if let Ok(at) = self.find(server) {
            let unread = &mut self.entries[at].unread;
            if let Some(at) = unread.iter().position(|one| *one == reading) {
                unread.swap_remove(at);
            }
        }
    }

    /// Records the time to the answer of a plain server. Returns whether its speed is told to other instances now.
    pub fn record_latency(&mut self, now: Tick, server: &Server, latency: Duration) -> bool {
        let ms = millis(latency);
        let samples = &mut self.pool_mut(&server.pool).latencies;
        let usual = samples.line();
        samples.record(0.0, ms, 1.0);
        usual.is_some_and(|usual| self.record_reading(now, server, ms / usual.fixed_ms.max(1.0)))
    }

    /// Records the mean time between events of a stream, which may still run.
    pub fn record_gap(&mut self, now: Tick, server: &Server, gap: Duration) {
        let ms = millis(gap);
        let samples = &mut self.pool_mut(&server.pool).gaps;
        let usual = samples.line();
        samples.record(0.0, ms, 1.0);
        if let Some(usual) = usual {
            let entry = self.entry(&server.id, server.started_at_ms);
            let ratio = ms / usual.fixed_ms.max(0.1);
            entry.writing.record(now, ratio);
            entry.update(now);
        }
    }

    /// Returns the time that a server takes to read relative to its pool, including its momentary speed. It is 1 unless
    /// the evidence shows another one. Calls in flight count with the time that they have taken so far.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use pick::speed::Speeds;
    /// let mut speeds = Speeds::default();
    /// assert_eq!(speeds.reading(Tick::default(), &"i-1".into()), 1.0);
    /// speeds.record_momentary(Tick::default(), &"i-1".into(), 0, 250);
    /// assert_eq!(speeds.reading(Tick::default(), &"i-1".into()), 2.5);
    /// ```
    pub fn reading(&self, now: Tick, server: &Name) -> f64 {
        self.find(server).map_or(1.0, |at| {
            let entry = &self.entries[at];
            let running = entry.unread.iter().filter_map(|reading| {
                let usual_ms = reading.usual_ms?.max(1.0);
                Some(millis(now - reading.sent_at) / usual_ms)
            });
            entry.reading.get(now, running) * entry.momentary.factor(now)
        })
    }

    /// Returns the factor by which work takes longer at a server now than usual, as it states itself.
    pub fn momentary(&self, now: Tick, server: &Name) -> f64 {
        self.find(server)
            .map_or(1.0, |at| self.entries[at].momentary.factor(now))
    }

    /// Returns the time that a server takes to write relative to its pool, without its momentary speed.
    pub fn writing(&self, now: Tick, server: &Name) -> f64 {
        self.find(server).map_or(1.0, |at| {
            self.entries[at].writing.get(now, core::iter::empty())
        })
    }

    /// Returns the usual times of a pool, with a rate to assume before it is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use pick::speed::Speeds;
    /// assert_eq!(Speeds::default().usual(&"engines".into(), 45.0).tokens_per_ms, 45.0);
    /// ```
    pub fn usual(&self, pool: &Name, default_rate: f64) -> Usual {
        let pool = self.pool(pool);
        let line = pool.and_then(|pool| pool.reading.line());
        let gap = pool.and_then(|pool| pool.gaps.line());
        let Line {
            fixed_ms,
            tokens_per_ms,
        } = line.unwrap_or(Line {
            fixed_ms: 0.0,
            tokens_per_ms: default_rate,
        });
        Usual {
            tokens_per_ms,
            fixed_ms,
            gap_ms: gap.map_or(0.0, |gap| gap.fixed_ms),
        }
    }

    /// Records what another instance told of a server.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use pick::speed::{Speeds, Told};
    /// let (mut speeds, now) = (Speeds::default(), Tick::from_millis(5));
    /// let server = "i-1".into();
    /// let told = Told { server, started_at_ms: 7, reading: 167, writing: 100, weight: 20 };
    /// speeds.record_told(now, &told);
    /// assert!(speeds.reading(now, &told.server) > 1.3);
    /// // What was told is not told again.
    /// assert!(speeds.changed(now).is_empty());
    /// ```
    pub fn record_told(&mut self, now: Tick, told: &Told) {
        let at = self.find(&told.server);
        let is_old = at.is_ok_and(|at| {
            let started_at_ms = self.entries[at].started_at_ms;
            told.started_at_ms != 0 && told.started_at_ms < started_at_ms
        });
        if is_old || told.reading == 0 || told.writing == 0 {
            return;
        }
        let (reading, writing) = (fraction(told.reading), fraction(told.writing));
        let entry = self.entry(&told.server, told.started_at_ms);
        let weight = f64::from(told.weight);
        entry.reading.record_told(now, reading, weight);
        entry.writing.record_told(now, writing, weight);
        entry.known = Some((reading, writing, now));
        entry.update(now);
    }

    /// Returns the speeds that changed a short time ago, to be told to other instances; at most [`MAX_TOLD`].
    pub fn changed(&self, now: Tick) -> Vec<Told> {
        let changed = self.entries.iter().filter(|entry| now < entry.told_until);
        let told = changed.take(MAX_TOLD).map(|entry| {
            let (reading, weight) = entry.reading.summary(now);
            let (writing, _) = entry.writing.summary(now);
            Told {
                server: entry.server.clone(),
                started_at_ms: entry.started_at_ms,
                reading: percent(reading),
                writing: percent(writing),
                weight: weight.round() as u32,
            }
        });
        told.collect()
    }

    /// Returns the number of servers that are known to be faster or slower than their pools by a tenth.
    pub fn uneven_count(&self, now: Tick) -> usize {
        let ratios = self
            .entries
            .iter()
            .map(|entry| entry.reading.get(now, core::iter::empty()));
        let is_uneven = |ratio: &f64| !(1.0 / CHANGE..CHANGE).contains(ratio);
        ratios.filter(is_uneven).count()
    }

    /// Removes servers of which little is known any more.
    pub fn remove_forgotten(&mut self, now: Tick) {
        self.entries.retain(|entry| {
            let weight = entry.reading.summary(now).1 + entry.writing.summary(now).1;
            !entry.unread.is_empty() || weight >= FORGOTTEN_WEIGHT
        });
    }

    /// Records the ratio of an answer to the usual time of its pool.
    fn record_reading(&mut self, now: Tick, server: &Server, ratio: f64) -> bool {
        let entry = self.entry(&server.id, server.started_at_ms);
        let base = entry.reading.get(now, core::iter::empty());
        let without_figure = entry.momentary.compare(now, ratio / base) * base;
        entry.reading.record(now, without_figure);
        entry.update(now)
    }

    /// Returns the entry of a run of a server; what was learned of an earlier run is forgotten.
    fn entry(&mut self, server: &Name, started_at_ms: u64) -> &mut Entry {
        let at = match self.find(server) {
            Ok(at) => at,
            Err(at) => {
                self.entries.insert(at, Entry::new(server, started_at_ms));
                at
            }
        };
        let entry = &mut self.entries[at];
        if started_at_ms > entry.started_at_ms {
            if entry.started_at_ms != 0 {
                *entry = Entry::new(server, started_at_ms);
            }
            entry.started_at_ms = started_at_ms;
        }
        entry
    }

    fn find(&self, server: &Name) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.server.cmp(server))
    }

    fn pool(&self, name: &Name) -> Option<&Pool> {
        let at = self.pools.binary_search_by(|pool| pool.name.cmp(name));
        at.ok().map(|at| &self.pools[at])
    }

    fn pool_mut(&mut self, name: &Name) -> &mut Pool {
        let at = match self.pools.binary_search_by(|pool| pool.name.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                let pool = Pool {
                    name: name.clone(),
                    reading: Samples::default(),
                    gaps: Samples::default(),
                    latencies: Samples::default(),
                };
                self.pools.insert(at, pool);
                at
            }
        };
        &mut self.pools[at]
    }
}

impl Entry {
    fn new(server: &Name, started_at_ms: u64) -> Self {
        Self {
            server: server.clone(),
            started_at_ms,
            reading: Ratio::default(),
            writing: Ratio::default(),
            momentary: Momentary::default(),
            unread: Vec::new(),
            known: None,
            told_until: Tick::default(),
        }
    }

    /// Decides whether the speed is told to other instances: if it differs by a tenth from what they know, or if nothing
    /// was told for long.
    fn update(&mut self, now: Tick) -> bool {
        let (reading, weight) = self.reading.summary(now);
        let (writing, _) = self.writing.summary(now);
        if weight < MIN_WEIGHT || now < self.told_until {
            return false;
        }
        let (known_reading, known_writing, known_at) =
            self.known.unwrap_or((1.0, 1.0, Tick::default()));
        let has_changed = |from: f64, to: f64, error: f64| {
            // Instances would answer each other's messages without end if noise counted as a change.
            (to / from).ln().abs() >= CHANGE.ln().max(2.0 * error)
        };
        let (read_error, write_error) = (self.reading.error(now), self.writing.error(now));
        let is_change = has_changed(known_reading, reading, read_error)
            || has_changed(known_writing, writing, write_error);
        let is_uneven =
            has_changed(1.0, reading, read_error) || has_changed(1.0, writing, write_error);
        let age = now - known_at;
        let is_first = self.known.is_none();
        let is_told = is_change && (is_first || age >= MIN_TELL_INTERVAL)
            || is_uneven && age >= REPEAT_INTERVAL;
        if is_told {
            self.known = Some((reading, writing, now));
            self.told_until = now + TELL_TTL;
        }
        is_told
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

fn percent(ratio: f64) -> u32 {
    (ratio * 100.0).round().clamp(1.0, 10_000.0) as u32
}

fn fraction(percent: u32) -> f64 {
    f64::from(percent) / 100.0
}
