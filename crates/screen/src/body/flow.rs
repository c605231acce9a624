//! Pipelines and their stages, summed over the failure domains heard.

use base::Name;
use member::fact::{Burn, Count, Stage, Stages, Tally};

use super::{add, escape};
use crate::view::Part;

/// The burn rate, in hundredths, at which the short and the long window together raise the alarm.
pub(crate) const ALARM: u128 = 1_440;
/// Hundredths of a per cent in a whole.
const WHOLE: u128 = 10_000;
/// Requests in which the objective is told.
const MILLION: u128 = 1_000_000;
/// Seconds in the window of stages, an hour.
const HOUR: u128 = 3_600;

/// Adds attainment, burn and refusals of each pipeline.
pub(super) fn pipelines(out: &mut String, parts: &[Part<'_>]) {
    add(out, "<section class=wide><h2>Pipelines</h2>");
    lacks(out, parts);
    add(
        out,
        "<table><tr><th><th><th colspan=3>last 5 min<th colspan=4>last hour\
         <tr><th>pipeline<th>objective<th>in time<th>burn<th>refused\
         <th>in time<th>burn<th>late<th>refused",
    );
    for sum in Burn::sum(parts.iter().filter_map(told).flat_map(|one| &one.burns)) {
        pipeline(out, &sum);
    }
    add(
        out,
        "</table><p>burn: share missed over the share that the objective allows, 1 spends the budget exactly; \
         refused: refused or failed</p></section>",
    );
}

fn pipeline(out: &mut String, sum: &Burn) {
    let name = escape(&sum.pipeline);
    let Burn { short, long, .. } = sum;
    let burns = [burn(*short, sum.allowed), burn(*long, sum.allowed)];
    let raised = burns.iter().all(|burn| burn.is_some_and(|at| at >= ALARM));
    let class = if raised { " class=bad" } else { "" };
    let [short_burn, long_burn] = burns.map(rate);
    add(
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

/// Adds load and cost of each stage.
pub(super) fn stages(out: &mut String, parts: &[Part<'_>]) {
    add(out, "<section class=wide><h2>Stages, last hour</h2>");
    lacks(out, parts);
    add(out, "<table><tr><th>pipeline<th>stage<th>load<th>cost");
    let sums = Stages::sum(parts.iter().filter_map(told).flat_map(|one| &one.stages));
    for sum in &sums {
        for stage in &sum.stages {
            add(out, &row(&sum.pipeline, stage));
        }
    }
    add(
        out,
        "</table><p>load: calls that backend servers worked on at once, on average; \
         cost: operators' units</p></section>",
    );
}

/// Returns the sums of a failure domain, where it was heard in the period itself, too.
fn told<'a>(part: &Part<'a>) -> Option<&'a Tally> {
    part.sealed.and(part.tally)
}

fn row(pipeline: &Name, stage: &Stage) -> String {
    let (pipeline, name) = (escape(pipeline), escape(&stage.name));
    let load = hundredths(u128::from(stage.busy) * 100 / HOUR);
    let cost = hundredths(u128::from(stage.cost) / 10);
    format!("<tr><td>{pipeline}<td>{name}<td>{load}<td>{cost}")
}

/// Says which failure domains and how many instances of others the figures lack.
fn lacks(out: &mut String, parts: &[Part<'_>]) {
    let lack = |part: &Part<'_>| {
        let name = escape(part.name);
        match told(part) {
            Some(tally) if tally.unheard == 0 => None,
            Some(tally) => Some(format!("{} instances of {name}", tally.unheard)),
            None => Some(name),
        }
    };
    let lacks: Vec<String> = parts.iter().filter_map(lack).collect();
    if !lacks.is_empty() {
        let lacks = lacks.join(", ");
        add(out, &format!("<p class=bad>Without {lacks}</p>"));
    }
}

/// Returns the share answered in time in hundredths of a per cent, rounded down, so that only all is 100.
fn share(count: Count) -> String {
    match u128::from(count.total()) {
        0 => "no requests".to_owned(),
        total => percent(u128::from(count.good) * WHOLE / total),
    }
}

fn objective(allowed: u32) -> String {
    match u128::from(allowed) {
        0 => "unknown".to_owned(),
        allowed => percent((MILLION - allowed.min(MILLION)) * WHOLE / MILLION),
    }
}

/// Returns the burn rate in hundredths, rounded up, so that only none is 0; none where it is not known.
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
