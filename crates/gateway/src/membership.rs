//! The list of engines that is in force, read from S-expressions or from a zone. A text that cannot be
//! trusted as a whole is rejected, and the previous list stays in force. Does no I/O and reads no clock.
//!
//! In a zone, every name with an SRV record is an engine. The engine's name is that name relative to the
//! zone. The SRV record gives the port, the host and the weight (0 counts as 1), and the host's A or AAAA
//! record in the zone gives the address. The remaining fields are `name=value` strings of a TXT record or
//! parameters of an SVCB record: `kind` (key65280), `zone` (key65281), `cell` (key65282), `came-up`
//! (key65283), `state` (key65284). TXT takes precedence over SVCB.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use violetward_dns::master;
use violetward_dns::message::{Message, Rcode};
use violetward_dns::name::Name;
use violetward_dns::record::{Data, Type};
use violetward_dns::serial;
use violetward_dns::update;
use violetward_dns::zone::Zone;

use crate::list::{self, EngineRecord, ParsedList};
use crate::terms::Names;

/// Keys of SVCB parameters, from the range for private use (RFC 9460, section 14.3.1), and their names in TXT
/// records.
const ENGINE_PARAMETERS: [(u16, &str); 5] =
    [(65_280, "kind"), (65_281, "zone"), (65_282, "cell"), (65_283, "came-up"), (65_284, "state")];

/// The result of reading the text of an engine list.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadOutcome {
    /// The list that is in force from now on.
    Applied(BTreeMap<String, EngineRecord>),
    /// Why the text is rejected as a whole. The previous list stays in force.
    Rejected(String),
}

/// The engine list in force, with the zone that it came from.
#[derive(Debug, Default)]
pub struct EngineRegistry {
    engines: BTreeMap<String, EngineRecord>,
    serial: Option<u32>,
    zone: Option<Zone>,
}

impl EngineRegistry {
    /// The engines of the list in force, by name.
    pub fn engines(&self) -> &BTreeMap<String, EngineRecord> {
        &self.engines
    }

    /// The zone in force; `None` if the list was not read from a zone.
    pub fn zone(&self) -> Option<&Zone> {
        self.zone.as_ref()
    }

    /// Applies an authenticated update to the zone. Returns the mistakes found in the zone's engines.
    ///
    /// # Errors
    /// The code to answer with. The zone is unchanged then.
    pub fn apply_update(&mut self, update: &Message, names: &Names) -> Result<Vec<String>, Rcode> {
        let new = update::apply(self.zone.as_ref().ok_or(Rcode::NOTAUTH)?, update)?;
        let mut mistakes = Vec::new();
        let engines = engines_of_zone(&new, names, &mut mistakes);
        self.serial = new.serial();
        self.zone = Some(new);
        self.apply(&engines);
        Ok(mistakes)
    }

    /// Reads a list in S-expressions. Returns the result and the mistakes found in records.
    pub fn read_expressions(&mut self, text: &str, names: &Names) -> (ReadOutcome, Vec<String>) {
        match list::parse(text, names) {
            Ok(parsed) => {
                let mistakes = parsed.mistakes.iter().map(ToString::to_string).collect();
                (self.apply(&parsed), mistakes)
            }
            Err(mistake) => (ReadOutcome::Rejected(mistake.to_string()), Vec::new()),
        }
    }

    /// Reads a zone file. Returns the result and the mistakes found in records. A file that is truncated, has
    /// no SOA record or has an older serial than the zone in force is rejected. An engine whose record is
    /// damaged keeps its previous entry.
    pub fn read_zone_file(
        &mut self,
        text: &str,
        origin: &Name,
        names: &Names,
        include: &mut dyn FnMut(&str) -> Result<String, String>,
    ) -> (ReadOutcome, Vec<String>) {
        let reading = master::read(text, origin, include);
        let mut mistakes: Vec<String> = reading.mistakes.iter().map(ToString::to_string).collect();
        if reading.cut {
            return (ReadOutcome::Rejected("the zone file is truncated".into()), mistakes);
        }
        let (zone, zone_mistakes) = master::zone(origin, &reading);
        mistakes.extend(zone_mistakes);
        let Some(serial) = zone.serial() else {
            return (ReadOutcome::Rejected("the zone file has no SOA record".into()), mistakes);
        };
        if self.serial.is_some_and(|seen| serial::is_newer(seen, serial)) {
            let seen = self.serial.unwrap_or_default();
            return (
                ReadOutcome::Rejected(format!("serial {serial} is older than {seen} of the zone in force")),
                mistakes,
            );
        }
        let mut engines = engines_of_zone(&zone, names, &mut mistakes);
        // An unreadable record may belong to an engine: an engine without a valid record whose name appears
        // on a damaged line keeps its previous entry.
        let damaged_lines: Vec<&str> =
            reading.mistakes.iter().filter_map(|m| text.lines().nth(m.line.wrapping_sub(1))).collect();
        for name in self.engines.keys() {
            let mentioned = damaged_lines
                .iter()
                .any(|line| line.split_whitespace().any(|w| w.eq_ignore_ascii_case(name)));
            if mentioned && !engines.records.contains_key(name) && !engines.damaged.contains(name) {
                engines.damaged.push(name.clone());
            }
        }
        self.serial = Some(serial);
        self.zone = Some(zone);
        (self.apply(&engines), mistakes)
    }

