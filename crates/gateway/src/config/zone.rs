//! The zone that is served by DNS messages.

use super::*;

/// `(dns (listen ADDRESS) (key NAME "secret") ...)`.
pub(super) fn zone_front(
    c: &mut Checker,
    form: &Form<'_>,
    origin: &Option<violetward_dns::name::Name>,
) -> Option<(SocketAddr, Vec<violetward_dns::tsig::Key>)> {
    use violetward_dns::name::Name;
    if origin.is_none() {
        c.error_at(form, "dns: gateway/origin must name the zone that is served");
    }
    let mut listen = None;
    let mut keys = Vec::new();
    for datum in &form.args {
        let Some(field) = c.form(*datum) else { continue };
        let words = c.words(&field);
        match (field.name.as_str(), words.as_slice()) {
            ("listen", [address]) => match address.parse() {
                Ok(address) => listen = Some(address),
                Err(_) => {
                    c.error_at(&field, "listen: expected an address and port such as \"127.0.0.1:5300\"")
                }
            },
            ("key", [name, secret]) => match Name::parse(name, &Name::root()) {
                Ok(name) if secret.len() >= 16 => {
                    let secret = secret.clone().into_bytes();
                    keys.push(violetward_dns::tsig::Key { name, secret });
                }
                Ok(_) => c.error_at(&field, "key: the secret is under sixteen bytes"),
                Err(e) => c.error_at(&field, format!("key: {e}")),
            },
            _ => c.error_at(&field, "expected (listen ADDRESS) or (key NAME \"secret\")"),
        }
    }
    if listen.is_none() {
        c.error_at(form, "dns: (listen ADDRESS) is missing");
    }
    Some((listen?, keys))
}
