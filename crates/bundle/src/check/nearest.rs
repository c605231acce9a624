//! Suggests the valid name that is most similar to an invalid one.

/// The minimum Jaro-Winkler similarity of a suggestion, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.75;

/// Returns the candidate most similar to a name, if one reaches [`MIN_SIMILARITY`].
pub(super) fn find<'a>(name: &str, candidates: impl Iterator<Item = &'a str>) -> Option<String> {
    candidates
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate.to_owned())
}

/// Returns a suggestion from a parser's message, which quotes an unknown name and then the valid ones.
pub(super) fn from_message(message: &str) -> Option<String> {
    if !message.starts_with("unknown") {
        return None;
    }
    let mut quoted = message.split('`').skip(1).step_by(2);
    let unknown = quoted.next()?;
    find(unknown, quoted)
}
