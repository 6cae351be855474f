//! ZMTP 3.0 (ZeroMQ RFC 23), NULL mechanism: an incremental, bounded reader of a peer's bytes, and writers.
//!
//! A newer peer (3.1) talks down to 3.0; its SUBSCRIBE, CANCEL, PING and PONG commands are understood all the same.

use std::fmt;

/// What our socket is (RFC 23, section "The READY command").
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Socket {
    /// Shell, control and stdin.
    Router,
    /// Iopub.
    Pub,
    /// Heartbeat.
    Rep,
    /// A client's shell, control or stdin.
    Dealer,
    /// A client's iopub.
    Sub,
}

impl Socket {
    fn name(self) -> &'static str {
        match self {
            Socket::Router => "ROUTER",
            Socket::Pub => "PUB",
            Socket::Rep => "REP",
            Socket::Dealer => "DEALER",
            Socket::Sub => "SUB",
        }
    }

    fn takes(self, peer: &[u8]) -> bool {
        let known: &[&[u8]] = match self {
            Socket::Router => &[b"DEALER", b"REQ", b"ROUTER"],
            Socket::Pub => &[b"SUB", b"XSUB"],
            Socket::Rep => &[b"REQ", b"DEALER"],
            Socket::Dealer => &[b"ROUTER", b"REP"],
            Socket::Sub => &[b"PUB", b"XPUB"],
        };
        known.contains(&peer)
    }
}

/// Bounds of what a peer may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a whole message, all of its parts together.
    pub message: usize,
    /// Parts of a message.
    pub parts: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { message: 4 << 20, parts: 64 }
    }
}

/// What is wrong with a peer's bytes. The connection cannot go on after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZmtpError {
    /// The first bytes are no ZMTP greeting of version 3.
    Greeting,
    /// A mechanism other than NULL.
    Mechanism,
    /// No READY, or one that can't be read.
    Handshake,
    /// The peer's socket does not go with ours.
    SocketType,
    /// A frame with reserved flags, or a command where none may be.
    Frame,
    /// Over [`Limits`].
    TooLarge,
}

impl fmt::Display for ZmtpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ZmtpError::Greeting => "no ZMTP 3 greeting",
            ZmtpError::Mechanism => "a security mechanism other than NULL",
            ZmtpError::Handshake => "the handshake cannot be read",
            ZmtpError::SocketType => "a socket type that does not go with this one",
            ZmtpError::Frame => "a frame that cannot be read",
            ZmtpError::TooLarge => "a message over the bound",
        })
    }
}

impl std::error::Error for ZmtpError {}

/// What a peer has sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Got {
    /// The handshake is done; the peer's own identity, often empty.
    Ready(Vec<u8>),
    /// A whole message.
    Message(Vec<Vec<u8>>),
    /// A subscription (true) or its end, of a prefix.
    Subscribe(bool, Vec<u8>),
    /// A PING to be answered with [`pong`] of this context.
    Ping(Vec<u8>),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Greeting,
    Handshake,
    Traffic,
    Broken(ZmtpError),
}

/// Reads one connection's bytes.
#[derive(Debug)]
pub struct Reader {
    socket: Socket,
    limits: Limits,
    state: State,
    buffer: Vec<u8>,
    used: usize,
    parts: Vec<Vec<u8>>,
    held: usize,
}

/// The greeting, 64 bytes: signature, version 3.0, mechanism NULL, not as a server.
pub fn greeting() -> Vec<u8> {
    let mut out = vec![0; 64];
    (out[0], out[9], out[10]) = (0xff, 0x7f, 3);
    out[12..16].copy_from_slice(b"NULL");
    out
}

/// The READY command of our socket.
pub fn ready(socket: Socket) -> Vec<u8> {
    let mut body = vec![5];
    body.extend_from_slice(b"READY");
    for (name, value) in [("Socket-Type", socket.name()), ("Identity", "")] {
        body.push(name.len() as u8);
        body.extend_from_slice(name.as_bytes());
        body.extend_from_slice(&(value.len() as u32).to_be_bytes());
        body.extend_from_slice(value.as_bytes());
    }
    let mut out = Vec::new();
    frame(&mut out, 4, &body);
    out
}

