//! What every transport must keep, for [`Messages`] and for [`Records`]: see `docs/transport.md`.
//!
//! An implementation is played through a [`Ground`] of three gateways `g0`, `g1` and `g2`. Each contract draws sequences of
//! operations, plays them beside a plain model and shrinks what fails to the least that does.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt::Debug;
use std::rc::Rc;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use violetward_transport::sim::{Interceptor, SeededRng};
use violetward_transport::{
    Messages, Records, SendError, MAX_MESSAGE_BYTES, MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGES, MAX_RECORD_BYTES,
};

/// Times that a contract lets time pass for something that has to come.
const PATIENCE: usize = 400;
/// Times that something is said again where any one may get lost on the way.
const AGAIN: usize = 100;

/// An implementation with three gateways on it, `g0` to `g2`, between which every way is clear.
pub trait Ground {
    /// Its messages.
    type Post: Messages;
    /// Its streams.
    type Stream: Records;

    /// A gateway's messages.
    fn post(&mut self, n: usize) -> &mut Self::Post;

    /// A new stream between two gateways: the calling end and the other one, both proved.
    ///
    /// # Errors
    /// If there is none; only where somebody meddles.
    fn connect(&mut self, from: usize, to: usize) -> Result<(Self::Stream, Self::Stream), SendError>;

    /// Lets a little time pass.
    fn pass(&mut self);

    /// Somebody stands in between from now on, or nobody any more. False where nobody can.
    fn meddle(&mut self, _: Option<Interceptor>) -> bool {
        false
    }

    /// Something comes to a gateway's messages that nobody of ours has sent. False where that cannot be.
    fn inject(&mut self, _to: usize, _bytes: Vec<u8>) -> bool {
        false
    }

    /// Octets of its longest message.
    fn longest(&self) -> usize {
        MAX_MESSAGE_BYTES
    }

    /// Messages get lost here although every way is clear.
    fn loses(&self) -> bool {
        false
    }
}

fn check<T: Debug>(
    cases: u32,
    drawn: impl Strategy<Value = T>,
    holds: impl Fn(T) -> Result<(), String>,
) -> Result<(), String> {
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 150, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner.run(&drawn, |value| holds(value).map_err(TestCaseError::fail)).map_err(|e| e.to_string())
}

fn ensure(holds: bool, what: impl FnOnce() -> String) -> Result<(), String> {
    if holds {
        Ok(())
    } else {
        Err(what())
    }
}

fn name(n: usize) -> String {
    format!("g{n}")
}

/// Octets that no other number has, from eight on.
fn content(number: usize, length: usize) -> Vec<u8> {
    let mut dice = SeededRng(number as u64);
    let mut out = Vec::with_capacity(length + 8);
    while out.len() < length {
        out.extend_from_slice(&dice.next_u64().to_be_bytes());
    }
    out.truncate(length);
    out
}

#[derive(Debug, Clone)]
enum Op {
    /// From one to another, so many octets; messages to a fourth one, whom nobody knows, too.
    Send(usize, usize, usize),
    /// One looks for what has come.
    Next(usize),
    Pass,
}

fn message_ops() -> impl Strategy<Value = Vec<Op>> {
    let length = prop_oneof![6 => 8..60_usize, 2 => 900..=MAX_MESSAGE_BYTES, 1 => Just(MAX_MESSAGE_BYTES + 1), 1 => Just(0)];
    let send = (0..3_usize, 1..4_usize, length).prop_map(|(from, by, length)| {
        // To one of the two others, or to nobody.
        Op::Send(from, if by == 3 { 3 } else { (from + by) % 3 }, length)
    });
    prop::collection::vec(
        prop_oneof![5 => send, 3 => (0..3_usize).prop_map(Op::Next), 1 => Just(Op::Pass)],
        1..60,
    )
}

/// What was sent to each, by whom.
#[derive(Default)]
struct Sent(HashMap<(String, usize), HashSet<Vec<u8>>>);

impl Sent {
    fn was(&self, to: usize, from: &str, bytes: &[u8]) -> Result<(), String> {
        let was = self.0.get(&(from.to_owned(), to)).is_some_and(|all| all.contains(bytes));
        ensure(was, || format!("g{to} got {} octets as from {from}, who never sent them there", bytes.len()))
    }
}

