//! A stream of events on its way to the caller.

use core::time::Duration;
use std::rc::Rc;

use bytes::Bytes;
use pick::fleet::Completion;
use tokio::time;

use crate::{
    Failure, Hub, Job, Reply, Transport,
    events::Splitter,
    hub::end_of,
    serve::{self, Attempt, Trail},
};

/// The events of a stream; goes on at another server where the route allows it.
pub struct Body<E: Transport> {
    hub: Rc<Hub<E>>,
    job: Rc<Job<E::Request>>,
    attempt: Option<Attempt<E>>,
    trail: Trail,
    events: Splitter,
    is_over: bool,
}

impl<E: Transport> Body<E> {
    pub(crate) fn new(
        hub: &Rc<Hub<E>>,
        job: Rc<Job<E::Request>>,
        attempt: Attempt<E>,
        trail: Trail,
    ) -> Self {
        Self {
            hub: hub.clone(),
            events: Splitter::resume_after(job.last_event),
            job,
            attempt: Some(attempt),
            trail,
            is_over: false,
        }
    }

    /// Returns the next whole events, none at the end of the stream.
    ///
    /// # Errors
    ///
    /// - [`Failure::Broken`] if the stream can't go on; it must not look complete to the caller.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            if self.is_over {
                return Ok(None);
            }
            let left = self.job.time_left(self.hub.transport.now());
            let limit = left.min(self.patience());
            let Some(attempt) = &mut self.attempt else {
                return Err(Failure::Broken);
            };
            let failure = match time::timeout(limit, attempt.reply.chunk()).await {
                Ok(Ok(Some(bytes))) => {
                    let whole = self.events.push(&bytes);
                    self.begin();
                    if whole.is_empty() {
                        continue;
                    }
                    return Ok(Some(whole));
                }
                Ok(Ok(None)) => return Ok(self.finish()),
                Ok(Err(failure)) => failure,
                Err(_) => Failure::TimedOut,
            };
            self.resume(failure).await?;
        }
    }

    /// Returns the longest silence before another server is asked.
    fn patience(&self) -> Duration {
        const LEAST: Duration = Duration::from_millis(700);
        if !self.job.route.resumable {
            return Duration::MAX;
        }
        let silence = (self.job.route.max_event_gap * 4).max(LEAST);
        if self.trail.begun {
            silence
        } else {
            silence.max(self.job.route.objective)
        }
    }

    /// Takes note of the first bytes: the prompt was read, and the results of the stages with it.
    fn begin(&mut self) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if attempt.inputs.take().is_some() {
            attempt.lease.read();
            if let Some(prompt) = &self.job.prompt {
                let now = self.hub.transport.now();
                let server = &attempt.lease.server.id;
                self.hub
                    .with(|state| state.fleet.record_cached_prompt(now, server, prompt));
            }
        }
        if !self.trail.begun {
            let server = attempt.lease.server.id.clone();
            let (took, reading) = (attempt.lease.age(), self.job.prompt_read_time());
            self.hub.with(|state| {
                state
                    .estimator
                    .record_first_event(&self.job.route.name, took, reading)
            });
            serve::late(&self.hub, &self.job, &self.trail, &server);
        }
        self.trail.begun = true;
    }

    fn finish(&mut self) -> Option<Bytes> {
        self.is_over = true;
        if let Some(attempt) = self.attempt.take() {
            let head = attempt.lease.age();
            attempt.lease.end(Completion::Answered { latency: head });
            self.hub.with(|state| state.crashes.clear(self.job.digest));
        }
        let rest = self.events.take_remainder();
        (!rest.is_empty()).then_some(rest)
    }

    /// Sends the request to another server, to go on after the last whole event.
    async fn resume(&mut self, failure: Failure) -> Result<(), Failure> {
        let after = self.events.last_id();
        let now = self.hub.transport.now();
        if let Some(attempt) = self.attempt.take() {
            let server = attempt.lease.server.clone();
            log::info!(
                target: "relay", request:% = self.job.id, server:% = server.id, cause:% = failure,
                after = after.unwrap_or(0), age_ms = (now - self.job.arrived_at).as_millis();
                "stream broke off"
            );
            attempt.lease.end(end_of(failure));
            if failure == Failure::Broken {
                serve::crashed(&self.hub, &self.job, &server.id);
            }
        }
        self.events.discard_partial();
        self.trail
            .next(&self.hub, &self.job, failure)
            .map_err(|_code| Failure::Broken)?;
        let left = self.job.event_deadline(now) - now;
        let sent = serve::attempt(&self.hub, &self.job, &mut self.trail, after, now);
        match time::timeout(left, sent).await {
            Ok(Ok(attempt)) if attempt.reply.status() == 200 => {
                log::info!(
                    target: "relay", request:% = self.job.id,
                    server:% = attempt.lease.server.id, after = after.unwrap_or(0);
                    "stream goes on"
                );
                self.attempt = Some(attempt);
                Ok(())
            }
            _ => {
                log::warn!(
                    target: "relay", request:% = self.job.id, after = after.unwrap_or(0);
                    "stream was cut"
                );
                Err(Failure::Broken)
            }
        }
    }
}
