//! Master files (RFC 1035, section 5; RFC 2308, section 4, for `$TTL`; RFC 3597 for types that are not known). A damaged record is
//! told with its place and costs itself alone.

use std::fmt;

use crate::name::{unescape, Name};
use crate::record::{Data, Record, Soa, Type, IN};
use crate::zone::Zone;

/// How deep files may include each other.
const DEEPEST: usize = 8;

/// A mistake and its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mistake {
    /// The file as it was included, empty for the first one.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong.
    pub text: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.file.is_empty() {
            write!(f, "{}:", self.file)?;
        }
        write!(f, "{}:{}: {}", self.line, self.column, self.text)
    }
}

/// What a file holds.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// Its good records.
    pub records: Vec<Record>,
    /// What is damaged.
    pub mistakes: Vec<Mistake>,
    /// It ends within a bracket, a quoted text or a line: its writer may not have been done.
    pub cut: bool,
}

#[derive(Debug, Clone)]
struct Word {
    text: String,
    quoted: bool,
    line: usize,
    column: usize,
}

/// A line of the file, over brackets.
struct Entry {
    blank: bool,
    words: Vec<Word>,
}

struct Lines<'a> {
    chars: std::iter::Peekable<std::str::Chars<'a>>,
    line: usize,
    column: usize,
    cut: bool,
    mistakes: Vec<(usize, usize, &'static str)>,
}

impl Lines<'_> {
    fn step(&mut self) -> Option<char> {
        let c = self.chars.next()?;
        if c == '\n' {
            (self.line, self.column) = (self.line + 1, 1);
        } else {
            self.column += 1;
        }
        Some(c)
    }

    fn entry(&mut self) -> Option<Entry> {
        self.chars.peek()?;
        let blank = matches!(self.chars.peek(), Some(' ' | '\t'));
        let (mut words, mut depth) = (Vec::new(), 0usize);
        loop {
            let (line, column) = (self.line, self.column);
            let Some(&c) = self.chars.peek() else {
                self.cut |= depth > 0 || !words.is_empty();
                return Some(Entry { blank, words });
            };
            match c {
                '\n' => {
                    self.step();
                    if depth == 0 {
                        return Some(Entry { blank, words });
                    }
                }
                ' ' | '\t' | '\r' => drop(self.step()),
                ';' => {
                    while self.chars.peek().is_some_and(|&c| c != '\n') {
                        self.step();
                    }
                }
                '(' => {
                    self.step();
                    depth += 1;
                }
                ')' => {
                    self.step();
                    match depth.checked_sub(1) {
                        Some(less) => depth = less,
                        None => self.mistakes.push((line, column, "a bracket that closes nothing")),
                    }
                }
                '"' => {
                    self.step();
                    let mut text = String::new();
                    loop {
                        match self.step() {
                            Some('"') => break,
                            Some('\\') => {
                                text.push('\\');
                                text.extend(self.step());
                            }
                            Some('\n') | None => {
                                self.mistakes.push((line, column, "a quoted text without its end"));
                                self.cut |= self.chars.peek().is_none();
                                return Some(Entry { blank, words: Vec::new() });
                            }
                            Some(c) => text.push(c),
                        }
                    }
                    words.push(Word { text, quoted: true, line, column });
                }
                _ => {
                    let mut text = String::new();
                    while let Some(&c) = self.chars.peek() {
                        if matches!(c, ' ' | '\t' | '\r' | '\n' | ';' | '(' | ')' | '"') {
                            break;
                        }
                        self.step();
                        text.push(c);
                        if c == '\\' {
                            text.extend(self.step());
                        }
                    }
                    words.push(Word { text, quoted: false, line, column });
                }
            }
        }
    }
}

/// Reads a file. `include` gives the text of another one by the name that stands in the file, and decides which may be read.
pub fn read(text: &str, origin: &Name, include: &mut dyn FnMut(&str) -> Result<String, String>) -> Reading {
    let mut reading = Reading::default();
    let mut state = State { origin: origin.clone(), owner: None, ttl: None };
    file(text, "", &mut state, include, &mut reading, 0);
    reading
}

