//! Files of keys.

use super::*;

/// Reads a file of operators' keys: `(key NAME "secret")`, of sixteen octets or more.
///
/// # Errors
/// What is wrong.
pub fn read_operator_keys(text: &str) -> Result<Vec<(String, String)>, String> {
    let keys = named_secrets(text)?;
    if keys.is_empty() || keys.iter().any(|k| k.1.len() < 16) {
        return Err("expected (key NAME \"secret\") with a secret of sixteen octets or more".into());
    }
    Ok(keys)
}

/// Reads a file of keys for datagrams: `(key NAME "secret")`, the first signs, all are believed.
///
/// # Errors
/// What is wrong, with its place.
pub fn read_membership_keys(text: &str) -> Result<violetward_membership::Keys, String> {
    let keys = named_secrets(text)?;
    let key =
        |(name, secret): (String, String)| violetward_membership::Key { name, secret: secret.into_bytes() };
    violetward_membership::Keys::new(keys.into_iter().map(key).collect())
}

/// Reads a file of keys: `(key NAME "secret")`, the first signs, all are believed.
///
/// # Errors
/// What is wrong, with its place.
pub fn read_session_keys(text: &str) -> Result<violetward_session::token::Keys, String> {
    let keys = named_secrets(text)?;
    let key = |(name, secret): (String, String)| violetward_session::token::Key {
        name,
        secret: secret.into_bytes(),
    };
    violetward_session::token::Keys::new(keys.into_iter().map(key).collect())
}

/// The forms `(key NAME "secret")` of a file.
fn named_secrets(text: &str) -> Result<Vec<(String, String)>, String> {
    let data = forms::read(text).map_err(|m| m.to_string())?;
    let mut c = Checker::default();
    let each = |datum: &lexpr::Datum| {
        let form = c.form(datum.as_ref()).filter(|f| f.name == "key")?;
        <[String; 2]>::try_from(c.words(&form)).ok().map(|[name, secret]| (name, secret))
    };
    data.iter().map(each).collect::<Option<_>>().ok_or_else(|| "expected (key NAME \"secret\")".into())
}
