//! The clients of a soak: calm, sending many at once, slow, held back, resting, leaving.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use violetward_standin::platform::page;
use violetward_thrift::{Cursor, FrameDecoder, MessageType, Writer};

use super::check::{CROSSING, TOLERANCE};
use super::record::{Event, Written};
use super::settings::CLASSES;
use super::World;

/// How long a client waits for its connection.
const CONNECT_WITHIN: Duration = Duration::from_millis(1_000);
/// Beyond the time at which an answer counts as lost, a client waits this much longer: a gateway that stood still answers late.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// Clients of a crowd, more than a gateway has descriptors for, and how long they stay.
const CROWD: usize = 700;
const CROWD_STAYS: Duration = Duration::from_millis(2_500);
/// The length of a large request that every gateway accepts.
const LARGE_FRAME_BYTES: usize = 65_000;
/// Order keys in use.
const KEYS: u64 = 12;

/// What a client does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    /// Asks and waits.
    Calm,
    /// Asks several at once.
    Many,
    /// Writes in pieces.
    Slow,
    /// Has held the request back.
    Held,
    /// Asks and closes its connection soon after.
    Leaves,
    /// Asks and takes the request back.
    TakesBack,
    /// Rests on its connection.
    Rests,
}

impl Manner {
    fn draw(rng: &mut StdRng) -> Manner {
        match rng.random_range(0..20) {
            0..8 => Manner::Calm,
            8..12 => Manner::Many,
            12..14 => Manner::Slow,
            14 | 15 => Manner::Held,
            16 => Manner::Leaves,
            17 => Manner::TakesBack,
            _ => Manner::Rests,
        }
    }
}

struct Client<'a> {
    world: &'a World,
    rng: StdRng,
    gateway: usize,
    socket: TcpStream,
    frames: FrameDecoder,
    seqid: i32,
    /// What has no answer yet, by number: its id, and when it was written and counts as lost.
    open: BTreeMap<i32, (u64, Instant, Instant)>,
    /// What has been answered, by number: a second answer is a fault.
    answered: BTreeMap<i32, u64>,
}

/// A client asks until the day is over.
pub fn run(world: &World, number: usize) {
    let mut rng = StdRng::seed_from_u64(world.day.seed ^ 0xc11e_0000 ^ number as u64);
    while !world.is_over() {
        let Some((gateway, address)) = world.gateways.in_front(rng.random_range(0..1_000)) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let Ok(socket) = connect(address) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let (frames, open) = (FrameDecoder::new(1 << 20), BTreeMap::new());
        let mut client =
            Client { world, rng, gateway, socket, frames, seqid: 0, open, answered: BTreeMap::new() };
        while !world.is_over() && client.act() {}
        client.abandon();
        rng = client.rng;
    }
}

/// Clients that ask nothing fill a gateway's descriptors for a while: idle ones, or, on days of odd seeds, such that
/// send most of a large request.
pub fn crowd(world: &World, gateway: usize) {
    let address = world.gateways.address(gateway);
    let sends = world.day.seed % 2 == 1;
    let mut sockets: Vec<TcpStream> = (0..CROWD).filter_map(|_| connect(address).ok()).collect();
    if sends {
        let part =
            [&(LARGE_FRAME_BYTES as u32).to_be_bytes()[..], &vec![0; LARGE_FRAME_BYTES - 500]].concat();
        for socket in &mut sockets {
            // The gateway may have closed it, or read no further.
            socket.set_nonblocking(true).and_then(|()| socket.write(&part)).ok();
        }
    }
    std::thread::sleep(CROWD_STAYS);
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpStream::connect_timeout(&address, CONNECT_WITHIN)?;
    socket.set_nodelay(true)?;
    Ok(socket)
}

