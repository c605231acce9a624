//! Accounting of calls in flight.

use core::time::Duration;
use std::rc::Rc;

use base::Tick;
use pick::{fleet::Completion, speed::Reading};
use site::{pool::Work, roster::Server};

use crate::{Hub, Transport, hub::State};

/// Counts a call as in flight at its server until it ends or is dropped.
pub(crate) struct Guard<E: Transport> {
    hub: Rc<Hub<E>>,
    pub(crate) server: Rc<Server>,
    tokens: u64,
    /// The bytes of the request, which the server holds until the call has ended.
    bytes: usize,
    /// The prompt that the server is to read, if the end of that can be seen: this instance gets the first event.
    reading: Option<Reading>,
    sent_at: Tick,
    /// Whether the server has been silent for long, which counts as a failure if the call is dropped.
    pub(crate) is_silent: bool,
    /// Whether this instance makes the call itself.
    pub(crate) is_direct: bool,
    /// Whether the call took a turn that lasts until it has ended.
    has_turn: bool,
    is_finished: bool,
}

impl<E: Transport> Guard<E> {
    pub(crate) fn start(
        hub: &Rc<Hub<E>>,
        server: &Rc<Server>,
        tokens: u64,
        bytes: usize,
        is_stream: bool,
        is_direct: bool,
    ) -> Self {
        let now = hub.transport.now();
        let (reading, has_turn) = hub.with(|state| {
            let is_visible = is_stream && is_direct && tokens > 0;
            let reading = is_visible.then(|| state.fleet.record_prompt_sent(now, server, tokens));
            state.fleet.record_start(now, &server.id, tokens);
            state.uploads.begin(&server.id, bytes);
            (reading, state.is_brittle(server))
        });
        Self {
            hub: hub.clone(),
            server: server.clone(),
            tokens,
            bytes,
            reading,
            sent_at: now,
            is_silent: false,
            is_direct,
            has_turn,
            is_finished: false,
        }
    }

    /// Records the first event, which shows how fast the server reads.
    pub(crate) fn record_first_event(&mut self) {
        let now = self.hub.transport.now();
        let Some(reading) = self.reading.take() else {
            return;
        };
        self.hub.with(|state| {
            if state.fleet.record_first_event(now, &self.server, reading) {
                self.log_speed(now, state);
            }
        });
    }

    /// Records the mean time between some events of a stream.
    pub(crate) fn record_gap(&self, gap: Duration) {
        let now = self.hub.transport.now();
        self.hub
            .with(|state| state.fleet.speeds.record_gap(now, &self.server, gap));
    }

    /// Logs the speed of the server, which differs by a tenth from what other instances know.
    fn log_speed(&self, now: Tick, state: &State) {
        let speeds = &state.fleet.speeds;
        let usual = speeds.usual(&self.server.pool, pick::configs::TOKENS_PER_MS);
        log::info!(
            target: "servers", server:% = self.server.id, pool:% = self.server.pool,
            reading_ratio = speeds.reading(now, &self.server.id),
            writing_ratio = speeds.writing(now, &self.server.id),
            pool_tokens_per_ms = usual.tokens_per_ms, age_ms = self.age().as_millis();
            "speed of a server changed"
        );
    }

    /// Records that the server has read the prompt.
    pub(crate) fn record_prompt_read(&mut self) {
        let now = self.hub.transport.now();
        let tokens = core::mem::take(&mut self.tokens);
        self.hub
            .with(|state| state.fleet.record_prompt_read(now, &self.server.id, tokens));
    }

    /// Returns when the call was sent.
    pub(crate) const fn sent_at(&self) -> Tick {
        self.sent_at
    }

    /// Returns the time since the call was sent.
    pub(crate) fn age(&self) -> Duration {
        self.hub.transport.now() - self.sent_at
    }

    pub(crate) fn finish(mut self, completion: Completion) {
        self.complete(completion);
    }

    pub(crate) fn complete(&mut self, completion: Completion) {
        if self.is_finished {
            return;
        }
        self.record_prompt_read();
        self.is_finished = true;
        if self.has_turn {
            self.hub
                .end_turn(&self.server, completion == Completion::Full);
        }
        let now = self.hub.transport.now();
        let reading = self.reading.take();
        self.hub.with(|state| {
            state.uploads.end(&self.server.id, self.bytes);
            if let Some(reading) = reading {
                state.fleet.speeds.forget_reading(&self.server.id, reading);
            }
            if let Completion::Answered { latency } = completion
                && self.is_direct
                && state.is_plain(&self.server)
                && state
                    .fleet
                    .speeds
                    .record_latency(now, &self.server, latency)
            {
                self.log_speed(now, state);
            }
            let completion = match completion {
                // A cut of this instance says nothing about its servers.
                Completion::Failed | Completion::Unreachable
                    if self.is_direct && state.links.is_cut_off() =>
                {
                    Completion::Abandoned
                }
                completion => completion,
            };
            state
                .fleet
                .record_completion(now, &self.server.id, completion)
        });
    }
}

impl State {
    /// Returns whether a server answers requests, and neither reads prompts nor runs pieces.
    fn is_plain(&self, server: &Server) -> bool {
        let pool = self
            .config
            .as_ref()
            .and_then(|config| config.pool(&server.pool));
        pool.is_some_and(|pool| pool.work == Work::Plain)
    }
}

impl<E: Transport> Drop for Guard<E> {
    fn drop(&mut self) {
        self.complete(if self.is_silent {
            Completion::Failed
        } else {
            Completion::Abandoned
        });
    }
}
