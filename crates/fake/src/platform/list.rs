//! The instance list with its history, so that an earlier state can be served.

use core::time::Duration;
use std::time::Instant;

use platform::Instance;

/// The largest number of changes kept; older ones are merged into the oldest state.
const MAX_CHANGES: usize = 8_192;

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
    registered_at: Instant,
}

impl List {
    /// Registers an instance, changes it, or removes it.
    pub(super) fn update(&mut self, now: Instant, name: &str, instance: Option<Instance>) {
        self.changes.push(Change {
            at: now,
            name: name.to_owned(),
            instance,
        });
        if self.changes.len() > MAX_CHANGES {
            for change in self.changes.drain(..MAX_CHANGES / 2) {
                apply(&mut self.oldest, &change);
            }
        }
    }

    /// Returns the list as it was `lag` ago, without instances that stopped registering.
    pub(super) fn snapshot(&self, now: Instant, lag: Duration, expire: Duration) -> Vec<Instance> {
        if let Some(frozen) = &self.frozen {
            return frozen.clone();
        }
        let mut entries = self.oldest.clone();
        let is_visible = |change: &&Change| now.duration_since(change.at) >= lag;
        for change in self.changes.iter().take_while(is_visible) {
            apply(&mut entries, change);
        }
        entries
            .into_iter()
            .filter(|entry| {
                expire.is_zero() || now.duration_since(entry.registered_at) < expire + lag
            })
            .map(|entry| entry.instance)
            .collect()
    }

    /// Freezes the list as it is served now, or lets it follow changes again.
    pub(super) fn set_frozen(
        &mut self,
        now: Instant,
        frozen: bool,
        lag: Duration,
        expire: Duration,
    ) {
        match (frozen, self.frozen.is_some()) {
            (true, false) => self.frozen = Some(self.snapshot(now, lag, expire)),
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
                registered_at: change.at,
            };
        }
        (Ok(at), None) => {
            entries.remove(at);
        }
        (Err(at), Some(instance)) => entries.insert(
            at,
            Entry {
                instance: instance.clone(),
                registered_at: change.at,
            },
        ),
        (Err(_), None) => {}
    }
}
