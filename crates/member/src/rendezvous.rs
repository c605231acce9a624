//! Rendezvous hashing: assigns roles to members without coordination.

use base::Incarnation;

/// Returns the member that holds the role named by a key.
///
/// A member that joins or leaves moves only the keys that it gains or loses. A restarted member
/// keeps its keys, since only its name counts. Two members with different views may both believe
/// that they hold a role, so every role must be safe with two holders.
///
/// # Examples
///
/// ```
/// use base::{Incarnation, Stamp};
/// let members = ["a", "b", "c"].map(|name| Incarnation::new(name, Stamp::default()));
/// let owner = member::rendezvous::owner(&members, b"partition/7").unwrap();
/// let fewer: Vec<_> = members.iter().filter(|one| *one != owner).cloned().collect();
/// assert_ne!(member::rendezvous::owner(&fewer, b"partition/7"), Some(owner));
/// assert_eq!(member::rendezvous::owner(&[], b"partition/7"), None);
/// ```
pub fn owner<'a>(members: &'a [Incarnation], key: &[u8]) -> Option<&'a Incarnation> {
    let key = hash(key);
    members
        .iter()
        .max_by_key(|member| (score(member, key), *member))
}

/// Returns the highest ranked members for a key, the owner first.
///
/// # Examples
///
/// ```
/// use base::{Incarnation, Stamp};
/// let members = ["a", "b", "c"].map(|name| Incarnation::new(name, Stamp::default()));
/// let candidates = member::rendezvous::candidates(&members, b"suspect", 2);
/// assert_eq!(candidates.len(), 2);
/// assert_eq!(Some(candidates[0]), member::rendezvous::owner(&members, b"suspect"));
/// ```
pub fn candidates<'a>(
    members: &'a [Incarnation],
    key: &[u8],
    count: usize,
) -> Vec<&'a Incarnation> {
    let key = hash(key);
    let mut ranked: Vec<_> = members
        .iter()
        .map(|member| (score(member, key), member))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, member)| member)
        .collect()
}

fn score(member: &Incarnation, key: u64) -> u64 {
    mix(hash(member.name.as_str().as_bytes()) ^ key.rotate_left(32))
}

/// The 64-bit FNV-1a hash.
fn hash(bytes: &[u8]) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let step = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(PRIME);
    mix(bytes.iter().fold(BASIS, step))
}

/// The finalizer of SplitMix64.
const fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