    fn apply(&mut self, parsed: &ParsedList) -> ReadOutcome {
        self.engines = list::merge(&self.engines, parsed);
        ReadOutcome::Applied(self.engines.clone())
    }
}

/// Reads the engines of a zone. Mistakes are added to `mistakes`.
pub fn engines_of_zone(zone: &Zone, names: &Names, mistakes: &mut Vec<String>) -> ParsedList {
    let mut parsed = ParsedList::default();
    let mut owners: Vec<Name> =
        zone.records().filter(|r| r.data.kind() == Type::SRV).map(|r| r.name).collect();
    owners.dedup();
    for owner in owners {
        let name = relative_name(&owner, zone.origin());
        match parse_engine(zone, &owner, &name, names) {
            Ok(record) => {
                parsed.records.insert(name, record);
            }
            Err(why) => {
                mistakes.push(format!("engine {name}: {why}"));
                parsed.damaged.push(name);
            }
        }
    }
    parsed
}

fn relative_name(name: &Name, origin: &Name) -> String {
    let (name, origin) = (name.to_string(), origin.to_string());
    name.strip_suffix(&origin).map_or(name.as_str(), |n| n.trim_end_matches('.')).to_owned()
}

fn parse_engine(zone: &Zone, owner: &Name, name: &str, names: &Names) -> Result<EngineRecord, String> {
    let services = zone.get(owner, Type::SRV).map(|s| s.data.as_slice()).unwrap_or_default();
    // Of several records, the one with the lowest priority value applies; ties go to the first one in the
    // zone.
    let preferred =
        services.iter().min_by_key(|d| if let Data::Srv { priority, .. } = d { *priority } else { u16::MAX });
    let Some(Data::Srv { weight, port, target, .. }) = preferred else { return Err("no SRV record".into()) };
    let first_of = |kind: Type| zone.get(target, kind).and_then(|s| s.data.first());
    let ip: IpAddr = match (first_of(Type::A), first_of(Type::AAAA)) {
        (Some(Data::A(a)), _) => (*a).into(),
        (_, Some(Data::Aaaa(a))) => (*a).into(),
        _ => return Err(format!("host {target} has no A or AAAA record in the zone")),
    };
    let fields = engine_fields(zone, owner)?;
    let mut text = format!("(engine \"engine\" (address \"{}\")", SocketAddr::new(ip, *port));
    for (key, value) in &fields {
        // Only words and numbers are allowed, so that the text below parses as S-expressions.
        if !value.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b)) || value.is_empty() {
            return Err(format!("{key}={value} is not a word or a number"));
        }
        text.push_str(&format!(" ({key} {value})"));
    }
    text.push(')');
    let parsed = list::parse(&text, names).map_err(|m| m.message)?;
    if let Some(mistake) = parsed.mistakes.first() {
        return Err(mistake.message.clone());
    }
    let mut record = parsed.records.into_values().next().ok_or("the record is empty")?;
    record.name = name.to_owned();
    record.entry.engine = list::engine_id(name);
    record.entry.weight = if *weight == 0 { 1.0 } else { f64::from(*weight) };
    Ok(record)
}

