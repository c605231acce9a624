//! Accounting of calls in flight.

use core::time::Duration;
use std::rc::Rc;

use base::Tick;
use pick::fleet::Completion;
use site::roster::Server;

use crate::{Hub, Transport};

/// Counts a call as in flight at its server until it ends or is dropped.
pub(crate) struct Guard<E: Transport> {
    hub: Rc<Hub<E>>,
    pub(crate) server: Rc<Server>,
    tokens: u64,
    /// The bytes of the request, which the server holds until the call has ended.
    bytes: usize,
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
        is_direct: bool,
    ) -> Self {
        let now = hub.transport.now();
        let has_turn = hub.with(|state| {
            state.fleet.record_start(now, &server.id, tokens);
            state.uploads.begin(&server.id, bytes);
            state.is_brittle(server)
        });
        Self {
            hub: hub.clone(),
            server: server.clone(),
            tokens,
            bytes,
            sent_at: now,
            is_silent: false,
            is_direct,
            has_turn,
            is_finished: false,
        }
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
        self.hub.with(|state| {
            state.uploads.end(&self.server.id, self.bytes);
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

impl<E: Transport> Drop for Guard<E> {
    fn drop(&mut self) {
        self.complete(if self.is_silent {
            Completion::Failed
        } else {
            Completion::Abandoned
        });
    }
}
