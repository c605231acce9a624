//! A request as its caller sent it.

use core::time::Duration;
use std::rc::Rc;

use base::{Name, Tick};
use pick::engine::Prompt;
use site::{
    Route,
    route::{Kind, Rank},
};

/// The least time after which a caller leaves a silent stream; the platform states it and the two below.
const LEAVES_LEAST: Duration = Duration::from_secs(2);

/// Objectives after which a caller leaves a silent stream, where that is longer.
const LEAVES_OBJECTIVES: u32 = 4;

/// Pauses after which a caller leaves a silent stream, where that is longer.
const LEAVES_PAUSES: u32 = 8;

/// A request that is admitted, with what the edge needs to pass it on.
#[derive(Clone, Debug)]
pub struct Job<R> {
    /// The id that the caller gave this attempt.
    pub id: Name,
    /// The route that takes it.
    pub route: Rc<Route>,
    /// The version of the configuration that chose the route.
    pub config_version: u64,
    /// The client account that sent it.
    pub account: Option<Name>,
    /// Its rank; the least goes first.
    pub rank: Rank,
    /// When it arrived.
    pub arrived_at: Tick,
    /// When its caller stops waiting.
    pub deadline: Tick,
    /// A digest of account, path and body.
    pub digest: u64,
    /// The prompt, where it has one.
    pub prompt: Option<Prompt>,
    /// The number of pieces of each stage.
    pub pieces: Vec<u32>,
    /// What the first stages make their pieces from.
    pub piece_key: Name,
    /// The last event that the caller has, where it resumes a stream.
    pub last_event: Option<u64>,
    /// The request itself.
    pub request: Rc<R>,
}

impl<R> Job<R> {
    /// Returns when the request gets its final answer at the latest.
    pub fn final_deadline(&self) -> Tick {
        self.deadline.min(self.arrived_at + self.route.timeout)
    }

    /// Returns when the answer, or the next event of a stream, is of no use any more, for a caller who
    /// waits since some time; callers leave a stream that does not go on.
    pub fn event_deadline(&self, since: Tick) -> Tick {
        match self.route.kind {
            Kind::Idempotent | Kind::AtMostOnce => self.final_deadline(),
            Kind::Streaming => {
                let patience = (self.route.objective * LEAVES_OBJECTIVES)
                    .max(self.route.max_event_gap * LEAVES_PAUSES)
                    .max(LEAVES_LEAST);
                self.final_deadline().min(since + patience)
            }
        }
    }

    /// Returns the time left.
    pub fn time_left(&self, now: Tick) -> Duration {
        self.final_deadline() - now
    }

    /// Returns the time that reading the request's own part of the prompt takes at an engine.
    pub fn prompt_read_time(&self) -> Duration {
        let Some(prompt) = &self.prompt else {
            return Duration::ZERO;
        };
        let ms = prompt.own_tokens() as f64 / pick::configs::TOKENS_PER_MS;
        Duration::from_secs_f64(ms / 1e3)
    }

    /// Returns the request's size in tokens, those that it may generate counted tenfold as they take that much
    /// longer.
    pub fn weighted_tokens(&self) -> u64 {
        let prompt = self.prompt.as_ref();
        prompt.map_or(0, |prompt| {
            prompt.input_tokens + 10 * prompt.max_output_tokens
        })
    }

    /// Returns the urgency from 0 to 9 that its rank gives; 0 goes first.
    pub fn urgency(&self) -> u8 {
        let halves = self.rank.account.saturating_mul(2);
        halves.saturating_add(self.rank.route.min(1)).min(9)
    }
}
