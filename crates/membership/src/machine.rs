//! The state machine: probes, suspicion, gossip, proofs of life, and what is worked out from them.

mod beliefs;
mod gossip;
mod lives;
mod probing;
mod standing;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::share::{Known, Share};
use crate::wire::{
    name_hash, Cut, Datagram, Demand, Keys, Kind, Record, Refused, State, BUCKETS, CUTS, SAID,
};

/// Microseconds of a clock that never goes back.
pub type Micros = u64;

/// Rounds in which a probe is repeated before it fails: loss must hit all of them.
const ROUNDS: u32 = 4;
/// Others that are asked to try in each round.
const HELPERS: usize = 3;
/// The time of suspicion: at least so many periods for each power of ten of members, and how many times that at most.
const SUSPICION: (f64, f64) = (4.0, 6.0);
/// Further accusers after which the time of suspicion is at its least.
const ACCUSERS: usize = 3;
/// Worst local health: spans grow by it, plus one.
const ILL: u32 = 8;
/// Each piece of news is sent on so many times for each power of two of members.
const SPREAD: u32 = 3;
/// Records in one datagram, beside those of an exchange of state.
const RIDERS: usize = 6;
/// Datagrams of one exchange of state.
const CHUNKS: usize = 8;
/// Periods between two exchanges of digests.
const SYNC: u64 = 8;
/// Periods without a word, or without an answer, after which this one counts as cut off or unheard.
const ALONE: u64 = 6;
/// Periods for which a member that is dead or has left is remembered, so that it can be asked again and old news of it
/// are known as old.
const REMEMBER: u64 = 2_000;
/// Periods between two demands told, and the change that makes one worth telling.
const RETELL: (u64, f64) = (4, 0.2);
/// Periods for which a word counts as recent, at most.
const ROUND: u64 = 64;
/// Lives of one name that are believed at once: a process and the one that takes its place.
const LIVES: usize = 2;
/// Proofs given and questions relayed at once; more are dropped until some are over.
const AT_ONCE: usize = 64;
/// Datagrams that count as recent behind the highest number seen.
const WINDOW: u64 = 64;

/// What a member needs to know at its start.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Its name, the same after a restart.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Where members may be found at the start.
    pub seeds: Vec<SocketAddr>,
    /// Where to send what is for a member, in place of the address that it tells.
    pub via: BTreeMap<String, SocketAddr>,
    /// The keys.
    pub keys: Keys,
    /// Between two probes.
    pub period: Micros,
    /// Members that are known at once; names beyond them are not taken in.
    pub most: usize,
    /// Gateways that the configuration names.
    pub fleet: u32,
    /// The most that all shares may add up to, whatever each believes.
    pub widest: f64,
    /// How much of the even share the share widens by in a second.
    pub widen: f64,
    /// Without the extensions: plain SWIM, as a baseline.
    pub plain: bool,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Something has changed.
    Told(Change),
    /// The share of the fleet is this now.
    Share(f64),
    /// A member, proved to live, said something to what stands on membership.
    Heard(String, Vec<u8>),
}

/// A change worth a line in the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A member's state.
    Member {
        /// Its name.
        name: String,
        /// The state before; `None` for a member that is new.
        was: Option<State>,
        /// The state.
        state: State,
        /// Its incarnation.
        incarnation: u32,
    },
    /// How this one stands with the others.
    Standing(Standing),
    /// This process stood still for so long.
    Paused(Micros),
    /// A link's state.
    Link(String, Link),
    /// Another process has this one's name, there.
    Rival(SocketAddr),
}

/// How a member stands with the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It has heard of nobody yet.
    Joining,
    /// It hears others and they hear it.
    Whole,
    /// It hears nobody.
    CutOff,
    /// It hears others, and nobody hears it.
    Unheard,
    /// It stood still and has not been answered since.
    Waking,
    /// Another process that was there before has its name.
    Doubled,
}

