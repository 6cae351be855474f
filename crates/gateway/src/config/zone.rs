//! The section `dns`: the server of the zone that lists the engines.

use super::*;

/// Reads `(dns (listen ADDRESS) (key NAME "secret") ...)`.
pub(super) fn zone_server(
    checker: &mut Checker,
    form: &Form<'_>,
    origin: &Option<violetward_dns::name::Name>,
) -> Option<(SocketAddr, Vec<violetward_dns::tsig::Key>)> {
    use violetward_dns::name::Name;
    if origin.is_none() {
        checker.error_at(form, "dns: gateway/origin must name the zone that is served");
    }
    let mut listen = None;
    let mut keys = Vec::new();
    for datum in &form.args {
        let Some(field) = checker.form(*datum) else { continue };
        let words = checker.words(&field);
        match (field.name.as_str(), words.as_slice()) {
            ("listen", [address]) => match address.parse() {
                Ok(address) => listen = Some(address),
                Err(_) => checker
                    .error_at(&field, "listen: expected an address and port such as \"127.0.0.1:5300\""),
            },
            ("key", [name, secret]) => match Name::parse(name, &Name::root()) {
                Ok(name) if secret.len() >= keys::MIN_SECRET_BYTES => {
                    let secret = secret.clone().into_bytes();
                    keys.push(violetward_dns::tsig::Key { name, secret });
                }
                Ok(_) => checker.error_at(&field, "key: the secret is under sixteen bytes"),
                Err(e) => checker.error_at(&field, format!("key: {e}")),
            },
            _ => checker.error_at(&field, "expected (listen ADDRESS) or (key NAME \"secret\")"),
        }
    }
    if listen.is_none() {
        checker.error_at(form, "dns: (listen ADDRESS) is missing");
    }
    Some((listen?, keys))
}
