//! Permits to run suspect contents alone, granted by the instance of a failure domain that owns all suspects.

use core::time::Duration;

use base::{Digest, Tick};
use member::fact::{Id, Suspect};

use crate::{
    Registry,
    suspect::{Action, Step, Verdict},
};

/// The key that selects the owner of all suspects among the members of a failure domain.
pub const OWNER_KEY: &[u8] = b"suspects";

/// Grants permits and tracks those in use.
///
/// One instance grants all permits of its failure domain, so that no suspect content runs twice at a time and no
/// two suspects share a backend server. While members disagree on the owner, two instances may each grant one.
#[derive(Clone, Debug, Default)]
pub struct Arbiter {
    permits: Vec<Permit>,
}

#[derive(Clone, Copy, Debug)]
struct Permit {
    digest: Digest,
    holder: Id,
    server: Id,
    expires_at: Tick,
}

/// A request of an instance to run a suspect content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// What the instance knows about the content.
    pub suspect: Suspect,
    /// The requesting instance.
    pub holder: Id,
    /// The backend server to run the content on.
    pub server: Id,
}

/// The decision of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Another trial or a recent crash blocks this one; ask again after this time.
    Busy(Duration),
    /// The content is no longer suspect.
    Free,
    /// The content may run on this server, and the outcome must be reported within this time.
    Granted(Duration),
    /// The content is refused permanently.
    Refused,
}

impl Permit {
    const fn new(trial: &Trial, expires_at: Tick) -> Self {
        Self {
            digest: trial.suspect.digest,
            holder: trial.holder,
            server: trial.server,
            expires_at,
        }
    }
}

impl Arbiter {
    /// Decides whether a trial may run.
    ///
    /// No permit is granted right after a crash, since other instances may still run the content without having
    /// reported it. The caller passes the requester's knowledge to [`Registry::merge`] before.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Digest, Tick};
    /// use member::fact::{Id, Suspect};
    /// use retry::{Arbiter, Registry, arbiter::{Decision, Trial}, configs};
    /// let mut registry = Registry::new(configs::suspect::Suspect::default());
    /// let suspect = Suspect { digest: Digest::of(b"body"), crashed: vec![Id(9)], cleared: 0 };
    /// let trial = Trial { suspect, holder: Id(1), server: Id(5) };
    /// let mut arbiter = Arbiter::default();
    /// let (received, later) = (Tick::default(), Tick::from_millis(500));
    /// registry.merge(received, &trial.suspect);
    /// assert!(matches!(arbiter.decide(received, &mut registry, &trial), Decision::Busy(_)));
    /// assert!(matches!(arbiter.decide(later, &mut registry, &trial), Decision::Granted(_)));
    /// assert!(matches!(arbiter.decide(later, &mut registry, &trial), Decision::Busy(_)));
    /// ```
    pub fn decide(&mut self, now: Tick, registry: &mut Registry, trial: &Trial) -> Decision {
        let digest = trial.suspect.digest;
        match registry.verdict(&digest) {
            Verdict::Allowed => return Decision::Free,
            Verdict::Refused => return Decision::Refused,
            Verdict::PermitOnly => {}
        }
        let is_blocking =
            |permit: &Permit| permit.digest == digest || permit.server == trial.server;
        let cooldown_end = registry.cooldown_end(&digest);
        let is_running = registry.blocks(&digest, trial.server);
        if now < cooldown_end || is_running || self.permits.iter().any(is_blocking) {
            return Decision::Busy(
                registry
                    .config()
                    .busy_retry_interval
                    .max(cooldown_end - now),
            );
        }
        let lifetime = registry.config().permit_lifetime;
        self.permits.push(Permit::new(trial, now + lifetime));
        Decision::Granted(lifetime)
    }

    /// Records a report on an attempt to run a suspect content.
    ///
    /// An attempt that runs without a permit, because it started before the content became suspect, is treated
    /// as holding one until its end is reported.
    pub fn report(
        &mut self,
        now: Tick,
        registry: &mut Registry,
        trial: &Trial,
        step: Step,
    ) -> Vec<Action> {
        let digest = trial.suspect.digest;
        let mut actions = registry.merge(now, &trial.suspect);
        let is_same_trial = |permit: &Permit| {
            permit.digest == digest
                && permit.holder == trial.holder
                && permit.server == trial.server
        };
        self.permits.retain(|permit| !is_same_trial(permit));
        match step {
            Step::Running => self
                .permits
                .push(Permit::new(trial, now + registry.config().permit_lifetime)),
            Step::Completed => actions.extend(registry.clear(now, &digest)),
            Step::Crashed => actions.push(Action::Broadcast(registry.record_crash(
                now,
                digest,
                trial.server,
            ))),
            Step::Other => {}
        }
        actions
    }

    /// Counts permits without a report in time as crashes, since their holder may have died before reporting.
    pub fn sweep(&mut self, now: Tick, registry: &mut Registry) -> Vec<Action> {
        let is_expired = |permit: &&Permit| now >= permit.expires_at;
        let expired: Vec<Permit> = self.permits.iter().filter(is_expired).copied().collect();
        self.permits.retain(|permit| now < permit.expires_at);
        let crash = |permit: Permit| registry.record_crash(now, permit.digest, permit.server);
        expired
            .into_iter()
            .map(crash)
            .map(Action::Broadcast)
            .collect()
    }
}
