//! One end of a stream of records, free of I/O and clock: octets and wake-ups in, octets and records out.
//!
//! Both ends say `version | key | nonce | life | name`, the caller first. From the secret of its own first key and all that was
//! said each end derives the code key of its direction, so codes fit one stream and one direction only. Frames follow:
//! `length 4 | kind 1 | body | code 16`, the code over the frame's number in its direction, kind and body. The answering end's
//! greeting is its first frame, the caller's an empty one: who holds none of the fleet's keys proves nothing and is let go. What
//! is altered, left out, repeated, moved or sent back breaks the numbers or the codes and ends the stream.

use std::collections::VecDeque;
use std::fmt;

use hmac::Mac;

use crate::seal::{name, CODE, NAME};
use crate::{
    name_hash, Key, Keys, Micros, SendError, MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGES, MAX_RECORD_BYTES,
};

/// Octets by which a record of what stands on a stream may be longer than [`MAX_RECORD_BYTES`].
pub(crate) const HEAD: usize = 16;

const VERSION: u8 = 1;
const USE: &[u8] = b"violetward stream";
const NONCE: usize = 32;
/// Octets of a greeting at most; nothing longer is read of an end that has proved nothing.
const GREETING: usize = 1 + 4 + NONCE + 8 + 1 + NAME + CODE;

/// Who this end is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its name, the same after a restart; 48 octets at most.
    pub name: String,
    /// Which process of that name.
    pub incarnation: u64,
}

/// Spans after which an end is given up, in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Until the other end has proved itself.
    pub handshake: Micros,
    /// An end that has said nothing for so long says that it is still there.
    pub keepalive: Micros,
    /// Without a whole frame from the other end, or without it taking any octet of what waits for it.
    pub idle: Micros,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts { handshake: 3_000_000, keepalive: 1_000_000, idle: 5_000_000 }
    }
}

/// Why a stream has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// This end closed it.
    Closed,
    /// The other end closed it, or the way broke.
    Disconnected,
    /// The other end said nothing, or took nothing, for too long.
    TimedOut,
    /// The other end did not prove itself in time.
    HandshakeTimeout,
    /// The other end's key is not believed here, or not any more.
    UntrustedKey,
    /// A frame is not what the other end sent in its place.
    InvalidMac,
    /// What came is no frame, or of another version.
    Malformed,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::Closed => "it was closed",
            CloseReason::Disconnected => "the other end closed it, or the way broke",
            CloseReason::TimedOut => "the other end said or took nothing for too long",
            CloseReason::HandshakeTimeout => "the other end did not prove itself in time",
            CloseReason::UntrustedKey => "the other end's key is not believed",
            CloseReason::InvalidMac => "a frame was not what the other end sent",
            CloseReason::Malformed => "what came is no frame",
        })
    }
}

impl std::error::Error for CloseReason {}

/// What a frame is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum Kind {
    /// The code of a greeting.
    Greeting,
    /// A record.
    Record,
    /// "I am still here."
    Beat,
}

/// One direction: its code key and the number of its next frame.
struct Way {
    key: Key,
    next: u64,
}

impl Way {
    /// The direction away from the end that said `hello` first, or towards it.
    fn new(key: &Key, back: bool, hello: &[u8], welcome: &[u8]) -> Way {
        let length = (hello.len() as u32).to_be_bytes();
        let secret = key.mac(&[USE, &[u8::from(back)], &length, hello, welcome]).finalize().into_bytes();
        Way { key: Key { name: String::new(), secret: secret.to_vec() }, next: 0 }
    }

    fn code(&self, kind: u8, body: &[u8]) -> hmac::Hmac<sha2::Sha256> {
        self.key.mac(&[&self.next.to_be_bytes(), &[kind], body])
    }

    fn seal(&mut self, kind: Kind, body: &[u8], out: &mut Vec<u8>) {
        let code = self.code(kind as u8, body).finalize().into_bytes();
        out.extend_from_slice(&((1 + body.len() + CODE) as u32).to_be_bytes());
        out.push(kind as u8);
        out.extend_from_slice(body);
        out.extend_from_slice(&code[..CODE]);
        self.next += 1;
    }

