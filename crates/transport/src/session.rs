//! One end of an authenticated record stream, without I/O or clock: received bytes and timer events go in,
//! bytes to send and received records come out.
//!
//! Both ends send a hello, `version | key id | nonce | incarnation | name`, the connecting end first. Each
//! end derives the MAC key for its own direction from its signing key and both hellos, so a MAC is valid on
//! one stream and in one direction only. Frames follow: `length 4 | kind 1 | body | MAC 16`, sizes in bytes;
//! the MAC covers the frame's sequence number in its direction, its kind and its body. The accepting end
//! authenticates itself with the MAC appended to its hello, which counts as its first frame, the connecting
//! end with an empty frame. An end without one of the shared keys is disconnected. Altered, omitted,
//! repeated, reordered or reflected frames don't match the sequence number or the MAC and end the stream.

use std::collections::VecDeque;
use std::fmt;

use hmac::Mac;

use crate::seal::{split_name, MAC_BYTES, MAX_NAME_BYTES};
use crate::{
    name_hash, Key, Keys, Micros, SendError, MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGES, MAX_RECORD_BYTES,
};

/// Bytes by which a record may exceed [`MAX_RECORD_BYTES`], for the header of a protocol on top of the
/// stream.
pub(crate) const MAX_HEADER_BYTES: usize = 16;

const VERSION: u8 = 1;
/// Separates the MACs of streams from those of messages.
const MAC_CONTEXT: &[u8] = b"violetward stream";
const NONCE_BYTES: usize = 32;
/// Most bytes in a frame from an end that is not authenticated yet.
const MAX_HELLO_BYTES: usize = 1 + 4 + NONCE_BYTES + 8 + 1 + MAX_NAME_BYTES + MAC_BYTES;

/// Identifies one process of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The gateway's name, which stays the same across restarts; at most [`MAX_NAME_BYTES`].
    pub name: String,
    /// Differs between processes of the same name.
    pub incarnation: u64,
}

/// Timeouts of a stream, in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// For the other end to authenticate itself.
    pub handshake: Micros,
    /// A keepalive frame is sent after this long without other output.
    pub keepalive: Micros,
    /// The stream ends after this long without bytes from the other end, or without progress in sending
    /// queued bytes.
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
    /// The other end closed it, or the connection failed.
    Disconnected,
    /// The other end sent nothing, or accepted nothing, for [`Timeouts::idle`].
    TimedOut,
    /// The other end did not authenticate itself within [`Timeouts::handshake`].
    HandshakeTimeout,
    /// The other end's key is not accepted, or no longer.
    UntrustedKey,
    /// A frame's MAC does not match.
    InvalidMac,
    /// The received bytes are not a valid frame, or have another version.
    Malformed,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::Closed => "closed by this end",
            CloseReason::Disconnected => "closed by the other end, or the connection failed",
            CloseReason::TimedOut => "the other end timed out",
            CloseReason::HandshakeTimeout => "the other end did not authenticate itself in time",
            CloseReason::UntrustedKey => "the other end's key is not accepted",
            CloseReason::InvalidMac => "a frame's MAC does not match",
            CloseReason::Malformed => "received a malformed frame",
        })
    }
}

impl std::error::Error for CloseReason {}

/// The kind of a frame; the numbers are part of the wire format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum FrameKind {
    /// Authenticates the handshake.
    Hello,
    Record,
    Keepalive,
}

/// One direction of a stream: its MAC key and the sequence number of its next frame.
struct Direction {
    key: Key,
    next: u64,
}

impl Direction {
    /// Derives the key of a direction from `key` and both hellos. `to_connector` tells the two directions
    /// apart.
    fn new(key: &Key, to_connector: bool, connector_hello: &[u8], acceptor_hello: &[u8]) -> Direction {
        let length = (connector_hello.len() as u32).to_be_bytes();
        let parts = [MAC_CONTEXT, &[u8::from(to_connector)], &length, connector_hello, acceptor_hello];
        let secret = key.mac(&parts).finalize().into_bytes();
        Direction { key: Key { name: String::new(), secret: secret.to_vec() }, next: 0 }
    }

    fn mac(&self, kind: u8, body: &[u8]) -> hmac::Hmac<sha2::Sha256> {
        self.key.mac(&[&self.next.to_be_bytes(), &[kind], body])
    }

    /// Appends the next frame to `out`.
    fn seal(&mut self, kind: FrameKind, body: &[u8], out: &mut Vec<u8>) {
        let mac = self.mac(kind as u8, body).finalize().into_bytes();
        out.extend_from_slice(&((1 + body.len() + MAC_BYTES) as u32).to_be_bytes());
        out.push(kind as u8);
        out.extend_from_slice(body);
        out.extend_from_slice(&mac[..MAC_BYTES]);
        self.next += 1;
    }

