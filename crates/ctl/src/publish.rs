//! Proposes a bundle.

use std::sync::Arc;

use bundle::{
    Document, Record, check,
    delta::Delta,
    record::{Content, Publish},
    sign::{Key, Message},
};
use platform::Log;

use crate::{Error, Receipt, Session, View, submit, view::name_of};

/// The maximum size of a bundle that is sent as whole TOML text, in bytes.
const MAX_WHOLE_BYTES: usize = 64 * 1024;

/// Checks a bundle and proposes it to replace the one in force.
///
/// # Errors
///
/// - `Faults`: the bundle has faults; nothing was appended.
/// - `Usage`: the key is not that of a signer in force.
/// - `Outage`: nothing was changed.
/// - `Refused`: the version is not above the one in force, or another bundle was rolled out.
/// - `Unknown`: the record may be in the log.
///
/// # Examples
///
/// ```no_run
/// # async fn run(log: platform::Http, text: &str) -> Result<(), ctl::Error> {
/// use bundle::sign::Key;
/// let key = Key::example("author");
/// let session = ctl::Session { log: &log, roots: vec![key.public()], dry_run: false, appender: "example".into() };
/// let receipt = ctl::publish(&session, "compas.toml", text, &key).await?;
/// println!("{}", receipt.digest);
/// # Ok(()) }
/// ```
pub async fn publish<L: Log>(
    session: &Session<'_, L>,
    file: &str,
    text: &str,
    key: &Key,
) -> Result<Receipt, Error> {
    let bundle = check::parse(file, text).map_err(Error::Faults)?;
    let document = Document::from_toml(text).map_err(|error| Error::Usage(error.to_string()))?;
    let head = document
        .head()
        .map_err(|error| Error::Usage(error.to_string()))?;
    let view = View::read(session.log, &session.roots)
        .await?
        .require_synced()?;
    let authority = view.projection.head().unwrap_or(&head);
    let base = view
        .projection
        .document()
        .map(Arc::as_ref)
        .map(Document::digest);
    let digest = document.digest();
    let record = Record::Publish(Publish {
        version: bundle.version,
        base,
        digest,
        author: name_of(authority, key)?,
        content: smallest_content(view.projection.document(), &document, text),
        signature: key.sign(&Message::publish(bundle.version, base, digest)),
    });
    submit(session, &view, record).await
}

/// Returns the smaller of the delta against the base and the whole text.
///
/// A large bundle is always sent as a delta, since an instance needs far less memory to parse it.
fn smallest_content(base: Option<&Arc<Document>>, document: &Document, text: &str) -> Content {
    let empty = Document::default();
    let whole = Content::Whole(text.to_owned());
    let delta = Content::Delta(Delta::between(base.map_or(&empty, AsRef::as_ref), document));
    if delta.encoded_len() < whole.encoded_len() || text.len() > MAX_WHOLE_BYTES {
        delta
    } else {
        whole
    }
}
