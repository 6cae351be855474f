//! Messages (RFC 1035, section 4), with compression both ways.

use std::collections::HashMap;
use std::fmt;

use crate::name::{Name, NameError};
use crate::record::{Data, DataError, Record, Type};

/// What a message is about (the opcode).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opcode(pub u8);

#[allow(missing_docs)]
impl Opcode {
    pub const QUERY: Opcode = Opcode(0);
    pub const NOTIFY: Opcode = Opcode(4);
    pub const UPDATE: Opcode = Opcode(5);
}

/// How it went (RFC 1035 section 4.1.1, RFC 2136 section 2.2, RFC 8945 section 3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rcode(pub u8);

#[allow(missing_docs)]
impl Rcode {
    pub const NOERROR: Rcode = Rcode(0);
    pub const FORMERR: Rcode = Rcode(1);
    pub const SERVFAIL: Rcode = Rcode(2);
    pub const NXDOMAIN: Rcode = Rcode(3);
    pub const NOTIMP: Rcode = Rcode(4);
    pub const REFUSED: Rcode = Rcode(5);
    pub const YXDOMAIN: Rcode = Rcode(6);
    pub const YXRRSET: Rcode = Rcode(7);
    pub const NXRRSET: Rcode = Rcode(8);
    pub const NOTAUTH: Rcode = Rcode(9);
    pub const NOTZONE: Rcode = Rcode(10);
}

/// A question; in an update, the zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// Name.
    pub name: Name,
    /// Type.
    pub kind: Type,
    /// Class.
    pub class: u16,
}

/// A record of a message. Updates have records without data, so that this is optional here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its owner.
    pub name: Name,
    /// Its type.
    pub kind: Type,
    /// Its class.
    pub class: u16,
    /// Seconds.
    pub ttl: u32,
    /// What it says; `None` if it has no octets of data.
    pub data: Option<Data>,
}

impl From<Record> for Entry {
    fn from(r: Record) -> Entry {
        Entry { name: r.name, kind: r.data.kind(), class: r.class, ttl: r.ttl, data: Some(r.data) }
    }
}

/// A message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Its number.
    pub id: u16,
    /// It is an answer.
    pub response: bool,
    /// What it is about.
    pub opcode: Opcode,
    /// The answer is of who is responsible.
    pub authoritative: bool,
    /// It did not fit.
    pub truncated: bool,
    /// Recursion is wanted, and to be had.
    pub recursion: (bool, bool),
    /// How it went.
    pub rcode: Rcode,
    /// Questions; in an update, the zone.
    pub questions: Vec<Question>,
    /// Answers; in an update, prerequisites.
    pub answers: Vec<Entry>,
    /// Authorities; in an update, the updates.
    pub authorities: Vec<Entry>,
    /// The rest.
    pub additionals: Vec<Entry>,
}

/// Why a message cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageError {
    /// It ends in the middle.
    Short,
    /// A name in it.
    Name(NameError),
    /// Data in it.
    Data(DataError),
    /// There is something after its end.
    Long,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MessageError::Short => f.write_str("a message that ends in the middle"),
            MessageError::Name(e) => e.fmt(f),
            MessageError::Data(e) => e.fmt(f),
            MessageError::Long => f.write_str("a message with something after its end"),
        }
    }
}

impl std::error::Error for MessageError {}

struct Cursor<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Cursor<'_> {
    fn u16(&mut self) -> Result<u16, MessageError> {
        let bytes = self.bytes.get(self.at..self.at + 2).ok_or(MessageError::Short)?;
        self.at += 2;
        Ok(u16::from_be_bytes([bytes[0], bytes[1]]))
    }

    fn name(&mut self) -> Result<Name, MessageError> {
        let (name, end) = Name::read(self.bytes, self.at).map_err(MessageError::Name)?;
        self.at = end;
        Ok(name)
    }

    fn entry(&mut self) -> Result<Entry, MessageError> {
        let name = self.name()?;
        let (kind, class) = (Type(self.u16()?), self.u16()?);
        let ttl = u32::from(self.u16()?) << 16 | u32::from(self.u16()?);
        let size = usize::from(self.u16()?);
        let end = self.at + size;
        if end > self.bytes.len() {
            return Err(MessageError::Short);
        }
        let read = || Data::read(kind, self.bytes, self.at, end).map_err(MessageError::Data);
        // Prerequisites and deletions of an update have none (RFC 2136, sections 2.4 and 2.5).
        let data = if size == 0 { None } else { Some(read()?) };
        self.at = end;
        Ok(Entry { name, kind, class, ttl, data })
    }
}

impl Message {
    /// A question.
    pub fn query(id: u16, name: Name, kind: Type) -> Message {
        Message {
            id,
            response: false,
            opcode: Opcode::QUERY,
            authoritative: false,
            truncated: false,
            recursion: (false, false),
            rcode: Rcode::NOERROR,
            questions: vec![Question { name, kind, class: crate::record::IN }],
            answers: Vec::new(),
            authorities: Vec::new(),
            additionals: Vec::new(),
        }
    }

