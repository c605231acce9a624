//! The servers that one instance feeds.

use base::Name;
use site::roster::Server;

/// The servers of a pool that one instance feeds: those of a failure domain, or all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shard {
    /// The pool.
    pub pool: Name,
    /// The failure domain; none for all of them.
    pub domain: Option<Name>,
}

impl Shard {
    /// Returns all servers of a pool.
    ///
    /// # Examples
    ///
    /// ```
    /// use batch::Shard;
    /// let shard = Shard::whole(&"board".into());
    /// assert_eq!(shard.domain, None);
    /// ```
    pub fn whole(pool: &Name) -> Self {
        Self {
            pool: pool.clone(),
            domain: None,
        }
    }

    /// Tells whether a server of the pool belongs to it.
    pub fn contains(&self, server: &Server) -> bool {
        self.domain
            .as_ref()
            .is_none_or(|domain| *domain == server.domain)
    }
}
