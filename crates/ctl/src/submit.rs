//! Appends a signed record.

use base::Digest;
use bundle::{Record, approval};
use platform::Log;

use crate::{Error, Receipt, Session, View, append::append};

/// Appends a signed record, unless the view shows that it would be rejected.
///
/// # Errors
///
/// - `Outage`: nothing was changed.
/// - `Refused`: the record was rejected, or would be.
/// - `Unknown`: the record may be in the log.
///
/// # Examples
///
/// ```no_run
/// # async fn run(session: ctl::Session<'_, platform::Http>, record: bundle::Record) -> Result<(), ctl::Error> {
/// let view = ctl::View::read(session.log, &session.roots).await?.require_synced()?;
/// let receipt = ctl::submit(&session, &view, record).await?;
/// println!("{:?}", receipt.offset);
/// # Ok(()) }
/// ```
pub async fn submit<L: Log>(
    session: &Session<'_, L>,
    view: &View,
    record: Record,
) -> Result<Receipt, Error> {
    let (digest, version) = bundle_of(view, &record)?;
    view.preview(&record)?;
    let receipt = Receipt {
        digest,
        version,
        offset: None,
        repeated: false,
        record,
    };
    append(session, view, receipt).await
}

/// Returns the digest and the version of the bundle that a record is about.
fn bundle_of(view: &View, record: &Record) -> Result<(Digest, u64), Error> {
    match record {
        Record::Publish(publish) => Ok((publish.digest, publish.version)),
        Record::SignOff(sign_off) => version_of(view, sign_off.digest),
        Record::RollOut(order) => version_of(view, order.digest),
        Record::Carry(carry) => {
            let position = carry.proof.position();
            Ok((position.digest, position.version))
        }
    }
}

fn version_of(view: &View, digest: Digest) -> Result<(Digest, u64), Error> {
    let proposal = view.projection.proposal(&digest);
    let version = proposal.map(|proposal| proposal.approval.version);
    let in_force = view
        .projection
        .position()
        .filter(|now| now.digest == digest);
    version
        .or(in_force.map(|now| now.version))
        .map(|version| (digest, version))
        .ok_or_else(|| approval::Fault::Proposal(digest).into())
}
