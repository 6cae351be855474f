//! The messages between gateways and their encoding; [`stored_marks`] is the format of a voter's file.
//!
//! Integers are big-endian. A message is `format 1 | kind 1 | sender's incarnation 8 | sender's term 4 |
//! fields`. The first two bytes mean the same in every format: an unknown format is answered with the
//! supported one ([`unsupported_format_reply`]) and never guessed at.

mod codec;
pub(crate) mod stored_marks;

use crate::{Incarnation, Micros, Record, StatementKey};
use codec::{Decoder, Encoder};

/// The format of messages.
const FORMAT: u8 = 1;
/// The message kind that tells the sender's format, in every format.
const KIND_UNSUPPORTED_FORMAT: u8 = 255;
/// Bytes of a datagram, at most.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_000;
/// Bytes of a datagram that are left for its header when a list is split.
const DATAGRAM_HEADER_BYTES: usize = 64;
/// Bytes of a participant beside its name, and of what is told of it, at most.
const PARTICIPANT_BYTES: usize = 32;
/// Bytes of a gateway's name, at most.
const MAX_NAME_BYTES: usize = 256;
/// Members of a replica list, at most.
pub(crate) const MAX_REPLICAS: usize = 64;
/// Bytes of a statement's body, at most: a record with its body fits one batch.
pub(crate) const MAX_BODY_BYTES: usize = (2 << 20) - (256 << 10);
/// Records or endings in one batch, at most: what was rejected of them fits one acknowledgement.
pub(crate) const MAX_BATCH_ITEMS: usize = 256;

/// An incarnation in one of its terms. One that was fenced while its process runs goes on in its next term.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Participant {
    pub incarnation: Incarnation,
    pub term: u32,
}

impl Participant {
    /// The same without the gateway's name, which the transport proves.
    pub fn process_term(&self) -> ProcessTerm {
        ProcessTerm { incarnation_number: self.incarnation.number, term: self.term }
    }
}

/// A participant without its gateway's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ProcessTerm {
    /// The incarnation's number.
    pub incarnation_number: u64,
    pub term: u32,
}

/// A member of a replica list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaEntry {
    pub participant: Participant,
    /// It never acts for this statement any more: fenced, resigned, or without room.
    pub excluded: bool,
    /// The list's length when it was added: so many members have to know of it before it is notified.
    pub added_after: u8,
}

/// A record as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaRecord {
    pub record: Record,
    /// Whether the statement's body is included.
    pub has_body: bool,
    pub replicas: Vec<ReplicaEntry>,
}

/// Why a record was rejected. The discriminants are the encoded values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RejectReason {
    /// There is no room, now or later, for this statement.
    NoRoom = 0,
    /// The record came without a body, and the body is not known here.
    MissingBody = 1,
    /// The statement has ended.
    Ended = 2,
    /// The sender is not in the replica list any more, or this gateway is not.
    Obsolete = 3,
}

/// One record of a batch that was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// The record's position in its batch.
    pub index: u16,
    pub reason: RejectReason,
}

/// A voter's fence of one participant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FenceMark {
    pub participant: Participant,
    /// For how long the lease that the voter granted it may still run.
    pub remaining: Micros,
}

/// What one gateway sends to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Message {
    /// Asks for a lease, at that time of the sender's clock.
    LeaseRequest(Micros),
    /// Grants the lease that was asked for at that time of the receiver's clock.
    LeaseGrant(Micros),
    /// The receiver's terms up to this one are fenced.
    Fenced(u32),
    /// Asks a voter to fence these participants, for good.
    FenceRequest(Vec<Participant>),
    /// The voter has stored fences of these participants.
    FenceMarks(Vec<FenceMark>),
    /// Records, and statements that have ended. The number orders the batches of a sender.
    Batch { to: ProcessTerm, number: u64, records: Vec<ReplicaRecord>, ended: Vec<StatementKey> },
    /// The batch of that number has come, except for the rejected records.
    Acknowledgement { to: ProcessTerm, number: u64, rejected: Vec<Rejection> },
    /// Announces the incarnation and term that this message names as its sender.
    TermAnnouncement,
    /// Asks which term the receiver is in.
    TermQuery,
    /// Asks a voter for its stored marks, at that time of the sender's clock.
    MarksQuery(Micros),
    /// The stored marks in their file format; empty if the sender has stored nothing either.
    StoredMarks { asked_at: Micros, marks: Vec<u8> },
}

/// Why bytes are not read as a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DecodeError {
    /// They are malformed.
    Malformed,
    /// They have a format that is not supported here.
    UnknownFormat(u8),
    /// Their sender supports another format only.
    PeerFormat(u8),
}

