//! Shares of the budget of bytes that an instance holds.

use core::time::Duration;
use std::rc::Rc;

use base::Name;
use tokio::time;

use crate::{Hub, Transport, hold::Kind};

/// The interval at which a request that waits for room looks for it.
const ROOM_INTERVAL: Duration = Duration::from_millis(50);

/// The part of an instance's memory that one answer or request takes.
///
/// Servers may send bytes without end on many connections at the same time, and callers may take none. A limit for each
/// answer bounds one of them only.
pub struct Share<E: Transport> {
    hub: Rc<Hub<E>>,
    id: u64,
}

impl<E: Transport> Share<E> {
    /// Returns a share without bytes.
    pub fn open(hub: &Rc<Hub<E>>, kind: Kind) -> Self {
        Self {
            hub: hub.clone(),
            id: hub.with(|state| state.hold.open(kind)),
        }
    }

    /// Changes the share to a number of bytes, and returns whether there is room. A small share is always granted, so that
    /// ordinary answers pass beside those that use up the memory.
    pub(crate) fn resize(&self, bytes: usize) -> bool {
        let small = self.hub.settings.small_answer_bytes;
        let (is_granted, total) = self.hub.with(|state| {
            let is_granted = state.hold.try_resize(self.id, bytes, small);
            (is_granted, state.hold.total())
        });
        if !is_granted {
            log::warn!(target: "relay", bytes = bytes, total = total; "answers use up the memory; a large one is given up");
        }
        is_granted
    }

    /// Changes the share to the number of bytes that are held in any case.
    pub fn set(&self, bytes: usize) {
        self.hub.with(|state| state.hold.resize(self.id, bytes));
    }

    /// Returns whether more bytes may be read.
    pub fn may_read(&self) -> bool {
        self.hub.with(|state| state.hold.may_read(self.id))
    }

    /// Counts the bytes to the server that they come from.
    pub(crate) fn set_server(&self, server: &Name) {
        self.hub
            .with(|state| state.hold.set_server(self.id, server));
    }

    /// Waits until more bytes may be read.
    pub async fn wait_for_room(&self) {
        while !self.may_read() {
            time::sleep(ROOM_INTERVAL).await;
        }
    }
}

impl<E: Transport> Drop for Share<E> {
    fn drop(&mut self) {
        self.hub.with(|state| state.hold.close(self.id));
    }
}
