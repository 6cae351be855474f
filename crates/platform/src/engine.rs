//! Connections to engines, kept by engine and not by address: a new engine may have a gone one's.
//!
//! A request has a connection to itself where descriptors allow it, since what is spoilt on one ends all that is open
//! there; where they do not, up to the settings' streams share one. What finds none ready waits with its engine, not with
//! the connection that is dialled for it: the first one that comes up or gets free carries it.

mod dial;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::future;
use violetward::{EngineId, Listed, Load, Micros, Outcome};
use violetward_net::Duplex;
use violetward_settings::ConnectionSettings;

use dial::{dial, reach, within, Missed};

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

/// Weight of one break of a connection under a request in the share of such breaks, how far the share of used ones has to
/// lie over that of fresh ones for requests to get fresh ones, and how fast what was seen fades. One break alone is less.
const WORN: (f64, f64, Duration) = (0.02, 0.03, Duration::from_secs(10));

/// What waits for a connection.
struct Waiting {
    /// Tells it apart from all else that has waited for the same engine.
    number: u64,
    what: What,
    since: Instant,
    /// Connections that it has found reset before anything of it was written.
    resets: u32,
}

enum What {
    Launch(Launch),
    Probe,
}

impl What {
    fn attempt(&self) -> Option<AttemptId> {
        match self {
            What::Launch(launch) => Some(launch.attempt),
            What::Probe => None,
        }
    }
}

impl Waiting {
    /// Its time is over; the core's timer ends it in a moment.
    fn is_over(&self, now: Micros) -> bool {
        matches!(&self.what, What::Launch(launch) if launch.until <= now)
    }

    fn attempt(&self) -> Option<AttemptId> {
        self.what.attempt()
    }
}

/// A connection, or one that is coming up.
struct Line {
    duplex: RefCell<Option<Rc<Duplex>>>,
    link: RefCell<Link>,
    /// Something was last read from it.
    heard: Cell<Instant>,
    /// Since when nothing is open on it.
    idle: Cell<Instant>,
    /// Nothing new goes on it: it was silent to a request given up, or its engine has another address now.
    spent: Cell<bool>,
    /// Another one was dialled because this one is late; told when nothing waits for it any more.
    passed: Cell<bool>,
    unneeded: Event,
    /// When it came up, or was dialled, and how many requests it has carried.
    up: Cell<Instant>,
    carried: Cell<u32>,
}

impl Line {
    fn load(&self) -> usize {
        self.link.borrow().load()
    }

    fn send(&self, bytes: &[u8]) -> bool {
        bytes.is_empty() || self.duplex.borrow().as_ref().is_some_and(|d| d.send(bytes))
    }

    /// Gives it up at once. Bytes that its engine has not taken yet never reach it.
    fn close(&self) {
        self.spent.set(true);
        if let Some(duplex) = &*self.duplex.borrow() {
            duplex.abort();
        }
    }

    fn takes(&self, attempt: Option<AttemptId>) -> bool {
        !self.spent.get() && attempt.is_none_or(|attempt| self.link.borrow().takes(attempt))
    }

    fn is_up(&self) -> bool {
        self.duplex.borrow().is_some()
    }

    /// It is up and was not ended from this side.
    fn is_open(&self) -> bool {
        self.duplex.borrow().as_ref().is_some_and(|d| !d.is_closed())
    }

    /// Bytes wait here for its engine to take them.
    fn keeps(&self) -> bool {
        self.duplex.borrow().as_ref().is_some_and(|d| d.unsent().0 > 0)
    }

    /// Nothing is on its way on it in either direction, as far as can be seen, and no message has been cut off on it.
    fn is_quiet(&self) -> bool {
        let quiet = self.duplex.borrow().as_ref().is_some_and(|d| d.is_idle());
        quiet && !self.keeps() && !self.link.borrow().is_within()
    }

    /// It is being dialled, for whatever waits.
    fn is_coming(&self) -> bool {
        !self.is_up() && !self.spent.get()
    }
}

