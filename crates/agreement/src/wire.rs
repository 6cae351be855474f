//! Encoding of the messages between gateways and of the vote file. Contents are identified by their SHA-256.
//! Long ones travel in chunks, so that each message fits into one datagram of membership.
//!
//! Integers are big-endian. A message: `format 1 | kind 1 | fields`. The vote file: `magic 8 | terms 8 |
//! writes 8 | fields | SHA-256 of all before it 32` (sizes in bytes).

use std::fmt;

use sha2::{Digest, Sha256};

use crate::history::{History, Version};
use crate::lists::{Claim, EngineState};
use crate::voter::{Ballot, DurableState, Message};

/// Maximum size of a content.
pub const MAX_CONTENT_BYTES: usize = 65_536;
/// Maximum size of a content that is sent within a message; a longer one is fetched in chunks.
pub const MAX_INLINE_BYTES: usize = 512;
/// Maximum length of the name of a gateway or an engine in a claim.
pub const MAX_NAME_BYTES: usize = 256;
/// Size of all chunks of a content but the last.
pub const CHUNK_BYTES: usize = 896;
/// Maximum length of the reason why a version is rejected.
pub const MAX_REASON_BYTES: usize = 300;
const FORMAT_VERSION: u8 = 1;
const MAGIC: &[u8; 8] = b"vwagree2";

/// The SHA-256 that identifies a content.
pub type Digest32 = [u8; 32];

/// The digest that identifies a content.
pub fn digest(content: &[u8]) -> Digest32 {
    Sha256::digest(content).into()
}

/// A message from one gateway to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerMessage {
    /// A message of the protocol, with the fingerprint of the sender's terms and the number of writes of its
    /// vote file. Gateways with other terms ignore it.
    Protocol(u64, u64, Message),
    /// The recipient has once reported this number of writes, more than in its last message.
    KnownWrites(u64),
    /// The sender rejects the content of the version with this number, for this reason.
    Unfit(u64, String),
    /// Asks whether this would be acceptable as the next version, with the fingerprint of the sender's terms.
    FitnessRequest(u64, Version),
    /// The version with this number and hash would be acceptable to the sender.
    Fit(u64, u64),
    /// Asks for chunks of a content from this byte offset on.
    ContentRequest(Digest32, u32),
    /// A chunk of a content: digest, byte offset, total size, bytes.
    ContentChunk(Digest32, u32, u32, Vec<u8>),
    /// A drain or a removal of an engine in the list of some gateway.
    EngineClaim(Claim),
}

/// Why a message cannot be decoded, or not yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// It is truncated or does not follow the format.
    Malformed,
    /// Its content, with this digest and size, has to be fetched first.
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
        self.0.extend_from_slice(&ballot.round.to_be_bytes());
        self.0.extend_from_slice(&ballot.proposer.to_be_bytes());
    }

    fn version(&mut self, v: &Version, always_inline: bool) {
        self.number(v.number);
        self.number(v.hash);
        let inline = always_inline || v.content.len() <= MAX_INLINE_BYTES;
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

    fn bytes(&mut self, max: usize) -> Result<&'a [u8], DecodeError> {
        let n = self.u32()? as usize;
        if n > max {
            return Err(DecodeError::Malformed);
        }
        self.take(n)
    }

    fn name(&mut self) -> Result<String, DecodeError> {
        String::from_utf8(self.bytes(MAX_NAME_BYTES)?.to_vec()).map_err(|_| DecodeError::Malformed)
    }

    fn ballot(&mut self) -> Result<Ballot, DecodeError> {
        Ok(Ballot { round: self.u32()?, proposer: u16::from_be_bytes(self.array()?) })
    }

    fn version(&mut self, find: &dyn Fn(&Digest32) -> Option<Vec<u8>>) -> Result<Version, DecodeError> {
        let (number, hash) = (self.u64()?, self.u64()?);
        let content = if self.u8()? == 0 {
            self.bytes(MAX_CONTENT_BYTES)?.to_vec()
        } else {
            let (digest, length) = (self.array()?, self.u32()?);
            if length as usize > MAX_CONTENT_BYTES {
                return Err(DecodeError::Malformed);
            }
            find(&digest).ok_or(DecodeError::MissingContent(digest, length))?
        };
        Ok(Version { number, hash, content })
    }
}

