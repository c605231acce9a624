//! Puts a bundle in force.

use base::Digest;
use bundle::{
    Record, approval,
    record::RollOut,
    sign::{Key, Message},
};
use platform::Log;

use crate::{Error, Receipt, Session, View, publish, sign_off, submit, view::name_of};

/// Puts a signed-off bundle in force, provided that its base is in force at the offset of the record.
///
/// # Errors
///
/// - `Usage`: the key is not that of a signer in force.
/// - `Outage`: nothing was changed.
/// - `Refused`: another bundle was rolled out first, sign-offs are missing, or no open proposal
///   has the digest.
/// - `Unknown`: the record may be in the log.
///
/// # Examples
///
/// ```no_run
/// # async fn run(session: ctl::Session<'_, platform::Http>, digest: base::Digest) -> Result<(), ctl::Error> {
/// let key = bundle::sign::Key::example("author");
/// ctl::roll_out(&session, digest, None, &key, 7).await?;
/// # Ok(()) }
/// ```
pub async fn roll_out<L: Log>(
    session: &Session<'_, L>,
    digest: Digest,
    base: Option<Digest>,
    key: &Key,
    nonce: u64,
) -> Result<Receipt, Error> {
    let view = View::read(session.log, &session.roots)
        .await?
        .require_synced()?;
    let in_force = view.projection.position().map(|position| position.digest);
    if in_force != base {
        return Err(approval::Fault::Base {
            named: base,
            in_force,
        }
        .into());
    }
    let proposal = view
        .projection
        .proposal(&digest)
        .ok_or(approval::Fault::Proposal(digest))?;
    let record = Record::RollOut(RollOut {
        digest,
        base,
        author: name_of(&view.authority(proposal)?, key)?,
        nonce,
        signature: key.sign(&Message::roll_out(base, digest, nonce)),
    });
    submit(session, &view, record).await
}

/// Publishes, signs off and rolls out a bundle, for demos and tests.
///
/// The two keys are used as the root keys.
///
/// # Errors
///
/// As for [`publish()`], [`sign_off()`] and [`roll_out`].
///
/// # Examples
///
/// ```no_run
/// # async fn run(log: platform::Http, text: &str) -> Result<(), ctl::Error> {
/// use bundle::sign::Key;
/// ctl::roll_out_all(&log, text, &Key::example("author"), &Key::example("steward")).await?;
/// # Ok(()) }
/// ```
pub async fn roll_out_all<L: Log>(
    log: &L,
    text: &str,
    author: &Key,
    steward: &Key,
) -> Result<Receipt, Error> {
    let session = Session {
        appender: "example".into(),
        log,
        roots: vec![author.public(), steward.public()],
        dry_run: false,
    };
    let published = publish(&session, "bundle", text, author).await?;
    sign_off(&session, published.digest, steward).await?;
    let view = View::read(log, &session.roots).await?.require_synced()?;
    let base = view.projection.position().map(|position| position.digest);
    let nonce = published.digest.prefix();
    roll_out(&session, published.digest, base, author, nonce).await
}
