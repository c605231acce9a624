//! Plots as inline SVG.

use burn::{report::Pipeline, window::Window};

const WIDTH: f64 = 600.0;
const HEIGHT: f64 = 90.0;

/// Draws the attainment of each minute as a bar, and the objective as a line.
///
/// A minute without requests has no bar. The axis starts at twice the distance from 1 of the objective or
/// the worst minute, whichever is lower, since the differences between shares near 1 matter.
pub(super) fn attainment(pipeline: &Pipeline) -> String {
    let active = pipeline.minutes.iter().filter(|minute| minute.total > 0);
    let worst = active.map(|minute| minute.attainment).fold(1.0, f64::min);
    let floor = (1.0 - 2.0 * (1.0 - worst.min(pipeline.objective))).max(0.0);
    let height = |share: f64| (share - floor) / (1.0 - floor) * HEIGHT;
    let step = WIDTH / pipeline.minutes.len().max(1) as f64;
    let bars: String = pipeline
        .minutes
        .iter()
        .enumerate()
        .filter(|(_, minute)| minute.total > 0)
        .map(|(at, minute)| {
            bar(
                at as f64 * step,
                step,
                height(minute.attainment),
                minute,
                pipeline,
            )
        })
        .collect();
    let line = HEIGHT - height(pipeline.objective);
    format!(
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"attainment by the minute\">\
         {bars}<line class=\"objective\" x1=\"0\" x2=\"{WIDTH}\" y1=\"{line:.1}\" y2=\"{line:.1}\"/>\
         </svg><p class=\"axis\">last 60 minutes, from {:.2}% to 100%; line: objective</p>",
        floor * 100.0
    )
}

fn bar(x: f64, step: f64, height: f64, minute: &Window, pipeline: &Pipeline) -> String {
    let class = if minute.attainment < pipeline.objective {
        "bad"
    } else {
        "good"
    };
    format!(
        "<rect class=\"{class}\" x=\"{x:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{height:.1}\">\
         <title>{} of {}</title></rect>",
        HEIGHT - height,
        step * 0.8,
        minute.within,
        minute.total
    )
}

/// Draws a value as a bar, relative to the largest value.
pub(super) fn share(value: u64, largest: u64) -> String {
    let width = 100.0 * value as f64 / largest.max(1) as f64;
    format!(
        "<svg class=\"share\" viewBox=\"0 0 100 10\" preserveAspectRatio=\"none\">\
         <rect class=\"bad\" width=\"{width:.1}\" height=\"10\"/></svg>"
    )
}
