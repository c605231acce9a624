//! The actor that tracks entry instances and backend servers.

pub(crate) mod gather;
mod listing;
mod publish;

use core::time::Duration;
use std::sync::Arc;

use actix::{
    Actor, ActorFutureExt as _, Addr, AsyncContext as _, Context, Handler, Message, WrapFuture as _,
};
use base::{Incarnation, Name};
use member::{
    Action, Event, Fact, Summary, configs,
    event::{self, Status},
    fact::{self, Instance, State, Subject},
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use screen::{Screen, View};
use tokio::sync::watch;

use crate::{
    clock::Clock,
    control::{
        config::{self, Config},
        connections::Connections,
        suspects::{MergeSuspect, Suspects},
    },
    metrics::Metrics,
    view::{self, Members, Servers},
};

/// How often the roster handles a tick and publishes.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// The instance list is read once in this many poll intervals, by the instance that reads it.
const POLLS_PER_LIST_READ: u32 = 4;

/// The timeout of a load request to a backend server.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Tracks instances and servers from the platform's list, the peers and the servers' own reports.
pub struct Roster {
    client: backend::Client,
    clock: Clock,
    config: Addr<Config>,
    core: member::Roster,
    connections: Connections,
    members: watch::Sender<Members>,
    metrics: Arc<Metrics>,
    own: Instance,
    platform: platform::Http,
    limit_peers: watch::Sender<view::Peers>,
    rng: ChaCha8Rng,
    screen: Screen,
    screen_view: watch::Sender<Option<Arc<View>>>,
    servers: watch::Sender<Servers>,
    suspects: Option<Addr<Suspects>>,
}

/// What the roster gets from its instance.
pub(crate) struct Environment {
    pub(crate) clock: Clock,
    pub(crate) config: Addr<Config>,
    pub(crate) connections: Connections,
    pub(crate) members: watch::Sender<Members>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) own: Instance,
    pub(crate) platform: platform::Http,
    pub(crate) poll: Duration,
    pub(crate) limit_peers: watch::Sender<view::Peers>,
    pub(crate) screen: watch::Sender<Option<Arc<View>>>,
    /// Peers to contact before the platform's list has been read.
    pub(crate) seeds: Vec<Name>,
    pub(crate) servers: watch::Sender<Servers>,
}

/// A summary from a peer; the reply is this instance's summary.
#[derive(Message)]
#[rtype(result = "Summary")]
pub(crate) struct Exchange(pub(crate) Summary);

/// The state that a backend server reported in an answer.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ServerStatus(pub(crate) Incarnation, pub(crate) State);

/// Publishes a fact to the peers.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Publish(pub(crate) Fact);

/// Withdraws a published fact.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Withdraw(pub(crate) Subject);

/// Sets the actor that receives the suspect content that peers publish.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SetSuspects(pub(crate) Addr<Suspects>);

/// Announces to the peers that this instance is leaving.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Leave;

impl Roster {
    pub(crate) fn new(environment: Environment) -> Self {
        let config = configs::roster::Roster {
            list_interval: environment.poll * POLLS_PER_LIST_READ,
            ..configs::roster::Roster::default()
        };
        let core = member::Roster::new(environment.own.clone(), config, environment.clock.tick());
        let mut roster = Self {
            client: backend::Client::open(backend::Config::default()),
            clock: environment.clock,
            config: environment.config,
            core,
            connections: environment.connections,
            members: environment.members,
            metrics: environment.metrics,
            own: environment.own,
            platform: environment.platform,
            limit_peers: environment.limit_peers,
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
            screen: Screen::new(screen::configs::screen::Screen::default()),
            screen_view: environment.screen,
            servers: environment.servers,
            suspects: None,
        };
        let seeds = environment.seeds.iter().map(listing::from_seed).collect();
        roster.handle(Event::ListReceived(seeds));
        roster
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut context = event::Context {
            now: self.clock.tick(),
            stamp: self.clock.stamp(),
            rng: &mut self.rng,
        };
        self.core.handle(&mut context, event)
    }

    /// Handles an event, executes the resulting actions, and returns the answer to an exchange.
    fn handle_and_execute(&mut self, event: Event, context: &mut Context<Self>) -> Option<Summary> {
        let mut answer = None;
        for action in self.handle(event) {
            match action {
                Action::Answer(summary) => answer = Some(summary),
                Action::Exchange { address, summary } => self.exchange(&address, summary, context),
                Action::Deliver { origin, fact } => self.deliver(origin, fact),
                Action::ReadList => self.read_list(context),
                Action::Poll { server, address } => self.poll(server, &address, context),
            }
        }
        answer
    }

