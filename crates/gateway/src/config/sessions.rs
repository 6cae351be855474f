//! The section `sessions`: sessions that are bound to one engine.

use super::*;

/// Reads the section; if it is missing, all values are defaults.
pub(super) fn session_terms(checker: &mut Checker, form: Option<&Form<'_>>, folder: &Path) -> SessionTerms {
    let empty = Form::empty("sessions");
    let known = [
        "idle",
        "locks-idle",
        "absolute",
        "finish-within",
        "most",
        "most-a-user",
        "most-an-engine",
        "reserve",
        "key-file",
    ];
    let fields = checker.fields(form.unwrap_or(&empty), 0, &known);
    let defaults = violetward_session::table::Limits::default();
    let limits = violetward_session::table::Limits {
        idle: fields.duration(checker, "idle", defaults.idle),
        locks_idle: fields.duration(checker, "locks-idle", defaults.locks_idle),
        absolute: fields.duration(checker, "absolute", defaults.absolute),
        finish_within: fields.duration(checker, "finish-within", defaults.finish_within),
        most: fields.integer(checker, "most", (0, 100_000_000), defaults.most as u64) as usize,
        most_a_user: fields.integer(checker, "most-a-user", (0, 100_000_000), defaults.most_a_user as u64)
            as usize,
        most_an_engine: fields.integer(
            checker,
            "most-an-engine",
            (0, 100_000_000),
            defaults.most_an_engine as u64,
        ) as usize,
    };
    if limits.idle > limits.absolute || limits.locks_idle > limits.idle {
        checker.error_at(&fields.form, "sessions: expected locks-idle <= idle <= absolute");
    }
    let file = fields.get("key-file").cloned().and_then(|form| Some((checker.word(&form, "a path")?, form)));
    let key_file = file.map(|(file, form)| (folder.join(file), form));
    let keys = key_file.as_ref().and_then(|(path, form)| {
        let read =
            std::fs::read_to_string(path).map_err(|e| e.to_string()).and_then(|t| read_session_keys(&t));
        read.map_err(|why| checker.error_at(form, format!("key-file {}: {why}", path.display()))).ok()
    });
    let transaction_reserve = fields.integer(checker, "reserve", (0, 1_000_000), 4) as u32;
    SessionTerms { limits, transaction_reserve, keys, key_file: key_file.map(|k| k.0) }
}