impl Client<'_> {
    /// Does one thing; false if the connection is over.
    fn act(&mut self) -> bool {
        match Manner::draw(&mut self.rng) {
            Manner::Calm => self.ask(false, Duration::ZERO) && self.hear_all(),
            Manner::Many => {
                let count = self.rng.random_range(2..7);
                (0..count).all(|_| self.ask(false, Duration::ZERO)) && self.hear_all()
            }
            Manner::Slow => self.ask(true, Duration::ZERO) && self.hear_all(),
            Manner::Held => {
                let held = Duration::from_millis(self.rng.random_range(20..500));
                std::thread::sleep(held);
                self.ask(false, held) && self.hear_all()
            }
            Manner::Leaves => {
                let asked = self.ask(false, Duration::ZERO);
                self.pause(5..200);
                asked && self.leave()
            }
            Manner::TakesBack => {
                let asked = self.ask(false, Duration::ZERO);
                self.pause(5..200);
                asked && self.take_back() && self.hear_all()
            }
            Manner::Rests => {
                self.pause(200..3_500);
                // What is asked now may meet the close of a connection that has rested.
                self.ask(false, Duration::ZERO) && self.hear_all()
            }
        }
    }

    fn pause(&mut self, millis: std::ops::Range<u64>) {
        std::thread::sleep(Duration::from_millis(self.rng.random_range(millis)));
    }

    /// Writes a request; false if the connection is over.
    fn ask(&mut self, slowly: bool, held: Duration) -> bool {
        // Requests of the class with keys alone are held back.
        let class = if held.is_zero() { self.rng.random_range(0..CLASSES.len()) } else { 1 };
        let longest = self.world.day.waits[class];
        // A further try has less time left; one that was held back is the more likely a first one.
        let part =
            if held.is_zero() && self.rng.random_bool(0.15) { self.rng.random_range(0.3..1.0) } else { 1.0 };
        let wait = Duration::from_millis(longest.mul_f64(part).as_millis() as u64);
        let id: u64 = self.rng.random();
        self.seqid += 1;
        let frame = self.frame(id, class, wait);
        let written = if slowly { self.write_slowly(&frame) } else { self.socket.write_all(&frame) };
        if written.is_err() {
            // Not whole: it was never taken. What came before the connection ended is still to be read.
            self.hear_all();
            return false;
        }
        let now = Instant::now();
        let unsafe_to_repeat = class == 2;
        let record = Written { id, gateway: self.gateway, held, wait, unsafe_to_repeat };
        self.world.records.note_at(now, Event::Written(record));
        self.open.insert(self.seqid, (id, now, now - held + wait + TOLERANCE + PATIENCE));
        true
    }

    fn frame(&mut self, id: u64, class: usize, wait: Duration) -> Vec<u8> {
        let (id, wait) = (format!("{id:016x}"), wait.as_millis().to_string());
        let (key, once) = (format!("k{}", self.rng.random_range(0..KEYS)), format!("{id}{id}"));
        let mut fields = vec![
            ("id", &*id),
            ("class", CLASSES[class]),
            ("wait", &*wait),
            ("cost", "20"),
            ("heap_mb", "64"),
        ];
        if class == 1 {
            fields.extend([("key", &*key), ("once", &*once)]);
        }
        let mut writer = Writer::message("dispatch", MessageType::Call, self.seqid);
        writer.string_map(1, fields.into_iter());
        writer.binary(2, b"select 1 from a_1.b");
        writer.end_struct();
        writer.into_frame()
    }

    fn write_slowly(&mut self, frame: &[u8]) -> std::io::Result<()> {
        for piece in frame.chunks(frame.len() / 4 + 1) {
            self.socket.write_all(piece)?;
            self.pause(5..60);
        }
        Ok(())
    }

    /// Takes all answers that are owed; false if the connection is over.
    fn hear_all(&mut self) -> bool {
        while !self.open.is_empty() {
            let until = self.open.values().map(|open| open.2).min().unwrap_or_else(Instant::now);
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                // It counts as unanswered; a client that stops waiting takes it back.
                let late =
                    self.open.iter().find(|(_, open)| open.2 <= Instant::now()).map(|(seqid, _)| *seqid);
                late.and_then(|seqid| self.open.remove(&seqid));
                continue;
            }
            self.socket.set_read_timeout(Some(left)).ok();
            let mut bytes = [0; 8 << 10];
            match self.socket.read(&mut bytes) {
                Ok(0) => return self.note_end(),
                Ok(read) => self.frames.feed(&bytes[..read]),
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                    ) => {}
                Err(_) => return self.note_end(),
            }
            while let Ok(Some(frame)) = self.frames.next_frame() {
                self.take(&frame);
            }
        }
        true
    }

    fn take(&mut self, frame: &[u8]) {
        let mut cursor = Cursor::new(frame);
        let Ok(head) = cursor.message_header() else { return };
        let id = match self.open.remove(&head.seqid) {
            Some((id, _, _)) => id,
            None => match self.answered.get(&head.seqid) {
                Some(&id) => id,
                // It was taken back, or its client waits no more.
                None => return,
            },
        };
        self.answered.insert(head.seqid, id);
        let served = head.message_type == MessageType::Reply
            && matches!(cursor.field_header(), Ok(Some((Cursor::STRUCT, 0))));
        let right = !served || {
            let text = format!("{id:016x}");
            cursor.field_header().is_ok() && cursor.string().is_ok_and(|body| body == page(&text, 0))
        };
        self.world.records.note(Event::Answered { id, served, right });
    }

    /// The connection has ended from the other side.
    fn note_end(&mut self) -> bool {
        // It rested when it was closed if nothing is open on it but what was written just then.
        let crossed = self.open.values().all(|(_, written, _)| written.elapsed() < CROSSING);
        for (id, _, _) in std::mem::take(&mut self.open).into_values() {
            self.world.records.note(Event::Ended { id, crossed });
        }
        false
    }

    fn leave(&mut self) -> bool {
        self.socket.shutdown(std::net::Shutdown::Both).ok();
        self.abandon();
        false
    }

    /// What is open is of no more interest.
    fn abandon(&mut self) {
        for (id, _, _) in std::mem::take(&mut self.open).into_values() {
            self.world.records.note(Event::Left { id });
        }
    }

    fn take_back(&mut self) -> bool {
        let Some((&seqid, &(id, _, _))) = self.open.iter().next_back() else { return true };
        let mut writer = Writer::message("cancelRequest", MessageType::Oneway, 0);
        writer.i32(1, seqid);
        writer.end_struct();
        let written = self.socket.write_all(&writer.into_frame()).is_ok();
        self.open.remove(&seqid);
        self.world.records.note(Event::Left { id });
        written
    }
}