    fn open(&mut self, kind: u8, body: &[u8], code: &[u8]) -> bool {
        let good = self.code(kind, body).verify_truncated_left(code).is_ok();
        self.next += u64::from(good);
        good
    }
}

enum Stage {
    /// The caller waits for the answer to its greeting.
    Called(Vec<u8>),
    /// The other end waits for a greeting.
    Awaits,
    /// It has answered, and waits for proof under one of the keys that the greeting may mean.
    Answered(Vec<(Key, Way)>, Identity),
    /// Both are proved.
    Open(Key, Way),
    Over(CloseReason),
}

/// One end of a stream.
pub struct Session {
    identity: Identity,
    keys: Keys,
    timeouts: Timeouts,
    nonce: [u8; NONCE],
    stage: Stage,
    /// The direction away from here, once there is one.
    away: Option<Way>,
    peer: Option<Identity>,
    come: Vec<u8>,
    out: Vec<u8>,
    /// Octets that were handed out to be written and are not yet.
    writing: usize,
    records: VecDeque<Vec<u8>>,
    kept: usize,
    began: Micros,
    heard: Micros,
    said: Micros,
    /// When the way last took octets, or had none to take.
    taken: Micros,
    due: Micros,
}

impl Session {
    /// The end that calls. `nonce` is fresh and drawn by chance.
    pub fn connect(
        identity: Identity,
        keys: Keys,
        timeouts: Timeouts,
        nonce: [u8; 32],
        now: Micros,
    ) -> Session {
        let mut session = Session::accept(identity, keys, timeouts, nonce, now);
        let hello = session.greeting();
        session.out.extend_from_slice(&(hello.len() as u32).to_be_bytes());
        session.out.extend_from_slice(&hello);
        session.stage = Stage::Called(hello);
        session
    }

    /// The end that is called.
    pub fn accept(
        identity: Identity,
        keys: Keys,
        timeouts: Timeouts,
        nonce: [u8; 32],
        now: Micros,
    ) -> Session {
        Session {
            identity,
            keys,
            timeouts,
            nonce,
            stage: Stage::Awaits,
            away: None,
            peer: None,
            come: Vec::new(),
            out: Vec::new(),
            writing: 0,
            records: VecDeque::new(),
            kept: 0,
            began: now,
            heard: now,
            said: now,
            taken: now,
            due: now + timeouts.keepalive,
        }
    }

    fn greeting(&self) -> Vec<u8> {
        let mut out = vec![VERSION];
        out.extend_from_slice(&name_hash(&self.keys.signing_key().name).to_be_bytes());
        out.extend_from_slice(&self.nonce);
        out.extend_from_slice(&self.identity.incarnation.to_be_bytes());
        let name = &self.identity.name.as_bytes()[..self.identity.name.len().min(NAME)];
        out.push(name.len() as u8);
        out.extend_from_slice(name);
        out
    }

    /// Octets have come. They are not looked at any more once the stream is over.
    pub fn receive(&mut self, bytes: &[u8], now: Micros) {
        if matches!(self.stage, Stage::Over(_)) {
            return;
        }
        let mut come = std::mem::take(&mut self.come);
        come.extend_from_slice(bytes);
        let mut rest = &come[..];
        while let Some((length, behind)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let most = if self.is_open() { 1 + MAX_RECORD_BYTES + HEAD + CODE } else { GREETING };
            if length > most {
                // Guards the memory: nothing is gathered that nobody of ours sends.
                return self.close(CloseReason::Malformed);
            }
            let Some((frame, behind)) = behind.split_at_checked(length) else { break };
            if let Err(why) = self.frame(frame) {
                return self.close(why);
            }
            rest = behind;
        }
        self.heard = now;
        // A long record's room is given back: what is left is copied.
        self.come = rest.to_vec();
    }

