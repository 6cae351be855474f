//! Domain names.

use std::fmt;

/// Octets of a name on the wire, its root label included (RFC 1035, section 2.3.4).
pub const LONGEST: usize = 255;
/// Octets of a label.
pub const LABEL: usize = 63;

/// A name: its labels as on the wire, without compression, in lower case. The spelling of the client is not kept: names are equal
/// without regard to case (RFC 4343), and here they are looked up more often than shown.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Name {
    wire: Box<[u8]>,
}

/// Why a name cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameError {
    /// Over 255 octets.
    TooLong,
    /// A label of no octets, or of over 63.
    Label,
    /// A backslash that escapes nothing.
    Escape,
    /// It ends in the middle.
    Short,
    /// A pointer that does not lead backwards, or a kind of label that is not known.
    Pointer,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NameError::TooLong => "a name of over 255 octets",
            NameError::Label => "an empty label, or one of over 63 octets",
            NameError::Escape => "a backslash that escapes nothing",
            NameError::Short => "a name that ends in the middle",
            NameError::Pointer => "a compressed name that leads nowhere",
        })
    }
}

impl std::error::Error for NameError {}

impl Name {
    /// The root.
    pub fn root() -> Name {
        Name { wire: Box::new([0]) }
    }

    /// Of labels.
    ///
    /// # Errors
    /// See [`NameError`].
    pub fn from_labels<'a>(labels: impl IntoIterator<Item = &'a [u8]>) -> Result<Name, NameError> {
        let mut wire = Vec::with_capacity(32);
        for label in labels {
            if label.is_empty() || label.len() > LABEL {
                return Err(NameError::Label);
            }
            wire.push(label.len() as u8);
            wire.extend(label.iter().map(u8::to_ascii_lowercase));
        }
        wire.push(0);
        if wire.len() > LONGEST {
            return Err(NameError::TooLong);
        }
        Ok(Name { wire: wire.into() })
    }

    /// Reads text as master files write it (RFC 1035, section 5.1); without a dot at its end it is under `origin`.
    ///
    /// # Errors
    /// See [`NameError`].
    pub fn parse(text: &str, origin: &Name) -> Result<Name, NameError> {
        if text == "@" {
            return Ok(origin.clone());
        }
        if text == "." {
            return Ok(Name::root());
        }
        let (mut labels, mut label) = (Vec::new(), Vec::new());
        let mut bytes = text.bytes().peekable();
        let mut absolute = false;
        while let Some(b) = bytes.next() {
            match b {
                b'.' => {
                    labels.push(std::mem::take(&mut label));
                    absolute = bytes.peek().is_none();
                }
                b'\\' => label.push(unescape(&mut bytes).ok_or(NameError::Escape)?),
                b => label.push(b),
            }
        }
        if !absolute {
            labels.push(label);
        }
        let own = labels.iter().map(Vec::as_slice);
        if absolute {
            Name::from_labels(own)
        } else {
            Name::from_labels(own.chain(origin.labels()))
        }
    }

    /// The labels, the first one first, without the root's.
    pub fn labels(&self) -> impl DoubleEndedIterator<Item = &[u8]> {
        let mut all = Vec::new();
        let mut rest = &self.wire[..];
        while let Some((&size, more)) = rest.split_first().filter(|(&size, _)| size > 0) {
            let (label, after) = more.split_at(usize::from(size));
            all.push(label);
            rest = after;
        }
        all.into_iter()
    }

    /// As on the wire, without compression.
    pub fn wire(&self) -> &[u8] {
        &self.wire
    }

    /// Whether it is `other` or under it.
    pub fn is_within(&self, other: &Name) -> bool {
        let tail = self.wire.len().checked_sub(other.wire.len());
        // The tail must begin at a label.
        tail.is_some_and(|at| self.wire[at..] == *other.wire && (at == 0 || self.starts().any(|s| s == at)))
    }

    fn starts(&self) -> impl Iterator<Item = usize> + '_ {
        let mut at = 0;
        std::iter::from_fn(move || {
            let size = usize::from(*self.wire.get(at)?);
            let here = at;
            at += size + 1;
            Some(here)
        })
    }

    /// Reads a name of a message, where pointers may lead backwards (RFC 1035, section 4.1.4); also where it ends.
    ///
    /// # Errors
    /// See [`NameError`].
    pub fn read(message: &[u8], mut at: usize) -> Result<(Name, usize), NameError> {
        let (mut wire, mut end, mut lowest) = (Vec::with_capacity(32), None, at);
        loop {
            let size = *message.get(at).ok_or(NameError::Short)?;
            match size {
                0 => break,
                1..=63 => {
                    let label = message.get(at + 1..at + 1 + usize::from(size)).ok_or(NameError::Short)?;
                    wire.push(size);
                    wire.extend(label.iter().map(u8::to_ascii_lowercase));
                    if wire.len() >= LONGEST {
                        return Err(NameError::TooLong);
                    }
                    at += 1 + usize::from(size);
                }
                0xc0.. => {
                    let low = *message.get(at + 1).ok_or(NameError::Short)?;
                    end.get_or_insert(at + 2);
                    let to = usize::from(size & 0x3f) << 8 | usize::from(low);
                    // Only ever further back: no loop can be written.
                    if to >= lowest {
                        return Err(NameError::Pointer);
                    }
                    (at, lowest) = (to, to);
                }
                _ => return Err(NameError::Pointer),
            }
        }
        wire.push(0);
        Ok((Name { wire: wire.into() }, end.unwrap_or(at + 1)))
    }
}

/// What a backslash of a master file stands for: three digits of an octet, or the next character itself.
pub(crate) fn unescape(bytes: &mut std::iter::Peekable<std::str::Bytes<'_>>) -> Option<u8> {
    let first = bytes.next()?;
    if !first.is_ascii_digit() {
        return Some(first);
    }
    let mut value = u32::from(first - b'0');
    for _ in 0..2 {
        let digit = bytes.next().filter(u8::is_ascii_digit)?;
        value = value * 10 + u32::from(digit - b'0');
    }
    u8::try_from(value).ok()
}

/// Canonical order (RFC 4034, section 6.1): by labels from the root down.
impl Ord for Name {
    fn cmp(&self, other: &Name) -> std::cmp::Ordering {
        self.labels().rev().cmp(other.labels().rev())
    }
}

impl PartialOrd for Name {
    fn partial_cmp(&self, other: &Name) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.wire.len() == 1 {
            return f.write_str(".");
        }
        for label in self.labels() {
            for &b in label {
                match b {
                    b'.' | b'\\' | b'"' | b';' | b'(' | b')' | b'@' | b'$' => write!(f, "\\{}", b as char)?,
                    0x21..=0x7e => write!(f, "{}", b as char)?,
                    _ => write!(f, "\\{b:03}")?,
                }
            }
            f.write_str(".")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
