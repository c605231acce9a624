//! A delta applied to its base gives the same bundle as the whole text.

use bundle::{Document, delta::Delta, diff};
use proptest::prelude::*;

/// Returns the text of a bundle with the given weights of accounts and deadlines of pipelines.
fn text(version: u64, accounts: &[Option<u8>], pipelines: &[Option<u8>]) -> String {
    let mut text = format!("name = \"trial\"\nversion = {version}\n");
    for (at, weight) in accounts.iter().enumerate() {
        if let Some(weight) = weight {
            text.push_str(&format!(
                "[[accounts]]\nname = \"account-{at}\"\nweight = {weight}\n"
            ));
        }
    }
    for (at, deadline) in pipelines.iter().enumerate() {
        if let Some(deadline) = deadline {
            text.push_str(&format!(
                "[[pipelines]]\nname = \"pipeline-{at}\"\ndeadline_ms = {deadline}\n"
            ));
        }
    }
    text
}

fn items() -> impl Strategy<Value = Vec<Option<u8>>> {
    proptest::collection::vec(proptest::option::of(0..3_u8), 12)
}

proptest! {
    #[test]
    fn a_delta_gives_the_same_bundle(
        old in (items(), items()),
        new in (items(), items()),
    ) {
        let base = Document::from_toml(&text(1, &old.0, &old.1)).unwrap();
        let next = Document::from_toml(&text(2, &new.0, &new.1)).unwrap();
        let delta = Delta::between(&base, &next);
        let json = serde_json::to_string(&delta).unwrap();
        let delta: Delta = serde_json::from_str(&json).unwrap();
        let applied = delta.apply(&base);
        prop_assert_eq!(&applied, &next);
        prop_assert_eq!(applied.digest(), next.digest());
        let first = Delta::between(&Document::default(), &next);
        prop_assert_eq!(&first.apply(&Document::default()), &next);
        // The diff for operators has one change for each item in the delta, and one for the version.
        let changes = diff::between(Some(&base), &next).len();
        prop_assert_eq!(changes, delta.set.len() + delta.gone.len() + 1);
    }

    #[test]
    fn another_base_gives_another_digest(old in items(), other in items(), new in items()) {
        let [old, other] = [old, other].map(|one| Document::from_toml(&text(1, &one, &[])).unwrap());
        let next = Document::from_toml(&text(2, &new, &[])).unwrap();
        let applied = Delta::between(&old, &next).apply(&other);
        prop_assert_eq!(applied.digest() == next.digest(), applied == next);
    }
}