struct Engine {
    id: EngineId,
    address: Cell<SocketAddr>,
    listed: Cell<Listed>,
    /// When its process came up, as listed.
    came_up: Cell<Micros>,
    lines: RefCell<Vec<Rc<Line>>>,
    /// Where each attempt was written, and when.
    places: RefCell<HashMap<AttemptId, (Rc<Line>, Instant)>>,
    /// What waits for a connection, in order. It leaves when it is written, given up, or its engine refuses.
    waiting: RefCell<VecDeque<Waiting>>,
    /// How long a dial usually takes; late ones count for twice that at most.
    dial: Cell<Option<Duration>>,
    /// When something last came from it, were it a connection that came up, and when it last refused one.
    heard: Cell<Instant>,
    refused: Cell<Option<Instant>>,
    /// Probes in a row whose connection broke under them while the process went on.
    broken_probes: Cell<u32>,
    /// How much has waited for a connection so far.
    waited: Cell<u64>,
}

impl Engine {
    /// Nothing new goes on the connections there are. What waits for one has not been sent; probes wait on.
    fn retire(&self, unsent: &mut Vec<(AttemptId, Ending)>) {
        self.lines.borrow().iter().for_each(|line| line.spent.set(true));
        self.waiting.borrow_mut().retain(|waiting| {
            // Its engine drains, has left or is elsewhere: that does not say that its process is gone.
            unsent.extend(waiting.attempt().map(|a| (a, Ending::of(Outcome::Moot))));
            waiting.attempt().is_none()
        });
    }

    fn is_coming(&self) -> bool {
        self.lines.borrow().iter().any(|l| l.is_coming())
    }

    /// Probes whose connection broke wait for another one: they are asked again, but not for ever, since a connection that
    /// breaks says nothing of an engine that stands.
    fn ask_again(&self, told: &mut Vec<Told>) {
        let broken = told.iter().filter(|told| matches!(told, Told::Probed(..))).count();
        if broken == 0 || self.broken_probes.get() >= DIALS {
            return;
        }
        self.broken_probes.set(self.broken_probes.get() + 1);
        told.retain(|told| !matches!(told, Told::Probed(..)));
        for _ in 0..broken {
            self.wait(What::Probe);
        }
    }

    /// Lets something wait for a connection, behind all that waits already; its number.
    fn wait(&self, what: What) -> u64 {
        let number = self.waited.replace(self.waited.get() + 1);
        let waiting = Waiting { number, what, since: Instant::now(), resets: 0 };
        self.waiting.borrow_mut().push_back(waiting);
        number
    }

    /// What waits and is such, as never sent; `outcome` says why.
    fn unserved(&self, outcome: Outcome, is_such: impl Fn(&Waiting) -> bool) -> Vec<Told> {
        let never = |waiting: Waiting| match waiting.what {
            What::Launch(launch) => Told::Ended(launch.attempt, Ending::of(outcome)),
            What::Probe => Told::Probed(false, Load::default()),
        };
        let (ended, kept): (VecDeque<_>, _) = self.waiting.take().into_iter().partition(is_such);
        *self.waiting.borrow_mut() = kept;
        ended.into_iter().map(never).collect()
    }
}

/// All engines that are listed or still owe an answer.
pub struct Engines {
    most: usize,
    /// How often fresh and used connections broke under a request of late, and when that was last seen.
    breaks: [Cell<(f64, Instant)>; 2],
    terms: ConnectionSettings,
    engines: RefCell<HashMap<EngineId, Rc<Engine>>>,
}

impl Engines {
    /// None yet; up to `most` connections in all.
    pub fn new(most: usize, terms: ConnectionSettings) -> Self {
        Engines {
            most,
            breaks: [0; 2].map(|_| Cell::new((0.0, Instant::now()))),
            terms,
            engines: RefCell::default(),
        }
    }

    /// Connections there are, those that come up or are closing included.
    pub fn connections(&self) -> usize {
        self.engines.borrow().values().map(|e| e.lines.borrow().len()).sum()
    }

