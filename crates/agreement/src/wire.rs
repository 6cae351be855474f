//! What gateways say to each other, in octets, and what one keeps on disk. Contents are named by their SHA-256 and travel in
//! parts where they are long, so that each saying fits a datagram of membership.
//!
//! Integers are big-endian. A saying: `format 1 | kind 1 | fields`. What is kept: `magic 8 | terms 8 | writes 8 | fields |
//! SHA-256 of all that 32`.

use std::fmt;

use sha2::{Digest, Sha256};

use crate::history::{History, Version};
use crate::lists::{Claim, EngineState};
use crate::voter::{Ballot, Kept, Message};

/// Octets of a content at most.
pub const CONTENT: usize = 65_536;
/// Octets of a content that travel within a saying; a longer one is fetched.
pub const INLINE: usize = 512;
/// Octets of the name of a gateway or an engine that is told of.
pub const NAME: usize = 256;
/// Octets of one part.
pub const PART: usize = 896;
const FORMAT: u8 = 1;
const MAGIC: &[u8; 8] = b"vwagree2";

/// The name of a content.
pub type Digest32 = [u8; 32];

/// The name of a content.
pub fn digest(content: &[u8]) -> Digest32 {
    Sha256::digest(content).into()
}

/// What one gateway says to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Said {
    /// A message of the protocol, from one with the same terms: their mark, and how often its sender has kept something.
    Protocol(u64, u64, Message),
    /// You had kept something so often before.
    Remembered(u64),
    /// The content of the version with this number does not pass the check here.
    Unfit(u64, String),
    /// From one with the same terms (their mark): would this be fit to be the next version?
    Would(u64, Version),
    /// The version with this number and hash would be fit here.
    Fit(u64, u64),
    /// Please send that content from this octet on.
    Want(Digest32, u32),
    /// A part of a content: from which octet, of how many.
    Part(Digest32, u32, u32, Vec<u8>),
    /// A drain or a removal, by somebody's own list.
    Listed(Claim),
}

/// Why a saying is not taken, or not yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unread {
    /// It is cut off or does not fit.
    Bad,
    /// Its content has to be fetched first: its name and length.
    Missing(Digest32, u32),
}

struct Out<'a>(&'a mut Vec<u8>);

impl Out<'_> {
    fn number(&mut self, n: u64) {
        self.0.extend_from_slice(&n.to_be_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        self.0.extend_from_slice(bytes);
    }

    fn ballot(&mut self, ballot: Ballot) {
        self.0.extend_from_slice(&ballot.turn.to_be_bytes());
        self.0.extend_from_slice(&ballot.by.to_be_bytes());
    }

    fn version(&mut self, v: &Version, whole: bool) {
        self.number(v.number);
        self.number(v.hash);
        let inline = whole || v.content.len() <= INLINE;
        self.0.push(u8::from(!inline));
        if inline {
            self.bytes(&v.content);
        } else {
            self.0.extend_from_slice(&digest(&v.content));
            self.0.extend_from_slice(&(v.content.len() as u32).to_be_bytes());
        }
    }
}

struct In<'a>(&'a [u8]);

impl<'a> In<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], Unread> {
        let (taken, rest) = self.0.split_at_checked(n).ok_or(Unread::Bad)?;
        self.0 = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Unread> {
        self.take(N)?.try_into().map_err(|_| Unread::Bad)
    }

    fn u8(&mut self) -> Result<u8, Unread> {
        Ok(self.array::<1>()?[0])
    }

    fn u32(&mut self) -> Result<u32, Unread> {
        self.array().map(u32::from_be_bytes)
    }

    fn u64(&mut self) -> Result<u64, Unread> {
        self.array().map(u64::from_be_bytes)
    }

    fn bytes(&mut self, most: usize) -> Result<&'a [u8], Unread> {
        let n = self.u32()? as usize;
        if n > most {
            return Err(Unread::Bad);
        }
        self.take(n)
    }

    fn name(&mut self) -> Result<String, Unread> {
        String::from_utf8(self.bytes(NAME)?.to_vec()).map_err(|_| Unread::Bad)
    }

    fn ballot(&mut self) -> Result<Ballot, Unread> {
        Ok(Ballot { turn: self.u32()?, by: u16::from_be_bytes(self.array()?) })
    }

    fn version(&mut self, find: &dyn Fn(&Digest32) -> Option<Vec<u8>>) -> Result<Version, Unread> {
        let (number, hash) = (self.u64()?, self.u64()?);
        let content = if self.u8()? == 0 {
            self.bytes(CONTENT)?.to_vec()
        } else {
            let (name, length) = (self.array()?, self.u32()?);
            if length as usize > CONTENT {
                return Err(Unread::Bad);
            }
            find(&name).ok_or(Unread::Missing(name, length))?
        };
        Ok(Version { number, hash, content })
    }
}

