//! Datagrams: their layout, their signatures and their bounds.
//!
//! `version 1 | key 4 | instance_id 8 | number 8 | sender | kind and its fields | records | addressee 4 | code 16`, integers big-endian, texts
//! with one octet of length. A record has its length before it: what a newer format adds at its end is passed over, and
//! what an older one leaves out reads as nothing told.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use hmac::Mac;
pub use violetward_transport::{mark, Key, Keys};

/// Octets of a datagram at most: it passes every usual path whole.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The format that this code writes. Any format from 1 on has the same head.
pub const FORMAT_VERSION: u8 = 1;
/// Octets of a name or a site.
pub const MAX_NAME_BYTES: usize = 48;
/// Classes whose demand a record tells.
pub const MAX_DEMAND_CLASSES: usize = 8;
/// Bad links that a record tells.
pub const MAX_CUT_LINKS: usize = 4;
/// Parts of the state whose digests are compared on their own.
pub const DIGEST_BUCKETS: usize = 16;
/// Octets that [`Kind::Payload`] has room for.
pub const MAX_PAYLOAD_BYTES: usize = 1_000;
/// Octets of the code.
const MAC_BYTES: usize = 16;

fn seal(keys: &Keys, out: &mut Vec<u8>) {
    let code = keys.first().code(&[out]).finalize().into_bytes();
    out.extend_from_slice(&code[..MAC_BYTES]);
}

fn open<'a>(keys: &Keys, bytes: &'a [u8]) -> Result<&'a [u8], Rejection> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Rejection::Oversized);
    }
    let at = bytes.len().checked_sub(MAC_BYTES).filter(|&at| at >= 5).ok_or(Rejection::Malformed)?;
    let (body, code) = bytes.split_at(at);
    let id = u32::from_be_bytes(body[1..5].try_into().map_err(|_| Rejection::Malformed)?);
    let mut known = keys.marked(id).peekable();
    if known.peek().is_none() {
        return Err(Rejection::UnknownKey);
    }
    let good = known.any(|key| key.code(&[body]).verify_truncated_left(code).is_ok());
    good.then_some(body).ok_or(Rejection::Forged)
}

/// Why a datagram is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// It is cut off, or what it says does not fit.
    Malformed,
    /// It is longer than any of ours.
    Oversized,
    /// Its key is not known here.
    UnknownKey,
    /// Its code does not fit.
    Forged,
    /// It was seen before, or is too old to tell.
    Replayed,
    /// Its sender has not proved yet that this instance_id of it goes on.
    Unverified,
}

/// What is believed of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It lives.
    Alive,
    /// Somebody got no answer of it.
    Suspect,
    /// Nobody got an answer for the whole time of suspicion.
    Dead,
    /// It said good-bye.
    Left,
}

/// What a gateway's clients ask for: work by class, in core milliseconds a second, each to within a fifth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand(pub [u8; MAX_DEMAND_CLASSES]);

impl Demand {
    /// From work by class; classes beyond the last place are added there.
    pub fn from_work(work: &[f64]) -> Self {
        let mut sums = [0.0; MAX_DEMAND_CLASSES];
        for (class, work) in work.iter().enumerate() {
            sums[class.min(MAX_DEMAND_CLASSES - 1)] += work.max(0.0);
        }
        // Quarters of powers of two from 1 ms on; 0 is nothing.
        Demand(sums.map(|w| if w < 1.0 { 0 } else { (w.log2() * 4.0).round().clamp(0.0, 254.0) as u8 + 1 }))
    }

    /// Work of a class.
    pub fn work_of_class(&self, class: usize) -> f64 {
        match self.0.get(class) {
            None | Some(0) => 0.0,
            Some(&code) => (f64::from(code - 1) / 4.0).exp2(),
        }
    }

    /// Work of all classes.
    pub fn total(&self) -> f64 {
        (0..MAX_DEMAND_CLASSES).map(|class| self.work_of_class(class)).sum()
    }
}

/// A direction in which a link is known to be cut, as its owner sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CutLink {
    /// The mark of the other's name.
    pub peer_hash: u32,
    /// What the owner says does not come there; else what the other says does not come here.
    pub outbound: bool,
}

/// What is told of a member.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Its name.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Which process of that name: drawn at its start.
    pub instance_id: u64,
    /// Counts its own statements on whether it lives: the higher one holds.
    pub incarnation: u32,
    /// What is believed.
    pub state: State,
    /// The mark of the name of the one who suspects it.
    pub accuser: u32,
    /// Counts what it tells of itself beyond that.
    pub metadata_version: u32,
    /// What its clients ask for.
    pub demand: Demand,
    /// Links of its own that are cut.
    pub cuts: Vec<CutLink>,
}

impl Record {
    /// What decides which of two records of one name holds.
    pub fn precedence(&self) -> (u32, State, u64) {
        (self.incarnation, self.state, self.instance_id)
    }
}

