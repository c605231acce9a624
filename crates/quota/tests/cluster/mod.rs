//! Instances that call one cold server, in virtual time.

use core::time::Duration;

use base::{Name, Tick};
use mesh::{Config, Members, Owner, Peer};
use quota::{
    Cold, Demand, Turn,
    cold::{Bound, Entry, Terms},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) const TERMS: Terms = Terms {
    rate: 8.1,
    bound: Bound {
        over: 1.5,
        slack: 5.0,
    },
};

const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(30);

/// When the trouble of a case begins and ends.
const FROM: Duration = Duration::from_secs(10);
const UNTIL: Duration = Duration::from_secs(20);

/// How long a request waits for its turn, and how late it uses it at most.
const MAX_WAIT: Duration = Duration::from_millis(500);
const MAX_LATE: Duration = Duration::from_millis(250);

/// The age of the news of an entry, and how much later some instances get it.
const NEWS: Duration = Duration::from_millis(800);
const LATE_NEWS: Duration = Duration::from_millis(1_150);

const RUN: u64 = 7;

/// What happens to the instances or to the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Trouble {
    None,
    /// The first instance in rank is lost and comes back as the same process.
    HolderLost,
    /// Two halves don't reach each other.
    Halves,
    /// Nine of ten reach no other one.
    Isolated,
    /// One after the other is started again and is away for half a second.
    Rolling,
    /// The first instance in rank stops, which takes eight seconds; some instances learn seconds later than others that its
    /// entry is gone.
    Replaced,
    /// Two instances join that come first in rank; some instances learn it seconds later than others.
    Added,
    /// The server is warm for a while and becomes cold again, which all instances see.
    AgainCold,
    /// The same, and entries from before arrive late.
    LateNews,
}

impl Trouble {
    /// Returns whether all instances reach the one that grants the rate most of the time.
    pub(crate) const fn is_connected(self) -> bool {
        matches!(
            self,
            Self::None | Self::Rolling | Self::AgainCold | Self::LateNews
        )
    }
}

pub(crate) struct Case {
    pub(crate) count: usize,
    pub(crate) trouble: Trouble,
    pub(crate) terms: Terms,
    pub(crate) seed: u64,
}

pub(crate) struct Outcome {
    /// The most requests that the server got in a second while it was cold.
    pub(crate) most: usize,
    /// The used share of the rate while the server was cold.
    pub(crate) used: f64,
    /// The questions of all instances in a second.
    pub(crate) questions: f64,
}

/// Returns the requests that a cold server bears in a second.
pub(crate) fn allowed(terms: Terms) -> usize {
    (terms.rate * terms.bound.over + terms.bound.slack).floor() as usize
}

struct Instance {
    members: Members,
    cold: Cold,
    held_until: Tick,
    /// Until when the process is down.
    away_until: Tick,
    /// How much later than the others it gets news.
    lag: Duration,
}

pub(crate) struct Cluster {
    case: Case,
    rng: ChaCha8Rng,
    start: Tick,
    instances: Vec<Instance>,
    /// The instances in the order of their rank for the server.
    ranks: Vec<usize>,
    sent: Vec<Tick>,
    questions: usize,
}

fn server() -> (Name, Name) {
    ("i-1".into(), "d1".into())
}

fn peer(at: usize) -> Peer {
    Peer {
        name: format!("n{at:03}").into(),
        address: format!("10.0.{}.{}:7740", at / 250, at % 250)
            .parse()
            .unwrap(),
        domain: format!("d{}", at % 3).into(),
        capacity: 250,
    }
}

fn index(peer: &Peer) -> usize {
    peer.name.as_str()[1..].parse().unwrap()
}

impl Cluster {
    pub(crate) fn play(case: Case) -> Outcome {
        let mut cluster = Self::new(case);
        let mut now = cluster.start;
        while now - cluster.start < LENGTH {
            cluster.step(now);
            now = now + STEP;
        }
        cluster.outcome()
    }

