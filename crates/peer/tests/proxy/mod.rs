//! A proxy that counts bytes and can drop all further data on open connections.

#![allow(dead_code, unreachable_pub, reason = "no test uses all of it")]

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// The counters of one proxy.
#[derive(Debug, Default)]
pub struct Counters {
    /// The number of accepted connections.
    pub connections: AtomicU64,
    /// Connections up to this number stay open but drop all data.
    pub silent: AtomicU64,
    /// The number of bytes from the client.
    pub sent: AtomicU64,
    /// The number of segments from the client, counted as one per read.
    pub segments: AtomicU64,
    /// The number of bytes from the server.
    pub received: AtomicU64,
}

/// Starts a proxy to a server and returns its address and counters.
pub fn spawn(server: SocketAddr) -> (SocketAddr, Arc<Counters>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let counters = Arc::new(Counters::default());
    let shared = counters.clone();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let number = shared.connections.fetch_add(1, Ordering::SeqCst) + 1;
            let server = TcpStream::connect(server).expect("the server listens");
            forward(&client, &server, number, &shared, true);
            forward(&server, &client, number, &shared, false);
        }
    });
    (address, counters)
}

/// Drops all further data on the connections that are open now.
pub fn silence(counters: &Counters) {
    counters.silent.store(
        counters.connections.load(Ordering::SeqCst),
        Ordering::SeqCst,
    );
}

fn forward(
    from: &TcpStream,
    to: &TcpStream,
    number: u64,
    counters: &Arc<Counters>,
    is_from_client: bool,
) {
    let (mut from, mut to) = (
        from.try_clone().expect("a socket"),
        to.try_clone().expect("a socket"),
    );
    let counters = counters.clone();
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(read) = from.read(&mut buffer) {
            if read == 0 {
                break;
            }
            if number <= counters.silent.load(Ordering::SeqCst) {
                continue;
            }
            let bytes = u64::try_from(read).unwrap_or(u64::MAX);
            let counter = if is_from_client {
                &counters.sent
            } else {
                &counters.received
            };
            counter.fetch_add(bytes, Ordering::SeqCst);
            counters
                .segments
                .fetch_add(u64::from(is_from_client), Ordering::SeqCst);
            if to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
    });
}
