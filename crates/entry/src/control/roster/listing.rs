//! Lines of the platform's list, as the roster takes them.

use base::{Incarnation, Name, Stamp};
use member::{
    event::{Listing, Role},
    fact::State,
};
use platform::list::{self, Instance};

/// The pool under which the platform lists the system's own instances.
const ENTRY: &str = "entry";

/// Turns a line of the platform's list into one of the roster's.
pub(super) fn of(instance: &Instance) -> Listing {
    Listing {
        incarnation: instance.incarnation.clone(),
        domain: instance.domain.clone(),
        address: Name::from(instance.address.to_string()),
        role: if instance.pool.as_str() == ENTRY {
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

/// Stands for a peer of which only the address is known; its own word replaces this.
pub(super) fn seed(address: &Name) -> Listing {
    Listing {
        incarnation: Incarnation::new(format!("seed {address}"), Stamp::default()),
        domain: Name::default(),
        address: address.clone(),
        role: Role::Entry,
        state: State::Live,
    }
}
