//! Conversions between the crate's types and the messages of `wire::feed`.

use core::time::Duration;

use base::{Incarnation, Name, Software, Stamp};
use batch::{
    Shard,
    piece::{Handle, Outcome, Reason, Source},
};
use bytes::Bytes;
use mesh::{Changes, Departure, Origin, Position, Record, origins};
use quota::{Balance, Demand, Turn, cold::Report};
use site::route::Rank;
use wire::feed as message;

use crate::{
    Answer, Ask, CachedChain, Delegation, EngineLoad, Error, Evacuation, Evacuations, Grant,
    Heartbeat, Limit, Lists, Results, Speed, Topics, Wanted, backlogs,
};

pub(crate) fn encode_delegation(delegation: Delegation) -> message::Order {
    let (key, inputs) = match delegation.source {
        Source::Key(key) => (key.as_str().to_owned(), Vec::new()),
        Source::Results(results) => {
            let inputs = results.iter().map(encode_handle);
            (String::new(), inputs.collect())
        }
    };
    message::Order {
        pool: delegation.shard.pool.as_str().to_owned(),
        shard: delegation
            .shard
            .domain
            .map_or_else(String::new, |domain| domain.as_str().to_owned()),
        request: delegation.request.as_str().to_owned(),
        stage: u32::try_from(delegation.stage).unwrap_or(u32::MAX),
        numbers: delegation.numbers,
        key,
        inputs,
        due_ms: i64::try_from(delegation.due.as_millis()).unwrap_or(i64::MAX),
        left_ms: millis(delegation.time_left),
        bytes: delegation.result_bytes,
        rank: u32::from(delegation.rank.account),
        route_rank: u32::from(delegation.rank.route),
        pull: delegation.transfer_bytes,
        density: delegation.density,
        slack_ms: millis(delegation.slack),
        domain: delegation
            .preferred_domain
            .map_or_else(String::new, |domain| domain.as_str().to_owned()),
    }
}

pub(crate) fn decode_delegation(order: message::Order) -> Result<Delegation, Error> {
    let inputs: Result<Vec<_>, _> = order.inputs.into_iter().map(decode_handle).collect();
    let inputs = inputs?;
    let source = if inputs.is_empty() {
        Source::Key(order.key.into())
    } else {
        Source::Results(inputs)
    };
    Ok(Delegation {
        shard: Shard {
            pool: order.pool.into(),
            domain: (!order.shard.is_empty()).then(|| Name::from(order.shard)),
        },
        request: order.request.into(),
        stage: order.stage as usize,
        numbers: order.numbers,
        source,
        due: Duration::from_millis(u64::try_from(order.due_ms).unwrap_or(0)),
        slack: Duration::from_millis(order.slack_ms),
        time_left: Duration::from_millis(order.left_ms),
        result_bytes: order.bytes,
        rank: Rank {
            account: u8::try_from(order.rank).unwrap_or(u8::MAX),
            route: u8::try_from(order.route_rank).unwrap_or(u8::MAX),
        },
        transfer_bytes: order.pull,
        density: order.density,
        preferred_domain: (!order.domain.is_empty()).then(|| Name::from(order.domain)),
    })
}

pub(crate) fn encode_results(results: Results) -> message::Results {
    let outcomes = results.outcomes.into_iter().map(|outcome| match outcome {
        Outcome::Result(handle) => message::Result {
            handle: Some(encode_handle(&handle)),
            reason: 0,
        },
        Outcome::Failed(reason) => message::Result {
            handle: None,
            reason: match reason {
                Reason::Error => message::Reason::Error,
                Reason::Gone => message::Reason::Gone,
                Reason::Late => message::Reason::Late,
                Reason::Room => message::Reason::Room,
            }
            .into(),
        },
    });
    message::Results {
        results: outcomes.collect(),
        backlogs: backlogs::encode(results.backlogs),
    }
}

