//! Encoding and decoding of the fields of messages and stored marks.

use super::{
    DecodeError, Participant, ProcessTerm, RejectReason, ReplicaEntry, ReplicaRecord, MAX_NAME_BYTES,
    MAX_REPLICAS,
};
use crate::{Ending, InFlightAttempt, Incarnation, Record, RepeatSafety, StatementKey};

/// Maximum length of a text, which is encoded with a 16-bit length.
const MAX_TEXT_BYTES: usize = u16::MAX as usize;
/// Flag of a record: the statement may not run twice.
const FLAG_UNSAFE: u8 = 1;
/// Flag of a record: its body follows.
const FLAG_BODY: u8 = 2;
// Encoded kinds of an ending.
const NO_ENDING: u8 = 0;
const ENDING_CANCELLED: u8 = 1;
const ENDING_REFUSED: u8 = 2;
const ENDING_FAILED: u8 = 3;

/// Appends encoded fields to a buffer.
pub(super) struct Encoder(Vec<u8>);

impl Encoder {
    pub fn new(prefix: Vec<u8>) -> Encoder {
        Encoder(prefix)
    }

    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    pub fn u8(&mut self, n: u8) {
        self.0.push(n);
    }

    pub fn u16(&mut self, n: u16) {
        self.raw(&n.to_be_bytes());
    }

    pub fn u32(&mut self, n: u32) {
        self.raw(&n.to_be_bytes());
    }

    pub fn u64(&mut self, n: u64) {
        self.raw(&n.to_be_bytes());
    }

    fn flag(&mut self, flag: bool) {
        self.u8(u8::from(flag));
    }

    /// Appends a 32-bit length and the bytes.
    pub fn long_bytes(&mut self, bytes: &[u8]) {
        self.u32(bytes.len() as u32);
        self.raw(bytes);
    }

    /// Appends a 16-bit count and the items.
    pub fn list<T>(&mut self, items: &[T], mut encode: impl FnMut(&mut Encoder, &T)) {
        self.u16(items.len() as u16);
        items.iter().for_each(|item| encode(self, item));
    }

    /// Appends a 16-bit length and the text, truncated at a character boundary to [`MAX_TEXT_BYTES`].
    fn text(&mut self, text: &str) {
        let limit = text.len().min(MAX_TEXT_BYTES);
        let end = (0..=limit).rev().find(|&n| text.is_char_boundary(n)).unwrap_or(0);
        self.u16(end as u16);
        self.raw(&text.as_bytes()[..end]);
    }

    pub fn incarnation(&mut self, incarnation: &Incarnation) {
        self.text(&incarnation.name);
        self.u64(incarnation.number);
    }

    pub fn participant(&mut self, participant: &Participant) {
        self.incarnation(&participant.incarnation);
        self.u32(participant.term);
    }

    pub fn process_term(&mut self, process: ProcessTerm) {
        self.u64(process.incarnation_number);
        self.u32(process.term);
    }

    pub fn key(&mut self, key: &StatementKey) {
        self.incarnation(&key.accepted_by);
        self.u64(key.number);
    }

    pub fn replica_record(&mut self, item: &ReplicaRecord) {
        let record = &item.record;
        self.key(&record.key);
        self.u64(record.version);
        let is_unsafe = if record.repeat == RepeatSafety::Unsafe { FLAG_UNSAFE } else { 0 };
        let has_body = if item.has_body { FLAG_BODY } else { 0 };
        self.u8(is_unsafe | has_body);
        if item.has_body {
            self.long_bytes(&record.body);
        }
        self.u64(record.remaining_wait);
        self.u32(record.attempts);
        self.u64(record.pages_delivered);
        self.flag(record.in_flight.is_some());
        record.in_flight.iter().for_each(|attempt| self.attempt(attempt));
        self.ending(record.ending.as_ref());
        self.u8(item.replicas.len() as u8);
        item.replicas.iter().for_each(|entry| self.replica_entry(entry));
    }

    fn attempt(&mut self, attempt: &InFlightAttempt) {
        self.u32(attempt.number);
        self.text(&attempt.engine);
        // A URI that is too long is omitted: a gateway that takes over then cannot find the running
        // statement, which it reports.
        let next_uri = attempt.next_uri.as_ref().filter(|uri| uri.len() <= MAX_TEXT_BYTES);
        self.flag(next_uri.is_some());
        next_uri.into_iter().for_each(|uri| self.text(uri));
        self.u64(attempt.next_page);
        self.u64(attempt.elapsed);
        self.u64(attempt.timeout);
    }

    fn ending(&mut self, ending: Option<&Ending>) {
        match ending {
            None => self.u8(NO_ENDING),
            Some(Ending::Cancelled) => self.u8(ENDING_CANCELLED),
            Some(Ending::Refused(reason)) => {
                self.u8(ENDING_REFUSED);
                self.text(reason);
            }
            Some(Ending::Failed(reason)) => {
                self.u8(ENDING_FAILED);
                self.text(reason);
            }
        }
    }

    fn replica_entry(&mut self, entry: &ReplicaEntry) {
        self.participant(&entry.participant);
        self.flag(entry.excluded);
        self.u8(entry.added_after);
    }
}

/// Decodes fields from the front of a buffer.
pub(super) struct Decoder<'a>(&'a [u8]);

