//! A self-contained HTML page with plots as inline SVG.

use burn::report::Pipeline;

use super::{MAX_ROWS, attained, blame_of, origin_of, percent, plot, time_of, units};
use crate::fetch::{Failure, Reading};

const STYLE: &str = "body{font:16px/1.4 sans-serif;margin:1.5em;max-width:75em;color:#222;\
background:#fff}h1,h2{font-weight:600}table{border-collapse:collapse}td,th{padding:.2em .8em;\
text-align:left;border-bottom:1px solid #ccc}td.n{text-align:right}svg{width:100%;max-width:40em;\
height:6em;background:#f4f4f4}svg.share{width:10em;height:.8em}.good{fill:#3b7dd8}.bad{fill:#c2410c}\
.objective{stroke:#222;stroke-dasharray:4 3}.axis{margin:0;color:#555;font-size:.8em}\
.alarm{color:#c2410c;font-weight:700}";

pub(super) fn page(reading: &Reading) -> String {
    let report = &reading.report;
    let at = time_of(report.at);
    let silent = list(reading.silent.iter().map(Failure::line));
    let no_answer = if silent.is_empty() {
        String::new()
    } else {
        format!("<h2 class=\"alarm\">No answer from</h2>{silent}")
    };
    let pipelines: String = report.pipelines.iter().map(pipeline).collect();
    format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>burn at {at}</title><style>{STYLE}</style></head><body>\n\
         <h1>Burn at {at}</h1>\n{no_answer}\n<h2>Pipelines</h2>\n{pipelines}\n\
         <h2>What spent the budget</h2>\n{}\n<h2>Client accounts, worst burn first</h2>\n{}\n\
         <h2>Cost by stage</h2>\n{}\n<h2>Counted by</h2>\n{}\n</body></html>\n",
        blames(reading),
        accounts(reading),
        costs(reading),
        list(report.origins.iter().map(origin_of)),
    )
}

fn pipeline(pipeline: &Pipeline) -> String {
    let alarms: String = pipeline
        .alarms
        .iter()
        .map(|alarm| {
            let class = if alarm.raised { "alarm" } else { "calm" };
            format!(
                "<li class=\"{class}\">burn {:.2} in {} min and {:.2} in {} min; alarm at {}</li>",
                alarm.short.burn,
                alarm.short.seconds / 60,
                alarm.long.burn,
                alarm.long.seconds / 60,
                alarm.rate
            )
        })
        .collect();
    format!(
        "<section><h3>{}</h3><p>{}; objective {}; budget left {}</p>{}<ul>{alarms}</ul></section>\n",
        escape(pipeline.name.as_str()),
        attained(&pipeline.budget),
        percent(pipeline.objective),
        percent(pipeline.left),
        plot::attainment(pipeline)
    )
}

fn blames(reading: &Reading) -> String {
    let blames = &reading.report.blames;
    let largest = blames.first().map_or(0, |one| one.count);
    let rows = blames.iter().take(MAX_ROWS).map(|one| {
        format!(
            "{}{}{}<td>{}</td>",
            cell(one.pipeline.as_str()),
            cell(&blame_of(one)),
            number(&one.count.to_string()),
            plot::share(one.count, largest)
        )
    });
    table(&["pipeline", "cause", "requests", ""], rows)
}

fn accounts(reading: &Reading) -> String {
    let rows = reading.report.accounts.iter().take(MAX_ROWS).map(|one| {
        format!(
            "{}{}{}{}{}",
            cell(one.account.as_str()),
            cell(one.pipeline.as_str()),
            number(&one.budget.total.to_string()),
            number(&percent(one.budget.attainment)),
            number(&format!("{:.2}", one.budget.burn))
        )
    });
    table(
        &[
            "client account",
            "pipeline",
            "requests",
            "attainment",
            "burn",
        ],
        rows,
    )
}

fn costs(reading: &Reading) -> String {
    let rows = reading.report.costs.iter().map(|one| {
        format!(
            "{}{}{}{}{}{}",
            cell(one.pipeline.as_str()),
            cell(one.stage.as_str()),
            number(&one.calls.to_string()),
            number(&one.repeats.to_string()),
            number(&units(one.cost_micros)),
            number(&units(one.wasted_micros))
        )
    });
    table(
        &[
            "pipeline",
            "stage",
            "calls",
            "repeats",
            "cost",
            "of it wasted",
        ],
        rows,
    )
}

fn table(headers: &[&str], rows: impl Iterator<Item = String>) -> String {
    let headers: String = headers
        .iter()
        .map(|header| format!("<th>{header}</th>"))
        .collect();
    let rows: String = rows.map(|row| format!("<tr>{row}</tr>\n")).collect();
    format!("<table><tr>{headers}</tr>\n{rows}</table>")
}

fn list(rows: impl Iterator<Item = String>) -> String {
    let rows: String = rows
        .map(|row| format!("<li>{}</li>", escape(&row)))
        .collect();
    if rows.is_empty() {
        rows
    } else {
        format!("<ul>{rows}</ul>")
    }
}

fn cell(text: &str) -> String {
    format!("<td>{}</td>", escape(text))
}

fn number(text: &str) -> String {
    format!("<td class=\"n\">{}</td>", escape(text))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