/// The answer to a PING.
pub fn pong(context: &[u8]) -> Vec<u8> {
    let mut body = vec![4];
    body.extend_from_slice(b"PONG");
    body.extend_from_slice(context);
    let mut out = Vec::new();
    frame(&mut out, 4, &body);
    out
}

/// A whole message.
pub fn message<T: AsRef<[u8]>>(parts: &[T]) -> Vec<u8> {
    let mut out = Vec::new();
    for (i, part) in parts.iter().enumerate() {
        frame(&mut out, u8::from(i + 1 < parts.len()), part.as_ref());
    }
    out
}

fn frame(out: &mut Vec<u8>, flags: u8, body: &[u8]) {
    if body.len() < 256 {
        out.extend_from_slice(&[flags, body.len() as u8]);
    } else {
        out.push(flags | 2);
        out.extend_from_slice(&(body.len() as u64).to_be_bytes());
    }
    out.extend_from_slice(body);
}

impl Reader {
    /// A reader for the peer of one of our sockets.
    pub fn new(socket: Socket, limits: Limits) -> Self {
        let (buffer, parts) = Default::default();
        Reader { socket, limits, state: State::Greeting, buffer, used: 0, parts, held: 0 }
    }

    /// Takes bytes in; [`Reader::next`] should be called until it gives nothing before more is fed.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.used > 0 {
            // The rest of the buffer is freed: many connections may wait for the rest of a message.
            (self.buffer, self.used) = (self.buffer[self.used..].to_vec(), 0);
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes held back.
    pub fn held(&self) -> usize {
        self.buffer.len() - self.used + self.held
    }

