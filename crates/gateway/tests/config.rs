//! Tests the configuration reader: each error is reported with its position, and contradictory settings are
//! refused.

use std::path::Path;

use violetward::{Effect, KeyScope};
use violetward_gateway::config::{cross_checks, parse, Config};

const VALID: &str = r#"(gateway (number 1) (of 3) (zone a) (listen "127.0.0.1:0") (engines "list"))
(kinds (kind m8 (cores 8) (memory "16GB")))
(classes
  (class lookup (aim "1s") (give-up "4s") (effect repeatable))
  (class load (aim "3s") (give-up "10s") (effect (keyed (scope zone) (window "25s"))) (in-order yes) (kinds m8)))
(select load (tag load) (first-word insert merge))
(select lookup)
"#;

fn parse_config(text: &str) -> Result<Config, Vec<String>> {
    parse(text, Path::new("/etc/v")).map_err(|errors| errors.iter().map(|e| e.to_string()).collect())
}

/// The errors of the valid configuration with `from` replaced by `to`.
fn errors_after_replacing(from: &str, to: &str) -> Vec<String> {
    assert!(VALID.contains(from), "{from}");
    parse_config(&VALID.replacen(from, to, 1)).unwrap_err()
}

#[test]
fn a_valid_file_is_read() {
    let config = parse_config(VALID).unwrap();
    assert_eq!((config.settings.own_id.0, config.settings.gateways), (1, 3));
    assert_eq!(config.engines, Path::new("/etc/v/list"));
    let window = 25_000_000;
    assert_eq!(config.settings.classes[1].effect, Effect::Keyed { scope: KeyScope::Zone, window });
    assert_eq!(config.selection.selectors[0].first_words, ["insert", "merge"]);
    assert!(cross_checks(&config).is_empty());
}

#[test]
fn each_error_names_line_column_and_what_was_expected() {
    let cases = [
        ("(cores 8)", "(cores many)", "2:24: cores: expected a number from 0.1 to 4096, found many"),
        ("(cores 8)", "(cors 8)", "2:17: cors is not known in kind; known: cores, memory"),
        ("\"16GB\"", "\"16 apples\"", "2:35: memory: expected a size such as \"512kB\" or \"16GB\""),
        ("\"4s\"", "\"4 bananas\"", "4:37: give-up: expected a span"),
        ("repeatable", "sometimes", "4:51: effect: expected one of repeatable, once, found sometimes"),
        ("(scope zone)", "(scope moon)", "scope: expected one of all, zone, cell, found moon"),
        ("(kinds m8)", "(kinds m9)", "kinds: there is no m9; known: m8"),
        (
            "(select lookup)",
            "(select reports)",
            "7:1: select: there is no class reports; classes: lookup, load",
        ),
        ("(number 1)", "(number 3)", "number 3 must be under (of 3)"),
        ("127.0.0.1:0", "somewhere", "1:37: listen: expected an address and port"),
        ("\"4s\"", "\"900ms\"", "give-up must be over aim"),
        ("(aim \"1s\")", "(aim \"1s\") (aim \"2s\")", "aim stands twice in class"),
        ("(class load", "(class lookup", "5:3: class lookup is given twice"),
        ("(kinds (kind", "(beds (kind", "(kinds ...) is missing"),
        ("(select lookup)", "(select lookup", "not an S-expression"),
        ("(select lookup)", "select", "expected a form like (name value), found select"),
    ];
    for (from, to, expected) in cases {
        let errors = errors_after_replacing(from, to);
        assert!(errors.iter().any(|m| m.contains(expected)), "{to}: {errors:?}");
    }
    // All errors are reported at once, ordered by position.
    let two_errors = VALID.replace("(cores 8)", "(cores 0)").replace("(tag load)", "(tags load)");
    let errors = parse_config(&two_errors).unwrap_err();
    assert_eq!(errors.len(), 2);
    assert!(errors[0].starts_with("2:") && errors[1].starts_with("6:"));
}

#[test]
fn contradictory_settings_are_refused() {
    let cross_check_errors = |more: &str| cross_checks(&parse_config(&format!("{VALID}{more}")).unwrap());
    assert!(cross_check_errors("(limits (list-every \"200ms\"))")[0]
        .contains("a drain that is seen too late is not honoured in time"));
    assert!(cross_check_errors("(engine-properties (repeat \"\"))")[0]
        .contains("engines could not recognize repeats"));
    let errors = parse_config(&format!("{VALID}(policy (key-rest \"0ms\"))")).unwrap_err();
    assert!(errors[0].contains("in-order needs policy/key-rest over 0"));
    let errors = parse_config(&format!("{VALID}(limits (long-poll \"60s\"))")).unwrap_err();
    assert!(errors[0].contains("long-poll must be under abandon-after"));
    let errors =
        parse_config(&format!("{VALID}(policy (budget (free 5) (share 2) (window \"5s\")))")).unwrap_err();
    assert!(errors[0].contains("share: expected a number from 0 to 1"));
}