impl Message {
    /// The number that stands for the kind of a message in its bytes.
    fn kind(&self) -> u8 {
        match self {
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
        }
    }

    /// The message in bytes, as sent by a process in a term.
    pub fn encode(&self, sender: ProcessTerm) -> Vec<u8> {
        let mut encoder = Encoder::new(vec![FORMAT, self.kind()]);
        encoder.process_term(sender);
        match self {
            Message::LeaseRequest(at) | Message::LeaseGrant(at) | Message::MarksQuery(at) => encoder.u64(*at),
            Message::StoredMarks { asked_at, marks } => {
                encoder.u64(*asked_at);
                encoder.long_bytes(marks);
            }
            Message::Fenced(through) => encoder.u32(*through),
            Message::FenceRequest(participants) => encoder.list(participants, Encoder::participant),
            Message::FenceMarks(marks) => encoder.list(marks, |encoder, mark| {
                encoder.participant(&mark.participant);
                encoder.u64(mark.remaining);
            }),
            Message::Batch { to, number, records, ended } => {
                encoder.process_term(*to);
                encoder.u64(*number);
                encoder.list(records, Encoder::replica_record);
                encoder.list(ended, Encoder::key);
            }
            Message::Acknowledgement { to, number, rejected } => {
                encoder.process_term(*to);
                encoder.u64(*number);
                encoder.list(rejected, |encoder, rejection| {
                    encoder.u16(rejection.index);
                    encoder.u8(rejection.reason as u8);
                });
            }
            Message::TermAnnouncement | Message::TermQuery => {}
        }
        encoder.into_bytes()
    }

    /// Reads a message and who sent it.
    pub fn decode(bytes: &[u8]) -> Result<(ProcessTerm, Message), DecodeError> {
        let mut decoder = Decoder::new(bytes);
        let (format, kind) = (decoder.u8()?, decoder.u8()?);
        match kind {
            KIND_UNSUPPORTED_FORMAT => return Err(DecodeError::PeerFormat(format)),
            _ if format != FORMAT => return Err(DecodeError::UnknownFormat(format)),
            _ => {}
        }
        let sender = decoder.process_term()?;
        let message = Message::decode_fields(kind, &mut decoder)?;
        if decoder.is_at_end() {
            Ok((sender, message))
        } else {
            Err(DecodeError::Malformed)
        }
    }

    fn decode_fields(kind: u8, decoder: &mut Decoder<'_>) -> Result<Message, DecodeError> {
        Ok(match kind {
            1 => Message::LeaseRequest(decoder.u64()?),
            2 => Message::LeaseGrant(decoder.u64()?),
            3 => Message::Fenced(decoder.u32()?),
            4 => Message::FenceRequest(decoder.list(MAX_BATCH_ITEMS, Decoder::participant)?),
            5 => Message::FenceMarks(decoder.list(MAX_BATCH_ITEMS, |decoder| {
                Ok(FenceMark { participant: decoder.participant()?, remaining: decoder.u64()? })
            })?),
            6 => Message::Batch {
                to: decoder.process_term()?,
                number: decoder.u64()?,
                records: decoder.list(MAX_BATCH_ITEMS, Decoder::replica_record)?,
                ended: decoder.list(MAX_BATCH_ITEMS, Decoder::key)?,
            },
            7 => Message::Acknowledgement {
                to: decoder.process_term()?,
                number: decoder.u64()?,
                rejected: decoder.list(MAX_BATCH_ITEMS, |decoder| {
                    Ok(Rejection { index: decoder.u16()?, reason: decoder.reject_reason()? })
                })?,
            },
            8 => Message::TermAnnouncement,
            9 => Message::TermQuery,
            10 => Message::MarksQuery(decoder.u64()?),
            11 => Message::StoredMarks { asked_at: decoder.u64()?, marks: decoder.long_bytes()? },
            _ => return Err(DecodeError::Malformed),
        })
    }
}

/// The reply to a message of a format that is not supported here: it names the supported one.
pub(crate) fn unsupported_format_reply() -> Vec<u8> {
    vec![FORMAT, KIND_UNSUPPORTED_FORMAT]
}

/// Splits a list of participants, or of what is told of them, into parts that fit a datagram each.
pub(crate) fn split_into_datagrams<T>(all: Vec<T>, participant: impl Fn(&T) -> &Participant) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for item in all {
        let size = participant(&item).incarnation.name.len() + PARTICIPANT_BYTES;
        if size > room {
            parts.push(Vec::new());
            room = MAX_DATAGRAM_BYTES - DATAGRAM_HEADER_BYTES;
        }
        room -= size.min(room);
        if let Some(part) = parts.last_mut() {
            part.push(item);
        }
    }
    parts
}

#[cfg(test)]
mod tests;