    fn exchange(&self, address: &Name, summary: Summary, context: &mut Context<Self>) {
        let Some(connection) = self.connections.get_or_open(address) else {
            return;
        };
        let exchanging = async move { connection.exchange(&summary).await };
        let done = exchanging.into_actor(self).map(|answer, actor, context| {
            let result = if answer.is_ok() { "answered" } else { "failed" };
            let messages = &actor.metrics.peer_messages;
            messages.with_label_values(&["exchange", result]).inc();
            if let Ok(summary) = answer {
                actor.handle_and_execute(Event::ExchangeAnswered(summary), context);
            }
        });
        context.spawn(done);
    }

    fn deliver(&self, origin: fact::Id, fact: Fact) {
        match fact {
            Fact::Position(position) => {
                if let Some(address) = self.address_of(origin) {
                    self.config
                        .do_send(config::PeerPosition { address, position });
                }
            }
            Fact::Suspect(suspect) => {
                if let Some(suspects) = &self.suspects {
                    suspects.do_send(MergeSuspect(suspect));
                }
            }
            _ => {}
        }
    }

    fn address_of(&self, origin: fact::Id) -> Option<Name> {
        let view = self.core.view(self.clock.tick());
        let found = view
            .peers
            .iter()
            .find(|peer| fact::Id::from_incarnation(&peer.instance.incarnation) == origin);
        found.map(|peer| peer.instance.address.clone())
    }

    fn poll(&self, server: Incarnation, address: &Name, context: &mut Context<Self>) {
        let Ok(address) = address.as_str().parse() else {
            return;
        };
        let client = self.client.clone();
        let asking = async move { backend::load::fetch(&client, address, LOAD_TIMEOUT).await };
        let done = asking.into_actor(self).map(move |report, actor, context| {
            // A server without a load report may still be alive, so nothing is recorded.
            if let Some(report) = report {
                actor.handle_and_execute(Event::ServerReported(status(report)), context);
            } else {
                log::trace!("no load report from backend server {server}");
            }
        });
        context.spawn(done);
    }

    fn read_list(&self, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let reading = async move { platform.instances().await };
        let done = reading
            .into_actor(self)
            .map(|list, actor, context| match list {
                Ok(list) => {
                    let listings = list.iter().map(listing::from_instance).collect();
                    actor.handle_and_execute(Event::ListReceived(listings), context);
                    actor.publish();
                }
                Err(_) => {
                    let failures = &actor.metrics.platform_failures;
                    failures.with_label_values(&["list"]).inc();
                }
            });
        context.spawn(done);
    }
}

fn status(report: backend::load::Report) -> Status {
    Status {
        incarnation: report.incarnation,
        state: if report.leaving {
            State::Leaving
        } else {
            State::Live
        },
        load: Some(fact::Load {
            running: report.running,
            waiting: report.waiting,
            ..fact::Load::default()
        }),
    }
}

impl Actor for Roster {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.handle_and_execute(Event::Tick, context);
        context.run_interval(TICK_INTERVAL, |actor, context| {
            actor.handle_and_execute(Event::Tick, context);
            actor.publish();
        });
    }
}

impl Handler<Exchange> for Roster {
    type Result = actix::MessageResult<Exchange>;

    fn handle(&mut self, message: Exchange, context: &mut Context<Self>) -> Self::Result {
        let answer = self.handle_and_execute(Event::ExchangeRequested(message.0), context);
        actix::MessageResult(answer.unwrap_or_default())
    }
}

impl Handler<ServerStatus> for Roster {
    type Result = ();

    fn handle(&mut self, message: ServerStatus, context: &mut Context<Self>) {
        let ServerStatus(incarnation, state) = message;
        let status = Status {
            incarnation,
            state,
            load: None,
        };
        self.handle_and_execute(Event::ServerReported(status), context);
        if state == State::Leaving {
            self.publish();
        }
    }
}

impl Handler<Publish> for Roster {
    type Result = ();

    fn handle(&mut self, message: Publish, context: &mut Context<Self>) {
        self.handle_and_execute(Event::Publish(message.0), context);
    }
}

impl Handler<Withdraw> for Roster {
    type Result = ();

    fn handle(&mut self, message: Withdraw, context: &mut Context<Self>) {
        self.handle_and_execute(Event::Withdraw(message.0), context);
    }
}

impl Handler<SetSuspects> for Roster {
    type Result = ();

    fn handle(&mut self, message: SetSuspects, _: &mut Context<Self>) {
        self.suspects = Some(message.0);
    }
}

impl Handler<Leave> for Roster {
    type Result = ();

    fn handle(&mut self, _: Leave, context: &mut Context<Self>) {
        self.own.state = State::Leaving;
        self.handle_and_execute(Event::Stop, context);
    }
}