pub(crate) fn decode_results(results: message::Results) -> Result<Results, Error> {
    let outcomes = results.results.into_iter().map(|result| {
        let reason = result.reason();
        match result.handle {
            Some(handle) => Ok(Outcome::Result(decode_handle(handle)?)),
            None => Ok(Outcome::Failed(match reason {
                message::Reason::Error => Reason::Error,
                message::Reason::Gone => Reason::Gone,
                message::Reason::Late => Reason::Late,
                message::Reason::Room => Reason::Room,
            })),
        }
    });
    let outcomes: Result<Vec<_>, _> = outcomes.collect();
    Ok(Results {
        outcomes: outcomes?,
        backlogs: backlogs::decode(results.backlogs),
    })
}

pub(crate) fn encode_heartbeat(heartbeat: Heartbeat) -> message::Pulse {
    let loads = heartbeat.loads.into_iter().map(|load| message::Line {
        server: load.server.as_str().to_owned(),
        tokens: load.tokens,
        running: load.running,
    });
    message::Pulse {
        name: heartbeat.name.as_str().to_owned(),
        leaving: heartbeat.leaving,
        lines: loads.collect(),
        config: heartbeat.config_version,
        kept: heartbeat
            .cached_chains
            .into_iter()
            .map(encode_cached_chain)
            .collect(),
        era: wanted_era(heartbeat.wanted),
        follow: heartbeat.wanted.servers.map(|from| from.offset),
        follow_instances: heartbeat.wanted.instances.map(|from| from.offset),
        follow_crashes: heartbeat.wanted.crashes.map(|from| from.offset),
        news: heartbeat.topics.servers.map(encode_answer),
        instances: heartbeat.topics.instances.map(encode_answer),
        crashes: heartbeat.topics.crashes.map(encode_answer),
        read_age_ms: heartbeat.read_age.map(millis),
        regained_ms: heartbeat.store_recovered.map(millis),
        departures: heartbeat
            .departures
            .into_iter()
            .map(encode_departure)
            .collect(),
        limits: heartbeat.limits.into_iter().map(encode_limit).collect(),
        cut_off: heartbeat.is_cut_off,
        backlogs: backlogs::encode(heartbeat.backlogs),
        cold: heartbeat.cold.into_iter().map(encode_cold).collect(),
        evacuations: heartbeat.evacuations.map(encode_evacuations),
        speeds: heartbeat.speeds.into_iter().map(encode_speed).collect(),
    }
}

fn encode_speed(speed: Speed) -> message::Speed {
    message::Speed {
        server: speed.server.as_str().to_owned(),
        started_ms: speed.started_at_ms,
        reading: speed.reading,
        writing: speed.writing,
        weight: speed.weight,
    }
}

fn decode_speed(speed: message::Speed) -> Speed {
    Speed {
        server: speed.server.into(),
        started_at_ms: speed.started_ms,
        reading: speed.reading,
        writing: speed.writing,
        weight: speed.weight,
    }
}

fn encode_evacuations(evacuations: Evacuations) -> message::Evacuations {
    let domains = evacuations.domains.into_iter();
    let domains = domains.map(|evacuation| message::Evacuation {
        domain: evacuation.domain.as_str().to_owned(),
        since_ms: evacuation.since.as_millis(),
        left_ms: evacuation.left.map(millis),
    });
    message::Evacuations {
        era: evacuations.position.era,
        offset: evacuations.position.offset,
        domains: domains.collect(),
    }
}

fn decode_evacuations(evacuations: message::Evacuations) -> Evacuations {
    let domains = evacuations.domains.into_iter();
    let domains = domains.map(|evacuation| Evacuation {
        domain: evacuation.domain.into(),
        since: Stamp::from_millis(evacuation.since_ms),
        left: evacuation.left_ms.map(Duration::from_millis),
    });
    Evacuations {
        position: Position {
            era: evacuations.era,
            offset: evacuations.offset,
        },
        domains: domains.collect(),
    }
}

