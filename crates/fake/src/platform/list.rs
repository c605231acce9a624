//! The instance list with its history, so that an old state of it can be served.

use core::time::Duration;
use std::time::Instant;

use platform::Instance;

/// Changes kept; older ones are folded into the oldest state.
const HISTORY: usize = 8_192;

#[derive(Default)]
pub(super) struct List {
    changes: Vec<Change>,
    frozen: Option<Vec<Instance>>,
    oldest: Vec<Entry>,
}

struct Change {
    at: Instant,
    name: String,
    instance: Option<Instance>,
}

#[derive(Clone)]
struct Entry {
    instance: Instance,
    seen: Instant,
}

impl List {
    /// Registers an instance, changes it, or removes it.
    pub(super) fn put(&mut self, now: Instant, name: &str, instance: Option<Instance>) {
        self.changes.push(Change {
            at: now,
            name: name.to_owned(),
            instance,
        });
        if self.changes.len() > HISTORY {
            for change in self.changes.drain(..HISTORY / 2) {
                apply(&mut self.oldest, &change);
            }
        }
    }

    /// Returns the list as it was some time ago, without instances that went quiet.
    pub(super) fn view(&self, now: Instant, lag: Duration, expire: Duration) -> Vec<Instance> {
        if let Some(frozen) = &self.frozen {
            return frozen.clone();
        }
        let mut entries = self.oldest.clone();
        let known = |change: &&Change| now.duration_since(change.at) >= lag;
        for change in self.changes.iter().take_while(known) {
            apply(&mut entries, change);
        }
        entries
            .into_iter()
            .filter(|entry| expire.is_zero() || now.duration_since(entry.seen) < expire + lag)
            .map(|entry| entry.instance)
            .collect()
    }

    /// Holds the list as it is, or lets it follow again.
    pub(super) fn freeze(&mut self, now: Instant, frozen: bool, lag: Duration, expire: Duration) {
        match (frozen, self.frozen.is_some()) {
            (true, false) => self.frozen = Some(self.view(now, lag, expire)),
            (false, true) => self.frozen = None,
            _ => {}
        }
    }
}

fn apply(entries: &mut Vec<Entry>, change: &Change) {
    let found = entries
        .binary_search_by(|entry| entry.instance.incarnation.name.as_str().cmp(&change.name));
    match (found, &change.instance) {
        (Ok(at), Some(instance)) => {
            entries[at] = Entry {
                instance: instance.clone(),
                seen: change.at,
            };
        }
        (Ok(at), None) => {
            entries.remove(at);
        }
        (Err(at), Some(instance)) => entries.insert(
            at,
            Entry {
                instance: instance.clone(),
                seen: change.at,
            },
        ),
        (Err(_), None) => {}
    }
}
