//! A program in a separate process.

use core::time::Duration;
use std::{
    io::{BufRead as _, BufReader, Read},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Instant,
};

use crate::{poll, programs};

/// The timeout for an expected line of output.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between two checks of the output.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running program; dropping it kills it.
pub struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

/// The signals that tests send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Resumes a paused process.
    Continue,
    /// Ends a process at once.
    Kill,
    /// Pauses a process.
    Stop,
    /// Asks a process to stop gracefully.
    Terminate,
}

impl Process {
    /// Starts a program and collects its output.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// let platform = proc::process::Process::spawn("limpetstep-fake", &["platform".into()]);
    /// println!("{}", platform.wait_for_word("listening "));
    /// ```
    pub fn spawn(program: &str, args: &[String]) -> Self {
        let mut child = Command::new(programs::path(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = Arc::default();
        collect(child.stdout.take(), &lines);
        collect(child.stderr.take(), &lines);
        Self { child, lines }
    }

    /// Waits for a line that contains `mark` and returns the word after it.
    ///
    /// # Panics
    ///
    /// Panics if no such line is printed in time.
    pub fn wait_for_word(&self, mark: &str) -> String {
        let until = Instant::now() + TIMEOUT;
        while Instant::now() < until {
            let lines = self.lines();
            let found = lines.iter().find_map(|line| line.split_once(mark));
            if let Some((_, rest)) = found {
                let word = rest.split([' ', ',', '"']).next();
                return word.unwrap_or(rest).to_owned();
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("no line with '{mark}' among {:#?}", self.lines());
    }

    /// Returns every line printed so far.
    pub fn lines(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.clone()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process alone.
    ///
    /// # Panics
    ///
    /// Panics if the signal cannot be sent.
    pub fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Continue => "-CONT",
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Terminate => "-TERM",
        };
        let sent = Command::new("kill")
            .arg(name)
            .arg(self.id().to_string())
            .status();
        assert!(sent.is_ok_and(|status| status.success()), "kill {name}");
    }

    /// Returns the exit status if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap_or_default()
    }

    /// Waits for the process to exit and returns its status, or none after the timeout.
    pub async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        poll::until(limit, async || self.child.try_wait().unwrap_or_default()).await
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn collect(output: Option<impl Read + Send + 'static>, lines: &Arc<Mutex<Vec<String>>>) {
    let Some(output) = output else { return };
    let lines = Arc::clone(lines);
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push(line);
        }
    });
}
