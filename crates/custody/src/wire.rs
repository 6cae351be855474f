//! The messages between gateways and their encoding; [`stored_marks`] is the format of a voter's file.
//!
//! Integers are big-endian. A message is `format | kind | sender's incarnation number | sender's term |
//! fields`, of 1, 1, 8 and 4 bytes before the fields. The first two bytes have the same meaning in every
//! format. A message of an unknown format is not decoded; it is answered with the supported format
//! ([`unsupported_format_reply`]).

mod codec;
pub(crate) mod stored_marks;

use crate::{Incarnation, Micros, Record, StatementKey};
use codec::{Decoder, Encoder};

/// The message format of this version.
const FORMAT: u8 = 1;
/// Message kind that announces the format the sender supports; the same in every format.
const KIND_UNSUPPORTED_FORMAT: u8 = 255;
/// Maximum size of a datagram.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_000;
/// Bytes of a datagram reserved for the message header when a list is split over several.
const DATAGRAM_HEADER_BYTES: usize = 64;
/// Maximum encoded size of a participant without its name, including the data sent with it.
const MAX_PARTICIPANT_BYTES: usize = 32;
/// Maximum length of a gateway's name.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of members of a replica list.
pub(crate) const MAX_REPLICAS: usize = 64;
/// Maximum size of a statement's body, so that a record with its body fits into one batch.
pub(crate) const MAX_BODY_BYTES: usize = (2 << 20) - (256 << 10);
/// Maximum number of records, and of endings, in one batch, so that its rejections fit into one
/// acknowledgement.
pub(crate) const MAX_BATCH_ITEMS: usize = 256;

/// An incarnation in one of its terms. An incarnation that is fenced while its process runs continues in its
/// next term.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Participant {
    pub incarnation: Incarnation,
    pub term: u32,
}

impl Participant {
    /// This participant without the gateway's name, which the transport authenticates.
    pub fn process_term(&self) -> ProcessTerm {
        ProcessTerm { incarnation_number: self.incarnation.number, term: self.term }
    }
}

/// A participant without its gateway's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ProcessTerm {
    pub incarnation_number: u64,
    pub term: u32,
}

/// A member of a replica list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaEntry {
    pub participant: Participant,
    /// The member never acts for this statement again: it is fenced, has resigned, or had no room.
    pub excluded: bool,
    /// The length of the list when this member was added. All members before that position must have
    /// acknowledged the addition before this member is notified.
    pub added_after: u8,
}

/// A record as it is sent to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaRecord {
    pub record: Record,
    pub has_body: bool,
    pub replicas: Vec<ReplicaEntry>,
}

/// Why a record was rejected. The discriminants are the encoded values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RejectReason {
    /// The receiver has no room for this statement and will never accept it.
    NoRoom = 0,
    /// The record came without a body, and the receiver does not have the body.
    MissingBody = 1,
    /// The statement has ended.
    Ended = 2,
    /// The sender or the receiver is no longer in the replica list.
    Obsolete = 3,
}

/// One record of a batch that was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// The record's position in its batch.
    pub index: u16,
    pub reason: RejectReason,
}

/// A fence that a voter has stored for one participant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FenceMark {
    pub participant: Participant,
    /// How long the lease that the voter granted to the participant may still be valid.
    pub remaining: Micros,
}

/// What one gateway sends to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Message {
    /// Requests a lease; sent at this time on the sender's clock.
    LeaseRequest(Micros),
    /// Grants the lease that the receiver requested at this time on its clock.
    LeaseGrant(Micros),
    /// The receiver's terms up to and including this one are fenced.
    Fenced(u32),
    /// Asks a voter to fence these participants permanently.
    FenceRequest(Vec<Participant>),
    /// The voter has stored fences of these participants.
    FenceMarks(Vec<FenceMark>),
    /// Records, and the keys of statements that have ended. The number orders the batches of a sender.
    Batch { to: ProcessTerm, number: u64, records: Vec<ReplicaRecord>, ended: Vec<StatementKey> },
    /// The batch of this number was accepted, except for the rejected records.
    Acknowledgement { to: ProcessTerm, number: u64, rejected: Vec<Rejection> },
    /// Announces the sender's incarnation and term, which are in the header of every message.
    TermAnnouncement,
    /// Asks the receiver for its term.
    TermQuery,
    /// Asks a voter for its stored marks; sent at this time on the sender's clock.
    MarksQuery(Micros),
    /// The sender's marks in the format of the stored file; empty if the sender has stored none either.
    StoredMarks { asked_at: Micros, marks: Vec<u8> },
    /// The sender holds its lease; a voter does not fence it while it hears this.
    LeaseHeld,
}

/// Why bytes cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DecodeError {
    Malformed,
    /// The message has this format, which is not supported here.
    UnknownFormat(u8),
    /// The sender announced that it supports only this format.
    PeerFormat(u8),
}

impl Message {
    /// The encoded kind of the message.
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
            Message::LeaseHeld => 12,
        }
    }

    /// Encodes the message, with the sender in its header.
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
            Message::TermAnnouncement | Message::TermQuery | Message::LeaseHeld => {}
        }
        encoder.into_bytes()
    }

    /// Decodes a message and its sender.
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
            12 => Message::LeaseHeld,
            _ => return Err(DecodeError::Malformed),
        })
    }
}

/// The reply to a message of an unsupported format; announces the supported one.
pub(crate) fn unsupported_format_reply() -> Vec<u8> {
    vec![FORMAT, KIND_UNSUPPORTED_FORMAT]
}

/// Splits a list of participants, or of items about one participant each, into parts that each fit into a
/// datagram.
pub(crate) fn split_into_datagrams<T>(all: Vec<T>, participant: impl Fn(&T) -> &Participant) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for item in all {
        let size = participant(&item).incarnation.name.len() + MAX_PARTICIPANT_BYTES;
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
