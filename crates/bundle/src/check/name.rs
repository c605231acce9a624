//! Checks of names: their form, and that each is unique in its list.

use base::Name;

use super::{Fault, fault};
use crate::content::Bundle;

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

pub(super) fn check(bundle: &Bundle, found: &mut Vec<Fault>) {
    check_form("name", &bundle.name, found);
    check_list(
        "accounts",
        bundle.accounts.iter().map(|item| &item.name),
        found,
    );
    check_list(
        "pipelines",
        bundle.pipelines.iter().map(|item| &item.name),
        found,
    );
    check_list("pools", bundle.pools.iter().map(|item| &item.name), found);
    check_list(
        "signers",
        bundle.signers.iter().map(|item| &item.name),
        found,
    );
    check_list(
        "viewers",
        bundle.viewers.iter().map(|item| &item.name),
        found,
    );
    for pipeline in &bundle.pipelines {
        let path = format!("pipelines.{}.stages", pipeline.name);
        let mut names: Vec<_> = pipeline.stages.iter().map(|stage| &stage.name).collect();
        names.sort();
        check_list(&path, names.into_iter(), found);
    }
}

/// Checks the names of a list that is sorted by name.
fn check_list<'a>(path: &str, names: impl Iterator<Item = &'a Name>, found: &mut Vec<Fault>) {
    let mut previous: Option<&Name> = None;
    for name in names {
        let location = format!("{path}.{name}");
        if previous == Some(name) {
            found.push(fault(location, "the name is used twice"));
        } else {
            check_form(&location, name, found);
        }
        previous = Some(name);
    }
}

fn check_form(path: &str, name: &Name, found: &mut Vec<Fault>) {
    let text = name.as_str();
    let valid = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(valid) {
        found.push(fault(
            path.to_owned(),
            "a name has 1 to 64 lower-case letters, digits and hyphens",
        ));
    }
}
