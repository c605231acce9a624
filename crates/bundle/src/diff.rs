//! Differences between two bundles.

use core::{cmp::Ordering, fmt};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::document::{Document, Item};

/// One change, in a form for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// An item or field is new.
    Added {
        /// Its section, name and field.
        path: String,
        /// The new value.
        new: String,
    },
    /// The value of a field changed.
    Changed {
        /// Its section, name and field.
        path: String,
        /// The old value.
        old: String,
        /// The new value.
        new: String,
    },
    /// An item or field was removed.
    Removed {
        /// Its section, name and field.
        path: String,
        /// The old value.
        old: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { path, new } => write!(f, "+ {path}: {new}"),
            Self::Changed { path, old, new } => write!(f, "~ {path}: {old} -> {new}"),
            Self::Removed { path, old } => write!(f, "- {path}: {old}"),
        }
    }
}

/// Returns the changes from an old document to a new one, sorted by path within the head and the items.
///
/// # Examples
///
/// ```
/// use bundle::{Document, diff};
/// let old = Document::from_toml("name = 'tiny'\nversion = 1").unwrap();
/// let new = Document::from_toml("name = 'tiny'\nversion = 2").unwrap();
/// let changes = diff::between(Some(&old), &new);
/// assert_eq!(changes[0].to_string(), "~ version: 1 -> 2");
/// ```
pub fn between(old: Option<&Document>, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    let head = old.map_or("{}", |document| document.head.as_str());
    compare("", &parse(head), &parse(new.head.as_str()), &mut changes);
    let items = old.map_or(&[][..], |document| &document.items);
    for pair in pairs(items, &new.items) {
        match pair {
            (None, Some(item)) => changes.push(Change::Added {
                path: path_of(item),
                new: item.json.to_string(),
            }),
            (Some(item), None) => changes.push(Change::Removed {
                path: path_of(item),
                old: item.json.to_string(),
            }),
            (Some(old), Some(new)) if old.json != new.json => compare(
                &path_of(new),
                &parse(old.json.as_str()),
                &parse(new.json.as_str()),
                &mut changes,
            ),
            _ => {}
        }
    }
    changes
}

/// Pairs the items of two sorted lists by section and name.
pub(crate) fn pairs<'a>(
    mut old: &'a [Item],
    mut new: &'a [Item],
) -> Vec<(Option<&'a Item>, Option<&'a Item>)> {
    let mut pairs = Vec::new();
    loop {
        let order = match (old.first(), new.first()) {
            (None, None) => return pairs,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(a), Some(b)) => a.key().cmp(&b.key()),
        };
        let left = (order != Ordering::Greater).then(|| &old[0]);
        let right = (order != Ordering::Less).then(|| &new[0]);
        old = &old[usize::from(left.is_some())..];
        new = &new[usize::from(right.is_some())..];
        pairs.push((left, right));
    }
}

fn path_of(item: &Item) -> String {
    if item.name.as_str().is_empty() {
        item.section.to_string()
    } else {
        format!("{}.{}", item.section, item.name)
    }
}

fn parse(json: &str) -> Value {
    serde_json::from_str(json).unwrap_or_default()
}

fn compare(path: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    if let (Value::Object(old), Value::Object(new)) = (old, new) {
        return compare_fields(path, old, new, changes);
    }
    changes.push(Change::Changed {
        path: path.to_owned(),
        old: old.to_string(),
        new: new.to_string(),
    });
}

fn compare_fields(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    changes: &mut Vec<Change>,
) {
    let mut fields: Vec<&String> = old.keys().chain(new.keys()).collect();
    fields.sort();
    fields.dedup();
    for field in fields {
        let path = if path.is_empty() {
            field.clone()
        } else {
            format!("{path}.{field}")
        };
        match (old.get(field), new.get(field)) {
            (Some(old), Some(new)) => compare(&path, old, new, changes),
            (Some(old), None) => changes.push(Change::Removed {
                path,
                old: old.to_string(),
            }),
            (None, Some(new)) => changes.push(Change::Added {
                path,
                new: new.to_string(),
            }),
            (None, None) => {}
        }
    }
}
