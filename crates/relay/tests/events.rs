//! The splitter returns complete events however the bytes arrive.

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
    fn any_chunking_of_a_stream_gives_its_complete_events(events in 1_u64..20, chunk_lengths in vec(1_usize..40, 1..60)) {
        let text: String = (1..=events).map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize))).collect();
        let (mut splitter, mut rest, mut complete) = (Splitter::default(), text.as_bytes(), Vec::new());
        for length in chunk_lengths {
            let (chunk, later) = rest.split_at(length.min(rest.len()));
            rest = later;
            let pushed = splitter.push(chunk);
            assert!(pushed.is_empty() || pushed.ends_with(b"\n\n"));
            complete.extend_from_slice(&pushed);
        }
        complete.extend_from_slice(&splitter.push(rest));
        assert_eq!(complete, text.as_bytes());
        assert_eq!(splitter.last_id(), Some(events));
    }
}

#[gtest]
fn an_incomplete_event_is_discarded() {
    let mut splitter = Splitter::resume_after(Some(3));
    expect_that!(splitter.push(b"id: 4\nda").is_empty(), eq(true));
    splitter.discard_partial();
    expect_that!(splitter.last_id(), some(eq(3)));
    expect_that!(
        &splitter.push(b"id: 4\ndata: b\n\n")[..],
        eq(b"id: 4\ndata: b\n\n")
    );
}

/// Garbage with blank lines was passed on to callers as events.
#[gtest]
fn blank_lines_and_comments_are_passed_on_with_the_next_event() {
    let mut splitter = Splitter::default();
    for part in [&b"\n"[..], b"\r\n", b": ping\n\n", b"x\n\n", b"\n\n\n"] {
        expect_that!(splitter.push(part).is_empty(), eq(true));
    }
    let event = splitter.push(b"id: 1\r\ndata: a\r\n\r\n: p");
    expect_that!(
        &event[..],
        eq(b"\n\r\n: ping\n\nx\n\n\n\n\nid: 1\r\ndata: a\r\n\r\n")
    );
    expect_that!(splitter.partial_length(), eq(3));
}

/// ORDER: a stream that ended inside an event was taken for complete.
#[gtest]
fn the_end_of_bytes_is_told_apart_from_the_end_of_an_event() {
    for (bytes, is_inside) in [
        ("", false),
        ("i", true),
        ("id: 1\n", true),
        ("id: 1\ndata: a\n", true),
        ("id: 1\ndata: a\n\n", false),
        ("id: 1\r\ndata: a\r\n\r", true),
        ("id: 1\r\ndata: a\r\n\r\n", false),
        ("id: 1\ndata: a\n\n\n", false),
        ("id: 1\ndata: a\n\n: ping\n", false),
        ("id: 1\ndata: a\n\n: pi", true),
        ("id: 1\ndata: a\n\nretry: 5\n", true),
        ("id: 1\ndata: a\n\nretry: 5\n\n", false),
        ("event: a\n: ping\n", true),
    ] {
        let mut splitter = Splitter::default();
        splitter.push(bytes.as_bytes());
        expect_that!(splitter.is_inside_event(), eq(is_inside), "{bytes:?}");
        splitter.discard_partial();
        expect_that!(splitter.is_inside_event(), eq(false), "{bytes:?}");
    }
}

/// ORDER, MIXED: events that the caller had, and lines that are no part of a stream, were passed on.
#[gtest]
fn bytes_that_are_no_rest_of_the_stream_are_told_apart() {
    for (bytes, complete, is_invalid) in [
        ("id: 4\ndata: a\n\n", "id: 4\ndata: a\n\n", false),
        (
            "data: a\n\nid: 9\ndata: a\n\n",
            "data: a\n\nid: 9\ndata: a\n\n",
            false,
        ),
        ("id: 3\ndata: a\n\n", "", true),
        ("id: 1\ndata: a\n\nid: 4\ndata: a\n\n", "", true),
        ("id: 4\ndata: a\n\nid: 2\n", "id: 4\ndata: a\n\n", true),
        (
            "id: 4\ndata: a\n\nHTTP/1.1 500 Error\r\n\r\n",
            "id: 4\ndata: a\n\n",
            true,
        ),
        ("internal error\n", "", true),
        ("{\"error\": 1}\n", "", true),
        (
            "x-weight-versions: 2\nid: 4\ndata : a\ndata\n\n",
            "x-weight-versions: 2\nid: 4\ndata : a\ndata\n\n",
            false,
        ),
        (": {ping}\n\n", "", false),
    ] {
        let mut taken_over = Splitter::default();
        taken_over.push(b"id: 3\ndata: a\n\nid");
        taken_over.discard_partial();
        for mut splitter in [taken_over, Splitter::resume_after(Some(3))] {
            expect_that!(
                &splitter.push(bytes.as_bytes())[..],
                eq(complete.as_bytes()),
                "{bytes:?}"
            );
            expect_that!(splitter.is_invalid(), eq(is_invalid), "{bytes:?}");
            splitter.discard_partial();
            expect_that!(splitter.is_invalid(), eq(false), "{bytes:?}");
        }
    }
}
