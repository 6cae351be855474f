//! Connections to engines, kept by engine and not by address: a new engine may have a gone one's.
//!
//! A request has a connection to itself where descriptors allow it, since what is spoilt on one ends all that is open
//! there; where they do not, up to the settings' streams share one.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::future;
use violetward::{EngineId, Listed, Load, Outcome};
use violetward_net::Duplex;
use violetward_settings::Connections;

use crate::core::{AttemptId, Ending, Launch};
use crate::host::Host;
use crate::link::{Link, Told};
use crate::list::List;

/// Bytes kept for an engine that does not read; statements are bounded far below.
const KEPT: usize = 1 << 20;

/// How often, and how many times, a witness is looked for after a connection broke.
const WITNESS: (Duration, u32) = (Duration::from_millis(2), 8);

/// How often a connection is dialled that is reset before anything could be asked on it.
const DIALS: u32 = 4;

/// Weight of one break of a used connection under a request in the share of such breaks, the share from which requests
/// get fresh ones, and how fast what was seen fades.
const WORN: (f64, f64, Duration) = (0.05, 0.03, Duration::from_secs(10));

enum Waiting {
    /// With the connections that it has found reset before anything of it was written.
    Launch(Launch, u32),
    Probe,
}

/// A connection, or one that is coming up.
struct Line {
    duplex: RefCell<Option<Rc<Duplex>>>,
    link: RefCell<Link>,
    waiting: RefCell<Vec<Waiting>>,
    /// Something was last read from it.
    heard: Cell<Instant>,
    /// Since when nothing is open on it.
    idle: Cell<Instant>,
    /// Nothing new goes on it: it was silent to a request given up, or its engine has another address now.
    spent: Cell<bool>,
    /// When it came up, for the log, and how many requests it has carried.
    up: Cell<Instant>,
    carried: Cell<u32>,
}

impl Line {
    fn load(&self) -> usize {
        self.link.borrow().load() + self.waiting.borrow().len()
    }

    fn send(&self, bytes: &[u8]) -> bool {
        bytes.is_empty() || self.duplex.borrow().as_ref().is_some_and(|d| d.send(bytes))
    }

    fn close(&self) {
        self.spent.set(true);
        if let Some(duplex) = &*self.duplex.borrow() {
            duplex.close();
        }
    }

    fn takes(&self, attempt: AttemptId) -> bool {
        let waits = |w: &Waiting| matches!(w, Waiting::Launch(l, _) if l.attempt.0 == attempt.0);
        !self.spent.get() && self.link.borrow().takes(attempt) && !self.waiting.borrow().iter().any(waits)
    }

    fn is_up(&self) -> bool {
        self.duplex.borrow().is_some()
    }
}

struct Engine {
    id: EngineId,
    address: Cell<SocketAddr>,
    listed: Cell<Listed>,
    lines: RefCell<Vec<Rc<Line>>>,
    /// Where each attempt went, and when.
    places: RefCell<HashMap<AttemptId, (Rc<Line>, Instant)>>,
}

impl Engine {
    /// Nothing new goes on the connections there are. What waits for one to come up has not been sent; probes wait on,
    /// and end with it.
    fn retire(&self, unsent: &mut Vec<(AttemptId, Ending)>) {
        for line in self.lines.borrow().iter() {
            line.spent.set(true);
            line.waiting.borrow_mut().retain(|waiting| {
                let Waiting::Launch(launch, _) = waiting else { return true };
                self.places.borrow_mut().remove(&launch.attempt);
                unsent.push((launch.attempt, Ending::of(Outcome::ConnectFailed)));
                false
            });
        }
    }
}

/// All engines that are listed or still owe an answer.
pub struct Engines {
    most: usize,
    /// How often used connections broke under a request of late, and when that was last seen.
    worn: Cell<(f64, Instant)>,
    terms: Connections,
    engines: RefCell<HashMap<EngineId, Rc<Engine>>>,
}

impl Engines {
    /// None yet; up to `most` connections in all.
    pub fn new(most: usize, terms: Connections) -> Self {
        Engines { most, worn: Cell::new((0.0, Instant::now())), terms, engines: RefCell::default() }
    }

