//! Permits to run suspect contents alone, given by the one instance of a failure domain that owns them.

use core::time::Duration;

use base::{Digest, Tick};
use member::fact::{Id, Suspect};

use crate::{
    Registry,
    suspect::{Action, Step, Verdict},
};

/// The key under which the owner of all suspects is found among the members of a failure domain.
pub const OWNER_KEY: &[u8] = b"suspects";

/// The permits that are out.
///
/// One instance gives all permits of its failure domain, so that no content runs twice at a time and no
/// two suspects share a backend server. While members disagree on the owner, two may give one.
#[derive(Clone, Debug, Default)]
pub struct Arbiter {
    permits: Vec<Permit>,
}

#[derive(Clone, Copy, Debug)]
struct Permit {
    digest: Digest,
    holder: Id,
    server: Id,
    until: Tick,
}

/// What an instance asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// What the instance knows of the content.
    pub suspect: Suspect,
    /// The instance.
    pub holder: Id,
    /// The backend server that is to run the content.
    pub server: Id,
}

/// What the owner decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Another trial is in the way; ask again after this time.
    Busy(Duration),
    /// The content is no suspect any more.
    Free,
    /// The content may run at this server, and how that ended is to be reported within this time.
    Granted(Duration),
    /// The content is refused for good.
    Refused,
}

impl Permit {
    const fn new(trial: &Trial, until: Tick) -> Self {
        Self {
            digest: trial.suspect.digest,
            holder: trial.holder,
            server: trial.server,
            until,
        }
    }
}

impl Arbiter {
    /// Decides on a trial.
    ///
    /// No permit is given right after a crash: other instances may still run the content and not have
    /// told so. What the asker knows is taken in by [`Registry::merge`] before.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Digest, Tick};
    /// use member::fact::{Id, Suspect};
    /// use retry::{Arbiter, Registry, configs, arbiter::{Decision, Trial}};
    /// let mut registry = Registry::new(configs::suspect::Suspect::default());
    /// let suspect = Suspect { digest: Digest::of(b"body"), crashed: vec![Id(9)], cleared: 0 };
    /// let trial = Trial { suspect, holder: Id(1), server: Id(5) };
    /// let mut arbiter = Arbiter::default();
    /// let (heard, later) = (Tick::default(), Tick::from_millis(500));
    /// registry.merge(heard, &trial.suspect);
    /// assert!(matches!(arbiter.decide(heard, &mut registry, &trial), Decision::Busy(_)));
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
        let blocks = |permit: &Permit| permit.digest == digest || permit.server == trial.server;
        let cooldown_end = registry.cooldown_end(&digest);
        let runs = registry.blocks(&digest, trial.server);
        if now < cooldown_end || runs || self.permits.iter().any(blocks) {
            return Decision::Busy(
                registry
                    .config()
                    .busy_retry_interval
                    .max(cooldown_end - now),
            );
        }
        let span = registry.config().permit_lifetime;
        self.permits.push(Permit::new(trial, now + span));
        Decision::Granted(span)
    }

    /// Takes in a report of an attempt at a suspect content.
    ///
    /// One that runs although no permit was given, as it started before the content was suspected,
    /// counts as a permit until its end is reported.
    pub fn report(
        &mut self,
        now: Tick,
        registry: &mut Registry,
        trial: &Trial,
        step: Step,
    ) -> Vec<Action> {
        let digest = trial.suspect.digest;
        let mut actions = registry.merge(now, &trial.suspect);
        let this = |permit: &Permit| {
            permit.digest == digest
                && permit.holder == trial.holder
                && permit.server == trial.server
        };
        self.permits.retain(|permit| !this(permit));
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

    /// Counts permits that were not reported in time as crashes: their holder may have died with the news.
    pub fn sweep(&mut self, now: Tick, registry: &mut Registry) -> Vec<Action> {
        let over = |permit: &&Permit| now >= permit.until;
        let lapsed: Vec<Permit> = self.permits.iter().filter(over).copied().collect();
        self.permits.retain(|permit| now < permit.until);
        let crash = |permit: Permit| registry.record_crash(now, permit.digest, permit.server);
        lapsed
            .into_iter()
            .map(crash)
            .map(Action::Broadcast)
            .collect()
    }
}
