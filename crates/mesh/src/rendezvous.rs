//! Rendezvous hashing, by which all instances select the same one for a task.

use core::hash::Hasher;

use base::{Name, hash::Stable};

/// Returns the weight of a candidate for a task; the highest is selected.
///
/// # Examples
///
/// ```
/// use mesh::rendezvous::hash;
/// assert_eq!(hash(&"task".into(), &"a".into()), hash(&"task".into(), &"a".into()));
/// ```
pub fn hash(task: &Name, candidate: &Name) -> u64 {
    let mut hasher = Stable::new();
    hasher.write(task.as_str().as_bytes());
    hasher.write(&[0]);
    hasher.write(candidate.as_str().as_bytes());
    hasher.finish()
}
