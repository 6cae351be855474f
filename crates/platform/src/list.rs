//! The list of engines, read from the events in the configuration and from the resolver's answers.
//!
//! An answer is used as a whole or not at all, so that an invalid one never damages a valid list.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};

use serde::Deserialize;
use violetward::{CellId, EngineEntry, KindId, Listed, ZoneId};
use violetward_dns::message::{Entry, Message, Opcode, Rcode};
use violetward_dns::name::Name;
use violetward_dns::record::{Data, Type};
use violetward_settings::Names;

/// The DNS name of the service whose SRV records list the engines.
pub const SERVICE: &str = "_api._tcp.svc.local.";
/// More engines than any fleet has; bounds the memory that an answer can take.
const ENGINES_MAX: usize = 4_000;

/// An engine in the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// The engine's name.
    pub name: String,
    /// Where the engine listens.
    pub address: SocketAddr,
    /// What the decision module gets.
    pub entry: EngineEntry,
}

/// A complete list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct List {
    /// The number of the last event that the list includes; in DNS, the zone's serial.
    pub number: u32,
    /// The engines that are up or draining, by name.
    pub engines: BTreeMap<String, Listing>,
}

/// The events in the configuration, from which the initial list is built.
#[derive(Debug, Clone, Deserialize)]
pub struct Known {
    /// The number of the last event.
    #[serde(rename = "no")]
    number: u32,
    #[serde(rename = "items")]
    events: Vec<ListEvent>,
}

#[derive(Debug, Clone, Deserialize)]
struct ListEvent {
    #[serde(rename = "no")]
    number: u64,
    roster: Roster,
}

#[derive(Debug, Clone, Deserialize)]
struct Roster {
    /// The event lists all engines, not only those that have changed.
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<Server>,
}

#[derive(Debug, Clone, Deserialize)]
struct Server {
    id: String,
    #[serde(default)]
    addr: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u64,
    state: State,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    started_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
    Gone,
}

/// What an event or the DNS records of an engine say about it.
struct ServerInfo<'a> {
    name: &'a str,
    address: SocketAddr,
    zone: &'a str,
    kind: &'a str,
    cell: u64,
    draining: bool,
    weight: f64,
    started_ms: u64,
}

impl ServerInfo<'_> {
    fn listing(&self, names: &Names) -> Result<Listing, String> {
        let index = |known: &[String], what: &str, name: &str| {
            let found = known.iter().position(|n| n.eq_ignore_ascii_case(name));
            found.ok_or_else(|| format!("{}: unknown {what} {name:?}", self.name))
        };
        let entry = EngineEntry {
            engine: violetward_settings::engine_id(self.name),
            came_up: self.started_ms.saturating_mul(1000),
            weight: self.weight,
            kind: KindId(index(&names.kinds, "kind", self.kind)?),
            zone: ZoneId(index(&names.zones, "zone", self.zone)?),
            cell: CellId(self.cell),
            listed: if self.draining { Listed::Draining } else { Listed::Up },
        };
        Ok(Listing { name: self.name.to_owned(), address: self.address, entry })
    }
}

impl Known {
    /// Builds the list from the events.
    ///
    /// # Errors
    /// Says which event is invalid.
    pub fn list(&self, names: &Names) -> Result<List, String> {
        let mut list = List { number: self.number, engines: BTreeMap::new() };
        for event in &self.events {
            if event.roster.full {
                list.engines.clear();
            }
            for server in &event.roster.servers {
                if server.state == State::Gone {
                    list.engines.remove(&server.id);
                    continue;
                }
                let address = server.addr.parse();
                let address = address
                    .map_err(|_| format!("event {}: {:?} is not address:port", event.number, server.addr))?;
                let info = ServerInfo {
                    name: &server.id,
                    address,
                    zone: &server.zone,
                    kind: &server.kind,
                    cell: server.cell,
                    draining: server.state == State::Draining,
                    weight: server.weight,
                    started_ms: server.started_ms,
                };
                let listing = info.listing(names).map_err(|e| format!("event {}: {e}", event.number))?;
                list.engines.insert(server.id.clone(), listing);
            }
        }
        Ok(list)
    }
}

