//! Polls a condition until it holds or a timeout passes.

use core::time::Duration;
use std::time::Instant;

use actix_web::rt::time::sleep;

/// The interval between two checks of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls until there is a value or the timeout has passed.
///
/// # Examples
///
/// ```
/// # actix_web::rt::System::new().block_on(async {
/// use core::time::Duration;
/// let mut left = 3;
/// let done = proc::poll::until(Duration::from_secs(5), async || {
///     left -= 1;
///     (left == 0).then_some("done")
/// });
/// assert_eq!(done.await, Some("done"));
/// # });
/// ```
pub async fn until<T>(timeout: Duration, mut check: impl AsyncFnMut() -> Option<T>) -> Option<T> {
    let until = Instant::now() + timeout;
    loop {
        if let Some(answer) = check().await {
            return Some(answer);
        }
        if Instant::now() >= until {
            return None;
        }
        sleep(POLL_INTERVAL).await;
    }
}
