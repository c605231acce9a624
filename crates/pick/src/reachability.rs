//! Tracks whether failure domains are reachable.

use core::time::Duration;

use base::{Name, Tick};

/// Consecutive failures, at any of its servers, after which a domain counts as unreachable.
const MAX_FAILURES: u32 = 2;

/// The first time for which a domain counts as unreachable; doubles with each further failure.
const INITIAL_BLOCK: Duration = Duration::from_millis(500);

/// The longest such time, so that requests return soon after the domain recovers.
const MAX_BLOCK: Duration = Duration::from_secs(2);

/// The reachability of failure domains, by the outcomes of calls to them.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    domains: Vec<Domain>,
}

#[derive(Clone, Debug)]
struct Domain {
    name: Name,
    failures: u32,
    blocked_until: Tick,
}

impl Reachability {
    /// Records that a server or an instance of a domain is unreachable, and returns whether the domain counts as
    /// unreachable from now on.
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
                    failures: 0,
                    blocked_until: now,
                };
                self.domains.insert(at, domain);
                at
            }
        };
        let state = &mut self.domains[at];
        // Calls that were sent before the domain was found unreachable carry no new information.
        if now < state.blocked_until {
            return false;
        }
        state.failures += 1;
        let Some(extra) = state.failures.checked_sub(MAX_FAILURES) else {
            return false;
        };
        state.blocked_until = now + (INITIAL_BLOCK * 2_u32.pow(extra.min(8))).min(MAX_BLOCK);
        extra == 0
    }

    /// Records that a server or an instance of a domain answered.
    pub fn record_success(&mut self, domain: &Name) {
        if let Ok(at) = self.find(domain) {
            self.domains.remove(at);
        }
    }

    /// Returns whether a domain counts as unreachable.
    pub fn is_unreachable(&self, now: Tick, domain: &Name) -> bool {
        self.find(domain)
            .is_ok_and(|at| now < self.domains[at].blocked_until)
    }

    fn find(&self, domain: &Name) -> Result<usize, usize> {
        self.domains
            .binary_search_by(|state| state.name.cmp(domain))
    }
}