/// What a datagram says beside its records.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// Do you hear me?
    Ping(u32),
    /// I do; and whether something came from you directly of late.
    Ack(u32, bool),
    /// Please ask that member for me.
    ProbeRequest(u32, String),
    /// A ping for another: whom for.
    RelayedPing(u32, String),
    /// The answer to that: whom for, and whether something came from there directly of late.
    RelayedAck(u32, String, bool),
    /// What became of an [`Kind::ProbeRequest`]: no answer yet, or one, with what it said.
    ProbeReport(u32, Option<bool>),
    /// Prove that you are not an echo.
    Challenge(u64),
    /// The proof.
    ChallengeResponse(u64),
    /// Digests of the whole state, part by part, and whether the other's are wanted.
    Digest([u32; DIGEST_BUCKETS], bool),
    /// Records alone.
    Records,
    /// Something that is not membership's own, for what stands on it; and the mark of the name of whom it is for, 0 where an older
    /// format does not tell it.
    Payload(Vec<u8>, u32),
}

/// A datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Datagram {
    /// Who sends it.
    pub from: String,
    /// Which process of that name.
    pub instance_id: u64,
    /// Its number there, from 1.
    pub number: u64,
    /// What it says.
    pub kind: Kind,
    /// What it tells of members.
    pub records: Vec<Record>,
}

fn text(out: &mut Vec<u8>, text: &str) {
    let cut = &text.as_bytes()[..text.len().min(MAX_NAME_BYTES)];
    out.push(cut.len() as u8);
    out.extend_from_slice(cut);
}

fn record(out: &mut Vec<u8>, r: &Record) {
    let start = out.len();
    out.push(0);
    text(out, &r.name);
    text(out, &r.site);
    match r.address.ip() {
        IpAddr::V4(ip) => {
            out.push(4);
            out.extend_from_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            out.push(6);
            out.extend_from_slice(&ip.octets());
        }
    }
    out.extend_from_slice(&r.address.port().to_be_bytes());
    out.extend_from_slice(&r.instance_id.to_be_bytes());
    out.extend_from_slice(&r.incarnation.to_be_bytes());
    out.push(r.state as u8);
    out.extend_from_slice(&r.accuser.to_be_bytes());
    out.extend_from_slice(&r.metadata_version.to_be_bytes());
    // Classes at the end that nobody asks for are not told.
    let told = MAX_DEMAND_CLASSES - r.demand.0.iter().rev().take_while(|&&code| code == 0).count();
    out.push(told as u8);
    out.extend_from_slice(&r.demand.0[..told]);
    let cuts = &r.cuts[..r.cuts.len().min(MAX_CUT_LINKS)];
    out.push(cuts.len() as u8);
    for cut in cuts {
        out.extend_from_slice(&cut.peer_hash.to_be_bytes());
        out.push(u8::from(cut.outbound));
    }
    out[start] = (out.len() - start - 1) as u8;
}

impl Datagram {
    /// Writes it, signed. Records that find no room are left out; gives how many there are in it.
    pub fn seal(&self, keys: &Keys, out: &mut Vec<u8>) -> usize {
        out.clear();
        out.push(FORMAT_VERSION);
        out.extend_from_slice(&mark(&keys.first().name).to_be_bytes());
        out.extend_from_slice(&self.instance_id.to_be_bytes());
        out.extend_from_slice(&self.number.to_be_bytes());
        text(out, &self.from);
        let probe = |out: &mut Vec<u8>, kind: u8, probe: u32| {
            out.push(kind);
            out.extend_from_slice(&probe.to_be_bytes());
        };
        match &self.kind {
            Kind::Ping(n) => probe(out, 1, *n),
            Kind::Ack(n, hears) => {
                probe(out, 2, *n);
                out.push(u8::from(*hears));
            }
            Kind::ProbeRequest(n, target) => {
                probe(out, 3, *n);
                text(out, target);
            }
            Kind::RelayedPing(n, origin) => {
                probe(out, 4, *n);
                text(out, origin);
            }
            Kind::RelayedAck(n, origin, hears) => {
                probe(out, 5, *n);
                text(out, origin);
                out.push(u8::from(*hears));
            }
            Kind::ProbeReport(n, hears) => {
                probe(out, 6, *n);
                out.push(hears.map_or(2, u8::from));
            }
            Kind::Challenge(nonce) | Kind::ChallengeResponse(nonce) => {
                out.push(if matches!(self.kind, Kind::Challenge(_)) { 7 } else { 8 });
                out.extend_from_slice(&nonce.to_be_bytes());
            }
            Kind::Digest(parts, wanted) => {
                out.push(9);
                out.push(u8::from(*wanted));
                parts.iter().for_each(|part| out.extend_from_slice(&part.to_be_bytes()));
            }
            Kind::Records => out.push(10),
            Kind::Payload(bytes, _) => {
                out.push(11);
                out.extend_from_slice(&(bytes.len() as u16).to_be_bytes());
                out.extend_from_slice(bytes);
            }
        }
        let count = out.len();
        out.push(0);
        let mut told = 0;
        for r in self.records.iter().take(255) {
            let before = out.len();
            record(out, r);
            if out.len() + MAC_BYTES > MAX_DATAGRAM_BYTES {
                out.truncate(before);
                break;
            }
            told += 1;
        }
        out[count] = told as u8;
        if let Kind::Payload(_, to) = self.kind {
            out.extend_from_slice(&to.to_be_bytes());
        }
        seal(keys, out);
        told
    }