impl Said {
    /// Writes it.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT];
        let out = &mut Out(&mut bytes);
        match self {
            Said::Protocol(terms, writes, message) => {
                let kind = match message {
                    Message::Prepare(..) => 1,
                    Message::Promise(..) => 2,
                    Message::Accept(..) => 3,
                    Message::Accepted(..) => 4,
                    Message::Committed(_) => 5,
                    Message::Lack(_) => 6,
                    Message::Ask(..) => 7,
                    Message::Grant(..) => 8,
                    Message::Back(_) => 9,
                    Message::Base(..) => 10,
                };
                out.0.push(kind);
                out.number(*terms);
                out.number(*writes);
                match message {
                    Message::Prepare(number, ballot) | Message::Accepted(number, ballot) => {
                        out.number(*number);
                        out.ballot(*ballot);
                    }
                    Message::Promise(number, ballot, accepted) => {
                        out.number(*number);
                        out.ballot(*ballot);
                        out.0.push(u8::from(accepted.is_some()));
                        if let Some((ballot, version)) = accepted {
                            out.ballot(*ballot);
                            out.version(version, false);
                        }
                    }
                    Message::Accept(ballot, version) => {
                        out.ballot(*ballot);
                        out.version(version, false);
                    }
                    Message::Committed(version) => out.version(version, false),
                    Message::Lack(n) | Message::Back(n) => out.number(*n),
                    Message::Base(a, b) => [*a, *b].into_iter().for_each(|n| out.number(n)),
                    Message::Ask(a, b, c) => [*a, *b, *c].into_iter().for_each(|n| out.number(n)),
                    Message::Grant(a, b, c, d) => [*a, *b, *c, *d].into_iter().for_each(|n| out.number(n)),
                }
            }
            Said::Remembered(writes) => {
                out.0.push(24);
                out.number(*writes);
            }
            Said::Unfit(number, why) => {
                out.0.push(20);
                out.number(*number);
                let mut end = why.len().min(300);
                while !why.is_char_boundary(end) {
                    end -= 1;
                }
                out.bytes(&why.as_bytes()[..end]);
            }
            Said::Would(terms, version) => {
                out.0.push(25);
                out.number(*terms);
                out.version(version, false);
            }
            Said::Fit(number, hash) => {
                out.0.push(26);
                out.number(*number);
                out.number(*hash);
            }
            Said::Want(name, from) => {
                out.0.push(21);
                out.0.extend_from_slice(name);
                out.0.extend_from_slice(&from.to_be_bytes());
            }
            Said::Part(name, from, of, part) => {
                out.0.push(22);
                out.0.extend_from_slice(name);
                out.0.extend_from_slice(&from.to_be_bytes());
                out.0.extend_from_slice(&of.to_be_bytes());
                out.bytes(part);
            }
            Said::Listed(claim) => {
                out.0.push(23);
                out.bytes(claim.teller.as_bytes());
                out.number(claim.count);
                out.bytes(claim.engine.as_bytes());
                out.number(claim.came_up);
                out.0.push(claim.state as u8);
            }
        }
        bytes
    }

    /// Reads one; contents that do not come with it are looked for by `find`.
    ///
    /// # Errors
    /// If it cannot be read, or what has to be fetched before it can.
    pub fn read(bytes: &[u8], find: &dyn Fn(&Digest32) -> Option<Vec<u8>>) -> Result<Said, Unread> {
        let c = &mut In(bytes);
        if c.u8()? != FORMAT {
            return Err(Unread::Bad);
        }
        let kind = c.u8()?;
        let said = match kind {
            20 => {
                let (number, why) = (c.u64()?, c.bytes(300)?);
                Said::Unfit(number, String::from_utf8(why.to_vec()).map_err(|_| Unread::Bad)?)
            }
            24 => Said::Remembered(c.u64()?),
            25 => Said::Would(c.u64()?, c.version(find)?),
            26 => Said::Fit(c.u64()?, c.u64()?),
            21 => Said::Want(c.array()?, c.u32()?),
            22 => Said::Part(c.array()?, c.u32()?, c.u32()?, c.bytes(PART)?.to_vec()),
            23 => {
                let (teller, count, engine) = (c.name()?, c.u64()?, c.name()?);
                let came_up = c.u64()?;
                let state = match c.u8()? {
                    0 => EngineState::Up,
                    1 => EngineState::Draining,
                    2 => EngineState::Removed,
                    _ => return Err(Unread::Bad),
                };
                Said::Listed(Claim { teller, count, engine, came_up, state })
            }
            _ => {
                let (terms, writes) = (c.u64()?, c.u64()?);
                let message = match kind {
                    1 => Message::Prepare(c.u64()?, c.ballot()?),
                    2 => {
                        let (number, ballot) = (c.u64()?, c.ballot()?);
                        let accepted =
                            if c.u8()? == 1 { Some((c.ballot()?, c.version(find)?)) } else { None };
                        Message::Promise(number, ballot, accepted)
                    }
                    3 => Message::Accept(c.ballot()?, c.version(find)?),
                    4 => Message::Accepted(c.u64()?, c.ballot()?),
                    5 => Message::Committed(c.version(find)?),
                    6 => Message::Lack(c.u64()?),
                    7 => Message::Ask(c.u64()?, c.u64()?, c.u64()?),
                    8 => Message::Grant(c.u64()?, c.u64()?, c.u64()?, c.u64()?),
                    9 => Message::Back(c.u64()?),
                    10 => Message::Base(c.u64()?, c.u64()?),
                    _ => return Err(Unread::Bad),
                };
                Said::Protocol(terms, writes, message)
            }
        };
        // What a newer format adds at its end would change the meaning: such a one has another number.
        c.0.is_empty().then_some(said).ok_or(Unread::Bad)
    }
}

