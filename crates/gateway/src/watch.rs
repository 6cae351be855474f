//! Watches the file that lists the engines.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Instant, SystemTime};

use crate::host::Host;
use crate::membership::{EngineRegistry, ReadOutcome};

/// Reads the list whenever it changes, and says when it learned what. Never ends.
pub async fn watch_engine_list(host: Rc<Host>, registry: Rc<RefCell<EngineRegistry>>) {
    let path = host.config.engines.clone();
    let mut seen: Option<(SystemTime, u64)> = None;
    let mut changed = Instant::now();
    let mut text = String::new();
    loop {
        let mark = std::fs::metadata(&path).and_then(|m| Ok((m.modified()?, m.len()))).ok();
        // Two writes within one tick of the file system's clock look alike: a fresh file is read again for a while.
        if mark != seen || changed.elapsed().as_secs() < 2 {
            if mark != seen {
                changed = Instant::now();
            }
            seen = mark;
            match std::fs::read_to_string(&path) {
                Ok(new) if new == text => {}
                Ok(new) => {
                    text = new;
                    take(&host, &text, &mut registry.borrow_mut());
                }
                Err(e) => {
                    tracing::warn!(file = %path.display(), "the engine list cannot be read, the old one stands: {e}")
                }
            }
        }
        violetward_net::sleep(host.config.host.list_poll_interval).await;
    }
}

/// Passes on the text of a file of keys whenever it changes. A file that cannot be read or is wrong leaves the old keys.
/// Never ends.
pub async fn watch_key_file(
    path: std::path::PathBuf,
    every: std::time::Duration,
    take: impl Fn(&str) -> Result<(), String>,
) {
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        violetward_net::sleep(every.max(std::time::Duration::from_millis(100))).await;
        let Ok(new) = std::fs::read_to_string(&path) else { continue };
        if new == text {
            continue;
        }
        match take(&new) {
            Ok(()) => tracing::info!(file = %path.display(), "keys have changed"),
            Err(why) => tracing::warn!("{}: {why}; the old keys stand", path.display()),
        }
        text = new;
    }
}

fn take(host: &Rc<Host>, text: &str, registry: &mut EngineRegistry) {
    let (file, names) = (host.config.engines.display().to_string(), &host.config.names);
    let known = registry.engines().clone();
    let (verdict, told) = match &host.config.origin {
        Some(origin) => {
            registry.read_zone_file(text, origin, names, &mut |name| read_include(&host.config.engines, name))
        }
        None => registry.read_expressions(text, names),
    };
    told.iter().for_each(|mistake| tracing::warn!("{file}:{mistake}"));
    let new = match verdict {
        ReadOutcome::Applied(new) => new,
        ReadOutcome::Rejected(why) => {
            tracing::warn!("{file}: {why}; the old list stands");
            return;
        }
    };
    for (name, record) in &new {
        if known.get(name) != Some(record) {
            tracing::info!(engine = name, state = ?record.entry.listed, at = host.now(), "learned of an engine");
        }
    }
    for name in known.keys().filter(|name| !new.contains_key(*name)) {
        tracing::info!(engine = name, at = host.now(), "learned that an engine is gone");
    }
    host.update_engine_list(&new);
}

/// Reads a file that a zone includes: only from the folder of the zone's own file, and below.
pub fn read_include(zone: &std::path::Path, name: &str) -> Result<String, String> {
    let path = std::path::Path::new(name);
    let plain = path.components().all(|c| matches!(c, std::path::Component::Normal(_)));
    if !plain {
        return Err("it is not within the folder of the zone".into());
    }
    let folder = zone.parent().unwrap_or(std::path::Path::new("."));
    std::fs::read_to_string(folder.join(path)).map_err(|e| e.to_string())
}