impl Standing {
    /// A word for the log and the table.
    pub fn word(self) -> &'static str {
        match self {
            Standing::Joining => "joining",
            Standing::Whole => "whole",
            Standing::CutOff => "cut-off",
            Standing::Unheard => "unheard",
            Standing::Waking => "waking",
            Standing::Doubled => "doubled",
        }
    }
}

/// What is known of the link to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Both ways, or nothing is known.
    Good,
    /// What is sent there does not come there, whether or not what comes from there comes.
    Outbound,
    /// What is sent there comes there; what comes from there does not come here.
    Inbound,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent, and their octets.
    pub sent: (u64, u64),
    /// Datagrams taken, and their octets.
    pub taken: (u64, u64),
    /// Datagrams that were not taken: unreadable, oversized, of an unknown key, forged, replayed, unproved.
    pub refused: [u64; 6],
    /// Probes that failed.
    pub failed: u64,
    /// Suspicions raised here.
    pub suspected: u64,
    /// Members declared dead here.
    pub declared: u64,
    /// Own refutations.
    pub refuted: u64,
    /// Pauses noticed.
    pub paused: u64,
}

/// A row of the view.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// What is believed.
    pub record: Record,
    /// Since when.
    pub since: Micros,
    /// The link there.
    pub link: Link,
}

#[derive(Debug)]
struct Member {
    record: Record,
    since: Micros,
    /// Marks of those who suspect it, and when that becomes its death, at the least and at the most.
    accusers: Vec<u32>,
    link: Link,
    /// Probes in a row that were answered only by others' hands.
    indirect: u32,
    /// When something last came from it directly.
    heard: Option<Micros>,
}

/// What is known of the datagrams of one process.
#[derive(Debug)]
struct Peer {
    life: u64,
    /// Where its datagrams come from, and when it proved itself.
    address: SocketAddr,
    proved: Micros,
    highest: u64,
    seen: u64,
}

#[derive(Debug)]
struct Question {
    life: u64,
    nonce: u64,
    until: Micros,
}

#[derive(Debug)]
struct Probe {
    number: u32,
    target: String,
    began: Micros,
    round: u32,
    next: Micros,
    helped: bool,
}

#[derive(Debug)]
struct Errand {
    number: u32,
    origin: String,
    theirs: u32,
    until: Micros,
}

/// A member. See the crate's documentation.
#[derive(Debug)]
pub struct Membership {
    terms: Terms,
    dice: u64,
    now: Micros,
    started: Micros,
    me: Record,
    members: BTreeMap<String, Member>,
    peers: BTreeMap<String, Vec<Peer>>,
    questions: BTreeMap<String, Question>,
    /// News by name: how often each has been sent on.
    news: BTreeMap<String, u32>,
    order: Vec<String>,
    probe: Option<Probe>,
    probes: u32,
    errands: Vec<Errand>,
    next_probe: Micros,
    next_sync: Micros,
    next_tell: Micros,
    /// The wake-up asked for last: one that comes much later tells that this process stood still.
    planned: Micros,
    ill: u32,
    heard: Micros,
    answered: Micros,
    /// Nobody is accused before this process has been answered, after a pause.
    asleep: Option<Micros>,
    joined: bool,
    announced: bool,
    /// A process with this one's name: where, its life, the question to it, and until when it may answer.
    rival: Option<(SocketAddr, u64, u64, Micros)>,
    next_rival: Micros,
    doubled: bool,
    left: bool,
    standing: Standing,
    share: Share,
    told_share: f64,
    demand: Demand,
    numbers: u64,
    /// Names that are suspected, and what is worked out from all members when something of them has changed.
    suspects: BTreeSet<String>,
    changed: bool,
    known: Known,
    effects: VecDeque<Effect>,
    /// Counts since the start.
    pub counts: Counts,
}