/// Messages: what comes was sent, to whom it comes and by whom it says; what is too long or for nobody is told; and on a clear way
/// that loses nothing what was taken comes.
///
/// # Errors
/// The least sequence that breaks it, and how.
pub fn messages<G: Ground>(cases: u32, make: impl Fn(u64) -> G) -> Result<(), String> {
    check(cases, (any::<u64>(), message_ops()), |(seed, ops)| {
        let mut ground = make(seed);
        let (mut sent, mut missing) = (Sent::default(), HashSet::new());
        let take = |ground: &mut G, sent: &Sent, missing: &mut HashSet<_>, at: usize| {
            let Some((from, bytes)) = ground.post(at).next() else { return Ok(false) };
            sent.was(at, &from, &bytes)?;
            missing.remove(&(from, at, bytes));
            Ok::<_, String>(true)
        };
        for (number, op) in ops.into_iter().enumerate() {
            match op {
                Op::Send(from, to, length) => {
                    let bytes = content(number, length);
                    let done = ground.post(from).send(&name(to), &bytes);
                    let due = match (to, length) {
                        (_, length) if length > ground.longest() => Err(SendError::TooLong),
                        (3, _) => Err(SendError::UnknownGateway),
                        _ => Ok(()),
                    };
                    ensure(done == due, || format!("sending {length} octets to g{to} gave {done:?}"))?;
                    if done.is_ok() {
                        sent.0.entry((name(from), to)).or_default().insert(bytes.clone());
                        missing.insert((name(from), to, bytes));
                    }
                }
                Op::Next(at) => drop(take(&mut ground, &sent, &mut missing, at)?),
                Op::Pass => ground.pass(),
            }
        }
        for _ in 0..PATIENCE {
            ground.pass();
            for at in 0..3 {
                while take(&mut ground, &sent, &mut missing, at)? {}
            }
            if ground.loses() || missing.is_empty() {
                return Ok(());
            }
        }
        Err(format!("{} messages never came on clear ways", missing.len()))
    })
}

/// Messages to a gateway that takes none: as many are kept as may, the newest ones, and the others' go on meanwhile.
///
/// # Errors
/// What breaks it.
pub fn messages_to_a_slow_reader<G: Ground>(make: impl Fn(u64) -> G) -> Result<(), String> {
    check(2, (any::<u64>(), 100..1_000_usize), |(seed, more)| {
        let mut ground = make(seed);
        let all = MAX_QUEUED_MESSAGES + more;
        for number in 0..all {
            let done = ground.post(0).send("g1", &content(number, 100));
            ensure(done.is_ok(), || format!("message {number} to one that takes none gave {done:?}"))?;
            if number % 128 == 127 {
                ground.pass();
            }
        }
        for (from, to) in [(0, 2), (2, 0)] {
            let came = (0..PATIENCE).any(|_| {
                // Again and again: a message may be lost.
                ground.post(from).send(&name(to), b"are you there?").ok();
                ground.pass();
                ground.post(to).next().is_some()
            });
            ensure(came, || format!("g{from} does not reach g{to} while g1 takes nothing"))?;
        }
        // A system's buffer may have been full at any one of them, or still hold it: the newest is said again and again.
        let newest = content(all, 100);
        for _ in 0..AGAIN {
            ground.post(0).send("g1", &newest).ok();
            ground.pass();
        }
        let kept: Vec<_> = std::iter::from_fn(|| ground.post(1).next()).map(|(_, bytes)| bytes).collect();
        ensure(kept.len() <= MAX_QUEUED_MESSAGES, || format!("{} messages were kept", kept.len()))?;
        ensure(kept.contains(&newest), || "the newest message was let go for older ones".to_owned())
    })
}

#[derive(Debug, Clone, Copy)]
enum Forgery {
    /// A bit turned, at that part of its length.
    Altered(u16),
    /// Cut off there.
    Short(u16),
    /// Sent back to who sent it, or on to a third one.
    Reflected,
    Misled,
    /// Sent again.
    Replayed,
}

