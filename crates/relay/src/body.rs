//! Event streams that resume on another server after a failure.

use core::{pin::pin, time::Duration};
use std::rc::Rc;

use base::{Code, Name, Tick};
use bytes::Bytes;
use pick::fleet::Completion;
use tokio::time;

use crate::{
    Failure, Hub, Job, Reply, Transport,
    attempt::{self, Attempt, Attempts},
    crash,
    events::Splitter,
    hold::Kind,
    hub::completion_of,
    memory::Share,
    origin,
    pace::Pace,
    policy, serve,
};

/// How long the end of an answer without events may follow on its head, while the silent server is still waited for.
const EMPTY_REST_TIME: Duration = Duration::from_millis(50);

/// The event stream of an answer, which resumes on another server if the route allows it.
pub struct Body<E: Transport> {
    hub: Rc<Hub<E>>,
    job: Rc<Job<E::Request>>,
    /// The head of the first answer, with which later ones are compared.
    head: <E::Reply as Reply>::Head,
    attempt: Option<Attempt<E>>,
    /// Whether another server than the first one goes on with the stream.
    is_resumed: bool,
    attempts: Attempts,
    events: Splitter,
    /// The memory for the bytes of an incomplete event.
    share: Share<E>,
    /// When bytes of the answer last arrived.
    last_bytes_at: Tick,
    /// When the caller last got events, or began to wait for the first ones.
    last_events_at: Tick,
    /// The number of parts that arrived since the last complete event.
    partial_count: usize,
    /// When the first of them arrived.
    partial_since: Tick,
    /// When the current attempt brought its first complete event.
    first_event_at: Option<Tick>,
    /// How long reading was stopped because the caller took no events, which is no fault of the server.
    paused: Duration,
    /// Whether the current attempt counts as a run that has been writing for some time.
    is_writing: bool,
    /// The pace of the current attempt.
    pace: Pace,
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
            last_events_at: job.arrived_at,
            events: Splitter::resume_after(job.last_event),
            share: Share::open(hub, Kind::Whole),
            job,
            head: attempt.reply.head(),
            attempt: Some(attempt),
            is_resumed: false,
            attempts,
            partial_count: 0,
            partial_since: hub.transport.now(),
            first_event_at: None,
            paused: Duration::ZERO,
            is_writing: false,
            pace: Pace::default(),
            is_finished: false,
        }
    }

    pub(crate) const fn hub(&self) -> &Rc<Hub<E>> {
        &self.hub
    }

    /// Records that reading was stopped for a while, so that neither the deadline nor the silence limit counts it.
    pub(crate) fn record_pause(&mut self, pause: Duration) {
        self.paused += pause;
        self.last_bytes_at = self.hub.transport.now();
    }

    /// Returns the id of the request.
    pub(crate) fn request(&self) -> &Name {
        &self.job.id
    }

    /// Returns the server that sends the stream, until it has ended.
    pub(crate) fn server(&self) -> Option<&Name> {
        let attempt = self.attempt.as_ref();
        attempt.map(|attempt| &attempt.guard.server.id)
    }

    /// Returns the next complete events, or none at the end of the stream.
    ///
    /// # Errors
    ///
    /// - [`Failure::Broken`] if the stream can't continue; it must not look complete to the caller.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        self.pace.record_wait(self.hub.transport.now());
        loop {
            if self.is_finished {
                return Ok(None);
            }
            if self.events.is_invalid() {
                Box::pin(self.resume(Failure::Mismatched)).await?;
            }
            match self.next_chunk().await {
                Ok(Some(bytes)) => {
                    if self.is_from_another_version() {
                        Box::pin(self.resume(Failure::Mismatched)).await?;
                        continue;
                    }
                    self.last_bytes_at = self.hub.transport.now();
                    let events = self.events.push(&bytes);
                    self.record_first_bytes();
                    if !events.is_empty() {
                        self.share.resize(0);
                        self.partial_count = 0;
                        self.last_events_at = self.last_bytes_at;
                        self.record_writing();
                        self.record_pace();
                        self.begin();
                        return Ok(Some(events));
                    }
                    if !self.may_become_event() {
                        Box::pin(self.resume(Failure::Mismatched)).await?;
                    }
                }
                Ok(None) if self.is_empty_rest() => {
                    let last_event = self.events.last_id();
                    self.complete();
                    return Err(self.fail(last_event, "the next server sent no event"));
                }
                Ok(None) => match self.early_end() {
                    Some(failure) => Box::pin(self.resume(failure)).await?,
                    None => return Ok(self.complete()),
                },
                Err(failure) => Box::pin(self.resume(failure)).await?,
            }
        }
    }

    /// Records a part without a complete event, and returns whether the bytes may still become one. An event has a limited
    /// size, and its parts arrive at about the same time, but for a silence between two of them.
    fn may_become_event(&mut self) -> bool {
        if !self.share.resize(self.events.partial_length()) {
            return false;
        }
        let settings = &self.hub.settings;
        if self.partial_count == 0 {
            self.partial_since = self.last_bytes_at;
        }
        self.partial_count += 1;
        let limit = policy::stream_silence_limit(&self.job.route, settings);
        let is_trickle = self.partial_count >= settings.max_event_parts
            && self.last_bytes_at - self.partial_since > limit;
        self.events.partial_length() <= settings.max_event_bytes && !is_trickle
    }

    /// Returns the next bytes, or none at the end. A server that is silent for long is left once another one goes on.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        let mut limit = policy::stream_silence_limit(&self.job.route, &self.hub.settings);
        if !self.attempts.has_started {
            // The server may still read the prompt.
            limit = limit.max(self.job.route.objective);
        }
        loop {
            let time_left = self.job.final_deadline() + self.paused - self.hub.transport.now();
            let Some(attempt) = &mut self.attempt else {
                return Err(Failure::Broken);
            };
            if let Ok(chunk) = time::timeout(limit.min(time_left), attempt.reply.chunk()).await {
                return chunk;
            }
            attempt.guard.is_silent = true;
            if time_left <= limit {
                return Err(Failure::TimedOut);
            }
            if let Some(chunk) = Box::pin(self.try_beside(limit)).await {
                return chunk;
            }
        }
    }

    /// Tries another server beside the silent one, which is left when the other one goes on with the stream. Returns
    /// what the server sent with which the stream goes on.
    async fn try_beside(&mut self, limit: Duration) -> Option<Result<Option<Bytes>, Failure>> {
        let Self {
            hub, job, attempts, ..
        } = self;
        let attempt = self.attempt.as_mut()?;
        if !attempts.may_leave_silent(hub, job) {
            return None;
        }
        let now = hub.transport.now();
        let last_event = self.events.last_id();
        log::info!(
            target: "relay", request:% = job.id, server:% = attempt.guard.server.id,
            after = last_event.unwrap_or(0), silent_ms = (now - self.last_bytes_at).as_millis();
            "server is silent; trying another one beside it"
        );
        let time_left = job.event_deadline(now) - now;
        let leaves_at = job.event_deadline(self.last_events_at);
        let prepared = tokio::select! {
            biased;
            chunk = attempt.reply.chunk() => return Some(chunk),
            prepared = time::timeout(time_left, attempt::prepare(hub, job, attempts, now)) => prepared,
        };
        let Ok(Ok(prepared)) = prepared else {
            return None;
        };
        // The other engine may start at any moment from here on, and two must not work on a stream. So what the silent
        // server sends counts only if the other one fails or is silent, too, for half of the time that the caller still
        // waits.
        let mut kept = None;
        let result = {
            let silence = limit.min((leaves_at - hub.transport.now()) / 2);
            let mut silent = Vec::new();
            let sent = attempt::send(hub, job, attempts, &mut silent, prepared, last_event, now);
            let mut sent = pin!(time::timeout(time_left, sent));
            let mut silence = pin!(time::sleep(silence));
            loop {
                tokio::select! {
                    biased;
                    result = &mut sent => break result.ok().and_then(Result::ok),
                    chunk = attempt.reply.chunk(), if kept.is_none() => kept = Some(chunk),
                    () = &mut silence, if matches!(kept, Some(Ok(_))) => break None,
                }
            }
        };
        match result {
            Some(mut next) if next.reply.continues(&self.head) => {
                match time::timeout(EMPTY_REST_TIME, next.reply.chunk()).await {
                    // The silent server may still send the end.
                    Ok(Ok(None)) => {
                        let latency = next.guard.age();
                        next.guard.finish(Completion::Answered { latency });
                        kept
                    }
                    chunk => {
                        self.move_to(next, last_event);
                        chunk.ok()
                    }
                }
            }
            _ => kept,
        }
    }

    /// Leaves a silent server for another one that goes on with the stream.
    fn move_to(&mut self, next: Attempt<E>, last_event: Option<u64>) {
        let now = self.hub.transport.now();
        log::info!(
            target: "relay", request:% = self.job.id, server:% = next.guard.server.id,
            version:% = next.guard.server.software(), after = last_event.unwrap_or(0),
            silent_ms = (now - self.last_bytes_at).as_millis();
            "stream resumed on another server"
        );
        self.events.discard_partial();
        self.partial_count = 0;
        self.first_event_at = None;
        self.is_resumed = true;
        self.is_writing = false;
        self.pace = Pace::default();
        self.last_bytes_at = now;
        if let Some(silent) = self.attempt.replace(next) {
            silent.guard.finish(completion_of(Failure::TimedOut));
        }
    }

    /// Returns whether the first bytes of an attempt may come from another version than the one that began the stream.
    fn is_from_another_version(&self) -> bool {
        let attempt = self.attempt.as_ref();
        let is_bound = self.job.origin.get().is_some();
        attempt.is_some_and(|attempt| {
            let is_first = attempt.inputs.is_some();
            is_bound && is_first && origin::has_restarted(&self.hub, &attempt.guard.server)
        })
    }

    /// Records where the stream began, if these are its first events.
    fn begin(&self) {
        if let Some(attempt) = &self.attempt {
            origin::begin(
                &self.hub,
                &self.job,
                &attempt.guard.server,
                attempt.reply.run(),
            );
        }
    }

    /// Records events of the current attempt, and once that its run has been writing for some time.
    fn record_writing(&mut self) {
        let now = self.last_events_at;
        let first_event_at = *self.first_event_at.get_or_insert(now);
        if self.is_writing || now - first_event_at < self.hub.settings.min_writing_time {
            return;
        }
        self.is_writing = true;
        if let Some(attempt) = &self.attempt {
            let (sent_at, parts) = (attempt.guard.sent_at(), self.job.shared_parts());
            self.hub
                .with(|state| state.parts.record_writing(now, sent_at, &parts));
        }
    }

    /// Records how fast the server writes, from time to time while the stream runs.
    fn record_pace(&mut self) {
        let gap = self.pace.record(self.last_events_at, self.events.last_id());
        if let (Some(attempt), Some(gap)) = (&self.attempt, gap) {
            attempt.guard.record_gap(gap);
        }
    }

    /// Records the first bytes of an answer, which show that the server has read the prompt and the stage results.
    fn record_first_bytes(&mut self) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        attempt.guard.is_silent = false;
        // Dropping the inputs releases the stage results.
        if attempt.inputs.take().is_some() {
            attempt.guard.record_first_event();
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
            let elapsed = attempt.guard.age();
            let prompt_read_time = attempt::prompt_read_time(&self.hub, &self.job);
            self.hub.with(|state| {
                state
                    .estimator
                    .record_first_event(&self.job.route.name, elapsed, prompt_read_time)
            });
            serve::log_if_late(&self.hub, &self.job, &self.attempts, &server);
        }
        self.attempts.has_started = true;
    }

    /// Returns whether the server that was to go on with the stream has ended its answer without an event. Nothing tells that
    /// from a failure, so the caller is left to ask for the rest itself.
    fn is_empty_rest(&self) -> bool {
        self.is_resumed && self.first_event_at.is_none() && !self.events.is_inside_event()
    }

    /// Returns the failure if the body has ended before the stream was complete. The end of a connection marks the end of
    /// a stream only after a whole event, as a server that crashes closes its connections, too.
    fn early_end(&self) -> Option<Failure> {
        let attempt = self.attempt.as_ref()?;
        match attempt.reply.is_close_delimited() {
            true => (self.events.is_inside_event() || self.first_event_at.is_none())
                .then_some(Failure::Broken),
            false => self.events.is_inside_event().then_some(Failure::Mismatched),
        }
    }

    fn complete(&mut self) -> Option<Bytes> {
        self.is_finished = true;
        if let Some(attempt) = self.attempt.take() {
            if let Some(gap) = self.pace.finish() {
                attempt.guard.record_gap(gap);
            }
            let latency = attempt.guard.age();
            let sent_at = attempt.guard.sent_at();
            attempt.guard.finish(Completion::Answered { latency });
            let is_marked = !attempt.reply.is_close_delimited() || self.is_writing;
            let since = is_marked.then_some(sent_at);
            crash::record_answer(&self.hub, &self.job, since, attempt.reply.status());
        }
        let remainder = self.events.take_remainder();
        (!remainder.is_empty()).then_some(remainder)
    }

    /// Sends the request to another server after a failure, to continue after the last complete event. It is boxed where it is
    /// awaited, as is the try beside a silent server, so that streams without failures don't take the memory for it.
    async fn resume(&mut self, failure: Failure) -> Result<(), Failure> {
        let last_event = self.events.last_id();
        let now = self.hub.transport.now();
        if let Some(mut attempt) = self.attempt.take() {
            let server = attempt.guard.server.clone();
            log::info!(
                target: "relay", request:% = self.job.id, server:% = server.id,
                version:% = server.software(), cause:% = failure, after = last_event.unwrap_or(0),
                age_ms = (now - self.job.arrived_at).as_millis(),
                silent_ms = (now - self.last_bytes_at).as_millis();
                "stream interrupted"
            );
            let first_event_at = self.first_event_at.unwrap_or(self.last_bytes_at);
            let wrote = self.last_bytes_at - first_event_at;
            crash::complete(&self.hub, &self.job, &mut attempt.guard, failure, wrote).await;
        }
        if failure == Failure::TimedOut {
            return Err(self.fail(last_event, Code::DeadlinePassed.title()));
        }
        self.events.discard_partial();
        self.attempts
            .check_retry(&self.hub, &self.job, failure)
            .map_err(|code| self.fail(last_event, code.title()))?;
        let time_left = self.job.event_deadline(now) - now;
        let mut silent = Vec::new();
        let sent = attempt::send_attempt(
            &self.hub,
            &self.job,
            &mut self.attempts,
            &mut silent,
            last_event,
            now,
        );
        let sent = time::timeout(time_left, sent).await;
        drop(silent);
        match sent {
            Ok(Ok(attempt)) if attempt.reply.continues(&self.head) => {
                self.move_to(attempt, last_event);
                Ok(())
            }
            Ok(Ok(_)) => Err(self.fail(
                last_event,
                "the next server's answer is no rest of the stream",
            )),
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
