//! Repeats a request until its outcome is final.

use core::time::Duration;

use crate::{
    caller::{Ask, Caller, Reply},
    poll,
};

/// The time within which an outcome must be final.
const LIMIT: Duration = Duration::from_secs(40);

/// Repeats a request on each instance in turn until it is answered or its outcome stays unknown.
///
/// # Panics
///
/// Panics if no outcome is final in time.
///
/// # Examples
///
/// ```no_run
/// # async fn run(caller: proc::caller::Caller, ask: proc::caller::Ask) {
/// let last = proc::settle::until_final(&caller, &["http://127.0.0.1:8080"], &ask).await;
/// assert_ne!(last.outcome(), "not_run");
/// # }
/// ```
pub async fn until_final(caller: &Caller, urls: &[&str], ask: &Ask) -> Reply {
    let mut last = None;
    let mut turn = urls.iter().cycle();
    let settled = poll::until(LIMIT, async || {
        let url = turn.next()?;
        last = caller.send(url, ask).await.ok();
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