    fn new(case: Case) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(case.seed);
        let start = Tick::from_millis(60_000);
        let count = case.count;
        let mut ranks: Vec<usize> = (0..count).collect();
        let (id, domain) = server();
        let listed = |own: usize, listed: &[usize]| {
            let mut members = Members::new(Config::default(), peer(own));
            listed.iter().for_each(|at| members.add(peer(*at)));
            members
        };
        let all = ranks.clone();
        ranks.sort_by_key(|at| listed(*at, &all).standing(start, &id, &domain));
        let later = match case.trouble {
            Trouble::Added => &ranks[..2],
            _ => &[],
        };
        let known: Vec<_> = all
            .iter()
            .copied()
            .filter(|at| !later.contains(at))
            .collect();
        let instances = all.iter().map(|own| Instance {
            members: listed(*own, &known),
            cold: cold(Tick::default()),
            held_until: Tick::default(),
            away_until: if later.contains(own) {
                start + FROM
            } else {
                Tick::default()
            },
            lag: LATE_NEWS.mul_f64(rng.random()),
        });
        let mut cluster = Self {
            instances: instances.collect(),
            case,
            rng,
            start,
            ranks,
            sent: Vec::new(),
            questions: 0,
        };
        for instance in &mut cluster.instances {
            instance.cold.record_event(start, &id, RUN, false);
        }
        cluster
    }

    fn step(&mut self, now: Tick) {
        self.trouble(now);
        self.tell(now);
        for own in 0..self.instances.len() {
            for due in self.instances[own].members.due_heartbeats(now) {
                let is_reached = self.reaches(now, own, index(&due));
                let members = &mut self.instances[own].members;
                match is_reached {
                    true => drop(members.mark_live(now, &due.name)),
                    false => drop(members.mark_lost(&due.name)),
                }
            }
        }
        // Ten times the rate while the server is cold.
        let demand = 10.0 * self.case.terms.rate * STEP.as_secs_f64();
        let requests = demand.floor() as usize + usize::from(self.rng.random_bool(demand.fract()));
        for _ in 0..requests {
            let own = self.rng.random_range(0..self.instances.len());
            self.request(now, own);
        }
    }

    /// Applies what happens to the instances.
    fn trouble(&mut self, now: Tick) {
        let at = now - self.start;
        let (id, _) = server();
        if !(FROM..UNTIL).contains(&at) {
            return;
        }
        let elapsed = at - FROM;
        let count = self.instances.len();
        match self.case.trouble {
            Trouble::Rolling => {
                // All are started again in eight seconds, the first in rank first.
                let each = Duration::from_secs(8) / u32::try_from(count).unwrap();
                let due = elapsed.div_duration_f64(each) as usize;
                let before = elapsed
                    .checked_sub(STEP)
                    .map_or(0, |before| before.div_duration_f64(each) as usize + 1);
                for rank in before..=due.min(count - 1) {
                    let own = self.ranks[rank];
                    let back_at = now + Duration::from_millis(500);
                    let instance = &mut self.instances[own];
                    instance.away_until = back_at;
                    instance.cold = cold(back_at);
                    instance.cold.record_event(now, &id, RUN, false);
                    instance.members = Members::new(Config::default(), peer(own));
                    (0..count).for_each(|at| instance.members.add(peer(at)));
                }
            }
            Trouble::Replaced => {
                let first = peer(self.ranks[0]).name;
                for (own, instance) in self.instances.iter_mut().enumerate() {
                    if own != self.ranks[0] && elapsed >= 2 * instance.lag {
                        instance.members.remove_at(now, &first);
                    }
                }
                if elapsed >= Duration::from_secs(8) {
                    self.instances[self.ranks[0]].away_until = Tick::MAX;
                }
            }
            Trouble::Added => {
                let added = [self.ranks[0], self.ranks[1]];
                for instance in &mut self.instances {
                    if elapsed >= 2 * instance.lag {
                        added.iter().for_each(|at| instance.members.add(peer(*at)));
                    }
                }
                if elapsed.is_zero() {
                    for own in added {
                        let instance = &mut self.instances[own];
                        instance.cold = cold(now);
                        instance.cold.record_event(now, &id, RUN, false);
                    }
                }
            }
            _ => {}
        }
    }

    /// Brings the instances news of the server.
    fn tell(&mut self, now: Tick) {
        let at = now - self.start;
        let (id, _) = server();
        let is_again = matches!(self.case.trouble, Trouble::AgainCold | Trouble::LateNews);
        if !is_again {
            // No entry arrives, and events renew themselves.
            if at.as_millis().is_multiple_of(5_000) {
                for instance in &mut self.instances {
                    instance.cold.record_event(now, &id, RUN, false);
                }
            }
            return;
        }
        // The server is warm from 5 s to 10 s, writes that every 1.2 s, and is cold from 10 s to 13 s; again from 20 s on.
        if at == FROM || at == UNTIL {
            for instance in &mut self.instances {
                instance.cold.record_event(now, &id, RUN, false);
            }
        }
        for own in 0..self.instances.len() {
            let lag = match self.case.trouble {
                Trouble::LateNews => self.instances[own].lag,
                _ => Duration::ZERO,
            };
            let Some(written) = at.checked_sub(NEWS + lag) else {
                continue;
            };
            let number = written.div_duration_f64(Duration::from_millis(1_200)) as u64;
            let written = Duration::from_millis(1_200) * u32::try_from(number).unwrap();
            self.instances[own].cold.record_entry(
                now,
                Entry {
                    server: &id,
                    started_at_ms: RUN,
                    sequence: number + 1,
                    left: cold_end(written) - written,
                    start_left: Duration::ZERO,
                },
            );
        }
    }

    fn reaches(&self, now: Tick, a: usize, b: usize) -> bool {
        let is_away = |at: usize| now < self.instances[at].away_until;
        if a == b {
            return !is_away(a);
        }
        if is_away(a) || is_away(b) {
            return false;
        }
        let at = now - self.start;
        if !(FROM..UNTIL).contains(&at) {
            return true;
        }
        match self.case.trouble {
            Trouble::HolderLost => a != self.ranks[0] && b != self.ranks[0],
            // The first two in rank are on different sides.
            Trouble::Halves => {
                let side = |of: usize| self.ranks.iter().position(|at| *at == of).unwrap() % 2;
                side(a) == side(b)
            }
            Trouble::Isolated => a % 10 == 9 && b % 10 == 9,
            _ => true,
        }
    }

    /// Lets an instance send a request if it gets a turn in time, which it may use late.
    fn request(&mut self, now: Tick, own: usize) {
        let (id, domain) = server();
        let instance = &mut self.instances[own];
        if now < instance.held_until || now < instance.away_until {
            return;
        }
        if !instance.cold.is_limited(now, &id, RUN) {
            self.sent.push(now);
            return;
        }
        for _ in 0..3 {
            let granter = self.instances[own].members.granter(now, &id, &domain, 3);
            let granter = match granter {
                Owner::Unavailable => return,
                Owner::Local => own,
                Owner::Peer(peer) if !self.reaches(now, own, index(&peer)) => {
                    self.instances[own].members.mark_lost(&peer.name);
                    continue;
                }
                Owner::Peer(peer) => index(&peer),
            };
            self.questions += 1;
            let report = self.instances[own].cold.report(now, &id, RUN).unwrap();
            let granting = &mut self.instances[granter];
            granting.cold.record_report(now, &report);
            let is_stopping = self.case.trouble == Trouble::Replaced
                && granter == self.ranks[0]
                && now - self.start >= FROM;
            let standing = granting.members.standing(now, &id, &domain);
            let rank = standing.max(usize::from(is_stopping));
            let demand = Demand::one(MAX_WAIT, Duration::ZERO);
            let turn = granting
                .cold
                .take(now, &id, RUN, self.case.terms, rank, demand);
            match turn {
                Turn::Granted { wait, next_in, .. } => {
                    let late = match self.rng.random_bool(0.5) {
                        true => MAX_LATE.mul_f64(self.rng.random()),
                        false => Duration::ZERO,
                    };
                    self.instances[own].held_until = now + next_in.saturating_sub(MAX_WAIT);
                    self.sent.push(now + wait + late);
                }
                Turn::Denied { retry_in } => self.instances[own].held_until = now + retry_in,
            }
            return;
        }
    }

    fn outcome(mut self) -> Outcome {
        self.sent.sort();
        let is_again = matches!(self.case.trouble, Trouble::AgainCold | Trouble::LateNews);
        // The times in which the server is cold, and those that count for the use of its rate.
        let seconds = |s| self.start + Duration::from_secs(s);
        let spans = match is_again {
            true => vec![(seconds(10), seconds(13)), (seconds(20), seconds(23))],
            false => vec![(seconds(3), seconds(30))],
        };
        let second = Duration::from_secs(1);
        let (mut most, mut count, mut length) = (0, 0, Duration::ZERO);
        for (from, until) in spans {
            let sent = self.sent.iter();
            let sent: Vec<_> = sent.filter(|at| (from..until).contains(at)).collect();
            let spans = sent.iter().enumerate().map(|(at, first)| {
                let rest = sent[at..].iter();
                rest.take_while(|next| ***next - **first < second).count()
            });
            most = most.max(spans.max().unwrap_or(0));
            count += sent.len();
            length += until - from;
        }
        Outcome {
            most,
            used: count as f64 / (self.case.terms.rate * length.as_secs_f64()),
            questions: self.questions as f64 / LENGTH.as_secs_f64(),
        }
    }
}

/// Returns when the cold time ends in which the server is at a time.
fn cold_end(at: Duration) -> Duration {
    let ends = [5, 13, 23].map(Duration::from_secs);
    let begins = [Duration::ZERO, FROM, UNTIL];
    let cold = begins
        .iter()
        .zip(ends)
        .find(|(begin, end)| **begin <= at && at < *end);
    cold.map_or(at, |(_, end)| end)
}

/// Returns the state of a process that started at a time.
fn cold(started_at: Tick) -> Cold {
    let mut cold = Cold::default();
    cold.start(started_at);
    cold
}
