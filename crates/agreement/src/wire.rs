//! What gateways say to each other, in octets, and what one keeps on disk. Contents are named by their SHA-256 and travel in
//! parts where they are long, so that each saying fits a datagram of membership.
//!
//! Integers are big-endian. A saying: `format 1 | kind 1 | fields`. What is kept: `magic 8 | terms 8 | writes 8 | fields |
//! SHA-256 of all that 32`.

use std::fmt;

use sha2::{Digest, Sha256};

use crate::history::{History, Version};
use crate::lists::{Claim, EngineState};
use crate::voter::{Ballot, DurableState, Message};

/// Octets of a content at most.
pub const MAX_CONTENT_BYTES: usize = 65_536;
/// Octets of a content that travel within a saying; a longer one is fetched.
pub const MAX_INLINE_BYTES: usize = 512;
/// Octets of the name of a gateway or an engine that is told of.
pub const MAX_NAME_BYTES: usize = 256;
/// Octets of one part.
pub const CHUNK_BYTES: usize = 896;
const FORMAT_VERSION: u8 = 1;
const MAGIC: &[u8; 8] = b"vwagree2";

/// The name of a content.
pub type Digest32 = [u8; 32];

/// The name of a content.
pub fn digest(content: &[u8]) -> Digest32 {
    Sha256::digest(content).into()
}

/// What one gateway says to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerMessage {
    /// A message of the protocol, from one with the same terms: their mark, and how often its sender has kept something.
    Protocol(u64, u64, Message),
    /// You had kept something so often before.
    KnownWrites(u64),
    /// The content of the version with this number does not pass the check here.
    Unfit(u64, String),
    /// From one with the same terms (their mark): would this be fit to be the next version?
    FitnessRequest(u64, Version),
    /// The version with this number and hash would be fit here.
    Fit(u64, u64),
    /// Please send that content from this octet on.
    ContentRequest(Digest32, u32),
    /// A part of a content: from which octet, of how many.
    ContentChunk(Digest32, u32, u32, Vec<u8>),
    /// A drain or a removal, by somebody's own list.
    EngineClaim(Claim),
}

/// Why a saying is not taken, or not yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// It is cut off or does not fit.
    Malformed,
    /// Its content has to be fetched first: its name and length.
    MissingContent(Digest32, u32),
}

struct Writer<'a>(&'a mut Vec<u8>);

impl Writer<'_> {
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
        let inline = whole || v.content.len() <= MAX_INLINE_BYTES;
        self.0.push(u8::from(!inline));
        if inline {
            self.bytes(&v.content);
        } else {
            self.0.extend_from_slice(&digest(&v.content));
            self.0.extend_from_slice(&(v.content.len() as u32).to_be_bytes());
        }
    }
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
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

    fn u32(&mut self) -> Result<u32, DecodeError> {
        self.array().map(u32::from_be_bytes)
    }

    fn u64(&mut self) -> Result<u64, DecodeError> {
        self.array().map(u64::from_be_bytes)
    }

    fn bytes(&mut self, most: usize) -> Result<&'a [u8], DecodeError> {
        let n = self.u32()? as usize;
        if n > most {
            return Err(DecodeError::Malformed);
        }
        self.take(n)
    }

    fn name(&mut self) -> Result<String, DecodeError> {
        String::from_utf8(self.bytes(MAX_NAME_BYTES)?.to_vec()).map_err(|_| DecodeError::Malformed)
    }

    fn ballot(&mut self) -> Result<Ballot, DecodeError> {
        Ok(Ballot { turn: self.u32()?, by: u16::from_be_bytes(self.array()?) })
    }

    fn version(&mut self, find: &dyn Fn(&Digest32) -> Option<Vec<u8>>) -> Result<Version, DecodeError> {
        let (number, hash) = (self.u64()?, self.u64()?);
        let content = if self.u8()? == 0 {
            self.bytes(MAX_CONTENT_BYTES)?.to_vec()
        } else {
            let (name, length) = (self.array()?, self.u32()?);
            if length as usize > MAX_CONTENT_BYTES {
                return Err(DecodeError::Malformed);
            }
            find(&name).ok_or(DecodeError::MissingContent(name, length))?
        };
        Ok(Version { number, hash, content })
    }
}