    /// Verifies the next frame and advances the sequence number if it is authentic.
    fn verify(&mut self, kind: u8, body: &[u8], mac: &[u8]) -> bool {
        let verified = self.mac(kind, body).verify_truncated_left(mac).is_ok();
        self.next += u64::from(verified);
        verified
    }
}

enum Stage {
    /// The connecting end has sent this hello and awaits the response.
    HelloSent(Vec<u8>),
    /// The accepting end awaits a hello.
    AwaitingHello,
    /// The accepting end has responded and awaits the other end's MAC under one of the keys that its key id
    /// may mean.
    AwaitingMac(Vec<(Key, Direction)>, Identity),
    /// Both ends are authenticated. The other end's key and the receiving direction.
    Open(Key, Direction),
    Closed(CloseReason),
}

/// One end of a stream.
pub struct Session {
    identity: Identity,
    keys: Keys,
    timeouts: Timeouts,
    nonce: [u8; NONCE_BYTES],
    stage: Stage,
    /// The sending direction, once its key is derived.
    sending: Option<Direction>,
    peer: Option<Identity>,
    /// Received bytes that are not a complete frame yet.
    input: Vec<u8>,
    output: Vec<u8>,
    /// Bytes that were handed out by [`Session::take_output`] and not yet reported as written.
    writing_bytes: usize,
    /// Received records that were not taken yet, and their size.
    records: VecDeque<Vec<u8>>,
    records_bytes: usize,
    started_at: Micros,
    /// When bytes were last received.
    received_at: Micros,
    /// When output was last handed out.
    sent_at: Micros,
    /// When the connection last accepted bytes, or had none to accept.
    write_progress_at: Micros,
    /// When [`Session::on_timer`] is due.
    timer_at: Micros,
}

impl Session {
    /// The connecting end. `nonce` must be random and never reused.
    pub fn connect(
        identity: Identity,
        keys: Keys,
        timeouts: Timeouts,
        nonce: [u8; 32],
        now: Micros,
    ) -> Session {
        let mut session = Session::accept(identity, keys, timeouts, nonce, now);
        let hello = session.hello();
        session.output.extend_from_slice(&(hello.len() as u32).to_be_bytes());
        session.output.extend_from_slice(&hello);
        session.stage = Stage::HelloSent(hello);
        session
    }

