//! Renders pipelines and their stages, summed over the failure domains heard.

use base::Name;
use member::fact::{Burn, Count, Stage, Stages, Tally};

use super::{escape, push_line};
use crate::view::Entry;

/// The burn rate, in hundredths, that both windows must reach to raise the alarm.
pub(crate) const ALARM_HUNDREDTHS: u128 = 1_440;
/// A share of 1 in hundredths of a per cent.
const FULL_SHARE: u128 = 10_000;
/// The unit of objectives: they are stated per million requests.
const MILLION: u128 = 1_000_000;
/// The window of stages, in seconds.
const STAGE_WINDOW_SECONDS: u128 = 3_600;

/// Writes attainment, burn and refusals of each pipeline.
pub(super) fn write_pipelines(out: &mut String, entries: &[Entry<'_>]) {
    push_line(out, "<section class=wide><h2>Pipelines</h2>");
    write_missing(out, entries);
    push_line(
        out,
        "<table><tr><th><th><th colspan=3>last 5 min<th colspan=4>last hour\
         <tr><th>pipeline<th>objective<th>in time<th>burn<th>refused\
         <th>in time<th>burn<th>late<th>refused",
    );
    for sum in Burn::sum(
        entries
            .iter()
            .filter_map(tally_of)
            .flat_map(|one| &one.burns),
    ) {
        write_pipeline(out, &sum);
    }
    push_line(
        out,
        "</table><p>burn: share missed over the share that the objective allows, 1 spends the budget exactly; \
         refused: refused or failed</p></section>",
    );
}

fn write_pipeline(out: &mut String, sum: &Burn) {
    let name = escape(&sum.pipeline);
    let Burn { short, long, .. } = sum;
    let burns = [burn(*short, sum.allowed), burn(*long, sum.allowed)];
    let raised = burns
        .iter()
        .all(|burn| burn.is_some_and(|at| at >= ALARM_HUNDREDTHS));
    let class = if raised { " class=bad" } else { "" };
    let [short_burn, long_burn] = burns.map(rate);
    push_line(
        out,
        &format!(
            "<tr{class}><td>{name}<td>{}<td>{}<td>{short_burn}<td>{}<td>{}<td>{long_burn}<td>{}<td>{}",
            objective(sum.allowed),
            share(*short),
            short.refused,
            share(*long),
            long.late,
            long.refused
        ),
    );
}

/// Writes load and cost of each stage.
pub(super) fn write_stages(out: &mut String, entries: &[Entry<'_>]) {
    push_line(out, "<section class=wide><h2>Stages, last hour</h2>");
    write_missing(out, entries);
    push_line(out, "<table><tr><th>pipeline<th>stage<th>load<th>cost");
    let sums = Stages::sum(
        entries
            .iter()
            .filter_map(tally_of)
            .flat_map(|one| &one.stages),
    );
    for sum in &sums {
        for stage in &sum.stages {
            push_line(out, &stage_row(&sum.pipeline, stage));
        }
    }
    push_line(
        out,
        "</table><p>load: calls that backend servers worked on at once, on average; \
         cost: operators' units</p></section>",
    );
}

/// Returns the sums of a failure domain, if its summary of the period itself was received too.
fn tally_of<'a>(entry: &Entry<'a>) -> Option<&'a Tally> {
    entry.summary.and(entry.tally)
}

fn stage_row(pipeline: &Name, stage: &Stage) -> String {
    let (pipeline, name) = (escape(pipeline), escape(&stage.name));
    let load = hundredths(u128::from(stage.busy) * 100 / STAGE_WINDOW_SECONDS);
    let cost = hundredths(u128::from(stage.cost) / 10);
    format!("<tr><td>{pipeline}<td>{name}<td>{load}<td>{cost}")
}

/// Writes which failure domains, and how many instances of the others, are missing in the figures.
fn write_missing(out: &mut String, entries: &[Entry<'_>]) {
    let missing = |entry: &Entry<'_>| {
        let name = escape(entry.name);
        match tally_of(entry) {
            Some(tally) if tally.unheard == 0 => None,
            Some(tally) => Some(format!("{} instances of {name}", tally.unheard)),
            None => Some(name),
        }
    };
    let missing: Vec<String> = entries.iter().filter_map(missing).collect();
    if !missing.is_empty() {
        let missing = missing.join(", ");
        push_line(out, &format!("<p class=bad>Without {missing}</p>"));
    }
}

/// Returns the share answered in time as a percentage, rounded down, so that 100% means all of them.
fn share(count: Count) -> String {
    match u128::from(count.total()) {
        0 => "no requests".to_owned(),
        total => percent(u128::from(count.good) * FULL_SHARE / total),
    }
}

fn objective(allowed: u32) -> String {
    match u128::from(allowed) {
        0 => "unknown".to_owned(),
        allowed => percent((MILLION - allowed.min(MILLION)) * FULL_SHARE / MILLION),
    }
}

/// Returns the burn rate in hundredths, rounded up, so that 0 means no request missed; none if the
/// objective is unknown.
fn burn(count: Count, allowed: u32) -> Option<u128> {
    let missed = u128::from(count.late + count.refused) * MILLION * 100;
    let spent = u128::from(count.total()) * u128::from(allowed);
    match spent {
        0 if allowed > 0 => Some(0),
        0 => None,
        spent => Some(missed.div_ceil(spent)),
    }
}

fn rate(burn: Option<u128>) -> String {
    burn.map_or_else(|| "unknown".to_owned(), hundredths)
}

fn percent(share: u128) -> String {
    format!("{}%", hundredths(share))
}

fn hundredths(number: u128) -> String {
    format!("{}.{:02}", number / 100, number % 100)
}
