//! The time of day while the system's clock steps.

use core::time::Duration;

use base::{Stamp, clock::Clock};
use googletest::prelude::*;

const BOOT_MS: u64 = 1_000_000;

/// Reads a clock some time after the boot, while the system's clock is off by some milliseconds, and returns by how much the
/// reading is off.
fn error_ms(clock: &mut Clock, since_boot_s: u64, system_error_ms: i64) -> i64 {
    let true_ms = BOOT_MS + since_boot_s * 1_000;
    let system = Stamp::from_millis(true_ms.saturating_add_signed(system_error_ms));
    let read = clock.read(Duration::from_secs(since_boot_s), system);
    read.as_millis().cast_signed() - true_ms.cast_signed()
}

#[gtest]
fn a_temporary_step_changes_nothing() {
    for step in [5_000, -5_000, 2_000, -2_000] {
        let mut clock = Clock::default();
        expect_that!(error_ms(&mut clock, 10, 0), eq(0));
        for since_boot in 11..60 {
            expect_that!(error_ms(&mut clock, since_boot, step), eq(0));
        }
        expect_that!(error_ms(&mut clock, 61, 0), eq(0));
        // The steps don't add up.
        expect_that!(error_ms(&mut clock, 100, step), eq(0));
    }
}

#[gtest]
fn a_lasting_step_is_followed() {
    let mut clock = Clock::default();
    expect_that!(error_ms(&mut clock, 10, 2_000), eq(2_000));
    expect_that!(error_ms(&mut clock, 20, 0), eq(2_000));
    expect_that!(error_ms(&mut clock, 79, 0), eq(2_000));
    expect_that!(error_ms(&mut clock, 80, 0), eq(0));
}

#[gtest]
fn a_drift_is_followed_at_once() {
    let mut clock = Clock::default();
    for since_boot in 0..100 {
        let drift = since_boot as i64 * 50;
        expect_that!(error_ms(&mut clock, since_boot, drift), eq(drift));
    }
}
