//! Encoding and authentication of datagrams.
//!
//! The layout, with sizes in bytes, is
//! `version 1 | key 4 | instance id 8 | number 8 | sender | kind, fields | records | recipient 4 | MAC 16`.
//! Integers are big-endian and strings have a one-byte length prefix. Only [`Kind::Payload`] has a recipient.
//! Each record has a length prefix too: a reader skips fields that a newer format appends to a record, and
//! uses defaults for those that an older format lacks.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use hmac::Mac;
pub use violetward_transport::{name_hash, Key, Keys};

/// Maximum size of a datagram; it fits the MTU of common network paths, so that datagrams are not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Format version that this code writes. The header is the same in all versions from 1 on.
pub const FORMAT_VERSION: u8 = 1;
/// Maximum length of a member's name or site.
pub const MAX_NAME_BYTES: usize = 48;
/// Number of request classes whose demand a record carries.
pub const MAX_DEMAND_CLASSES: usize = 8;
/// Maximum number of cut links that a record lists.
pub const MAX_CUT_LINKS: usize = 4;
/// Number of buckets into which members are hashed; each bucket has a digest of its own.
pub const DIGEST_BUCKETS: usize = 16;
/// Maximum size of the application data in a [`Kind::Payload`].
pub const MAX_PAYLOAD_BYTES: usize = 1_000;
/// Size of the truncated message authentication code.
const MAC_BYTES: usize = 16;

fn sign(keys: &Keys, out: &mut Vec<u8>) {
    let code = keys.signing_key().mac(&[out]).finalize().into_bytes();
    out.extend_from_slice(&code[..MAC_BYTES]);
}

fn verify<'a>(keys: &Keys, bytes: &'a [u8]) -> Result<&'a [u8], Rejection> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Rejection::Oversized);
    }
    let at = bytes.len().checked_sub(MAC_BYTES).filter(|&at| at >= 5).ok_or(Rejection::Malformed)?;
    let (body, code) = bytes.split_at(at);
    let id = u32::from_be_bytes(body[1..5].try_into().map_err(|_| Rejection::Malformed)?);
    let mut candidates = keys.with_id(id).peekable();
    if candidates.peek().is_none() {
        return Err(Rejection::UnknownKey);
    }
    let valid = candidates.any(|key| key.mac(&[body]).verify_truncated_left(code).is_ok());
    valid.then_some(body).ok_or(Rejection::Forged)
}

/// Why a datagram is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// It is truncated or cannot be decoded.
    Malformed,
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    Oversized,
    /// It is signed with a key that is not configured here.
    UnknownKey,
    /// Its authentication code does not match.
    Forged,
    /// It is a duplicate, or older than the replay window, or it answers no pending challenge, or it is
    /// addressed to another member.
    Replayed,
    /// Its sender has not yet answered a challenge, so it may be a replay from an earlier process.
    Unverified,
}

/// Liveness state of a member. The order matters: at equal incarnations the higher state takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers probes, or nobody has reported otherwise.
    Alive,
    /// A probe of it failed at some member.
    Suspect,
    /// The suspicion time-out expired without a refutation.
    Dead,
    /// It left the group in an orderly way.
    Left,
}

/// Load offered by a gateway's clients, by class, in core milliseconds per second. The encoding is
/// logarithmic, with an error below 20 %.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand(pub [u8; MAX_DEMAND_CLASSES]);

impl Demand {
    /// Encodes the offered work of each class; classes beyond the last slot are added to it.
    pub fn from_work(work: &[f64]) -> Self {
        let mut sums = [0.0; MAX_DEMAND_CLASSES];
        for (class, work) in work.iter().enumerate() {
            sums[class.min(MAX_DEMAND_CLASSES - 1)] += work.max(0.0);
        }
        // Code c > 0 stands for 2^((c - 1) / 4) core milliseconds per second; 0 stands for less than 1.
        Demand(sums.map(|w| if w < 1.0 { 0 } else { (w.log2() * 4.0).round().clamp(0.0, 254.0) as u8 + 1 }))
    }

