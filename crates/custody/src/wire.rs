//! What custodians say to each other, in octets, and what a voter keeps on disk.
//!
//! Integers are big-endian. A saying: `format 1 | kind 1 | sender's life 8 | term 4 | fields`. The first two octets mean the
//! same in every format: one that is not known is answered with the one that is ([`other_format`]), and never guessed at. What is kept:
//! `magic 8 | format 1 | marks | SHA-256 of all that 32`.

use std::fmt;

use sha2::{Digest, Sha256};

use crate::{Ending, Incarnation, Micros, Out, Record, Repeat, StatementKey};

/// The format of sayings.
pub(crate) const FORMAT: u8 = 1;
/// The kind that tells the format that is read here, in every format.
const OTHER: u8 = 255;
/// Octets of a datagram at most.
pub(crate) const DATAGRAM: usize = 1_000;
/// Octets of a name at most.
const NAME: usize = 256;
/// Members of a chain at most.
pub(crate) const CHAIN: usize = 64;
/// Octets of a statement's body at most: a record fits one sending with it.
pub(crate) const BODY: usize = (2 << 20) - (256 << 10);
/// Records or ends in one sending at most: what was not taken of them fits one answer.
pub(crate) const ITEMS: usize = 256;
const MAGIC: &[u8; 8] = b"vwcustod";
const KEPT_FORMAT: u8 = 1;

/// A life in one of its terms: a life that was ended while its process runs goes on in the next one, with nothing in hand.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Participant {
    pub life: Incarnation,
    pub term: u32,
}

/// A member of a chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaEntry {
    pub actor: Participant,
    /// It never acts for this statement (any more): surely over, given up, or declined.
    pub gone: bool,
    /// How long the chain was before: so many of its members have to know of this one before it is told.
    pub after: u8,
}

/// A record as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaRecord {
    pub record: Record,
    /// The body is in it.
    pub whole: bool,
    pub links: Vec<ReplicaEntry>,
}

/// Why a record was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RejectReason {
    /// No room: never for this statement.
    NoRoom,
    /// Its body is not known here.
    MissingBody,
    /// The statement has ended.
    Ended,
    /// The sender has nothing to say about it any more.
    Obsolete,
}

/// What one custodian says to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Message {
    /// Please grant me a tenure; asked at that time of mine.
    LeaseRequest(Micros),
    /// Granted, as asked at that time of yours.
    LeaseGrant(Micros),
    /// Your terms up to this one are ended.
    Fenced(u32),
    /// Please end those, for good.
    FenceRequest(Vec<Participant>),
    /// Those are ended; what I had granted them runs for so long yet.
    FenceMarks(Vec<(Participant, Micros)>),
    /// Records, and statements that have ended, for that life and term; the number counts such sendings.
    Batch { to: (u64, u32), number: u64, records: Vec<ReplicaRecord>, ends: Vec<StatementKey> },
    /// That sending is here, but for these records.
    Acknowledgement { to: (u64, u32), number: u64, not: Vec<(u16, RejectReason)> },
    /// I am in the life and term that this saying names.
    TermAnnouncement,
    /// Which term are you in?
    TermQuery,
    /// I have kept nothing: which lives have you marked? Asked at that time of mine.
    MarksQuery(Micros),
    /// Those, as they are kept; empty: I have kept nothing either.
    StoredMarks { asked: Micros, kept: Vec<u8> },
}

/// Why octets are not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DecodeError {
    /// They do not fit.
    Malformed,
    /// They have another format.
    UnknownFormat(u8),
    /// Their sender reads another format.
    PeerFormat(u8),
}

/// What a voter had kept is not what it kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredMarksError {
    /// It is no file of custody's.
    Foreign,
    /// It has a format that this program does not know.
    Format(u8),
    /// It is cut off, or bits of it are turned.
    Damaged,
}

impl fmt::Display for StoredMarksError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoredMarksError::Foreign => write!(f, "what is kept is no list of ended lives"),
            StoredMarksError::Format(n) => {
                write!(f, "the list of ended lives has format {n}, this program knows {KEPT_FORMAT}")
            }
            StoredMarksError::Damaged => write!(f, "the list of ended lives is damaged"),
        }
    }
}

impl std::error::Error for StoredMarksError {}

struct W(Vec<u8>);

impl W {
    fn u8(&mut self, n: u8) {
        self.0.push(n);
    }

