//! Conversion of the platform's list to the roster's listings.

use base::{Incarnation, Name, Stamp};
use member::{
    event::{Listing, Role},
    fact::State,
};
use platform::list::{self, Instance};

/// The pool under which the platform lists entry instances.
const ENTRY_POOL: &str = "entry";

/// Converts an instance of the platform's list.
pub(super) fn from_instance(instance: &Instance) -> Listing {
    Listing {
        incarnation: instance.incarnation.clone(),
        domain: instance.domain.clone(),
        address: Name::from(instance.address.to_string()),
        role: if instance.pool.as_str() == ENTRY_POOL {
            Role::Entry
        } else {
            Role::Backend(instance.pool.clone())
        },
        state: match instance.state {
            list::State::Leaving => State::Leaving,
            list::State::Live => State::Live,
        },
    }
}

/// Returns a placeholder for a peer of which only the address is known; the peer's own report replaces
/// it.
pub(super) fn from_seed(address: &Name) -> Listing {
    Listing {
        incarnation: Incarnation::new(format!("seed {address}"), Stamp::default()),
        domain: Name::default(),
        address: address.clone(),
        role: Role::Entry,
        state: State::Live,
    }
}
