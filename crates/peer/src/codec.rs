//! Encoding of summaries as protocol buffers.

mod burn;
mod listed;

use core::time::Duration;

use base::{Digest, Incarnation, Name, Stamp};
use member::{
    fact::{self, Fact, Id},
    summary::{self, Body},
};
use wire::row;

use self::{
    burn::{decode_burn, decode_stages, decode_tally, encode_burn, encode_stages, encode_tally},
    listed::{decode_listed, encode_listed},
};
use crate::Error;

/// Encodes a summary. Versions are written as lags behind the newest version, which takes fewer bytes.
///
/// # Examples
///
/// ```
/// use member::Summary;
/// use wire::Message as _;
/// let summary = Summary { origins_digest: 1, versions: vec![9_000_000; 50], ..Summary::default() };
/// let message = peer::codec::encode(&summary);
/// assert!(message.encoded_len() < 80);
/// assert_eq!(peer::codec::decode(message), Ok(summary));
/// ```
pub fn encode(summary: &summary::Summary) -> wire::Summary {
    let base = newest_version(summary);
    wire::Summary {
        sender: summary.sender.0,
        roster: summary.origins_digest,
        base,
        lags: summary
            .versions
            .iter()
            .map(|version| encode_lag(base, *version))
            .collect(),
        origins: summary.origins.iter().map(|id| id.0).collect(),
        deltas: summary
            .deltas
            .iter()
            .map(|delta| encode_delta(base, delta))
            .collect(),
        leaving: summary.leaving.iter().map(encode_leaving).collect(),
        facts: summary.facts.iter().map(encode_fact_row).collect(),
    }
}

/// Returns the newest version in a summary. Rows have to be included, as those of an introduction are newer than the
/// versions that it states.
fn newest_version(summary: &summary::Summary) -> u64 {
    let rows = summary.deltas.iter().flat_map(|delta| &delta.rows);
    let versions = summary.versions.iter().copied();
    let newest = versions.chain(rows.map(|row| row.version)).max();
    newest.unwrap_or_default()
}

/// Decodes a summary.
///
/// # Errors
///
/// - A row, digest or count is out of range.
pub fn decode(message: wire::Summary) -> Result<summary::Summary, Error> {
    let base = message.base;
    Ok(summary::Summary {
        sender: Id(message.sender),
        origins_digest: message.roster,
        versions: message
            .lags
            .iter()
            .map(|lag| decode_lag(base, *lag))
            .collect(),
        origins: message.origins.into_iter().map(Id).collect(),
        deltas: decode_all(message.deltas, |delta| decode_delta(base, delta))?,
        leaving: message.leaving.into_iter().map(decode_leaving).collect(),
        facts: decode_all(message.facts, |row| match decode_body(row.body)? {
            Body::Whole(fact) => Ok(fact),
            Body::Load(_) | Body::Withdrawn => Err(Error::Malformed("a fact without content")),
        })?,
    })
}

/// The lag that stands for version 0, which means that no version is held.
const NO_VERSION_LAG: u32 = u32::MAX;

/// Returns the lag of a version. A version that is too old for the range is encoded as a newer one, never as version 0.
fn encode_lag(base: u64, version: u64) -> u32 {
    match version {
        0 => NO_VERSION_LAG,
        _ => u32::try_from(base - version)
            .unwrap_or(u32::MAX)
            .min(NO_VERSION_LAG - 1),
    }
}

const fn decode_lag(base: u64, lag: u32) -> u64 {
    match lag {
        NO_VERSION_LAG => 0,
        lag => base.saturating_sub(lag as u64),
    }
}

fn encode_delta(base: u64, delta: &summary::Delta) -> wire::Delta {
    wire::Delta {
        origin: to_u32(delta.origin),
        rows: delta.rows.iter().map(|row| encode_row(base, row)).collect(),
    }
}

fn decode_delta(base: u64, delta: wire::Delta) -> Result<summary::Delta, Error> {
    let origin =
        usize::try_from(delta.origin).map_err(|_| Error::Malformed("an origin out of range"))?;
    let rows = decode_all(delta.rows, |row| {
        Ok(summary::Row {
            slot: row.slot,
            version: decode_lag(base, row.lag),
            body: decode_body(row.body)?,
        })
    })?;
    Ok(summary::Delta { origin, rows })
}

