//! The section `site-loss`: sites and the response to the loss of one.

use violetward_digest::GossipConfig;

use super::*;
use crate::terms::{SiteConfig, SiteTerms};

/// Reads `(site-loss (site NAME (gateways N) (zones ZONE ...) (engines NAME ...)) ...)`: all sites, in the
/// same order at every gateway, and how their states are determined.
pub(super) fn site_terms(
    checker: &mut Checker,
    form: &Form<'_>,
    peers: Option<&PeerTerms>,
) -> Option<SiteTerms> {
    let Some(peers) = peers else {
        checker.error_at(
            form,
            "site-loss needs (membership ...): it tells which gateways are alive and carries summaries",
        );
        return None;
    };
    let (mut sites, mut other_args): (Vec<SiteConfig>, Vec<_>) = (Vec::new(), Vec::new());
    for datum in &form.args {
        let Some(site) = checker.form(*datum).filter(|form| form.name == "site") else {
            other_args.push(*datum);
            continue;
        };
        let Some(name) = checker.name(&site) else { continue };
        if sites.iter().any(|s| s.name == name) {
            checker.error_at(&site, format!("site {name} is given twice"));
            continue;
        }
        let site_fields = checker.fields(&site, 1, &["gateways", "zones", "engines"]);
        let gateways = site_fields.integer(checker, "gateways", (0, 1 << 20), 1) as u32;
        let mut words_of = |field: &str| site_fields.get(field).cloned().map(|f| checker.words(&f));
        let (zones, engines) = (words_of("zones"), words_of("engines").unwrap_or_default());
        // Without zones and engines, the engines of a site are those of the zone with the site's name.
        let zones = zones.unwrap_or_else(|| if engines.is_empty() { vec![name.clone()] } else { Vec::new() });
        sites.push(SiteConfig { name, gateways, zones, engines });
    }
    let other_fields = form.with_args(other_args);
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
    let fields = checker.fields(&other_fields, 0, &known);
    let own_site = sites.iter().position(|s| s.name == peers.site);
    if own_site.is_none() {
        checker.error_at(
            form,
            format!("site-loss: membership's site {} is not one of the sites given here", peers.site),
        );
    }
    if !(2..=64).contains(&sites.len()) {
        checker.error_at(form, "site-loss: expected two to 64 (site NAME ...)");
    }
    let defaults = violetward_site::state::Terms::default();
    let mut micros_of =
        |name: &str, default: u64| micros(fields.duration(checker, name, Duration::from_micros(default)));
    let detection = violetward_site::state::Terms {
        doubt: micros_of("doubt", defaults.doubt),
        settle: micros_of("settle", defaults.settle),
        back: micros_of("back", defaults.back),
        back_most: micros_of("back-most", defaults.back_most),
        ramp: micros_of("ramp", defaults.ramp),
        calm: micros_of("calm", defaults.calm),
        ..defaults
    };
    let gossip = GossipConfig {
        round_interval: micros_of("round", GossipConfig::default().round_interval),
        ..GossipConfig::default()
    };
    let (demand_window, limit_interval, retry_after) =
        (micros_of("average", 20_000_000), micros_of("every", 500_000), micros_of("stay-away", 1_000_000));
    let gossip = GossipConfig {
        bytes_per_second: fields.number(checker, "octets", (1_000.0, 1e9), gossip.bytes_per_second),
        ..gossip
    };
    let (loosen_below, tighten_above) =
        (fields.number(checker, "low", (0.0, 10.0), 0.3), fields.number(checker, "high", (0.0, 10.0), 0.8));
    if loosen_below >= tighten_above {
        checker.error_at(form, "site-loss: low must be under high");
    }
    if detection.back_most < detection.back
        || demand_window < 1_000_000
        || gossip.round_interval < 100_000
        || limit_interval < 50_000
    {
        checker.error_at(
            form,
            "site-loss: expected back-most >= back, average >= \"1s\", round >= \"100ms\", every >= \"50ms\"",
        );
    }
    Some(SiteTerms {
        own_site: own_site?,
        enforce: fields.flag(checker, "acts", true),
        site_tag: fields.word(checker, "site-tag", "site="),
        limit_step: fields.number(checker, "step", (0.001, 1.0), 0.02),
        max_utilization: fields.number(checker, "fill", (0.1, 1.0), 1.0),
        sites,
        detection,
        demand_window,
        gossip,
        limit_interval,
        loosen_below,
        tighten_above,
        retry_after,
    })
}