/// Encodes a DNS query for the list.
///
/// # Panics
/// Never: the name is a constant.
pub fn query(id: u16) -> Vec<u8> {
    Message::query(id, service_name(), Type::SRV).write()
}

fn service_name() -> Name {
    Name::parse(SERVICE, &Name::root()).expect("the service name is valid")
}

fn label_text(label: &[u8]) -> Result<&str, String> {
    std::str::from_utf8(label).map_err(|_| "name is not UTF-8".to_owned())
}

/// The `name=value` strings of a TXT record.
fn attributes(entry: &Entry) -> impl Iterator<Item = (&str, &str)> {
    let strings = if let Some(Data::Txt(strings)) = &entry.data { &strings[..] } else { &[] };
    strings.iter().filter_map(|s| std::str::from_utf8(s).ok()?.split_once('='))
}

/// Decodes the answer to the query with the given id.
///
/// # Errors
/// Says why the answer is invalid.
pub fn parse_answer(bytes: &[u8], id: u16, names: &Names) -> Result<List, String> {
    let message = Message::read(bytes).map_err(|e| e.to_string())?;
    if message.id != id {
        return Err("answer has another id".into());
    }
    if !message.response || message.opcode != Opcode::QUERY {
        return Err("message is not an answer to a query".into());
    }
    if message.rcode != Rcode::NOERROR {
        return Err(format!("answer has error code {}", message.rcode.0));
    }
    if message.truncated {
        return Err("answer is truncated".into());
    }
    let service_name = service_name();
    if message.questions.iter().any(|q| q.name != service_name || q.kind != Type::SRV) {
        return Err("answer is to another query".into());
    }
    let serial = message.authorities.iter().find_map(|e| match &e.data {
        Some(Data::Soa(soa)) => Some(soa.serial),
        _ => None,
    });
    let number = serial.ok_or("answer has no serial")?;
    let mut hosts: HashMap<&Name, (Option<IpAddr>, Option<&Entry>)> = HashMap::new();
    for entry in message.additionals.iter().chain(&message.answers) {
        let host = hosts.entry(&entry.name).or_default();
        match &entry.data {
            Some(Data::A(address)) => host.0 = Some(IpAddr::V4(*address)),
            Some(Data::Txt(_)) => host.1 = Some(entry),
            _ => {}
        }
    }
    let mut list = List { number, engines: BTreeMap::new() };
    for entry in &message.answers {
        let Some(Data::Srv { priority, weight, port, target }) = &entry.data else { continue };
        if entry.name != service_name {
            return Err("SRV record of another service".into());
        }
        let mut labels = target.labels();
        let (name, zone) = labels.next().zip(labels.next()).ok_or("SRV target without a zone")?;
        let (name, zone) = (label_text(name)?, label_text(zone)?);
        let (address, txt) = hosts.get(target).copied().unwrap_or_default();
        let address = address.ok_or_else(|| format!("{name}: no address record"))?;
        let txt = txt.ok_or_else(|| format!("{name}: no TXT record"))?;
        let value = |attribute: &str| attributes(txt).find(|(n, _)| *n == attribute).map(|(_, v)| v);
        let number = |attribute: &str| {
            let parsed = value(attribute).and_then(|v| v.parse().ok());
            parsed.ok_or_else(|| format!("{name}: {attribute} missing or not a number"))
        };
        let info = ServerInfo {
            name,
            address: SocketAddr::new(address, *port),
            zone,
            kind: value("kind").ok_or_else(|| format!("{name}: kind missing"))?,
            cell: number("cell")?,
            draining: match priority {
                0 => false,
                1 => true,
                _ => return Err(format!("{name}: unknown priority {priority}")),
            },
            weight: f64::from(*weight) / 10.0,
            started_ms: number("started")?,
        };
        list.engines.insert(name.to_owned(), info.listing(names)?);
        if list.engines.len() > ENGINES_MAX {
            return Err(format!("answer lists more than {ENGINES_MAX} engines"));
        }
    }
    // A fleet never disappears as a whole: an answer without engines is incomplete.
    if list.engines.is_empty() {
        return Err("answer lists no engines".into());
    }
    Ok(list)
}
