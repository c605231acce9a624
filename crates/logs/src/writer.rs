//! A writer thread, so that a slow reader of the output blocks no thread that logs.

use core::{
    sync::atomic::{AtomicU32, AtomicU64, Ordering},
    time::Duration,
};
use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Instant,
};

use crate::Config;

/// Queues lines for the writer thread without blocking; clones share the thread and the counters.
#[derive(Clone, Debug)]
pub struct Writer {
    lines: SyncSender<String>,
    counters: Arc<Counters>,
    lines_per_second: u32,
}

#[derive(Debug)]
struct Counters {
    dropped: AtomicU64,
    lines_in_window: AtomicU32,
    window_start: Mutex<Instant>,
}

impl Writer {
    /// Starts the writer thread.
    pub fn spawn(config: &Config, output: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = sync_channel(config.queue_capacity);
        let counters = Arc::new(Counters {
            dropped: AtomicU64::new(0),
            lines_in_window: AtomicU32::new(0),
            window_start: Mutex::new(Instant::now()),
        });
        let shared = counters.clone();
        let spawned = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver, output, &shared));
        if spawned.is_err() {
            // Without the thread the queue has no receiver, so every line is dropped and counted. The count of 1
            // shows the failure before the first line.
            counters.dropped.store(1, Ordering::Relaxed);
        }
        Self {
            lines,
            counters,
            lines_per_second: config.lines_per_second,
        }
    }

    /// Queues a line, or drops and counts it if the rate limit is exceeded or the queue is full.
    pub fn push(&self, line: String) {
        if self.is_over_rate() || self.lines.try_send(line).is_err() {
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of dropped lines.
    pub fn dropped_lines(&self) -> u64 {
        self.counters.dropped.load(Ordering::Relaxed)
    }

    fn is_over_rate(&self) -> bool {
        if let Ok(mut window_start) = self.counters.window_start.try_lock()
            && window_start.elapsed() >= Duration::from_secs(1)
        {
            *window_start = Instant::now();
            self.counters.lines_in_window.store(0, Ordering::Relaxed);
        }
        self.counters
            .lines_in_window
            .fetch_add(1, Ordering::Relaxed)
            >= self.lines_per_second
    }
}

fn write_lines(lines: &Receiver<String>, mut output: impl Write, counters: &Counters) {
    let mut reported = 0;
    for line in lines {
        let dropped = counters.dropped.load(Ordering::Relaxed);
        let mut text = line;
        if dropped > reported {
            reported = dropped;
            text.push_str(&format!(
                "\n{{\"level\":\"WARN\",\"area\":\"logs\",\"message\":\"lines dropped\",\"total\":{dropped}}}"
            ));
        }
        text.push('\n');
        if output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush())
            .is_err()
        {
            counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
