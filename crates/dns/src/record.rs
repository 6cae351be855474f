//! Records and their data.

use std::fmt;
use std::net::{Ipv4Addr, Ipv6Addr};

use crate::name::{Name, NameError};

/// A type of record, by its number (IANA, "Domain Name System Parameters").
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Type(pub u16);

#[allow(missing_docs)]
impl Type {
    pub const A: Type = Type(1);
    pub const NS: Type = Type(2);
    pub const CNAME: Type = Type(5);
    pub const SOA: Type = Type(6);
    pub const TXT: Type = Type(16);
    pub const AAAA: Type = Type(28);
    pub const SRV: Type = Type(33);
    pub const OPT: Type = Type(41);
    pub const SVCB: Type = Type(64);
    pub const TSIG: Type = Type(250);
    pub const IXFR: Type = Type(251);
    pub const AXFR: Type = Type(252);
    pub const ANY: Type = Type(255);
}

const NAMED: [(&str, Type); 14] = [
    ("A", Type::A),
    ("NS", Type::NS),
    ("CNAME", Type::CNAME),
    ("SOA", Type::SOA),
    ("TXT", Type::TXT),
    ("AAAA", Type::AAAA),
    ("SRV", Type::SRV),
    ("OPT", Type::OPT),
    ("SVCB", Type::SVCB),
    ("TSIG", Type::TSIG),
    ("IXFR", Type::IXFR),
    ("AXFR", Type::AXFR),
    ("ANY", Type::ANY),
    ("*", Type::ANY),
];

impl Type {
    /// Reads a name, or `TYPE123` (RFC 3597, section 5).
    pub fn parse(text: &str) -> Option<Type> {
        let named = NAMED.iter().find(|(name, _)| name.eq_ignore_ascii_case(text)).map(|(_, t)| *t);
        let unnamed =
            || text.get(..4).filter(|p| p.eq_ignore_ascii_case("TYPE")).and_then(|_| text[4..].parse().ok());
        named.or_else(|| unnamed().map(Type))
    }
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match NAMED.iter().find(|(_, t)| t == self) {
            Some((name, _)) => f.write_str(name),
            None => write!(f, "TYPE{}", self.0),
        }
    }
}

/// The class of the internet.
pub const IN: u16 = 1;
/// `NONE` (RFC 2136, section 2.4).
pub const NONE: u16 = 254;
/// `ANY`.
pub const ANY: u16 = 255;

/// The start of a zone's authority.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Soa {
    /// Its first server.
    pub server: Name,
    /// The mailbox of who is responsible.
    pub mailbox: Name,
    /// Its version.
    pub serial: u32,
    /// Seconds between two looks of a secondary.
    pub refresh: u32,
    /// After one that failed.
    pub retry: u32,
    /// After which a secondary that reaches nobody has nothing to say.
    pub expire: u32,
    /// For which a negative answer may be kept.
    pub minimum: u32,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Data {
    /// An address.
    A(Ipv4Addr),
    /// An address.
    Aaaa(Ipv6Addr),
    /// A server of the zone.
    Ns(Name),
    /// Another name.
    Cname(Name),
    /// The start of authority.
    Soa(Soa),
    /// Strings of up to 255 octets.
    Txt(Vec<Vec<u8>>),
    /// A service (RFC 2782).
    Srv {
        /// Lower ones first.
        priority: u16,
        /// Share among those of one priority.
        weight: u16,
        /// Port.
        port: u16,
        /// Host.
        target: Name,
    },
    /// A service binding (RFC 9460); parameters by number, as on the wire.
    Svcb {
        /// Lower ones first; 0 is an alias.
        priority: u16,
        /// Host.
        target: Name,
        /// Parameters, in the order of their numbers.
        parameters: Vec<(u16, Vec<u8>)>,
    },
    /// Of a type that is not known here (RFC 3597).
    Unknown(Type, Vec<u8>),
}