/// Messages with somebody in between who changes, turns round, leads astray and repeats what he sees: what comes was sent all the
/// same. A copy may come.
///
/// # Errors
/// The least sequence that breaks it, and how.
pub fn forged_messages<G: Ground>(cases: u32, make: impl Fn(u64) -> G) -> Result<(), String> {
    let forgery = prop_oneof![
        any::<u16>().prop_map(Forgery::Altered),
        any::<u16>().prop_map(Forgery::Short),
        Just(Forgery::Reflected),
        Just(Forgery::Misled),
        Just(Forgery::Replayed),
    ];
    check(cases, (any::<u64>(), prop::collection::vec(forgery, 1..20)), |(seed, forgeries)| {
        let mut ground = make(seed);
        let seen = Rc::new(RefCell::new(None));
        let keep = seen.clone();
        if !ground.meddle(Some(Box::new(move |_, _, bytes| drop(keep.replace(Some(bytes.clone())))))) {
            return Ok(());
        }
        let mut sent = Sent::default();
        for (number, forgery) in forgeries.iter().enumerate() {
            let bytes = content(number, 20);
            sent.0.entry(("g0".into(), 1)).or_default().insert(bytes.clone());
            for _ in 0..PATIENCE {
                ground.post(0).send("g1", &bytes).ok();
                if seen.borrow().is_some() {
                    break;
                }
                ground.pass();
            }
            let mut bytes = seen.take().ok_or("nobody saw the message")?;
            let at = |part: u16| usize::from(part) * bytes.len() / (1 << 16);
            let to = match forgery {
                Forgery::Altered(part) => {
                    let at = at(*part);
                    bytes[at] ^= 1 << (part % 8);
                    1
                }
                Forgery::Short(part) => {
                    bytes.truncate(at(*part));
                    1
                }
                Forgery::Replayed => 1,
                Forgery::Reflected => 0,
                Forgery::Misled => 2,
            };
            ground.inject(to, bytes);
            ground.pass();
        }
        for _ in 0..3 {
            ground.pass();
            for at in 0..3 {
                while let Some((from, bytes)) = ground.post(at).next() {
                    sent.was(at, &from, &bytes)?;
                }
            }
        }
        Ok(())
    })
}

/// A stream and what was sent on it, by end.
struct Line<S> {
    ends: [Option<S>; 2],
    names: [String; 2],
    sent: [VecDeque<Vec<u8>>; 2],
}

impl<S: Records> Line<S> {
    fn open<G: Ground<Stream = S>>(ground: &mut G, from: usize, to: usize) -> Result<Self, SendError> {
        let (near, far) = ground.connect(from, to)?;
        let sent = [VecDeque::new(), VecDeque::new()];
        Ok(Line { ends: [Some(near), Some(far)], names: [name(from), name(to)], sent })
    }

    fn peers(&self) -> Result<(), String> {
        let right = |end: usize| self.ends[end].as_ref().is_none_or(|s| s.peer() == self.names[1 - end]);
        ensure(right(0) && right(1), || format!("a stream of {:?} is told as another's", self.names))
    }

    /// Sends what is not taken otherwise than by its bounds.
    fn send(&mut self, end: usize, bytes: Vec<u8>) -> Result<bool, String> {
        let Some(stream) = &mut self.ends[end] else { return Ok(false) };
        let closed = stream.is_closed();
        match stream.send(&bytes) {
            Ok(()) => {
                ensure(bytes.len() <= MAX_RECORD_BYTES && !closed, || {
                    format!("took {} octets", bytes.len())
                })?;
                self.sent[end].push_back(bytes);
                Ok(true)
            }
            Err(SendError::QueueFull) => Ok(false),
            Err(SendError::TooLong) if bytes.len() > MAX_RECORD_BYTES => Ok(false),
            Err(SendError::Closed) if closed => Ok(false),
            Err(why) => Err(format!("{} octets were not taken: {why}", bytes.len())),
        }
    }

    /// Takes what has come at one end: it is the next that was sent there.
    fn next(&mut self, end: usize) -> Result<bool, String> {
        let Some(record) = self.ends[end].as_mut().and_then(Records::next) else { return Ok(false) };
        let due = self.sent[1 - end].pop_front();
        ensure(due.as_deref() == Some(&record[..]), || {
            let due = due.map(|d| d.len());
            format!(
                "{} got {} octets that are not the next that were sent, of {due:?}",
                self.names[end],
                record.len()
            )
        })?;
        Ok(true)
    }

    fn drain(&mut self) -> Result<(), String> {
        while self.next(0)? || self.next(1)? {}
        Ok(())
    }

    /// All that was taken comes.
    fn comes<G: Ground<Stream = S>>(&mut self, ground: &mut G) -> Result<(), String> {
        for _ in 0..PATIENCE {
            self.drain()?;
            if self.sent.iter().all(VecDeque::is_empty) {
                return self.peers();
            }
            ground.pass();
        }
        Err(format!("{} records never came", self.sent[0].len() + self.sent[1].len()))
    }
}

