//! A call under way at a server.

use core::time::Duration;
use std::rc::Rc;

use base::Tick;
use pick::fleet::Completion;
use site::roster::Server;

use crate::{Hub, Transport};

/// A call under way, counted at its server until it ends.
pub(crate) struct Lease<E: Transport> {
    hub: Rc<Hub<E>>,
    pub(crate) server: Rc<Server>,
    tokens: u64,
    sent: Tick,
    is_over: bool,
}

impl<E: Transport> Lease<E> {
    pub(crate) fn begin(hub: &Rc<Hub<E>>, server: &Rc<Server>, tokens: u64) -> Self {
        let now = hub.transport.now();
        hub.with(|state| state.fleet.record_start(now, &server.id, tokens));
        Self {
            hub: hub.clone(),
            server: server.clone(),
            tokens,
            sent: now,
            is_over: false,
        }
    }

    /// Takes note that the server has read the prompt.
    pub(crate) fn read(&mut self) {
        let now = self.hub.transport.now();
        let tokens = core::mem::take(&mut self.tokens);
        self.hub
            .with(|state| state.fleet.record_prompt_read(now, &self.server.id, tokens));
    }

    /// Returns the time since the call was sent.
    pub(crate) fn age(&self) -> Duration {
        self.hub.transport.now() - self.sent
    }

    pub(crate) fn end(mut self, end: Completion) {
        self.finish(end);
    }

    fn finish(&mut self, end: Completion) {
        self.read();
        self.is_over = true;
        let now = self.hub.transport.now();
        self.hub
            .with(|state| state.fleet.record_completion(now, &self.server.id, end));
    }
}

impl<E: Transport> Drop for Lease<E> {
    fn drop(&mut self) {
        if !self.is_over {
            self.finish(Completion::Abandoned);
        }
    }
}