impl Data {
    /// Its type.
    pub fn kind(&self) -> Type {
        match self {
            Data::A(_) => Type::A,
            Data::Aaaa(_) => Type::AAAA,
            Data::Ns(_) => Type::NS,
            Data::Cname(_) => Type::CNAME,
            Data::Soa(_) => Type::SOA,
            Data::Txt(_) => Type::TXT,
            Data::Srv { .. } => Type::SRV,
            Data::Svcb { .. } => Type::SVCB,
            Data::Unknown(kind, _) => *kind,
        }
    }

    /// Reads data of a type that lies in `message` from `at` to `end`.
    ///
    /// # Errors
    /// Says what cannot be read.
    pub fn read(kind: Type, message: &[u8], at: usize, end: usize) -> Result<Data, DataError> {
        let raw = message.get(at..end).ok_or(DataError::Short)?;
        let number = |at: usize| -> Result<u16, DataError> {
            let bytes = message.get(at..at + 2).filter(|_| at + 2 <= end).ok_or(DataError::Short)?;
            Ok(u16::from_be_bytes([bytes[0], bytes[1]]))
        };
        let name = |at: usize| Name::read(message, at).map_err(DataError::Name);
        let whole = |ends: usize, data: Data| if ends == end { Ok(data) } else { Err(DataError::Length) };
        match kind {
            Type::A => raw.try_into().map(|o: [u8; 4]| Data::A(o.into())).map_err(|_| DataError::Length),
            Type::AAAA => {
                raw.try_into().map(|o: [u8; 16]| Data::Aaaa(o.into())).map_err(|_| DataError::Length)
            }
            Type::NS => name(at).and_then(|(n, ends)| whole(ends, Data::Ns(n))),
            Type::CNAME => name(at).and_then(|(n, ends)| whole(ends, Data::Cname(n))),
            Type::SOA => {
                let (server, at) = name(at)?;
                let (mailbox, at) = name(at)?;
                let bytes = message.get(at..end).filter(|b| b.len() == 20).ok_or(DataError::Length)?;
                let n = |i: usize| u32::from_be_bytes([bytes[i], bytes[i + 1], bytes[i + 2], bytes[i + 3]]);
                let [serial, refresh, retry, expire, minimum] = [n(0), n(4), n(8), n(12), n(16)];
                Ok(Data::Soa(Soa { server, mailbox, serial, refresh, retry, expire, minimum }))
            }
            Type::TXT => {
                let (mut strings, mut rest) = (Vec::new(), raw);
                while let Some((&size, more)) = rest.split_first() {
                    let (text, after) = more.split_at_checked(usize::from(size)).ok_or(DataError::Short)?;
                    strings.push(text.to_vec());
                    rest = after;
                }
                if strings.is_empty() {
                    return Err(DataError::Length);
                }
                Ok(Data::Txt(strings))
            }
            Type::SRV => {
                let (priority, weight, port) = (number(at)?, number(at + 2)?, number(at + 4)?);
                let (target, ends) = name(at + 6)?;
                whole(ends, Data::Srv { priority, weight, port, target })
            }
            Type::SVCB => {
                let priority = number(at)?;
                let (target, mut at) = name(at + 2)?;
                let mut parameters: Vec<(u16, Vec<u8>)> = Vec::new();
                while at < end {
                    let (key, size) = (number(at)?, usize::from(number(at + 2)?));
                    let value = message.get(at + 4..at + 4 + size).filter(|_| at + 4 + size <= end);
                    // In strictly increasing order (RFC 9460, section 2.2).
                    if parameters.last().is_some_and(|p| p.0 >= key) {
                        return Err(DataError::Order);
                    }
                    parameters.push((key, value.ok_or(DataError::Short)?.to_vec()));
                    at += 4 + size;
                }
                whole(at, Data::Svcb { priority, target, parameters })
            }
            kind => Ok(Data::Unknown(kind, raw.to_vec())),
        }
    }

