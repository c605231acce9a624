//! Signs a proposed bundle off.

use base::Digest;
use bundle::{
    Record, approval,
    record::SignOff,
    sign::{Key, Message},
};
use platform::Log;

use crate::{Error, Receipt, Session, View, submit, view::name_of};

/// Signs a proposed bundle off.
///
/// # Errors
///
/// - `Usage`: the key is not that of a signer in force.
/// - `Outage`: nothing was changed.
/// - `Refused`: no open proposal has the digest, or the signer is its author.
/// - `Unknown`: the record may be in the log.
///
/// # Examples
///
/// ```no_run
/// # async fn run(session: ctl::Session<'_, platform::Http>, digest: base::Digest) -> Result<(), ctl::Error> {
/// let key = bundle::sign::Key::example("steward");
/// ctl::sign_off(&session, digest, &key).await?;
/// # Ok(()) }
/// ```
pub async fn sign_off<L: Log>(
    session: &Session<'_, L>,
    digest: Digest,
    key: &Key,
) -> Result<Receipt, Error> {
    let view = View::read(session.log, &session.roots)
        .await?
        .require_synced()?;
    let proposal = view
        .projection
        .proposal(&digest)
        .ok_or(approval::Fault::Proposal(digest))?;
    let (version, base) = (proposal.approval.version, proposal.approval.base);
    let record = Record::SignOff(SignOff {
        digest,
        signer: name_of(&view.authority(proposal)?, key)?,
        signature: key.sign(&Message::sign_off(version, base, digest)),
    });
    submit(session, &view, record).await
}
