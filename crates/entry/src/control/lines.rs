//! Connections to peers, each opened when it is first needed.

use core::cell::RefCell;
use std::rc::Rc;

use base::Name;
use peer::{Client, configs};

/// The connections of one instance to its peers; clones share them.
#[derive(Clone, Default)]
pub(crate) struct Lines(Rc<RefCell<Vec<Line>>>);

/// An address and the connection to it.
type Line = (Name, Rc<Client>);

impl Lines {
    /// Returns the connection to an address; nothing if the text is no address.
    pub(crate) fn to(&self, address: &Name) -> Option<Rc<Client>> {
        let mut lines = self.0.borrow_mut();
        let at = match lines.binary_search_by(|(known, _)| known.cmp(address)) {
            Ok(at) => at,
            Err(at) => {
                let client =
                    Client::open(address.as_str(), configs::peer::Config::default()).ok()?;
                lines.insert(at, (address.clone(), Rc::new(client)));
                at
            }
        };
        Some(Rc::clone(&lines[at].1))
    }

    /// Closes the connections to addresses that are not in a sorted list.
    pub(crate) fn retain(&self, addresses: &[Name]) {
        let mut lines = self.0.borrow_mut();
        lines.retain(|(address, _)| addresses.binary_search(address).is_ok());
    }
}
