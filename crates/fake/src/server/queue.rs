//! A limited number of slots, granted by priority and then in order of arrival.

use tokio::sync::oneshot;

pub(super) struct Queue {
    max_running: usize,
    max_waiting: usize,
    next_sequence: u64,
    running: usize,
    waiting: Vec<Waiter>,
}

struct Waiter {
    sender: oneshot::Sender<()>,
    priority: i64,
    sequence: u64,
}

/// The result of a request for a slot.
pub(super) enum Admission {
    /// The slot is granted at once.
    Granted,
    /// The slot is granted when this resolves.
    Queued(oneshot::Receiver<()>),
    /// The queue is full.
    Full,
}

impl Queue {
    pub(super) fn new(max_running: usize, max_waiting: usize) -> Self {
        Self {
            max_running,
            max_waiting,
            next_sequence: 0,
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
            .filter(|waiter| !waiter.sender.is_closed())
            .count()
    }

    /// Requests a slot.
    pub(super) fn acquire(&mut self, priority: i64) -> Admission {
        self.waiting.retain(|waiter| !waiter.sender.is_closed());
        if self.running < self.max_running {
            self.running += 1;
            return Admission::Granted;
        }
        if self.waiting.len() >= self.max_waiting {
            return Admission::Full;
        }
        let (sender, receiver) = oneshot::channel();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let at = self
            .waiting
            .partition_point(|waiter| (-waiter.priority, waiter.sequence) < (-priority, sequence));
        self.waiting.insert(
            at,
            Waiter {
                sender,
                priority,
                sequence,
            },
        );
        Admission::Queued(receiver)
    }

    /// Releases a slot to the first waiter that has not been cancelled.
    pub(super) fn release(&mut self) {
        while !self.waiting.is_empty() {
            if self.waiting.remove(0).sender.send(()).is_ok() {
                return;
            }
        }
        self.running -= 1;
    }
}