/// The fields of an engine that its TXT and SVCB records give.
fn engine_fields(zone: &Zone, owner: &Name) -> Result<BTreeMap<String, String>, String> {
    let mut fields = BTreeMap::new();
    for data in zone.get(owner, Type::SVCB).iter().flat_map(|s| &s.data) {
        let Data::Svcb { parameters, .. } = data else { continue };
        for (key, name) in ENGINE_PARAMETERS {
            if let Some((_, value)) = parameters.iter().find(|p| p.0 == key) {
                let value =
                    String::from_utf8(value.clone()).map_err(|_| format!("{name} is not valid UTF-8"))?;
                fields.insert(name.to_owned(), value);
            }
        }
    }
    for data in zone.get(owner, Type::TXT).iter().flat_map(|s| &s.data) {
        let Data::Txt(strings) = data else { continue };
        for string in strings {
            let text = String::from_utf8(string.clone()).map_err(|_| "a TXT string is not valid UTF-8")?;
            let (key, value) = text.split_once('=').unwrap_or((&text, ""));
            if ENGINE_PARAMETERS.iter().any(|(_, name)| *name == key) {
                fields.insert(key.to_owned(), value.to_owned());
            }
        }
    }
    Ok(fields)
}

#[cfg(test)]
mod tests {
    use super::*;
    use violetward::Listed;

    const ZONE: &str = "$TTL 5\n@ SOA ns h 7 1 1 1 1\nhost A 127.0.0.1\n\
        e1 SRV 0 10 9001 host\n   TXT \"kind=m8\" \"zone=a\" \"came-up=5\"\n\
        e2 SRV 0 0 9002 host\n   SVCB 1 host key65280=m8 key65284=draining\n";

    fn names() -> Names {
        Names { kinds: vec!["m8".into()], zones: vec!["a".into()], ..Names::default() }
    }

    fn origin() -> Name {
        Name::parse("fleet.example.", &Name::root()).unwrap()
    }

    fn read_zone(registry: &mut EngineRegistry, text: &str) -> (ReadOutcome, Vec<String>) {
        registry.read_zone_file(text, &origin(), &names(), &mut |_| Err("none".into()))
    }

    #[test]
    fn a_zone_lists_engines() {
        let mut registry = EngineRegistry::default();
        let (outcome, mistakes) = read_zone(&mut registry, ZONE);
        let ReadOutcome::Applied(list) = outcome else { panic!("{outcome:?}") };
        assert!(mistakes.is_empty(), "{mistakes:?}");
        let (e1, e2) = (&list["e1"], &list["e2"]);
        assert_eq!((e1.address.port(), e1.entry.weight, e1.entry.came_up), (9001, 10.0, 5000));
        assert_eq!((e2.entry.weight, e2.entry.listed), (1.0, Listed::Draining));
        assert_eq!(e1.entry.engine, list::engine_id("e1"), "the id depends on the name alone");
    }

    #[test]
    fn a_damaged_record_keeps_the_known_engine_and_a_damaged_file_keeps_the_list() {
        let mut registry = EngineRegistry::default();
        read_zone(&mut registry, ZONE);
        // A malformed SRV record, an unknown kind, a host without an address.
        for (from, to) in [
            ("e1 SRV 0 10 9001 host", "e1 SRV 0 x 9001 host"),
            ("kind=m8\" \"zone", "kind=m9\" \"zone"),
            ("9001 host", "9001 gone"),
        ] {
            let (outcome, mistakes) = read_zone(&mut registry, &ZONE.replace(from, to));
            assert_eq!(outcome, ReadOutcome::Applied(registry.engines().clone()));
            assert!(
                registry.engines().contains_key("e1")
                    && registry.engines().len() == 2
                    && !mistakes.is_empty(),
                "{to}: {mistakes:?}"
            );
        }
        for text in [&ZONE[..ZONE.len() - 12], "", "$TTL 5\nhost A 127.0.0.1\n"] {
            assert!(matches!(read_zone(&mut registry, text).0, ReadOutcome::Rejected(_)), "{text}");
            assert_eq!(registry.engines().len(), 2);
        }
    }

    #[test]
    fn an_older_serial_is_rejected_also_when_serials_wrap() {
        let mut registry = EngineRegistry::default();
        let version = |serial: u32, engine: &str| {
            format!("$TTL 5\n@ SOA ns h {serial} 1 1 1 1\nhost A 127.0.0.1\n{engine} SRV 0 0 1 host\n")
        };
        read_zone(&mut registry, &version(u32::MAX, "e1"));
        assert!(matches!(read_zone(&mut registry, &version(1, "e2")).0, ReadOutcome::Applied(_)));
        assert!(matches!(read_zone(&mut registry, &version(u32::MAX, "e1")).0, ReadOutcome::Rejected(_)));
        assert_eq!(registry.engines().keys().collect::<Vec<_>>(), ["e2"]);
        // A complete, newer zone removes the engines that it does not name, even if it names none.
        read_zone(&mut registry, "$TTL 5\n@ SOA ns h 2 1 1 1 1\n");
        assert!(registry.engines().is_empty());
    }
}