/// Streams: records come whole, in order, none twice and none left out, from whom the stream says; two streams have nothing to do
/// with each other; and once an end goes the other one is told, and what still comes there is the next that was sent.
///
/// # Errors
/// The least sequence that breaks it, and how.
pub fn records<G: Ground>(cases: u32, make: impl Fn(u64) -> G) -> Result<(), String> {
    let length = prop_oneof![9 => 0..200_usize, 2 => 20_000..200_000_usize, 1 => MAX_RECORD_BYTES..MAX_RECORD_BYTES + 2];
    let op = prop_oneof![
        5 => (0..2_usize, 0..2_usize, length).prop_map(|(line, end, length)| Op::Send(line, end, length)),
        3 => (0..4_usize).prop_map(Op::Next),
        1 => Just(Op::Pass),
    ];
    let drawn = (any::<u64>(), prop::collection::vec(op, 1..50), 0..2_usize);
    check(cases, drawn, |(seed, ops, goes)| {
        let mut ground = make(seed);
        let mut lines = [(0, 1), (0, 2)].map(|(from, to)| Line::open(&mut ground, from, to));
        let [Ok(first), Ok(second)] = &mut lines else { return Err("no stream on a clear way".into()) };
        let lines = [first, second];
        for (number, op) in ops.into_iter().enumerate() {
            match op {
                Op::Send(line, end, length) => drop(lines[line].send(end, content(number, length))?),
                Op::Next(at) => drop(lines[at / 2].next(at % 2)?),
                Op::Pass => ground.pass(),
            }
        }
        let [first, second] = lines;
        second.comes(&mut ground)?;
        // The first one is left in the middle of it.
        first.ends[goes] = None;
        for _ in 0..PATIENCE {
            ground.pass();
            first.drain()?;
            let left = first.ends[1 - goes].as_mut().ok_or("both ends are gone")?;
            if left.is_closed() {
                let done = left.send(b"more");
                ensure(done == Err(SendError::Closed), || format!("sending after the end gave {done:?}"))?;
                second.send(0, content(7, 70))?;
                return second.comes(&mut ground);
            }
        }
        Err("the end is not told".into())
    })
}

/// A stream whose other end takes nothing: memory stays within bounds on the way, other streams go on, and once it takes again
/// nothing was left out.
///
/// # Errors
/// What breaks it.
pub fn records_to_a_slow_reader<G: Ground>(make: impl Fn(u64) -> G) -> Result<(), String> {
    // Both sides' queues, a record more than fits on each, and what a system keeps for a socket.
    let most = 2 * (MAX_QUEUED_BYTES + MAX_RECORD_BYTES) + (40 << 20);
    check(2, (any::<u64>(), 10_000..400_000_usize), |(seed, length)| {
        let mut ground = make(seed);
        let mut open = |to| Line::open(&mut ground, 0, to).map_err(|why| format!("no stream: {why}"));
        let (mut slow, mut other) = (open(1)?, open(2)?);
        let (mut octets, mut number, mut refused) = (0, 0, 0);
        while refused < 10 {
            if slow.send(0, content(number, length))? {
                (octets, refused) = (octets + length, 0);
            } else {
                refused += 1;
                ground.pass();
            }
            ensure(octets <= most, || format!("{octets} octets were taken for one that takes nothing"))?;
            number += 1;
        }
        let sent = other.send(0, content(number, 1_000))? && other.send(1, content(number, 2_000))?;
        ensure(sent, || "another stream takes nothing meanwhile".into())?;
        other.comes(&mut ground)?;
        slow.comes(&mut ground)
    })
}

#[derive(Debug, Clone, Copy)]
enum Attack {
    /// A bit turned, at that part of the frame's length.
    Altered(u16),
    /// Left out, sent twice, sent after the next one.
    Left,
    Doubled,
    Swapped,
    /// Sent back in place of what comes from there.
    Reflected,
    /// In its place the frame of that place of an earlier stream.
    Replayed,
}

/// Applies an attack to one frame of a stream, in the direction from its calling end or to it.
struct Attacker {
    attack: Attack,
    back: bool,
    frame: usize,
    /// Octets of each direction that are no whole frame yet.
    rest: [Vec<u8>; 2],
    held: Option<Vec<u8>>,
    /// Frames of an earlier stream, and of this one.
    earlier: [Vec<Vec<u8>>; 2],
    seen: [Vec<Vec<u8>>; 2],
    /// The earlier one still goes on.
    is_early: bool,
    struck: Rc<RefCell<bool>>,
}

