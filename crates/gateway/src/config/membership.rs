//! The section `membership`: membership among the gateways.

use super::*;

/// Reads `(membership (listen ADDRESS) (name NAME) (site SITE) (seeds ADDRESS ...) (key NAME "secret") ...)`.
pub(super) fn peer_terms(checker: &mut Checker, form: &Form<'_>, folder: &Path) -> Option<PeerTerms> {
    use violetward_membership::wire::MAX_NAME_BYTES;
    let repeatable = ["key", "via"];
    let mut fields: Vec<Form<'_>> = Vec::new();
    for datum in &form.args {
        let Some(field) = checker.form(*datum) else { continue };
        let known = [
            "listen",
            "advertise",
            "name",
            "site",
            "seeds",
            "key",
            "key-file",
            "via",
            "period",
            "most",
            "widest",
            "widen",
        ];
        if !known.contains(&field.name.as_str()) {
            checker.error_at(
                &field,
                format!("{} is not known in membership; known: {}", field.name, known.join(", ")),
            );
        } else if !repeatable.contains(&field.name.as_str()) && fields.iter().any(|f| f.name == field.name) {
            checker.error_at(&field, format!("{} is given twice", field.name));
        }
        fields.push(field);
    }
    let get = |name: &str| fields.iter().find(|f| f.name == name).cloned();
    let expected = "an address and port such as \"10.0.0.4:7946\"";
    let parse_address = |checker: &mut Checker, form: &Form<'_>, word: &str| -> Option<SocketAddr> {
        let parsed = word.parse().ok();
        if parsed.is_none() {
            checker.error_at(form, format!("{}: expected {expected}, found {word}", form.name));
        }
        parsed
    };
    let read_address = |checker: &mut Checker, name: &str| {
        let form = get(name)?;
        let word = checker.word(&form, expected)?;
        parse_address(checker, &form, &word)
    };
    let (listen, advertise) = (read_address(checker, "listen"), read_address(checker, "advertise"));
    let read_name = |checker: &mut Checker, field: &str, default: Option<&str>| {
        let word = match get(field) {
            Some(form) => checker.word(&form, "a name").filter(|word| {
                let fits = (1..=MAX_NAME_BYTES).contains(&word.len());
                if !fits {
                    checker.error_at(&form, format!("{field}: expected 1 to {MAX_NAME_BYTES} bytes"));
                }
                fits
            }),
            None => default.map(str::to_owned),
        };
        if word.is_none() && get(field).is_none() {
            checker.error_at(form, format!("membership needs ({field} ...)"));
        }
        word
    };
    let (own_name, site) = (read_name(checker, "name", None), read_name(checker, "site", Some("default")));
    let mut seeds = Vec::new();
    if let Some(form) = get("seeds") {
        for word in checker.words(&form) {
            seeds.extend(parse_address(checker, &form, &word));
        }
    }
    let (mut address_overrides, mut inline_keys) = (std::collections::BTreeMap::new(), Vec::new());
    for field in &fields {
        let words = if repeatable.contains(&field.name.as_str()) { checker.words(field) } else { continue };
        match (field.name.as_str(), words.as_slice()) {
            ("via", [name, to]) => {
                address_overrides.extend(parse_address(checker, field, to).map(|to| (name.clone(), to)))
            }
            ("key", [name, secret]) => inline_keys
                .push(violetward_membership::Key { name: name.clone(), secret: secret.clone().into_bytes() }),
            _ => checker.error_at(
                field,
                format!("expected (key NAME \"secret\") or (via NAME ADDRESS), found ({} ...)", field.name),
            ),
        }
    }
    let file = get("key-file").and_then(|form| Some((checker.word(&form, "a path")?, form)));
    let key_file = file.as_ref().map(|(path, _)| folder.join(path));
    let keys = match &file {
        Some((path, form)) => {
            if !inline_keys.is_empty() {
                checker.error_at(form, "key-file and key: expected one of them");
            }
            let read = std::fs::read_to_string(folder.join(path))
                .map_err(|e| e.to_string())
                .and_then(|t| read_membership_keys(&t));
            read.map_err(|why| checker.error_at(form, format!("key-file {path}: {why}"))).ok()
        }
        None => violetward_membership::Keys::new(inline_keys)
            .map_err(|why| checker.error_at(form, format!("membership: {why}")))
            .ok(),
    };
    let probe_interval =
        get("period").and_then(|f| checker.duration(&f)).unwrap_or(Duration::from_millis(500));
    if probe_interval < Duration::from_millis(20) {
        checker.error_at(form, "membership: period must be at least \"20ms\"");
    }
    let max_members = get("most").and_then(|f| checker.integer(&f, 2, 100_000)).unwrap_or(4_096) as usize;
    let max_total_share = get("widest").and_then(|f| checker.number(&f, 1.0, 10.0)).unwrap_or(2.0);
    let share_growth_per_s = get("widen").and_then(|f| checker.number(&f, 0.001, 10.0)).unwrap_or(0.1);
    if listen.is_none() && get("listen").is_none() {
        checker.error_at(form, "membership needs (listen ADDRESS)");
    }
    let (listen, name, site, keys) = (listen?, own_name?, site?, keys?);
    if advertise.is_none() && listen.ip().is_unspecified() {
        checker.error_at(
            form,
            "membership: (advertise ADDRESS) must name one address if the listener is on all addresses",
        );
    }
    Some(PeerTerms {
        listen,
        advertise,
        name,
        site,
        seeds,
        address_overrides,
        keys,
        key_file,
        probe_interval,
        max_members,
        max_total_share,
        share_growth_per_s,
    })
}
