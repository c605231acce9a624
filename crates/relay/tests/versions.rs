//! Streams and the software versions of the servers that they come from.

mod support;

use core::time::Duration;
use std::rc::Rc;

use googletest::prelude::*;
use relay::{Answer, Failure, serve::serve};
use site::{roster::Server, route::Kind};
use support::{Reaction, Servers, hub, job};
use tokio::time;

type Hub = Rc<relay::Hub<Servers>>;

const FIRST: &str = "id: 1\ndata: a\n\n";
const SECOND: &str = "id: 2\ndata: b\n\n";

/// A stream that breaks some time after its chunks.
fn broken(chunks: &[&'static str]) -> Reaction {
    let chunks = chunks.iter().map(|chunk| (Duration::ZERO, Ok(*chunk)));
    let end = (Duration::from_millis(50), Err(Failure::Broken));
    Reaction::Slow {
        head_delay: Duration::ZERO,
        chunks: chunks.chain([end]).collect(),
    }
}

fn second() -> Reaction {
    Reaction::Answer(200, vec![Ok(SECOND)])
}

/// Lists a server of a version, and unlists it without one.
fn list(hub: &Hub, id: &str, version: Option<&str>, started_at_ms: u64) {
    hub.with(|state| {
        let listed = state.roster.get(&"i-0".into()).unwrap();
        let server = Server {
            id: id.into(),
            version: version.map(Into::into),
            started_at_ms,
            ..Server::clone(listed)
        };
        state.roster.insert(server, 1);
    });
}

fn unlist(hub: &Hub, ids: &[&str]) {
    let now = relay::Transport::now(&hub.transport);
    for id in ids {
        hub.with(|state| state.roster.remove(now, &(*id).into()));
    }
}

/// Returns the text of a stream, and whether it ended as complete. `change` runs after its first chunk was sent.
async fn stream(hub: &Hub, change: impl FnOnce()) -> (String, bool) {
    let job = job(hub, Kind::Streaming, |route| route.max_attempts = 3);
    let Ok(Answer::Stream { mut body, .. }) = serve(hub, job).await else {
        panic!("expected a stream");
    };
    let mut text = String::new();
    let mut change = Some(change);
    let reading = async {
        loop {
            match body.next().await {
                Ok(Some(bytes)) => text.push_str(&String::from_utf8_lossy(&bytes)),
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    };
    let changing = async {
        time::sleep(Duration::from_millis(20)).await;
        if let Some(change) = change.take() {
            change();
        }
    };
    let (is_complete, ()) = tokio::join!(reading, changing);
    (text, is_complete)
}

fn sent_to(hub: &Hub) -> Vec<String> {
    let sent = hub.transport.sent.borrow();
    sent.iter().map(|sent| sent.server.to_string()).collect()
}

/// ORDER: a broken stream went on at a server of another software version within its answer.
#[gtest]
#[actix_web::test]
async fn a_broken_stream_goes_on_only_at_the_version_that_began_it() {
    time::pause();
    let hub = hub(vec![broken(&[FIRST]), second()]);
    unlist(&hub, &["i-1", "i-2"]);
    let change = || {
        for other in ["i-3", "i-4", "i-5", "i-6", "i-7", "i-8"] {
            list(&hub, other, Some("v2"), 5);
        }
        list(&hub, "i-9", Some("v1"), 5);
    };
    let (text, is_complete) = stream(&hub, change).await;
    expect_that!((text, is_complete), eq(&(format!("{FIRST}{SECOND}"), true)));
    expect_that!(sent_to(&hub), eq(&vec!["i-0".to_owned(), "i-9".to_owned()]));
}

/// ORDER: a broken stream went on at another version when no server of its own was left.
#[gtest]
#[actix_web::test]
async fn a_broken_stream_ends_if_no_server_of_its_version_is_left() {
    for version in [Some("v2"), None] {
        time::pause();
        let hub = hub(vec![broken(&[FIRST]), second()]);
        unlist(&hub, &["i-1", "i-2"]);
        let change = || list(&hub, "i-3", version, 5);
        let (text, is_complete) = stream(&hub, change).await;
        expect_that!((text, is_complete), eq(&(FIRST.to_owned(), false)));
        expect_that!(sent_to(&hub).len(), eq(1));
        time::resume();
    }
}

/// ORDER: a stream of an unknown version went on at another server of an unknown version.
#[gtest]
#[actix_web::test]
async fn a_stream_of_an_unknown_version_goes_on_nowhere_else() {
    time::pause();
    let hub = hub(vec![broken(&[FIRST]), second()]);
    list(&hub, "i-0", None, 5);
    unlist(&hub, &["i-1", "i-2"]);
    let (text, is_complete) = stream(&hub, || list(&hub, "i-3", None, 5)).await;
    expect_that!((text, is_complete), eq(&(FIRST.to_owned(), false)));
}

/// A stream begins with its first whole event, so it is not refused for the version of a server that sent none.
#[gtest]
#[actix_web::test]
async fn a_stream_without_a_whole_event_goes_on_at_any_version() {
    for chunks in [&[][..], &["id: 1\nda"][..]] {
        time::pause();
        let hub = hub(vec![broken(chunks), second()]);
        unlist(&hub, &["i-1", "i-2"]);
        let (text, is_complete) = stream(&hub, || list(&hub, "i-3", Some("v2"), 5)).await;
        expect_that!((text, is_complete), eq(&(SECOND.to_owned(), true)));
        time::resume();
    }
}
