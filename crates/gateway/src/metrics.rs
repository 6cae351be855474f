//! `GET /metrics`: the gateway's counters and gauges in OpenMetrics text format, collected at each request. A
//! label has no more values than there are kinds of endings, member states or classes.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

use crate::host::Host;

/// Content type of the exposition.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Values of all metrics at the time of the request.
#[derive(Debug)]
struct Snapshot {
    /// Statements by ending.
    endings: [(&'static str, u64); 6],
    /// Name, help text and value of each counter.
    counters: Vec<(&'static str, &'static str, u64)>,
    /// Name, help text and value of each gauge.
    gauges: Vec<(&'static str, &'static str, f64)>,
    /// Members of the fleet by state.
    members: BTreeMap<&'static str, i64>,
}

impl Snapshot {
    fn new(host: &Rc<Host>, connections: usize) -> Snapshot {
        let (counts, open, held) = host.read_core(|core| (core.counts, core.open(), core.held()));
        let mut counters = vec![
            ("statements_taken", "Statements taken", counts.taken),
            ("attempts", "Attempts sent to engines", counts.attempts),
            (
                "statements_overdue",
                "Statements that were not ended by their deadline: always 0",
                counts.overdue,
            ),
        ];
        let mut gauges = vec![
            ("statements_open", "Statements that have not ended", open as f64),
            ("statements_held", "Statements whose pages are kept", held as f64),
            ("connections", "Connections of clients", connections as f64),
            ("uptime_seconds", "Since the start", host.started.elapsed().as_secs_f64()),
        ];
        let mut members = BTreeMap::new();
        if let Some(peers) = host.peers() {
            let view = peers.status();
            members.extend(
                ["alive", "suspect", "dead", "left"]
                    .map(|state| (state, view.members.iter().filter(|m| m.state == state).count() as i64)),
            );
            gauges.push(("fleet_share", "This gateway's part of the fleet", view.share));
            counters.extend([
                ("datagrams_sent", "Datagrams sent to other gateways", view.sent.0),
                ("datagrams_sent_bytes", "Their octets", view.sent.1),
                ("datagrams_refused", "Datagrams that were not believed", view.refused.iter().sum()),
                ("pauses", "Times that this process stood still", view.paused),
            ]);
        }
        if let Some(custody) = host.custody() {
            let standing = custody.status(host);
            counters.extend([
                ("statements_adopted", "Statements taken over from other gateways", standing.adopted),
                ("statements_left", "Statements left to other gateways", standing.left),
                (
                    "statements_unprotected",
                    "Statements for which there was no guardian",
                    standing.unprotected,
                ),
                ("polls_passed_on", "Requests passed on to other gateways", standing.passed_on),
            ]);
            gauges.extend([
                (
                    "custody_tenure",
                    "1 while this gateway may begin attempts",
                    f64::from(u8::from(standing.tenure)),
                ),
                ("custody_records", "Records kept for other gateways", standing.guarded as f64),
                ("custody_records_bytes", "Their octets", standing.guarded_bytes as f64),
            ]);
        }
        if let Some(agreed) = &*host.agreed.borrow() {
            let standing = agreed.status(host.now(), u64::MAX);
            let seconds = standing.without_lease as f64 / 1e6;
            gauges.extend([
                (
                    "settings_version",
                    "The newest version of the settings that is known",
                    standing.newest as f64,
                ),
                ("settings_lease", "1 under a lease", f64::from(u8::from(standing.acts.is_some()))),
                ("settings_without_lease_seconds", "Without a lease since the start, in all", seconds),
            ]);
        }
        let endings = [
            ("served", counts.served),
            ("declined", counts.declined),
            ("refused", counts.refused),
            ("failed", counts.failed),
            ("cancelled", counts.cancelled),
            ("abandoned", counts.abandoned),
        ];
        Snapshot { endings, counters, gauges, members }
    }
}

impl Collector for Snapshot {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        for &(name, help, value) in &self.counters {
            let metric = ConstCounter::new(value);
            metric.encode(encoder.encode_descriptor(name, help, None, metric.metric_type())?)?;
        }
        for &(name, help, value) in &self.gauges {
            let metric = ConstGauge::new(value);
            metric.encode(encoder.encode_descriptor(name, help, None, metric.metric_type())?)?;
        }
        let counter = ConstCounter::new(0_u64);
        let help = "Statements by how they ended";
        let mut family = encoder.encode_descriptor("statements_ended", help, None, counter.metric_type())?;
        for (ending, value) in self.endings {
            ConstCounter::new(value).encode(family.encode_family(&[("ending", ending)])?)?;
        }
        if self.members.is_empty() {
            return Ok(());
        }
        let gauge = ConstGauge::new(0_i64);
        let help = "Other gateways by what is believed of them";
        let mut family = encoder.encode_descriptor("members", help, None, gauge.metric_type())?;
        for (&state, &count) in &self.members {
            ConstGauge::new(count).encode(family.encode_family(&[("state", state)])?)?;
        }
        Ok(())
    }
}

/// Renders the exposition.
pub fn render(host: &Rc<Host>, connections: usize) -> String {
    let mut registry = Registry::with_prefix("violetward");
    registry.register_collector(Box::new(Snapshot::new(host, connections)));
    let mut text = String::new();
    // Encoding fails only for names that OpenMetrics does not allow, and a test reads all of them.
    prometheus_client::encoding::text::encode(&mut text, &registry).ok();
    text
}
