//! The actor that grants and requests permits to run content that may crash backend servers.

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
        connections::Connections,
        roster::{Publish, Roster, Withdraw},
    },
    shared::Contents,
    view::Members,
};

/// How often expired permits and content are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of attempts to send a report to the owner; a report received twice counts once.
const MAX_REPORT_ATTEMPTS: usize = 3;

/// The wait before the next permit request if the owner of suspect content did not answer.
const UNANSWERED_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Grants permits if this instance owns the suspect content of its failure domain; otherwise requests
/// them from the owner.
pub struct Suspects {
    pub(crate) clock: Clock,
    pub(crate) contents: Arc<Contents>,
    pub(crate) arbiter: Arbiter,
    pub(crate) connections: Connections,
    pub(crate) members: watch::Receiver<Members>,
    pub(crate) own: Incarnation,
    pub(crate) roster: Addr<Roster>,
}

/// Requests a permit to run content at a server.
#[derive(Message)]
#[rtype(result = "Decision")]
pub(crate) struct RequestPermit {
    pub(crate) digest: Digest,
    pub(crate) server: Id,
}

/// A permit request or a step of a trial, from a peer.
#[derive(Message)]
#[rtype(result = "Grant")]
pub(crate) struct HandleTrial(pub(crate) wire::Trial);

/// Merges a peer's record of suspect content into the register.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct MergeSuspect(pub(crate) fact::Suspect);

/// Executes actions of the register.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Execute(pub(crate) Vec<Action>);

impl Suspects {
    /// Returns the connection to the peer that owns the suspect content, or `None` if this instance does.
    fn owner_connection(&self) -> Option<std::rc::Rc<peer::Client>> {
        let members = self.members.borrow();
        let owner = rendezvous::owner(&members.names, arbiter::OWNER_KEY)?;
        if *owner == self.own {
            return None;
        }
        self.connections.get_or_open(members.address(owner)?)
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

    /// Returns the wait before the next request if an attempt of this instance blocks the permit.
    fn blocked_wait(&self, request: &RequestPermit) -> Option<Duration> {
        let register = self.contents.register();
        let is_blocked = register.blocks(&request.digest, request.server);
        is_blocked.then(|| register.config().busy_retry_interval)
    }

    fn decide(&mut self, trial: &Trial) -> Decision {
        let now = self.clock.tick();
        let (actions, decision) = {
            let mut register = self.contents.register();
            let actions = register.merge(now, &trial.suspect);
            (actions, self.arbiter.decide(now, &mut register, trial))
        };
        self.execute(actions);
        decision
    }

    fn report(&mut self, trial: &Trial, step: Step) {
        let now = self.clock.tick();
        let actions = {
            let mut register = self.contents.register();
            self.arbiter.report(now, &mut register, trial, step)
        };
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Forget(digest) => self.roster.do_send(Withdraw(Subject::Suspect(digest))),
                Action::Report {
                    digest,
                    server,
                    step,
                } => self.report_to_owner(self.trial(digest, server), step),
                Action::Broadcast(suspect) => {
                    log::warn!(
                        "request content {:?} has crashed {} backend servers",
                        suspect.digest,
                        suspect.crashed.len()
                    );
                    self.roster.do_send(Publish(Fact::Suspect(suspect)));
                }
            }
        }
    }

    fn report_to_owner(&mut self, trial: Trial, step: Step) {
        let Some(connection) = self.owner_connection() else {
            return self.report(&trial, step);
        };
        actix_web::rt::spawn(async move {
            for _ in 0..MAX_REPORT_ATTEMPTS {
                if connection
                    .permit(codec::encode_trial(&trial, Some(step)))
                    .await
                    .is_ok()
                {
                    return;
                }
            }
            log::warn!(
                "no answer from the owner of suspect content after {MAX_REPORT_ATTEMPTS} attempts; dropping the report"
            );
        });
    }

    fn sweep(&mut self) {
        let now = self.clock.tick();
        let actions = {
            let mut register = self.contents.register();
            let mut actions = self.arbiter.sweep(now, &mut register);
            actions.extend(register.sweep(now));
            actions
        };
        self.execute(actions);
    }
}

impl Actor for Suspects {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(SWEEP_INTERVAL, |actor, _| actor.sweep());
    }
}

impl Handler<RequestPermit> for Suspects {
    type Result = ResponseFuture<Decision>;

    fn handle(&mut self, message: RequestPermit, _: &mut Context<Self>) -> Self::Result {
        // The owner may not know of attempts whose server has not answered yet.
        if let Some(wait) = self.blocked_wait(&message) {
            return Box::pin(async move { Decision::Busy(wait) });
        }
        let trial = self.trial(message.digest, message.server);
        let Some(connection) = self.owner_connection() else {
            let decision = self.decide(&trial);
            return Box::pin(async move { decision });
        };
        Box::pin(async move {
            let reply = connection.permit(codec::encode_trial(&trial, None)).await;
            reply.map_or(Decision::Busy(UNANSWERED_RETRY_INTERVAL), |grant| {
                codec::decode_decision(&grant)
            })
        })
    }
}

impl Handler<HandleTrial> for Suspects {
    type Result = MessageResult<HandleTrial>;

    fn handle(&mut self, message: HandleTrial, _: &mut Context<Self>) -> Self::Result {
        let Some((trial, step)) = codec::decode_trial(&message.0) else {
            return MessageResult(codec::encode_decision(Decision::Refused));
        };
        let decision = match step {
            None => self.decide(&trial),
            Some(step) => {
                self.report(&trial, step);
                Decision::Free
            }
        };
        MessageResult(codec::encode_decision(decision))
    }
}

impl Handler<MergeSuspect> for Suspects {
    type Result = ();

    fn handle(&mut self, message: MergeSuspect, _: &mut Context<Self>) {
        let now = self.clock.tick();
        let actions = self.contents.register().merge(now, &message.0);
        self.execute(actions);
    }
}

impl Handler<Execute> for Suspects {
    type Result = ();

    fn handle(&mut self, message: Execute, _: &mut Context<Self>) {
        self.execute(message.0);
    }
}