/// Returns the era of the wanted positions. An instance drops positions of earlier eras, so all are of the same one.
fn wanted_era(wanted: Wanted) -> u64 {
    let positions = [wanted.servers, wanted.instances, wanted.crashes];
    let eras = positions.iter().flatten().map(|position| position.era);
    eras.max().unwrap_or_default()
}

pub(crate) fn encode_origins(records: Vec<origins::Record>) -> message::Origins {
    let origins = records.into_iter().map(encode_origin);
    message::Origins {
        origins: origins.collect(),
    }
}

fn encode_origin(record: origins::Record) -> message::Origin {
    let origin = message::Origin {
        stream: record.stream.as_str().to_owned(),
        pool: record.origin.pool.as_str().to_owned(),
        left_ms: millis(record.ttl),
        ..message::Origin::default()
    };
    match record.origin.software {
        Software::Version(version) => message::Origin {
            version: version.as_str().to_owned(),
            ..origin
        },
        Software::Run(run) => message::Origin {
            server: run.name.as_str().to_owned(),
            started_ms: run.start.as_millis(),
            ..origin
        },
    }
}

pub(crate) fn decode_origins(message: message::Origins) -> Vec<origins::Record> {
    message.origins.into_iter().map(decode_origin).collect()
}

fn decode_origin(origin: message::Origin) -> origins::Record {
    let software = if origin.version.is_empty() {
        let start = Stamp::from_millis(origin.started_ms);
        Software::Run(Incarnation::new(origin.server, start))
    } else {
        Software::Version(origin.version.into())
    };
    origins::Record {
        stream: origin.stream.into(),
        origin: Origin {
            pool: origin.pool.into(),
            software,
        },
        ttl: Duration::from_millis(origin.left_ms),
    }
}

pub(crate) fn encode_streams(streams: &[Name]) -> message::Streams {
    let streams = streams.iter().map(|stream| stream.as_str().to_owned());
    message::Streams {
        streams: streams.collect(),
    }
}

pub(crate) fn decode_streams(message: message::Streams) -> Vec<Name> {
    message.streams.into_iter().map(Name::from).collect()
}

fn encode_limit(limit: Limit) -> message::Limit {
    message::Limit {
        server: limit.server.as_str().to_owned(),
        started_ms: limit.started_at_ms,
        rate: limit.rate,
        brittle: limit.brittle,
        sent_age_ms: millis(limit.sent_age),
        received_age_ms: millis(limit.received_age),
        balance: limit.balance.map(|balance| message::Balance {
            granter: balance.granter,
            rate: balance.rate,
            time_us: micros(balance.time),
        }),
    }
}

/// Decodes a statement, or nothing if its rate is no rate.
fn decode_limit(limit: message::Limit) -> Option<Limit> {
    let is_valid = |rate: f64| rate.is_finite() && rate >= 0.0;
    let is_valid = limit.rate.is_none_or(is_valid) && limit.brittle.is_none_or(is_valid);
    is_valid.then(|| Limit {
        server: limit.server.into(),
        started_at_ms: limit.started_ms,
        rate: limit.rate,
        brittle: limit.brittle,
        sent_age: Duration::from_millis(limit.sent_age_ms),
        received_age: Duration::from_millis(limit.received_age_ms),
        balance: limit.balance.and_then(decode_balance),
    })
}

/// Decodes a balance, or nothing if its rate is no rate.
fn decode_balance(balance: message::Balance) -> Option<Balance> {
    (balance.rate.is_finite() && balance.rate >= 0.0).then(|| Balance {
        granter: balance.granter,
        rate: balance.rate,
        time: Duration::from_micros(balance.time_us),
    })
}

pub(crate) fn encode_ask(ask: Ask) -> message::Ask {
    message::Ask {
        limit: Some(encode_limit(ask.limit)),
        max_wait_ms: millis(ask.demand.max_wait),
        duration_ms: millis(ask.demand.duration),
        cold: ask.cold.map(encode_cold),
        requests: ask.demand.requests,
    }
}

