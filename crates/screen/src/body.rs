//! The content of a view as HTML, a pure function of the sealed summaries.

mod flow;

use core::fmt::Write as _;

use base::Name;
use member::fact::{Domain, Pool, Position};

use crate::view::Part;

/// Returns the content: configuration, pipelines, their stages, failure domains.
pub(crate) fn html(parts: &[Part<'_>]) -> String {
    let mut out = String::new();
    silent(&mut out, parts);
    configuration(&mut out, parts);
    flow::pipelines(&mut out, parts);
    flow::stages(&mut out, parts);
    for part in parts {
        match part.sealed {
            Some(sealed) => domain(&mut out, sealed),
            None => unheard(&mut out, part.name),
        }
    }
    out
}

fn heard<'a>(parts: &'a [Part<'a>]) -> impl Iterator<Item = &'a Domain> {
    parts.iter().filter_map(|part| part.sealed)
}

/// Says at the top which failure domains no figure covers.
fn silent(out: &mut String, parts: &[Part<'_>]) {
    let names = parts.iter().filter(|part| part.sealed.is_none());
    let names: Vec<String> = names.map(|part| escape(part.name)).collect();
    if !names.is_empty() {
        add(
            out,
            &format!("<p class=bad>Not heard: {}</p>", names.join(", ")),
        );
    }
}

fn configuration(out: &mut String, parts: &[Part<'_>]) {
    let mut positions: Vec<Position> = heard(parts).flat_map(|one| one.positions.clone()).collect();
    positions.sort_unstable_by_key(|one| (one.offset, one.digest));
    positions.dedup();
    let whole = heard(parts).count() == parts.len() && heard(parts).all(|one| one.unheard == 0);
    add(out, "<section><h2>Configuration</h2>");
    match positions.as_slice() {
        [] => add(out, "<p class=bad>none in force</p>"),
        [one] if whole => add(out, &format!("<p>{} in force everywhere</p>", named(one))),
        [one] => add(
            out,
            &format!("<p class=bad>{} in force where heard</p>", named(one)),
        ),
        many => {
            let names: Vec<String> = many.iter().map(named).collect();
            add(
                out,
                &format!("<p class=bad>differs: {}</p>", names.join(", ")),
            );
        }
    }
    add(out, "</section>");
}

fn named(position: &Position) -> String {
    let digest = position.digest.to_string();
    format!("{} ({})", position.offset, &digest[..8])
}

fn domain(out: &mut String, domain: &Domain) {
    let name = escape(&domain.name);
    add(out, &format!("<section><h2>{name}</h2>"));
    add(out, &format!("<p>{} instances heard", domain.count));
    if domain.leaving > 0 {
        add(
            out,
            &format!(", <b class=leaving>{} leaving</b>", domain.leaving),
        );
    }
    if domain.unheard > 0 {
        add(
            out,
            &format!(", <b class=bad>{} not heard</b>", domain.unheard),
        );
    }
    add(
        out,
        "</p><table><tr><th>pool<th>live<th>leaving<th>running<th>waiting",
    );
    domain.pools.iter().for_each(|one| pool(out, one));
    add(out, "</table></section>");
}

fn pool(out: &mut String, pool: &Pool) {
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
    add(
        out,
        &format!("<tr{class}><td>{name}<td>{live}<td>{leaving}<td>{running}<td>{waiting}"),
    );
}

fn unheard(out: &mut String, name: &Name) {
    let name = escape(name);
    add(
        out,
        &format!("<section class=unheard><h2>{name}</h2><p class=bad>NOT HEARD</p></section>"),
    );
}

fn escape(name: &Name) -> String {
    let text = name.as_str().replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}

fn add(out: &mut String, text: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(out, "{text}");
}
