//! Entries of the platform's list as protocol buffers.

use member::event::{Listing, Role};

use super::{decode_state, encode_state, to_incarnation};

/// Encodes a list entry. An empty pool stands for an entry instance.
pub(super) fn encode_listed(listing: &Listing) -> wire::Listed {
    wire::Listed {
        name: listing.incarnation.name.to_string(),
        start: listing.incarnation.start.as_millis(),
        domain: listing.domain.to_string(),
        address: listing.address.to_string(),
        pool: match &listing.role {
            Role::Backend(pool) => pool.to_string(),
            Role::Entry => String::new(),
        },
        state: encode_state(listing.state).into(),
    }
}

/// Decodes a list entry.
pub(super) fn decode_listed(listed: wire::Listed) -> Listing {
    let state = decode_state(listed.state());
    Listing {
        incarnation: to_incarnation(listed.name, listed.start),
        domain: listed.domain.into(),
        address: listed.address.into(),
        role: match listed.pool.as_str() {
            "" => Role::Entry,
            pool => Role::Backend(pool.into()),
        },
        state,
    }
}
