//! What becomes of a text that lists engines, S-expressions or a zone: the list that now holds, or why the old one stands. Free of
//! I/O and clock.
//!
//! In a zone every name with an SRV record is an engine: its own name without the zone's, port and host by the record, address by
//! the host's A or AAAA record in the zone, share by the record's weight (0 counts as 1). What else the list says comes as
//! `name=value` strings of a TXT record, or as parameters of an SVCB record: `kind` (key65280), `zone` (key65281), `cell`
//! (key65282), `came-up` (key65283), `state` (key65284). TXT goes before SVCB.

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

/// Parameters of SVCB records, from the range for private use (RFC 9460, section 14.3.1), and their names in TXT records.
const PARAMETERS: [(u16, &str); 5] =
    [(65_280, "kind"), (65_281, "zone"), (65_282, "cell"), (65_283, "came-up"), (65_284, "state")];

/// What a reading of the list's text leads to.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadOutcome {
    /// The list that now holds.
    Applied(BTreeMap<String, EngineRecord>),
    /// The text is not to be believed as a whole: the old list stands.
    Rejected(String),
}

/// The list as last believed.
#[derive(Debug, Default)]
pub struct EngineRegistry {
    known: BTreeMap<String, EngineRecord>,
    serial: Option<u32>,
    zone: Option<Zone>,
}

impl EngineRegistry {
    /// The list that holds.
    pub fn engines(&self) -> &BTreeMap<String, EngineRecord> {
        &self.known
    }

    /// The zone that holds, where the list is one.
    pub fn zone(&self) -> Option<&Zone> {
        self.zone.as_ref()
    }

    /// Changes the zone by an update that is believed; what is wrong with its engines is told.
    ///
    /// # Errors
    /// The code to answer with; nothing has changed.
    pub fn apply_update(&mut self, update: &Message, names: &Names) -> Result<Vec<String>, Rcode> {
        let new = update::apply(self.zone.as_ref().ok_or(Rcode::NOTAUTH)?, update)?;
        let mut told = Vec::new();
        let engines = engines_of_zone(&new, names, &mut told);
        self.serial = new.serial();
        self.zone = Some(new);
        self.apply(&engines);
        Ok(told)
    }

    /// Reads S-expressions.
    pub fn read_expressions(&mut self, text: &str, names: &Names) -> (ReadOutcome, Vec<String>) {
        match list::parse(text, names) {
            Ok(reading) => {
                let told = reading.mistakes.iter().map(ToString::to_string).collect();
                (self.apply(&reading), told)
            }
            Err(mistake) => (ReadOutcome::Rejected(mistake.to_string()), Vec::new()),
        }
    }

    /// Reads a zone file. One that is cut off, has no start of authority, or an older serial than was seen, is not believed; a
    /// damaged record keeps what was known of its engine.
    pub fn read_zone_file(
        &mut self,
        text: &str,
        origin: &Name,
        names: &Names,
        include: &mut dyn FnMut(&str) -> Result<String, String>,
    ) -> (ReadOutcome, Vec<String>) {
        let reading = master::read(text, origin, include);
        let mut told: Vec<String> = reading.mistakes.iter().map(ToString::to_string).collect();
        if reading.cut {
            return (ReadOutcome::Rejected("it is cut off".into()), told);
        }
        let (zone, wrong) = master::zone(origin, &reading);
        told.extend(wrong);
        let Some(serial) = zone.serial() else {
            return (ReadOutcome::Rejected("it has no start of authority".into()), told);
        };
        if self.serial.is_some_and(|seen| serial::is_newer(seen, serial)) {
            let seen = self.serial.unwrap_or_default();
            return (
                ReadOutcome::Rejected(format!("its serial {serial} is older than {seen}, which was seen")),
                told,
            );
        }
        let mut engines = engines_of_zone(&zone, names, &mut told);
        // A record that cannot be read may have been an engine's: what is known of names that the file still mentions, or that
        // stood on damaged lines, is kept.
        let damaged_lines: Vec<&str> =
            reading.mistakes.iter().filter_map(|m| text.lines().nth(m.line.wrapping_sub(1))).collect();
        for name in self.known.keys() {
            let mentioned =
                damaged_lines.iter().any(|l| l.split_whitespace().any(|w| w.eq_ignore_ascii_case(name)));
            if mentioned && !engines.records.contains_key(name) && !engines.damaged.contains(name) {
                engines.damaged.push(name.clone());
            }
        }
        self.serial = Some(serial);
        self.zone = Some(zone);
        (self.apply(&engines), told)
    }

