//! The planner's lease of one failure domain, based on records in the platform's log.
//!
//! - A record states up to which offset its author had read, and is valid if there is no valid record between
//!   that offset and itself; of two records with the same offset, the first in the log wins.
//! - The holder measures the term with its own monotonic clock, from before its record was sent, and
//!   checks it right before each order.
//! - An instance takes over the lease after a term without a renewal, and then waits until orders of the
//!   previous holder have taken effect or never will.

use core::time::Duration;

use base::{Incarnation, Tick};
use serde::{Deserialize, Serialize};

use crate::configs;

/// The record that takes or renews the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The instance that takes the lease.
    pub holder: Incarnation,
    /// The offset of the first record that the holder had not read yet.
    pub read: u64,
    /// The sequence number of the record among those of the holder.
    pub number: u64,
}

/// An event of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The append took effect.
    Appended,
    /// The append had no effect and will have none.
    AppendRefused,
    /// The append may have taken effect or may still do so.
    AppendUnanswered,
    /// The read returned records.
    Page {
        /// The lowest offset in the log.
        first: u64,
        /// The offset of the next append.
        end: u64,
        /// The records with their offsets, from the requested offset or from `first` on.
        records: Vec<(u64, String)>,
    },
    /// The read failed.
    ReadFailed,
    /// Time passed.
    Tick,
}

/// An action to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append to the stream of the failure domain and report the result exactly once.
    Append {
        /// The body of the record.
        body: String,
    },
    /// Read the stream of the failure domain and report the result exactly once.
    Read {
        /// The first offset to read.
        from: u64,
    },
}

/// The last valid record that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Head {
    offset: u64,
    holder: Incarnation,
    /// When it was read, by this instance's clock, which is after it was sent.
    read_at: Tick,
}

/// The lease held by this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    fence: u64,
    /// The time from which orders may be sent.
    from: Tick,
    /// The end of the term.
    until: Tick,
}

/// The state of the lease from the view of one instance.
#[derive(Clone, Debug)]
pub struct Lease {
    config: configs::Lease,
    holder: Incarnation,
    /// Whether this instance should be the planner.
    is_wanted: bool,
    /// The offset of the first record that was not read yet.
    position: u64,
    head: Option<Head>,
    held: Option<Held>,
    /// The time from which orders of other holders can no longer take effect.
    safe_from: Tick,
    /// The sequence number of this instance's last record.
    last_number: u64,
    /// When the last record was sent.
    last_sent: Tick,
    is_appending: bool,
    is_reading: bool,
    next_append: Tick,
    next_read: Tick,
}

impl Lease {
    /// Creates the state of an instance that has read no records.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Incarnation, Stamp, Tick};
    /// use place::{configs, lease::{Action, Event, Lease}};
    /// let holder = Incarnation::new("entry-1", Stamp::from_millis(5));
    /// let mut lease = Lease::new(configs::Lease::default(), holder, true);
    /// let now = Tick::from_millis(1);
    /// assert_eq!(lease.handle(now, Event::Tick), [Action::Read { from: 0 }]);
    /// let page = |end, records| Event::Page { first: 0, end, records };
    /// let actions = lease.handle(now, page(0, Vec::new()));
    /// let [Action::Append { body }] = actions.as_slice() else { panic!() };
    /// assert_eq!(lease.handle(now, Event::Appended), [Action::Read { from: 0 }]);
    /// lease.handle(now, page(1, vec![(0, body.clone())]));
    /// assert_eq!(lease.fence(now), Some(0));
    /// assert_eq!(lease.fence(now + configs::Lease::default().term), None);
    /// ```
    pub const fn new(config: configs::Lease, holder: Incarnation, is_wanted: bool) -> Self {
        Self {
            config,
            holder,
            is_wanted,
            position: 0,
            head: None,
            held: None,
            safe_from: Tick::from_micros(0),
            last_number: 0,
            last_sent: Tick::from_micros(0),
            is_appending: false,
            is_reading: false,
            next_append: Tick::from_micros(0),
            next_read: Tick::from_micros(0),
        }
    }

