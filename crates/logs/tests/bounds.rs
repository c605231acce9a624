//! Checks the rate limit, and that a slow reader does not block callers.

use core::time::Duration;
use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    thread,
    time::Instant,
};

use googletest::prelude::*;
use logs::{Config, Writer};

#[derive(Clone, Default)]
struct Output {
    text: Arc<Mutex<String>>,
    write_delay: Duration,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        thread::sleep(self.write_delay);
        self.text
            .lock()
            .unwrap()
            .push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn a_stalled_reader_does_not_block_callers() {
    let output = Output {
        write_delay: Duration::from_secs(3_600),
        ..Output::default()
    };
    let config = Config {
        queue_capacity: 10,
        lines_per_second: 1_000_000,
        ..Config::default()
    };
    let writer = Writer::spawn(&config, output);
    let start = Instant::now();
    for line in 0..10_000 {
        writer.push(format!("{line}"));
    }
    expect_that!(start.elapsed(), le(Duration::from_secs(2)));
    // Ten lines are queued and one is being written.
    expect_that!(writer.dropped_lines(), ge(10_000 - 11));
}

#[gtest]
fn lines_over_the_rate_limit_are_dropped_and_reported() {
    let output = Output::default();
    let config = Config {
        lines_per_second: 50,
        ..Config::default()
    };
    let writer = Writer::spawn(&config, output.clone());
    for line in 0..200 {
        writer.push(format!("line {line}"));
    }
    expect_that!(writer.dropped_lines(), eq(150));
    let deadline = Instant::now() + Duration::from_secs(10);
    while output.text.lock().unwrap().matches("line ").count() < 50 && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(5));
    }
    let text = output.text.lock().unwrap().clone();
    expect_that!(text.matches("line ").count(), eq(50));
    expect_that!(text, contains_substring("lines dropped"));
}

#[gtest]
fn a_line_contains_the_fields_of_its_record() {
    let record = log::Record::builder()
        .target("relay")
        .level(log::Level::Warn)
        .key_values(&[("request", "id-1")])
        .build();
    let line = logs::format("request refused", &record);
    for part in [
        "\"area\":\"relay\"",
        "\"level\":\"WARN\"",
        "\"request\":\"id-1\"",
        "\"message\":\"request refused\"",
    ] {
        expect_that!(line, contains_substring(part));
    }
}
