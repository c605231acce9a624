//! One append, and what became of it.

use core::time::Duration;
use std::time::SystemTime;

use base::Stamp;
use bundle::{STREAM, event::Event, record::Note};
use platform::{Log, log};

use crate::{Error, Receipt, Session, View, view::read_page};

/// Looks for an own record after a lost answer.
const LOOKS: u32 = 5;

/// The pause between looks.
const LOOK_PAUSE: Duration = Duration::from_millis(300);

/// Appends a record and tells what it did in the log.
///
/// # Errors
///
/// - `Outage`: the record is not in the log and never will be.
/// - `Refused`: the record is in the log and counts for nothing.
/// - `Unknown`: the record may be in the log.
pub(crate) async fn append<L: Log>(
    session: &Session<'_, L>,
    before: &View,
    done: Receipt,
) -> Result<Receipt, Error> {
    if session.dry_run {
        return Ok(done);
    }
    let note = Note {
        at: now(),
        by: session.appender.clone(),
    };
    let body = done.record.to_json_with(Some(&note));
    let offset = match session.log.append(STREAM, body.clone()).await {
        Ok(offset) => offset,
        Err(log::Error::Refused(reason)) => return Err(Error::Outage(reason)),
        Err(log::Error::Unanswered(reason)) => {
            find(session.log, before.projection.next(), &body, &reason).await?
        }
    };
    judge(session, offset, done).await
}

/// Looks for an own record; every record differs by its signature, so its text is enough.
async fn find<L: Log>(log: &L, from: u64, body: &str, reason: &str) -> Result<u64, Error> {
    for look in 0..LOOKS {
        if look > 0 {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        if let Some(offset) = look_once(log, from, body).await {
            return Ok(offset);
        }
    }
    Err(Error::Unknown(format!(
        "the append's answer was lost ({reason}) and the record is not in the log yet"
    )))
}

async fn look_once<L: Log>(log: &L, mut from: u64, body: &str) -> Option<u64> {
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

async fn judge<L: Log>(
    session: &Session<'_, L>,
    offset: u64,
    done: Receipt,
) -> Result<Receipt, Error> {
    let view = View::read(session.log, &session.roots)
        .await
        .map_err(|error| {
            Error::Unknown(format!(
                "the record is at offset {offset}, but what it did can't be read: {error}"
            ))
        })?;
    let done = Receipt {
        offset: Some(offset),
        ..done
    };
    match view.event_at(offset) {
        Some(Event::Refused { fault, .. }) => Err(Error::Refused(fault.clone())),
        Some(Event::Repeated { .. }) => Ok(Receipt {
            repeated: true,
            ..done
        }),
        Some(_) => Ok(done),
        None => Err(Error::Unknown(format!(
            "the record is at offset {offset}, but the log doesn't show what it did"
        ))),
    }
}