impl PeerMessage {
    /// Writes it.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT_VERSION];
        let out = &mut Writer(&mut bytes);
        match self {
            PeerMessage::Protocol(terms, writes, message) => {
                let kind = match message {
                    Message::Prepare(..) => 1,
                    Message::Promise(..) => 2,
                    Message::Accept(..) => 3,
                    Message::Accepted(..) => 4,
                    Message::Committed(_) => 5,
                    Message::MissingFrom(_) => 6,
                    Message::LeaseRequest(..) => 7,
                    Message::LeaseGrant(..) => 8,
                    Message::LeaseRelease(_) => 9,
                    Message::HistoryBase(..) => 10,
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
                    Message::MissingFrom(n) | Message::LeaseRelease(n) => out.number(*n),
                    Message::HistoryBase(a, b) => [*a, *b].into_iter().for_each(|n| out.number(n)),
                    Message::LeaseRequest(a, b, c) => [*a, *b, *c].into_iter().for_each(|n| out.number(n)),
                    Message::LeaseGrant(a, b, c, d) => {
                        [*a, *b, *c, *d].into_iter().for_each(|n| out.number(n))
                    }
                }
            }
            PeerMessage::KnownWrites(writes) => {
                out.0.push(24);
                out.number(*writes);
            }
            PeerMessage::Unfit(number, why) => {
                out.0.push(20);
                out.number(*number);
                let mut end = why.len().min(300);
                while !why.is_char_boundary(end) {
                    end -= 1;
                }
                out.bytes(&why.as_bytes()[..end]);
            }
            PeerMessage::FitnessRequest(terms, version) => {
                out.0.push(25);
                out.number(*terms);
                out.version(version, false);
            }
            PeerMessage::Fit(number, hash) => {
                out.0.push(26);
                out.number(*number);
                out.number(*hash);
            }
            PeerMessage::ContentRequest(name, from) => {
                out.0.push(21);
                out.0.extend_from_slice(name);
                out.0.extend_from_slice(&from.to_be_bytes());
            }
            PeerMessage::ContentChunk(name, from, of, part) => {
                out.0.push(22);
                out.0.extend_from_slice(name);
                out.0.extend_from_slice(&from.to_be_bytes());
                out.0.extend_from_slice(&of.to_be_bytes());
                out.bytes(part);
            }
            PeerMessage::EngineClaim(claim) => {
                out.0.push(23);
                out.bytes(claim.source.as_bytes());
                out.number(claim.sequence);
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
    pub fn decode(
        bytes: &[u8],
        find: &dyn Fn(&Digest32) -> Option<Vec<u8>>,
    ) -> Result<PeerMessage, DecodeError> {
        let c = &mut Reader(bytes);
        if c.u8()? != FORMAT_VERSION {
            return Err(DecodeError::Malformed);
        }
        let kind = c.u8()?;
        let said = match kind {
            20 => {
                let (number, why) = (c.u64()?, c.bytes(300)?);
                PeerMessage::Unfit(
                    number,
                    String::from_utf8(why.to_vec()).map_err(|_| DecodeError::Malformed)?,
                )
            }
            24 => PeerMessage::KnownWrites(c.u64()?),
            25 => PeerMessage::FitnessRequest(c.u64()?, c.version(find)?),
            26 => PeerMessage::Fit(c.u64()?, c.u64()?),
            21 => PeerMessage::ContentRequest(c.array()?, c.u32()?),
            22 => PeerMessage::ContentChunk(c.array()?, c.u32()?, c.u32()?, c.bytes(CHUNK_BYTES)?.to_vec()),
            23 => {
                let (source, sequence, engine) = (c.name()?, c.u64()?, c.name()?);
                let came_up = c.u64()?;
                let state = match c.u8()? {
                    0 => EngineState::Up,
                    1 => EngineState::Draining,
                    2 => EngineState::Removed,
                    _ => return Err(DecodeError::Malformed),
                };
                PeerMessage::EngineClaim(Claim { source, sequence, engine, came_up, state })
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
                    6 => Message::MissingFrom(c.u64()?),
                    7 => Message::LeaseRequest(c.u64()?, c.u64()?, c.u64()?),
                    8 => Message::LeaseGrant(c.u64()?, c.u64()?, c.u64()?, c.u64()?),
                    9 => Message::LeaseRelease(c.u64()?),
                    10 => Message::HistoryBase(c.u64()?, c.u64()?),
                    _ => return Err(DecodeError::Malformed),
                };
                PeerMessage::Protocol(terms, writes, message)
            }
        };
        // What a newer format adds at its end would change the meaning: such a one has another number.
        c.0.is_empty().then_some(said).ok_or(DecodeError::Malformed)
    }
}

/// Why what was kept cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoteFileError {
    /// It is no such file.
    NotVoteFile,
    /// It was kept under other terms: voters, lease or floor.
    TermsMismatch,
    /// It is cut off, or a bit of it has turned.
    Corrupt,
}

impl fmt::Display for VoteFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            VoteFileError::NotVoteFile => "it is no file of agreement",
            VoteFileError::TermsMismatch => "it was kept under other terms (voters, lease, drift or floor)",
            VoteFileError::Corrupt => "it is cut off, or a bit of it has turned",
        })
    }
}

