//! Keeps a stream at the software version that sent its first event.

use core::time::Duration;
use std::rc::Rc;

use base::{Code, Incarnation, Name, Software, Stamp};
use futures_util::{StreamExt, stream::FuturesUnordered};
use mesh::{
    Origin,
    origins::{self, Record},
};
use quota::Demand;
use site::roster::Server;
use tokio::{task, time};

use crate::{Hub, Job, Transport, attempt, job::Check};

/// How long other instances may take to tell where a stream began.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// The time before instances are asked again that know nothing of a stream. Origins are gathered for 0.1 s before they are
/// sent, so that one of a stream which began just now may be on its way.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

/// How long an origin is kept after the caller's deadline, as requests take some time to arrive.
const TTL_MARGIN: Duration = Duration::from_secs(2);

/// The longest time for which a caller takes a stream up again, as a multiple of the route's timeout, which bounds one attempt.
const MAX_ATTEMPT_SPANS: u32 = 2;

/// What is added to it for requests on their way and for clocks of instances that differ.
const HISTORY_MARGIN: Duration = Duration::from_secs(5);

/// The part of the time left for its next event that a broken stream waits for the run of the server that began it, as a
/// divisor.
const CHECK_TIME_DIVISOR: u32 = 2;

/// How long to wait before each question to a server for its run.
const ASK_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_secs(1),
];

/// Records the server that sent the first event of a request's stream, on a connection to a run that may be known.
pub(crate) fn begin<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Rc<Job<E::Request>>,
    server: &Rc<Server>,
    run: Option<u64>,
) {
    if job.origin.get().is_some() {
        return;
    }
    let has_restarted = has_restarted(hub, server);
    let software = match run {
        _ if has_restarted => unknown_software(server),
        Some(run) => software_of_run(hub, server, run),
        None => server.software(),
    };
    let origin = Origin {
        pool: server.pool.clone(),
        software,
    };
    let was_unset = job.origin.set(origin.clone()).is_ok();
    if !was_unset || !job.route.resumable {
        return;
    }
    // A server without a start time can't be told from a later run.
    if run.is_some() || has_restarted || server.started_at_ms == 0 {
        record(hub, job, &job.id, origin);
        return;
    }
    job.origin_check.send_replace(Check::Pending);
    let (hub, job, server) = (hub.clone(), job.clone(), server.clone());
    task::spawn_local(async move {
        let limit = job.deadline - hub.transport.now() + TTL_MARGIN;
        let run = time::timeout(limit, ask_run(&hub, &server)).await;
        let software = match run {
            Ok(Some(run)) => software_of_run(&hub, &server, run),
            Ok(None) | Err(_) => origin.software.clone(),
        };
        let check = if software == origin.software {
            Check::Done
        } else {
            Check::OtherRun
        };
        job.origin_check.send_replace(check);
        record(&hub, &job, &job.id, Origin { software, ..origin });
    });
}

/// Waits until the server that began a request's stream has stated its run, if it does so soon enough for an event
/// that is due after `time_left`.
pub(crate) async fn wait_for_check<R>(job: &Job<R>, time_left: Duration) {
    let limit = time_left / CHECK_TIME_DIVISOR;
    let mut check = job.origin_check.subscribe();
    let settled = check.wait_for(|check| *check != Check::Pending);
    if time::timeout(limit, settled).await.is_err() {
        log::info!(target: "relay", request:% = job.id; "server that began the stream states no run");
    }
}

/// Returns software that no server is certain to run: a stream may have begun at either of two runs.
fn unknown_software(server: &Server) -> Software {
    Software::Run(Incarnation::new(server.id.clone(), Stamp::default()))
}

/// Returns the software of a run that stated its start time after an event had arrived from the server, which was sent by
/// this run or an earlier one, but not by one before the run that the list showed.
fn software_of_run<E: Transport>(hub: &Hub<E>, server: &Server, run: u64) -> Software {
    let software = server.software();
    let is_same = hub.with(|state| {
        let listed = state.roster.get(&server.id);
        listed.is_some_and(|listed| listed.started_at_ms == run && listed.runs(&software))
    });
    if run == server.started_at_ms || is_same {
        return software;
    }
    log::info!(
        target: "servers", server:% = server.id, listed = server.started_at_ms, stated = run;
        "server is another run than the listed one"
    );
    unknown_software(server)
}

