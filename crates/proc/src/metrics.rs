//! Reads the metrics of an instance.

use awc::Client;

/// Returns one counter of an instance's metrics, or 0 if it is absent.
///
/// `name` has no `limpetstep_` prefix, and `labels` is written as on the metrics page.
///
/// # Panics
///
/// Panics if the instance does not answer.
///
/// # Examples
///
/// ```no_run
/// # async fn run() {
/// let url = "http://127.0.0.1:8080";
/// let labels = r#"end="silent",pool="entries-api""#;
/// assert_eq!(proc::metrics::read(url, "attempts_total", labels).await, 0);
/// # }
/// ```
pub async fn read(url: &str, name: &str, labels: &str) -> u64 {
    let page = Client::new().get(format!("{url}/metrics")).send();
    let page = page.await.expect("an answer").body().await;
    let page = page.expect("a body");
    let page = String::from_utf8_lossy(&page);
    let wanted = format!("limpetstep_{name}{{{labels}}} ");
    let found = page.lines().find_map(|line| line.strip_prefix(&wanted));
    found.and_then(|count| count.parse().ok()).unwrap_or(0)
}
