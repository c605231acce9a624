//! The canonical form of a bundle, and the digest over it.
//!
//! The digest covers the parsed text, whether or not a release knows all its fields, so instances of
//! different releases compute the same digest. It is built from a head (name, version, limits and
//! signers) and the items of all other sections, so signatures can be checked with the head alone.

use std::sync::OnceLock;

use base::{Digest, Name};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use toml::{Table, Value};

use crate::content::{Bundle, Limits, Signer};

/// The domain separator of the digest, with the version of its layout.
const DIGEST_DOMAIN: &[u8] = b"limpetstep bundle 1";

/// The fields that belong to the head.
const HEAD_FIELDS: [&str; 4] = ["limits", "name", "signers", "version"];

/// A bundle in its canonical form.
///
/// # Examples
///
/// ```
/// use bundle::Document;
/// let a = Document::from_toml("version = 1\nname = \"tiny\"").unwrap();
/// let b = Document::from_toml("name = 'tiny' # a comment\nversion = 1").unwrap();
/// assert_eq!(a.digest(), b.digest());
/// assert_eq!(a.bundle().unwrap().version, 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The head as JSON with sorted keys.
    pub head: Name,
    /// The items of all other sections, sorted by section and name.
    pub items: Vec<Item>,
}

/// One client account, pipeline, pool or other part of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The section, such as `accounts`.
    pub section: Name,
    /// The name within the section; empty if the section isn't a list of named tables.
    pub name: Name,
    /// The item as JSON with sorted keys.
    pub json: Name,
    #[serde(skip)]
    digest: Cache,
}

/// A cached digest. A new bundle shares most of its items with its base, so their digests are reused.
#[derive(Clone, Debug, Default)]
struct Cache(OnceLock<Digest>);

impl PartialEq for Cache {
    /// Caches are equal whether or not the digest was computed.
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Cache {}

/// The part of a bundle that is needed to check signatures.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Head {
    /// The name of the deployment.
    pub name: Name,
    /// The version.
    pub version: u64,
    /// The limits; those unknown to this release are ignored.
    #[serde(default)]
    limits: Quorum,
    /// The operators who may sign.
    #[serde(default)]
    pub signers: Vec<Signer>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
struct Quorum {
    sign_offs: usize,
}

impl Default for Quorum {
    fn default() -> Self {
        Self {
            sign_offs: Limits::default().sign_offs,
        }
    }
}

impl Head {
    /// Returns the number of sign-offs that a roll-out needs; at least one.
    pub fn sign_offs(&self) -> usize {
        self.limits.sign_offs.max(1)
    }

    /// Returns whether the signers and the number of sign-offs needed are the same.
    pub fn has_same_authority(&self, other: &Self) -> bool {
        self.signers == other.signers && self.sign_offs() == other.sign_offs()
    }

    /// Parses a head from JSON.
    ///
    /// # Errors
    ///
    /// A field is missing or of the wrong type.
    pub fn parse(json: &str) -> Result<Self, Error> {
        serde_json::from_str(json).map_err(|error| Error::Content(error.to_string()))
    }

    /// Finds the signer with a public key.
    pub fn signer_with(&self, public: &Digest) -> Option<&Signer> {
        self.signers
            .iter()
            .find(|signer| signer.public_key == *public)
    }

    /// Finds the signer with a name.
    pub fn signer(&self, name: &str) -> Option<&Signer> {
        self.signers
            .iter()
            .find(|signer| signer.name.as_str() == name)
    }
}

/// An error in parsing a document or its bundle.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The text is not TOML; the message contains line and column.
    #[error("{0}")]
    Syntax(String),
    /// The content is not of the expected shape.
    #[error("{0}")]
    Content(String),
    /// A number is infinite or not a number.
    #[error("{0} holds a number that is not finite")]
    NotFinite(String),
}

impl Document {
    /// Parses a document from TOML.
    ///
    /// # Errors
    ///
    /// - The text is not TOML.
    /// - A number is not finite; the canonical form cannot represent it.
    pub fn from_toml(text: &str) -> Result<Self, Error> {
        let mut table: Table =
            toml::from_str(text).map_err(|error| Error::Syntax(error.to_string()))?;
        if let Some((section, _)) = table.iter().find(|(_, value)| !is_finite(value)) {
            return Err(Error::NotFinite(section.clone()));
        }
        let head: Table = HEAD_FIELDS
            .iter()
            .filter_map(|field| table.remove_entry(*field))
            .collect();
        let mut items: Vec<Item> = table.into_iter().flat_map(items_of).collect();
        items.sort_by(|a, b| a.key().cmp(&b.key()));
        Ok(Self {
            head: json_of(&Value::Table(head)),
            items,
        })
    }

