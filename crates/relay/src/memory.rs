//! The memory for parts of answers that can't be passed on yet.

use std::rc::Rc;

use crate::{Hub, Transport};

/// The part of an instance's memory that one answer takes.
///
/// Servers may send bytes without end on many connections at the same time. A limit for each answer bounds one of them only.
pub(crate) struct Share<E: Transport> {
    hub: Rc<Hub<E>>,
    bytes: usize,
}

impl<E: Transport> Share<E> {
    pub(crate) fn new(hub: &Rc<Hub<E>>) -> Self {
        Self {
            hub: hub.clone(),
            bytes: 0,
        }
    }

    /// Changes the share to a number of bytes, and returns whether there is room. A small share is always granted, so that
    /// ordinary answers pass beside those that use up the memory.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let settings = &self.hub.settings;
        let before = self.bytes;
        let (is_granted, total) = self.hub.with(|state| {
            let total = state.kept_bytes - before + bytes;
            let has_room = total <= settings.max_kept_bytes;
            let is_granted = has_room || bytes <= before || bytes <= settings.small_answer_bytes;
            if is_granted {
                state.kept_bytes = total;
            }
            (is_granted, total)
        });
        if is_granted {
            self.bytes = bytes;
        } else {
            log::warn!(target: "relay", bytes = bytes, total = total; "answers use up the memory; a large one is given up");
        }
        is_granted
    }
}

impl<E: Transport> Drop for Share<E> {
    fn drop(&mut self) {
        self.hub.with(|state| state.kept_bytes -= self.bytes);
    }
}
