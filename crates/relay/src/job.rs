//! Admitted requests and their deadlines.

use core::{
    cell::{Cell, OnceCell},
    time::Duration,
};
use std::rc::Rc;

use base::{Name, Tick};
use mesh::Origin;
use pick::engine::Prompt;
use site::{
    Route,
    region::Reach,
    roster::Server,
    route::{Kind, Rank},
};
use tokio::sync::watch;

/// The shortest silence after which a caller leaves a stream. The platform states this value and the two below.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// The silence after which a caller leaves a stream, as a multiple of the route's objective, if that is longer.
const PATIENCE_OBJECTIVES: u32 = 4;

/// The silence after which a caller leaves a stream, as a multiple of the route's event gap, if that is longer.
const PATIENCE_EVENT_GAPS: u32 = 8;

/// How a request takes up a stream that an earlier attempt of its caller began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// The attempt that brought the first event, if the caller names it.
    pub first_attempt: Option<Name>,
}

/// What is known of the server that began a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Check {
    /// It stated that it is the listed run, or nothing.
    #[default]
    Done,
    /// It is being asked for its run.
    Pending,
    /// It stated that it is another run than the listed one.
    OtherRun,
}

/// An admitted request with the data that forwarding needs.
#[derive(Clone, Debug)]
pub struct Job<R> {
    /// The id that the caller assigned to this attempt.
    pub id: Name,
    /// The route that the request matches.
    pub route: Rc<Route>,
    /// The version of the configuration that selected the route.
    pub config_version: u64,
    /// The failure domains that the request may reach, if it must stay in some regions.
    pub reach: Option<Rc<Reach>>,
    /// The client account that sent it.
    pub account: Option<Name>,
    /// The rank; the lowest goes first.
    pub rank: Rank,
    /// When the request arrived.
    pub arrived_at: Tick,
    /// When the caller stops waiting.
    pub deadline: Tick,
    /// A digest of the account, the path and the body.
    pub digest: u64,
    /// The length of the body.
    pub body_bytes: usize,
    /// The prompt, if the request has one.
    pub prompt: Option<Prompt>,
    /// The number of pieces of each stage.
    pub pieces: Vec<u32>,
    /// The input key of the first stages' pieces.
    pub piece_key: Name,
    /// The id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// How it takes up a stream, if it does.
    pub resumption: Option<Resumption>,
    /// Where its stream began, once that is known.
    pub origin: OnceCell<Origin>,
    /// How long its caller has waited since the first attempt, as far as the deadline shows it.
    pub waited: Cell<Duration>,
    /// What is known of the server that began its stream.
    pub origin_check: watch::Sender<Check>,
    /// The request itself.
    pub request: Rc<R>,
}

/// Returns the silence after which callers leave a stream.
pub(crate) fn patience(route: &Route) -> Duration {
    (route.objective * PATIENCE_OBJECTIVES)
        .max(route.max_event_gap * PATIENCE_EVENT_GAPS)
        .max(MIN_PATIENCE)
}

impl<R> Job<R> {
    /// Returns the time by which the request needs its complete answer.
    pub fn final_deadline(&self) -> Tick {
        self.deadline.min(self.arrived_at + self.route.timeout)
    }

    /// Returns the time by which a caller that waits since `since` needs the answer or the next event of a stream;
    /// callers leave a stream that stalls.
    pub fn event_deadline(&self, since: Tick) -> Tick {
        match self.route.kind {
            Kind::Idempotent | Kind::AtMostOnce => self.final_deadline(),
            Kind::Streaming => self.final_deadline().min(since + patience(&self.route)),
        }
    }

    /// Returns whether the servers of a failure domain may get the request or its pieces.
    pub fn allows_server(&self, domain: &Name) -> bool {
        let reach = self.reach.as_ref();
        reach.is_none_or(|reach| reach.allows_server(domain))
    }

    /// Returns whether the body of the request may be passed to the instances of a failure domain.
    pub fn allows_instance(&self, domain: &Name) -> bool {
        let reach = self.reach.as_ref();
        reach.is_none_or(|reach| reach.allows_instance(domain))
    }

    /// Returns whether the request may be sent to a server: it is in an allowed region, and a stream goes on only at the
    /// software that began it.
    pub fn may_use(&self, server: &Server) -> bool {
        let origin = self.origin.get();
        let is_other_run = *self.origin_check.borrow() == Check::OtherRun;
        self.allows_server(&server.domain)
            && origin.is_none_or(|origin| !is_other_run && server.runs(&origin.software))
    }

    /// Returns whether only the listed run of a server may get the request. A server without a start time can't be told from
    /// a later run.
    pub(crate) fn is_bound(&self, server: &Server) -> bool {
        self.origin.get().is_some() && server.started_at_ms != 0
    }

    /// Returns the time left until the final deadline.
    pub fn time_left(&self, now: Tick) -> Duration {
        self.final_deadline() - now
    }

    /// Returns the time that an engine of the given rate takes to read the part of the prompt that no other request
    /// shares.
    pub fn prompt_read_time(&self, tokens_per_ms: f64) -> Duration {
        let Some(prompt) = &self.prompt else {
            return Duration::ZERO;
        };
        let ms = prompt.own_tokens() as f64 / tokens_per_ms;
        Duration::from_secs_f64(ms / 1e3)
    }

    /// Returns the ids of the prompt's parts that other requests may share.
    pub fn shared_parts(&self) -> Vec<u64> {
        let prompt = self.prompt.as_ref();
        prompt.map(Prompt::shared_ids).unwrap_or_default()
    }

    /// Returns a digest that also tells requests apart that differ only in the last part of their prompts.
    pub fn variant(&self) -> u64 {
        let prompt = self.prompt.as_ref();
        let last = prompt.and_then(|prompt| prompt.parts.last());
        self.digest ^ last.map_or(0, |part| part.id)
    }

    /// Returns the request's size in tokens. Output tokens count tenfold, as they take ten times as long as input
    /// tokens.
    pub fn weighted_tokens(&self) -> u64 {
        let prompt = self.prompt.as_ref();
        prompt.map_or(0, |prompt| {
            prompt.input_tokens + 10 * prompt.max_output_tokens
        })
    }

    /// Returns the urgency of the request's rank from 0 to 9; 0 goes first.
    pub fn urgency(&self) -> u8 {
        let doubled = self.rank.account.saturating_mul(2);
        doubled.saturating_add(self.rank.route.min(1)).min(9)
    }
}
