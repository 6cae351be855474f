//! The loss of a site.

use violetward_digest::GossipConfig;

use super::*;
use crate::terms::{SitePlace, SiteTerms};

/// `(site-loss (site NAME (gateways N) (zones ZONE ...) (engines NAME ...)) ...)`: all sites, in the same order at every
/// gateway, and how they are watched.
pub(super) fn site_terms(c: &mut Checker, form: &Form<'_>, peers: Option<&PeerTerms>) -> Option<SiteTerms> {
    let Some(peers) = peers else {
        c.at(
            form,
            "site-loss needs (membership ...): who lives, and what gateways tell each other, come from there",
        );
        return None;
    };
    let (mut sites, mut rest): (Vec<SitePlace>, Vec<_>) = (Vec::new(), Vec::new());
    for datum in &form.rest {
        let Some(f) = c.form(*datum).filter(|f| f.name == "site") else {
            rest.push(*datum);
            continue;
        };
        let Some(name) = c.name(&f) else { continue };
        if sites.iter().any(|s| s.name == name) {
            c.at(&f, format!("site {name} stands twice"));
            continue;
        }
        let g = c.fields(&f, 1, &["gateways", "zones", "engines"]);
        let gateways = g.whole(c, "gateways", (0, 1 << 20), 1) as u32;
        let mut list = |field: &str| g.get(field).cloned().map(|f| c.words(&f));
        let (zones, engines) = (list("zones"), list("engines").unwrap_or_default());
        // Where neither is told, a site's engines are those of the zone of its name.
        let zones = zones.unwrap_or_else(|| if engines.is_empty() { vec![name.clone()] } else { Vec::new() });
        sites.push(SitePlace { name, gateways, zones, engines });
    }
    let fields = form.with(rest);
    let known = [
        "acts",
        "site-tag",
        "doubt",
        "settle",
        "back",
        "back-most",
        "ramp",
        "calm",
        "average",
        "round",
        "octets",
        "step",
        "every",
        "low",
        "high",
        "stay-away",
        "fill",
    ];
    let f = c.fields(&fields, 0, &known);
    let own = sites.iter().position(|s| s.name == peers.site);
    if own.is_none() {
        c.at(form, format!("site-loss: membership's site {} is none of the sites told here", peers.site));
    }
    if !(2..=64).contains(&sites.len()) {
        c.at(form, "site-loss: expected two to 64 (site NAME ...)");
    }
    let usual = violetward_site::state::Terms::default();
    let mut span = |name: &str, default: u64| micros(f.span(c, name, Duration::from_micros(default)));
    let watch = violetward_site::state::Terms {
        doubt: span("doubt", usual.doubt),
        settle: span("settle", usual.settle),
        back: span("back", usual.back),
        back_most: span("back-most", usual.back_most),
        ramp: span("ramp", usual.ramp),
        calm: span("calm", usual.calm),
        ..usual
    };
    let pace = GossipConfig {
        round_interval: span("round", GossipConfig::default().round_interval),
        ..GossipConfig::default()
    };
    let (average, every, stay_away) =
        (span("average", 20_000_000), span("every", 500_000), span("stay-away", 1_000_000));
    let pace = GossipConfig {
        bytes_per_second: f.number(c, "octets", (1_000.0, 1e9), pace.bytes_per_second),
        ..pace
    };
    let (low, high) = (f.number(c, "low", (0.0, 10.0), 0.3), f.number(c, "high", (0.0, 10.0), 0.8));
    if low >= high {
        c.at(form, "site-loss: low must be under high");
    }
    if watch.back_most < watch.back || average < 1_000_000 || pace.round_interval < 100_000 || every < 50_000
    {
        c.at(
            form,
            "site-loss: expected back-most >= back, average >= \"1s\", round >= \"100ms\", every >= \"50ms\"",
        );
    }
    Some(SiteTerms {
        own: own?,
        acts: f.flag(c, "acts", true),
        tag: f.word(c, "site-tag", "site="),
        step: f.number(c, "step", (0.001, 1.0), 0.02),
        fill: f.number(c, "fill", (0.1, 1.0), 1.0),
        sites,
        watch,
        average,
        pace,
        every,
        low,
        high,
        stay_away,
    })
}
