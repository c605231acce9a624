//! The hash function for values that instances compare or must select alike.

use siphasher::sip::SipHasher13;

/// A hash function that is the same in all builds, unlike that of the standard library. Instances of several builds run side by
/// side.
///
/// # Examples
///
/// ```
/// use base::hash::Stable;
/// use core::hash::Hasher;
/// let mut hasher = Stable::new();
/// hasher.write(b"origins");
/// hasher.write(&[0]);
/// hasher.write(b"front-a-1");
/// assert_eq!(hasher.finish(), 11_846_573_021_570_351_253);
/// ```
pub type Stable = SipHasher13;
