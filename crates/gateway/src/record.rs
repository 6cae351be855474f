//! The record of an engine, and the ids derived from names.

use std::net::SocketAddr;

use violetward::{EngineEntry, EngineId, ZoneId};

pub use crate::terms::hash;
use crate::terms::Names;

/// An engine according to the list.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRecord {
    /// Name of the engine. Its id is derived from the name and is therefore the same at every gateway.
    pub name: String,
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// The entry passed to the decision module.
    pub entry: EngineEntry,
}

/// The id of an engine: the 64-bit FNV-1a hash of its name.
pub fn engine_id(name: &str) -> EngineId {
    EngineId(hash(name))
}

/// The id of a zone. A zone that is missing from the configuration gets an id of its own, which matches no
/// class bound to a zone.
pub fn zone_id(zone: &str, names: &Names) -> ZoneId {
    let index = names.zones.iter().position(|z| z == zone);
    ZoneId(index.unwrap_or_else(|| names.zones.len() + hash(zone) as usize % 65_536))
}