    fn apply(&mut self, reading: &ParsedList) -> ReadOutcome {
        self.known = list::merge(&self.known, reading);
        ReadOutcome::Applied(self.known.clone())
    }
}

/// The engines of a zone; what is wrong with one is added to `told`.
pub fn engines_of_zone(zone: &Zone, names: &Names, told: &mut Vec<String>) -> ParsedList {
    let mut reading = ParsedList::default();
    let mut owners: Vec<Name> =
        zone.records().filter(|r| r.data.kind() == Type::SRV).map(|r| r.name).collect();
    owners.dedup();
    for owner in owners {
        let name = relative(&owner, zone.origin());
        match engine(zone, &owner, &name, names) {
            Ok(record) => {
                reading.records.insert(name, record);
            }
            Err(why) => {
                told.push(format!("engine {name}: {why}"));
                reading.damaged.push(name);
            }
        }
    }
    reading
}

fn relative(name: &Name, origin: &Name) -> String {
    let (name, origin) = (name.to_string(), origin.to_string());
    name.strip_suffix(&origin).map_or(name.as_str(), |n| n.trim_end_matches('.')).to_owned()
}

fn engine(zone: &Zone, owner: &Name, name: &str, names: &Names) -> Result<EngineRecord, String> {
    let services = zone.get(owner, Type::SRV).map(|s| s.data.as_slice()).unwrap_or_default();
    // Of several, the one with the lowest priority; ties by the order of the zone.
    let best =
        services.iter().min_by_key(|d| if let Data::Srv { priority, .. } = d { *priority } else { u16::MAX });
    let Some(Data::Srv { weight, port, target, .. }) = best else { return Err("no SRV record".into()) };
    let of = |kind: Type| zone.get(target, kind).and_then(|s| s.data.first());
    let ip: IpAddr = match (of(Type::A), of(Type::AAAA)) {
        (Some(Data::A(a)), _) => (*a).into(),
        (_, Some(Data::Aaaa(a))) => (*a).into(),
        _ => return Err(format!("its host {target} has no address in the zone")),
    };
    let terms = terms(zone, owner)?;
    let mut text = format!("(engine \"engine\" (address \"{}\")", SocketAddr::new(ip, *port));
    for (key, value) in &terms {
        // Words and numbers, checked below as in a file of S-expressions.
        if !value.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b)) || value.is_empty() {
            return Err(format!("{key}={value} cannot be read"));
        }
        text.push_str(&format!(" ({key} {value})"));
    }
    text.push(')');
    let parsed = list::parse(&text, names).map_err(|m| m.message)?;
    if let Some(mistake) = parsed.mistakes.first() {
        return Err(mistake.message.clone());
    }
    let mut record = parsed.records.into_values().next().ok_or("it cannot be read")?;
    record.name = name.to_owned();
    record.entry.engine = list::engine_id(name);
    record.entry.weight = if *weight == 0 { 1.0 } else { f64::from(*weight) };
    Ok(record)
}