    /// Connections there are.
    pub fn connections(&self) -> usize {
        self.engines.borrow().values().map(|e| e.lines.borrow().len()).sum()
    }

    /// Takes a new list. Attempts that wait for a connection to an engine that drains, has left or is elsewhere now end
    /// here: what is sent once that comes up would come too late for the rule on drains, or to another engine.
    pub fn listed(&self, list: &List) -> Vec<(AttemptId, Ending)> {
        let mut unsent = Vec::new();
        let mut engines = self.engines.borrow_mut();
        let named: HashSet<EngineId> = list.engines.values().map(|l| l.entry.engine).collect();
        for engine in engines.values().filter(|e| !named.contains(&e.id)) {
            engine.listed.set(Listed::Removed);
            engine.retire(&mut unsent);
        }
        for listing in list.engines.values() {
            let engine = engines.entry(listing.entry.engine).or_insert_with(|| {
                tracing::debug!(name = listing.name, engine = %format_args!("{:x}", listing.entry.engine.0),
                    "learned of an engine");
                Rc::new(Engine {
                    id: listing.entry.engine,
                    address: Cell::new(listing.address),
                    listed: Cell::new(Listed::Up),
                    lines: RefCell::default(),
                    places: RefCell::default(),
                })
            });
            engine.listed.set(listing.entry.listed);
            let moved = engine.address.replace(listing.address) != listing.address;
            if moved || listing.entry.listed != Listed::Up {
                engine.retire(&mut unsent);
            }
        }
        drop(engines);
        self.sweep(Instant::now());
        unsent
    }

    /// Begins an attempt; its end, if it has ended already.
    pub fn launch(&self, host: &Rc<Host>, launch: Launch) -> Option<Ending> {
        self.launch_again(host, launch, 0)
    }

    fn launch_again(&self, host: &Rc<Host>, launch: Launch, resets: u32) -> Option<Ending> {
        tracing::debug!(engine = %format_args!("{:x}", launch.engine.0), id = %crate::link::id_text(launch.attempt),
            attempt = launch.attempt.1, memory = launch.memory_mb, rank = launch.rank, "launch");
        let engine = self.engines.borrow().get(&launch.engine).cloned();
        let failed = || Some(Ending::of(Outcome::ConnectFailed));
        let Some(engine) = engine.filter(|e| e.listed.get() == Listed::Up) else { return failed() };
        // A connection that turns out to be dead before anything was written proves nothing of the engine.
        while let Some(line) = self.line(host, &engine, Some(launch.attempt)) {
            engine.places.borrow_mut().insert(launch.attempt, (line.clone(), Instant::now()));
            if !line.is_up() {
                line.waiting.borrow_mut().push(Waiting::Launch(launch, resets));
                return None;
            }
            let was_idle = line.load() == 0;
            if was_idle && !line.duplex.borrow().as_ref().is_some_and(|d| d.is_quiet()) {
                line.close();
                continue;
            }
            if write(host, &line, &launch) {
                return None;
            }
            line.link.borrow_mut().withdraw(launch.attempt, &mut Vec::new());
            line.close();
        }
        engine.places.borrow_mut().remove(&launch.attempt);
        failed()
    }

    fn worn(&self) -> f64 {
        let (share, at) = self.worn.get();
        share * (-at.elapsed().as_secs_f64() / WORN.2.as_secs_f64()).exp()
    }

    /// A request on a used connection has ended, or its connection has broken under it.
    fn note_used(&self, broke: bool) {
        let share = self.worn();
        self.worn.set((share + WORN.0 * (f64::from(u8::from(broke)) - share), Instant::now()));
    }

