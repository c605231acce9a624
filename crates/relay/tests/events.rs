//! Events are whole however the bytes arrive.

use googletest::prelude::*;
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, proptest},
    test_runner::RngSeed,
};
use relay::events::Splitter;

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn any_cut_of_a_stream_gives_its_whole_events(events in 1_u64..20, cuts in vec(1_usize..40, 1..60)) {
        let text: String = (1..=events).map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize))).collect();
        let (mut splitter, mut rest, mut whole) = (Splitter::default(), text.as_bytes(), Vec::new());
        for cut in cuts {
            let (now, later) = rest.split_at(cut.min(rest.len()));
            rest = later;
            let got = splitter.push(now);
            assert!(got.is_empty() || got.ends_with(b"\n\n"));
            whole.extend_from_slice(&got);
        }
        whole.extend_from_slice(&splitter.push(rest));
        assert_eq!(whole, text.as_bytes());
        assert_eq!(splitter.last_id(), Some(events));
    }
}

#[gtest]
fn an_event_that_was_cut_off_is_dropped() {
    let mut splitter = Splitter::resume_after(Some(3));
    expect_that!(splitter.push(b"id: 4\nda").is_empty(), eq(true));
    splitter.discard_partial();
    expect_that!(splitter.last_id(), some(eq(3)));
    expect_that!(
        &splitter.push(b"id: 4\ndata: b\n\n")[..],
        eq(b"id: 4\ndata: b\n\n")
    );
}
