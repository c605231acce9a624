//! Names: their form, and that each is used once in its list.

use base::Name;

use super::{Fault, fault};
use crate::content::Bundle;

/// The longest name, in bytes.
const NAME_BYTES: usize = 64;

pub(super) fn check(bundle: &Bundle, found: &mut Vec<Fault>) {
    form("name", &bundle.name, found);
    list(
        "accounts",
        bundle.accounts.iter().map(|item| &item.name),
        found,
    );
    list(
        "pipelines",
        bundle.pipelines.iter().map(|item| &item.name),
        found,
    );
    list("pools", bundle.pools.iter().map(|item| &item.name), found);
    list(
        "signers",
        bundle.signers.iter().map(|item| &item.name),
        found,
    );
    list(
        "viewers",
        bundle.viewers.iter().map(|item| &item.name),
        found,
    );
    for pipeline in &bundle.pipelines {
        let path = format!("pipelines.{}.stages", pipeline.name);
        let mut names: Vec<_> = pipeline.stages.iter().map(|stage| &stage.name).collect();
        names.sort();
        list(&path, names.into_iter(), found);
    }
}

/// Checks the names of a list that is sorted by name.
fn list<'a>(path: &str, names: impl Iterator<Item = &'a Name>, found: &mut Vec<Fault>) {
    let mut last: Option<&Name> = None;
    for name in names {
        let place = format!("{path}.{name}");
        if last == Some(name) {
            found.push(fault(place, "the name is used twice"));
        } else {
            form(&place, name, found);
        }
        last = Some(name);
    }
}

fn form(path: &str, name: &Name, found: &mut Vec<Fault>) {
    let text = name.as_str();
    let valid = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if text.is_empty() || text.len() > NAME_BYTES || !text.bytes().all(valid) {
        found.push(fault(
            path.to_owned(),
            "a name has 1 to 64 lower-case letters, digits and hyphens",
        ));
    }
}