    /// The best connection for an attempt or a probe, a new one if need be.
    fn line(&self, host: &Rc<Host>, engine: &Rc<Engine>, attempt: Option<AttemptId>) -> Option<Rc<Line>> {
        let lines = engine.lines.borrow();
        let fits = |line: &&Rc<Line>| match attempt {
            Some(attempt) => line.takes(attempt) && line.load() < self.terms.streams,
            None => !line.spent.get() && line.load() < self.terms.streams,
        };
        if self.worn() > WORN.1 {
            // Where used connections break as soon as something is asked on them, a fresh one costs a handshake, and a
            // used one an attempt that may have run.
            lines
                .iter()
                .filter(|l| l.is_up() && l.load() == 0 && l.carried.get() > 0)
                .for_each(|l| l.close());
        }
        // The one used last is the least likely to have been closed by its engine.
        let idle =
            lines.iter().filter(fits).filter(|l| l.is_up() && l.load() == 0).max_by_key(|l| l.idle.get());
        if let Some(line) = idle {
            return Some(line.clone());
        }
        let each = (self.most / self.engines.borrow().len().max(1)).max(1);
        let least = lines.iter().filter(fits).min_by_key(|l| (l.load(), !l.is_up())).cloned();
        let count = lines.len();
        drop(lines);
        if (count >= each && least.is_some()) || (self.connections() >= self.most && !self.make_room()) {
            return least;
        }
        Some(connect(host, engine))
    }

    /// Closes the connection that has been idle for longest; false if there is none.
    fn make_room(&self) -> bool {
        let engines = self.engines.borrow();
        let idle = |line: &Rc<Line>| line.is_up() && line.load() == 0;
        let all = engines.values().flat_map(|e| e.lines.borrow().iter().cloned().collect::<Vec<_>>());
        match all.filter(idle).min_by_key(|l| l.idle.get()) {
            Some(line) => {
                line.close();
                true
            }
            None => false,
        }
    }

    /// Gives an attempt up.
    pub fn withdraw(&self, engine: EngineId, attempt: AttemptId) {
        let Some(engine) = self.engines.borrow().get(&engine).cloned() else { return };
        let Some((line, since)) = engine.places.borrow_mut().remove(&attempt) else { return };
        line.waiting.borrow_mut().retain(|w| !matches!(w, Waiting::Launch(l, _) if l.attempt == attempt));
        let mut out = Vec::new();
        line.link.borrow_mut().withdraw(attempt, &mut out);
        line.send(&out);
        if line.is_up() && line.heard.get() < since {
            // Not a word since it was asked: the peer may be gone without a trace, and this connection with it.
            line.spent.set(true);
        }
        line.idle.set(Instant::now());
    }

    /// Gives an attempt another priority.
    pub fn renice(&self, engine: EngineId, attempt: AttemptId, rank: u8) {
        let Some(engine) = self.engines.borrow().get(&engine).cloned() else { return };
        let Some((line, _)) = engine.places.borrow().get(&attempt).cloned() else { return };
        for waiting in line.waiting.borrow_mut().iter_mut() {
            if let Waiting::Launch(launch, _) = waiting {
                launch.rank = if launch.attempt == attempt { rank } else { launch.rank };
            }
        }
        let mut out = Vec::new();
        line.link.borrow_mut().renice(attempt, rank, &mut out);
        line.send(&out);
    }

    /// Checks an engine.
    pub fn probe(&self, host: &Rc<Host>, id: EngineId) {
        let engine = self.engines.borrow().get(&id).cloned();
        let line = engine.as_ref().and_then(|e| self.line(host, e, None));
        let Some((engine, line)) = engine.zip(line) else {
            let host = host.clone();
            return host.clone().spawn(async move {
                host.core(|core, now| core.probed(now, id, false, Load::default()));
            });
        };
        if line.is_up() {
            ask(host, &engine, &line);
        } else {
            line.waiting.borrow_mut().push(Waiting::Probe);
        }
    }

    /// Closes what is not needed: connections idle for so long that their engine would close them soon, spent ones
    /// without requests, and all of engines that have left.
    pub fn sweep(&self, now: Instant) {
        // Ours close first: a request that crosses the engine's close may or may not have run.
        let idle = Duration::from_micros(self.terms.idle) * 2 / 3;
        let mut engines = self.engines.borrow_mut();
        for engine in engines.values() {
            for line in engine.lines.borrow().iter().filter(|l| l.is_up() && l.load() == 0) {
                let old = !idle.is_zero() && now.saturating_duration_since(line.idle.get()) > idle;
                if line.spent.get() || old {
                    line.close();
                }
            }
        }
        engines.retain(|_, e| e.listed.get() != Listed::Removed || !e.lines.borrow().is_empty());
    }
}