    /// Writes it, without compression.
    pub fn write(&self, out: &mut Vec<u8>) {
        match self {
            Data::A(a) => out.extend(a.octets()),
            Data::Aaaa(a) => out.extend(a.octets()),
            Data::Ns(n) | Data::Cname(n) => out.extend(n.wire()),
            Data::Soa(s) => {
                out.extend(s.server.wire());
                out.extend(s.mailbox.wire());
                for n in [s.serial, s.refresh, s.retry, s.expire, s.minimum] {
                    out.extend(n.to_be_bytes());
                }
            }
            Data::Txt(strings) => {
                for text in strings {
                    out.push(text.len().min(255) as u8);
                    out.extend(&text[..text.len().min(255)]);
                }
            }
            Data::Srv { priority, weight, port, target } => {
                for n in [priority, weight, port] {
                    out.extend(n.to_be_bytes());
                }
                out.extend(target.wire());
            }
            Data::Svcb { priority, target, parameters } => {
                out.extend(priority.to_be_bytes());
                out.extend(target.wire());
                for (key, value) in parameters {
                    out.extend(key.to_be_bytes());
                    out.extend((value.len() as u16).to_be_bytes());
                    out.extend(value);
                }
            }
            Data::Unknown(_, raw) => out.extend(raw),
        }
    }
}

/// Why data cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DataError {
    /// It ends in the middle.
    Short,
    /// It is of another length than its type has.
    Length,
    /// Parameters out of order.
    Order,
    /// A name in it.
    Name(NameError),
}

impl fmt::Display for DataError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DataError::Short => f.write_str("data that ends in the middle"),
            DataError::Length => f.write_str("data of a wrong length"),
            DataError::Order => f.write_str("parameters out of order"),
            DataError::Name(e) => e.fmt(f),
        }
    }
}

/// A string as master files write it.
pub(crate) fn quoted(text: &[u8]) -> String {
    let mut out = String::from("\"");
    for &b in text {
        match b {
            b'"' | b'\\' => {
                out.push('\\');
                out.push(b as char);
            }
            0x20..=0x7e => out.push(b as char),
            _ => out.push_str(&format!("\\{b:03}")),
        }
    }
    out.push('"');
    out
}

impl fmt::Display for Data {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unknown = |f: &mut fmt::Formatter<'_>, raw: &[u8]| {
            write!(f, "\\# {}", raw.len())?;
            if !raw.is_empty() {
                f.write_str(" ")?;
            }
            raw.iter().try_for_each(|b| write!(f, "{b:02x}"))
        };
        match self {
            Data::A(a) => write!(f, "{a}"),
            Data::Aaaa(a) => write!(f, "{a}"),
            Data::Ns(n) | Data::Cname(n) => write!(f, "{n}"),
            Data::Soa(s) => write!(
                f,
                "{} {} {} {} {} {} {}",
                s.server, s.mailbox, s.serial, s.refresh, s.retry, s.expire, s.minimum
            ),
            Data::Txt(strings) => {
                f.write_str(&strings.iter().map(|s| quoted(s)).collect::<Vec<_>>().join(" "))
            }
            Data::Srv { priority, weight, port, target } => write!(f, "{priority} {weight} {port} {target}"),
            Data::Svcb { priority, target, parameters } => {
                write!(f, "{priority} {target}")?;
                parameters.iter().try_for_each(|(key, value)| write!(f, " key{key}={}", quoted(value)))
            }
            Data::Unknown(_, raw) => unknown(f, raw),
        }
    }
}

/// A record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Its owner.
    pub name: Name,
    /// Its class, as on the wire.
    pub class: u16,
    /// Seconds that it may be kept.
    pub ttl: u32,
    /// What it says.
    pub data: Data,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} IN {} {}", self.name, self.ttl, self.data.kind(), self.data)
    }
}
