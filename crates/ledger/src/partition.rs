//! The partitions of the ledger; each is a stream of the log.

use crate::slot::Slot;

/// The number of partitions.
pub const PARTITIONS: u16 = 32;

/// Returns the partition that holds the records of a slot.
///
/// # Examples
///
/// ```
/// use base::{Key, Stamp};
/// use ledger::{partition, slot::Slot};
/// let slot = Slot::new("adinkra", &Key::from_parts(Stamp::from_millis(5), 1), "deposit");
/// assert!(partition::for_slot(&slot) < partition::PARTITIONS);
/// assert_eq!(partition::stream_name(7), "ledger-07");
/// ```
pub fn for_slot(slot: &Slot) -> u16 {
    let index = slot.bits() % u128::from(PARTITIONS);
    u16::try_from(index).expect("a remainder of PARTITIONS fits into u16")
}

/// Returns the name of a partition's stream.
pub fn stream_name(partition: u16) -> String {
    format!("ledger-{partition:02}")
}
