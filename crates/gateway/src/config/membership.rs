//! Membership among gateways.

use super::*;

/// `(membership (listen ADDRESS) (name NAME) (site SITE) (seeds ADDRESS ...) (key NAME "secret") ...)`.
pub(super) fn peer_terms(c: &mut Checker, form: &Form<'_>, folder: &Path) -> Option<PeerTerms> {
    use violetward_membership::wire::MAX_NAME_BYTES;
    let several = ["key", "via"];
    let mut fields: Vec<Form<'_>> = Vec::new();
    for datum in &form.args {
        let Some(field) = c.form(*datum) else { continue };
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
            c.error_at(
                &field,
                format!("{} is not known in membership; known: {}", field.name, known.join(", ")),
            );
        } else if !several.contains(&field.name.as_str()) && fields.iter().any(|f| f.name == field.name) {
            c.error_at(&field, format!("{} stands twice", field.name));
        }
        fields.push(field);
    }
    let get = |name: &str| fields.iter().find(|f| f.name == name).cloned();
    let what = "an address and port such as \"10.0.0.4:7946\"";
    let address = |c: &mut Checker, form: &Form<'_>, word: &str| -> Option<SocketAddr> {
        let parsed = word.parse().ok();
        if parsed.is_none() {
            c.error_at(form, format!("{}: expected {what}, found {word}", form.name));
        }
        parsed
    };
    let one = |c: &mut Checker, name: &str| {
        let form = get(name)?;
        let word = c.word(&form, what)?;
        address(c, &form, &word)
    };
    let (listen, advertise) = (one(c, "listen"), one(c, "advertise"));
    let name = |c: &mut Checker, field: &str, default: Option<&str>| {
        let word = match get(field) {
            Some(form) => c.word(&form, "a name").filter(|word| {
                let fits = (1..=MAX_NAME_BYTES).contains(&word.len());
                if !fits {
                    c.error_at(&form, format!("{field}: expected 1 to {MAX_NAME_BYTES} octets"));
                }
                fits
            }),
            None => default.map(str::to_owned),
        };
        if word.is_none() && get(field).is_none() {
            c.error_at(form, format!("membership needs ({field} ...)"));
        }
        word
    };
    let (own, site) = (name(c, "name", None), name(c, "site", Some("default")));
    let mut seeds = Vec::new();
    if let Some(form) = get("seeds") {
        for word in c.words(&form) {
            seeds.extend(address(c, &form, &word));
        }
    }
    let (mut via, mut keys) = (std::collections::BTreeMap::new(), Vec::new());
    for field in &fields {
        let words = if several.contains(&field.name.as_str()) { c.words(field) } else { continue };
        match (field.name.as_str(), words.as_slice()) {
            ("via", [name, to]) => via.extend(address(c, field, to).map(|to| (name.clone(), to))),
            ("key", [name, secret]) => keys
                .push(violetward_membership::Key { name: name.clone(), secret: secret.clone().into_bytes() }),
            _ => c.error_at(
                field,
                format!("expected (key NAME \"secret\") or (via NAME ADDRESS), found ({} ...)", field.name),
            ),
        }
    }
    let file = get("key-file").and_then(|form| Some((c.word(&form, "a path")?, form)));
    let key_file = file.as_ref().map(|(path, _)| folder.join(path));
    let ring = match &file {
        Some((path, form)) => {
            if !keys.is_empty() {
                c.error_at(form, "key-file and key: expected one of them");
            }
            let read = std::fs::read_to_string(folder.join(path))
                .map_err(|e| e.to_string())
                .and_then(|t| read_membership_keys(&t));
            read.map_err(|why| c.error_at(form, format!("key-file {path}: {why}"))).ok()
        }
        None => violetward_membership::Keys::new(keys)
            .map_err(|why| c.error_at(form, format!("membership: {why}")))
            .ok(),
    };
    let period = get("period").and_then(|f| c.duration(&f)).unwrap_or(Duration::from_millis(500));
    if period < Duration::from_millis(20) {
        c.error_at(form, "membership: period must be at least \"20ms\"");
    }
    let most = get("most").and_then(|f| c.integer(&f, 2, 100_000)).unwrap_or(4_096) as usize;
    let widest = get("widest").and_then(|f| c.number(&f, 1.0, 10.0)).unwrap_or(2.0);
    let widen = get("widen").and_then(|f| c.number(&f, 0.001, 10.0)).unwrap_or(0.1);
    if listen.is_none() && get("listen").is_none() {
        c.error_at(form, "membership needs (listen ADDRESS)");
    }
    let (listen, name, site, keys) = (listen?, own?, site?, ring?);
    if advertise.is_none() && listen.ip().is_unspecified() {
        c.error_at(
            form,
            "membership: (advertise ADDRESS) must tell where others reach a listener on all addresses",
        );
    }
    Some(PeerTerms {
        listen,
        advertise,
        name,
        site,
        seeds,
        address_overrides: via,
        keys,
        key_file,
        probe_interval: period,
        max_members: most,
        max_total_share: widest,
        share_growth_per_s: widen,
    })
}
