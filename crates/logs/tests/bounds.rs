//! Lines are bounded and nobody waits for a slow reader.

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
    pause: Duration,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        thread::sleep(self.pause);
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
fn a_reader_that_stands_still_holds_nobody_up() {
    let output = Output {
        pause: Duration::from_secs(3_600),
        ..Output::default()
    };
    let config = Config {
        queue_capacity: 10,
        lines_per_second: 1_000_000,
        ..Config::default()
    };
    let writer = Writer::spawn(&config, output);
    let since = Instant::now();
    for line in 0..10_000 {
        writer.push(format!("{line}"));
    }
    expect_that!(since.elapsed(), le(Duration::from_secs(2)));
    // Ten wait and one is being written.
    expect_that!(writer.dropped_lines(), ge(10_000 - 11));
}

#[gtest]
fn lines_over_the_rate_are_dropped_and_told() {
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
    let limit = Instant::now() + Duration::from_secs(10);
    while output.text.lock().unwrap().matches("line ").count() < 50 && Instant::now() < limit {
        thread::sleep(Duration::from_millis(5));
    }
    let text = output.text.lock().unwrap().clone();
    expect_that!(text.matches("line ").count(), eq(50));
    expect_that!(text, contains_substring("lines dropped"));
}

#[gtest]
fn a_line_holds_the_fields_of_its_decision() {
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
