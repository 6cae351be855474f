//! Dynamic updates (RFC 2136): prerequisites, then changes, all or none.

use crate::message::{Entry, Message, Rcode};
use crate::record::{Data, Type, ANY, IN, NONE};
use crate::serial;
use crate::zone::Zone;

/// What an update makes of a zone. The serial goes up by one if anything changed and the update did not set it.
///
/// # Errors
/// The code to answer with; the zone stays as it is.
pub fn apply(zone: &Zone, update: &Message) -> Result<Zone, Rcode> {
    let [question] = update.questions.as_slice() else { return Err(Rcode::FORMERR) };
    if question.kind != Type::SOA || question.class != IN {
        return Err(Rcode::FORMERR);
    }
    if question.name != *zone.origin() {
        return Err(Rcode::NOTAUTH);
    }
    prerequisites(zone, &update.answers)?;
    for entry in &update.authorities {
        check(zone, entry)?;
    }
    let mut new = zone.clone();
    for entry in &update.authorities {
        change(&mut new, entry);
    }
    if !new.diff(zone).is_empty() && new.serial() == zone.serial() {
        new.set_serial(serial::next(zone.serial().unwrap_or(0)));
    }
    Ok(new)
}

/// Section 3.2.
fn prerequisites(zone: &Zone, all: &[Entry]) -> Result<(), Rcode> {
    let mut exact: Vec<(&Entry, Vec<Data>)> = Vec::new();
    for e in all {
        if e.ttl != 0 {
            return Err(Rcode::FORMERR);
        }
        if !e.name.is_within(zone.origin()) {
            return Err(Rcode::NOTZONE);
        }
        let (name, set) = (zone.has(&e.name), zone.get(&e.name, e.kind).is_some());
        match (e.class, &e.data) {
            (ANY, None) if e.kind == Type::ANY && !name => return Err(Rcode::NXDOMAIN),
            (ANY, None) if e.kind != Type::ANY && !set => return Err(Rcode::NXRRSET),
            (NONE, None) if e.kind == Type::ANY && name => return Err(Rcode::YXDOMAIN),
            (NONE, None) if e.kind != Type::ANY && set => return Err(Rcode::YXRRSET),
            (ANY | NONE, None) => {}
            (IN, Some(data)) => match exact.iter_mut().find(|(x, _)| x.name == e.name && x.kind == e.kind) {
                Some((_, list)) => list.push(data.clone()),
                None => exact.push((e, vec![data.clone()])),
            },
            _ => return Err(Rcode::FORMERR),
        }
    }
    for (e, mut wanted) in exact {
        wanted.sort();
        wanted.dedup();
        if zone.get(&e.name, e.kind).is_none_or(|set| set.data != wanted) {
            return Err(Rcode::NXRRSET);
        }
    }
    Ok(())
}

/// Section 3.4.1: nothing is changed unless all can be.
fn check(zone: &Zone, e: &Entry) -> Result<(), Rcode> {
    if !e.name.is_within(zone.origin()) {
        return Err(Rcode::NOTZONE);
    }
    let meta = (249..=255).contains(&e.kind.0) || e.kind == Type::OPT;
    let good = match e.class {
        IN => e.data.is_some() && !meta,
        ANY => e.ttl == 0 && e.data.is_none() && (!meta || e.kind == Type::ANY),
        NONE => e.ttl == 0 && e.data.is_some() && !meta,
        _ => false,
    };
    if good {
        Ok(())
    } else {
        Err(Rcode::FORMERR)
    }
}

/// Section 3.4.2. What the RFC passes over in silence is passed over.
fn change(zone: &mut Zone, e: &Entry) {
    let apex = e.name == *zone.origin();
    match (e.class, &e.data) {
        (IN, Some(Data::Soa(new))) => {
            let newer = zone.serial().is_none_or(|old| serial::is_newer(new.serial, old));
            if newer {
                zone.add(&e.name, e.ttl, Data::Soa(new.clone())).ok();
            }
        }
        (IN, Some(data)) => drop(zone.add(&e.name, e.ttl, data.clone())),
        (ANY, _) if e.kind == Type::ANY => {
            let kinds: Vec<Type> = zone.of(&e.name).map(|(kind, _)| kind).collect();
            let kept = |kind: &Type| apex && matches!(*kind, Type::SOA | Type::NS);
            kinds.into_iter().filter(|k| !kept(k)).for_each(|kind| zone.remove_set(&e.name, kind));
        }
        (ANY, _) if apex && matches!(e.kind, Type::SOA | Type::NS) => {}
        (ANY, _) => zone.remove_set(&e.name, e.kind),
        (NONE, Some(data)) => {
            let last_server =
                apex && e.kind == Type::NS && zone.get(&e.name, Type::NS).is_some_and(|s| s.data.len() == 1);
            if e.kind != Type::SOA && !last_server {
                zone.remove(&e.name, data);
            }
        }
        _ => {}
    }
}