impl Membership {
    /// A member that starts at a time. `seed` feeds its life and all that it draws.
    pub fn new(terms: Terms, seed: u64, now: Micros) -> Self {
        let mut dice = seed;
        let life = draw(&mut dice);
        let me = Record {
            name: terms.name.clone(),
            site: terms.site.clone(),
            address: terms.address,
            life,
            incarnation: 1,
            state: State::Alive,
            by: 0,
            beat: 0,
            demand: Demand::default(),
            cuts: Vec::new(),
        };
        let share = Share::new(terms.widest, terms.widen, terms.fleet, now);
        Membership {
            share,
            told_share: 0.0,
            me,
            now,
            started: now,
            members: BTreeMap::new(),
            peers: BTreeMap::new(),
            questions: BTreeMap::new(),
            news: BTreeMap::new(),
            order: Vec::new(),
            probe: None,
            // Two processes of one name must not take each other's answers for theirs.
            probes: draw(&mut dice) as u32,
            errands: Vec::new(),
            next_probe: now,
            next_sync: now,
            next_tell: now,
            planned: now,
            ill: 0,
            heard: now,
            answered: now,
            asleep: None,
            joined: false,
            announced: false,
            rival: None,
            next_rival: now,
            doubled: false,
            left: false,
            standing: Standing::Joining,
            demand: Demand::default(),
            numbers: 0,
            suspects: BTreeSet::new(),
            changed: true,
            known: Known {
                fleet: terms.fleet,
                members: 1,
                living: 1,
                load: None,
                standing: Standing::Joining,
            },
            effects: VecDeque::new(),
            counts: Counts::default(),
            terms,
            dice,
        }
    }

    // ---- What comes from outside -----------------------------------------------------------------------

    /// The next effect.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// When [`Membership::wake`] wants to be called.
    pub fn next_wake(&self) -> Micros {
        let probe = self.probe.as_ref().map_or(u64::MAX, |p| p.next);
        let suspects = self.suspects.iter().filter_map(|name| self.members.get(name));
        let deaths = suspects.filter_map(|m| self.death(m)).min().unwrap_or(u64::MAX);
        let rival = self.rival.map_or(u64::MAX, |r| r.3);
        if self.left {
            return u64::MAX;
        }
        probe.min(self.next_probe).min(deaths).min(rival)
    }

    /// Time has passed.
    pub fn wake(&mut self, now: Micros) {
        self.pass(now);
        self.act();
        self.planned = self.next_wake();
    }