struct State {
    origin: Name,
    owner: Option<Name>,
    ttl: Option<u32>,
}

fn file(
    text: &str,
    named: &str,
    state: &mut State,
    include: &mut dyn FnMut(&str) -> Result<String, String>,
    reading: &mut Reading,
    depth: usize,
) {
    let mut lines =
        Lines { chars: text.chars().peekable(), line: 1, column: 1, cut: false, mistakes: Vec::new() };
    let mistake = |word: (usize, usize), text: String| Mistake {
        file: named.to_owned(),
        line: word.0,
        column: word.1,
        text,
    };
    while let Some(entry) = lines.entry() {
        for (line, column, text) in lines.mistakes.drain(..) {
            reading.mistakes.push(mistake((line, column), text.to_owned()));
        }
        let Some(first) = entry.words.first() else { continue };
        let place = (first.line, first.column);
        let directive =
            (!first.quoted && first.text.starts_with('$')).then(|| first.text.to_ascii_uppercase());
        let outcome = match directive.as_deref() {
            Some("$ORIGIN") => match entry.words.get(1) {
                Some(word) => Name::parse(&word.text, &state.origin)
                    .map(|origin| state.origin = origin)
                    .map_err(|e| ((word.line, word.column), e.to_string())),
                None => Err((place, "$ORIGIN needs a name".into())),
            },
            Some("$TTL") => match entry.words.get(1).and_then(|w| span(&w.text)) {
                Some(ttl) => {
                    state.ttl = Some(ttl);
                    Ok(())
                }
                None => Err((place, "$TTL needs a span".into())),
            },
            Some("$INCLUDE") => match entry.words.get(1) {
                Some(_) if depth + 1 >= DEEPEST => Err((place, "files include each other too deeply".into())),
                Some(word) => match include(&word.text) {
                    Ok(text) => {
                        // Origin and owner are as before after it (RFC 1035, section 5.1).
                        let mut inner = State {
                            origin: state.origin.clone(),
                            owner: state.owner.clone(),
                            ttl: state.ttl,
                        };
                        let origin = entry.words.get(2).map(|w| Name::parse(&w.text, &state.origin));
                        match origin.transpose() {
                            Ok(origin) => {
                                inner.origin = origin.unwrap_or(inner.origin);
                                file(&text, &word.text, &mut inner, include, reading, depth + 1);
                                Ok(())
                            }
                            Err(e) => Err((place, e.to_string())),
                        }
                    }
                    Err(why) => Err(((word.line, word.column), format!("{}: {why}", word.text))),
                },
                None => Err((place, "$INCLUDE needs a file".into())),
            },
            Some(other) => Err((place, format!("{other} is not known"))),
            None => record(&entry, state).map(|record| reading.records.push(record)),
        };
        if let Err((place, why)) = outcome {
            reading.mistakes.push(mistake(place, why));
        }
    }
    for (line, column, text) in lines.mistakes.drain(..) {
        reading.mistakes.push(mistake((line, column), text.to_owned()));
    }
    reading.cut |= lines.cut;
}

/// Seconds, or a span as `1h30m`.
fn span(text: &str) -> Option<u32> {
    let (mut all, mut number) = (0u32, None::<u32>);
    for c in text.chars() {
        match c.to_digit(10) {
            Some(d) => number = Some(number.unwrap_or(0).checked_mul(10)?.checked_add(d)?),
            None => {
                let unit = match c.to_ascii_lowercase() {
                    's' => 1,
                    'm' => 60,
                    'h' => 3600,
                    'd' => 86_400,
                    'w' => 604_800,
                    _ => return None,
                };
                all = all.checked_add(number.take()?.checked_mul(unit)?)?;
            }
        }
    }
    match number {
        Some(rest) => all.checked_add(rest),
        None if text.is_empty() => None,
        None => Some(all),
    }
}

type Wrong = ((usize, usize), String);

