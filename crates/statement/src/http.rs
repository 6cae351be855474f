//! HTTP/1.1 messages (RFC 9110 and RFC 9112): an incremental reader for both sides and their writers.
//!
//! The reader takes bytes in any portions and gives whole messages. Everything is bounded by [`Limits`], and what
//! two readers could understand differently is refused, so that no request can be smuggled past another server:
//! two lengths, a length beside a transfer coding, a bare line feed, a folded header, space before a colon.

use std::fmt;
use std::io::Write;

/// Bounds of what a peer may send, in bytes or lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The first line, its end included.
    pub line: usize,
    /// The whole head (first line and headers), trailers too.
    pub head: usize,
    /// Header lines.
    pub headers: usize,
    /// The body after the transfer coding has been taken off.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { line: 8 << 10, head: 64 << 10, headers: 128, body: 1 << 20 }
    }
}

/// What is wrong with a message. The connection cannot go on after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// The first line is longer than [`Limits::line`].
    LineTooLong,
    /// The head is longer than [`Limits::head`], or has more lines than [`Limits::headers`].
    HeadTooLarge,
    /// The body is longer than [`Limits::body`].
    BodyTooLarge,
    /// It is not HTTP, or could be read in two ways.
    Malformed(&'static str),
    /// A version other than HTTP/1.0 and HTTP/1.1.
    Version,
    /// A transfer coding other than chunked (RFC 9112, section 6.1).
    Coding,
    /// The peer closed within a message.
    Truncated,
}

impl HttpError {
    /// The status that tells a client of it (RFC 9110, section 15; RFC 6585 for 431).
    pub fn status(self) -> u16 {
        match self {
            HttpError::LineTooLong => 414,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::Malformed(_) | HttpError::Truncated => 400,
            HttpError::Version => 505,
            HttpError::Coding => 501,
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::LineTooLong => f.write_str("the first line is too long"),
            HttpError::HeadTooLarge => f.write_str("the head is too large"),
            HttpError::BodyTooLarge => f.write_str("the body is too large"),
            HttpError::Malformed(what) => write!(f, "malformed: {what}"),
            HttpError::Version => f.write_str("only HTTP/1.0 and HTTP/1.1 are spoken here"),
            HttpError::Coding => f.write_str("the only transfer coding known here is chunked"),
            HttpError::Truncated => f.write_str("the connection closed within a message"),
        }
    }
}

impl std::error::Error for HttpError {}

/// Header fields in order; names compare without case. Kept in one text, so that a message costs few allocations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    text: String,
    /// For each field: where its name begins and ends, and where its value ends.
    fields: Vec<(u32, u32, u32)>,
}

impl Headers {
    /// The first value of a name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    /// All values of a name, in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    /// Adds a field. Control characters, which could end the line early, become spaces.
    pub fn push(&mut self, name: &str, value: impl AsRef<str>) {
        let value = value.as_ref();
        let from = self.text.len() as u32;
        self.text.push_str(name);
        let named = self.text.len() as u32;
        if value.bytes().any(|b| b.is_ascii_control()) {
            self.text.extend(value.chars().map(|c| if c.is_ascii_control() { ' ' } else { c }));
        } else {
            self.text.push_str(value);
        }
        self.fields.push((from, named, self.text.len() as u32));
    }

    /// All fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        let cut = |a: u32, b: u32| &self.text[a as usize..b as usize];
        self.fields.iter().map(move |&(from, named, end)| (cut(from, named), cut(named, end)))
    }

    fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in self.iter() {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value.as_bytes());
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// The first line of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    /// A request's method and target.
    Request {
        /// The method, as sent.
        method: String,
        /// The target, as sent.
        target: String,
    },
    /// A response's status.
    Response {
        /// The status code.
        status: u16,
    },
}

