//! Whether a failure domain can be reached at all.

use core::time::Duration;

use base::{Name, Tick};

/// Failures in a row, at any of its servers, after which a domain is taken to be cut off.
const MISSES: u32 = 2;

/// The first time for which a domain is taken to be cut off; doubles with each further failure.
const CUT: Duration = Duration::from_millis(500);

/// The longest such time, so that requests return soon after the cut ends.
const CUT_MOST: Duration = Duration::from_secs(2);

/// Failure domains, by how calls to them went.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    domains: Vec<Domain>,
}

#[derive(Clone, Debug)]
struct Domain {
    name: Name,
    misses: u32,
    cut_until: Tick,
}

impl Reachability {
    /// Takes note that a server or an instance of a domain can't be reached, and tells whether the domain is
    /// taken to be cut off since now.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Tick;
    /// use pick::Reachability;
    /// let (mut reachability, now, domain) = (Reachability::default(), Tick::from_millis(5), "a".into());
    /// assert!(!reachability.record_failure(now, &domain));
    /// assert!(reachability.record_failure(now, &domain));
    /// assert!(reachability.is_unreachable(now, &domain));
    /// reachability.record_success(&domain);
    /// assert!(!reachability.is_unreachable(now, &domain));
    /// ```
    pub fn record_failure(&mut self, now: Tick, domain: &Name) -> bool {
        let at = match self.find(domain) {
            Ok(at) => at,
            Err(at) => {
                let domain = Domain {
                    name: domain.clone(),
                    misses: 0,
                    cut_until: now,
                };
                self.domains.insert(at, domain);
                at
            }
        };
        let known = &mut self.domains[at];
        // Calls that were sent before the domain was found to be cut off say nothing more.
        if now < known.cut_until {
            return false;
        }
        known.misses += 1;
        let Some(more) = known.misses.checked_sub(MISSES) else {
            return false;
        };
        known.cut_until = now + (CUT * 2_u32.pow(more.min(8))).min(CUT_MOST);
        more == 0
    }

    /// Takes note that a server or an instance of a domain answered.
    pub fn record_success(&mut self, domain: &Name) {
        if let Ok(at) = self.find(domain) {
            self.domains.remove(at);
        }
    }

    /// Tells whether a domain is taken to be cut off.
    pub fn is_unreachable(&self, now: Tick, domain: &Name) -> bool {
        self.find(domain)
            .is_ok_and(|at| now < self.domains[at].cut_until)
    }

    fn find(&self, domain: &Name) -> Result<usize, usize> {
        self.domains.binary_search_by(|one| one.name.cmp(domain))
    }
}