    /// Takes a new list. Attempts that wait for a connection to an engine that drains, has left, or is elsewhere or another
    /// process now end here: what is sent once that comes up would come too late for the rule on drains, or to another engine.
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
                    came_up: Cell::new(listing.entry.came_up),
                    lines: RefCell::default(),
                    places: RefCell::default(),
                    waiting: RefCell::default(),
                    dial: Cell::new(None),
                    heard: Cell::new(Instant::now()),
                    refused: Cell::new(None),
                    broken_probes: Cell::new(0),
                    waited: Cell::new(0),
                })
            });
            engine.listed.set(listing.entry.listed);
            let moved = engine.address.replace(listing.address) != listing.address;
            let restarted = engine.came_up.replace(listing.entry.came_up) != listing.entry.came_up;
            if moved || restarted || listing.entry.listed != Listed::Up {
                engine.retire(&mut unsent);
            }
        }
        drop(engines);
        self.sweep(Instant::now());
        unsent
    }

    /// Begins an attempt; its end, if it has ended already.
    pub fn launch(&self, host: &Rc<Host>, launch: Launch) -> Option<Ending> {
        tracing::debug!(engine = %format_args!("{:x}", launch.engine.0), id = %crate::link::id_text(launch.attempt),
            attempt = launch.attempt.1, memory = launch.memory_mb, rank = launch.rank, "launch");
        let engine = self.engines.borrow().get(&launch.engine).cloned();
        let engine = engine.filter(|e| e.listed.get() == Listed::Up);
        let attempt = launch.attempt;
        let taken = engine.is_some_and(|engine| self.ask(host, &engine, What::Launch(launch)));
        (!taken).then(|| {
            tracing::debug!(id = %crate::link::id_text(attempt), attempt = attempt.1, "no way to it");
            // It has left, or there may be no more connections: neither says that its process is gone.
            Ending::of(Outcome::Moot)
        })
    }

    /// Has something written on a connection to an engine, now or as soon as there is one; false if there is no way.
    fn ask(&self, host: &Rc<Host>, engine: &Rc<Engine>, what: What) -> bool {
        let attempt = what.attempt();
        let number = engine.wait(what);
        self.serve(host, engine);
        if engine.needs_dial(engine.late(within(host))) && self.may_dial(engine, attempt) {
            dial(host, engine, true);
        }
        let ready = |line: &Rc<Line>| line.is_coming() || line.is_up() && line.takes(attempt);
        if engine.lines.borrow().iter().any(ready) {
            return true;
        }
        // What has been written waits no more, and others may: they must not be taken for it.
        let mut waiting = engine.waiting.borrow_mut();
        let place = waiting.iter().position(|w| w.number == number);
        place.and_then(|place| waiting.remove(place)).is_none()
    }

    /// Writes what waits on the connections that are ready, and dials for the rest.
    fn serve(&self, host: &Rc<Host>, engine: &Rc<Engine>) {
        let mut at = 0;
        while at < engine.waiting.borrow().len() {
            let attempt = engine.waiting.borrow()[at].attempt();
            let Some(line) = self.ready(engine, attempt) else {
                at += 1;
                continue;
            };
            let Some(waiting) = engine.waiting.borrow_mut().remove(at) else { return };
            // One that the core has given up may not be written any more, also if its withdrawal is still to be carried out.
            let wanted = waiting.attempt().is_none_or(|attempt| host.look(|core| core.is_out(attempt)));
            if !wanted || waiting.is_over(host.clock.now()) || write(host, engine, &line, &waiting) {
                continue;
            }
            // It turns out to be dead before anything was written: that proves nothing of the engine.
            line.close();
            engine.waiting.borrow_mut().insert(at, Waiting { resets: waiting.resets + 1, ..waiting });
        }
        if engine.waiting.borrow().is_empty() {
            // A late dial whose request went another way would only cost a handshake.
            for line in engine.lines.borrow().iter().filter(|l| l.is_coming() && l.passed.get()) {
                line.spent.set(true);
                line.unneeded.notify(1);
            }
        }
        // Whatever took its dial away, what waits must not wait for nothing.
        let waits: Vec<_> = engine.waiting.borrow().iter().map(Waiting::attempt).collect();
        if !engine.is_coming() && waits.into_iter().any(|attempt| self.may_dial(engine, attempt)) {
            dial(host, engine, true);
        }
    }

    /// How much more often used connections break than fresh ones.
    fn worn(&self) -> f64 {
        let [fresh, used] = [0, 1].map(|kind| self.breaks(kind));
        used - fresh
    }

    fn breaks(&self, kind: usize) -> f64 {
        let (share, at) = self.breaks[kind].get();
        share * (-at.elapsed().as_secs_f64() / WORN.2.as_secs_f64()).exp()
    }

    /// A request on a connection has ended, or its connection has broken under it.
    fn note_break(&self, line: &Line, broke: bool) {
        let kind = usize::from(line.carried.get() > 1);
        let share = self.breaks(kind);
        self.breaks[kind].set((share + WORN.0 * (f64::from(u8::from(broke)) - share), Instant::now()));
    }

    /// The best connection that is up and free for an attempt or a probe; where there may be no more, one that others use.
    fn ready(&self, engine: &Rc<Engine>, attempt: Option<AttemptId>) -> Option<Rc<Line>> {
        let lines = engine.lines.borrow();
        let idle = |l: &&Rc<Line>| l.is_up() && l.load() == 0;
        if self.worn() > WORN.1 {
            // Where used connections break as soon as something is asked on them, a fresh one costs a handshake, and a
            // used one an attempt that may have run.
            lines.iter().filter(idle).filter(|l| l.carried.get() > 0).for_each(|l| l.close());
        }
        lines.iter().filter(idle).filter(|l| !l.is_quiet()).for_each(|l| l.close());
        let fits = |l: &&Rc<Line>| l.is_up() && l.takes(attempt) && l.load() < self.terms.streams;
        // The one used last is the least likely to have been closed by its engine.
        let best = lines.iter().filter(fits).filter(idle).max_by_key(|l| l.idle.get());
        let shared = || lines.iter().filter(fits).min_by_key(|l| l.load());
        let has_room = || self.connections() < self.most || self.idle_longest().is_some();
        best.or_else(|| if lines.len() < self.each() && has_room() { None } else { shared() }).cloned()
    }

    /// Connections that an engine may have.
    fn each(&self) -> usize {
        (self.most / self.engines.borrow().len().max(1)).max(1)
    }

    /// Whether there is room for one more connection to an engine, for an attempt or a probe. Those there are may be of no
    /// use to it any more.
    fn may_dial(&self, engine: &Rc<Engine>, attempt: Option<AttemptId>) -> bool {
        let (count, useless) = {
            let lines = engine.lines.borrow();
            (lines.len(), !lines.iter().any(|l| l.takes(attempt)))
        };
        (count < self.each() || useless) && (self.connections() < self.most || self.make_room())
    }

    /// Closes the connection that has been idle for longest; false if there is none. It counts until its descriptor is
    /// free, and makes room once.
    fn make_room(&self) -> bool {
        let idle = self.idle_longest();
        idle.iter().for_each(|line| line.close());
        idle.is_some()
    }

    fn idle_longest(&self) -> Option<Rc<Line>> {
        let engines = self.engines.borrow();
        let idle = |line: &Rc<Line>| line.is_open() && line.load() == 0;
        let all = engines.values().flat_map(|e| e.lines.borrow().iter().cloned().collect::<Vec<_>>());
        all.filter(idle).min_by_key(|l| l.idle.get())
    }

    /// Gives an attempt up.
    pub fn withdraw(&self, host: &Rc<Host>, engine: EngineId, attempt: AttemptId) {
        let Some(engine) = self.engines.borrow().get(&engine).cloned() else { return };
        engine.waiting.borrow_mut().retain(|w| w.attempt() != Some(attempt));
        let Some((line, since)) = engine.places.borrow_mut().remove(&attempt) else { return };
        let mut out = Vec::new();
        line.link.borrow_mut().withdraw(attempt, &mut out);
        line.send(&out);
        if line.is_up() && (line.heard.get() < since || line.link.borrow().is_within()) {
            // Not a word since it was asked: the peer may be gone without a trace, and this connection with it. Or half a
            // message, whose rest may come after the next answer's time, or never.
            line.spent.set(true);
        }
        if line.load() == 0 && line.keeps() {
            // What the peer has not taken of the request must not reach it later: its client may be gone.
            line.close();
        }
        line.idle.set(Instant::now());
        self.serve(host, &engine);
    }

    /// Gives an attempt another priority.
    pub fn renice(&self, engine: EngineId, attempt: AttemptId, rank: u8) {
        let Some(engine) = self.engines.borrow().get(&engine).cloned() else { return };
        for waiting in engine.waiting.borrow_mut().iter_mut() {
            if let What::Launch(launch) = &mut waiting.what {
                launch.rank = if launch.attempt == attempt { rank } else { launch.rank };
            }
        }
        let Some((line, _)) = engine.places.borrow().get(&attempt).cloned() else { return };
        let mut out = Vec::new();
        line.link.borrow_mut().renice(attempt, rank, &mut out);
        line.send(&out);
    }

    /// Checks an engine.
    pub fn probe(&self, host: &Rc<Host>, id: EngineId) {
        let engine = self.engines.borrow().get(&id).cloned();
        if !engine.is_some_and(|engine| self.ask(host, &engine, What::Probe)) {
            let host = host.clone();
            host.clone().spawn(async move {
                host.core(|core, now| core.probed(now, id, false, Load::default()));
            });
        }
    }

    /// Closes what is not needed: connections idle for so long that their engine would close them soon, spent ones
    /// without requests, and all of engines that have left.
    pub fn sweep(&self, now: Instant) {
        // Ours close first: a request that crosses the engine's close may or may not have run.
        let idle = Duration::from_micros(self.terms.idle_timeout) * 2 / 3;
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

/// Writes what has waited on a connection that is up; false if nothing of it can have reached its engine whole.
fn write(host: &Rc<Host>, engine: &Rc<Engine>, line: &Rc<Line>, waiting: &Waiting) -> bool {
    match &waiting.what {
        What::Probe => write_probe(host, engine, line),
        What::Launch(launch) => {
            tracing::debug!(id = %crate::link::id_text(launch.attempt), attempt = launch.attempt.1,
                waited = ?waiting.since.elapsed(), carried = line.carried.get(), age = ?line.up.get().elapsed(), "write");
            write_launch(host, engine, line, launch)
        }
    }
}

fn write_launch(host: &Host, engine: &Engine, line: &Rc<Line>, launch: &Launch) -> bool {
    let left = launch.until.saturating_sub(host.clock.now()) / 1000;
    let mut out = Vec::with_capacity(launch.body.len() + 192);
    let class = &host.config.names.classes[launch.class];
    line.link.borrow_mut().fetch(launch, class, left, &mut out);
    line.carried.set(line.carried.get() + 1);
    let written = line.send(&out);
    if written {
        host.written(launch.attempt);
        engine.places.borrow_mut().insert(launch.attempt, (line.clone(), Instant::now()));
    } else {
        // It waits for another connection, and has surely not run.
        line.link.borrow_mut().withdraw(launch.attempt, &mut Vec::new());
    }
    written
}

/// Sends a probe and sees to its time-out.
fn write_probe(host: &Rc<Host>, engine: &Engine, line: &Rc<Line>) -> bool {
    let mut out = Vec::new();
    let tag = line.link.borrow_mut().probe(&mut out);
    if !line.send(&out) {
        line.link.borrow_mut().forget_probe(&tag);
        return false;
    }
    let (host, id, line) = (host.clone(), engine.id, line.clone());
    let within = Duration::from_micros(host.config.connections.probe_timeout);
    host.clone().spawn(async move {
        violetward_net::sleep(within).await;
        if line.link.borrow_mut().forget_probe(&tag) {
            line.spent.set(true);
            host.core(|core, now| core.probed(now, id, false, Load::default()));
        }
    });
    true
}

async fn run(host: Rc<Host>, engine: Rc<Engine>, line: Rc<Line>, first: bool) {
    let reached = reach(&host, &engine, &line, first).await;
    let (began, took) = (line.up.get(), line.up.get().elapsed());
    let socket = match reached {
        Ok(socket) => socket,
        Err(why) => {
            engine.lines.borrow_mut().retain(|l| !Rc::ptr_eq(l, &line));
            tracing::debug!(engine = %format_args!("{:x}", engine.id.0), ?why, ?took, heard = ?engine.heard.get().elapsed(),
                spent = line.spent.get(), "not up");
            if why == Missed::NoDescriptor && !line.spent.get() {
                return without_descriptor(&host, &engine, &line).await;
            }
            // What was dialled for an address that is not its engine's any more says nothing of it. Neither does a dial
            // that is not up in time, if the engine was heard meanwhile: the way there is bad. What waits is better
            // served by the next dial than told that its engine is gone: the module takes that for a restart.
            if !line.spent.get() && (why == Missed::Failed || engine.heard.get() < began) {
                tell(&host, &engine, &line, engine.unserved(Outcome::ConnectFailed, |_| true));
            }
            return host.engines.serve(&host, &engine);
        }
    };
    tracing::debug!(engine = %format_args!("{:x}", engine.id.0), ?took, first, "up");
    engine.note_dial(took);
    let duplex = Rc::new(Duplex::new(socket, KEPT));
    *line.duplex.borrow_mut() = Some(duplex.clone());
    for at in [&line.heard, &line.up, &line.idle, &engine.heard] {
        at.set(Instant::now());
    }
    host.engines.serve(&host, &engine);
    future::or(read(&host, &engine, &line, &duplex), async {
        duplex.run_writer().await;
        // What came in before the connection broke is still to be read; the reader finds the end behind it.
        future::pending().await
    })
    .await;
    let by_peer = !duplex.is_closed();
    line.duplex.borrow_mut().take();
    // The descriptor is free before the connection counts no more.
    drop(duplex);
    end(&host, &engine, &line, by_peer).await;
}

/// Ends what waits for a connection that this machine has no descriptor for. That says nothing of the engine: requests may
/// find a connection elsewhere, and a probe is asked as soon as there is one here.
async fn without_descriptor(host: &Rc<Host>, engine: &Rc<Engine>, line: &Rc<Line>) {
    let gone = engine.listed.get() == Listed::Removed;
    tell(host, engine, line, engine.unserved(Outcome::Moot, |w| gone || w.attempt().is_some()));
    host.engines.serve(host, engine);
    while !engine.waiting.borrow().is_empty() && !engine.is_coming() {
        violetward_net::sleep(within(host)).await;
        host.engines.serve(host, engine);
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
        engine.heard.set(Instant::now());
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
    if told.iter().any(|told| matches!(told, Told::Probed(..))) {
        engine.broken_probes.set(0);
    }
    for told in &told {
        if let Told::Ended(attempt, ending) = told {
            if ending.outcome == Outcome::Ok {
                host.engines.note_break(line, false);
            }
            tracing::debug!(engine = %format_args!("{:x}", engine.id.0), id = %crate::link::id_text(*attempt), attempt = attempt.1,
                outcome = ?ending.outcome, work = ?ending.work, load = ?ending.load, "ended");
            engine.places.borrow_mut().remove(attempt);
        }
    }
    // What waits is older than what the module sends next.
    host.engines.serve(host, engine);
    host.core(|core, now| {
        for told in told {
            match told {
                Told::Ended(attempt, ending) => core.ended(now, attempt, ending),
                Told::Probed(ok, load) => core.probed(now, engine.id, ok, load),
            }
        }
    });
}

/// Ends what is left on a connection that is gone, and forgets it. `by_peer` if it was not ended from this side.
async fn end(host: &Rc<Host>, engine: &Rc<Engine>, line: &Rc<Line>, by_peer: bool) {
    line.spent.set(true);
    engine.lines.borrow_mut().retain(|l| !Rc::ptr_eq(l, line));
    let (load, mut told) = (line.link.borrow().load(), Vec::new());
    tracing::debug!(engine = %format_args!("{:x}", engine.id.0), load, carried = line.carried.get(), age = ?line.up.get().elapsed(),
        idle = ?line.idle.get().elapsed(), lines = engine.lines.borrow().len(), "connection over");
    if load > 0 {
        let outcome = if stands(host, engine).await { Outcome::Broken } else { Outcome::Reset };
        if outcome == Outcome::Broken {
            host.engines.note_break(line, true);
        }
        line.link.borrow_mut().broken(outcome, &mut told);
        if outcome == Outcome::Broken {
            engine.ask_again(&mut told);
        }
    }
    if line.carried.get() == 0 && by_peer {
        // Somebody was there and closed before anything was asked: what waits is dialled for again, but not for ever.
        engine.waiting.borrow_mut().iter_mut().for_each(|w| w.resets += 1);
        told.extend(engine.unserved(Outcome::ConnectFailed, |w| w.resets >= DIALS));
    }
    tell(host, engine, line, told);
    host.engines.serve(host, engine);
}

/// Whether an engine's process goes on after one of its connections broke. All connections of a process that dies are
/// reset with it, and new ones are refused: another one that is still quiet a moment later, or a new one that comes up,
/// proves that it stands. So does a new one that is late: a refusal would have come by then.
async fn stands(host: &Rc<Host>, engine: &Rc<Engine>) -> bool {
    let broke = Instant::now();
    let witness = |line: &Rc<Line>| line.duplex.borrow().as_ref().is_some_and(|d| d.is_alive());
    for turn in 0..WITNESS.1 {
        violetward_net::sleep(WITNESS.0).await;
        if engine.lines.borrow().iter().any(witness) {
            return true;
        }
        if engine.refused.get().is_some_and(|at| at >= broke) {
            return false;
        }
        if turn == 0 && !engine.is_coming() && engine.listed.get() == Listed::Up {
            dial(host, engine, true);
        }
    }
    engine.is_coming()
}
