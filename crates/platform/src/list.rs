//! The list of engines: the events of the start, and the answers of the resolver.
//!
//! A bad answer never costs a good list anything: it is believed whole or not at all.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};

use serde::Deserialize;
use violetward::{CellId, EngineEntry, KindId, Listed, ZoneId};
use violetward_dns::message::{Entry, Message, Opcode, Rcode};
use violetward_dns::name::Name;
use violetward_dns::record::{Data, Type};
use violetward_settings::Names;

/// The name that lists the engines.
pub const SERVICE: &str = "_api._tcp.svc.local.";
/// Engines beyond any fleet; guards the memory against a list that never ends.
const ENGINES_MOST: usize = 1_000;

/// An engine as the list has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What the module is told.
    pub entry: EngineEntry,
}

/// A whole list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct List {
    /// The number of the last event in it: the zone's serial.
    pub number: u32,
    /// Engines that are up or draining, by name.
    pub engines: BTreeMap<String, Listing>,
}

/// The events of the start.
#[derive(Debug, Clone, Deserialize)]
pub struct Known {
    no: u32,
    items: Vec<Item>,
}

#[derive(Debug, Clone, Deserialize)]
struct Item {
    no: u64,
    roster: Roster,
}

#[derive(Debug, Clone, Deserialize)]
struct Roster {
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

struct Told<'a> {
    name: &'a str,
    address: SocketAddr,
    zone: &'a str,
    kind: &'a str,
    cell: u64,
    draining: bool,
    weight: f64,
    started_ms: u64,
}

impl Told<'_> {
    fn listing(&self, names: &Names) -> Result<Listing, String> {
        let place = |of: &[String], what: &str, name: &str| {
            let found = of.iter().position(|n| n.eq_ignore_ascii_case(name));
            found.ok_or_else(|| format!("{}: the {what} {name:?} is not known", self.name))
        };
        let entry = EngineEntry {
            engine: violetward_settings::engine_id(self.name),
            came_up: self.started_ms.saturating_mul(1000),
            weight: self.weight,
            kind: KindId(place(&names.kinds, "kind", self.kind)?),
            zone: ZoneId(place(&names.zones, "zone", self.zone)?),
            cell: CellId(self.cell),
            listed: if self.draining { Listed::Draining } else { Listed::Up },
        };
        Ok(Listing { name: self.name.to_owned(), address: self.address, entry })
    }
}

impl Known {
    /// The list that the events make.
    ///
    /// # Errors
    /// Says which event can't be used.
    pub fn list(&self, names: &Names) -> Result<List, String> {
        let mut list = List { number: self.no, engines: BTreeMap::new() };
        for item in &self.items {
            if item.roster.full {
                list.engines.clear();
            }
            for server in &item.roster.servers {
                if server.state == State::Gone {
                    list.engines.remove(&server.id);
                    continue;
                }
                let address = server.addr.parse();
                let address = address
                    .map_err(|_| format!("event {}: {:?} is not address:port", item.no, server.addr))?;
                let told = Told {
                    name: &server.id,
                    address,
                    zone: &server.zone,
                    kind: &server.kind,
                    cell: server.cell,
                    draining: server.state == State::Draining,
                    weight: server.weight,
                    started_ms: server.started_ms,
                };
                let listing = told.listing(names).map_err(|e| format!("event {}: {e}", item.no))?;
                list.engines.insert(server.id.clone(), listing);
            }
        }
        Ok(list)
    }
}

/// The question for the list.
///
/// # Panics
/// Never: the name is a constant.
pub fn question(id: u16) -> Vec<u8> {
    Message::query(id, service(), Type::SRV).write()
}

fn service() -> Name {
    Name::parse(SERVICE, &Name::root()).expect("a good name")
}

fn text(label: &[u8]) -> Result<&str, String> {
    std::str::from_utf8(label).map_err(|_| "a name that is not UTF-8".to_owned())
}

fn strings(entry: &Entry) -> impl Iterator<Item = (&str, &str)> {
    let strings = if let Some(Data::Txt(strings)) = &entry.data { &strings[..] } else { &[] };
    strings.iter().filter_map(|s| std::str::from_utf8(s).ok()?.split_once('='))
}

/// Reads the answer to the question with a number. It is used whole, or not at all.
///
/// # Errors
/// Says why it can't be used.
pub fn answer(bytes: &[u8], id: u16, names: &Names) -> Result<List, String> {
    let message = Message::read(bytes).map_err(|e| e.to_string())?;
    if message.id != id {
        return Err("an answer under another id".into());
    }
    if !message.response || message.opcode != Opcode::QUERY {
        return Err("no answer to a query".into());
    }
    if message.rcode != Rcode::NOERROR {
        return Err(format!("an answer with error code {}", message.rcode.0));
    }
    if message.truncated {
        return Err("an answer that is cut short".into());
    }
    let service = service();
    if message.questions.iter().any(|q| q.name != service || q.kind != Type::SRV) {
        return Err("an answer to another question".into());
    }
    let serial = message.authorities.iter().find_map(|e| match &e.data {
        Some(Data::Soa(soa)) => Some(soa.serial),
        _ => None,
    });
    let number = serial.ok_or("an answer without a serial")?;
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
        if entry.name != service {
            return Err("a record of another service".into());
        }
        let mut labels = target.labels();
        let (name, zone) = labels.next().zip(labels.next()).ok_or("a target without a zone")?;
        let (name, zone) = (text(name)?, text(zone)?);
        let (address, more) = hosts.get(target).copied().unwrap_or_default();
        let address = address.ok_or_else(|| format!("{name}: no address"))?;
        let more = more.ok_or_else(|| format!("{name}: no text"))?;
        let value = |wanted: &str| strings(more).find(|(n, _)| *n == wanted).map(|(_, v)| v);
        let number = |wanted: &str| {
            let parsed = value(wanted).and_then(|v| v.parse().ok());
            parsed.ok_or_else(|| format!("{name}: no {wanted}"))
        };
        let told = Told {
            name,
            address: SocketAddr::new(address, *port),
            zone,
            kind: value("kind").ok_or_else(|| format!("{name}: no kind"))?,
            cell: number("cell")?,
            draining: match priority {
                0 => false,
                1 => true,
                _ => return Err(format!("{name}: priority {priority}")),
            },
            weight: f64::from(*weight) / 10.0,
            started_ms: number("started")?,
        };
        list.engines.insert(name.to_owned(), told.listing(names)?);
        if list.engines.len() > ENGINES_MOST {
            return Err(format!("over {ENGINES_MOST} engines"));
        }
    }
    // No fleet ends at once; an answer without engines is half of one.
    if list.engines.is_empty() {
        return Err("an answer without engines".into());
    }
    Ok(list)
}
