//! Connections to peers, each opened when it is first needed.

use core::cell::RefCell;
use std::rc::Rc;

use base::Name;
use peer::{Client, configs};

/// The connections of one instance to its peers; clones share them.
#[derive(Clone, Default)]
pub(crate) struct Connections(Rc<RefCell<Vec<Connection>>>);

/// An address and the connection to it.
type Connection = (Name, Rc<Client>);

impl Connections {
    /// Returns the connection to an address, or `None` if the text is not an address.
    pub(crate) fn get_or_open(&self, address: &Name) -> Option<Rc<Client>> {
        let mut connections = self.0.borrow_mut();
        let at = match connections.binary_search_by(|(known, _)| known.cmp(address)) {
            Ok(at) => at,
            Err(at) => {
                let client =
                    Client::open(address.as_str(), configs::peer::Config::default()).ok()?;
                connections.insert(at, (address.clone(), Rc::new(client)));
                at
            }
        };
        Some(Rc::clone(&connections[at].1))
    }

    /// Closes the connections to addresses that are not in a sorted list.
    pub(crate) fn retain(&self, addresses: &[Name]) {
        let mut connections = self.0.borrow_mut();
        connections.retain(|(address, _)| addresses.binary_search(address).is_ok());
    }
}