fn encode_row(base: u64, row: &summary::Row) -> wire::Row {
    wire::Row {
        slot: row.slot,
        lag: encode_lag(base, row.version),
        body: match &row.body {
            Body::Load(load) => Some(row::Body::Load(encode_load(load))),
            Body::Whole(fact) => Some(encode_fact(fact)),
            Body::Withdrawn => None,
        },
    }
}

fn encode_fact_row(fact: &Fact) -> wire::Row {
    wire::Row {
        body: Some(encode_fact(fact)),
        ..wire::Row::default()
    }
}

fn encode_fact(fact: &Fact) -> row::Body {
    match fact {
        Fact::Burn(burn) => row::Body::Burn(encode_burn(burn)),
        Fact::Tally(tally) => row::Body::Tally(encode_tally(tally)),
        Fact::Demand(demand) => row::Body::Demand(wire::Demand {
            account: demand.account.to_string(),
            asked: demand.asked,
            admitted: demand.admitted,
        }),
        Fact::Domain(domain) => row::Body::Domain(encode_domain(domain)),
        Fact::Instance(instance) => row::Body::Instance(encode_instance(instance)),
        Fact::Listed(listing) => row::Body::Listed(encode_listed(listing)),
        Fact::Position(position) => row::Body::Position(encode_position(position)),
        Fact::Reading(count) => row::Body::Reading(wire::Reading { count: *count }),
        Fact::Server(server) => row::Body::Server(encode_server(server)),
        Fact::Stages(stages) => row::Body::Stages(encode_stages(stages)),
        Fact::Suspect(suspect) => row::Body::Suspect(encode_suspect(suspect)),
    }
}

fn decode_body(body: Option<row::Body>) -> Result<Body, Error> {
    let fact = match body {
        None => return Ok(Body::Withdrawn),
        Some(row::Body::Load(load)) => return Ok(Body::Load(decode_load(load))),
        Some(row::Body::Burn(burn)) => Fact::Burn(decode_burn(burn)),
        Some(row::Body::Tally(tally)) => Fact::Tally(decode_tally(tally)),
        Some(row::Body::Demand(demand)) => Fact::Demand(fact::Demand {
            account: demand.account.into(),
            asked: demand.asked,
            admitted: demand.admitted,
        }),
        Some(row::Body::Domain(domain)) => Fact::Domain(decode_domain(domain)?),
        Some(row::Body::Instance(instance)) => Fact::Instance(decode_instance(instance)),
        Some(row::Body::Listed(listed)) => Fact::Listed(decode_listed(listed)),
        Some(row::Body::Position(position)) => Fact::Position(decode_position(position)?),
        Some(row::Body::Reading(reading)) => Fact::Reading(reading.count),
        Some(row::Body::Server(server)) => Fact::Server(decode_server(server)),
        Some(row::Body::Stages(stages)) => Fact::Stages(decode_stages(stages)),
        Some(row::Body::Suspect(suspect)) => Fact::Suspect(decode_suspect(suspect)?),
    };
    Ok(Body::Whole(fact))
}

fn encode_leaving(incarnation: &Incarnation) -> wire::Leaving {
    wire::Leaving {
        name: incarnation.name.to_string(),
        start: incarnation.start.as_millis(),
    }
}

fn decode_leaving(leaving: wire::Leaving) -> Incarnation {
    to_incarnation(leaving.name, leaving.start)
}

fn to_incarnation(name: String, start: u64) -> Incarnation {
    Incarnation::new(Name::from(name), Stamp::from_millis(start))
}

fn encode_instance(instance: &fact::Instance) -> wire::Instance {
    wire::Instance {
        name: instance.incarnation.name.to_string(),
        start: instance.incarnation.start.as_millis(),
        domain: instance.domain.to_string(),
        address: instance.address.to_string(),
        state: encode_state(instance.state).into(),
    }
}

fn decode_instance(instance: wire::Instance) -> fact::Instance {
    let state = decode_state(instance.state());
    fact::Instance {
        incarnation: to_incarnation(instance.name, instance.start),
        domain: instance.domain.into(),
        address: instance.address.into(),
        state,
    }
}

fn encode_server(server: &fact::Server) -> wire::Server {
    wire::Server {
        name: server.incarnation.name.to_string(),
        start: server.incarnation.start.as_millis(),
        domain: server.domain.to_string(),
        address: server.address.to_string(),
        pool: server.pool.to_string(),
        state: encode_state(server.state).into(),
        load: server.load.as_ref().map(encode_load),
    }
}