pub(crate) fn decode_ask(ask: message::Ask) -> Option<Ask> {
    Some(Ask {
        limit: decode_limit(ask.limit?)?,
        demand: Demand {
            requests: ask.requests.clamp(1, MAX_REQUESTS),
            max_wait: Duration::from_millis(ask.max_wait_ms),
            duration: Duration::from_millis(ask.duration_ms),
        },
        cold: ask.cold.map(decode_cold),
    })
}

fn encode_cold(report: Report) -> message::Cold {
    message::Cold {
        server: report.server.as_str().to_owned(),
        started_ms: report.started_at_ms,
        left_ms: millis(report.left),
        sequence: report.sequence,
        event_age_ms: report.event_age.map(millis),
    }
}

fn decode_cold(cold: message::Cold) -> Report {
    // No server is cold for longer, and a larger number must not keep one from being used.
    let left = Duration::from_millis(cold.left_ms).min(MAX_COLD_TIME);
    Report {
        server: cold.server.into(),
        started_at_ms: cold.started_ms,
        left,
        sequence: cold.sequence,
        event_age: cold.event_age_ms.map(Duration::from_millis),
    }
}

/// The largest number of turns that another instance may ask for at a time.
const MAX_REQUESTS: u32 = 8;

/// The longest cold time that another instance may report.
const MAX_COLD_TIME: Duration = Duration::from_secs(60);

pub(crate) fn encode_grant(grant: Grant) -> message::Grant {
    let (requests, wait_us, next_us) = match grant.turn {
        Turn::Granted {
            requests,
            wait,
            next_in,
        } => (requests, Some(micros(wait)), micros(next_in)),
        Turn::Denied { retry_in } => (0, None, micros(retry_in)),
    };
    message::Grant {
        wait_us,
        next_us,
        limit: grant.limit.map(encode_limit),
        requests,
    }
}

