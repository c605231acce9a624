//! A runner that crashes on requests with a certain body and is back after some seconds.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::kit::{self, Record, Server, Store, lock, sleep_ms};

/// How long a runner is away after a crash.
const AWAY_MS: u64 = 2_000;
const FIRST_START: u64 = 1_765_000_000_000;
/// The body of a request that crashes each runner which begins to run it.
pub const HARMFUL: &[u8] = b"harmful";

struct Runner {
    id: String,
    /// Whether each run has the same id.
    keeps_id: bool,
    /// The start of its run, in Unix milliseconds.
    born: AtomicU64,
    away_until: Mutex<Instant>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Runner {
    fn is_away(&self) -> bool {
        Instant::now() < *lock(&self.away_until)
    }

    /// Ends all connections, and begins a new run after some time under the same id and address.
    fn crash(&self, now_ms: u128) {
        *lock(&self.away_until) = Instant::now() + Duration::from_millis(AWAY_MS);
        self.born
            .store(FIRST_START + now_ms as u64 + AWAY_MS, Ordering::SeqCst);
        for connection in lock(&self.connections).drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// When the harmful request reached runners.
pub type Arrivals = Arc<Mutex<Vec<u128>>>;

pub fn open_runner(id: &str, keeps_id: bool, store: &Store, record: &Record, arrivals: &Arrivals) {
    let listener = TcpListener::bind(kit::loopback()).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let runner = Arc::new(Runner {
        id: id.to_owned(),
        keeps_id,
        born: AtomicU64::new(FIRST_START),
        away_until: Mutex::new(Instant::now()),
        connections: Mutex::default(),
    });
    keep_registered(&runner, address, store);
    let (record, arrivals) = (record.clone(), arrivals.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if runner.is_away() {
                continue;
            }
            let Ok(kept) = stream.try_clone() else {
                continue;
            };
            lock(&runner.connections).push(kept);
            let (runner, record, arrivals) = (runner.clone(), record.clone(), arrivals.clone());
            thread::spawn(move || serve(&runner, stream, &record, &arrivals));
        }
    });
}

fn serve(runner: &Runner, stream: TcpStream, record: &Record, arrivals: &Arrivals) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = kit::Request::read(&mut reader) {
        if request.path == "/v1/report" {
            let body = format!("{{\"born\":{}}}", runner.born.load(Ordering::SeqCst));
            if writer
                .write_all(&kit::response(200, "", body.as_bytes()))
                .is_err()
            {
                return;
            }
            continue;
        }
        if request.body == HARMFUL {
            lock(arrivals).push(record.ms());
            record.line(format!(
                "runner {} begins to run {} and crashes",
                runner.id,
                request.id()
            ));
            runner.crash(record.ms());
            return;
        }
        sleep_ms(100);
        if writer
            .write_all(&kit::sealed(&request, "", b"done"))
            .is_err()
        {
            return;
        }
    }
}

/// Writes the runner's entry while it is there.
fn keep_registered(runner: &Arc<Runner>, address: SocketAddr, store: &Store) {
    let (runner, store) = (runner.clone(), store.clone());
    thread::spawn(move || {
        let (mut born, mut sequence) = (0, 0);
        loop {
            if runner.is_away() {
                sleep_ms(20);
                continue;
            }
            let current = runner.born.load(Ordering::SeqCst);
            sequence = if current == born { sequence + 1 } else { 1 };
            born = current;
            let entry = Server {
                id: match runner.keeps_id {
                    true => runner.id.clone(),
                    false => format!("{}-{}", runner.id, born - FIRST_START),
                },
                service: "ledger".to_owned(),
                zone: "a".to_owned(),
                address,
                version: "v1".to_owned(),
                born,
            };
            entry.register(&store, "ready", sequence);
            for _ in 0..60 {
                sleep_ms(20);
                if runner.born.load(Ordering::SeqCst) != born {
                    break;
                }
            }
        }
    });
}
