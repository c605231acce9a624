//! What an instance counts of itself.

use awc::Client;

/// Returns one count of an instance's metrics; 0 where nothing was counted yet.
///
/// The name goes without its prefix, and labels as the page writes them.
///
/// # Panics
///
/// The instance does not answer.
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
