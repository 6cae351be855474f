//! The timeline of a run as an SVG: each member's state as each other one saw it, the sum of shares, worth served, and
//! what happened when.

use std::fmt::Write;

use super::check::{shares, worth_by_second, Sample};
use super::plan::{Act, Plan};
use crate::checker::Evidence;

const WIDTH: f64 = 1_000.0;
const LEFT: f64 = 90.0;
const ROW: f64 = 5.0;
const CHART: f64 = 90.0;

/// Draws it.
pub fn draw(plan: &Plan, evidence: &Evidence, samples: &[Sample], acts: &[(u64, Act)]) -> String {
    let start = evidence.records.iter().map(|r| r.posted).min().unwrap_or_default();
    let end = samples.iter().map(|s| s.at).max().unwrap_or(start + 1).max(start + 1);
    let x = |at: u64| LEFT + (at.max(start) - start) as f64 / (end - start) as f64 * (WIDTH - LEFT - 10.0);
    let rows = plan.gateways * (plan.gateways.saturating_sub(1)).max(1);
    let top = 30.0;
    let charts = top + rows as f64 * ROW + plan.gateways as f64 * 4.0 + 20.0;
    let height = charts + 2.0 * (CHART + 30.0) + 20.0;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" font-family=\"sans-serif\" font-size=\"10\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"{LEFT}\" y=\"14\" font-size=\"12\">{}: how each saw each other (green lives, orange suspected, red dead, grey left)</text>\n",
        plan.name
    );
    let mut y = top;
    for observer in 0..plan.gateways {
        writeln!(out, "<text x=\"4\" y=\"{}\">seen by g{observer}</text>", y + 8.0).ok();
        let own: Vec<&Sample> = samples.iter().filter(|s| s.gateway == observer).collect();
        for member in (0..plan.gateways).filter(|&m| m != observer) {
            let name = format!("g{member}");
            for pair in own.windows(2) {
                let state = pair[0].view.members.iter().find(|m| m.name == name).map(|m| m.state.as_str());
                let colour = match state {
                    Some("alive") => "#4a4",
                    Some("suspect") => "#fa0",
                    Some("dead") => "#d33",
                    Some("left") => "#999",
                    _ => continue,
                };
                // A gap in the samples is a gap in the picture.
                let until = pair[1].at.min(pair[0].at + 1_000_000);
                let (from, to) = (x(pair[0].at), x(until));
                writeln!(
                    out,
                    "<rect x=\"{from:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{}\" fill=\"{colour}\"/>",
                    to - from + 0.3,
                    ROW - 1.0
                )
                .ok();
            }
            y += ROW;
        }
        y += 4.0;
    }
    let mut chart = |title: &str, top: f64, most: f64, points: &[(u64, f64)]| {
        let line: Vec<String> = points
            .iter()
            .map(|(at, v)| format!("{:.1},{:.1}", x(*at), top + CHART - (v / most).clamp(0.0, 1.0) * CHART))
            .collect();
        writeln!(out, "<text x=\"4\" y=\"{}\">{title}</text>", top + 10.0).ok();
        writeln!(out, "<text x=\"4\" y=\"{}\">0 to {most}</text>", top + 24.0).ok();
        writeln!(
            out,
            "<rect x=\"{LEFT}\" y=\"{top}\" width=\"{}\" height=\"{CHART}\" fill=\"none\" stroke=\"#ccc\"/>",
            WIDTH - LEFT - 10.0
        )
        .ok();
        writeln!(out, "<polyline fill=\"none\" stroke=\"#336\" points=\"{}\"/>", line.join(" ")).ok();
    };
    chart("sum of shares", charts, 2.0, &shares(plan, evidence, samples));
    let worth: Vec<(u64, f64)> = worth_by_second(evidence, start)
        .into_iter()
        .enumerate()
        .map(|(second, worth)| (start + second as u64 * 1_000_000, worth))
        .collect();
    chart("worth served", charts + CHART + 30.0, 1.0, &worth);
    for (at, act) in acts {
        let what = format!("{act:?}").replace('<', "").replace('&', "");
        let what: String = what.chars().take(60).collect();
        writeln!(
            out,
            "<line x1=\"{0:.1}\" x2=\"{0:.1}\" y1=\"{top}\" y2=\"{height}\" stroke=\"#000\" stroke-dasharray=\"3,3\"><title>{what}</title></line><text x=\"{0:.1}\" y=\"26\" font-size=\"8\">{what}</text>",
            x(*at)
        )
        .ok();
    }
    out + "</svg>\n"
}