    /// Sets whether this instance should be the planner, according to its view of the members.
    pub const fn set_wanted(&mut self, is_wanted: bool) {
        self.is_wanted = is_wanted;
    }

    /// Returns the fencing token if an order may be sent now.
    pub fn fence(&self, now: Tick) -> Option<u64> {
        let held = self.held?;
        (held.from <= now && now < held.until).then_some(held.fence)
    }

    /// Returns the maximum time from the check of the lease to the effect of an order.
    pub(crate) const fn order_limit(&self) -> Duration {
        self.config.order_limit
    }

    /// Handles an event and returns the actions to execute, in order.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        match event {
            Event::Appended => {
                self.is_appending = false;
                self.next_read = now;
            }
            Event::AppendRefused | Event::AppendUnanswered => {
                self.is_appending = false;
                self.next_append = now + self.config.retry_interval;
                self.next_read = now;
            }
            Event::Page {
                first,
                end,
                records,
            } => self.handle_page(now, first, end, &records),
            Event::ReadFailed => {
                self.is_reading = false;
                self.next_read = now + self.config.retry_interval;
            }
            Event::Tick => {}
        }
        let mut actions = Vec::new();
        self.push_read(now, &mut actions);
        self.push_append(now, &mut actions);
        actions
    }

    fn handle_page(&mut self, now: Tick, first: u64, end: u64, records: &[(u64, String)]) {
        self.is_reading = false;
        let is_behind = end < self.position;
        self.next_read = now + self.config.retry_interval;
        // The page may come from an earlier state of the log than what was already read.
        if is_behind {
            return;
        }
        if first > self.position {
            // The truncated records may have transferred the lease.
            if self.position > 0 {
                self.safe_from = self.safe_after(now);
            }
            self.position = first;
            self.held = None;
            self.head = None;
        }
        for (offset, body) in records {
            if *offset != self.position {
                continue;
            }
            self.position += 1;
            if let Ok(record) = serde_json::from_str::<Record>(body) {
                self.apply(now, *offset, record);
            }
        }
        if self.position < end {
            self.next_read = now;
        }
    }

    /// Applies a record and ignores an invalid one.
    fn apply(&mut self, now: Tick, offset: u64, record: Record) {
        let head = self.head.as_ref();
        if head.is_some_and(|head| record.read <= head.offset) {
            return;
        }
        self.held = None;
        if record.holder != self.holder {
            self.safe_from = self.safe_after(now);
        } else if record.number == self.last_number {
            // An older record of this instance doesn't tell when the last one was sent.
            self.held = Some(Held {
                fence: offset,
                from: self.last_sent.max(self.safe_from),
                until: self.last_sent + self.config.term,
            });
        }
        self.head = Some(Head {
            offset,
            holder: record.holder,
            read_at: now,
        });
    }

    /// Returns the time from which orders of a holder whose record is read now can no longer take effect.
    fn safe_after(&self, now: Tick) -> Tick {
        now + self.config.term + self.config.clock_drift + self.config.order_limit
    }

    fn push_read(&mut self, now: Tick, actions: &mut Vec<Action>) {
        if self.is_reading || !self.is_wanted || now < self.next_read {
            return;
        }
        self.is_reading = true;
        let from = self.position;
        actions.push(Action::Read { from });
    }

    fn push_append(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let is_waiting = self.is_appending || self.is_reading || now < self.next_append;
        if is_waiting || !self.is_wanted || !self.is_append_due(now) {
            return;
        }
        self.last_number += 1;
        let record = Record {
            holder: self.holder.clone(),
            read: self.position,
            number: self.last_number,
        };
        self.last_sent = now;
        self.is_appending = true;
        self.next_append = now + self.config.retry_interval;
        let body = serde_json::to_string(&record).expect("a record is serializable");
        actions.push(Action::Append { body });
    }

    /// Returns whether this instance should append a record that takes or renews the lease.
    fn is_append_due(&self, now: Tick) -> bool {
        match &self.head {
            None => true,
            Some(head) if head.holder == self.holder => self
                .held
                .is_none_or(|held| now + self.config.renewal_margin >= held.until),
            Some(head) => now >= head.read_at + self.config.term + self.config.clock_drift,
        }
    }
}
