//! An engine as the gateway knows it, and the numbers that the module knows it by.

use std::net::SocketAddr;

use violetward::{EngineEntry, EngineId, ZoneId};

pub use crate::terms::hash;
use crate::terms::Names;

/// An engine as the list has it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRecord {
    /// Its name; the module's number is made from it, so it is the same at every gateway.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What the module is told.
    pub entry: EngineEntry,
}

/// The number of an engine: FNV-1a of its name, 64 bits.
pub fn engine_id(name: &str) -> EngineId {
    EngineId(hash(name))
}

/// The number of a zone. One that the configuration does not name is a zone all the same: far from every class bound to one.
pub fn zone_id(zone: &str, names: &Names) -> ZoneId {
    let place = names.zones.iter().position(|z| z == zone);
    ZoneId(place.unwrap_or_else(|| names.zones.len() + hash(zone) as usize % 65_536))
}
