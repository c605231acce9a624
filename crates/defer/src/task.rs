//! Identifiers of tasks and the partitions that hold them.

use base::{Digest, Key, Name};
use serde::{Deserialize, Serialize};

/// The number of partitions; each is a stream of the log.
pub const PARTITIONS: u16 = 8;

/// Identifies one deferred request by its client account and idempotency key.
///
/// # Examples
///
/// ```
/// use base::{Key, Stamp};
/// use defer::task::{PARTITIONS, Task};
/// let key = Key::from_parts(Stamp::from_millis(5), 1);
/// let task = Task::new(&"authors".into(), &key);
/// assert!(task.partition() < PARTITIONS);
/// assert_ne!(task, Task::new(&"artists".into(), &key));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Task(Digest);

impl Task {
    /// Derives the task of an account's request under a key.
    pub fn new(account: &Name, key: &Key) -> Self {
        Self(Digest::of_parts(&[
            account.as_str().as_bytes(),
            key.as_bytes(),
        ]))
    }

    /// Returns the partition that holds the task.
    pub fn partition(&self) -> u16 {
        let index = self.0.prefix() % u64::from(PARTITIONS);
        u16::try_from(index).expect("a remainder of PARTITIONS fits into u16")
    }
}

/// Returns the name of a partition's stream.
pub fn stream_name(partition: u16) -> String {
    format!("work-{partition}")
}
