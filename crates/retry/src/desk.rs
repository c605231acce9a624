//! Permits to run suspect contents alone, given by the one instance of a failure domain that owns them.

use core::time::Duration;

use base::{Digest, Tick};
use member::fact::{Id, Suspect};

use crate::{
    Register,
    suspect::{Action, Step, Verdict},
};

/// The key under which the owner of all suspects is found among the members of a failure domain.
pub const KEY: &[u8] = b"suspects";

/// The permits that are out.
///
/// One instance gives all permits of its failure domain, so that no content runs twice at a time and no
/// two suspects share a backend server. While members disagree on the owner, two may give one.
#[derive(Clone, Debug, Default)]
pub struct Desk {
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

impl Desk {
    /// Decides on a trial.
    ///
    /// No permit is given right after a crash: other instances may still run the content and not have
    /// told so. What the asker knows is taken in by [`Register::learn`] before.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Digest, Tick};
    /// use member::fact::{Id, Suspect};
    /// use retry::{Desk, Register, configs, desk::{Decision, Trial}};
    /// let mut register = Register::open(configs::suspect::Suspect::default());
    /// let suspect = Suspect { digest: Digest::of(b"body"), crashed: vec![Id(9)], cleared: 0 };
    /// let trial = Trial { suspect, holder: Id(1), server: Id(5) };
    /// let mut desk = Desk::default();
    /// let (heard, later) = (Tick::default(), Tick::from_millis(500));
    /// register.learn(heard, &trial.suspect);
    /// assert!(matches!(desk.ask(heard, &mut register, &trial), Decision::Busy(_)));
    /// assert!(matches!(desk.ask(later, &mut register, &trial), Decision::Granted(_)));
    /// assert!(matches!(desk.ask(later, &mut register, &trial), Decision::Busy(_)));
    /// ```
    pub fn ask(&mut self, now: Tick, register: &mut Register, trial: &Trial) -> Decision {
        let digest = trial.suspect.digest;
        match register.verdict(&digest) {
            Verdict::Free => return Decision::Free,
            Verdict::Refused => return Decision::Refused,
            Verdict::Alone => {}
        }
        let blocks = |permit: &Permit| permit.digest == digest || permit.server == trial.server;
        let held = register.held(&digest);
        let runs = register.blocks(&digest, trial.server);
        if now < held || runs || self.permits.iter().any(blocks) {
            return Decision::Busy(register.config().busy.max(held - now));
        }
        let span = register.config().permit;
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
        register: &mut Register,
        trial: &Trial,
        step: Step,
    ) -> Vec<Action> {
        let digest = trial.suspect.digest;
        let mut actions = register.learn(now, &trial.suspect);
        let this = |permit: &Permit| {
            permit.digest == digest
                && permit.holder == trial.holder
                && permit.server == trial.server
        };
        self.permits.retain(|permit| !this(permit));
        match step {
            Step::Running => self
                .permits
                .push(Permit::new(trial, now + register.config().permit)),
            Step::Completed => actions.extend(register.clear(now, &digest)),
            Step::Crashed => actions.push(Action::Tell(register.crash(now, digest, trial.server))),
            Step::Other => {}
        }
        actions
    }

    /// Counts permits that were not reported in time as crashes: their holder may have died with the news.
    pub fn sweep(&mut self, now: Tick, register: &mut Register) -> Vec<Action> {
        let over = |permit: &&Permit| now >= permit.until;
        let lapsed: Vec<Permit> = self.permits.iter().filter(over).copied().collect();
        self.permits.retain(|permit| now < permit.until);
        let crash = |permit: Permit| register.crash(now, permit.digest, permit.server);
        lapsed.into_iter().map(crash).map(Action::Tell).collect()
    }
}
