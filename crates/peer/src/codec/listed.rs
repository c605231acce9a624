//! Lines of the platform's list as protocol buffers.

use member::event::{Listing, Role};

use super::{incarnation, state_in, state_out};

/// Encodes a line; one without a pool is an entry instance.
pub(super) fn listed_out(line: &Listing) -> wire::Listed {
    wire::Listed {
        name: line.incarnation.name.to_string(),
        start: line.incarnation.start.as_millis(),
        domain: line.domain.to_string(),
        address: line.address.to_string(),
        pool: match &line.role {
            Role::Backend(pool) => pool.to_string(),
            Role::Entry => String::new(),
        },
        state: state_out(line.state).into(),
    }
}

/// Decodes a line.
pub(super) fn listed_in(line: wire::Listed) -> Listing {
    let state = state_in(line.state());
    Listing {
        incarnation: incarnation(line.name, line.start),
        domain: line.domain.into(),
        address: line.address.into(),
        role: match line.pool.as_str() {
            "" => Role::Entry,
            pool => Role::Backend(pool.into()),
        },
        state,
    }
}
