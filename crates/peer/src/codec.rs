//! Summaries as protocol buffers.

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
    burn::{burn_in, burn_out, stages_in, stages_out, tally_in, tally_out},
    listed::{listed_in, listed_out},
};
use crate::Error;

/// Encodes a summary; versions become lags behind the newest one.
///
/// # Examples
///
/// ```
/// use member::Summary;
/// use wire::Message as _;
/// let summary = Summary { roster: 1, versions: vec![9_000_000; 50], ..Summary::default() };
/// let message = peer::codec::encode(&summary);
/// assert!(message.encoded_len() < 80);
/// assert_eq!(peer::codec::decode(message), Ok(summary));
/// ```
pub fn encode(summary: &summary::Summary) -> wire::Summary {
    let base = newest(summary);
    wire::Summary {
        sender: summary.sender.0,
        roster: summary.origins_digest,
        base,
        lags: summary
            .versions
            .iter()
            .map(|version| lag(base, *version))
            .collect(),
        origins: summary.origins.iter().map(|id| id.0).collect(),
        deltas: summary
            .deltas
            .iter()
            .map(|delta| delta_out(base, delta))
            .collect(),
        leaving: summary.leaving.iter().map(leaving_out).collect(),
        facts: summary.facts.iter().map(fact_row).collect(),
    }
}

/// Returns the newest version in a summary; an introduction has rows that are newer than what it vouches for.
fn newest(summary: &summary::Summary) -> u64 {
    let rows = summary.deltas.iter().flat_map(|delta| &delta.rows);
    let versions = summary.versions.iter().copied();
    let newest = versions.chain(rows.map(|row| row.version)).max();
    newest.unwrap_or_default()
}

/// Decodes a summary.
///
/// # Errors
///
/// - A row, digest or count is out of its range.
pub fn decode(message: wire::Summary) -> Result<summary::Summary, Error> {
    let base = message.base;
    Ok(summary::Summary {
        sender: Id(message.sender),
        origins_digest: message.roster,
        versions: message.lags.iter().map(|lag| version(base, *lag)).collect(),
        origins: message.origins.into_iter().map(Id).collect(),
        deltas: all(message.deltas, |delta| delta_in(base, delta))?,
        leaving: message.leaving.into_iter().map(leaving_in).collect(),
        facts: all(message.facts, |row| match body_in(row.body)? {
            Body::Whole(fact) => Ok(fact),
            Body::Load(_) | Body::Withdrawn => Err(Error::Malformed("a fact without content")),
        })?,
    })
}

/// Stands for a version of 0, of which nothing is held.
const NOTHING: u32 = u32::MAX;

/// Returns the lag of a version; one that is too far behind to tell comes out younger, never as nothing.
fn lag(base: u64, version: u64) -> u32 {
    match version {
        0 => NOTHING,
        _ => u32::try_from(base - version)
            .unwrap_or(u32::MAX)
            .min(NOTHING - 1),
    }
}

const fn version(base: u64, lag: u32) -> u64 {
    match lag {
        NOTHING => 0,
        lag => base.saturating_sub(lag as u64),
    }
}

fn delta_out(base: u64, delta: &summary::Delta) -> wire::Delta {
    wire::Delta {
        origin: number(delta.origin),
        rows: delta.rows.iter().map(|row| row_out(base, row)).collect(),
    }
}

fn delta_in(base: u64, delta: wire::Delta) -> Result<summary::Delta, Error> {
    let origin =
        usize::try_from(delta.origin).map_err(|_| Error::Malformed("an origin out of range"))?;
    let rows = all(delta.rows, |row| {
        Ok(summary::Row {
            slot: row.slot,
            version: version(base, row.lag),
            body: body_in(row.body)?,
        })
    })?;
    Ok(summary::Delta { origin, rows })
}

fn row_out(base: u64, row: &summary::Row) -> wire::Row {
    wire::Row {
        slot: row.slot,
        lag: lag(base, row.version),
        body: match &row.body {
            Body::Load(load) => Some(row::Body::Load(load_out(load))),
            Body::Whole(fact) => Some(fact_out(fact)),
            Body::Withdrawn => None,
        },
    }
}