    /// Computes the digest over head and items.
    pub fn digest(&self) -> Digest {
        bundle_digest(&self.head, self.items_digest())
    }

    /// Computes the digest over the items, without the head.
    pub fn items_digest(&self) -> Digest {
        let digests: Vec<Digest> = self.items.iter().map(Item::digest).collect();
        let parts: Vec<&[u8]> = digests
            .iter()
            .map(|digest| &digest.as_bytes()[..])
            .collect();
        Digest::of_parts(&parts)
    }

    /// Parses the head.
    ///
    /// # Errors
    ///
    /// A field is missing or of the wrong type.
    pub fn head(&self) -> Result<Head, Error> {
        Head::parse(self.head.as_str())
    }

    /// Parses the bundle.
    ///
    /// # Errors
    ///
    /// A field is unknown to this release, missing or of the wrong type.
    pub fn bundle(&self) -> Result<Bundle, Error> {
        Bundle::from_json(&self.to_json()).map_err(|error| Error::Content(error.to_string()))
    }

    /// Returns the document as one JSON object.
    fn to_json(&self) -> String {
        let mut json = self
            .head
            .as_str()
            .strip_suffix('}')
            .unwrap_or("{")
            .to_owned();
        for section in self.items.chunk_by(|a, b| a.section == b.section) {
            let listed: Vec<&str> = section.iter().map(|item| item.json.as_str()).collect();
            let joined = listed.join(",");
            let name = &section[0].section;
            let value = if section[0].name.as_str().is_empty() {
                joined
            } else {
                format!("[{joined}]")
            };
            let comma = if json.len() > 1 { "," } else { "" };
            json.push_str(&format!("{comma}\"{name}\":{value}"));
        }
        json.push('}');
        json
    }
}

impl Item {
    /// Returns the sort key: section and name.
    pub fn key(&self) -> (&str, &str) {
        (self.section.as_str(), self.name.as_str())
    }

    fn digest(&self) -> Digest {
        let parts = [&self.section, &self.name, &self.json].map(|part| part.as_str().as_bytes());
        *self.digest.0.get_or_init(|| Digest::of_parts(&parts))
    }
}

/// Computes the digest of a bundle from its head and the digest of its items.
pub fn bundle_digest(head: &Name, items: Digest) -> Digest {
    Digest::of_parts(&[DIGEST_DOMAIN, head.as_str().as_bytes(), items.as_bytes()])
}

fn items_of((section, value): (String, Value)) -> Vec<Item> {
    let section = Name::from(section);
    let named = |value: &Value| Some(Name::from(value.get("name")?.as_str()?));
    match &value {
        Value::Array(list) if !list.is_empty() && list.iter().all(|item| named(item).is_some()) => {
            list.iter()
                .map(|item| Item {
                    section: section.clone(),
                    name: named(item).unwrap_or_default(),
                    json: json_of(item),
                    digest: Cache::default(),
                })
                .collect()
        }
        unnamed => vec![Item {
            json: json_of(unnamed),
            name: Name::default(),
            section,
            digest: Cache::default(),
        }],
    }
}

/// Returns JSON with sorted keys, independent of the order of the tables in memory.
fn json_of(value: &Value) -> Name {
    let mut out = String::new();
    write_value(value, &mut out);
    Name::from(out)
}

fn write_value(value: &Value, out: &mut String) {
    match value {
        Value::Array(list) => {
            out.push('[');
            for (index, item) in list.iter().enumerate() {
                if index > 0 {
                    out.push(',');
                }
                write_value(item, out);
            }
            out.push(']');
        }
        Value::Boolean(flag) => out.push_str(if *flag { "true" } else { "false" }),
        Value::Datetime(time) => write_text(&time.to_string(), out),
        Value::Float(number) => out.push_str(&format!("{number:?}")),
        Value::Integer(number) => out.push_str(&number.to_string()),
        Value::String(text) => write_text(text, out),
        Value::Table(table) => write_table(table, out),
    }
}

fn write_table(table: &Table, out: &mut String) {
    let mut fields: Vec<_> = table.iter().collect();
    fields.sort_by_key(|(name, _)| *name);
    out.push('{');
    for (index, (name, value)) in fields.into_iter().enumerate() {
        if index > 0 {
            out.push(',');
        }
        write_text(name, out);
        out.push(':');
        write_value(value, out);
    }
    out.push('}');
}

fn write_text(text: &str, out: &mut String) {
    // Serializing a string cannot fail.
    out.push_str(&serde_json::to_string(text).unwrap_or_default());
}

fn is_finite(value: &Value) -> bool {
    match value {
        Value::Float(number) => number.is_finite(),
        Value::Array(list) => list.iter().all(is_finite),
        Value::Table(table) => table.values().all(is_finite),
        _ => true,
    }
}
