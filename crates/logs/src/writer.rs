//! The thread that writes lines, so that a slow reader holds nobody up.

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

/// Takes lines and never blocks; clones share the thread and the counts.
#[derive(Clone, Debug)]
pub struct Writer {
    lines: SyncSender<String>,
    counts: Arc<Counts>,
    lines_per_second: u32,
}

#[derive(Debug)]
struct Counts {
    dropped: AtomicU64,
    in_second: AtomicU32,
    second: Mutex<Instant>,
}

impl Writer {
    /// Starts the thread.
    pub fn spawn(config: &Config, output: impl Write + Send + 'static) -> Self {
        let (lines, received) = sync_channel(config.queue_capacity);
        let counts = Arc::new(Counts {
            dropped: AtomicU64::new(0),
            in_second: AtomicU32::new(0),
            second: Mutex::new(Instant::now()),
        });
        let shared = counts.clone();
        let spawned = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&received, output, &shared));
        if spawned.is_err() {
            // Without the thread every line is dropped and counted.
            counts.dropped.store(1, Ordering::Relaxed);
        }
        Self {
            lines,
            counts,
            lines_per_second: config.lines_per_second,
        }
    }

    /// Takes a line, or drops and counts it.
    pub fn push(&self, line: String) {
        if self.is_over_rate() || self.lines.try_send(line).is_err() {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines that were dropped.
    pub fn dropped_lines(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    fn is_over_rate(&self) -> bool {
        if let Ok(mut second) = self.counts.second.try_lock()
            && second.elapsed() >= Duration::from_secs(1)
        {
            *second = Instant::now();
            self.counts.in_second.store(0, Ordering::Relaxed);
        }
        self.counts.in_second.fetch_add(1, Ordering::Relaxed) >= self.lines_per_second
    }
}

fn write(lines: &Receiver<String>, mut output: impl Write, counts: &Counts) {
    let mut told = 0;
    for line in lines {
        let dropped = counts.dropped.load(Ordering::Relaxed);
        let mut text = line;
        if dropped > told {
            told = dropped;
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
            counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