    /// The answer to a message, empty yet.
    pub fn answer(&self, rcode: Rcode) -> Message {
        Message {
            response: true,
            authoritative: true,
            rcode,
            answers: Vec::new(),
            authorities: Vec::new(),
            additionals: Vec::new(),
            truncated: false,
            ..self.clone()
        }
    }

    /// Reads a message.
    ///
    /// # Errors
    /// See [`MessageError`].
    pub fn read(bytes: &[u8]) -> Result<Message, MessageError> {
        let mut c = Cursor { bytes, at: 0 };
        let (id, flags) = (c.u16()?, c.u16()?);
        let counts = [c.u16()?, c.u16()?, c.u16()?, c.u16()?];
        let mut questions = Vec::new();
        for _ in 0..counts[0] {
            let name = c.name()?;
            questions.push(Question { name, kind: Type(c.u16()?), class: c.u16()? });
        }
        let mut section = |count: u16| (0..count).map(|_| c.entry()).collect::<Result<Vec<_>, _>>();
        let (answers, authorities, additionals) =
            (section(counts[1])?, section(counts[2])?, section(counts[3])?);
        if c.at != bytes.len() {
            return Err(MessageError::Long);
        }
        Ok(Message {
            id,
            response: flags & 0x8000 > 0,
            opcode: Opcode((flags >> 11 & 15) as u8),
            authoritative: flags & 0x0400 > 0,
            truncated: flags & 0x0200 > 0,
            recursion: (flags & 0x0100 > 0, flags & 0x0080 > 0),
            rcode: Rcode((flags & 15) as u8),
            questions,
            answers,
            authorities,
            additionals,
        })
    }

    /// Writes it. Owners' names are compressed; names in data are not, which every reader understands.
    pub fn write(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(512);
        let bit = |on: bool, mask: u16| if on { mask } else { 0 };
        let flags = bit(self.response, 0x8000)
            | u16::from(self.opcode.0 & 15) << 11
            | bit(self.authoritative, 0x0400)
            | bit(self.truncated, 0x0200)
            | bit(self.recursion.0, 0x0100)
            | bit(self.recursion.1, 0x0080)
            | u16::from(self.rcode.0 & 15);
        out.extend(self.id.to_be_bytes());
        out.extend(flags.to_be_bytes());
        for count in
            [self.questions.len(), self.answers.len(), self.authorities.len(), self.additionals.len()]
        {
            out.extend((count as u16).to_be_bytes());
        }
        let mut known: HashMap<Vec<u8>, u16> = HashMap::new();
        for q in &self.questions {
            compress(&mut out, &q.name, &mut known);
            out.extend(q.kind.0.to_be_bytes());
            out.extend(q.class.to_be_bytes());
        }
        for e in self.answers.iter().chain(&self.authorities).chain(&self.additionals) {
            compress(&mut out, &e.name, &mut known);
            out.extend(e.kind.0.to_be_bytes());
            out.extend(e.class.to_be_bytes());
            out.extend(e.ttl.to_be_bytes());
            let at = out.len();
            out.extend([0, 0]);
            if let Some(data) = &e.data {
                data.write(&mut out);
            }
            let size = (out.len() - at - 2) as u16;
            out[at..at + 2].copy_from_slice(&size.to_be_bytes());
        }
        out
    }
}

/// Writes a name, its end as a pointer to where that stands already.
fn compress(out: &mut Vec<u8>, name: &Name, known: &mut HashMap<Vec<u8>, u16>) {
    let mut rest = name.wire();
    while rest[0] != 0 {
        if let Some(at) = known.get(rest) {
            return out.extend((0xc000 | at).to_be_bytes());
        }
        // Pointers have fourteen bits.
        if out.len() < 0x4000 {
            known.insert(rest.to_vec(), out.len() as u16);
        }
        let size = usize::from(rest[0]) + 1;
        out.extend(&rest[..size]);
        rest = &rest[size..];
    }
    out.push(0);
}

/// Messages on a stream: each behind its length in two octets (RFC 1035, section 4.2.2).
#[derive(Debug, Default)]
pub struct Stream {
    bytes: Vec<u8>,
}

impl Stream {
    /// Takes what has come in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    /// The next whole message, still to be read.
    pub fn next_message(&mut self) -> Option<Vec<u8>> {
        let size = usize::from(u16::from_be_bytes([*self.bytes.first()?, *self.bytes.get(1)?]));
        let message = self.bytes.get(2..2 + size)?.to_vec();
        self.bytes.drain(..2 + size);
        Some(message)
    }

    /// A message with its length; `None` if it is over what two octets can say.
    pub fn frame(message: &[u8]) -> Option<Vec<u8>> {
        let size = u16::try_from(message.len()).ok()?;
        Some([&size.to_be_bytes(), message].concat())
    }
}