    /// Offered work of a class, in core milliseconds per second.
    pub fn work_of_class(&self, class: usize) -> f64 {
        match self.0.get(class) {
            None | Some(0) => 0.0,
            Some(&code) => (f64::from(code - 1) / 4.0).exp2(),
        }
    }

    /// Offered work of all classes, in core milliseconds per second.
    pub fn total(&self) -> f64 {
        (0..MAX_DEMAND_CLASSES).map(|class| self.work_of_class(class)).sum()
    }
}

/// A direction in which a link does not work, as seen by the member that reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CutLink {
    /// Hash of the name of the member at the other end.
    pub peer_hash: u32,
    /// If true, the reporter's datagrams do not reach the other member; else the other's do not reach the
    /// reporter.
    pub outbound: bool,
}

/// Information about a member that is spread by gossip.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Name of the member, unique in the group.
    pub name: String,
    /// Site where it runs.
    pub site: String,
    /// Address where it receives datagrams.
    pub address: SocketAddr,
    /// Random number that a process draws at its start; it tells processes of the same name apart.
    pub instance_id: u64,
    /// Incremented by the member itself to refute a suspicion; the higher incarnation takes precedence.
    pub incarnation: u32,
    /// Liveness state.
    pub state: State,
    /// Hash of the name of the member that suspects it or declared it dead.
    pub accuser: u32,
    /// Version of `demand` and `cuts`, incremented by the member itself.
    pub metadata_version: u32,
    /// Load offered by its clients.
    pub demand: Demand,
    /// Links of this member that do not work.
    pub cuts: Vec<CutLink>,
}

impl Record {
    /// Of two records of the same name, the one with the greater key takes precedence.
    pub fn precedence(&self) -> (u32, State, u64) {
        (self.incarnation, self.state, self.instance_id)
    }
}

/// Message carried by a datagram beside its records. The `u32` of probe messages is the probe number.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// Probe.
    Ping(u32),
    /// Answer to a probe, and whether the answering member has recently received a datagram directly from the
    /// prober.
    Ack(u32, bool),
    /// Request to probe the named member on behalf of the sender.
    ProbeRequest(u32, String),
    /// Probe on behalf of the named member.
    RelayedPing(u32, String),
    /// Answer to [`Kind::RelayedPing`]: the member on whose behalf it was sent, and whether the answering
    /// member has recently received a datagram directly from that member.
    RelayedAck(u32, String, bool),
    /// Result of a [`Kind::ProbeRequest`]: `None` confirms the request, `Some` reports an answer of the
    /// target, with whether the target recently received a datagram directly from the prober.
    ProbeReport(u32, Option<bool>),
    /// Nonce to be returned, to show that the sender is a running process and not a replay.
    Challenge(u64),
    /// Answer to a [`Kind::Challenge`], with its nonce.
    ChallengeResponse(u64),
    /// Digests of the member list by bucket, and whether the recipient should send its own digests back.
    Digest([u32; DIGEST_BUCKETS], bool),
    /// Records only.
    Records,
    /// Application data, and the hash of the recipient's name; 0 if the datagram is of an older format that
    /// lacks it.
    Payload(Vec<u8>, u32),
}

/// A decoded datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Datagram {
    /// Name of the sender.
    pub from: String,
    /// Instance id of the sending process.
    pub instance_id: u64,
    /// Sequence number within that process, starting at 1.
    pub number: u64,
    /// Message.
    pub kind: Kind,
    /// Records of members, at most 255.
    pub records: Vec<Record>,
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    let cut = &text.as_bytes()[..text.len().min(MAX_NAME_BYTES)];
    out.push(cut.len() as u8);
    out.extend_from_slice(cut);
}

