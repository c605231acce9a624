//! The actor that follows which instances and backend servers are there.

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
        lines::Lines,
        suspects::{Learn, Suspects},
    },
    metrics::Metrics,
    view::{Members, Rivals, Servers},
};

/// How often the roster acts.
const TICK: Duration = Duration::from_millis(250);

/// Periods of the platform's poll between two reads of the list by its reader.
const LIST_POLLS: u32 = 4;

/// The time limit of asking a backend server for its load.
const POLL_LIMIT: Duration = Duration::from_millis(500);

/// Follows the platform's list, the peers and the backend servers' own words.
pub struct Roster {
    client: backend::Client,
    clock: Clock,
    config: Addr<Config>,
    core: member::Roster,
    lines: Lines,
    members: watch::Sender<Members>,
    metrics: Arc<Metrics>,
    own: Instance,
    platform: platform::Http,
    rivals: watch::Sender<Rivals>,
    rng: ChaCha8Rng,
    screen: Screen,
    screen_view: watch::Sender<Option<Arc<View>>>,
    servers: watch::Sender<Servers>,
    suspects: Option<Addr<Suspects>>,
}

/// What the roster needs of its instance.
pub(crate) struct World {
    pub(crate) clock: Clock,
    pub(crate) config: Addr<Config>,
    pub(crate) lines: Lines,
    pub(crate) members: watch::Sender<Members>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) own: Instance,
    pub(crate) platform: platform::Http,
    pub(crate) poll: Duration,
    pub(crate) rivals: watch::Sender<Rivals>,
    pub(crate) screen: watch::Sender<Option<Arc<View>>>,
    /// Peers to ask before the platform's list was read.
    pub(crate) seeds: Vec<Name>,
    pub(crate) servers: watch::Sender<Servers>,
}

/// A peer's summary, to be answered with the own one.
#[derive(Message)]
#[rtype(result = "Summary")]
pub(crate) struct Exchange(pub(crate) Summary);

/// What a backend server said of itself in an answer.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ServerStatus(pub(crate) Incarnation, pub(crate) State);

/// A fact to tell the peers.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Publish(pub(crate) Fact);

/// A fact that is not told any more.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Withdraw(pub(crate) Subject);

/// Names the actor that is told of contents that peers suspect.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Report(pub(crate) Addr<Suspects>);

/// This instance is leaving.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Leave;

impl Roster {
    pub(crate) fn new(world: World) -> Self {
        let config = configs::roster::Roster {
            list_interval: world.poll * LIST_POLLS,
            ..configs::roster::Roster::default()
        };
        let core = member::Roster::new(world.own.clone(), config, world.clock.tick());
        let mut roster = Self {
            client: backend::Client::open(backend::Config::default()),
            clock: world.clock,
            config: world.config,
            core,
            lines: world.lines,
            members: world.members,
            metrics: world.metrics,
            own: world.own,
            platform: world.platform,
            rivals: world.rivals,
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
            screen: Screen::new(screen::configs::screen::Screen::default()),
            screen_view: world.screen,
            servers: world.servers,
            suspects: None,
        };
        let seeds = world.seeds.iter().map(listing::seed).collect();
        roster.handle_event(Event::ListReceived(seeds));
        roster
    }

    fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut context = event::Context {
            now: self.clock.tick(),
            stamp: self.clock.stamp(),
            rng: &mut self.rng,
        };
        self.core.handle(&mut context, event)
    }

    /// Takes an event, carries out what follows, and gives the answer to an exchange.
    fn on(&mut self, event: Event, context: &mut Context<Self>) -> Option<Summary> {
        let mut answer = None;
        for action in self.handle_event(event) {
            match action {
                Action::Answer(summary) => answer = Some(summary),
                Action::Exchange { address, summary } => self.exchange(&address, summary, context),
                Action::Deliver { origin, fact } => self.learn(origin, fact),
                Action::ReadList => self.read_list(context),
                Action::Poll { server, address } => self.ask(server, &address, context),
            }
        }
        answer
    }

    fn exchange(&self, address: &Name, summary: Summary, context: &mut Context<Self>) {
        let Some(line) = self.lines.to(address) else {
            return;
        };
        let exchanging = async move { line.exchange(&summary).await };
        let done = exchanging.into_actor(self).map(|answer, actor, context| {
            let end = if answer.is_ok() { "answered" } else { "failed" };
            let messages = &actor.metrics.peer_messages;
            messages.with_label_values(&["exchange", end]).inc();
            if let Ok(summary) = answer {
                actor.on(Event::ExchangeAnswered(summary), context);
            }
        });
        context.spawn(done);
    }

    fn learn(&self, origin: fact::Id, fact: Fact) {
        match fact {
            Fact::Position(position) => {
                if let Some(address) = self.address_of(origin) {
                    self.config.do_send(config::Heard { address, position });
                }
            }
            Fact::Suspect(suspect) => {
                if let Some(suspects) = &self.suspects {
                    suspects.do_send(Learn(suspect));
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

    fn ask(&self, server: Incarnation, address: &Name, context: &mut Context<Self>) {
        let Ok(address) = address.as_str().parse() else {
            return;
        };
        let client = self.client.clone();
        let asking = async move { backend::load::fetch(&client, address, POLL_LIMIT).await };
        let done = asking.into_actor(self).map(move |report, actor, context| {
            // A server that does not report its load says nothing by that.
            if let Some(report) = report {
                actor.on(Event::ServerReported(status(report)), context);
            } else {
                log::trace!("{server} did not report its load");
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
                    let lines = list.iter().map(listing::of).collect();
                    actor.on(Event::ListReceived(lines), context);
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
        self.on(Event::Tick, context);
        context.run_interval(TICK, |actor, context| {
            actor.on(Event::Tick, context);
            actor.publish();
        });
    }
}

impl Handler<Exchange> for Roster {
    type Result = actix::MessageResult<Exchange>;

    fn handle(&mut self, message: Exchange, context: &mut Context<Self>) -> Self::Result {
        let answer = self.on(Event::ExchangeRequested(message.0), context);
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
        self.on(Event::ServerReported(status), context);
        if state == State::Leaving {
            self.publish();
        }
    }
}

impl Handler<Publish> for Roster {
    type Result = ();

    fn handle(&mut self, message: Publish, context: &mut Context<Self>) {
        self.on(Event::Publish(message.0), context);
    }
}

impl Handler<Withdraw> for Roster {
    type Result = ();

    fn handle(&mut self, message: Withdraw, context: &mut Context<Self>) {
        self.on(Event::Withdraw(message.0), context);
    }
}

impl Handler<Report> for Roster {
    type Result = ();

    fn handle(&mut self, message: Report, _: &mut Context<Self>) {
        self.suspects = Some(message.0);
    }
}

impl Handler<Leave> for Roster {
    type Result = ();

    fn handle(&mut self, _: Leave, context: &mut Context<Self>) {
        self.own.state = State::Leaving;
        self.on(Event::Stop, context);
    }
}
