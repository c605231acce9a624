//! Crashes of servers, the requests and parts of prompts that cause them, and the refusal of such requests.

use core::time::Duration;
use std::rc::Rc;

use base::{Name, Tick};
use retry::parts::{Crash, Verdict};
use site::roster::Server;

use crate::{Hub, Job, Refusal, Transport, attempt::Attempts, hub::State, serve};

/// Checks that a request has crashed no servers before and that no part of its prompt does, or takes a trial for it.
///
/// # Errors
///
/// - The refusal; the request has not run.
pub(crate) fn check<E: Transport>(
    hub: &Hub<E>,
    job: &Job<E::Request>,
    attempts: &mut Attempts,
) -> Result<(), Refusal> {
    if hub.with(|state| state.crashes.is_harmful(job.digest)) {
        log::warn!(target: "relay", request:% = job.id, digest = job.digest; "request crashed servers before; refusing it");
        return Err(serve::harmful(None));
    }
    let now = hub.transport.now();
    let found = hub.with(|state| {
        let parts = job.shared_parts();
        let part = state.parts.find_harmful(now, &parts)?;
        let is_trial = state.members.is_selected(&Name::from(format!("{part:x}")))
            && state.parts.take_trial(now, &parts);
        Some((part, is_trial))
    });
    match found {
        None => Ok(()),
        Some((part, true)) => {
            attempts.is_trial = true;
            log::info!(target: "relay", request:% = job.id, part:% = format_args!("{part:x}"); "trying a request with a harmful part");
            Ok(())
        }
        Some((part, false)) => {
            log::warn!(target: "relay", request:% = job.id, part:% = format_args!("{part:x}"); "a part of the prompt crashes servers; refusing the request");
            Err(serve::harmful(Some(hub.settings.harmful_retry_after)))
        }
    }
}

/// Records that a connection broke while a server ran a request, `age` after it was sent and after the server had been
/// writing for a time, and reports it if it is new.
pub(crate) fn record<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    server: &Server,
    age: Duration,
    wrote: Duration,
) {
    let now = hub.transport.now();
    let crash = Crash {
        server: server.id.clone(),
        started_at_ms: server.started_at_ms,
        at: hub.transport.time_of_day(),
        request: job.variant(),
        parts: job.shared_parts(),
        wrote,
    };
    let is_new = hub.with(|state| {
        let is_new_content = state.crashes.record(now, job.digest, &server.id);
        let is_new = state.parts.record_crash(now, crash.clone(), age, false);
        state.judge_parts(now);
        is_new || is_new_content
    });
    if is_new {
        hub.transport.report_crash(job.digest, &crash, age);
    }
}

/// Records that a server gave a whole answer to a request that it got at a time. Without the time, the server may as well
/// have crashed, as the end of its connection is the only mark; the answer is no evidence against earlier crashes then.
pub(crate) fn record_answer<E: Transport>(
    hub: &Hub<E>,
    job: &Job<E::Request>,
    sent_at: Option<Tick>,
    status: u16,
) {
    let now = hub.transport.now();
    let parts = match status {
        200 => job.shared_parts(),
        _ => Vec::new(),
    };
    let cleared = hub.with(|state| {
        state.crashes.clear(job.digest);
        state
            .parts
            .record_run(now, sent_at.unwrap_or_default(), &parts)
    });
    cleared.into_iter().for_each(log_cleared);
}

/// Logs that a part is no longer harmful.
pub fn log_cleared(part: u64) {
    log::info!(target: "relay", part:% = format_args!("{part:x}"); "part of prompts cleared; a request with it was answered");
}

impl State {
    /// Judges the parts of prompts by the crashes that are known, and logs those that are harmful from now on.
    pub fn judge_parts(&mut self, now: Tick) {
        for verdict in self.parts.judge(now) {
            let Verdict {
                part,
                servers,
                requests,
                has_good_runs,
            } = verdict;
            log::warn!(
                target: "relay", part:% = format_args!("{part:x}"), servers = servers, requests = requests,
                ran_before = has_good_runs; "part of prompts crashes servers; refusing requests with it"
            );
        }
    }

    /// Returns whether a part of a request's prompt is harmful.
    pub(crate) fn has_harmful_part<R>(&mut self, now: Tick, job: &Job<R>) -> bool {
        self.parts.find_harmful(now, &job.shared_parts()).is_some()
    }
}