/// Asks a server for the start time of its run, several times if it can't be asked. A server that asked for a pause is
/// asked after it.
async fn ask_run<E: Transport>(hub: &Hub<E>, server: &Server) -> Option<u64> {
    for delay in ASK_DELAYS {
        time::sleep(delay).await;
        let pause_left = || {
            let now = hub.transport.now();
            let until = hub.with(|state| state.fleet.paused_until(now, &server.id));
            until.map(|until| until - now)
        };
        while let Some(left) = pause_left() {
            time::sleep(left).await;
        }
        // Requests go before questions at a server that limits its request rate.
        if hub
            .take_turn(server, Demand::one(Duration::ZERO, Duration::ZERO))
            .await
            .is_err()
        {
            continue;
        }
        if hub.with(|state| state.is_evacuated(hub.transport.now(), server)) {
            return None;
        }
        // Streams may hold all connections that requests may use.
        let max_connections = hub.max_connections(&server.pool).saturating_add(1);
        let asked = hub
            .transport
            .ask_run(server, max_connections, hub.max_questions(server));
        if let Ok(run) = asked.await {
            return Some(run);
        }
    }
    None
}

/// Returns whether a server is still the run that was listed, by its own statement, or by the list if it makes none.
pub(crate) async fn is_same_run<E: Transport>(hub: &Hub<E>, server: &Server) -> bool {
    match ask_run(hub, server).await {
        Some(run) => run == server.started_at_ms,
        None => hub.with(|state| {
            let listed = state.roster.get(&server.id);
            listed.is_some_and(|listed| listed.started_at_ms == server.started_at_ms)
        }),
    }
}

/// Returns whether the list now shows a later run of a server, of another version. The list lags, so the request may have
/// reached either run.
pub(crate) fn has_restarted<E: Transport>(hub: &Hub<E>, server: &Server) -> bool {
    hub.with(|state| {
        let listed = state.roster.get(&server.id);
        listed.is_some_and(|listed| {
            server.started_at_ms != 0
                && listed.started_at_ms > server.started_at_ms
                && !listed.runs(&server.software())
        })
    })
}

/// Determines where the stream began that a request takes up, if it does.
///
/// # Errors
///
/// - The code with which the request is refused.
pub(crate) async fn resolve<E: Transport>(hub: &Hub<E>, job: &Job<E::Request>) -> Result<(), Code> {
    let Some(resumption) = &job.resumption else {
        return Ok(());
    };
    let stream = resumption.first_attempt.as_ref();
    let found = match stream {
        Some(stream) => find(hub, job, stream).await,
        None => find_unnamed(hub, job).await,
    };
    let (version, source) = match &found {
        Ok((origin, source)) => (origin.software.to_string(), source.as_str()),
        Err(_) => (String::new(), "unknown"),
    };
    log::info!(
        target: "relay", request:% = job.id, resumes = stream.map_or("", Name::as_str),
        after = job.last_event.unwrap_or(0), version:% = version, source = source;
        "stream taken up"
    );
    let (origin, _) = found?;
    if job.origin.set(origin.clone()).is_ok()
        && let Some(stream) = stream
    {
        record(hub, job, stream, origin);
    }
    Ok(())
}

/// Returns the origin of a stream whose caller names no attempt, and `history`, if its pool has run one software since
/// before it began.
async fn find_unnamed<E: Transport>(
    hub: &Hub<E>,
    job: &Job<E::Request>,
) -> Result<(Origin, Name), Code> {
    match find_in_history(hub, job).await {
        Evidence::Origin(origin) => Ok((origin, "history".into())),
        Evidence::None => Err(Code::OriginUnknown),
        Evidence::Unreadable => Err(Code::OriginUnavailable),
    }
}

/// Records the origin of a stream at this instance and at others.
fn record<E: Transport>(hub: &Hub<E>, job: &Job<E::Request>, stream: &Name, origin: Origin) {
    let now = hub.transport.now();
    let record = Record {
        stream: stream.clone(),
        origin,
        ttl: job.deadline - now + TTL_MARGIN,
    };
    let holders = hub.with(|state| {
        state.origins.record(now, record.clone());
        origins::holders(&state.members, stream)
    });
    hub.transport.record_origin(holders, record);
}

