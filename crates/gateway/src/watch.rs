//! Watches the file of the engine list and key files for changes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use crate::host::Host;
use crate::membership::{EngineRegistry, ReadOutcome};

/// Time after a change during which the engine list is read at each check.
const REREAD_AFTER_CHANGE: Duration = Duration::from_secs(2);
/// Minimum time between two checks of a key file.
const MIN_KEY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the engine list whenever its file changes, applies it and logs the differences. Never returns.
pub async fn watch_engine_list(host: Rc<Host>, registry: Rc<RefCell<EngineRegistry>>) {
    let path = host.config.engines.clone();
    let mut last_stamp: Option<(SystemTime, u64)> = None;
    let mut changed_at = Instant::now();
    let mut text = String::new();
    loop {
        let stamp = std::fs::metadata(&path).and_then(|m| Ok((m.modified()?, m.len()))).ok();
        // Two writes within one tick of the file system's clock may leave equal stamps. A changed file is
        // therefore read again for some time.
        if stamp != last_stamp || changed_at.elapsed() < REREAD_AFTER_CHANGE {
            if stamp != last_stamp {
                changed_at = Instant::now();
            }
            last_stamp = stamp;
            match std::fs::read_to_string(&path) {
                Ok(new) if new == text => {}
                Ok(new) => {
                    text = new;
                    apply_engine_list(&host, &text, &mut registry.borrow_mut());
                }
                Err(e) => {
                    tracing::warn!(
                        file = %path.display(),
                        "the engine list cannot be read, the old list remains in use: {e}"
                    );
                }
            }
        }
        violetward_net::sleep(host.config.host.list_poll_interval).await;
    }
}

/// Passes the text of a key file to `apply` whenever it changes. An unreadable or invalid file leaves the
/// old keys in use. Never returns.
pub async fn watch_key_file(
    path: std::path::PathBuf,
    interval: Duration,
    apply: impl Fn(&str) -> Result<(), String>,
) {
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        violetward_net::sleep(interval.max(MIN_KEY_POLL_INTERVAL)).await;
        let Ok(new) = std::fs::read_to_string(&path) else { continue };
        if new == text {
            continue;
        }
        match apply(&new) {
            Ok(()) => tracing::info!(file = %path.display(), "the keys have been replaced"),
            Err(why) => tracing::warn!("{}: {why}; the old keys remain in use", path.display()),
        }
        text = new;
    }
}

/// Applies the text of the engine list. A text that cannot be used leaves the old list in place.
fn apply_engine_list(host: &Rc<Host>, text: &str, registry: &mut EngineRegistry) {
    let (file, names) = (host.config.engines.display().to_string(), &host.config.names);
    let known = registry.engines().clone();
    let (verdict, diagnostics) = match &host.config.origin {
        Some(origin) => {
            registry.read_zone_file(text, origin, names, &mut |name| read_include(&host.config.engines, name))
        }
        None => registry.read_expressions(text, names),
    };
    diagnostics.iter().for_each(|diagnostic| tracing::warn!("{file}:{diagnostic}"));
    let new = match verdict {
        ReadOutcome::Applied(new) => new,
        ReadOutcome::Rejected(why) => {
            tracing::warn!("{file}: {why}; the old list remains in use");
            return;
        }
    };
    for (name, record) in &new {
        if known.get(name) != Some(record) {
            let state = record.entry.listed;
            tracing::info!(engine = name, ?state, at = host.now(), "learned of an engine");
        }
    }
    for name in known.keys().filter(|name| !new.contains_key(*name)) {
        tracing::info!(engine = name, at = host.now(), "an engine is no longer listed");
    }
    host.update_engine_list(&new);
}

/// Reads a file that a zone's master file includes. It must be in the folder of the master file or below.
pub fn read_include(zone: &std::path::Path, name: &str) -> Result<String, String> {
    let path = std::path::Path::new(name);
    let stays_within = path.components().all(|c| matches!(c, std::path::Component::Normal(_)));
    if !stays_within {
        return Err("it is not within the folder of the zone".into());
    }
    let folder = zone.parent().unwrap_or(std::path::Path::new("."));
    std::fs::read_to_string(folder.join(path)).map_err(|e| e.to_string())
}