    /// Reads one; `None` for a kind that this format does not know, signed by a newer member.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn open(keys: &Keys, bytes: &[u8]) -> Result<Option<Datagram>, Rejection> {
        let body = open(keys, bytes)?;
        let mut c = Cursor(body);
        read(&mut c).ok_or(Rejection::Malformed)
    }
}

struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(taken)
    }

    fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }

    fn u16(&mut self) -> Option<u16> {
        self.take(2)?.try_into().ok().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.take(4)?.try_into().ok().map(u32::from_be_bytes)
    }

    fn u64(&mut self) -> Option<u64> {
        self.take(8)?.try_into().ok().map(u64::from_be_bytes)
    }

    fn text(&mut self) -> Option<String> {
        let n = self.u8()? as usize;
        let text = std::str::from_utf8(self.take(n)?).ok()?;
        (n <= MAX_NAME_BYTES).then(|| text.to_owned())
    }
}

fn read(c: &mut Cursor<'_>) -> Option<Option<Datagram>> {
    let version = c.u8()?;
    c.u32()?;
    let (instance_id, number, from) = (c.u64()?, c.u64()?, c.text()?);
    let mut kind = match c.u8()? {
        1 => Kind::Ping(c.u32()?),
        2 => Kind::Ack(c.u32()?, c.u8()? == 1),
        3 => Kind::ProbeRequest(c.u32()?, c.text()?),
        4 => Kind::RelayedPing(c.u32()?, c.text()?),
        5 => Kind::RelayedAck(c.u32()?, c.text()?, c.u8()? == 1),
        6 => {
            let (probe, hears) = (c.u32()?, c.u8()?);
            Kind::ProbeReport(probe, (hears < 2).then_some(hears == 1))
        }
        7 => Kind::Challenge(c.u64()?),
        8 => Kind::ChallengeResponse(c.u64()?),
        9 => {
            let wanted = c.u8()? == 1;
            let mut parts = [0; DIGEST_BUCKETS];
            for part in &mut parts {
                *part = c.u32()?;
            }
            Kind::Digest(parts, wanted)
        }
        10 => Kind::Records,
        11 => {
            let n = c.u16()? as usize;
            Kind::Payload(c.take(n)?.to_vec(), 0)
        }
        _ => return Some(None),
    };
    if version == 0 || from.is_empty() {
        return None;
    }
    let count = c.u8()?;
    let mut records = Vec::new();
    for _ in 0..count {
        let n = c.u8()? as usize;
        let mut c = Cursor(c.take(n)?);
        records.push(read_record(&mut c)?);
    }
    if let Kind::Payload(_, to) = &mut kind {
        *to = c.u32().unwrap_or(0);
    }
    Some(Some(Datagram { from, instance_id, number, kind, records }))
}

fn read_record(c: &mut Cursor<'_>) -> Option<Record> {
    let (name, site) = (c.text()?, c.text()?);
    let ip: IpAddr = match c.u8()? {
        4 => Ipv4Addr::from(<[u8; 4]>::try_from(c.take(4)?).ok()?).into(),
        6 => Ipv6Addr::from(<[u8; 16]>::try_from(c.take(16)?).ok()?).into(),
        _ => return None,
    };
    let address = SocketAddr::new(ip, c.u16()?);
    let (instance_id, incarnation) = (c.u64()?, c.u32()?);
    let state = match c.u8()? {
        0 => State::Alive,
        1 => State::Suspect,
        2 => State::Dead,
        3 => State::Left,
        _ => return None,
    };
    let (accuser, metadata_version) = (c.u32()?, c.u32()?);
    // From here on an older format tells nothing.
    let mut demand = Demand::default();
    let told = c.u8().unwrap_or(0) as usize;
    for class in 0..told {
        let code = c.u8()?;
        if let Some(place) = demand.0.get_mut(class) {
            *place = code;
        }
    }
    let mut cuts = Vec::new();
    for _ in 0..c.u8().unwrap_or(0) {
        let cut = CutLink { peer_hash: c.u32()?, outbound: c.u8()? == 1 };
        if cuts.len() < MAX_CUT_LINKS {
            cuts.push(cut);
        }
    }
    (!name.is_empty()).then_some(Record {
        name,
        site,
        address,
        instance_id,
        incarnation,
        state,
        accuser,
        metadata_version,
        demand,
        cuts,
    })
}