/// Returns the origin of a stream and the name of the instance that knows it, or `local`. If no instance does, it is
/// `history` where all servers have run one software since before the stream began; otherwise it is looked up once more.
async fn find<E: Transport>(
    hub: &Hub<E>,
    job: &Job<E::Request>,
    stream: &Name,
) -> Result<(Origin, Name), Code> {
    let code = match look_up(hub, stream).await {
        // Other instances take the place of those that were found lost.
        Err(Code::OriginUnavailable) => look_up(hub, stream).await,
        found => found,
    };
    let code = match code {
        Err(code) => code,
        found => return found,
    };
    let unknown = match find_in_history(hub, job).await {
        Evidence::Origin(origin) => return Ok((origin, "history".into())),
        Evidence::None => Code::OriginUnknown,
        Evidence::Unreadable => Code::OriginUnavailable,
    };
    if code != Code::OriginUnknown {
        return Err(code);
    }
    time::sleep(ARRIVAL_TIME).await;
    match look_up(hub, stream).await {
        Err(Code::OriginUnknown) => Err(unknown),
        found => found,
    }
}

/// What the servers of a pool show about a stream whose origin nobody knows.
enum Evidence {
    /// All of them have run one software since before the stream began.
    Origin(Origin),
    /// The stream may have begun at any of several versions.
    None,
    /// The list of servers can't be read, so it may lack servers of another version.
    Unreadable,
}

/// Returns the software that all servers have run since before the oldest stream began that may still be taken up.
///
/// A list of servers shows nothing about streams that began after it was read. Only a read that begins after the request
/// arrived covers every server that may have sent its first event.
async fn find_in_history<E: Transport>(hub: &Hub<E>, job: &Job<E::Request>) -> Evidence {
    let Ok(pool) = attempt::select_pool(job) else {
        return Evidence::None;
    };
    let time = job.route.timeout * MAX_ATTEMPT_SPANS + HISTORY_MARGIN;
    let sole = || {
        let now = hub.transport.time_of_day();
        hub.with(|state| state.software.sole(now, &pool, time).cloned())
    };
    if sole().is_none() {
        return Evidence::None;
    }
    if !hub.transport.read_roster().await {
        log::info!(target: "relay", request:% = job.id, pool:% = pool; "list of servers could not be read for a stream of unknown origin");
        return Evidence::Unreadable;
    }
    match sole() {
        Some(software) => Evidence::Origin(Origin { pool, software }),
        None => Evidence::None,
    }
}

async fn look_up<E: Transport>(hub: &Hub<E>, stream: &Name) -> Result<(Origin, Name), Code> {
    let now = hub.transport.now();
    let known = hub.with(|state| state.origins.find(now, stream).cloned());
    if let Some(origin) = known {
        return Ok((origin, "local".into()));
    }
    let sources = hub.with(|state| origins::sources(&state.members, stream));
    let lookups = sources.iter().map(|peer| async move {
        let found = hub.transport.find_origin(peer, stream, LOOKUP_TIMEOUT);
        (peer, found.await)
    });
    let mut lookups: FuturesUnordered<_> = lookups.collect();
    let mut is_certain = true;
    while let Some((peer, found)) = lookups.next().await {
        match found {
            Ok(Some(origin)) => return Ok((origin, peer.name.clone())),
            Ok(None) => {}
            Err(_) => {
                is_certain = false;
                let now = hub.transport.now();
                hub.with(|state| {
                    state.members.mark_lost(&peer.name);
                    state.members.monitor(now, &peer.name);
                });
            }
        }
    }
    if is_certain {
        Err(Code::OriginUnknown)
    } else {
        Err(Code::OriginUnavailable)
    }
}

/// Returns whether a pool has a server that may go on with a request's stream.
pub(crate) fn has_server<E: Transport>(
    hub: &Rc<Hub<E>>,
    job: &Job<E::Request>,
    pool: &Name,
) -> bool {
    let now = hub.transport.now();
    hub.with(|state| {
        let mut servers = state.roster.usable(now, pool);
        servers.any(|server| job.may_use(server))
    })
}