fn fact_row(fact: &Fact) -> wire::Row {
    wire::Row {
        body: Some(fact_out(fact)),
        ..wire::Row::default()
    }
}

fn fact_out(fact: &Fact) -> row::Body {
    match fact {
        Fact::Burn(burn) => row::Body::Burn(burn_out(burn)),
        Fact::Tally(tally) => row::Body::Tally(tally_out(tally)),
        Fact::Demand(demand) => row::Body::Demand(wire::Demand {
            account: demand.account.to_string(),
            asked: demand.asked,
            admitted: demand.admitted,
        }),
        Fact::Domain(domain) => row::Body::Domain(domain_out(domain)),
        Fact::Instance(instance) => row::Body::Instance(instance_out(instance)),
        Fact::Listed(line) => row::Body::Listed(listed_out(line)),
        Fact::Position(position) => row::Body::Position(position_out(position)),
        Fact::Reading(count) => row::Body::Reading(wire::Reading { count: *count }),
        Fact::Server(server) => row::Body::Server(server_out(server)),
        Fact::Stages(stages) => row::Body::Stages(stages_out(stages)),
        Fact::Suspect(suspect) => row::Body::Suspect(encode_suspect(suspect)),
    }
}

fn body_in(body: Option<row::Body>) -> Result<Body, Error> {
    let fact = match body {
        None => return Ok(Body::Withdrawn),
        Some(row::Body::Load(load)) => return Ok(Body::Load(load_in(load))),
        Some(row::Body::Burn(burn)) => Fact::Burn(burn_in(burn)),
        Some(row::Body::Tally(tally)) => Fact::Tally(tally_in(tally)),
        Some(row::Body::Demand(demand)) => Fact::Demand(fact::Demand {
            account: demand.account.into(),
            asked: demand.asked,
            admitted: demand.admitted,
        }),
        Some(row::Body::Domain(domain)) => Fact::Domain(domain_in(domain)?),
        Some(row::Body::Instance(instance)) => Fact::Instance(instance_in(instance)),
        Some(row::Body::Listed(line)) => Fact::Listed(listed_in(line)),
        Some(row::Body::Position(position)) => Fact::Position(position_in(position)?),
        Some(row::Body::Reading(reading)) => Fact::Reading(reading.count),
        Some(row::Body::Server(server)) => Fact::Server(server_in(server)),
        Some(row::Body::Stages(stages)) => Fact::Stages(stages_in(stages)),
        Some(row::Body::Suspect(suspect)) => Fact::Suspect(decode_suspect(suspect)?),
    };
    Ok(Body::Whole(fact))
}

fn leaving_out(incarnation: &Incarnation) -> wire::Leaving {
    wire::Leaving {
        name: incarnation.name.to_string(),
        start: incarnation.start.as_millis(),
    }
}

fn leaving_in(leaving: wire::Leaving) -> Incarnation {
    incarnation(leaving.name, leaving.start)
}

fn incarnation(name: String, start: u64) -> Incarnation {
    Incarnation::new(Name::from(name), Stamp::from_millis(start))
}

fn instance_out(instance: &fact::Instance) -> wire::Instance {
    wire::Instance {
        name: instance.incarnation.name.to_string(),
        start: instance.incarnation.start.as_millis(),
        domain: instance.domain.to_string(),
        address: instance.address.to_string(),
        state: state_out(instance.state).into(),
    }
}

fn instance_in(instance: wire::Instance) -> fact::Instance {
    let state = state_in(instance.state());
    fact::Instance {
        incarnation: incarnation(instance.name, instance.start),
        domain: instance.domain.into(),
        address: instance.address.into(),
        state,
    }
}

fn server_out(server: &fact::Server) -> wire::Server {
    wire::Server {
        name: server.incarnation.name.to_string(),
        start: server.incarnation.start.as_millis(),
        domain: server.domain.to_string(),
        address: server.address.to_string(),
        pool: server.pool.to_string(),
        state: state_out(server.state).into(),
        load: server.load.as_ref().map(load_out),
    }
}