/// What is kept, in octets; `writes` counts them, so that an old copy can be told.
pub fn encode_vote_file(kept: &DurableState, terms: u64, writes: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    let out = &mut Writer(&mut bytes);
    out.number(terms);
    out.number(writes);
    let (base, hash) = kept.history.base();
    out.number(base);
    out.number(hash);
    out.number(kept.abstain_through);
    out.number(kept.history.versions().len() as u64);
    kept.history.versions().iter().for_each(|v| out.version(v, true));
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
pub fn decode_vote_file(bytes: &[u8], terms: u64) -> Result<(DurableState, u64), VoteFileError> {
    let (body, sum) =
        bytes.len().checked_sub(32).map(|at| bytes.split_at(at)).ok_or(VoteFileError::NotVoteFile)?;
    if !body.starts_with(MAGIC) {
        return Err(VoteFileError::NotVoteFile);
    }
    if digest(body) != sum {
        return Err(VoteFileError::Corrupt);
    }
    let c = &mut Reader(&body[MAGIC.len()..]);
    if c.u64().map_err(|_| VoteFileError::Corrupt)? != terms {
        return Err(VoteFileError::TermsMismatch);
    }
    let mut read = || -> Result<(DurableState, u64), DecodeError> {
        let none = |_: &Digest32| None;
        let writes = c.u64()?;
        let history = History::starting_after(c.u64()?, c.u64()?);
        let mut kept = DurableState { history, abstain_through: c.u64()?, ..DurableState::default() };
        for _ in 0..c.u64()? {
            let version = c.version(&none)?;
            if !kept.history.add(&version) {
                return Err(DecodeError::Malformed);
            }
        }
        kept.promised = c.ballot()?;
        kept.accepted = if c.u8()? == 1 { Some((c.ballot()?, c.version(&none)?)) } else { None };
        Ok((kept, writes))
    };
    read().map_err(|_| VoteFileError::Corrupt)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn long(number: u64) -> Version {
        Version::after(number, 7, &vec![b'x'; 2 * MAX_INLINE_BYTES])
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
            Message::MissingFrom(5),
            Message::LeaseRequest(5, 6, 7),
            Message::LeaseGrant(5, 4, 6, 7),
            Message::LeaseRelease(7),
            Message::HistoryBase(5, 6),
        ];
        let mut all: Vec<PeerMessage> =
            messages.into_iter().map(|m| PeerMessage::Protocol(77, 3, m)).collect();
        all.push(PeerMessage::KnownWrites(4));
        all.push(PeerMessage::Unfit(5, "why".into()));
        all.push(PeerMessage::FitnessRequest(9, Version::after(4, 5, b"six")));
        all.push(PeerMessage::Fit(5, 6));
        let (source, engine) = ("g1".to_owned(), "e".repeat(MAX_NAME_BYTES));
        all.push(PeerMessage::EngineClaim(Claim {
            source,
            sequence: 8,
            engine,
            came_up: 9,
            state: EngineState::Removed,
        }));
        all.push(PeerMessage::ContentRequest([3; 32], 896));
        all.push(PeerMessage::ContentChunk([3; 32], 896, 2000, vec![1; CHUNK_BYTES]));
        let content = long(4).content;
        let find = |name: &Digest32| (*name == digest(&content)).then(|| content.clone());
        for said in all {
            let bytes = said.encode();
            assert!(bytes.len() <= 1_000, "{} octets", bytes.len());
            assert_eq!(PeerMessage::decode(&bytes, &find), Ok(said.clone()));
            for cut in 0..bytes.len() {
                assert_eq!(
                    PeerMessage::decode(&bytes[..cut], &find),
                    Err(DecodeError::Malformed),
                    "{said:?} cut at {cut}"
                );
            }
            let longer = [bytes.as_slice(), &[0]].concat();
            assert_eq!(PeerMessage::decode(&longer, &find), Err(DecodeError::Malformed));
        }
        let lacks = PeerMessage::Protocol(77, 3, Message::Committed(long(4))).encode();
        let wanted = Err(DecodeError::MissingContent(digest(&content), content.len() as u32));
        assert_eq!(PeerMessage::decode(&lacks, &|_| None), wanted);
    }

    #[test]
    fn what_was_kept_comes_back_and_each_spoilt_bit_is_noticed() {
        let mut history = History::starting_after(3, 11);
        let first = Version::after(3, 11, b"first");
        assert!(history.add(&first));
        let accepted = Some((Ballot { turn: 1, by: 0 }, Version::after(4, first.hash, b"second")));
        let kept_before =
            DurableState { history, promised: Ballot { turn: 2, by: 1 }, accepted, abstain_through: 6 };
        let bytes = encode_vote_file(&kept_before, 5, 9);
        assert_eq!(decode_vote_file(&bytes, 5), Ok((kept_before, 9)));
        assert_eq!(decode_vote_file(&bytes, 6), Err(VoteFileError::TermsMismatch));
        for at in 0..bytes.len() {
            let mut turned = bytes.clone();
            turned[at] ^= 4;
            assert!(decode_vote_file(&turned, 5).is_err(), "a bit turned at {at}");
            assert!(decode_vote_file(&bytes[..at], 5).is_err(), "cut off at {at}");
        }
        assert_eq!(
            decode_vote_file(b"something else that is long enough to hold a sum", 5),
            Err(VoteFileError::NotVoteFile)
        );
    }
}
