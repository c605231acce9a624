//! What an instance concludes from its own reads of the store and those of others.

use core::time::Duration;

use base::Tick;
use googletest::prelude::*;
use mesh::{Reader, configs};

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn age(ms: u64) -> Option<Duration> {
    Some(Duration::from_millis(ms))
}

/// Returns a reader whose reads have failed from second 10 on.
fn failing() -> Reader {
    let mut reader = Reader::new(configs::Reader::default());
    reader.record_success(at(9_000));
    reader.record_failure(at(10_000));
    reader.record_failure(at(10_500));
    reader
}

#[gtest]
fn an_instance_is_cut_off_if_another_one_reads_the_store_meanwhile() {
    let mut reader = failing();
    reader.record_answer(at(11_000), &"b".into(), age(300));
    expect_that!(reader.is_cut_off(at(11_500)), eq(false));
    expect_that!(reader.is_cut_off(at(12_000)), eq(true));
    // The first read counts, and the instance may fall silent.
    reader.record_answer(at(12_900), &"b".into(), age(100));
    reader.record_answer(at(12_950), &"b".into(), None);
    expect_that!(reader.is_cut_off(at(13_000)), eq(true));
    reader.record_success(at(13_000));
    reader.record_failure(at(20_000));
    expect_that!(reader.is_cut_off(at(25_000)), eq(false));
}

/// Entries may have lapsed if the store was out of reach for all at the end.
#[gtest]
fn an_instance_is_not_cut_off_alone_if_all_others_lose_the_store_later() {
    let mut reader = failing();
    for ms in [11_000, 12_500, 14_000] {
        reader.record_answer(at(ms), &"b".into(), age(300));
    }
    expect_that!(reader.is_cut_off(at(14_500)), eq(true));
    reader.record_answer(at(20_000), &"b".into(), age(100));
    expect_that!(reader.is_cut_off(at(20_300)), eq(false));
}

#[gtest]
fn reads_of_others_before_the_own_ones_failed_show_nothing() {
    let mut reader = failing();
    reader.record_answer(at(10_800), &"b".into(), age(1_200));
    reader.record_answer(at(11_000), &"c".into(), None);
    expect_that!(reader.is_cut_off(at(15_000)), eq(false));
}

/// After an outage for all, some instances find a little earlier than others that the store answers again.
#[gtest]
fn reads_of_others_shortly_before_the_own_recovery_show_nothing() {
    let mut reader = failing();
    reader.record_answer(at(15_300), &"b".into(), age(200));
    expect_that!(reader.is_cut_off(at(15_900)), eq(false));
}
