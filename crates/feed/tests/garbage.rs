//! Instances' addresses at which another program answers with bytes without end.

use core::{net::SocketAddr, time::Duration};
use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use feed::{Client, Heartbeat};
use googletest::prelude::*;
use tokio::time;

/// What a connection may take: the largest message, and the buffers of the sockets at both ends.
const MAX_TAKEN: usize = 24 * 1024 * 1024;

/// The frame that begins an HTTP/2 connection, without settings.
const SETTINGS: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];

/// A server that answers with bytes without end.
struct Server {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    taken: Arc<AtomicUsize>,
}

impl Server {
    fn open(head: &'static [u8], endless: &'static [u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (open, taken) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let server = Self {
            address,
            open: open.clone(),
            taken: taken.clone(),
        };
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (open, taken) = (open.clone(), taken.clone());
                open.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || {
                    let mut request = [0; 4_096];
                    let is_open = stream.read(&mut request).is_ok_and(|size| size > 0);
                    if is_open && stream.write_all(head).is_ok() {
                        let block = endless.repeat(65_536 / endless.len());
                        let mut size = 0;
                        while stream.write_all(&block).is_ok() {
                            size += block.len();
                        }
                        taken.fetch_max(size, Ordering::Relaxed);
                    }
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        server
    }

    /// Waits until all connections are closed, and checks that they took few bytes.
    async fn check_closed(&self, case: &str) {
        for _ in 0..500 {
            if self.open.load(Ordering::Relaxed) == 0 {
                break;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        expect_that!(self.open.load(Ordering::Relaxed), eq(0), "{case}");
        expect_that!(self.taken.load(Ordering::Relaxed), le(MAX_TAKEN), "{case}");
    }
}

/// An address may belong to a program that is no instance; the calls of instances must end there.
#[gtest]
#[actix_web::test]
async fn calls_to_a_program_that_sends_garbage_fail() {
    let cases: [(&[u8], &[u8]); 5] = [
        (b"", b"x"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
        // Settings, pings, and headers that never end.
        (SETTINGS, SETTINGS),
        (
            SETTINGS,
            &[0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8],
        ),
        (
            &[0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 1, 1, 0, 0, 0, 0, 1, 0x88],
            &[0, 0, 1, 9, 0, 0, 0, 0, 1, 0x88],
        ),
    ];
    for (head, endless) in cases {
        let case = format!("{head:x?} {endless:x?}");
        let server = Server::open(head, endless);
        let client = Client::default();
        let limit = Duration::from_secs(2);
        let beat = client.send_heartbeat(server.address, Heartbeat::default(), limit);
        expect_that!(beat.await.is_err(), eq(true), "{case}");
        expect_that!(
            client.config(server.address).await.is_err(),
            eq(true),
            "{case}"
        );
        expect_that!(
            client.lists(server.address).await.is_err(),
            eq(true),
            "{case}"
        );
        let released = client.release(server.address, &[]).await;
        expect_that!(released.is_err(), eq(true), "{case}");
        server.check_closed(&case).await;
    }
}

/// The connection of a call that was given up stayed open for as long as the program took no bytes: nothing more could be
/// sent on it, its end neither.
#[gtest]
#[actix_web::test]
async fn the_connection_to_a_program_that_takes_no_bytes_is_closed() {
    // Settings and an update that let the client send as much as it has.
    let head = &[
        0, 0, 6, 4, 0, 0, 0, 0, 0, 0, 4, 0x7f, 0xff, 0xff, 0xff, 0, 0, 4, 8, 0, 0, 0, 0, 0, 0x7f,
        0xff, 0, 0,
    ];
    let server = Server::open(head, SETTINGS);
    let client = Client::default();
    let streams: Vec<base::Name> = vec!["x".repeat(1024 * 1024).into(); 16];
    // No probe is sent before the call is given up.
    let found = client.find_origins(server.address, &streams, Duration::from_millis(400));
    expect_that!(found.await.is_err(), eq(true));
    server.check_closed("no bytes taken").await;
}
