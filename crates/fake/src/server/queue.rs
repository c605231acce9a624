//! Limited places to work in, given by priority and then by arrival.

use tokio::sync::oneshot;

pub(super) struct Queue {
    batch: usize,
    limit: usize,
    next: u64,
    running: usize,
    waiting: Vec<Waiter>,
}

struct Waiter {
    place: oneshot::Sender<()>,
    priority: i64,
    ticket: u64,
}

/// The answer to a call for a place.
pub(super) enum Entrance {
    /// The place is taken now.
    Open,
    /// The place will be taken when this resolves.
    Wait(oneshot::Receiver<()>),
    /// The queue is full.
    Full,
}

impl Queue {
    pub(super) fn new(batch: usize, limit: usize) -> Self {
        Self {
            batch,
            limit,
            next: 0,
            running: 0,
            waiting: Vec::new(),
        }
    }

    pub(super) fn running(&self) -> usize {
        self.running
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting
            .iter()
            .filter(|waiter| !waiter.place.is_closed())
            .count()
    }

    /// Asks for a place.
    pub(super) fn enter(&mut self, priority: i64) -> Entrance {
        self.waiting.retain(|waiter| !waiter.place.is_closed());
        if self.running < self.batch {
            self.running += 1;
            return Entrance::Open;
        }
        if self.waiting.len() >= self.limit {
            return Entrance::Full;
        }
        let (place, turn) = oneshot::channel();
        let ticket = self.next;
        self.next += 1;
        let at = self
            .waiting
            .partition_point(|waiter| (-waiter.priority, waiter.ticket) < (-priority, ticket));
        self.waiting.insert(
            at,
            Waiter {
                place,
                priority,
                ticket,
            },
        );
        Entrance::Wait(turn)
    }

    /// Gives a place back; the first waiter that still wants it gets it.
    pub(super) fn leave(&mut self) {
        while !self.waiting.is_empty() {
            if self.waiting.remove(0).place.send(()).is_ok() {
                return;
            }
        }
        self.running -= 1;
    }
}
