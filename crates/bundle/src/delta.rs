//! The delta from one bundle to the next, for bundles that are too large to send whole.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::{
    diff,
    document::{Document, Item},
};

/// The changes from a base to the next bundle.
///
/// # Examples
///
/// ```
/// use bundle::{Document, delta::Delta};
/// let base = Document::from_toml("name = 'tiny'\nversion = 1").unwrap();
/// let next = Document::from_toml("name = 'tiny'\nversion = 2").unwrap();
/// let delta = Delta::between(&base, &next);
/// assert_eq!(delta.apply(&base).digest(), next.digest());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The new head.
    pub head: Name,
    /// New and changed items, sorted by section and name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub set: Vec<Item>,
    /// The keys of removed items, sorted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<Key>,
}

/// The key of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The section.
    pub section: Name,
    /// The name within the section.
    pub name: Name,
}

impl Delta {
    /// Returns the changes from a base to the next bundle.
    pub fn between(base: &Document, next: &Document) -> Self {
        let mut delta = Self {
            head: next.head.clone(),
            set: Vec::new(),
            gone: Vec::new(),
        };
        for pair in diff::pairs(&base.items, &next.items) {
            match pair {
                (Some(old), Some(new)) if old.json == new.json => {}
                (_, Some(new)) => delta.set.push(new.clone()),
                (Some(old), None) => delta.gone.push(Key {
                    section: old.section.clone(),
                    name: old.name.clone(),
                }),
                (None, None) => {}
            }
        }
        delta
    }

    /// Returns the next bundle.
    ///
    /// The caller must compare its digest, since the delta does not name its base.
    pub fn apply(&self, base: &Document) -> Document {
        let is_removed = |item: &Item| {
            self.gone
                .iter()
                .any(|key| (key.section.as_str(), key.name.as_str()) == item.key())
        };
        let mut items = Vec::with_capacity(base.items.len() + self.set.len());
        for pair in diff::pairs(&base.items, &self.set) {
            match pair {
                (_, Some(new)) => items.push(new.clone()),
                (Some(old), None) if !is_removed(old) => items.push(old.clone()),
                _ => {}
            }
        }
        Document {
            head: self.head.clone(),
            items,
        }
    }
}