impl<'a> Decoder<'a> {
    pub fn new(bytes: &'a [u8]) -> Decoder<'a> {
        Decoder(bytes)
    }

    pub fn is_at_end(&self) -> bool {
        self.0.is_empty()
    }

    fn next_bytes(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let (bytes, rest) = self.0.split_at_checked(count).ok_or(DecodeError::Malformed)?;
        self.0 = rest;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        self.next_bytes(N)?.try_into().map_err(|_| DecodeError::Malformed)
    }

    pub fn u8(&mut self) -> Result<u8, DecodeError> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, DecodeError> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        self.array().map(u32::from_be_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, DecodeError> {
        self.array().map(u64::from_be_bytes)
    }

    fn flag(&mut self) -> Result<bool, DecodeError> {
        match self.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(DecodeError::Malformed),
        }
    }

    /// Reads a 32-bit length and that many bytes.
    pub fn long_bytes(&mut self) -> Result<Vec<u8>, DecodeError> {
        let length = self.u32()? as usize;
        self.next_bytes(length).map(<[u8]>::to_vec)
    }

    /// Reads a 16-bit count and that many items; malformed if there are more than `max`.
    pub fn list<T>(
        &mut self,
        max: usize,
        decode: impl FnMut(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Vec<T>, DecodeError> {
        let count = usize::from(self.u16()?);
        self.items(count, max, decode)
    }

    /// Reads `count` items; malformed if that is more than `max`.
    pub fn items<T>(
        &mut self,
        count: usize,
        max: usize,
        mut decode: impl FnMut(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Vec<T>, DecodeError> {
        if count > max {
            return Err(DecodeError::Malformed);
        }
        (0..count).map(|_| decode(self)).collect()
    }

    fn text(&mut self, max_bytes: usize) -> Result<String, DecodeError> {
        let length = usize::from(self.u16()?);
        if length > max_bytes {
            return Err(DecodeError::Malformed);
        }
        String::from_utf8(self.next_bytes(length)?.to_vec()).map_err(|_| DecodeError::Malformed)
    }

    pub fn incarnation(&mut self) -> Result<Incarnation, DecodeError> {
        Ok(Incarnation { name: self.text(MAX_NAME_BYTES)?, number: self.u64()? })
    }

    pub fn participant(&mut self) -> Result<Participant, DecodeError> {
        Ok(Participant { incarnation: self.incarnation()?, term: self.u32()? })
    }

    pub fn process_term(&mut self) -> Result<ProcessTerm, DecodeError> {
        Ok(ProcessTerm { incarnation_number: self.u64()?, term: self.u32()? })
    }

    pub fn key(&mut self) -> Result<StatementKey, DecodeError> {
        Ok(StatementKey { accepted_by: self.incarnation()?, number: self.u64()? })
    }

    pub fn reject_reason(&mut self) -> Result<RejectReason, DecodeError> {
        match self.u8()? {
            0 => Ok(RejectReason::NoRoom),
            1 => Ok(RejectReason::MissingBody),
            2 => Ok(RejectReason::Ended),
            3 => Ok(RejectReason::Obsolete),
            _ => Err(DecodeError::Malformed),
        }
    }

    pub fn replica_record(&mut self) -> Result<ReplicaRecord, DecodeError> {
        let (key, version, flags) = (self.key()?, self.u64()?, self.u8()?);
        if flags > FLAG_UNSAFE | FLAG_BODY {
            return Err(DecodeError::Malformed);
        }
        let repeat = if flags & FLAG_UNSAFE == 0 { RepeatSafety::Safe } else { RepeatSafety::Unsafe };
        let has_body = flags & FLAG_BODY != 0;
        let body = if has_body { self.long_bytes()? } else { Vec::new() };
        let (remaining_wait, attempts, pages_delivered) = (self.u64()?, self.u32()?, self.u64()?);
        let in_flight = if self.flag()? { Some(self.attempt()?) } else { None };
        let ending = self.ending()?;
        let replicas = self.replica_list()?;
        let record = Record {
            key,
            version,
            body,
            repeat,
            remaining_wait,
            attempts,
            in_flight,
            pages_delivered,
            ending,
        };
        Ok(ReplicaRecord { record, has_body, replicas })
    }

    fn attempt(&mut self) -> Result<InFlightAttempt, DecodeError> {
        let (number, engine) = (self.u32()?, self.text(MAX_TEXT_BYTES)?);
        let next_uri = if self.flag()? { Some(self.text(MAX_TEXT_BYTES)?) } else { None };
        Ok(InFlightAttempt {
            number,
            engine,
            next_uri,
            next_page: self.u64()?,
            elapsed: self.u64()?,
            timeout: self.u64()?,
        })
    }

    fn ending(&mut self) -> Result<Option<Ending>, DecodeError> {
        match self.u8()? {
            NO_ENDING => Ok(None),
            ENDING_CANCELLED => Ok(Some(Ending::Cancelled)),
            ENDING_REFUSED => Ok(Some(Ending::Refused(self.text(MAX_TEXT_BYTES)?))),
            ENDING_FAILED => Ok(Some(Ending::Failed(self.text(MAX_TEXT_BYTES)?))),
            _ => Err(DecodeError::Malformed),
        }
    }

    fn replica_list(&mut self) -> Result<Vec<ReplicaEntry>, DecodeError> {
        let count = usize::from(self.u8()?);
        let replicas = self.items(count, MAX_REPLICAS, Decoder::replica_entry)?;
        // An entry that waits for more members than precede it would never be notified.
        let is_unreachable =
            |(position, entry): (usize, &ReplicaEntry)| usize::from(entry.added_after) > position;
        if replicas.iter().enumerate().any(is_unreachable) {
            return Err(DecodeError::Malformed);
        }
        Ok(replicas)
    }

    fn replica_entry(&mut self) -> Result<ReplicaEntry, DecodeError> {
        let participant = self.participant()?;
        Ok(ReplicaEntry { participant, excluded: self.flag()?, added_after: self.u8()? })
    }
}
