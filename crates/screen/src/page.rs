//! The HTML page of a view.

use base::Stamp;

use crate::{View, configs};

/// The interval at which a page reloads itself, in seconds.
const RELOAD_SECONDS: u64 = 5;

const STYLE: &str = "
:root { color-scheme: dark; font: clamp(1rem, 1.6vw, 2rem)/1.3 system-ui, sans-serif }
body { margin: 1rem; background: #111; color: #eee }
header { display: flex; flex-wrap: wrap; gap: 0 2rem; align-items: baseline }
h1 { font-size: 2em; margin: 0 } h2 { margin: 0 0 .3em }
main { display: grid; gap: 1rem; grid-template-columns: repeat(auto-fit, minmax(min(24rem, 100%), 1fr)) }
main > .wide { grid-column: 1 / -1 }
main > p { grid-column: 1 / -1; font-size: 1.5em; margin: 0 }
section { border: 2px solid #555; padding: .6rem; overflow-x: auto }
table { border-collapse: collapse; width: 100% }
td, th { text-align: right; padding: .1em .4em } td:first-child, th:first-child { text-align: left }
.bad { color: #fff; background: #a00; padding: 0 .3em } .unheard { border-style: dashed }
.leaving { color: #000; background: #fb0; padding: 0 .3em }
.old { background: #a00 }
";

/// Updates the age in the browser, so that a page whose server has stopped answering shows it.
const SCRIPT: &str = "
const age = document.getElementById('age'), begun = performance.now();
setInterval(() => {
  const seconds = Number(age.dataset.age) + (performance.now() - begun) / 1000;
  age.textContent = Math.floor(seconds) + ' s old';
  age.classList.toggle('old', seconds >= Number(age.dataset.old));
}, 500);
";

/// Returns the page of a view. It is self-contained.
///
/// # Examples
///
/// ```
/// use base::Stamp;
/// use member::fact::Domain;
/// use screen::{Screen, configs, page};
/// let config = configs::screen::Screen::default();
/// let mut screen = Screen::new(config.clone());
/// screen.insert_summary(&Domain { name: "accra-1".into(), version: 12, ..Domain::default() });
/// let now = Stamp::from_millis(125_000);
/// let page = page::html(&screen.view(now).unwrap(), now, &config);
/// assert!(page.contains("5 s old") && page.contains("accra-1"));
/// ```
pub fn html(view: &View, now: Stamp, config: &configs::screen::Screen) -> String {
    let number = view.number;
    let age = view.age(now);
    let stale_seconds = config.stale_age.as_secs();
    let class = if age >= config.stale_age {
        " class=old"
    } else {
        ""
    };
    let seconds = age.as_secs();
    let body = &view.body;
    format!(
        "<!doctype html><html lang=en><meta charset=utf-8>\
         <meta name=viewport content=\"width=device-width\">\
         <meta http-equiv=refresh content={RELOAD_SECONDS}>\
         <title>limpetstep {number}</title><style>{STYLE}</style>\
         <header><h1>View {number}</h1>\
         <p id=age{class} data-age={seconds} data-old={stale_seconds}>{seconds} s old</p></header>\
         <main>{body}</main><script>{SCRIPT}</script>"
    )
}
