//! The report as plain text.

use burn::{bucket::Cost, report::Pipeline};

use super::{MAX_ROWS, attained, blame_of, origin_of, percent, time_of, units};
use crate::fetch::{Failure, Reading};

pub(super) fn lines(reading: &Reading) -> String {
    let report = &reading.report;
    let mut lines = vec![format!("burn at {}", time_of(report.at))];
    section(
        &mut lines,
        "no answer from",
        reading.silent.iter().map(Failure::line),
    );
    section(
        &mut lines,
        "counted by",
        report.origins.iter().map(origin_of),
    );
    section(
        &mut lines,
        "pipelines",
        report.pipelines.iter().map(pipeline),
    );
    let blames = report.blames.iter().take(MAX_ROWS);
    section(
        &mut lines,
        "what spent the budget",
        blames.map(|one| {
            format!(
                "{:<22} {:>9} {}",
                one.pipeline.as_str(),
                one.count,
                blame_of(one)
            )
        }),
    );
    let accounts = report.accounts.iter().take(MAX_ROWS);
    section(
        &mut lines,
        "client accounts, worst burn first",
        accounts.map(|one| {
            format!(
                "{:<22} {:<22} {:>9} burn {:.2}",
                one.account.as_str(),
                one.pipeline.as_str(),
                percent(one.budget.attainment),
                one.budget.burn
            )
        }),
    );
    section(
        &mut lines,
        "cost by stage, in units",
        report.costs.iter().map(cost),
    );
    lines.join("\n")
}

fn section(lines: &mut Vec<String>, title: &str, rows: impl Iterator<Item = String>) {
    let before = lines.len();
    lines.extend(rows.map(|row| format!("  {row}")));
    if lines.len() > before {
        lines.insert(before, format!("\n{title}:"));
    }
}

fn pipeline(pipeline: &Pipeline) -> String {
    let alarms: Vec<String> = pipeline
        .alarms
        .iter()
        .map(|alarm| {
            let raised = if alarm.raised { " ALARM" } else { "" };
            format!(
                "burn {:.2} in {} min, {:.2} in {} min{raised}",
                alarm.short.burn,
                alarm.short.seconds / 60,
                alarm.long.burn,
                alarm.long.seconds / 60
            )
        })
        .collect();
    format!(
        "{:<22} {} (objective {}), budget left {}; {}",
        pipeline.name.as_str(),
        attained(&pipeline.budget),
        percent(pipeline.objective),
        percent(pipeline.left),
        alarms.join("; ")
    )
}

fn cost(cost: &Cost) -> String {
    format!(
        "{:<22} {:<12} {:>9} calls, {} repeats, cost {}, of it wasted {}",
        cost.pipeline.as_str(),
        cost.stage.as_str(),
        cost.calls,
        cost.repeats,
        units(cost.cost_micros),
        units(cost.wasted_micros)
    )
}
