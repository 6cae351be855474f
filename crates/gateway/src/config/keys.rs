//! Key files.

use super::*;

/// Minimum length of the secret of an operator's key or of a key for updates of the zone.
pub(super) const MIN_SECRET_BYTES: usize = 16;

/// Reads the keys of operators: `(key NAME "secret")`, each secret of sixteen bytes or more.
///
/// # Errors
/// What is wrong, with its position if the file is not made of S-expressions.
pub fn read_operator_keys(text: &str) -> Result<Vec<(String, String)>, String> {
    let keys = named_secrets(text)?;
    if keys.is_empty() || keys.iter().any(|k| k.1.len() < MIN_SECRET_BYTES) {
        return Err("expected (key NAME \"secret\") with a secret of sixteen bytes or more".into());
    }
    Ok(keys)
}

/// Reads the keys of membership: `(key NAME "secret")`; the first key signs, all keys verify.
///
/// # Errors
/// What is wrong, with its position if the file is not made of S-expressions.
pub fn read_membership_keys(text: &str) -> Result<violetward_membership::Keys, String> {
    let keys = named_secrets(text)?;
    let key =
        |(name, secret): (String, String)| violetward_membership::Key { name, secret: secret.into_bytes() };
    violetward_membership::Keys::new(keys.into_iter().map(key).collect())
}

/// Reads the keys of session tokens: `(key NAME "secret")`; the first key signs, all keys verify.
///
/// # Errors
/// What is wrong, with its position if the file is not made of S-expressions.
pub fn read_session_keys(text: &str) -> Result<violetward_session::token::Keys, String> {
    let keys = named_secrets(text)?;
    let key = |(name, secret): (String, String)| violetward_session::token::Key {
        name,
        secret: secret.into_bytes(),
    };
    violetward_session::token::Keys::new(keys.into_iter().map(key).collect())
}

/// Reads the names and secrets of a file of forms `(key NAME "secret")`.
fn named_secrets(text: &str) -> Result<Vec<(String, String)>, String> {
    let data = forms::read(text).map_err(|diagnostic| diagnostic.to_string())?;
    let mut checker = Checker::default();
    let read_key = |datum: &lexpr::Datum| {
        let form = checker.form(datum.as_ref()).filter(|f| f.name == "key")?;
        <[String; 2]>::try_from(checker.words(&form)).ok().map(|[name, secret]| (name, secret))
    };
    data.iter().map(read_key).collect::<Option<_>>().ok_or_else(|| "expected (key NAME \"secret\")".into())
}