    fn frame(&mut self, frame: &[u8]) -> Result<(), CloseReason> {
        match std::mem::replace(&mut self.stage, Stage::Awaits) {
            Stage::Awaits => {
                let (id, peer) = read_greeting(frame).ok_or(CloseReason::Malformed)?;
                let welcome = self.greeting();
                let ways: Vec<(Key, Way)> =
                    self.keys.with_id(id).map(|k| (k.clone(), Way::new(k, false, frame, &welcome))).collect();
                if ways.is_empty() {
                    return Err(CloseReason::UntrustedKey);
                }
                let mut away = Way::new(self.keys.signing_key(), true, frame, &welcome);
                let code = away.code(Kind::Greeting as u8, &[]).finalize().into_bytes();
                away.next += 1;
                self.out.extend_from_slice(&((welcome.len() + CODE) as u32).to_be_bytes());
                self.out.extend_from_slice(&welcome);
                self.out.extend_from_slice(&code[..CODE]);
                self.away = Some(away);
                self.stage = Stage::Answered(ways, peer);
            }
            Stage::Called(hello) => {
                let at = frame.len().checked_sub(CODE).ok_or(CloseReason::Malformed)?;
                let (welcome, code) = frame.split_at(at);
                let (id, peer) = read_greeting(welcome).ok_or(CloseReason::Malformed)?;
                let mut ways =
                    self.keys.with_id(id).map(|k| (k, Way::new(k, true, &hello, welcome))).peekable();
                ways.peek().ok_or(CloseReason::UntrustedKey)?;
                let proved = ways.find_map(|(key, mut way)| {
                    way.open(Kind::Greeting as u8, &[], code).then(|| (key.clone(), way))
                });
                let (key, way) = proved.ok_or(CloseReason::InvalidMac)?;
                let mut away = Way::new(self.keys.signing_key(), false, &hello, welcome);
                away.seal(Kind::Greeting, &[], &mut self.out);
                self.away = Some(away);
                self.peer = Some(peer);
                self.stage = Stage::Open(key, way);
            }
            Stage::Answered(ways, peer) => {
                let (kind, body, code) = parts(frame).ok_or(CloseReason::Malformed)?;
                let proved = ways.into_iter().find_map(|(key, mut way)| {
                    (kind == Kind::Greeting as u8 && way.open(kind, body, code)).then_some((key, way))
                });
                let (key, way) = proved.ok_or(CloseReason::InvalidMac)?;
                self.peer = Some(peer);
                self.stage = Stage::Open(key, way);
            }
            Stage::Open(key, mut way) => {
                let (kind, body, code) = parts(frame).ok_or(CloseReason::Malformed)?;
                if !way.open(kind, body, code) {
                    return Err(CloseReason::InvalidMac);
                }
                if kind == Kind::Record as u8 {
                    self.kept += body.len();
                    self.records.push_back(body.to_vec());
                }
                self.stage = Stage::Open(key, way);
            }
            over @ Stage::Over(_) => self.stage = over,
        }
        Ok(())
    }

