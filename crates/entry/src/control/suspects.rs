//! The actor that gives and asks for permits to run contents that may crash backend servers.

mod codec;

use core::time::Duration;
use std::sync::Arc;

use actix::{
    Actor, Addr, AsyncContext as _, Context, Handler, Message, MessageResult, ResponseFuture,
};
use base::{Digest, Incarnation};
use member::{
    Fact,
    fact::{self, Id, Subject},
    rendezvous,
};
use retry::{
    Arbiter,
    arbiter::{self, Decision, Trial},
    suspect::{Action, Step},
};
use tokio::sync::watch;
use wire::Grant;

use crate::{
    clock::Clock,
    control::{
        lines::Lines,
        roster::{Publish, Roster, Withdraw},
    },
    shared::Contents,
    view::Members,
};

/// How often old permits and contents are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// How often a report is sent until the owner takes it; a report taken twice counts once.
const REPORTS: usize = 3;

/// When to ask again where the owner of suspects gave no answer.
const UNANSWERED: Duration = Duration::from_millis(200);

/// Gives permits where this instance owns the suspects of its failure domain, and asks for them
/// where another one does.
pub struct Suspects {
    pub(crate) clock: Clock,
    pub(crate) contents: Arc<Contents>,
    pub(crate) desk: Arbiter,
    pub(crate) lines: Lines,
    pub(crate) members: watch::Receiver<Members>,
    pub(crate) own: Incarnation,
    pub(crate) roster: Addr<Roster>,
}

/// Asks for a permit to run a content at a server.
#[derive(Message)]
#[rtype(result = "Decision")]
pub(crate) struct Ask {
    pub(crate) digest: Digest,
    pub(crate) server: Id,
}

/// A peer's step of a trial.
#[derive(Message)]
#[rtype(result = "Grant")]
pub(crate) struct Permit(pub(crate) wire::Trial);

/// What a peer knows of a content.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Learn(pub(crate) fact::Suspect);

/// What the register asks for.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Act(pub(crate) Vec<Action>);

impl Suspects {
    /// Returns the connection to the peer that owns the suspects; none where this instance does.
    fn owner(&self) -> Option<std::rc::Rc<peer::Client>> {
        let members = self.members.borrow();
        let owner = rendezvous::owner(&members.names, arbiter::OWNER_KEY)?;
        if *owner == self.own {
            return None;
        }
        self.lines.to(members.address(owner)?)
    }

    fn trial(&self, digest: Digest, server: Id) -> Trial {
        let register = self.contents.register();
        let suspect = register.get(&digest).cloned();
        Trial {
            suspect: suspect.unwrap_or_else(|| fact::Suspect {
                digest,
                crashed: Vec::new(),
                cleared: 0,
            }),
            holder: Id::from_incarnation(&self.own),
            server,
        }
    }

    /// Returns when to ask again, where an attempt of this instance stands in the way.
    fn held_up(&self, ask: &Ask) -> Option<Duration> {
        let register = self.contents.register();
        let blocked = register.blocks(&ask.digest, ask.server);
        blocked.then(|| register.config().busy_retry_interval)
    }

    fn decide(&mut self, trial: &Trial) -> Decision {
        let now = self.clock.tick();
        let (actions, decision) = {
            let mut register = self.contents.register();
            let actions = register.merge(now, &trial.suspect);
            (actions, self.desk.decide(now, &mut register, trial))
        };
        self.act(actions);
        decision
    }

    fn report(&mut self, trial: &Trial, step: Step) {
        let now = self.clock.tick();
        let actions = {
            let mut register = self.contents.register();
            self.desk.report(now, &mut register, trial, step)
        };
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Forget(digest) => self.roster.do_send(Withdraw(Subject::Suspect(digest))),
                Action::Report {
                    digest,
                    server,
                    step,
                } => self.tell_owner(self.trial(digest, server), step),
                Action::Broadcast(suspect) => {
                    log::warn!(
                        "content {:?} crashed {} backend servers",
                        suspect.digest,
                        suspect.crashed.len()
                    );
                    self.roster.do_send(Publish(Fact::Suspect(suspect)));
                }
            }
        }
    }

    fn tell_owner(&mut self, trial: Trial, step: Step) {
        let Some(line) = self.owner() else {
            return self.report(&trial, step);
        };
        actix_web::rt::spawn(async move {
            for _ in 0..REPORTS {
                if line.permit(codec::trial(&trial, Some(step))).await.is_ok() {
                    return;
                }
            }
            log::warn!("the owner of suspects takes no reports");
        });
    }

    fn sweep(&mut self) {
        let now = self.clock.tick();
        let actions = {
            let mut register = self.contents.register();
            let mut actions = self.desk.sweep(now, &mut register);
            actions.extend(register.sweep(now));
            actions
        };
        self.act(actions);
    }
}

impl Actor for Suspects {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(SWEEP, |actor, _| actor.sweep());
    }
}

impl Handler<Ask> for Suspects {
    type Result = ResponseFuture<Decision>;

    fn handle(&mut self, message: Ask, _: &mut Context<Self>) -> Self::Result {
        // The owner may not have heard of attempts whose server has not answered yet.
        if let Some(wait) = self.held_up(&message) {
            return Box::pin(async move { Decision::Busy(wait) });
        }
        let trial = self.trial(message.digest, message.server);
        let Some(line) = self.owner() else {
            let decision = self.decide(&trial);
            return Box::pin(async move { decision });
        };
        Box::pin(async move {
            let granted = line.permit(codec::trial(&trial, None)).await;
            granted.map_or(Decision::Busy(UNANSWERED), |grant| codec::decision(&grant))
        })
    }
}

impl Handler<Permit> for Suspects {
    type Result = MessageResult<Permit>;

    fn handle(&mut self, message: Permit, _: &mut Context<Self>) -> Self::Result {
        let Some((trial, step)) = codec::read(&message.0) else {
            return MessageResult(codec::grant(Decision::Refused));
        };
        let decision = match step {
            None => self.decide(&trial),
            Some(step) => {
                self.report(&trial, step);
                Decision::Free
            }
        };
        MessageResult(codec::grant(decision))
    }
}

impl Handler<Learn> for Suspects {
    type Result = ();

    fn handle(&mut self, message: Learn, _: &mut Context<Self>) {
        let now = self.clock.tick();
        let actions = self.contents.register().merge(now, &message.0);
        self.act(actions);
    }
}

impl Handler<Act> for Suspects {
    type Result = ();

    fn handle(&mut self, message: Act, _: &mut Context<Self>) {
        self.act(message.0);
    }
}