/// What the zone says of an engine beside its address.
fn terms(zone: &Zone, owner: &Name) -> Result<BTreeMap<String, String>, String> {
    let mut terms = BTreeMap::new();
    for data in zone.get(owner, Type::SVCB).iter().flat_map(|s| &s.data) {
        let Data::Svcb { parameters, .. } = data else { continue };
        for (key, name) in PARAMETERS {
            if let Some((_, value)) = parameters.iter().find(|p| p.0 == key) {
                let value = String::from_utf8(value.clone()).map_err(|_| format!("{name} is no text"))?;
                terms.insert(name.to_owned(), value);
            }
        }
    }
    for data in zone.get(owner, Type::TXT).iter().flat_map(|s| &s.data) {
        let Data::Txt(strings) = data else { continue };
        for string in strings {
            let text = String::from_utf8(string.clone()).map_err(|_| "a string that is no text")?;
            let (key, value) = text.split_once('=').unwrap_or((&text, ""));
            if PARAMETERS.iter().any(|(_, name)| *name == key) {
                terms.insert(key.to_owned(), value.to_owned());
            }
        }
    }
    Ok(terms)
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

    fn read(m: &mut EngineRegistry, text: &str) -> (ReadOutcome, Vec<String>) {
        m.read_zone_file(text, &origin(), &names(), &mut |_| Err("none".into()))
    }

    #[test]
    fn engines_are_listed_by_a_zone() {
        let mut m = EngineRegistry::default();
        let (verdict, told) = read(&mut m, ZONE);
        let ReadOutcome::Applied(list) = verdict else { panic!("{verdict:?}") };
        assert!(told.is_empty(), "{told:?}");
        let (e1, e2) = (&list["e1"], &list["e2"]);
        assert_eq!((e1.address.port(), e1.entry.weight, e1.entry.came_up), (9001, 10.0, 5000));
        assert_eq!((e2.entry.weight, e2.entry.listed), (1.0, Listed::Draining));
        assert_eq!(e1.entry.engine, list::engine_id("e1"), "the same number whatever lists it");
    }

    #[test]
    fn a_damaged_record_keeps_what_was_known_and_a_damaged_file_empties_nothing() {
        let mut m = EngineRegistry::default();
        read(&mut m, ZONE);
        // Its line cannot be read, its terms cannot, its host has no address.
        for (from, to) in [
            ("e1 SRV 0 10 9001 host", "e1 SRV 0 x 9001 host"),
            ("kind=m8\" \"zone", "kind=m9\" \"zone"),
            ("9001 host", "9001 gone"),
        ] {
            let (verdict, told) = read(&mut m, &ZONE.replace(from, to));
            assert_eq!(verdict, ReadOutcome::Applied(m.engines().clone()));
            assert!(
                m.engines().contains_key("e1") && m.engines().len() == 2 && !told.is_empty(),
                "{to}: {told:?}"
            );
        }
        for text in [&ZONE[..ZONE.len() - 12], "", "$TTL 5\nhost A 127.0.0.1\n"] {
            assert!(matches!(read(&mut m, text).0, ReadOutcome::Rejected(_)), "{text}");
            assert_eq!(m.engines().len(), 2);
        }
    }

    #[test]
    fn an_older_version_does_not_undo_a_newer_one_also_where_serials_wrap() {
        let mut m = EngineRegistry::default();
        let version = |serial: u32, engine: &str| {
            format!("$TTL 5\n@ SOA ns h {serial} 1 1 1 1\nhost A 127.0.0.1\n{engine} SRV 0 0 1 host\n")
        };
        read(&mut m, &version(u32::MAX, "e1"));
        assert!(matches!(read(&mut m, &version(1, "e2")).0, ReadOutcome::Applied(_)));
        assert!(matches!(read(&mut m, &version(u32::MAX, "e1")).0, ReadOutcome::Rejected(_)));
        assert_eq!(m.engines().keys().collect::<Vec<_>>(), ["e2"]);
        // What a whole and newer zone does not name any more is gone, all of them too.
        read(&mut m, "$TTL 5\n@ SOA ns h 2 1 1 1 1\n");
        assert!(m.engines().is_empty());
    }
}