    fn u16(&mut self, n: u16) {
        self.0.extend_from_slice(&n.to_be_bytes());
    }

    fn u32(&mut self, n: u32) {
        self.0.extend_from_slice(&n.to_be_bytes());
    }

    fn u64(&mut self, n: u64) {
        self.0.extend_from_slice(&n.to_be_bytes());
    }

    /// Cut off at what its length can tell.
    fn text(&mut self, text: &str) {
        let end = (0..=text.len().min(usize::from(u16::MAX))).rev().find(|&n| text.is_char_boundary(n));
        let text = &text[..end.unwrap_or(0)];
        self.u16(text.len() as u16);
        self.0.extend_from_slice(text.as_bytes());
    }

    fn life(&mut self, life: &Incarnation) {
        self.text(&life.name);
        self.u64(life.life);
    }

    fn actor(&mut self, actor: &Participant) {
        self.life(&actor.life);
        self.u32(actor.term);
    }

    fn key(&mut self, key: &StatementKey) {
        self.life(&key.taken_by);
        self.u64(key.number);
    }

    fn item(&mut self, item: &ReplicaRecord) {
        let r = &item.record;
        self.key(&r.key);
        self.u64(r.version);
        self.u8(u8::from(r.repeat == Repeat::Unsafe) | u8::from(item.whole) << 1);
        if item.whole {
            self.u32(r.body.len() as u32);
            self.0.extend_from_slice(&r.body);
        }
        self.u64(r.left);
        self.u32(r.attempts);
        self.u64(r.passed);
        self.u8(u8::from(r.out.is_some()));
        if let Some(out) = &r.out {
            self.u32(out.number);
            self.text(&out.engine);
            // An address that does not fit is none: the statement is then not found again, which is said.
            let next = out.next.as_ref().filter(|n| n.len() <= usize::from(u16::MAX));
            self.u8(u8::from(next.is_some()));
            next.into_iter().for_each(|n| self.text(n));
            [out.page, out.sent, out.within].into_iter().for_each(|n| self.u64(n));
        }
        match &r.ending {
            None => self.u8(0),
            Some(Ending::Cancelled) => self.u8(1),
            Some(Ending::Refused(why)) => {
                self.u8(2);
                self.text(why);
            }
            Some(Ending::Failed(why)) => {
                self.u8(3);
                self.text(why);
            }
        }
        self.u8(item.links.len() as u8);
        for link in &item.links {
            self.actor(&link.actor);
            self.u8(u8::from(link.gone));
            self.u8(link.after);
        }
    }
}

struct R<'a>(&'a [u8]);