fn record(entry: &Entry, state: &mut State) -> Result<Record, Wrong> {
    let mut words = entry.words.iter().peekable();
    let first = words.peek().map_or((0, 0), |w| (w.line, w.column));
    let name = if entry.blank {
        state.owner.clone().ok_or((first, "no owner: none stands before this record".to_owned()))?
    } else {
        let word = words.next().ok_or((first, "a record without a name".to_owned()))?;
        let name = Name::parse(&word.text, &state.origin);
        name.map_err(|e| ((word.line, word.column), e.to_string()))?
    };
    // Whatever becomes of the rest, the next lines that begin with a blank are this owner's.
    state.owner = Some(name.clone());
    let (mut ttl, mut class) = (None, false);
    let kind = loop {
        let word = words.next().ok_or((first, "a record without a type".to_owned()))?;
        let place = (word.line, word.column);
        let number = span(&word.text).filter(|_| word.text.as_bytes()[0].is_ascii_digit());
        if let (Some(span), None) = (number, ttl) {
            ttl = Some(span);
        } else if !class && (word.text.eq_ignore_ascii_case("IN") || word.text.eq_ignore_ascii_case("CLASS1"))
        {
            class = true;
        } else if ["CH", "HS", "CS"].iter().any(|c| word.text.eq_ignore_ascii_case(c)) {
            return Err((place, format!("class {} is not served here", word.text)));
        } else {
            break Type::parse(&word.text).ok_or((place, format!("{} is no type of record", word.text)))?;
        }
    };
    let rest: Vec<&Word> = words.collect();
    let place = rest.first().map_or(first, |w| (w.line, w.column));
    let data = data(kind, &rest, &state.origin).map_err(|(at, why)| {
        let place = rest.get(at).map_or(place, |w| (w.line, w.column));
        (place, format!("{kind}: {why}"))
    })?;
    let minimum = if let Data::Soa(soa) = &data { Some(soa.minimum) } else { None };
    let ttl = ttl.or(state.ttl).or(minimum).ok_or((first, "no TTL, and no $TTL before it".to_owned()))?;
    if minimum.is_some() && state.ttl.is_none() {
        state.ttl = Some(ttl);
    }
    Ok(Record { name, class: IN, ttl, data })
}

/// Reads data; a mistake comes with the number of its word.
fn data(kind: Type, words: &[&Word], origin: &Name) -> Result<Data, (usize, String)> {
    let need = |n: usize, what: &str| match words.len().cmp(&n) {
        std::cmp::Ordering::Equal => Ok(()),
        std::cmp::Ordering::Less => Err((words.len().saturating_sub(1), format!("expected {what}"))),
        std::cmp::Ordering::Greater => Err((n, "more than belongs there".to_owned())),
    };
    let name = |i: usize| Name::parse(&words[i].text, origin).map_err(|e| (i, e.to_string()));
    let number = |i: usize| {
        words[i].text.parse::<u16>().map_err(|_| (i, format!("{} is no number up to 65535", words[i].text)))
    };
    let spans = |i: usize| span(&words[i].text).ok_or((i, format!("{} is no span", words[i].text)));
    if words.first().is_some_and(|w| w.text == "\\#" && !w.quoted) {
        return unknown(kind, words);
    }
    match kind {
        Type::A => {
            need(1, "an address")?;
            words[0]
                .text
                .parse()
                .map(Data::A)
                .map_err(|_| (0, format!("{} is no IPv4 address", words[0].text)))
        }
        Type::AAAA => {
            need(1, "an address")?;
            words[0]
                .text
                .parse()
                .map(Data::Aaaa)
                .map_err(|_| (0, format!("{} is no IPv6 address", words[0].text)))
        }
        Type::NS => need(1, "a name").and_then(|()| name(0)).map(Data::Ns),
        Type::CNAME => need(1, "a name").and_then(|()| name(0)).map(Data::Cname),
        Type::SOA => {
            need(7, "a server, a mailbox, a serial and four spans")?;
            let serial = words[2].text.parse().map_err(|_| (2, format!("{} is no serial", words[2].text)))?;
            let (server, mailbox) = (name(0)?, name(1)?);
            let (refresh, retry, expire, minimum) = (spans(3)?, spans(4)?, spans(5)?, spans(6)?);
            Ok(Data::Soa(Soa { server, mailbox, serial, refresh, retry, expire, minimum }))
        }
        Type::TXT => {
            if words.is_empty() {
                return Err((0, "expected a text".into()));
            }
            let texts = words.iter().enumerate().map(|(i, w)| octets(&w.text, 255).map_err(|e| (i, e)));
            texts.collect::<Result<_, _>>().map(Data::Txt)
        }
        Type::SRV => {
            need(4, "priority, weight, port and host")?;
            Ok(Data::Srv { priority: number(0)?, weight: number(1)?, port: number(2)?, target: name(3)? })
        }
        Type::SVCB => {
            if words.len() < 2 {
                return Err((words.len().saturating_sub(1), "expected priority and host".into()));
            }
            let mut parameters = Vec::new();
            let mut at = 2;
            while at < words.len() {
                let (key, value) = words[at].text.split_once('=').unwrap_or((&words[at].text, ""));
                let number = parameter(key).ok_or((at, format!("{key} is no parameter")))?;
                // key="a text" comes as two words.
                let quoted = words.get(at + 1).filter(|w| w.quoted && words[at].text.ends_with('='));
                let value = quoted.map_or(value, |w| w.text.as_str());
                let value = if key == "port" {
                    let port = value.parse::<u16>().map_err(|_| (at, format!("{value} is no port")))?;
                    port.to_be_bytes().to_vec()
                } else {
                    octets(value, 65_535).map_err(|e| (at, e))?
                };
                parameters.push((number, value));
                at += 1 + usize::from(quoted.is_some());
            }
            parameters.sort();
            if parameters.windows(2).any(|p| p[0].0 == p[1].0) {
                return Err((2, "a parameter stands twice".into()));
            }
            Ok(Data::Svcb { priority: number(0)?, target: name(1)?, parameters })
        }
        other => Err((0, format!("{other} is not known: write its data as \\# LENGTH HEX"))),
    }
}

