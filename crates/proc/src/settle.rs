//! Repeats a request until its outcome is final.

use core::time::Duration;

use crate::{
    caller::{Caller, Reply, Request},
    poll,
};

/// The time within which an outcome must be final.
const TIMEOUT: Duration = Duration::from_secs(40);

/// Repeats a request on each instance in turn until it is answered or its outcome stays unknown.
///
/// # Panics
///
/// Panics if no outcome is final in time.
///
/// # Examples
///
/// ```no_run
/// # async fn run(caller: proc::caller::Caller, request: proc::caller::Request) {
/// let last = proc::settle::until_final(&caller, &["http://127.0.0.1:8080"], &request).await;
/// assert_ne!(last.outcome(), "not_run");
/// # }
/// ```
pub async fn until_final(caller: &Caller, urls: &[&str], request: &Request) -> Reply {
    let mut last = None;
    let mut turn = urls.iter().cycle();
    let settled = poll::until(TIMEOUT, async || {
        let url = turn.next()?;
        last = caller.send(url, request).await.ok();
        last.clone().filter(is_final)
    });
    let settled = settled.await;
    settled.unwrap_or_else(|| panic!("no final outcome; the last is {last:#?}"))
}

/// Returns whether a repeat can't change the outcome.
fn is_final(reply: &Reply) -> bool {
    match reply.outcome() {
        "answered" => true,
        // The outcome behind 401 may become known later; that behind 400 never does.
        "unknown" => reply.code() == 400,
        _ => false,
    }
}
