//! Measures the bytes that one exchange takes in addition to its message: HTTP/2 on an open connection, and an estimate
//! for TCP/IP.
//!
//! `cargo run --release -p peer --example framing`

use std::sync::atomic::Ordering;

use actix_web::rt;
use member::Summary;
use peer::{Client, Error, Handler, codec, configs};
use wire::{Batch, Grant, Message as _, Moment, Part, Proof, Slots, Trial, Verdicts, Want};

#[path = "../tests/proxy/mod.rs"]
mod proxy;

/// The number of measured exchanges.
const CALLS: u64 = 200;
/// The size of the headers of one TCP segment over IPv4 with timestamps.
const HEADER_BYTES: u64 = 52;

struct Echo;

impl Handler for Echo {
    async fn exchange(&self, summary: Summary) -> Result<Summary, Error> {
        Ok(summary)
    }

    async fn fetch(&self, _: Want) -> Result<Proof, Error> {
        Ok(Proof::default())
    }

    async fn submit(&self, _: Batch) -> Result<Verdicts, Error> {
        Ok(Verdicts::default())
    }

    async fn lookup(&self, _: Slots) -> Result<Verdicts, Error> {
        Ok(Verdicts::default())
    }

    async fn permit(&self, _: Trial) -> Result<Grant, Error> {
        Ok(Grant::default())
    }

    async fn condense(&self, _: Moment) -> Result<Part, Error> {
        Ok(Part::default())
    }
}

fn main() {
    rt::System::new().block_on(async {
        let config = configs::peer::Config::default();
        let address = "127.0.0.1:0".parse().expect("an address");
        let handle = peer::bind(address, Echo, &config).expect("a free port");
        let (address, counters) = proxy::spawn(handle.address());
        let client = Client::open(&address.to_string(), config).expect("an address");
        let summary = Summary {
            origins_digest: 1,
            versions: vec![9_000_000; 50],
            ..Summary::default()
        };
        client.exchange(&summary).await.expect("an answer");
        let setup = counters.sent.swap(0, Ordering::SeqCst);
        counters.received.store(0, Ordering::SeqCst);
        counters.segments.store(0, Ordering::SeqCst);
        for _ in 0..CALLS {
            client.exchange(&summary).await.expect("an answer");
        }
        let message = u64::try_from(codec::encode(&summary).encoded_len()).unwrap_or(u64::MAX);
        let sent = counters.sent.load(Ordering::SeqCst) / CALLS;
        let received = counters.received.load(Ordering::SeqCst) / CALLS;
        let segments = counters.segments.load(Ordering::SeqCst);
        println!(
            "first call including the connection setup: {setup} B sent for a message of {message} B"
        );
        println!(
            "later calls: {sent} B sent, {received} B received, messages of {message} B each way"
        );
        println!(
            "segments from the client per call: {:.2}",
            segments as f64 / CALLS as f64
        );
        println!(
            "framing per call from the client: {} B, and {HEADER_BYTES} B per segment",
            sent - message
        );
        println!(
            "framing per call from the server: {} B, and {HEADER_BYTES} B per segment",
            received - message
        );
        handle.stop().await;
    });
}