fn server_in(server: wire::Server) -> fact::Server {
    let state = state_in(server.state());
    fact::Server {
        incarnation: incarnation(server.name, server.start),
        domain: server.domain.into(),
        address: server.address.into(),
        pool: server.pool.into(),
        state,
        load: server.load.map(load_in),
    }
}

const fn state_out(state: fact::State) -> wire::State {
    match state {
        fact::State::Live => wire::State::Live,
        fact::State::Leaving => wire::State::Leaving,
    }
}

const fn state_in(state: wire::State) -> fact::State {
    match state {
        wire::State::Live => fact::State::Live,
        wire::State::Leaving => fact::State::Leaving,
    }
}

fn load_out(load: &fact::Load) -> wire::Load {
    wire::Load {
        running: load.running,
        waiting: load.waiting,
        memory: load.memory,
        age_ms: u32::try_from(load.age.as_millis()).unwrap_or(u32::MAX),
    }
}

fn load_in(load: wire::Load) -> fact::Load {
    fact::Load {
        running: load.running,
        waiting: load.waiting,
        memory: load.memory,
        age: Duration::from_millis(load.age_ms.into()),
    }
}

fn domain_out(domain: &fact::Domain) -> wire::Domain {
    wire::Domain {
        name: domain.name.to_string(),
        version: domain.version,
        pools: domain.pools.iter().map(pool_out).collect(),
        instances: domain.instances.iter().map(instance_out).collect(),
        count: domain.count,
        leaving: domain.leaving,
        unheard: domain.unheard,
        positions: domain.positions.iter().map(position_out).collect(),
    }
}

fn domain_in(domain: wire::Domain) -> Result<fact::Domain, Error> {
    Ok(fact::Domain {
        name: domain.name.into(),
        version: domain.version,
        pools: domain.pools.into_iter().map(pool_in).collect(),
        instances: domain.instances.into_iter().map(instance_in).collect(),
        count: domain.count,
        leaving: domain.leaving,
        unheard: domain.unheard,
        positions: all(domain.positions, position_in)?,
    })
}

fn pool_out(pool: &fact::Pool) -> wire::Pool {
    wire::Pool {
        name: pool.name.to_string(),
        live: pool.live,
        leaving: pool.leaving,
        running: pool.running,
        waiting: pool.waiting,
    }
}

fn pool_in(pool: wire::Pool) -> fact::Pool {
    fact::Pool {
        name: pool.name.into(),
        live: pool.live,
        leaving: pool.leaving,
        running: pool.running,
        waiting: pool.waiting,
    }
}

fn position_out(position: &fact::Position) -> wire::Position {
    wire::Position {
        offset: position.offset,
        digest: position.digest.as_bytes().to_vec(),
    }
}

fn position_in(position: wire::Position) -> Result<fact::Position, Error> {
    Ok(fact::Position {
        offset: position.offset,
        digest: digest(&position.digest)?,
    })
}

/// Encodes what is known of a suspect content.
pub fn encode_suspect(suspect: &fact::Suspect) -> wire::Suspect {
    wire::Suspect {
        digest: suspect.digest.as_bytes().to_vec(),
        crashed: suspect.crashed.iter().map(|id| id.0).collect(),
        cleared: suspect.cleared,
    }
}

/// Decodes what is known of a suspect content.
///
/// # Errors
///
/// - The digest has another length.
pub fn decode_suspect(suspect: wire::Suspect) -> Result<fact::Suspect, Error> {
    Ok(fact::Suspect {
        digest: digest(&suspect.digest)?,
        crashed: suspect.crashed.into_iter().map(Id).collect(),
        cleared: suspect.cleared,
    })
}

fn digest(bytes: &[u8]) -> Result<Digest, Error> {
    let bytes =
        <[u8; 32]>::try_from(bytes).map_err(|_| Error::Malformed("a digest of another length"))?;
    Ok(bytes.into())
}

fn all<T, U>(items: Vec<T>, each: impl Fn(T) -> Result<U, Error>) -> Result<Vec<U>, Error> {
    items.into_iter().map(each).collect()
}

fn number(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
