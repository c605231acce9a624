//! A relay between two ends that counts bytes and can let open connections go silent.

#![allow(dead_code, unreachable_pub, reason = "each test uses a part of it")]

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// Counts of one relay.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections accepted.
    pub connections: AtomicU64,
    /// Connections up to this number are silent: nothing passes, and they stay open.
    pub silent: AtomicU64,
    /// Bytes from the client.
    pub sent: AtomicU64,
    /// Segments from the client, taken as one per read.
    pub segments: AtomicU64,
    /// Bytes from the server.
    pub received: AtomicU64,
}

/// Starts a relay to a server and returns its address.
pub fn spawn(server: SocketAddr) -> (SocketAddr, Arc<Counts>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let counts = Arc::new(Counts::default());
    let shared = counts.clone();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let number = shared.connections.fetch_add(1, Ordering::SeqCst) + 1;
            let server = TcpStream::connect(server).expect("the server listens");
            pipe(&client, &server, number, &shared, true);
            pipe(&server, &client, number, &shared, false);
        }
    });
    (address, counts)
}

/// Lets every connection that is open now go silent.
pub fn silence(counts: &Counts) {
    counts
        .silent
        .store(counts.connections.load(Ordering::SeqCst), Ordering::SeqCst);
}

fn pipe(from: &TcpStream, to: &TcpStream, number: u64, counts: &Arc<Counts>, up: bool) {
    let (mut from, mut to) = (
        from.try_clone().expect("a socket"),
        to.try_clone().expect("a socket"),
    );
    let counts = counts.clone();
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(read) = from.read(&mut buffer) {
            if read == 0 {
                break;
            }
            if number <= counts.silent.load(Ordering::SeqCst) {
                continue;
            }
            let bytes = u64::try_from(read).unwrap_or(u64::MAX);
            let count = if up { &counts.sent } else { &counts.received };
            count.fetch_add(bytes, Ordering::SeqCst);
            counts.segments.fetch_add(u64::from(up), Ordering::SeqCst);
            if to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
    });
}
