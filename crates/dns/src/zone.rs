//! A zone as a persistent map from names and types to sets of records. A clone shares everything with its original, so that
//! readers keep a snapshot for as long as they like, and two versions are compared in time that grows with what differs.

use imbl::ordmap::DiffItem;
use imbl::OrdMap;

use crate::name::Name;
use crate::record::{Data, Record, Soa, Type, IN};

/// All records of a name and type: what they say, in order, and how long it may be kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Set {
    /// Seconds.
    pub ttl: u32,
    /// Without repeats, in order.
    pub data: Vec<Data>,
}

/// A zone.
#[derive(Debug, Clone)]
pub struct Zone {
    origin: Name,
    sets: OrdMap<(Name, Type), Set>,
}

/// A change between two versions of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A record that is new.
    Added(Record),
    /// A record that is gone.
    Removed(Record),
}

/// Why a record cannot be in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneError {
    /// Its name is not in the zone.
    Outside,
    /// A CNAME stands beside other records.
    BesideCname,
    /// A start of authority elsewhere than at the zone's own name.
    Soa,
}

impl std::fmt::Display for ZoneError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ZoneError::Outside => "the name is not in the zone",
            ZoneError::BesideCname => "a CNAME cannot stand beside other records of its name",
            ZoneError::Soa => "an SOA can only stand at the zone's own name",
        })
    }
}

impl Zone {
    /// An empty zone.
    pub fn new(origin: Name) -> Zone {
        Zone { origin, sets: OrdMap::new() }
    }

    /// Its name.
    pub fn origin(&self) -> &Name {
        &self.origin
    }

    /// Sets of records.
    pub fn len(&self) -> usize {
        self.sets.len()
    }

    /// It has none.
    pub fn is_empty(&self) -> bool {
        self.sets.is_empty()
    }

    /// The start of authority.
    pub fn soa(&self) -> Option<&Soa> {
        self.get(&self.origin, Type::SOA)?.data.iter().find_map(|d| match d {
            Data::Soa(soa) => Some(soa),
            _ => None,
        })
    }

    /// Its version.
    pub fn serial(&self) -> Option<u32> {
        self.soa().map(|s| s.serial)
    }

    /// A set.
    pub fn get(&self, name: &Name, kind: Type) -> Option<&Set> {
        self.sets.get(&(name.clone(), kind))
    }

    /// All sets of a name.
    pub fn of(&self, name: &Name) -> impl Iterator<Item = (Type, &Set)> {
        let range = (name.clone(), Type(0))..=(name.clone(), Type(u16::MAX));
        self.sets.range(range).map(|((_, kind), set)| (*kind, set))
    }

    /// Whether a name has any record.
    pub fn has(&self, name: &Name) -> bool {
        self.of(name).next().is_some()
    }

    /// Whether a name, or one under it, has any record (RFC 8020). In canonical order what is under a name follows it.
    pub fn exists(&self, name: &Name) -> bool {
        let next = self.sets.range((name.clone(), Type(0))..).next();
        next.is_some_and(|((found, _), _)| found.is_within(name))
    }

    /// All records, the start of authority first.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        let soa = (self.origin.clone(), Type::SOA);
        let first = self.sets.get_key_value(&soa).into_iter();
        let rest = self.sets.iter().filter(move |(key, _)| **key != soa);
        first.chain(rest).flat_map(|((name, _), set)| records(name, set))
    }

    /// Adds a record. A start of authority takes the place of the one before.
    ///
    /// # Errors
    /// See [`ZoneError`].
    pub fn add(&mut self, name: &Name, ttl: u32, data: Data) -> Result<(), ZoneError> {
        let kind = data.kind();
        if !name.is_within(&self.origin) {
            return Err(ZoneError::Outside);
        }
        if kind == Type::SOA && *name != self.origin {
            return Err(ZoneError::Soa);
        }
        let alias = self.get(name, Type::CNAME).is_some();
        if kind != Type::CNAME && alias || kind == Type::CNAME && !alias && self.has(name) {
            return Err(ZoneError::BesideCname);
        }
        let mut set = self.get(name, kind).cloned().unwrap_or(Set { ttl, data: Vec::new() });
        set.ttl = ttl;
        if matches!(kind, Type::SOA | Type::CNAME) {
            set.data.clear();
        }
        if let Err(at) = set.data.binary_search(&data) {
            set.data.insert(at, data);
        }
        self.sets.insert((name.clone(), kind), set);
        Ok(())
    }

    /// Takes a set out.
    pub fn remove_set(&mut self, name: &Name, kind: Type) {
        self.sets.remove(&(name.clone(), kind));
    }

    /// Takes a record out.
    pub fn remove(&mut self, name: &Name, data: &Data) {
        let key = (name.clone(), data.kind());
        let Some(set) = self.sets.get(&key) else { return };
        let left: Vec<Data> = set.data.iter().filter(|d| *d != data).cloned().collect();
        if left.is_empty() {
            self.sets.remove(&key);
        } else if left.len() < set.data.len() {
            let set = Set { ttl: set.ttl, data: left };
            self.sets.insert(key, set);
        }
    }

    /// Sets the serial, if there is a start of authority.
    pub fn set_serial(&mut self, serial: u32) {
        let Some(soa) = self.soa().cloned() else { return };
        let ttl = self.get(&self.origin, Type::SOA).map_or(0, |s| s.ttl);
        let origin = self.origin.clone();
        // At the zone's own name, and one stands there already.
        self.add(&origin, ttl, Data::Soa(Soa { serial, ..soa })).ok();
    }

    /// What has changed from `old` to this one. What both share is passed over.
    pub fn diff(&self, old: &Zone) -> Vec<Change> {
        let mut changes = Vec::new();
        for item in old.sets.diff(&self.sets) {
            match item {
                DiffItem::Add((name, _), set) => changes.extend(records(name, set).map(Change::Added)),
                DiffItem::Remove((name, _), set) => changes.extend(records(name, set).map(Change::Removed)),
                DiffItem::Update { old: ((name, _), before), new: (_, after) } => {
                    let same = before.ttl == after.ttl;
                    changes.extend(
                        records(name, before)
                            .filter(|r| !same || !after.data.contains(&r.data))
                            .map(Change::Removed),
                    );
                    changes.extend(
                        records(name, after)
                            .filter(|r| !same || !before.data.contains(&r.data))
                            .map(Change::Added),
                    );
                }
            }
        }
        changes
    }
}

fn records<'a>(name: &'a Name, set: &'a Set) -> impl Iterator<Item = Record> + 'a {
    set.data.iter().map(move |data| Record {
        name: name.clone(),
        class: IN,
        ttl: set.ttl,
        data: data.clone(),
    })
}
