//! All servers of a service that are silent at the same time, which is not a service that has failed.

mod support;

use core::time::Duration;
use std::rc::Rc;

use futures_util::future;
use googletest::prelude::*;
use relay::{Answer, Job, serve::serve};
use site::route::Kind;
use support::{Reaction, Servers, hub, job};
use tokio::time;

/// The silence of a sound server: about a second.
const SILENCE: Duration = Duration::from_millis(1_300);

/// The number of requests at the same time, and how long each waits at most.
const REQUESTS: usize = 12;
const PATIENCE: Duration = Duration::from_secs(8);

const EVENT: &str = "id: 1\ndata: a\n\n";

async fn is_answered(hub: &Rc<relay::Hub<Servers>>, kind: Kind) -> bool {
    let job = job(hub, kind, |route| {
        route.timeout = PATIENCE;
        route.objective = Duration::from_millis(500);
    });
    let job = Rc::new(Job {
        deadline: job.arrived_at + PATIENCE,
        ..Job::clone(&job)
    });
    match serve(hub, job).await {
        Ok(Answer::Whole { body, .. }) => body == EVENT,
        Ok(Answer::Stream { mut body, .. }) => {
            matches!(body.next().await, Ok(Some(bytes)) if bytes == EVENT)
                && matches!(body.next().await, Ok(None))
        }
        Err(_) => false,
    }
}

/// Requests are neither refused while all servers are silent, nor right after that.
#[gtest]
#[actix_web::test]
async fn all_servers_may_be_silent_at_once_for_a_second() {
    for kind in [Kind::Idempotent, Kind::AtMostOnce, Kind::Streaming] {
        time::pause();
        let silent = Reaction::Slow {
            head_delay: SILENCE,
            chunks: vec![(Duration::ZERO, Ok(EVENT))],
        };
        // A request may be tried at a second server beside the silent one.
        let hub = hub(vec![silent; 2 * REQUESTS]);
        let requests = (0..REQUESTS).map(|_| is_answered(&hub, kind));
        let answered = future::join_all(requests).await;
        expect_that!(answered, each(eq(&true)), "{kind:?}");
        let answer = Reaction::Answer(200, vec![Ok(EVENT)]);
        *hub.transport.reactions.borrow_mut() = vec![answer; 3].into();
        let start = time::Instant::now();
        for _ in 0..3 {
            expect_that!(is_answered(&hub, kind).await, eq(true), "{kind:?}");
        }
        expect_that!(start.elapsed(), lt(Duration::from_millis(100)), "{kind:?}");
        time::resume();
    }
}