    /// The memory that is allocated for a message that is not whole, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.buffer.capacity() + self.parts.iter().map(Vec::capacity).sum::<usize>()
    }

    /// What has come in whole.
    ///
    /// # Errors
    /// What is wrong; the same from then on.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Got>, ZmtpError> {
        let result = self.step();
        if let Err(error) = result {
            self.state = State::Broken(error);
            (self.buffer, self.parts, self.used, self.held) = (Vec::new(), Vec::new(), 0, 0);
        } else if self.used == self.buffer.len() {
            (self.buffer, self.used) = (Vec::new(), 0);
        }
        result
    }

    fn step(&mut self) -> Result<Option<Got>, ZmtpError> {
        loop {
            match self.state {
                State::Broken(error) => return Err(error),
                State::Greeting => {
                    let seen = &self.buffer[self.used..];
                    // What can't become a greeting is refused at its first byte, not after 64.
                    let wrong = seen.first().is_some_and(|&b| b != 0xff)
                        || seen.get(9).is_some_and(|&b| b & 1 == 0)
                        || seen.get(10).is_some_and(|&b| b < 3);
                    if wrong {
                        return Err(ZmtpError::Greeting);
                    }
                    if seen.len() < 64 {
                        return Ok(None);
                    }
                    let mechanism = &seen[12..32];
                    if !mechanism.starts_with(b"NULL") || mechanism[4..].iter().any(|&b| b != 0) {
                        return Err(ZmtpError::Mechanism);
                    }
                    self.used += 64;
                    self.state = State::Handshake;
                }
                State::Handshake => {
                    let Some((flags, body)) = self.frame()? else { return Ok(None) };
                    let identity = if flags & 4 == 0 { None } else { self.read_ready(&body)? };
                    self.state = State::Traffic;
                    return identity.map(|i| Some(Got::Ready(i))).ok_or(ZmtpError::Handshake);
                }
                State::Traffic => {
                    let Some((flags, body)) = self.frame()? else { return Ok(None) };
                    if flags & 4 != 0 {
                        match self.command(&body)? {
                            Some(got) => return Ok(Some(got)),
                            None => continue,
                        }
                    }
                    self.held += body.len() + 32;
                    self.parts.push(body);
                    if self.held > self.limits.message || self.parts.len() > self.limits.parts {
                        return Err(ZmtpError::TooLarge);
                    }
                    if flags & 1 != 0 {
                        continue;
                    }
                    self.held = 0;
                    let mut parts = std::mem::take(&mut self.parts);
                    if self.socket == Socket::Pub {
                        // A 3.0 subscriber's message: 1 or 0 and the prefix.
                        let first = if parts.len() == 1 { parts.remove(0) } else { Vec::new() };
                        match first.split_first() {
                            Some((&way @ (0 | 1), prefix)) => {
                                return Ok(Some(Got::Subscribe(way == 1, prefix.to_vec())));
                            }
                            _ => continue,
                        }
                    }
                    return Ok(Some(Got::Message(parts)));
                }
            }
        }
    }

    /// The next whole frame: flags and body.
    fn frame(&mut self) -> Result<Option<(u8, Vec<u8>)>, ZmtpError> {
        let seen = &self.buffer[self.used..];
        let Some(&flags) = seen.first() else { return Ok(None) };
        // A command is a frame of its own (RFC 23: no MORE); the upper bits are reserved.
        if flags & 0xf8 != 0 || flags & 5 == 5 {
            return Err(ZmtpError::Frame);
        }
        let (head, size) = if flags & 2 == 0 {
            let Some(&size) = seen.get(1) else { return Ok(None) };
            (2, u64::from(size))
        } else {
            let Some(size) = seen.get(1..9) else { return Ok(None) };
            (9, u64::from_be_bytes(size.try_into().expect("eight bytes")))
        };
        if size > self.limits.message as u64 {
            return Err(ZmtpError::TooLarge);
        }
        let end = head + size as usize;
        let Some(body) = seen.get(head..end) else { return Ok(None) };
        let body = body.to_vec();
        self.used += end;
        Ok(Some((flags, body)))
    }

    fn read_ready(&self, body: &[u8]) -> Result<Option<Vec<u8>>, ZmtpError> {
        let Some(mut rest) = body.strip_prefix(b"\x05READY") else { return Ok(None) };
        let (mut kind, mut identity) = (Vec::new(), Vec::new());
        while let Some((&length, after)) = rest.split_first() {
            let length = usize::from(length);
            let name = after.get(..length).ok_or(ZmtpError::Handshake)?;
            let size = after.get(length..length + 4).ok_or(ZmtpError::Handshake)?;
            let size = u32::from_be_bytes(size.try_into().expect("four bytes")) as usize;
            let value =
                after.get(length + 4..(length + 4).saturating_add(size)).ok_or(ZmtpError::Handshake)?;
            if name.eq_ignore_ascii_case(b"Socket-Type") {
                kind = value.to_vec();
            } else if name.eq_ignore_ascii_case(b"Identity") {
                identity = value.to_vec();
            }
            rest = &after[length + 4 + size..];
        }
        if !self.socket.takes(&kind) {
            return Err(ZmtpError::SocketType);
        }
        Ok(Some(identity))
    }

    fn command(&self, body: &[u8]) -> Result<Option<Got>, ZmtpError> {
        let (&length, rest) = body.split_first().ok_or(ZmtpError::Frame)?;
        let length = usize::from(length);
        let (name, data) = (rest.get(..length).ok_or(ZmtpError::Frame)?, &rest[length..]);
        Ok(match name {
            b"SUBSCRIBE" => Some(Got::Subscribe(true, data.to_vec())),
            b"CANCEL" => Some(Got::Subscribe(false, data.to_vec())),
            // Two bytes of time to live, then the context (RFC 37).
            b"PING" => Some(Got::Ping(data.get(2..).unwrap_or_default().to_vec())),
            _ => None,
        })
    }
}
