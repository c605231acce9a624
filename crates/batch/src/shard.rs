//! Shards of a pool, each scheduled by one instance.

use base::Name;
use site::roster::Server;

/// The servers of a pool that one instance schedules: those of one failure domain, or all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shard {
    /// The pool.
    pub pool: Name,
    /// The failure domain; none for the whole pool.
    pub domain: Option<Name>,
}

impl Shard {
    /// Returns the shard that covers a whole pool.
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

    /// Returns whether a server of the pool belongs to the shard.
    pub fn contains(&self, server: &Server) -> bool {
        self.domain
            .as_ref()
            .is_none_or(|domain| *domain == server.domain)
    }
}
