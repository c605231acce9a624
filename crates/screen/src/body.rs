//! Renders the content of a view as HTML. It depends on the sealed summaries and sums only.

mod pipelines;

use core::fmt::Write as _;

use base::Name;
use member::fact::{Domain, Pool, Position};

use crate::view::Entry;

/// Returns the content: configuration, pipelines, their stages, failure domains.
pub(crate) fn html(entries: &[Entry<'_>]) -> String {
    let mut out = String::new();
    write_unheard_names(&mut out, entries);
    write_configuration(&mut out, entries);
    pipelines::write_pipelines(&mut out, entries);
    pipelines::write_stages(&mut out, entries);
    for entry in entries {
        match entry.summary {
            Some(summary) => write_domain(&mut out, summary),
            None => write_unheard(&mut out, entry.name),
        }
    }
    out
}

fn summaries<'a>(entries: &'a [Entry<'a>]) -> impl Iterator<Item = &'a Domain> {
    entries.iter().filter_map(|entry| entry.summary)
}

/// Writes the names of the failure domains that are in none of the figures.
fn write_unheard_names(out: &mut String, entries: &[Entry<'_>]) {
    let names = entries.iter().filter(|entry| entry.summary.is_none());
    let names: Vec<String> = names.map(|entry| escape(entry.name)).collect();
    if !names.is_empty() {
        push_line(
            out,
            &format!("<p class=bad>Not heard: {}</p>", names.join(", ")),
        );
    }
}

fn write_configuration(out: &mut String, entries: &[Entry<'_>]) {
    let mut positions: Vec<Position> = summaries(entries)
        .flat_map(|one| one.positions.clone())
        .collect();
    positions.sort_unstable_by_key(|one| (one.offset, one.digest));
    positions.dedup();
    let is_complete = summaries(entries).count() == entries.len()
        && summaries(entries).all(|one| one.unheard == 0);
    push_line(out, "<section><h2>Configuration</h2>");
    match positions.as_slice() {
        [] => push_line(out, "<p class=bad>none in force</p>"),
        [one] if is_complete => push_line(
            out,
            &format!("<p>{} in force everywhere</p>", position_text(one)),
        ),
        [one] => push_line(
            out,
            &format!(
                "<p class=bad>{} in force where heard</p>",
                position_text(one)
            ),
        ),
        many => {
            let names: Vec<String> = many.iter().map(position_text).collect();
            push_line(
                out,
                &format!("<p class=bad>differs: {}</p>", names.join(", ")),
            );
        }
    }
    push_line(out, "</section>");
}

fn position_text(position: &Position) -> String {
    let digest = position.digest.to_string();
    format!("{} ({})", position.offset, &digest[..8])
}

fn write_domain(out: &mut String, domain: &Domain) {
    let name = escape(&domain.name);
    push_line(out, &format!("<section><h2>{name}</h2>"));
    push_line(out, &format!("<p>{} instances heard", domain.count));
    if domain.leaving > 0 {
        push_line(
            out,
            &format!(", <b class=leaving>{} leaving</b>", domain.leaving),
        );
    }
    if domain.unheard > 0 {
        push_line(
            out,
            &format!(", <b class=bad>{} not heard</b>", domain.unheard),
        );
    }
    push_line(
        out,
        "</p><table><tr><th>pool<th>live<th>leaving<th>running<th>waiting",
    );
    domain.pools.iter().for_each(|pool| write_pool(out, pool));
    push_line(out, "</table></section>");
}

fn write_pool(out: &mut String, pool: &Pool) {
    let class = match (pool.live, pool.leaving) {
        (0, _) => " class=bad",
        (_, 0) => "",
        _ => " class=leaving",
    };
    let name = escape(&pool.name);
    let Pool {
        live,
        leaving,
        running,
        waiting,
        ..
    } = pool;
    push_line(
        out,
        &format!("<tr{class}><td>{name}<td>{live}<td>{leaving}<td>{running}<td>{waiting}"),
    );
}

fn write_unheard(out: &mut String, name: &Name) {
    let name = escape(name);
    push_line(
        out,
        &format!("<section class=unheard><h2>{name}</h2><p class=bad>NOT HEARD</p></section>"),
    );
}

fn escape(name: &Name) -> String {
    let text = name.as_str().replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}

fn push_line(out: &mut String, text: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(out, "{text}");
}