/// A whole message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The first line.
    pub start: Start,
    /// The header fields.
    pub headers: Headers,
    /// The body, its transfer coding taken off.
    pub body: Vec<u8>,
    /// The connection may carry another message (RFC 9112, section 9.3).
    pub keep_alive: bool,
}

impl Message {
    /// Method and target of a request; empty for a response.
    pub fn request(&self) -> (&str, &str) {
        match &self.start {
            Start::Request { method, target } => (method, target),
            Start::Response { .. } => ("", ""),
        }
    }

    /// The status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        match self.start {
            Start::Response { status } => status,
            Start::Request { .. } => 0,
        }
    }
}

/// Which side's messages are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Requests, as a server reads them.
    Requests,
    /// Responses, as a client reads them.
    Responses,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Start,
    Headers,
    Fixed(usize),
    ChunkSize,
    Chunk(usize),
    ChunkEnd,
    Trailers,
    UntilClose,
    Broken(HttpError),
}

/// An incremental reader of messages. Pipelined messages come out one by one.
#[derive(Debug)]
pub struct Reader {
    side: Side,
    limits: Limits,
    buffer: Vec<u8>,
    /// What of the buffer has been used up.
    used: usize,
    /// How far the buffer has been searched for the end of the current line.
    searched: usize,
    state: State,
    head: usize,
    lines: usize,
    start: Option<Start>,
    minor: u8,
    headers: Headers,
    body: Vec<u8>,
    expects: bool,
}

impl Reader {
    /// A reader of one side's messages.
    pub fn new(side: Side, limits: Limits) -> Self {
        Reader {
            side,
            limits,
            buffer: Vec::new(),
            used: 0,
            searched: 0,
            state: State::Start,
            head: 0,
            lines: 0,
            start: None,
            minor: 1,
            headers: Headers::default(),
            body: Vec::new(),
            expects: false,
        }
    }

    /// Takes bytes in. [`Reader::next`] should be called until it gives nothing before more is fed, which keeps the
    /// buffer within the limits of one line and one read.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.used > 0 && (self.used == self.buffer.len() || self.used > 64 << 10) {
            self.buffer.drain(..self.used);
            self.searched = self.searched.saturating_sub(self.used);
            self.used = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// A message has begun and is not whole yet.
    pub fn is_within(&self) -> bool {
        self.state != State::Start || self.used < self.buffer.len()
    }

    /// Bytes held back for messages that are not whole.
    pub fn held(&self) -> usize {
        self.buffer.len() - self.used + self.body.len()
    }

