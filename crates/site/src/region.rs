//! Regions of failure domains, and requests that must stay in some of them.

use base::Name;

/// The region of each failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    /// The region of the local instance, if it is known.
    own: Option<Name>,
    /// The failure domain of the local instance.
    own_domain: Name,
    /// Domains and their regions, sorted by domain.
    domains: Vec<(Name, Name)>,
}

impl Regions {
    /// Creates the regions as the local instance is told of them: its domain, its region and those of other domains.
    pub fn new(own_domain: Name, own: Option<Name>, mut domains: Vec<(Name, Name)>) -> Self {
        domains.sort();
        domains.dedup_by(|a, b| a.0 == b.0);
        if let Err(at) = domains.binary_search_by(|(domain, _)| domain.cmp(&own_domain))
            && let Some(own) = &own
        {
            domains.insert(at, (own_domain.clone(), own.clone()));
        }
        let find = domains.binary_search_by(|(domain, _)| domain.cmp(&own_domain));
        let listed = find.ok().map(|at| domains[at].1.clone());
        Self {
            own: own.or(listed),
            own_domain,
            domains,
        }
    }

    /// Returns the domains that a request may reach under lists of allowed regions, all of which apply, or `None` without a
    /// restriction. An empty list restricts nothing. Domains of unknown regions may not be reached.
    ///
    /// # Examples
    ///
    /// ```
    /// use site::region::Regions;
    /// let domains = vec![("a".into(), "north".into()), ("b".into(), "south".into())];
    /// let regions = Regions::new("a".into(), None, domains);
    /// assert!(regions.reach(&[&[], &[]]).is_none());
    /// let reach = regions.reach(&[&["south".into()], &[]]).unwrap();
    /// assert!(reach.allows_server(&"b".into()));
    /// assert!(!reach.allows_server(&"a".into()));
    /// assert!(reach.allows_instance(&"a".into()));
    /// ```
    pub fn reach(&self, lists: &[&[Name]]) -> Option<Reach> {
        if lists.iter().all(|list| list.is_empty()) {
            return None;
        }
        let is_allowed = |region: &Name| {
            let mut lists = lists.iter();
            lists.all(|list| list.is_empty() || list.contains(region))
        };
        let domains = self.domains.iter();
        let servers = domains.clone().filter(|(_, region)| is_allowed(region));
        let instances = domains.filter(|(domain, region)| {
            is_allowed(region) || self.own.as_ref() == Some(region) || *domain == self.own_domain
        });
        let names = |(domain, _): &(Name, Name)| domain.clone();
        Some(Reach {
            servers: servers.map(names).collect(),
            instances: instances.map(names).collect(),
        })
    }
}

/// The failure domains that a restricted request may reach.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// Those whose servers may get it, sorted.
    servers: Vec<Name>,
    /// Those whose instances may get its body and its pieces, sorted: also those of the region of the local instance, which
    /// the caller selected.
    instances: Vec<Name>,
}

impl Reach {
    /// Returns whether servers of a failure domain may get the request.
    pub fn allows_server(&self, domain: &Name) -> bool {
        self.servers.binary_search(domain).is_ok()
    }

    /// Returns whether the body and the pieces of the request may be passed to instances of a failure domain.
    pub fn allows_instance(&self, domain: &Name) -> bool {
        self.instances.binary_search(domain).is_ok()
    }
}