    /// Sends a record.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn send(&mut self, record: &[u8]) -> Result<(), SendError> {
        if record.len() > MAX_RECORD_BYTES + HEAD {
            return Err(SendError::TooLong);
        }
        match (&self.stage, &mut self.away) {
            (Stage::Open(..), Some(away)) => {
                if self.out.len() + self.writing + record.len() > MAX_QUEUED_BYTES {
                    return Err(SendError::QueueFull);
                }
                away.seal(Kind::Record, record, &mut self.out);
                Ok(())
            }
            (Stage::Over(_), _) => Err(SendError::Closed),
            _ => Err(SendError::UnknownGateway),
        }
    }

    /// The next record that has come. What came whole before the end is still given after it.
    pub fn next_record(&mut self) -> Option<Vec<u8>> {
        let record = self.records.pop_front()?;
        self.kept -= record.len();
        Some(record)
    }

    /// So much waits to be taken that nothing more is to be read.
    pub fn is_full(&self) -> bool {
        self.kept >= MAX_QUEUED_BYTES || self.records.len() >= MAX_QUEUED_MESSAGES
    }

    /// Octets to be written; [`Session::written`] tells when they are.
    pub fn take_output(&mut self, now: Micros) -> Vec<u8> {
        let out = std::mem::take(&mut self.out);
        if !out.is_empty() {
            self.said = now;
        }
        if self.writing == 0 {
            self.taken = now;
        }
        self.writing += out.len();
        out
    }

    /// The way took octets that were handed out.
    pub fn written(&mut self, octets: usize, now: Micros) {
        self.writing = self.writing.saturating_sub(octets);
        self.taken = now;
    }

    /// There is something to be handed out.
    pub fn has_output(&self) -> bool {
        !self.out.is_empty()
    }

    /// Octets that wait to be written or are being written.
    pub fn queued_bytes(&self) -> usize {
        self.out.len() + self.writing
    }

    /// Time has passed.
    pub fn on_timer(&mut self, now: Micros) {
        // Who stood still cannot blame the other end for it: what came meanwhile has not been read yet.
        let late = now.saturating_sub(self.due);
        if late > self.timeouts.keepalive {
            for at in [&mut self.began, &mut self.heard, &mut self.taken] {
                *at += late;
            }
        }
        if self.is_full() {
            // Nothing is read just now.
            self.heard = now;
        }
        let timeouts = self.timeouts;
        match &self.stage {
            Stage::Over(_) => {}
            Stage::Open(..) => {
                let stuck = self.writing > 0 && now >= self.taken + timeouts.idle;
                if now >= self.heard + timeouts.idle || stuck {
                    self.close(CloseReason::TimedOut);
                } else if now >= self.said + timeouts.keepalive && self.queued_bytes() == 0 {
                    if let Some(away) = &mut self.away {
                        away.seal(Kind::Beat, &[], &mut self.out);
                    }
                }
            }
            _ if now >= self.began + timeouts.handshake => self.close(CloseReason::HandshakeTimeout),
            _ => {}
        }
        self.due = now + timeouts.keepalive / 2;
    }

    /// When it wants to be woken.
    pub fn next_wake(&self) -> Micros {
        if matches!(self.stage, Stage::Over(_)) {
            Micros::MAX
        } else {
            self.due
        }
    }

    /// The ring is this now: an end whose key is not in it any more is let go.
    pub fn set_keys(&mut self, keys: &Keys) {
        if matches!(&self.stage, Stage::Open(key, _) if !keys.contains(key)) {
            self.close(CloseReason::UntrustedKey);
        }
        self.keys = keys.clone();
    }

    /// Ends the stream.
    pub fn close(&mut self, why: CloseReason) {
        if !matches!(self.stage, Stage::Over(_)) {
            self.stage = Stage::Over(why);
            self.come = Vec::new();
            self.out = Vec::new();
        }
    }

    /// Both ends are proved, and it has not ended.
    pub fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Open(..))
    }

    /// Why it has ended, if it has.
    pub fn close_reason(&self) -> Option<CloseReason> {
        match self.stage {
            Stage::Over(why) => Some(why),
            _ => None,
        }
    }

    /// Who is at the other end, if it has been proved.
    pub fn peer(&self) -> Option<&Identity> {
        self.peer.as_ref()
    }
}

/// The mark of a greeting's key, and whose it is.
fn read_greeting(bytes: &[u8]) -> Option<(u32, Identity)> {
    let (version, rest) = bytes.split_first()?;
    let (id, rest) = rest.split_first_chunk::<4>()?;
    let (_, rest) = rest.split_first_chunk::<NONCE>()?;
    let (incarnation, rest) = rest.split_first_chunk::<8>()?;
    let (name, rest) = name(rest)?;
    let peer = Identity { name: name.to_owned(), incarnation: u64::from_be_bytes(*incarnation) };
    (*version == VERSION && rest.is_empty()).then_some((u32::from_be_bytes(*id), peer))
}

/// Kind, body and code of a frame.
fn parts(frame: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let (kind, rest) = frame.split_first()?;
    let (body, code) = rest.split_at_checked(rest.len().checked_sub(CODE)?)?;
    Some((*kind, body, code))
}