    /// The memory that is allocated for a message that is not whole, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        let fields = self.headers.fields.capacity() * std::mem::size_of::<(u32, u32, u32)>();
        self.buffer.capacity() + self.body.capacity() + self.headers.text.capacity() + fields
    }

    /// Drops what has come of a message and frees its memory; no further message can be read.
    pub fn abandon(&mut self) {
        self.state = State::Broken(HttpError::Truncated);
        (self.buffer, self.body, self.headers) = Default::default();
        (self.used, self.searched) = (0, 0);
    }

    /// Whether the peer waits for `100 Continue` before it sends its body (RFC 9110, section 10.1.1). Tells so once.
    pub fn expects_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects) && self.held() == 0
    }

    /// The next whole message, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// What is wrong with the message; the same error from then on.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Message>, HttpError> {
        match self.step() {
            Ok(message) => {
                // Many connections may rest between two messages, or wait for the rest of one.
                if self.used == self.buffer.len() {
                    (self.buffer, self.used, self.searched) = (Vec::new(), 0, 0);
                }
                Ok(message)
            }
            Err(error) => {
                self.state = State::Broken(error);
                self.buffer = Vec::new();
                self.body = Vec::new();
                (self.used, self.searched) = (0, 0);
                Err(error)
            }
        }
    }

    /// The peer has closed: a response without a length is whole now.
    ///
    /// # Errors
    /// [`HttpError::Truncated`] if it closed within a message.
    pub fn finish(&mut self) -> Result<Option<Message>, HttpError> {
        match self.state {
            State::UntilClose => Ok(Some(self.whole(false))),
            State::Broken(error) => Err(error),
            _ if self.is_within() => Err(HttpError::Truncated),
            _ => Ok(None),
        }
    }

    fn step(&mut self) -> Result<Option<Message>, HttpError> {
        loop {
            match self.state {
                State::Broken(error) => return Err(error),
                State::Start => {
                    let Some(line) = self.line(self.limits.line, HttpError::LineTooLong)? else {
                        return Ok(None);
                    };
                    if line.is_empty() && self.side == Side::Requests && self.lines == 0 {
                        // An empty line before a request may be passed over (RFC 9112, section 2.2), once.
                        self.lines = 1;
                        continue;
                    }
                    self.head = line.len();
                    self.lines = 0;
                    self.start_line(line)?;
                    self.state = State::Headers;
                }
                State::Headers => {
                    let most = (self.limits.head + 2).saturating_sub(self.head);
                    let Some(line) = self.line(most, HttpError::HeadTooLarge)? else { return Ok(None) };
                    if line.is_empty() {
                        if let Some(message) = self.framing()? {
                            return Ok(Some(message));
                        }
                        continue;
                    }
                    self.count(line.len())?;
                    let (name, value) = field(&self.buffer[line])?;
                    // A tab within a value is kept as a space.
                    self.headers.push(&String::from_utf8_lossy(name), String::from_utf8_lossy(value));
                }
                State::Fixed(left) => {
                    let left = left - self.take(left);
                    self.state = State::Fixed(left);
                    if left > 0 {
                        return Ok(None);
                    }
                    return Ok(Some(self.whole(true)));
                }
                State::ChunkSize => {
                    let Some(line) = self.line(1 << 10, HttpError::Malformed("chunk size line too long"))?
                    else {
                        return Ok(None);
                    };
                    let size = chunk_size(&self.buffer[line])?;
                    if size > self.limits.body - self.body.len() {
                        return Err(HttpError::BodyTooLarge);
                    }
                    self.state = if size == 0 { State::Trailers } else { State::Chunk(size) };
                }
                State::Chunk(left) => {
                    let left = left - self.take(left);
                    self.state = if left > 0 { State::Chunk(left) } else { State::ChunkEnd };
                    if left > 0 {
                        return Ok(None);
                    }
                }
                State::ChunkEnd => {
                    let Some(line) = self.line(2, HttpError::Malformed("chunk longer than its size"))? else {
                        return Ok(None);
                    };
                    if !line.is_empty() {
                        return Err(HttpError::Malformed("chunk longer than its size"));
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailers => {
                    let most = (self.limits.head + 2).saturating_sub(self.head);
                    let Some(line) = self.line(most, HttpError::HeadTooLarge)? else { return Ok(None) };
                    if line.is_empty() {
                        return Ok(Some(self.whole(true)));
                    }
                    // Trailers are checked and dropped: none has a meaning here.
                    self.count(line.len())?;
                    field(&self.buffer[line])?;
                }
                State::UntilClose => {
                    let rest = self.buffer.len() - self.used;
                    if self.body.len() + rest > self.limits.body {
                        return Err(HttpError::BodyTooLarge);
                    }
                    self.take(rest);
                    return Ok(None);
                }
            }
        }
    }

    fn count(&mut self, length: usize) -> Result<(), HttpError> {
        self.head += length + 2;
        self.lines += 1;
        if self.lines > self.limits.headers || self.head > self.limits.head {
            return Err(HttpError::HeadTooLarge);
        }
        Ok(())
    }

    /// Where the next line stands in the buffer, without its CRLF; `most` bounds it with its end.
    fn line(&mut self, most: usize, over: HttpError) -> Result<Option<std::ops::Range<usize>>, HttpError> {
        let from = self.searched.max(self.used);
        let Some(at) = self.buffer[from..].iter().position(|&b| b == b'\n') else {
            self.searched = self.buffer.len();
            return if self.buffer.len() - self.used >= most { Err(over) } else { Ok(None) };
        };
        let end = from + at;
        if end + 1 - self.used > most {
            return Err(over);
        }
        if end == self.used || self.buffer[end - 1] != b'\r' {
            return Err(HttpError::Malformed("a line ends without a carriage return"));
        }
        let line = self.used..end - 1;
        self.used = end + 1;
        self.searched = self.used;
        Ok(Some(line))
    }

    /// Moves up to `most` bytes into the body.
    fn take(&mut self, most: usize) -> usize {
        let n = most.min(self.buffer.len() - self.used);
        self.body.extend_from_slice(&self.buffer[self.used..self.used + n]);
        self.used += n;
        self.searched = self.used;
        n
    }

    fn start_line(&mut self, line: std::ops::Range<usize>) -> Result<(), HttpError> {
        let line = &self.buffer[line];
        let bad = HttpError::Malformed("first line");
        if line.iter().any(|&b| b.is_ascii_control() || b >= 0x80 && self.side == Side::Requests) {
            return Err(bad);
        }
        let text = String::from_utf8_lossy(line);
        if self.side == Side::Requests {
            let mut parts = text.split(' ');
            let (Some(method), Some(target), Some(version), None) =
                (parts.next(), parts.next(), parts.next(), parts.next())
            else {
                return Err(bad);
            };
            if method.is_empty() || !method.bytes().all(is_token) || target.is_empty() {
                return Err(bad);
            }
            self.minor = minor(version)?;
            self.start = Some(Start::Request { method: method.to_owned(), target: target.to_owned() });
        } else {
            let (version, rest) = text.split_once(' ').ok_or(bad)?;
            self.minor = minor(version)?;
            let code = rest.split(' ').next().unwrap_or("");
            if code.len() != 3 || !code.bytes().all(|b| b.is_ascii_digit()) {
                return Err(bad);
            }
            let status = code.parse().map_err(|_| bad)?;
            self.start = Some(Start::Response { status });
        }
        Ok(())
    }

    /// How the body is delimited (RFC 9112, section 6.3).
    fn framing(&mut self) -> Result<Option<Message>, HttpError> {
        let status = match self.start {
            Some(Start::Response { status }) => status,
            _ => 0,
        };
        if status != 0 && status < 200 {
            // An interim response: the real one follows.
            (self.start, self.headers, self.state) = (None, Headers::default(), State::Start);
            return Ok(None);
        }
        let codings: Vec<&str> = self.headers.all("transfer-encoding").collect();
        let lengths: Vec<&str> = self.headers.all("content-length").collect();
        if !codings.is_empty() && !lengths.is_empty() {
            return Err(HttpError::Malformed("both a length and a transfer coding"));
        }
        if lengths.len() > 1 || codings.len() > 1 {
            return Err(HttpError::Malformed("more than one length"));
        }
        if self.side == Side::Requests && self.minor == 1 && self.headers.all("host").count() != 1 {
            return Err(HttpError::Malformed("exactly one Host is needed"));
        }
        let bodiless = status == 204 || status == 304;
        if let Some(coding) = codings.first() {
            if !coding.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Coding);
            }
            if self.minor == 0 {
                return Err(HttpError::Malformed("a transfer coding in HTTP/1.0"));
            }
            self.state = State::ChunkSize;
        } else if let Some(length) = lengths.first() {
            if length.is_empty() || length.len() > 18 || !length.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpError::Malformed("length"));
            }
            let length: usize = length.parse().map_err(|_| HttpError::Malformed("length"))?;
            if length > self.limits.body && !bodiless {
                return Err(HttpError::BodyTooLarge);
            }
            self.state = State::Fixed(length);
        } else if self.side == Side::Requests {
            self.state = State::Fixed(0);
        } else {
            self.state = State::UntilClose;
        }
        if bodiless {
            self.state = State::Fixed(0);
        }
        let asks = self.headers.get("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
        self.expects =
            asks && self.side == Side::Requests && self.minor == 1 && self.state != State::Fixed(0);
        Ok(None)
    }

    fn whole(&mut self, framed: bool) -> Message {
        let headers = std::mem::take(&mut self.headers);
        let mut keep_alive = framed && self.minor == 1;
        for option in headers.all("connection").flat_map(|v| v.split(',')) {
            let option = option.trim();
            if option.eq_ignore_ascii_case("close") {
                keep_alive = false;
            } else if option.eq_ignore_ascii_case("keep-alive") && framed && self.minor == 0 {
                keep_alive = true;
            }
        }
        (self.state, self.head, self.lines, self.expects) = (State::Start, 0, 0, false);
        let start = self.start.take().unwrap_or(Start::Response { status: 0 });
        Message { start, headers, body: std::mem::take(&mut self.body), keep_alive }
    }
}