    /// The accepting end. `nonce` must be random and never reused.
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
            stage: Stage::AwaitingHello,
            sending: None,
            peer: None,
            input: Vec::new(),
            output: Vec::new(),
            writing_bytes: 0,
            records: VecDeque::new(),
            records_bytes: 0,
            started_at: now,
            received_at: now,
            sent_at: now,
            write_progress_at: now,
            timer_at: now + timeouts.keepalive,
        }
    }

    fn hello(&self) -> Vec<u8> {
        let mut out = vec![VERSION];
        out.extend_from_slice(&name_hash(&self.keys.signing_key().name).to_be_bytes());
        out.extend_from_slice(&self.nonce);
        out.extend_from_slice(&self.identity.incarnation.to_be_bytes());
        let name = &self.identity.name.as_bytes()[..self.identity.name.len().min(MAX_NAME_BYTES)];
        out.push(name.len() as u8);
        out.extend_from_slice(name);
        out
    }

    /// Processes received bytes. They are ignored once the stream has ended.
    pub fn receive(&mut self, bytes: &[u8], now: Micros) {
        if matches!(self.stage, Stage::Closed(_)) {
            return;
        }
        let mut input = std::mem::take(&mut self.input);
        input.extend_from_slice(bytes);
        let mut rest = &input[..];
        while let Some((length, after_length)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let max_length = if self.is_open() {
                1 + MAX_RECORD_BYTES + MAX_HEADER_BYTES + MAC_BYTES
            } else {
                MAX_HELLO_BYTES
            };
            if length > max_length {
                // Bounds the memory: a longer frame is never sent by a valid peer and is not buffered.
                return self.close(CloseReason::Malformed);
            }
            let Some((frame, after_frame)) = after_length.split_at_checked(length) else { break };
            if let Err(reason) = self.on_frame(frame) {
                return self.close(reason);
            }
            rest = after_frame;
        }
        self.received_at = now;
        // Copies the rest, so that the buffer of a long record is freed.
        self.input = rest.to_vec();
    }

    fn on_frame(&mut self, frame: &[u8]) -> Result<(), CloseReason> {
        match std::mem::replace(&mut self.stage, Stage::AwaitingHello) {
            Stage::AwaitingHello => {
                let (key_id, peer) = parse_hello(frame).ok_or(CloseReason::Malformed)?;
                let own_hello = self.hello();
                let candidates: Vec<(Key, Direction)> = self
                    .keys
                    .with_id(key_id)
                    .map(|k| (k.clone(), Direction::new(k, false, frame, &own_hello)))
                    .collect();
                if candidates.is_empty() {
                    return Err(CloseReason::UntrustedKey);
                }
                let mut sending = Direction::new(self.keys.signing_key(), true, frame, &own_hello);
                let mac = sending.mac(FrameKind::Hello as u8, &[]).finalize().into_bytes();
                sending.next += 1;
                self.output.extend_from_slice(&((own_hello.len() + MAC_BYTES) as u32).to_be_bytes());
                self.output.extend_from_slice(&own_hello);
                self.output.extend_from_slice(&mac[..MAC_BYTES]);
                self.sending = Some(sending);
                self.stage = Stage::AwaitingMac(candidates, peer);
            }
            Stage::HelloSent(own_hello) => {
                let at = frame.len().checked_sub(MAC_BYTES).ok_or(CloseReason::Malformed)?;
                let (hello, mac) = frame.split_at(at);
                let (key_id, peer) = parse_hello(hello).ok_or(CloseReason::Malformed)?;
                let mut candidates = self
                    .keys
                    .with_id(key_id)
                    .map(|k| (k, Direction::new(k, true, &own_hello, hello)))
                    .peekable();
                candidates.peek().ok_or(CloseReason::UntrustedKey)?;
                let authenticated = candidates.find_map(|(key, mut direction)| {
                    direction.verify(FrameKind::Hello as u8, &[], mac).then(|| (key.clone(), direction))
                });
                let (key, direction) = authenticated.ok_or(CloseReason::InvalidMac)?;
                let mut sending = Direction::new(self.keys.signing_key(), false, &own_hello, hello);
                sending.seal(FrameKind::Hello, &[], &mut self.output);
                self.sending = Some(sending);
                self.peer = Some(peer);
                self.stage = Stage::Open(key, direction);
            }
            Stage::AwaitingMac(candidates, peer) => {
                let (kind, body, mac) = split_frame(frame).ok_or(CloseReason::Malformed)?;
                let authenticated = candidates.into_iter().find_map(|(key, mut direction)| {
                    (kind == FrameKind::Hello as u8 && direction.verify(kind, body, mac))
                        .then_some((key, direction))
                });
                let (key, direction) = authenticated.ok_or(CloseReason::InvalidMac)?;
                self.peer = Some(peer);
                self.stage = Stage::Open(key, direction);
            }
            Stage::Open(key, mut direction) => {
                let (kind, body, mac) = split_frame(frame).ok_or(CloseReason::Malformed)?;
                if !direction.verify(kind, body, mac) {
                    return Err(CloseReason::InvalidMac);
                }
                if kind == FrameKind::Record as u8 {
                    self.records_bytes += body.len();
                    self.records.push_back(body.to_vec());
                }
                self.stage = Stage::Open(key, direction);
            }
            closed @ Stage::Closed(_) => self.stage = closed,
        }
        Ok(())
    }

    /// Queues a record for sending.
    ///
    /// # Errors
    /// Why it was not accepted.
    pub fn send(&mut self, record: &[u8]) -> Result<(), SendError> {
        if record.len() > MAX_RECORD_BYTES + MAX_HEADER_BYTES {
            return Err(SendError::TooLong);
        }
        match (&self.stage, &mut self.sending) {
            (Stage::Open(..), Some(sending)) => {
                if self.output.len() + self.writing_bytes + record.len() > MAX_QUEUED_BYTES {
                    return Err(SendError::QueueFull);
                }
                sending.seal(FrameKind::Record, record, &mut self.output);
                Ok(())
            }
            (Stage::Closed(_), _) => Err(SendError::Closed),
            _ => Err(SendError::UnknownGateway),
        }
    }

    /// Takes the next received record. Records received before the stream ended can still be taken
    /// afterwards.
    pub fn next_record(&mut self) -> Option<Vec<u8>> {
        let record = self.records.pop_front()?;
        self.records_bytes -= record.len();
        Some(record)
    }

    /// Whether the queue of received records is full. The caller should stop reading until records are taken.
    pub fn is_full(&self) -> bool {
        self.records_bytes >= MAX_QUEUED_BYTES || self.records.len() >= MAX_QUEUED_MESSAGES
    }

    /// Takes the bytes to write to the connection; report them with [`Session::written`].
    pub fn take_output(&mut self, now: Micros) -> Vec<u8> {
        let output = std::mem::take(&mut self.output);
        if !output.is_empty() {
            self.sent_at = now;
        }
        if self.writing_bytes == 0 {
            self.write_progress_at = now;
        }
        self.writing_bytes += output.len();
        output
    }

    /// Reports that the connection has accepted `bytes` of the output.
    pub fn written(&mut self, bytes: usize, now: Micros) {
        self.writing_bytes = self.writing_bytes.saturating_sub(bytes);
        self.write_progress_at = now;
    }

    /// Whether there is output to take.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Bytes that are queued for writing or being written.
    pub fn queued_bytes(&self) -> usize {
        self.output.len() + self.writing_bytes
    }

    /// Checks the timeouts and sends a keepalive if one is due.
    pub fn on_timer(&mut self, now: Micros) {
        // If this process was paused, the other end is not at fault: what it sent meanwhile has not been read
        // yet.
        let late = now.saturating_sub(self.timer_at);
        if late > self.timeouts.keepalive {
            for at in [&mut self.started_at, &mut self.received_at, &mut self.write_progress_at] {
                *at += late;
            }
        }
        if self.is_full() {
            // Reading is suspended, so no frames can be received.
            self.received_at = now;
        }
        let timeouts = self.timeouts;
        match &self.stage {
            Stage::Closed(_) => {}
            Stage::Open(..) => {
                let is_stuck = self.writing_bytes > 0 && now >= self.write_progress_at + timeouts.idle;
                if now >= self.received_at + timeouts.idle || is_stuck {
                    self.close(CloseReason::TimedOut);
                } else if now >= self.sent_at + timeouts.keepalive && self.queued_bytes() == 0 {
                    if let Some(sending) = &mut self.sending {
                        sending.seal(FrameKind::Keepalive, &[], &mut self.output);
                    }
                }
            }
            _ if now >= self.started_at + timeouts.handshake => self.close(CloseReason::HandshakeTimeout),
            _ => {}
        }
        self.timer_at = now + timeouts.keepalive / 2;
    }

    /// When to call [`Session::on_timer`] next.
    pub fn next_wake(&self) -> Micros {
        if matches!(self.stage, Stage::Closed(_)) {
            Micros::MAX
        } else {
            self.timer_at
        }
    }

    /// Replaces the accepted keys. The stream ends if the other end's key is no longer among them.
    pub fn set_keys(&mut self, keys: &Keys) {
        if matches!(&self.stage, Stage::Open(key, _) if !keys.contains(key)) {
            self.close(CloseReason::UntrustedKey);
        }
        self.keys = keys.clone();
    }

    /// Ends the stream, unless it has ended already.
    pub fn close(&mut self, reason: CloseReason) {
        if !matches!(self.stage, Stage::Closed(_)) {
            self.stage = Stage::Closed(reason);
            self.input = Vec::new();
            self.output = Vec::new();
        }
    }

    /// Whether this end has authenticated the other one and the stream has not ended.
    pub fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Open(..))
    }

    /// Why the stream has ended, if it has.
    pub fn close_reason(&self) -> Option<CloseReason> {
        match self.stage {
            Stage::Closed(reason) => Some(reason),
            _ => None,
        }
    }

    /// The other end, once it is authenticated.
    pub fn peer(&self) -> Option<&Identity> {
        self.peer.as_ref()
    }
}

/// Parses a hello into the key id and the sender's identity.
fn parse_hello(bytes: &[u8]) -> Option<(u32, Identity)> {
    let (version, rest) = bytes.split_first()?;
    let (key_id, rest) = rest.split_first_chunk::<4>()?;
    let (_, rest) = rest.split_first_chunk::<NONCE_BYTES>()?;
    let (incarnation, rest) = rest.split_first_chunk::<8>()?;
    let (name, rest) = split_name(rest)?;
    let peer = Identity { name: name.to_owned(), incarnation: u64::from_be_bytes(*incarnation) };
    (*version == VERSION && rest.is_empty()).then_some((u32::from_be_bytes(*key_id), peer))
}

/// Splits a frame into kind, body and MAC.
fn split_frame(frame: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let (kind, rest) = frame.split_first()?;
    let (body, mac) = rest.split_at_checked(rest.len().checked_sub(MAC_BYTES)?)?;
    Some((*kind, body, mac))
}