fn decode_server(server: wire::Server) -> fact::Server {
    let state = decode_state(server.state());
    fact::Server {
        incarnation: to_incarnation(server.name, server.start),
        domain: server.domain.into(),
        address: server.address.into(),
        pool: server.pool.into(),
        state,
        load: server.load.map(decode_load),
    }
}

const fn encode_state(state: fact::State) -> wire::State {
    match state {
        fact::State::Live => wire::State::Live,
        fact::State::Leaving => wire::State::Leaving,
    }
}

const fn decode_state(state: wire::State) -> fact::State {
    match state {
        wire::State::Live => fact::State::Live,
        wire::State::Leaving => fact::State::Leaving,
    }
}

fn encode_load(load: &fact::Load) -> wire::Load {
    wire::Load {
        running: load.running,
        waiting: load.waiting,
        memory: load.memory,
        age_ms: u32::try_from(load.age.as_millis()).unwrap_or(u32::MAX),
    }
}

fn decode_load(load: wire::Load) -> fact::Load {
    fact::Load {
        running: load.running,
        waiting: load.waiting,
        memory: load.memory,
        age: Duration::from_millis(load.age_ms.into()),
    }
}

fn encode_domain(domain: &fact::Domain) -> wire::Domain {
    wire::Domain {
        name: domain.name.to_string(),
        version: domain.version,
        pools: domain.pools.iter().map(encode_pool).collect(),
        instances: domain.instances.iter().map(encode_instance).collect(),
        count: domain.count,
        leaving: domain.leaving,
        unheard: domain.unheard,
        positions: domain.positions.iter().map(encode_position).collect(),
    }
}

fn decode_domain(domain: wire::Domain) -> Result<fact::Domain, Error> {
    Ok(fact::Domain {
        name: domain.name.into(),
        version: domain.version,
        pools: domain.pools.into_iter().map(decode_pool).collect(),
        instances: domain.instances.into_iter().map(decode_instance).collect(),
        count: domain.count,
        leaving: domain.leaving,
        unheard: domain.unheard,
        positions: decode_all(domain.positions, decode_position)?,
    })
}

fn encode_pool(pool: &fact::Pool) -> wire::Pool {
    wire::Pool {
        name: pool.name.to_string(),
        live: pool.live,
        leaving: pool.leaving,
        running: pool.running,
        waiting: pool.waiting,
    }
}

fn decode_pool(pool: wire::Pool) -> fact::Pool {
    fact::Pool {
        name: pool.name.into(),
        live: pool.live,
        leaving: pool.leaving,
        running: pool.running,
        waiting: pool.waiting,
    }
}

fn encode_position(position: &fact::Position) -> wire::Position {
    wire::Position {
        offset: position.offset,
        digest: position.digest.as_bytes().to_vec(),
    }
}

fn decode_position(position: wire::Position) -> Result<fact::Position, Error> {
    Ok(fact::Position {
        offset: position.offset,
        digest: decode_digest(&position.digest)?,
    })
}

/// Encodes the state of a content that is suspected of crashing servers.
pub fn encode_suspect(suspect: &fact::Suspect) -> wire::Suspect {
    wire::Suspect {
        digest: suspect.digest.as_bytes().to_vec(),
        crashed: suspect.crashed.iter().map(|id| id.0).collect(),
        cleared: suspect.cleared,
    }
}

/// Decodes the state of a content that is suspected of crashing servers.
///
/// # Errors
///
/// - The digest is not 32 bytes long.
pub fn decode_suspect(suspect: wire::Suspect) -> Result<fact::Suspect, Error> {
    Ok(fact::Suspect {
        digest: decode_digest(&suspect.digest)?,
        crashed: suspect.crashed.into_iter().map(Id).collect(),
        cleared: suspect.cleared,
    })
}

fn decode_digest(bytes: &[u8]) -> Result<Digest, Error> {
    let bytes =
        <[u8; 32]>::try_from(bytes).map_err(|_| Error::Malformed("a digest of another length"))?;
    Ok(bytes.into())
}

fn decode_all<T, U>(items: Vec<T>, each: impl Fn(T) -> Result<U, Error>) -> Result<Vec<U>, Error> {
    items.into_iter().map(each).collect()
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