fn is_token(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}

fn minor(version: &str) -> Result<u8, HttpError> {
    match version {
        "HTTP/1.1" => Ok(1),
        "HTTP/1.0" => Ok(0),
        v if v.starts_with("HTTP/") => Err(HttpError::Version),
        _ => Err(HttpError::Malformed("first line")),
    }
}

/// A header line (RFC 9112, section 5): no folding, no space before the colon, no control characters.
fn field(line: &[u8]) -> Result<(&[u8], &[u8]), HttpError> {
    let colon = line.iter().position(|&b| b == b':').ok_or(HttpError::Malformed("header without a colon"))?;
    let name = &line[..colon];
    if name.is_empty() || !name.iter().copied().all(is_token) {
        return Err(HttpError::Malformed("header name"));
    }
    let value = line[colon + 1..].trim_ascii();
    if value.iter().any(|&b| b != b'\t' && b.is_ascii_control()) {
        return Err(HttpError::Malformed("header value"));
    }
    Ok((name, value))
}

/// A chunk's size; extensions are passed over (RFC 9112, section 7.1).
fn chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let bad = HttpError::Malformed("chunk size");
    let digits = line.split(|&b| b == b';').next().unwrap_or_default().trim_ascii_end();
    if digits.is_empty() || digits.len() > 15 || line.iter().any(|&b| b != b'\t' && b.is_ascii_control()) {
        return Err(bad);
    }
    let text = std::str::from_utf8(digits).map_err(|_| bad)?;
    if !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(bad);
    }
    usize::from_str_radix(text, 16).map_err(|_| bad)
}

/// The usual phrase of a status.
pub fn phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        410 => "Gone",
        413 => "Content Too Large",
        414 => "URI Too Long",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Other",
    }
}

/// Writes a request with its length.
pub fn write_request(out: &mut Vec<u8>, method: &str, target: &str, headers: &Headers, body: &[u8]) {
    let clean = |text: &str| text.chars().filter(|c| c.is_ascii_graphic()).collect::<String>();
    out.extend_from_slice(format!("{} {} HTTP/1.1\r\n", clean(method), clean(target)).as_bytes());
    headers.write(out);
    if !body.is_empty() || method == "POST" || method == "PUT" {
        write!(out, "Content-Length: {}\r\n", body.len()).expect("memory can be written");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Writes a response with its length; `keep_alive` false announces the close.
pub fn write_response(out: &mut Vec<u8>, status: u16, headers: &Headers, body: &[u8], keep_alive: bool) {
    write!(out, "HTTP/1.1 {status} {}\r\n", phrase(status)).expect("memory can be written");
    headers.write(out);
    if status != 204 {
        write!(out, "Content-Length: {}\r\n", body.len()).expect("memory can be written");
    }
    if !keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}