/// Why what was kept cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spoilt {
    /// It is no such file.
    Foreign,
    /// It was kept under other terms: voters, lease or floor.
    Terms,
    /// It is cut off, or a bit of it has turned.
    Torn,
}

impl fmt::Display for Spoilt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Spoilt::Foreign => "it is no file of agreement",
            Spoilt::Terms => "it was kept under other terms (voters, lease, drift or floor)",
            Spoilt::Torn => "it is cut off, or a bit of it has turned",
        })
    }
}

/// What is kept, in octets; `writes` counts them, so that an old copy can be told.
pub fn keep(kept: &Kept, terms: u64, writes: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    let out = &mut Out(&mut bytes);
    out.number(terms);
    out.number(writes);
    let (base, hash) = kept.history.base();
    out.number(base);
    out.number(hash);
    out.number(kept.abstain);
    out.number(kept.history.all().len() as u64);
    kept.history.all().iter().for_each(|v| out.version(v, true));
    out.ballot(kept.promised);
    out.0.push(u8::from(kept.accepted.is_some()));
    if let Some((ballot, version)) = &kept.accepted {
        out.ballot(*ballot);
        out.version(version, true);
    }
    let sum = digest(&bytes);
    bytes.extend_from_slice(&sum);
    bytes
}

/// Reads what was kept, and how often it had been written.
///
/// # Errors
/// Why it cannot be used.
pub fn kept(bytes: &[u8], terms: u64) -> Result<(Kept, u64), Spoilt> {
    let (body, sum) = bytes.len().checked_sub(32).map(|at| bytes.split_at(at)).ok_or(Spoilt::Foreign)?;
    if !body.starts_with(MAGIC) {
        return Err(Spoilt::Foreign);
    }
    if digest(body) != sum {
        return Err(Spoilt::Torn);
    }
    let c = &mut In(&body[MAGIC.len()..]);
    if c.u64().map_err(|_| Spoilt::Torn)? != terms {
        return Err(Spoilt::Terms);
    }
    let mut read = || -> Result<(Kept, u64), Unread> {
        let none = |_: &Digest32| None;
        let writes = c.u64()?;
        let history = History::since(c.u64()?, c.u64()?);
        let mut kept = Kept { history, abstain: c.u64()?, ..Kept::default() };
        for _ in 0..c.u64()? {
            let version = c.version(&none)?;
            if !kept.history.add(&version) {
                return Err(Unread::Bad);
            }
        }
        kept.promised = c.ballot()?;
        kept.accepted = if c.u8()? == 1 { Some((c.ballot()?, c.version(&none)?)) } else { None };
        Ok((kept, writes))
    };
    read().map_err(|_| Spoilt::Torn)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn long(number: u64) -> Version {
        Version::after(number, 7, &vec![b'x'; 2 * INLINE])
    }

    #[test]
    fn all_sayings_come_back_and_no_cut_or_longer_one_does() {
        let ballot = Ballot { turn: 3, by: 2 };
        let short = Version::after(4, 9, b"short");
        let messages = [
            Message::Prepare(5, ballot),
            Message::Promise(5, ballot, None),
            Message::Promise(5, ballot, Some((ballot, long(4)))),
            Message::Accept(ballot, short.clone()),
            Message::Accepted(5, ballot),
            Message::Committed(long(4)),
            Message::Lack(5),
            Message::Ask(5, 6, 7),
            Message::Grant(5, 4, 6, 7),
            Message::Back(7),
            Message::Base(5, 6),
        ];
        let mut all: Vec<Said> = messages.into_iter().map(|m| Said::Protocol(77, 3, m)).collect();
        all.push(Said::Remembered(4));
        all.push(Said::Unfit(5, "why".into()));
        all.push(Said::Would(9, Version::after(4, 5, b"six")));
        all.push(Said::Fit(5, 6));
        let (teller, engine) = ("g1".to_owned(), "e".repeat(NAME));
        all.push(Said::Listed(Claim { teller, count: 8, engine, came_up: 9, state: EngineState::Removed }));
        all.push(Said::Want([3; 32], 896));
        all.push(Said::Part([3; 32], 896, 2000, vec![1; PART]));
        let content = long(4).content;
        let find = |name: &Digest32| (*name == digest(&content)).then(|| content.clone());
        for said in all {
            let bytes = said.write();
            assert!(bytes.len() <= 1_000, "{} octets", bytes.len());
            assert_eq!(Said::read(&bytes, &find), Ok(said.clone()));
            for cut in 0..bytes.len() {
                assert_eq!(Said::read(&bytes[..cut], &find), Err(Unread::Bad), "{said:?} cut at {cut}");
            }
            let longer = [bytes.as_slice(), &[0]].concat();
            assert_eq!(Said::read(&longer, &find), Err(Unread::Bad));
        }
        let lacks = Said::Protocol(77, 3, Message::Committed(long(4))).write();
        let wanted = Err(Unread::Missing(digest(&content), content.len() as u32));
        assert_eq!(Said::read(&lacks, &|_| None), wanted);
    }

    #[test]
    fn what_was_kept_comes_back_and_each_spoilt_bit_is_noticed() {
        let mut history = History::since(3, 11);
        let first = Version::after(3, 11, b"first");
        assert!(history.add(&first));
        let accepted = Some((Ballot { turn: 1, by: 0 }, Version::after(4, first.hash, b"second")));
        let kept_before = Kept { history, promised: Ballot { turn: 2, by: 1 }, accepted, abstain: 6 };
        let bytes = keep(&kept_before, 5, 9);
        assert_eq!(kept(&bytes, 5), Ok((kept_before, 9)));
        assert_eq!(kept(&bytes, 6), Err(Spoilt::Terms));
        for at in 0..bytes.len() {
            let mut turned = bytes.clone();
            turned[at] ^= 4;
            assert!(kept(&turned, 5).is_err(), "a bit turned at {at}");
            assert!(kept(&bytes[..at], 5).is_err(), "cut off at {at}");
        }
        assert_eq!(kept(b"something else that is long enough to hold a sum", 5), Err(Spoilt::Foreign));
    }
}