impl<'a> R<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], DecodeError> {
        let (taken, rest) = self.0.split_at_checked(n).ok_or(DecodeError::Malformed)?;
        self.0 = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        self.take(N)?.try_into().map_err(|_| DecodeError::Malformed)
    }

    fn u8(&mut self) -> Result<u8, DecodeError> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, DecodeError> {
        self.array().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Result<u32, DecodeError> {
        self.array().map(u32::from_be_bytes)
    }

    fn u64(&mut self) -> Result<u64, DecodeError> {
        self.array().map(u64::from_be_bytes)
    }

    fn text(&mut self, most: usize) -> Result<String, DecodeError> {
        let n = usize::from(self.u16()?);
        if n > most {
            return Err(DecodeError::Malformed);
        }
        String::from_utf8(self.take(n)?.to_vec()).map_err(|_| DecodeError::Malformed)
    }

    fn life(&mut self) -> Result<Incarnation, DecodeError> {
        Ok(Incarnation { name: self.text(NAME)?, life: self.u64()? })
    }

    fn actor(&mut self) -> Result<Participant, DecodeError> {
        Ok(Participant { life: self.life()?, term: self.u32()? })
    }

    fn key(&mut self) -> Result<StatementKey, DecodeError> {
        Ok(StatementKey { taken_by: self.life()?, number: self.u64()? })
    }

    fn many<T>(
        &mut self,
        n: usize,
        most: usize,
        mut one: impl FnMut(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Vec<T>, DecodeError> {
        if n > most {
            return Err(DecodeError::Malformed);
        }
        (0..n).map(|_| one(self)).collect()
    }

    fn out(&mut self) -> Result<Out, DecodeError> {
        let (number, engine) = (self.u32()?, self.text(usize::from(u16::MAX))?);
        let next = if self.flag()? { Some(self.text(usize::from(u16::MAX))?) } else { None };
        Ok(Out { number, engine, next, page: self.u64()?, sent: self.u64()?, within: self.u64()? })
    }

    fn flag(&mut self) -> Result<bool, DecodeError> {
        match self.u8()? {
            n @ 0..=1 => Ok(n == 1),
            _ => Err(DecodeError::Malformed),
        }
    }

    fn item(&mut self) -> Result<ReplicaRecord, DecodeError> {
        let (key, version, flags) = (self.key()?, self.u64()?, self.u8()?);
        if flags > 3 {
            return Err(DecodeError::Malformed);
        }
        let whole = flags & 2 != 0;
        let mut body = Vec::new();
        if whole {
            let n = self.u32()? as usize;
            body = self.take(n)?.to_vec();
        }
        let (left, attempts, passed) = (self.u64()?, self.u32()?, self.u64()?);
        let out = if self.flag()? { Some(self.out()?) } else { None };
        let most = usize::from(u16::MAX);
        let ending = match self.u8()? {
            0 => None,
            1 => Some(Ending::Cancelled),
            2 => Some(Ending::Refused(self.text(most)?)),
            3 => Some(Ending::Failed(self.text(most)?)),
            _ => return Err(DecodeError::Malformed),
        };
        let n = usize::from(self.u8()?);
        let links =
            self.many(n, CHAIN, |r| Ok(ReplicaEntry { actor: r.actor()?, gone: r.flag()?, after: r.u8()? }))?;
        // Whoever is told after more than stand before it would never be told.
        if links.iter().enumerate().any(|(at, link)| usize::from(link.after) > at) {
            return Err(DecodeError::Malformed);
        }
        let repeat = if flags & 1 == 0 { Repeat::Harmless } else { Repeat::Unsafe };
        let record = Record { key, version, body, repeat, left, attempts, out, passed, ending };
        Ok(ReplicaRecord { record, whole, links })
    }
}

impl Message {
    /// In octets, as said by a life in a term.
    pub fn write(&self, life: u64, term: u32) -> Vec<u8> {
        let kind = match self {
            Message::LeaseRequest(_) => 1,
            Message::LeaseGrant(_) => 2,
            Message::Fenced(_) => 3,
            Message::FenceRequest(_) => 4,
            Message::FenceMarks(_) => 5,
            Message::Batch { .. } => 6,
            Message::Acknowledgement { .. } => 7,
            Message::TermAnnouncement => 8,
            Message::TermQuery => 9,
            Message::MarksQuery(_) => 10,
            Message::StoredMarks { .. } => 11,
        };
        let mut w = W(vec![FORMAT, kind]);
        w.u64(life);
        w.u32(term);
        match self {
            Message::LeaseRequest(at) | Message::LeaseGrant(at) | Message::MarksQuery(at) => w.u64(*at),
            Message::StoredMarks { asked, kept } => {
                w.u64(*asked);
                w.u32(kept.len() as u32);
                w.0.extend_from_slice(kept);
            }
            Message::Fenced(through) => w.u32(*through),
            Message::FenceRequest(actors) => {
                w.u16(actors.len() as u16);
                actors.iter().for_each(|a| w.actor(a));
            }
            Message::FenceMarks(marks) => {
                w.u16(marks.len() as u16);
                for (actor, left) in marks {
                    w.actor(actor);
                    w.u64(*left);
                }
            }
            Message::Batch { to, number, records, ends } => {
                w.u64(to.0);
                w.u32(to.1);
                w.u64(*number);
                w.u16(records.len() as u16);
                records.iter().for_each(|item| w.item(item));
                w.u16(ends.len() as u16);
                ends.iter().for_each(|key| w.key(key));
            }
            Message::Acknowledgement { to, number, not } => {
                w.u64(to.0);
                w.u32(to.1);
                w.u64(*number);
                w.u16(not.len() as u16);
                for (at, why) in not {
                    w.u16(*at);
                    w.u8(*why as u8);
                }
            }
            Message::TermAnnouncement | Message::TermQuery => {}
        }
        w.0
    }

    /// Reads one: the sender's life and term, and what it says.
    pub fn read(bytes: &[u8]) -> Result<(u64, u32, Message), DecodeError> {
        let mut r = R(bytes);
        let (format, kind) = (r.u8()?, r.u8()?);
        match kind {
            OTHER => return Err(DecodeError::PeerFormat(format)),
            _ if format != FORMAT => return Err(DecodeError::UnknownFormat(format)),
            _ => {}
        }
        let (life, term) = (r.u64()?, r.u32()?);
        let said = match kind {
            1 => Message::LeaseRequest(r.u64()?),
            2 => Message::LeaseGrant(r.u64()?),
            3 => Message::Fenced(r.u32()?),
            4 => {
                let n = usize::from(r.u16()?);
                Message::FenceRequest(r.many(n, ITEMS, R::actor)?)
            }
            5 => {
                let n = usize::from(r.u16()?);
                Message::FenceMarks(r.many(n, ITEMS, |r| Ok((r.actor()?, r.u64()?)))?)
            }
            6 => {
                let (to, number) = ((r.u64()?, r.u32()?), r.u64()?);
                let n = usize::from(r.u16()?);
                let records = r.many(n, ITEMS, R::item)?;
                let n = usize::from(r.u16()?);
                Message::Batch { to, number, records, ends: r.many(n, ITEMS, R::key)? }
            }
            7 => {
                let (to, number) = ((r.u64()?, r.u32()?), r.u64()?);
                let n = usize::from(r.u16()?);
                let not = r.many(n, ITEMS, |r| {
                    let at = r.u16()?;
                    let whys = [
                        RejectReason::NoRoom,
                        RejectReason::MissingBody,
                        RejectReason::Ended,
                        RejectReason::Obsolete,
                    ];
                    Ok((at, *whys.get(usize::from(r.u8()?)).ok_or(DecodeError::Malformed)?))
                })?;
                Message::Acknowledgement { to, number, not }
            }
            8 => Message::TermAnnouncement,
            9 => Message::TermQuery,
            10 => Message::MarksQuery(r.u64()?),
            11 => {
                let (asked, n) = (r.u64()?, r.u32()? as usize);
                Message::StoredMarks { asked, kept: r.take(n)?.to_vec() }
            }
            _ => return Err(DecodeError::Malformed),
        };
        if r.0.is_empty() {
            Ok((life, term, said))
        } else {
            Err(DecodeError::Malformed)
        }
    }
}

/// The answer to a format that is not known: the one that is.
pub(crate) fn other_format() -> Vec<u8> {
    vec![FORMAT, OTHER]
}

/// Splits what names actors into parts that fit a datagram each.
pub(crate) fn parts<T>(all: Vec<T>, name: impl Fn(&T) -> &Participant) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for one in all {
        let size = name(&one).life.name.len() + 32;
        if size > room {
            parts.push(Vec::new());
            room = DATAGRAM - 64;
        }
        room -= size.min(room);
        if let Some(part) = parts.last_mut() {
            part.push(one);
        }
    }
    parts
}

/// What a voter keeps.
pub(crate) fn keep<'a>(marks: impl Iterator<Item = (&'a Incarnation, u32)>) -> Vec<u8> {
    let mut w = W([&MAGIC[..], &[KEPT_FORMAT]].concat());
    let marks: Vec<_> = marks.collect();
    w.u32(marks.len() as u32);
    for (life, through) in marks {
        w.life(life);
        w.u32(through);
    }
    let sum = Sha256::digest(&w.0);
    w.0.extend_from_slice(&sum);
    w.0
}

/// What a voter had kept.
pub(crate) fn kept(bytes: &[u8], most: usize) -> Result<Vec<(Incarnation, u32)>, StoredMarksError> {
    if !bytes.starts_with(MAGIC) {
        return Err(if bytes.is_empty() { StoredMarksError::Damaged } else { StoredMarksError::Foreign });
    }
    // The sum comes first: a turned bit of the format is no other format.
    let (text, sum) = bytes.split_last_chunk::<32>().ok_or(StoredMarksError::Damaged)?;
    if Sha256::digest(text)[..] != sum[..] {
        return Err(StoredMarksError::Damaged);
    }
    let mut r = R(&text[MAGIC.len()..]);
    let read = |r: &mut R<'_>| {
        let n = r.u32()? as usize;
        r.many(n, most, |r| Ok((r.life()?, r.u32()?)))
    };
    match r.u8() {
        Ok(KEPT_FORMAT) => read(&mut r).ok().filter(|_| r.0.is_empty()).ok_or(StoredMarksError::Damaged),
        Ok(other) => Err(StoredMarksError::Format(other)),
        Err(_) => Err(StoredMarksError::Damaged),
    }
}

#[cfg(test)]
mod tests;