pub(crate) fn decode_grant(grant: message::Grant) -> Grant {
    let next = Duration::from_micros(grant.next_us);
    Grant {
        turn: match grant.wait_us {
            Some(wait) => Turn::Granted {
                requests: grant.requests.max(1),
                wait: Duration::from_micros(wait),
                next_in: next,
            },
            None => Turn::Denied { retry_in: next },
        },
        limit: grant.limit.and_then(decode_limit),
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn encode_departure(departure: Departure) -> message::Departure {
    message::Departure {
        server: departure.server.as_str().to_owned(),
        started_ms: departure.started_at_ms,
    }
}

fn decode_departure(departure: message::Departure) -> Departure {
    Departure {
        server: departure.server.into(),
        started_at_ms: departure.started_ms,
    }
}

pub(crate) fn encode_lists(lists: Lists) -> message::Contents {
    message::Contents {
        servers: lists.topics.servers.map(encode_answer),
        instances: lists.topics.instances.map(encode_answer),
        crashes: lists.topics.crashes.map(encode_answer),
        read_age_ms: millis(lists.read_age),
    }
}

pub(crate) fn decode_lists(contents: message::Contents) -> Lists {
    let decode = |news: Option<message::News>| news.map(|news| decode_answer(news, true));
    Lists {
        topics: Topics {
            servers: decode(contents.servers),
            instances: decode(contents.instances),
            crashes: decode(contents.crashes),
        },
        read_age: Duration::from_millis(contents.read_age_ms),
    }
}

fn encode_answer(answer: Answer) -> message::News {
    let changes = match answer {
        Answer::Changes(changes) => changes,
        Answer::Gap => {
            return message::News {
                gap: true,
                ..Default::default()
            };
        }
    };
    let entries = changes.records.into_iter().map(|record| message::Entry {
        key: record.key.as_str().to_owned(),
        value: record.value.map(Vec::from).unwrap_or_default(),
        offset: record.offset,
    });
    message::News {
        next: changes.next.offset,
        era: changes.next.era,
        gap: false,
        entries: entries.collect(),
    }
}

fn decode_answer(news: message::News, is_complete: bool) -> Answer {
    if news.gap {
        return Answer::Gap;
    }
    let records = news.entries.into_iter().map(|entry| Record {
        key: entry.key.into(),
        offset: entry.offset,
        value: (!entry.value.is_empty()).then(|| Bytes::from(entry.value)),
    });
    Answer::Changes(Changes {
        is_complete,
        next: Position {
            era: news.era,
            offset: news.next,
        },
        records: records.collect(),
    })
}

fn encode_cached_chain(cached: CachedChain) -> message::Kept {
    message::Kept {
        server: cached.server.as_str().to_owned(),
        chain: cached.chain,
    }
}

fn decode_cached_chain(kept: message::Kept) -> CachedChain {
    CachedChain {
        server: kept.server.into(),
        chain: kept.chain,
    }
}

pub(crate) fn decode_heartbeat(pulse: message::Pulse) -> Heartbeat {
    let loads = pulse.lines.into_iter().map(|line| EngineLoad {
        server: line.server.into(),
        tokens: line.tokens,
        running: line.running,
    });
    let era = pulse.era;
    let position = |offset| Position { era, offset };
    let decode_changes = |news| decode_answer(news, false);
    Heartbeat {
        name: pulse.name.into(),
        leaving: pulse.leaving,
        loads: loads.collect(),
        config_version: pulse.config,
        cached_chains: pulse.kept.into_iter().map(decode_cached_chain).collect(),
        wanted: Wanted {
            servers: pulse.follow.map(position),
            instances: pulse.follow_instances.map(position),
            crashes: pulse.follow_crashes.map(position),
        },
        topics: Topics {
            servers: pulse.news.map(decode_changes),
            instances: pulse.instances.map(decode_changes),
            crashes: pulse.crashes.map(decode_changes),
        },
        read_age: pulse.read_age_ms.map(Duration::from_millis),
        store_recovered: pulse.regained_ms.map(Duration::from_millis),
        departures: pulse.departures.into_iter().map(decode_departure).collect(),
        limits: pulse.limits.into_iter().filter_map(decode_limit).collect(),
        is_cut_off: pulse.cut_off,
        speeds: pulse.speeds.into_iter().map(decode_speed).collect(),
        backlogs: backlogs::decode(pulse.backlogs),
        cold: pulse.cold.into_iter().map(decode_cold).collect(),
        evacuations: pulse.evacuations.map(decode_evacuations),
    }
}

pub(crate) fn encode_handles(handles: &[Handle]) -> message::Handles {
    message::Handles {
        handles: handles.iter().map(encode_handle).collect(),
    }
}

pub(crate) fn decode_handles(handles: message::Handles) -> Result<Vec<Handle>, Error> {
    handles.handles.into_iter().map(decode_handle).collect()
}

/// The address that earlier builds get for a server. They would call it without naming the server.
const NO_ADDRESS: &str = "0.0.0.0:0";

fn encode_handle(handle: &Handle) -> message::Handle {
    let (server, started_ms) = match &handle.maker {
        Some(maker) => (maker.name.as_str().to_owned(), maker.start.as_millis()),
        None => Default::default(),
    };
    message::Handle {
        maker: NO_ADDRESS.to_owned(),
        text: handle.text.as_str().to_owned(),
        server,
        started_ms,
    }
}

fn decode_handle(handle: message::Handle) -> Result<Handle, Error> {
    let address = handle.maker.parse::<core::net::SocketAddr>();
    address.map_err(|_| Error::Malformed("the maker of a result is no address"))?;
    let start = Stamp::from_millis(handle.started_ms);
    let maker = Incarnation::new(handle.server, start);
    Ok(Handle {
        maker: Some(maker).filter(|maker| !maker.name.as_str().is_empty()),
        text: handle.text.into(),
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
