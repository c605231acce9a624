//! Calls that other instances make while the links of this one are lost.

mod support;

use std::rc::Rc;

use googletest::prelude::*;
use mesh::Peer;
use relay::{Failure, Hub, Transport, serve::serve};
use site::route::Kind;
use support::{Reaction, Servers, hub, job};
use tokio::time;

/// Returns a hub that is cut off from all servers, and knows two other instances.
fn cut_off_hub(reactions: Vec<Reaction>) -> Rc<Hub<Servers>> {
    let hub = hub(reactions);
    let now = hub.transport.now();
    hub.with(|state| {
        state.links.record_check(now, false);
        for (at, name) in ["i-a", "i-b"].into_iter().enumerate() {
            state.members.add(Peer {
                name: name.into(),
                address: format!("10.0.1.{at}:7740").parse().unwrap(),
                domain: "a".into(),
                capacity: 1_000,
            });
            state.members.mark_live(now, &name.into());
        }
    });
    hub
}

/// RECOVER: a request was refused as its only server had been tried, although the instance that was asked for help had sent
/// nothing to it and another one could have.
#[gtest]
#[actix_web::test]
async fn another_instance_calls_the_same_server_if_the_first_one_can_not() {
    time::pause();
    let whole = Reaction::Answer(200, vec![Ok("whole")]);
    let hub = cut_off_hub(vec![Reaction::Fail(Failure::HelperUnavailable), whole]);
    hub.with(|state| {
        for id in ["i-1", "i-2"] {
            state.roster.mark_leaving(&id.into(), 0);
        }
    });
    let served = serve(&hub, job(&hub, Kind::Idempotent, |_| {})).await;
    expect_that!(served.is_ok(), eq(true));
    let sent = hub.transport.sent.borrow();
    let servers: Vec<_> = sent.iter().map(|sent| sent.server.as_str()).collect();
    expect_that!(servers, container_eq(["i-0", "i-0"]));
}