const MEMBERSHIP: &str = r#"
(membership (listen "127.0.0.1:0") (name g1) (site south) (seeds "127.0.0.1:1" "127.0.0.1:2") (via g0 "127.0.0.1:3")
  (key k1 "sixteen octets or more") (key k0 "the one that was before") (period "250ms"))
"#;

#[test]
fn membership_is_read_and_its_errors_name_their_positions() {
    let text = format!("{VALID}{MEMBERSHIP}");
    let peers = parse_config(&text).unwrap().peers.expect("a configured section");
    assert_eq!(
        (peers.name.as_str(), peers.site.as_str(), peers.seeds.len(), peers.address_overrides.len()),
        ("g1", "south", 2, 1)
    );
    assert_eq!((peers.probe_interval.as_millis(), peers.max_total_share), (250, 2.0));
    assert_eq!(parse_config(VALID).unwrap().peers, None, "the feature is off without its section");
    let cases = [
        ("(name g1)", "", "9:1: membership needs (name ...)"),
        ("\"127.0.0.1:0\"", "here", "listen: expected an address and port"),
        ("(site south)", "(sight south)", "sight is not known in membership"),
        ("\"sixteen octets or more\"", "\"short\"", "the secret of k1 is under 16 bytes"),
        ("(key k0", "(key k1", "the key k1 is defined twice"),
        ("(via g0 \"127.0.0.1:3\")", "(via g0)", "expected (key NAME \"secret\") or (via NAME ADDRESS)"),
        ("(listen \"127.0.0.1:0\")", "(listen \"0.0.0.0:0\")", "(advertise ADDRESS) must name one address"),
        ("(period \"250ms\")", "(key-file \"none\")", "key-file and key: expected one of them"),
    ];
    for (from, to, expected) in cases {
        assert!(MEMBERSHIP.contains(from), "{from}");
        let errors = parse_config(&format!("{VALID}{}", MEMBERSHIP.replacen(from, to, 1))).unwrap_err();
        assert!(errors.iter().any(|m| m.contains(expected)), "{to}: {errors:?}");
    }
}

const SITES: &str = r#"
(site-loss (site north (gateways 2)) (site south (gateways 3) (zones a b)) (site west (engines e7 e8))
  (site-tag "at=") (back "4s") (round "1s") (octets 8000) (acts no))
"#;

#[test]
fn sites_are_read_and_their_errors_name_their_positions() {
    let text = format!("{VALID}{MEMBERSHIP}{SITES}");
    let sites = parse_config(&text).unwrap().sites.expect("a configured section");
    assert_eq!(
        (sites.own_site, sites.sites.len(), sites.enforce, sites.site_tag.as_str()),
        (1, 3, false, "at=")
    );
    assert_eq!(
        sites.sites[0].zones,
        ["north"],
        "by default a site has the engines of the zone of the same name"
    );
    assert_eq!(
        (sites.sites[2].zones.len(), sites.sites[2].engines.as_slice()),
        (0, &["e7".into(), "e8".into()][..])
    );
    assert_eq!(
        (sites.detection.back, sites.gossip.round_interval, sites.gossip.bytes_per_second),
        (4_000_000, 1_000_000, 8_000.0)
    );
    assert_eq!(
        parse_config(&format!("{VALID}{MEMBERSHIP}")).unwrap().sites,
        None,
        "the feature is off without its section"
    );
    let errors = parse_config(&format!("{VALID}{SITES}")).unwrap_err();
    assert!(errors.iter().any(|m| m.contains("site-loss needs (membership ...)")), "{errors:?}");
    let cases = [
        ("(site south ", "(site east ", "membership's site south is not one of the sites"),
        ("(site west ", "(site north ", "site north is given twice"),
        ("(gateways 2)", "(gateway 2)", "gateway is not known"),
        ("(back \"4s\")", "(back \"4m\")", "back-most >= back"),
        ("(acts no)", "(acts no) (low 2)", "low must be under high"),
    ];
    for (from, to, expected) in cases {
        assert!(SITES.contains(from), "{from}");
        let errors =
            parse_config(&format!("{VALID}{MEMBERSHIP}{}", SITES.replacen(from, to, 1))).unwrap_err();
        assert!(errors.iter().any(|m| m.contains(expected)), "{to}: {errors:?}");
    }
}