/// Writes an attempt on a connection that is up.
fn write(host: &Host, line: &Line, launch: &Launch) -> bool {
    let left = launch.until.saturating_sub(host.clock.now()) / 1000;
    let mut out = Vec::with_capacity(launch.body.len() + 192);
    let class = &host.config.names.classes[launch.class];
    line.link.borrow_mut().fetch(launch, class, left, &mut out);
    line.carried.set(line.carried.get() + 1);
    line.send(&out)
}

/// Sends a probe on a connection that is up, and sees to its time-out.
fn ask(host: &Rc<Host>, engine: &Rc<Engine>, line: &Rc<Line>) {
    let mut out = Vec::new();
    let tag = line.link.borrow_mut().probe(&mut out);
    line.send(&out);
    let (host, id, line) = (host.clone(), engine.id, line.clone());
    let within = Duration::from_micros(host.config.connections.probe_timeout);
    host.clone().spawn(async move {
        violetward_net::sleep(within).await;
        if line.link.borrow_mut().forget_probe(&tag) {
            line.spent.set(true);
            host.core(|core, now| core.probed(now, id, false, Load::default()));
        }
    });
}

/// Begins a connection and the task that reads from it.
fn connect(host: &Rc<Host>, engine: &Rc<Engine>) -> Rc<Line> {
    let now = Instant::now();
    let line = Rc::new(Line {
        duplex: RefCell::new(None),
        link: RefCell::new(Link::new()),
        waiting: RefCell::default(),
        heard: Cell::new(now),
        idle: Cell::new(now),
        spent: Cell::new(false),
        up: Cell::new(now),
        carried: Cell::new(0),
    });
    engine.lines.borrow_mut().push(line.clone());
    host.spawn(run(host.clone(), engine.clone(), line.clone()));
    line
}

async fn run(host: Rc<Host>, engine: Rc<Engine>, line: Rc<Line>) {
    let within = Duration::from_micros(host.config.connections.connect_timeout);
    let connecting = async {
        let mut dials = 1;
        loop {
            match Async::<TcpStream>::connect(engine.address.get()).await {
                Ok(socket) => break Some(socket),
                // Reset while it came up: somebody is there, and nothing has been asked yet. A refusal is final.
                Err(e) if e.kind() == ErrorKind::ConnectionReset && dials < DIALS => dials += 1,
                Err(e) => {
                    tracing::debug!(engine = %format_args!("{:x}", engine.id.0), %e, dials, "no connection");
                    break None;
                }
            }
        }
    };
    let socket = violetward_net::timeout(within, connecting).await.flatten();
    let came_up = socket.is_some();
    if let Some(socket) = socket {
        let duplex = Rc::new(Duplex::new(socket, KEPT));
        *line.duplex.borrow_mut() = Some(duplex.clone());
        begin(&host, &engine, &line);
        future::or(read(&host, &engine, &line, &duplex), async {
            duplex.drain().await;
        })
        .await;
        // Held by its state no longer: the socket closes with this task.
        duplex.close();
        line.duplex.borrow_mut().take();
    }
    end(&host, &engine, &line, came_up).await;
}

/// Writes what has waited for the connection to come up.
fn begin(host: &Rc<Host>, engine: &Rc<Engine>, line: &Rc<Line>) {
    let waiting = line.waiting.take();
    line.heard.set(Instant::now());
    line.up.set(Instant::now());
    for (at, what) in waiting.iter().enumerate() {
        match what {
            Waiting::Launch(launch, _) => {
                if !write(host, line, launch) {
                    // The rest was not written: it ends with the connection, as never sent.
                    line.link.borrow_mut().withdraw(launch.attempt, &mut Vec::new());
                    line.waiting.borrow_mut().extend(waiting.into_iter().skip(at));
                    return;
                }
            }
            Waiting::Probe => ask(host, engine, line),
        }
    }
}