/// Parameters by name (RFC 9460, section 14.3.2).
fn parameter(text: &str) -> Option<u16> {
    match text {
        "port" => Some(3),
        _ => text.strip_prefix("key").and_then(|n| n.parse().ok()),
    }
}

fn octets(text: &str, most: usize) -> Result<Vec<u8>, String> {
    let (mut out, mut bytes) = (Vec::with_capacity(text.len()), text.bytes().peekable());
    while let Some(b) = bytes.next() {
        out.push(if b == b'\\' {
            unescape(&mut bytes).ok_or("a backslash that escapes nothing")?
        } else {
            b
        });
    }
    if out.len() > most {
        return Err(format!("a text of over {most} octets"));
    }
    Ok(out)
}

fn unknown(kind: Type, words: &[&Word]) -> Result<Data, (usize, String)> {
    let size: usize =
        words.get(1).and_then(|w| w.text.parse().ok()).ok_or((0, "\\# needs a length".to_owned()))?;
    let hex: String = words[2..].iter().map(|w| w.text.as_str()).collect();
    if hex.len() % 2 > 0 || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err((2, "octets are written as pairs of hexadecimal digits".into()));
    }
    let raw: Vec<u8> =
        (0..hex.len()).step_by(2).filter_map(|i| u8::from_str_radix(&hex[i..i + 2], 16).ok()).collect();
    if raw.len() != size {
        return Err((1, format!("{size} octets are told and {} are there", raw.len())));
    }
    // Also a known type may be written so (RFC 3597, section 5).
    Data::read(kind, &raw, 0, raw.len()).map_err(|e| (2, e.to_string()))
}

/// A zone of the good records of a reading; what does not fit in it is a mistake of the whole file, without a place.
pub fn zone(origin: &Name, reading: &Reading) -> (Zone, Vec<String>) {
    let mut zone = Zone::new(origin.clone());
    let mut wrong = Vec::new();
    for record in &reading.records {
        if let Err(why) = zone.add(&record.name, record.ttl, record.data.clone()) {
            wrong.push(format!("{record}: {why}"));
        }
    }
    (zone, wrong)
}
