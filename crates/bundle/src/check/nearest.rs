//! The valid name that looks most like a wrong one.

/// How alike two names must be, from 0 to 1.
const LIKENESS: f64 = 0.75;

/// Returns the candidate most like a name, if any is like it at all.
pub(super) fn of<'a>(name: &str, candidates: impl Iterator<Item = &'a str>) -> Option<String> {
    candidates
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(likeness, _)| *likeness >= LIKENESS)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate.to_owned())
}

/// Returns the nearest of the expected names that a reader's message lists after a wrong one.
pub(super) fn of_message(message: &str) -> Option<String> {
    if !message.starts_with("unknown") {
        return None;
    }
    let mut quoted = message.split('`').skip(1).step_by(2);
    let wrong = quoted.next()?;
    of(wrong, quoted)
}
