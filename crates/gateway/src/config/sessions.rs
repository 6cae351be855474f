//! Sessions that live on one engine.

use super::*;

pub(super) fn session_terms(c: &mut Checker, form: Option<&Form<'_>>, folder: &Path) -> SessionTerms {
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
    let f = c.fields(form.unwrap_or(&empty), 0, &known);
    let usual = violetward_session::table::Limits::default();
    let limits = violetward_session::table::Limits {
        idle: f.duration(c, "idle", usual.idle),
        locks_idle: f.duration(c, "locks-idle", usual.locks_idle),
        absolute: f.duration(c, "absolute", usual.absolute),
        finish_within: f.duration(c, "finish-within", usual.finish_within),
        most: f.integer(c, "most", (0, 100_000_000), usual.most as u64) as usize,
        most_a_user: f.integer(c, "most-a-user", (0, 100_000_000), usual.most_a_user as u64) as usize,
        most_an_engine: f.integer(c, "most-an-engine", (0, 100_000_000), usual.most_an_engine as u64)
            as usize,
    };
    if limits.idle > limits.absolute || limits.locks_idle > limits.idle {
        c.error_at(&f.form, "sessions: expected locks-idle <= idle <= absolute");
    }
    let file = f.get("key-file").cloned().and_then(|form| Some((c.word(&form, "a path")?, form)));
    let key_file = file.map(|(file, form)| (folder.join(file), form));
    let keys = key_file.as_ref().and_then(|(path, form)| {
        let read =
            std::fs::read_to_string(path).map_err(|e| e.to_string()).and_then(|t| read_session_keys(&t));
        read.map_err(|why| c.error_at(form, format!("key-file {}: {why}", path.display()))).ok()
    });
    let reserve = f.integer(c, "reserve", (0, 1_000_000), 4) as u32;
    SessionTerms { limits, transaction_reserve: reserve, keys, key_file: key_file.map(|k| k.0) }
}
