//! Event streams that resume on another server after a failure.

use core::time::Duration;
use std::rc::Rc;

use base::{Code, Tick};
use bytes::Bytes;
use pick::fleet::Completion;
use tokio::time;

use crate::{
    Failure, Hub, Job, Reply, Transport,
    events::Splitter,
    hub::completion_of,
    serve::{self, Attempt, Attempts},
};

/// The event stream of an answer, which resumes on another server if the route allows it.
pub struct Body<E: Transport> {
    hub: Rc<Hub<E>>,
    job: Rc<Job<E::Request>>,
    attempt: Option<Attempt<E>>,
    attempts: Attempts,
    events: Splitter,
    /// When bytes of the answer last arrived.
    last_bytes_at: Tick,
    is_finished: bool,
}

impl<E: Transport> Body<E> {
    pub(crate) fn new(
        hub: &Rc<Hub<E>>,
        job: Rc<Job<E::Request>>,
        attempt: Attempt<E>,
        attempts: Attempts,
    ) -> Self {
        Self {
            hub: hub.clone(),
            last_bytes_at: hub.transport.now(),
            events: Splitter::resume_after(job.last_event),
            job,
            attempt: Some(attempt),
            attempts,
            is_finished: false,
        }
    }

    /// Returns the next complete events, or none at the end of the stream.
    ///
    /// # Errors
    ///
    /// - [`Failure::Broken`] if the stream can't continue; it must not look complete to the caller.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            if self.is_finished {
                return Ok(None);
            }
            let time_left = self.job.time_left(self.hub.transport.now());
            let timeout = time_left.min(self.silence_timeout());
            let Some(attempt) = &mut self.attempt else {
                return Err(Failure::Broken);
            };
            let failure = match time::timeout(timeout, attempt.reply.chunk()).await {
                Ok(Ok(Some(bytes))) => {
                    self.last_bytes_at = self.hub.transport.now();
                    let events = self.events.push(&bytes);
                    self.record_first_bytes();
                    if events.is_empty() {
                        continue;
                    }
                    return Ok(Some(events));
                }
                Ok(Ok(None)) => return Ok(self.complete()),
                Ok(Err(failure)) => failure,
                Err(_) => Failure::TimedOut,
            };
            self.resume(failure).await?;
        }
    }

    /// Returns the longest silence before the stream resumes on another server.
    fn silence_timeout(&self) -> Duration {
        const MIN_TIMEOUT: Duration = Duration::from_millis(700);
        if !self.job.route.resumable {
            return Duration::MAX;
        }
        let timeout = (self.job.route.max_event_gap * 4).max(MIN_TIMEOUT);
        if self.attempts.has_started {
            timeout
        } else {
            timeout.max(self.job.route.objective)
        }
    }

    /// Records the first bytes of an answer, which show that the server has read the prompt and the stage results.
    fn record_first_bytes(&mut self) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        // Dropping the inputs releases the stage results.
        if attempt.inputs.take().is_some() {
            attempt.guard.record_prompt_read();
            if let Some(prompt) = &self.job.prompt {
                let now = self.hub.transport.now();
                let server = &attempt.guard.server.id;
                self.hub
                    .with(|state| state.fleet.record_cached_prompt(now, server, prompt));
            }
        }
        if !self.attempts.has_started {
            let server = attempt.guard.server.id.clone();
            let (elapsed, prompt_read_time) = (attempt.guard.age(), self.job.prompt_read_time());
            self.hub.with(|state| {
                state
                    .estimator
                    .record_first_event(&self.job.route.name, elapsed, prompt_read_time)
            });
            serve::log_if_late(&self.hub, &self.job, &self.attempts, &server);
        }
        self.attempts.has_started = true;
    }

    fn complete(&mut self) -> Option<Bytes> {
        self.is_finished = true;
        if let Some(attempt) = self.attempt.take() {
            let latency = attempt.guard.age();
            attempt.guard.finish(Completion::Answered { latency });
            self.hub.with(|state| state.crashes.clear(self.job.digest));
        }
        let remainder = self.events.take_remainder();
        (!remainder.is_empty()).then_some(remainder)
    }

    /// Sends the request to another server, to continue after the last complete event.
    async fn resume(&mut self, failure: Failure) -> Result<(), Failure> {
        let last_event = self.events.last_id();
        let now = self.hub.transport.now();
        if let Some(attempt) = self.attempt.take() {
            let server = attempt.guard.server.clone();
            log::info!(
                target: "relay", request:% = self.job.id, server:% = server.id, cause:% = failure,
                after = last_event.unwrap_or(0), age_ms = (now - self.job.arrived_at).as_millis(),
                silent_ms = (now - self.last_bytes_at).as_millis();
                "stream interrupted"
            );
            attempt.guard.finish(completion_of(failure));
            if failure == Failure::Broken {
                serve::record_crash(&self.hub, &self.job, &server.id);
            }
        }
        self.events.discard_partial();
        self.attempts
            .check_retry(&self.hub, &self.job, failure)
            .map_err(|code| self.fail(last_event, code.title()))?;
        let time_left = self.job.event_deadline(now) - now;
        let sent = serve::send_attempt(&self.hub, &self.job, &mut self.attempts, last_event, now);
        match time::timeout(time_left, sent).await {
            Ok(Ok(attempt)) if attempt.reply.status() == 200 => {
                log::info!(
                    target: "relay", request:% = self.job.id,
                    server:% = attempt.guard.server.id, after = last_event.unwrap_or(0);
                    "stream resumed on another server"
                );
                self.last_bytes_at = self.hub.transport.now();
                self.attempt = Some(attempt);
                Ok(())
            }
            Ok(Ok(_)) => Err(self.fail(last_event, "the next server answered with a failure")),
            Ok(Err(code)) => Err(self.fail(last_event, code.title())),
            Err(_) => Err(self.fail(last_event, Code::DeadlinePassed.title())),
        }
    }

    /// Logs why the stream ends before it is complete, and returns the failure that its caller sees.
    fn fail(&self, last_event: Option<u64>, cause: &str) -> Failure {
        log::warn!(
            target: "relay", request:% = self.job.id, after = last_event.unwrap_or(0), cause:% = cause;
            "stream could not be resumed"
        );
        Failure::Broken
    }
}
