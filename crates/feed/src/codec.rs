//! Conversions between the crate's types and the messages of `wire::feed`.

use core::time::Duration;

use base::Name;
use batch::{
    Shard,
    piece::{Handle, Outcome, Reason, Source},
};
use bytes::Bytes;
use site::route::Rank;
use wire::feed as message;

use crate::{CachedChain, Changes, Delegation, EngineLoad, Entry, Error, Heartbeat, Results};

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
    let results = results.into_iter().map(|outcome| match outcome {
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
        results: results.collect(),
    }
}

pub(crate) fn decode_results(results: message::Results) -> Result<Results, Error> {
    let results = results.results.into_iter().map(|result| {
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
    results.collect()
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
        follow: heartbeat.entries_from,
        news: heartbeat.entry_changes.map(encode_changes),
    }
}

fn encode_changes(changes: Changes) -> message::News {
    let entries = changes.entries.into_iter().map(|entry| message::Entry {
        key: entry.key.as_str().to_owned(),
        value: entry.value.map(Vec::from).unwrap_or_default(),
        offset: entry.offset,
    });
    message::News {
        next: changes.next_offset,
        entries: entries.collect(),
    }
}

fn decode_changes(news: message::News) -> Changes {
    let entries = news.entries.into_iter().map(|entry| Entry {
        key: entry.key.into(),
        value: (!entry.value.is_empty()).then(|| Bytes::from(entry.value)),
        offset: entry.offset,
    });
    Changes {
        next_offset: news.next,
        entries: entries.collect(),
    }
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
    Heartbeat {
        name: pulse.name.into(),
        leaving: pulse.leaving,
        loads: loads.collect(),
        config_version: pulse.config,
        cached_chains: pulse.kept.into_iter().map(decode_cached_chain).collect(),
        entries_from: pulse.follow,
        entry_changes: pulse.news.map(decode_changes),
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

fn encode_handle(handle: &Handle) -> message::Handle {
    message::Handle {
        maker: handle.address.to_string(),
        text: handle.text.as_str().to_owned(),
    }
}

fn decode_handle(handle: message::Handle) -> Result<Handle, Error> {
    let address = handle.maker.parse();
    Ok(Handle {
        address: address.map_err(|_| Error::Malformed("the maker of a result is no address"))?,
        text: handle.text.into(),
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