impl PeerMessage {
    /// Encodes the message. A reason over [`MAX_REASON_BYTES`] is truncated.
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
                let mut end = why.len().min(MAX_REASON_BYTES);
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
            PeerMessage::ContentRequest(digest, offset) => {
                out.0.push(21);
                out.0.extend_from_slice(digest);
                out.0.extend_from_slice(&offset.to_be_bytes());
            }
            PeerMessage::ContentChunk(digest, offset, size, chunk) => {
                out.0.push(22);
                out.0.extend_from_slice(digest);
                out.0.extend_from_slice(&offset.to_be_bytes());
                out.0.extend_from_slice(&size.to_be_bytes());
                out.bytes(chunk);
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

    /// Decodes a message. A content that is not within it is looked up with `find`.
    ///
    /// # Errors
    /// If the message is malformed, or a content has to be fetched before it can be decoded.
    pub fn decode(
        bytes: &[u8],
        find: &dyn Fn(&Digest32) -> Option<Vec<u8>>,
    ) -> Result<PeerMessage, DecodeError> {
        let reader = &mut Reader(bytes);
        if reader.u8()? != FORMAT_VERSION {
            return Err(DecodeError::Malformed);
        }
        let kind = reader.u8()?;
        let message = match kind {
            20 => {
                let (number, why) = (reader.u64()?, reader.bytes(MAX_REASON_BYTES)?);
                PeerMessage::Unfit(
                    number,
                    String::from_utf8(why.to_vec()).map_err(|_| DecodeError::Malformed)?,
                )
            }
            24 => PeerMessage::KnownWrites(reader.u64()?),
            25 => PeerMessage::FitnessRequest(reader.u64()?, reader.version(find)?),
            26 => PeerMessage::Fit(reader.u64()?, reader.u64()?),
            21 => PeerMessage::ContentRequest(reader.array()?, reader.u32()?),
            22 => PeerMessage::ContentChunk(
                reader.array()?,
                reader.u32()?,
                reader.u32()?,
                reader.bytes(CHUNK_BYTES)?.to_vec(),
            ),
            23 => {
                let (source, sequence, engine) = (reader.name()?, reader.u64()?, reader.name()?);
                let came_up = reader.u64()?;
                let state = match reader.u8()? {
                    0 => EngineState::Up,
                    1 => EngineState::Draining,
                    2 => EngineState::Removed,
                    _ => return Err(DecodeError::Malformed),
                };
                PeerMessage::EngineClaim(Claim { source, sequence, engine, came_up, state })
            }
            _ => {
                let (terms, writes) = (reader.u64()?, reader.u64()?);
                let message = match kind {
                    1 => Message::Prepare(reader.u64()?, reader.ballot()?),
                    2 => {
                        let (number, ballot) = (reader.u64()?, reader.ballot()?);
                        let accepted = if reader.u8()? == 1 {
                            Some((reader.ballot()?, reader.version(find)?))
                        } else {
                            None
                        };
                        Message::Promise(number, ballot, accepted)
                    }
                    3 => Message::Accept(reader.ballot()?, reader.version(find)?),
                    4 => Message::Accepted(reader.u64()?, reader.ballot()?),
                    5 => Message::Committed(reader.version(find)?),
                    6 => Message::MissingFrom(reader.u64()?),
                    7 => Message::LeaseRequest(reader.u64()?, reader.u64()?, reader.u64()?),
                    8 => Message::LeaseGrant(reader.u64()?, reader.u64()?, reader.u64()?, reader.u64()?),
                    9 => Message::LeaseRelease(reader.u64()?),
                    10 => Message::HistoryBase(reader.u64()?, reader.u64()?),
                    _ => return Err(DecodeError::Malformed),
                };
                PeerMessage::Protocol(terms, writes, message)
            }
        };
        // Trailing bytes are an error: a format with further fields has another format number.
        reader.0.is_empty().then_some(message).ok_or(DecodeError::Malformed)
    }
}

/// Why a vote file cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoteFileError {
    /// It does not have the format of a vote file.
    NotVoteFile,
    /// It was written under other terms: voters, lease, drift or floor.
    TermsMismatch,
    /// It is truncated, or its checksum does not match.
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

/// Encodes a vote file. `writes` counts the writes, so that an old copy of the file is noticed.
pub fn encode_vote_file(state: &DurableState, terms: u64, writes: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    let out = &mut Writer(&mut bytes);
    out.number(terms);
    out.number(writes);
    let (base, hash) = state.history.base();
    out.number(base);
    out.number(hash);
    out.number(state.abstain_through);
    out.number(state.history.versions().len() as u64);
    state.history.versions().iter().for_each(|v| out.version(v, true));
    out.ballot(state.promised);
    out.0.push(u8::from(state.accepted.is_some()));
    if let Some((ballot, version)) = &state.accepted {
        out.ballot(*ballot);
        out.version(version, true);
    }
    let checksum = digest(&bytes);
    bytes.extend_from_slice(&checksum);
    bytes
}

/// Decodes a vote file: the state, and the number of writes.
///
/// # Errors
/// If the file cannot be used.
pub fn decode_vote_file(bytes: &[u8], terms: u64) -> Result<(DurableState, u64), VoteFileError> {
    let (body, checksum) =
        bytes.len().checked_sub(32).map(|at| bytes.split_at(at)).ok_or(VoteFileError::NotVoteFile)?;
    if !body.starts_with(MAGIC) {
        return Err(VoteFileError::NotVoteFile);
    }
    if digest(body) != checksum {
        return Err(VoteFileError::Corrupt);
    }
    let reader = &mut Reader(&body[MAGIC.len()..]);
    if reader.u64().map_err(|_| VoteFileError::Corrupt)? != terms {
        return Err(VoteFileError::TermsMismatch);
    }
    let mut read_fields = || -> Result<(DurableState, u64), DecodeError> {
        let no_content = |_: &Digest32| None;
        let writes = reader.u64()?;
        let history = History::starting_after(reader.u64()?, reader.u64()?);
        let mut state = DurableState { history, abstain_through: reader.u64()?, ..DurableState::default() };
        for _ in 0..reader.u64()? {
            let version = reader.version(&no_content)?;
            if !state.history.add(&version) {
                return Err(DecodeError::Malformed);
            }
        }
        state.promised = reader.ballot()?;
        state.accepted =
            if reader.u8()? == 1 { Some((reader.ballot()?, reader.version(&no_content)?)) } else { None };
        Ok((state, writes))
    };
    read_fields().map_err(|_| VoteFileError::Corrupt)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn long(number: u64) -> Version {
        Version::after(number, 7, &vec![b'x'; 2 * MAX_INLINE_BYTES])
    }

    #[test]
    fn messages_round_trip_and_truncated_or_extended_ones_are_malformed() {
        let ballot = Ballot { round: 3, proposer: 2 };
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
        let find = |wanted: &Digest32| (*wanted == digest(&content)).then(|| content.clone());
        for message in all {
            let bytes = message.encode();
            assert!(bytes.len() <= 1_000, "{} bytes", bytes.len());
            assert_eq!(PeerMessage::decode(&bytes, &find), Ok(message.clone()));
            for length in 0..bytes.len() {
                assert_eq!(
                    PeerMessage::decode(&bytes[..length], &find),
                    Err(DecodeError::Malformed),
                    "{message:?} truncated at {length}"
                );
            }
            let with_trailing_byte = [bytes.as_slice(), &[0]].concat();
            assert_eq!(PeerMessage::decode(&with_trailing_byte, &find), Err(DecodeError::Malformed));
        }
        let without_content = PeerMessage::Protocol(77, 3, Message::Committed(long(4))).encode();
        let expected = Err(DecodeError::MissingContent(digest(&content), content.len() as u32));
        assert_eq!(PeerMessage::decode(&without_content, &|_| None), expected);
    }

    #[test]
    fn vote_file_round_trips_and_each_flipped_bit_is_detected() {
        let mut history = History::starting_after(3, 11);
        let first = Version::after(3, 11, b"first");
        assert!(history.add(&first));
        let accepted = Some((Ballot { round: 1, proposer: 0 }, Version::after(4, first.hash, b"second")));
        let state = DurableState {
            history,
            promised: Ballot { round: 2, proposer: 1 },
            accepted,
            abstain_through: 6,
        };
        let bytes = encode_vote_file(&state, 5, 9);
        assert_eq!(decode_vote_file(&bytes, 5), Ok((state, 9)));
        assert_eq!(decode_vote_file(&bytes, 6), Err(VoteFileError::TermsMismatch));
        for at in 0..bytes.len() {
            let mut flipped = bytes.clone();
            flipped[at] ^= 4;
            assert!(decode_vote_file(&flipped, 5).is_err(), "bit flipped at {at}");
            assert!(decode_vote_file(&bytes[..at], 5).is_err(), "truncated at {at}");
        }
        assert_eq!(
            decode_vote_file(b"something else that is long enough to hold a checksum", 5),
            Err(VoteFileError::NotVoteFile)
        );
    }
}
