//! The kinds of backend servers.

use core::{fmt, str::FromStr};

/// What a backend server computes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A vector for a text.
    Encode,
    /// A stream of tokens.
    Generate,
    /// The given documents in another order.
    Rerank,
    /// Documents for a query.
    Retrieve,
    /// A plain service, whose calls have side effects.
    Service,
}

const KINDS: [(&str, Kind); 5] = [
    ("encode", Kind::Encode),
    ("generate", Kind::Generate),
    ("rerank", Kind::Rerank),
    ("retrieve", Kind::Retrieve),
    ("service", Kind::Service),
];

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        KINDS
            .binary_search_by_key(&text, |(name, _)| name)
            .map(|index| KINDS[index].1)
            .map_err(|_| format!("no such kind: {text}"))
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = KINDS.iter().find(|(_, kind)| kind == self);
        f.write_str(found.map_or("", |(name, _)| name))
    }
}