    /// A datagram has come from an address.
    pub fn datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.pass(now);
        if let Err(why) = self.take(from, bytes) {
            self.counts.refused[why as usize] += 1;
        }
        self.planned = self.next_wake();
    }

    /// What this gateway's clients ask for now.
    pub fn demand(&mut self, demand: Demand) {
        self.demand = demand;
    }

    /// New keys: the first signs from now on.
    pub fn keys(&mut self, keys: Keys) {
        self.terms.keys = keys;
    }

    /// Says something that is not membership's own to a member; a datagram, which may get lost. Gives whether it is known
    /// where that member is, and there is room.
    pub fn say(&mut self, now: Micros, name: &str, bytes: &[u8]) -> bool {
        self.pass(now);
        let known = bytes.len() <= SAID && self.members.contains_key(name);
        if known {
            self.send_to(name, Kind::Said(bytes.to_vec(), name_hash(name)), Vec::new());
        }
        self.planned = self.next_wake();
        known
    }

    /// Says good-bye to everybody that lives. Nothing is answered from then on.
    pub fn leave(&mut self, now: Micros) {
        self.pass(now);
        self.me.state = State::Left;
        let living: Vec<String> = self.living().map(|m| m.record.name.clone()).collect();
        let me = self.me.clone();
        // Twice each: one loss must not cost the whole time of suspicion.
        for name in living.iter().chain(&living).take(CHUNKS * HELPERS) {
            self.send_to(name, Kind::News, vec![me.clone()]);
        }
        self.left = true;
    }

    // ---- What is known ---------------------------------------------------------------------------------

    /// This member's own record.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// All other members that are remembered, by name.
    pub fn view(&self) -> impl Iterator<Item = Seen> + '_ {
        self.members.values().map(|m| Seen { record: m.record.clone(), since: m.since, link: m.link })
    }

    /// What is believed of a member.
    pub fn state(&self, name: &str) -> Option<State> {
        self.members.get(name).map(|m| m.record.state)
    }

    /// How this one stands with the others.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The share of the fleet as it was last worked out.
    pub fn share(&self) -> f64 {
        self.share.now
    }

    /// Entries of every map and list.
    pub fn held(&self) -> [usize; 6] {
        let peers = self.peers.values().map(Vec::len).sum();
        [
            self.members.len(),
            peers,
            self.questions.len(),
            self.news.len(),
            self.errands.len(),
            self.order.len(),
        ]
    }

    /// Whether two members believe the same of everybody.
    pub fn digest(&self) -> [u32; BUCKETS] {
        let mut parts = [0u32; BUCKETS];
        let known = self.members.values().map(|m| &m.record);
        for r in known.chain(self.announced.then_some(&self.me)) {
            // Suspicion and demand come and go: they must not make two halves send each other everything.
            let settled = if r.state == State::Suspect { State::Alive } else { r.state };
            let mut seed = u64::from(name_hash(&r.name)) << 32 | u64::from(r.incarnation);
            seed ^= (settled as u64) << 24 ^ r.life.rotate_left(7);
            parts[bucket(&r.name)] ^= draw(&mut seed) as u32;
        }
        parts
    }

    fn living(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.record.state <= State::Suspect)
    }

    // ---- Time ------------------------------------------------------------------------------------------

    fn pass(&mut self, now: Micros) {
        let now = now.max(self.now);
        let stall = self.terms.period.max(200_000) / 2;
        let late = now.saturating_sub(self.planned.max(self.now));
        self.now = now;
        if late <= stall || self.planned == u64::MAX || self.terms.plain {
            return;
        }
        // This process stood still. Whatever ran out meanwhile proves nothing: nobody could have been heard. The others may
        // have given it up, and it can't know before it is answered.
        self.counts.paused += 1;
        self.effects.push_back(Effect::Told(Change::Paused(late)));
        self.probe = None;
        self.errands.clear();
        self.questions.clear();
        for member in self.members.values_mut().filter(|m| m.record.state == State::Suspect) {
            member.since += late;
        }
        (self.heard, self.answered) = (now, now);
        self.asleep = Some(now);
        self.next_probe = now;
        self.next_sync = now;
        if self.announced && late > self.suspicion(1) {
            // Its own refutation first: the accusation is on its way, or has been believed.
            self.refute(self.me.incarnation);
        }
        self.restand();
    }

    fn span(&self) -> Micros {
        if self.terms.plain {
            return self.terms.period;
        }
        self.terms.period * u64::from(self.ill + 1)
    }

    fn act(&mut self) {
        if self.left {
            return;
        }
        self.rival_silent();
        self.deaths();
        self.go_on();
        if self.now >= self.next_probe {
            self.next_probe = self.now + self.span();
            self.period();
        }
        self.errands.retain(|e| e.until > self.now);
        let now = self.now;
        self.questions.retain(|_, q| q.until > now);
        self.restand();
    }

    /// What happens once in a period.
    fn period(&mut self) {
        if !self.announced {
            // Before it says a word of itself it hears what is said of its name. Nobody there: it is the first.
            let waited = self.now.saturating_sub(self.started);
            let alone = waited >= 5 * self.terms.period;
            let free = self.rival.is_none() && !self.doubled;
            if free && (self.joined || alone || self.terms.seeds.is_empty()) {
                self.announced = true;
                self.spread(self.me.name.clone());
            }
        }
        self.tell();
        self.begin();
        if self.now >= self.next_sync {
            let spread = draw(&mut self.dice) % self.terms.period.max(1);
            // Who knows nobody asks the seeds again with the next period: two that start at once have nothing to tell yet.
            let knows = self.joined && self.living().next().is_some();
            self.next_sync = self.now + if knows { SYNC * self.terms.period + spread } else { 0 };
            self.sync();
        }
        let (now, keep) = (self.now, REMEMBER * self.terms.period);
        let before = self.members.len();
        self.members.retain(|_, m| m.record.state <= State::Suspect || now < m.since + keep);
        self.changed |= before != self.members.len();
        let (members, fresh) = (&self.members, SYNC * self.terms.period);
        self.peers
            .retain(|name, lives| members.contains_key(name) || lives.iter().any(|p| now < p.proved + fresh));
        self.news.retain(|name, _| members.contains_key(name) || *name == self.terms.name);
    }

    /// Tells the demand of its clients, and its bad links, when they have changed.
    fn tell(&mut self) {
        if self.now < self.next_tell {
            return;
        }
        let (old, new) = (self.me.demand.total(), self.demand.total());
        let cuts: Vec<Cut> = self
            .members
            .values()
            .filter(|m| m.link != Link::Good && m.record.state <= State::Suspect)
            .map(|m| Cut { other: name_hash(&m.record.name), outbound: m.link == Link::Outbound })
            .take(CUTS)
            .collect();
        let changed = (old - new).abs() > RETELL.1 * old.max(1.0) || cuts != self.me.cuts;
        if changed {
            self.next_tell = self.now + RETELL.0 * self.terms.period;
            self.changed = true;
            (self.me.demand, self.me.cuts) = (self.demand, cuts);
            self.me.beat += 1;
            self.spread(self.me.name.clone());
        }
    }

    // ---- Datagrams -------------------------------------------------------------------------------------

    fn take(&mut self, from: SocketAddr, bytes: &[u8]) -> Result<(), Refused> {
        let Some(datagram) = Datagram::open(&self.terms.keys, bytes)? else { return Ok(()) };
        // What stands on membership may still have to be ended in order; nothing else is heard any more.
        if self.left && !matches!(datagram.kind, Kind::Said(..)) {
            return Ok(());
        }
        // Guards against what was said to another one and is led here by somebody in between.
        if matches!(datagram.kind, Kind::Said(_, to) if to != 0 && to != name_hash(&self.me.name)) {
            return Err(Refused::Replayed);
        }
        if let Kind::Challenge(nonce) = datagram.kind {
            // Whoever asks is answered where the question came from: a name is not believed yet.
            self.send(from, Kind::Proof(nonce), Vec::new());
            return Ok(());
        }
        if datagram.from == self.me.name {
            // Another process with this name, or an echo of this one.
            if let (Kind::Proof(nonce), Some((address, life, asked, _))) = (&datagram.kind, self.rival) {
                if *nonce == asked && datagram.life == life {
                    self.rival_lives(address, life);
                }
            }
            return Ok(());
        }
        if let Kind::Proof(nonce) = datagram.kind {
            return self.proved(&datagram, nonce, from);
        }
        let peers = self.peers.get_mut(&datagram.from).map(Vec::as_mut_slice).unwrap_or_default();
        let Some(peer) = peers.iter_mut().find(|p| p.life == datagram.life) else {
            self.ask_for_proof(&datagram, from);
            return Err(Refused::Unproved);
        };
        if !peer.is_new(datagram.number) {
            return Err(Refused::Replayed);
        }
        peer.address = from;
        self.counts.taken.0 += 1;
        self.counts.taken.1 += bytes.len() as u64;
        self.heard = self.now;
        if let Some(member) = self.members.get_mut(&datagram.from) {
            member.heard = Some(self.now);
        }
        let stated = matches!(datagram.kind, Kind::News);
        for record in datagram.records {
            self.merge(record);
        }
        self.joined |= stated;
        self.handle(&datagram.from, from, datagram.kind);
        self.restand();
        Ok(())
    }

    fn hears(&self, name: &str) -> bool {
        // Everybody asks everybody once in as many periods as there are members, in an order that is drawn anew each time.
        let recent = (4 + 2 * u64::from(self.known.living)).min(ROUND) * self.terms.period;
        self.members.get(name).and_then(|m| m.heard).is_some_and(|at| self.now < at + recent)
    }

    /// Answers go where the question came from: a name may have two processes, and an address may have changed.
    fn handle(&mut self, from: &str, back: SocketAddr, kind: Kind) {
        match kind {
            Kind::Ping(number) => {
                let hears = self.hears(from);
                self.send(back, Kind::Ack(number, hears), Vec::new());
            }
            Kind::Ack(number, hears) => self.succeeded(number, true, hears),
            Kind::Ask(theirs, target) => {
                if target == self.me.name || self.errands.len() >= AT_ONCE {
                    return;
                }
                self.probes = self.probes.wrapping_add(1);
                let (number, until) = (self.probes, self.now + self.terms.period);
                self.errands.push(Errand { number, origin: from.to_owned(), theirs, until });
                let about = self.members.get(&target).map(|m| m.record.clone());
                let about = about.filter(|r| r.state == State::Suspect).into_iter().collect();
                self.send_to(&target, Kind::Relay(number, from.to_owned()), about);
                // Whoever asked knows that it is heard, even if the target says nothing.
                self.send(back, Kind::Report(theirs, None), Vec::new());
            }
            Kind::Relay(number, origin) => {
                let hears = self.hears(&origin);
                self.send(back, Kind::Relayed(number, origin, hears), Vec::new());
            }
            Kind::Relayed(number, origin, hears) => {
                let at = self.errands.iter().position(|e| e.number == number && e.origin == origin);
                if let Some(at) = at {
                    let errand = self.errands.swap_remove(at);
                    self.send_to(&origin, Kind::Report(errand.theirs, Some(hears)), Vec::new());
                }
            }
            Kind::Report(number, None) => {
                // Somebody hears this one: its silence is the target's.
                if let Some(probe) = self.probe.as_mut().filter(|p| p.number == number) {
                    probe.helped = true;
                    self.was_answered();
                }
            }
            Kind::Report(number, Some(hears)) => self.succeeded(number, false, hears),
            Kind::Digest(theirs, wanted) => {
                self.differ(back, &theirs);
                if wanted {
                    let digest = self.digest();
                    self.send(back, Kind::Digest(digest, false), Vec::new());
                }
            }
            Kind::Said(bytes, _) => self.effects.push_back(Effect::Heard(from.to_owned(), bytes)),
            Kind::News | Kind::Challenge(_) | Kind::Proof(_) => {}
        }
    }

    fn send_to(&mut self, name: &str, kind: Kind, records: Vec<Record>) -> usize {
        let told = self.members.get(name).map(|m| m.record.address);
        // One that has not said yet where it is to be found is answered where it spoke from.
        let spoke = || self.peers.get(name).and_then(|p| p.last()).map(|p| p.address);
        let to = self.terms.via.get(name).copied().or(told).or_else(spoke);
        let Some(to) = to else { return records.len() };
        self.send(to, kind, records)
    }

    /// Sends; gives how many of the records have found room. Others' news ride along where none of its own fill it.
    fn send(&mut self, to: SocketAddr, kind: Kind, mut records: Vec<Record>) -> usize {
        let own = records.len();
        let plain = matches!(kind, Kind::News | Kind::Challenge(_) | Kind::Proof(_) | Kind::Said(..));
        if !plain {
            records.extend(self.riders());
        }
        self.numbers += 1;
        let (from, life, number) = (self.me.name.clone(), self.me.life, self.numbers);
        let mut bytes = Vec::new();
        let told = Datagram { from, life, number, kind, records }.seal(&self.terms.keys, &mut bytes);
        self.counts.sent.0 += 1;
        self.counts.sent.1 += bytes.len() as u64;
        self.effects.push_back(Effect::Send(to, bytes));
        told.min(own)
    }
}

impl Peer {
    /// Whether a number has not been seen, and is not too old to tell.
    fn is_new(&mut self, number: u64) -> bool {
        if number > self.highest {
            let ahead = number - self.highest;
            self.seen = if ahead >= WINDOW { 0 } else { self.seen << ahead };
            self.seen |= 1;
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        if behind >= WINDOW || self.seen >> behind & 1 == 1 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}

fn bucket(name: &str) -> usize {
    name_hash(name) as usize % BUCKETS
}

/// A stream of numbers (splitmix64).
pub(crate) fn draw(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
