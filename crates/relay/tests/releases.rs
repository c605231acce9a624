//! Releases of results whose servers leave, start again or lose their addresses.

mod support;

use core::time::Duration;
use std::rc::Rc;

use base::{Incarnation, Stamp};
use batch::piece::Handle;
use googletest::prelude::*;
use relay::{Hub, Notice, Rate, Transport};
use site::roster::Server;
use support::{Servers, hub};
use tokio::time;

/// Longer than releases are collected.
const RELEASE_TIME: Duration = Duration::from_millis(50);

/// The pause that a server asks for.
const PAUSE: Duration = Duration::from_millis(800);

fn server(id: &str, started_at_ms: u64) -> Server {
    Server {
        id: id.into(),
        pool: "stages".into(),
        address: "10.0.9.1:80".parse().unwrap(),
        domain: "a".into(),
        slots: 1,
        leaving: false,
        started_at_ms,
        version: Some("v1".into()),
    }
}

/// A result of the first run of the server "maker".
fn result() -> Handle {
    Handle {
        maker: Some(Incarnation::new("maker", Stamp::from_millis(7))),
        text: "10.0.9.1:80/1".into(),
    }
}

/// Returns a hub that lists a server at the result's address.
fn hub_with(server: Server) -> Rc<Hub<Servers>> {
    let hub = hub(Vec::new());
    hub.with(|state| state.roster.insert(server, 1));
    hub
}

async fn released(hub: &Rc<Hub<Servers>>, result: Handle) -> usize {
    hub.release(vec![result]);
    time::sleep(RELEASE_TIME).await;
    hub.transport.released.borrow().len()
}

/// UNASKED: a release went to the server that was listed at the address of the result when it was sent.
#[gtest]
#[actix_web::test]
async fn a_result_is_released_at_the_run_that_made_it_only() {
    time::pause();
    let leaving = Server {
        leaving: true,
        ..server("maker", 7)
    };
    let unknown = Handle {
        maker: None,
        ..result()
    };
    for (listed, result, expected) in [
        (server("maker", 7), result(), 1),
        (server("maker", 7), unknown, 0),
        (server("maker", 8), result(), 0),
        (server("other", 7), result(), 0),
        (leaving, result(), 0),
    ] {
        let case = format!("{listed:?}, {result:?}");
        let hub = hub_with(listed);
        expect_that!(released(&hub, result).await, eq(expected), "{case}");
    }
}

/// UNASKED: a release that a pause of its server delayed was sent although the server had left meanwhile.
#[gtest]
#[actix_web::test]
async fn a_delayed_release_is_dropped_once_its_server_is_gone() {
    time::pause();
    for next in [None, Some(server("other", 9)), Some(server("maker", 9))] {
        let is_replaced = next.is_some();
        let hub = hub_with(server("maker", 7));
        let now = hub.transport.now();
        hub.transport.notices.borrow_mut().push(Notice {
            server: "maker".into(),
            started_at_ms: 7,
            sent_at: now,
            received_at: now,
            is_direct: true,
            is_leaving: false,
            pause: Some(PAUSE),
            rate: Rate::Unlimited,
            brittle: Rate::Unlimited,
            cold_left: None,
            slowness: None,
        });
        expect_that!(released(&hub, result()).await, eq(0));
        if let Some(next) = next {
            hub.with(|state| {
                state.roster.remove(now, &"maker".into());
                state.roster.insert(next, 1);
            });
        }
        time::sleep(PAUSE * 2).await;
        let count = hub.transport.released.borrow().len();
        expect_that!(count, eq(usize::from(!is_replaced)));
    }
}
