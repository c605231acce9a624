//! Asks for one request again and again until its outcome is final.

use core::time::Duration;

use crate::{
    caller::{Ask, Caller, Reply},
    poll,
};

/// How long an outcome may take to become final.
const LIMIT: Duration = Duration::from_secs(40);

/// Sends a request again, in turn to each instance, until it is answered or known to stay unknown.
///
/// # Panics
///
/// No outcome is final in time.
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

/// Tells whether a repeat cannot learn more.
fn is_final(reply: &Reply) -> bool {
    match reply.outcome() {
        "answered" => true,
        // 401 may be known better later; 400 never will.
        "unknown" => reply.code() == 400,
        _ => false,
    }
}