fn put_record(out: &mut Vec<u8>, record: &Record) {
    let start = out.len();
    out.push(0);
    put_text(out, &record.name);
    put_text(out, &record.site);
    match record.address.ip() {
        IpAddr::V4(ip) => {
            out.push(4);
            out.extend_from_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            out.push(6);
            out.extend_from_slice(&ip.octets());
        }
    }
    out.extend_from_slice(&record.address.port().to_be_bytes());
    out.extend_from_slice(&record.instance_id.to_be_bytes());
    out.extend_from_slice(&record.incarnation.to_be_bytes());
    out.push(record.state as u8);
    out.extend_from_slice(&record.accuser.to_be_bytes());
    out.extend_from_slice(&record.metadata_version.to_be_bytes());
    // Trailing classes without demand are omitted.
    let class_count =
        MAX_DEMAND_CLASSES - record.demand.0.iter().rev().take_while(|&&code| code == 0).count();
    out.push(class_count as u8);
    out.extend_from_slice(&record.demand.0[..class_count]);
    let cuts = &record.cuts[..record.cuts.len().min(MAX_CUT_LINKS)];
    out.push(cuts.len() as u8);
    for cut in cuts {
        out.extend_from_slice(&cut.peer_hash.to_be_bytes());
        out.push(u8::from(cut.outbound));
    }
    out[start] = (out.len() - start - 1) as u8;
}

impl Datagram {
    /// Encodes and signs the datagram. Records that do not fit are left out; returns the number of records
    /// included.
    pub fn seal(&self, keys: &Keys, out: &mut Vec<u8>) -> usize {
        out.clear();
        out.push(FORMAT_VERSION);
        out.extend_from_slice(&name_hash(&keys.signing_key().name).to_be_bytes());
        out.extend_from_slice(&self.instance_id.to_be_bytes());
        out.extend_from_slice(&self.number.to_be_bytes());
        put_text(out, &self.from);
        let put_probe = |out: &mut Vec<u8>, kind: u8, number: u32| {
            out.push(kind);
            out.extend_from_slice(&number.to_be_bytes());
        };
        match &self.kind {
            Kind::Ping(n) => put_probe(out, 1, *n),
            Kind::Ack(n, heard) => {
                put_probe(out, 2, *n);
                out.push(u8::from(*heard));
            }
            Kind::ProbeRequest(n, target) => {
                put_probe(out, 3, *n);
                put_text(out, target);
            }
            Kind::RelayedPing(n, origin) => {
                put_probe(out, 4, *n);
                put_text(out, origin);
            }
            Kind::RelayedAck(n, origin, heard) => {
                put_probe(out, 5, *n);
                put_text(out, origin);
                out.push(u8::from(*heard));
            }
            Kind::ProbeReport(n, heard) => {
                put_probe(out, 6, *n);
                out.push(heard.map_or(2, u8::from));
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
        let count_at = out.len();
        out.push(0);
        let mut included = 0;
        for r in self.records.iter().take(255) {
            let before = out.len();
            put_record(out, r);
            if out.len() + MAC_BYTES > MAX_DATAGRAM_BYTES {
                out.truncate(before);
                break;
            }
            included += 1;
        }
        out[count_at] = included as u8;
        if let Kind::Payload(_, to) = self.kind {
            out.extend_from_slice(&to.to_be_bytes());
        }
        sign(keys, out);
        included
    }

    /// Verifies and decodes a datagram. Returns `None` for a valid datagram of a kind that only newer
    /// versions know.
    ///
    /// # Errors
    /// The reason for which it is rejected.
    pub fn open(keys: &Keys, bytes: &[u8]) -> Result<Option<Datagram>, Rejection> {
        let body = verify(keys, bytes)?;
        let mut c = Cursor(body);
        decode(&mut c).ok_or(Rejection::Malformed)
    }
}

struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
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

fn decode(c: &mut Cursor<'_>) -> Option<Option<Datagram>> {
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
            let (probe, heard) = (c.u32()?, c.u8()?);
            Kind::ProbeReport(probe, (heard < 2).then_some(heard == 1))
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
        records.push(decode_record(&mut c)?);
    }
    if let Kind::Payload(_, to) = &mut kind {
        *to = c.u32().unwrap_or(0);
    }
    Some(Some(Datagram { from, instance_id, number, kind, records }))
}

fn decode_record(c: &mut Cursor<'_>) -> Option<Record> {
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
    // An older format ends here.
    let mut demand = Demand::default();
    let class_count = c.u8().unwrap_or(0) as usize;
    for class in 0..class_count {
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
