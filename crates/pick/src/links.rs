//! Tracks whether the local instance reaches servers at all.

use core::time::Duration;

use base::{Name, Tick};

/// The number of servers that are unreachable, with no answer of any server between, from which the links are checked.
const SUSPICIOUS_SERVERS: usize = 2;

/// How long a call may go without an answer, while no server answers any call, before the links are checked. A sound server
/// may be silent for longer, but not all of them at the same time.
const SUSPICIOUS_SILENCE: Duration = Duration::from_millis(600);

/// The shortest time between two checks that found the links sound.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long a check that reached a server also decides for connections that break after it.
const SOUND_TIME: Duration = Duration::from_millis(100);

/// How long a server is passed over that another instance did not reach either.
const OUT_OF_REACH_TIME: Duration = Duration::from_secs(2);

/// Whether the local instance reaches servers, by the outcomes of its calls and of checks.
///
/// Unreachable servers or a silence only raise the suspicion that the links of the instance are lost; a check, which opens
/// connections to several servers, decides.
#[derive(Clone, Debug, Default)]
pub struct Links {
    unreachable: Vec<Name>,
    last_answer: Tick,
    last_check: Tick,
    is_checking: bool,
    is_cut_off: bool,
    /// Servers that another instance did not reach either, and until when they are passed over.
    out_of_reach: Vec<(Name, Tick)>,
}

impl Links {
    /// Returns whether no server can be reached.
    pub const fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns whether a check reached a server a moment ago.
    pub fn is_sound(&self, now: Tick) -> bool {
        let is_checked = self.last_check > Tick::default();
        !self.is_cut_off && is_checked && now - self.last_check < SOUND_TIME
    }

    /// Records that a server answered a call on a link of this instance.
    pub fn record_answer(&mut self, now: Tick) {
        self.unreachable.clear();
        self.last_answer = self.last_answer.max(now);
    }

    /// Records that a server is unreachable, and returns whether the links have to be checked.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use pick::Links;
    /// let (mut links, now) = (Links::default(), Tick::from_millis(900));
    /// assert!(!links.record_unreachable(now, &"i-1".into()));
    /// assert!(links.record_unreachable(now, &"i-2".into()));
    /// assert!(links.record_check(now, false));
    /// assert!(links.is_cut_off());
    /// assert!(links.record_check(now, true));
    /// assert!(!links.is_cut_off());
    /// ```
    pub fn record_unreachable(&mut self, now: Tick, server: &Name) -> bool {
        if !self.unreachable.contains(server) {
            self.unreachable.push(server.clone());
        }
        self.unreachable.len() >= SUSPICIOUS_SERVERS && self.start_check(now)
    }

    /// Records that a call which was sent at a time has no answer yet, and returns whether the links have to be checked.
    pub fn record_silence(&mut self, now: Tick, sent_at: Tick) -> bool {
        let since = sent_at.max(self.last_answer);
        now - since >= SUSPICIOUS_SILENCE && self.start_check(now)
    }

    /// Records the outcome of a check, and returns whether the state changed.
    pub fn record_check(&mut self, now: Tick, is_reached: bool) -> bool {
        self.is_checking = false;
        self.last_check = now;
        if is_reached {
            self.unreachable.clear();
        }
        let is_changed = self.is_cut_off == is_reached;
        self.is_cut_off = !is_reached;
        is_changed
    }

    /// Records that another instance did not reach a server either.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use pick::Links;
    /// let (mut links, server) = (Links::default(), "i-1".into());
    /// links.record_out_of_reach(Tick::from_millis(5), &server);
    /// assert!(links.is_out_of_reach(Tick::from_millis(6), &server));
    /// assert!(!links.is_out_of_reach(Tick::from_millis(9_000), &server));
    /// ```
    pub fn record_out_of_reach(&mut self, now: Tick, server: &Name) {
        self.out_of_reach
            .retain(|(known, until)| known != server && now < *until);
        self.out_of_reach
            .push((server.clone(), now + OUT_OF_REACH_TIME));
    }

    /// Returns whether another instance did not reach a server a moment ago.
    pub fn is_out_of_reach(&self, now: Tick, server: &Name) -> bool {
        let mut known = self.out_of_reach.iter();
        known.any(|(known, until)| known == server && now < *until)
    }

    /// Returns whether a check is due, and records that it is under way.
    fn start_check(&mut self, now: Tick) -> bool {
        let is_due = !self.is_cut_off && !self.is_checking;
        let is_due = is_due && now - self.last_check >= CHECK_INTERVAL;
        self.is_checking |= is_due;
        is_due
    }
}

/// How long a call goes without an answer before its silence is recorded.
pub const fn suspicious_silence() -> Duration {
    SUSPICIOUS_SILENCE
}