async fn read(host: &Rc<Host>, engine: &Rc<Engine>, line: &Rc<Line>, duplex: &Duplex) {
    loop {
        let (mut out, mut told, mut fault) = (Vec::new(), Vec::new(), None);
        let read = duplex.read(|bytes| {
            if !bytes.is_empty() {
                fault = line.link.borrow_mut().feed(bytes, &mut out, &mut told).err();
            }
        });
        let read = read.await.unwrap_or(0);
        if read == 0 {
            return;
        }
        line.heard.set(Instant::now());
        line.send(&out);
        if let Some(why) = fault {
            if host.quotas[1].allows(host.clock.now()) {
                tracing::warn!(engine = %format_args!("{:x}", engine.id.0), why, "an answer that can't be read: connection closed");
            }
            // Everything on it was sent and may have run; its engine stands, but nothing more is heard of it here.
            line.link.borrow_mut().broken(Outcome::Broken, &mut told);
            line.spent.set(true);
            tell(host, engine, line, told);
            return;
        }
        tell(host, engine, line, told);
    }
}

/// Passes on what an engine has told.
fn tell(host: &Rc<Host>, engine: &Rc<Engine>, line: &Rc<Line>, told: Vec<Told>) {
    if told.is_empty() {
        return;
    }
    line.idle.set(Instant::now());
    for told in &told {
        if let Told::Ended(attempt, ending) = told {
            if line.carried.get() > 1 && ending.outcome == Outcome::Ok {
                host.engines.note_used(false);
            }
            tracing::debug!(engine = %format_args!("{:x}", engine.id.0), id = %crate::link::id_text(*attempt), attempt = attempt.1,
                outcome = ?ending.outcome, work = ?ending.work, load = ?ending.load, "ended");
            engine.places.borrow_mut().remove(attempt);
        }
    }
    host.core(|core, now| {
        for told in told {
            match told {
                Told::Ended(attempt, ending) => core.ended(now, attempt, ending),
                Told::Probed(ok, load) => core.probed(now, engine.id, ok, load),
            }
        }
    });
}

/// Ends what is left on a connection that is gone, and forgets it.
async fn end(host: &Rc<Host>, engine: &Rc<Engine>, line: &Rc<Line>, came_up: bool) {
    line.spent.set(true);
    engine.lines.borrow_mut().retain(|l| !Rc::ptr_eq(l, line));
    let mut told = Vec::new();
    let (load, waiting) = (line.link.borrow().load(), line.waiting.borrow().len());
    tracing::debug!(engine = %format_args!("{:x}", engine.id.0), load, waiting, came_up, carried = line.carried.get(),
        age = ?line.up.get().elapsed(), idle = ?line.idle.get().elapsed(), lines = engine.lines.borrow().len(), "connection over");
    if load > 0 {
        let outcome = if stands(host, engine).await { Outcome::Broken } else { Outcome::Reset };
        if outcome == Outcome::Broken && line.carried.get() > 1 {
            host.engines.note_used(true);
        }
        line.link.borrow_mut().broken(outcome, &mut told);
    }
    for waiting in line.waiting.take() {
        let (launch, resets) = match waiting {
            Waiting::Launch(launch, resets) => (launch, resets + 1),
            Waiting::Probe => {
                told.push(Told::Probed(false, Load::default()));
                continue;
            }
        };
        // The connection was up and broke before anything of this was written: nothing of it has reached the engine,
        // and somebody was there.
        let attempt = launch.attempt;
        let again = came_up && resets < DIALS && launch.until > host.clock.now();
        let ending = if again {
            host.engines.launch_again(host, launch, resets)
        } else {
            Some(Ending::of(Outcome::ConnectFailed))
        };
        told.extend(ending.map(|ending| Told::Ended(attempt, ending)));
    }
    tell(host, engine, line, told);
}

/// Whether an engine's process goes on after one of its connections broke. All connections of a process that dies are
/// reset with it, and new ones are refused: another one that is still quiet a moment later, or a new one that comes up,
/// proves that it stands.
async fn stands(host: &Rc<Host>, engine: &Rc<Engine>) -> bool {
    let witness = |line: &Rc<Line>| line.duplex.borrow().as_ref().is_some_and(|d| d.is_alive());
    for turn in 0..WITNESS.1 {
        violetward_net::sleep(WITNESS.0).await;
        if engine.lines.borrow().iter().any(witness) {
            return true;
        }
        if turn == 0 && engine.lines.borrow().is_empty() && engine.listed.get() == Listed::Up {
            connect(host, engine);
        }
    }
    false
}
