//! Crashes of servers, the requests and parts of prompts that cause them, and the refusal of such requests.

use core::time::Duration;
use std::rc::Rc;

use base::{Name, Tick};
use retry::parts::{Crash, Verdict};
use site::roster::Server;
use tokio::task;

use crate::{
    Failure, Hub, Job, Refusal, Transport,
    attempt::Attempts,
    guard::Guard,
    hub::{State, completion_of},
    origin, serve,
};

/// The largest number of broken connections that are held until it is known whether servers crashed.
const MAX_HELD: usize = 1_024;

/// A connection that broke while a server ran a request.
#[derive(Debug)]
pub(crate) struct Held {
    server: Rc<Server>,
    digest: u64,
    crash: Crash,
    age: Duration,
    /// The bytes of this instance's requests that the server held.
    bytes: usize,
}

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

/// Ends a call that failed after its server had been writing for a time, and records a crash of the server if its connection
/// broke. If this instance lost its links to all servers, that is decided when it reaches servers again.
pub(crate) async fn complete<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    guard: &mut Guard<E>,
    failure: Failure,
    wrote: Duration,
) {
    if failure != Failure::Broken {
        record_cold(hub, guard, failure);
        guard.complete(completion_of(failure));
        return;
    }
    let (server, age) = (guard.server.clone(), guard.age());
    let crash = Crash {
        server: server.id.clone(),
        started_at_ms: server.started_at_ms,
        at: hub.transport.time_of_day(),
        request: job.variant(),
        parts: job.shared_parts(),
        wrote,
    };
    let bytes = hub.with(|state| state.uploads.at_server(&server.id));
    let held = Held {
        bytes,
        server,
        digest: job.digest,
        crash,
        age,
    };
    // The crash counts also if the caller leaves meanwhile.
    let decided = task::spawn_local(decide(hub.clone(), held, guard.is_direct));
    if let Err(error) = decided.await {
        log::warn!(target: "servers", server:% = guard.server.id, cause:% = error; "crash not recorded");
    }
    record_cold(hub, guard, failure);
    guard.complete(completion_of(failure));
}

/// Counts the server of a failed call as cold, if the failure may show that it was away.
fn record_cold<E: Transport>(hub: &Hub<E>, guard: &Guard<E>, failure: Failure) {
    if guard.is_direct {
        let now = hub.transport.now();
        hub.with(|state| state.record_cold_failure(now, &guard.server, failure));
    }
}

/// Records a crash, or holds it if this instance reaches no server.
async fn decide<E: Transport>(hub: Rc<Hub<E>>, held: Held, is_direct: bool) {
    let is_own_cut = is_direct && hub.are_links_lost().await;
    if !is_own_cut {
        record(&hub, held);
        return;
    }
    let dropped = hub.with(|state| match state.held.len() < MAX_HELD {
        true => {
            state.held.push(held);
            None
        }
        false => Some(held),
    });
    if let Some(held) = dropped {
        log::warn!(target: "servers", server:% = held.server.id; "too many broken connections; this one is not held");
    }
}

/// Records a crash, and reports it if it is new.
fn record<E: Transport>(hub: &Rc<Hub<E>>, held: Held) {
    let now = hub.transport.now();
    let Held {
        server,
        digest,
        crash,
        age,
        bytes,
    } = held;
    let is_new = hub.with(|state| {
        let limit = state
            .uploads
            .record_crash(now, &server.pool, &server.id, bytes);
        if let Some(limit) = limit {
            log::warn!(
                target: "servers", server:% = server.id, pool:% = server.pool, bytes = limit;
                "server crashed while it held many bytes of requests; others of its pool get fewer"
            );
        }
        let is_new_content = state.crashes.record(now, digest, &crash);
        let is_new = state.parts.record_crash(now, crash.clone(), age, false);
        state.judge_parts(now);
        is_new || is_new_content
    });
    if is_new {
        hub.transport.report_crash(digest, &crash, age);
    }
}

/// Finds out in the background which servers crashed while this instance reached none: those that state another run now.
pub(crate) fn settle<E: Transport>(hub: &Rc<Hub<E>>) {
    let mut held = hub.with(|state| core::mem::take(&mut state.held));
    held.sort_by(|a, b| run(a).cmp(&run(b)));
    let mut held = held.into_iter().peekable();
    while let Some(first) = held.next() {
        let server = first.server.clone();
        let mut broken = vec![first];
        while let Some(next) = held.next_if(|next| run(next) == run(&broken[0])) {
            broken.push(next);
        }
        let hub = hub.clone();
        task::spawn_local(async move {
            let is_same = origin::is_same_run(&hub, &server).await;
            log::info!(
                target: "servers", server:% = server.id, connections = broken.len(), crashed = !is_same;
                "connections broke while no server was reachable"
            );
            if !is_same {
                broken.into_iter().for_each(|held| record(&hub, held));
            }
        });
    }
}

/// Returns the run of the server whose connection broke.
fn run(held: &Held) -> (&Name, u64) {
    (&held.server.id, held.server.started_at_ms)
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
