//! What a plan costs, from what passed the rig's doors and from the system's account of the gateways' processes.

use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::Value;

use crate::checker::Evidence;
use crate::client::Seen;

/// What has passed the doors among gateways, both ways.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Traffic {
    /// Datagrams, and their octets.
    pub datagrams: u64,
    /// See `datagrams`.
    pub datagram_octets: u64,
    /// Octets of streams, and streams opened.
    pub stream_octets: u64,
    /// See `stream_octets`.
    pub streams: u64,
}

/// A look at it.
#[derive(Debug, Clone, Copy)]
pub struct Mark {
    /// When.
    pub at: Instant,
    /// What had passed.
    pub traffic: Traffic,
    /// Processor seconds of all gateways.
    pub cpu: f64,
}

fn round(x: f64) -> Value {
    ((x * 10.0).round() / 10.0).into()
}

/// Between two looks, each figure over `of`.
fn between(from: &Mark, to: &Mark, of: f64, per: &str) -> Vec<(String, Value)> {
    let each = |a: u64, b: u64| round((b - a) as f64 / of);
    let (a, b) = (from.traffic, to.traffic);
    [
        ("datagrams", each(a.datagrams, b.datagrams)),
        ("datagram_octets", each(a.datagram_octets, b.datagram_octets)),
        ("stream_octets", each(a.stream_octets, b.stream_octets)),
        ("cpu_micros", round((to.cpu - from.cpu).max(0.0) * 1e6 / of)),
    ]
    .into_iter()
    .map(|(name, value)| (format!("{name}_{per}"), value))
    .collect()
}

/// The figures: marks are at the first client, after the last, and at the begin and end of a span in which nobody asked.
/// Latencies are from post to end, in milliseconds: class, median, 99th, of how many served.
pub fn figures(evidence: &Evidence, marks: &[Mark], gateways: usize) -> Vec<(String, Value)> {
    let mut figures = Vec::new();
    let taken = evidence.records.iter().filter(|r| r.taken.is_some()).count();
    if let [from, to, rest @ ..] = marks {
        figures.extend(between(from, to, taken.max(1) as f64, "a_statement"));
        if rest.is_empty() {
            // Processes may have ended, and taken their account along.
            figures.retain(|f| !f.0.starts_with("cpu"));
        }
        if let [from, to] = rest {
            let seconds = to.at.duration_since(from.at).as_secs_f64() * gateways as f64;
            figures.extend(between(from, to, seconds, "a_gateway_and_second_at_rest"));
        }
    }
    let mut classes: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for r in evidence.records.iter().filter(|r| r.seen == Seen::Served) {
        classes.entry(&r.class).or_default().push(r.ended - r.posted);
    }
    for (class, mut spans) in classes {
        spans.sort_unstable();
        let at = |part: f64| round(spans[((spans.len() - 1) as f64 * part) as usize] as f64 / 1e3);
        figures
            .push((format!("latency_ms_{class}"), Value::Array(vec![at(0.5), at(0.99), spans.len().into()])));
    }
    figures
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    #[test]
    fn costs_are_told_for_a_statement_and_for_a_gateway_at_rest() {
        let mut draw = crate::load::Draw::new(1, 1.0, 2, "t");
        let mut evidence = Evidence::default();
        for span in [1_000, 2_000, 9_000, 4_000] {
            let record = draw.next(&crate::load::Shape::default()).record;
            let (class, seen) = ("lookup".into(), Seen::Served);
            let taken = Some(1);
            evidence.records.push(crate::client::Record { class, seen, taken, ended: span, ..record });
        }
        let at = Instant::now();
        let mark = |seconds, datagrams, stream_octets, cpu| Mark {
            at: at + Duration::from_secs(seconds),
            traffic: Traffic { datagrams, stream_octets, ..Traffic::default() },
            cpu,
        };
        let marks =
            [mark(0, 5, 0, 1.0), mark(9, 13, 800, 1.5), mark(10, 20, 900, 1.5), mark(14, 36, 900, 2.0)];
        let figures: BTreeMap<String, Value> = super::figures(&evidence, &marks, 2).into_iter().collect();
        assert_eq!(figures["datagrams_a_statement"], 2.0);
        assert_eq!(figures["stream_octets_a_statement"], 200.0);
        assert_eq!(figures["cpu_micros_a_statement"], 125_000.0);
        assert_eq!(figures["datagrams_a_gateway_and_second_at_rest"], 2.0);
        assert_eq!(figures["stream_octets_a_gateway_and_second_at_rest"], 0.0);
        assert_eq!(figures["latency_ms_lookup"], serde_json::json!([2.0, 4.0, 4]));
    }
}
