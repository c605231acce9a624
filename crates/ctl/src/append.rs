//! Appends a record and determines its effect.

use core::time::Duration;
use std::time::SystemTime;

use base::Stamp;
use bundle::{STREAM, event::Event, record::Note};
use platform::{Log, log};

use crate::{Error, Receipt, Session, View, view::read_page};

/// The number of searches for the appended record after a lost answer.
const MAX_SEARCHES: u32 = 5;

/// The interval between searches.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);

/// Appends a record and returns its effect in the log.
///
/// # Errors
///
/// - `Outage`: the record is not in the log and will not be appended.
/// - `Refused`: the record is in the log and was rejected.
/// - `Unknown`: the record may be in the log.
pub(crate) async fn append<L: Log>(
    session: &Session<'_, L>,
    before: &View,
    receipt: Receipt,
) -> Result<Receipt, Error> {
    if session.dry_run {
        return Ok(receipt);
    }
    let note = Note {
        at: now(),
        by: session.appender.clone(),
    };
    let body = receipt.record.to_json_with(Some(&note));
    let offset = match session.log.append(STREAM, body.clone()).await {
        Ok(offset) => offset,
        Err(log::Error::Refused(reason)) => return Err(Error::Outage(reason)),
        Err(log::Error::Unanswered(reason)) => {
            search(session.log, before.projection.next(), &body, &reason).await?
        }
    };
    resolve_effect(session, offset, receipt).await
}

/// Searches for the appended record by its text, which is unique because of its signature.
async fn search<L: Log>(log: &L, from: u64, body: &str, reason: &str) -> Result<u64, Error> {
    for attempt in 0..MAX_SEARCHES {
        if attempt > 0 {
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
        if let Some(offset) = search_once(log, from, body).await {
            return Ok(offset);
        }
    }
    Err(Error::Unknown(format!(
        "the append's answer was lost ({reason}) and the record is not in the log yet"
    )))
}

async fn search_once<L: Log>(log: &L, mut from: u64, body: &str) -> Option<u64> {
    loop {
        let page = read_page(log, from).await.ok()?;
        if let Some(record) = page.records.iter().find(|record| record.body == body) {
            return Some(record.offset);
        }
        from = page.records.last()?.offset + 1;
    }
}

/// Returns the wall-clock time.
pub(crate) fn now() -> Stamp {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    Stamp::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Reads the log to its end and returns the effect of the record at an offset.
async fn resolve_effect<L: Log>(
    session: &Session<'_, L>,
    offset: u64,
    receipt: Receipt,
) -> Result<Receipt, Error> {
    let view = View::read(session.log, &session.roots)
        .await
        .map_err(|error| {
            Error::Unknown(format!(
                "the record is at offset {offset}, but what it did can't be read: {error}"
            ))
        })?;
    let receipt = Receipt {
        offset: Some(offset),
        ..receipt
    };
    match view.event_at(offset) {
        Some(Event::Refused { fault, .. }) => Err(Error::Refused(fault.clone())),
        Some(Event::Repeated { .. }) => Ok(Receipt {
            repeated: true,
            ..receipt
        }),
        Some(_) => Ok(receipt),
        None => Err(Error::Unknown(format!(
            "the record is at offset {offset}, but the log doesn't show what it did"
        ))),
    }
}