impl Attacker {
    fn pass(&mut self, back: bool, bytes: &mut Vec<u8>) {
        let way = usize::from(back);
        self.rest[way].append(bytes);
        while let Some(length) =
            self.rest[way].first_chunk::<4>().map(|l| 4 + u32::from_be_bytes(*l) as usize)
        {
            if self.rest[way].len() < length {
                break;
            }
            let frame: Vec<u8> = self.rest[way].drain(..length).collect();
            let strikes = !self.is_early && back == self.back && self.seen[way].len() == self.frame;
            self.seen[way].push(frame.clone());
            if strikes {
                self.strike(frame, bytes);
            } else {
                bytes.extend_from_slice(&frame);
                if let Some(held) = self.held.take_if(|_| back == self.back) {
                    bytes.extend_from_slice(&held);
                }
            }
        }
    }

    fn strike(&mut self, mut frame: Vec<u8>, out: &mut Vec<u8>) {
        *self.struck.borrow_mut() = true;
        match self.attack {
            Attack::Altered(part) => {
                // Not its length: that would only make the other end wait for more.
                let at = 4 + usize::from(part) * (frame.len() - 4) / (1 << 16);
                frame[at] ^= 1 << (part % 8);
                out.extend(frame);
            }
            Attack::Left => {}
            Attack::Doubled => {
                out.extend_from_slice(&frame);
                out.extend(frame);
            }
            Attack::Swapped => self.held = Some(frame),
            Attack::Reflected => out.extend(self.seen[usize::from(!self.back)].last().into_iter().flatten()),
            Attack::Replayed => {
                let earlier = self.earlier[usize::from(self.back)].get(self.frame);
                out.extend(earlier.into_iter().flatten());
            }
        }
    }
}

/// A stream with somebody in between who changes, leaves out, repeats, reorders, turns round and replays its frames: what comes is
/// what was sent, in order, up to the attack; from there on nothing comes, and the end that was lied to ends.
///
/// # Errors
/// The least attack that breaks it, and how.
pub fn forged_records<G: Ground>(cases: u32, make: impl Fn(u64) -> G) -> Result<(), String> {
    let attack = prop_oneof![
        any::<u16>().prop_map(Attack::Altered),
        Just(Attack::Left),
        Just(Attack::Doubled),
        Just(Attack::Swapped),
        Just(Attack::Reflected),
        Just(Attack::Replayed),
    ];
    check(cases, (any::<u64>(), attack, any::<bool>(), 0..6_usize), |(seed, attack, back, frame)| {
        let mut ground = make(seed);
        let struck = Rc::new(RefCell::new(false));
        let attacker = Rc::new(RefCell::new(Attacker {
            attack,
            back,
            frame,
            rest: Default::default(),
            held: None,
            earlier: Default::default(),
            seen: Default::default(),
            is_early: true,
            struck: struck.clone(),
        }));
        let by = attacker.clone();
        if !ground.meddle(Some(Box::new(move |from, _, bytes| by.borrow_mut().pass(from == "g1", bytes)))) {
            return Ok(());
        }
        // An honest stream first, which he records.
        let play = |ground: &mut G, line: &mut Line<G::Stream>| {
            for number in 0..10 {
                for end in [0, 1] {
                    line.send(end, content(number * 2 + end, 50)).ok();
                }
                ground.pass();
                line.drain()?;
            }
            Ok::<_, String>(())
        };
        let mut honest = Line::open(&mut ground, 0, 1).map_err(|why| format!("no stream: {why}"))?;
        play(&mut ground, &mut honest)?;
        drop(honest);
        for _ in 0..5 {
            ground.pass();
        }
        {
            let mut attacker = attacker.borrow_mut();
            attacker.earlier = std::mem::take(&mut attacker.seen);
            (attacker.is_early, attacker.rest) = (false, Default::default());
        }
        let Ok(mut line) = Line::open(&mut ground, 0, 1) else { return Ok(()) };
        line.peers()?;
        play(&mut ground, &mut line)?;
        if !*struck.borrow() {
            return Err("the attack did not come to pass".into());
        }
        let lied_to = usize::from(!back);
        for _ in 0..PATIENCE {
            if line.ends[lied_to].as_ref().is_none_or(Records::is_closed) {
                return Ok(());
            }
            ground.pass();
            line.drain()?;
        }
        Err("the end that was lied to goes on".into())
    })
}
