//! The state machine: probes, suspicion, gossip, proofs of life, and what is worked out from them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::share::{Known, Share};
use crate::wire::{mark, Cut, Datagram, Demand, Keys, Kind, Record, Refused, State, BUCKETS, CUTS, SAID};

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
            self.send_to(name, Kind::Said(bytes.to_vec()), Vec::new());
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
            let mut seed = u64::from(mark(&r.name)) << 32 | u64::from(r.incarnation);
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

    /// The time of suspicion with so many accusers.
    fn suspicion(&self, accusers: usize) -> Micros {
        let n = self.known.living as usize;
        let least = SUSPICION.0 * (n as f64).log10().max(1.0) * self.terms.period as f64;
        if self.terms.plain {
            return least as Micros;
        }
        let most = least * SUSPICION.1;
        let k = ACCUSERS.min(n.saturating_sub(2));
        if k == 0 {
            return least as Micros;
        }
        let part = (accusers as f64).ln() / (k as f64 + 1.0).ln();
        (most - (most - least) * part).max(least) as Micros
    }

    fn death(&self, member: &Member) -> Option<Micros> {
        let suspect = member.record.state == State::Suspect;
        // Nobody is given up by one that has not been answered since it stood still.
        suspect.then(|| member.since + self.suspicion(member.accusers.len().max(1)))
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
            .map(|m| Cut { other: mark(&m.record.name), outbound: m.link == Link::Outbound })
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

    // ---- Probes ----------------------------------------------------------------------------------------

    fn begin(&mut self) {
        if self.order.is_empty() {
            self.order = self.living().map(|m| m.record.name.clone()).collect();
            for i in (1..self.order.len()).rev() {
                let j = (draw(&mut self.dice) % (i as u64 + 1)) as usize;
                self.order.swap(i, j);
            }
        }
        while let Some(target) = self.order.pop() {
            if self.state(&target).is_some_and(|s| s <= State::Suspect) {
                self.probes = self.probes.wrapping_add(1);
                let number = self.probes;
                let began = self.now;
                self.probe = Some(Probe { number, target, began, round: 0, next: began, helped: false });
                self.round();
                return;
            }
        }
        self.probe = None;
    }

    /// The next round of the probe that is out, or its end.
    fn go_on(&mut self) {
        if self.probe.as_ref().is_some_and(|p| p.next <= self.now) {
            self.round();
        }
    }

    fn round(&mut self) {
        let rounds = if self.terms.plain { 2 } else { ROUNDS };
        let span = self.span();
        let Some(probe) = &mut self.probe else { return };
        if probe.round >= rounds {
            return self.failed();
        }
        let (number, target, round) = (probe.number, probe.target.clone(), probe.round);
        probe.round += 1;
        probe.next = probe.began + span * u64::from(probe.round) / u64::from(rounds);
        let bad = self.members.get(&target).is_some_and(|m| m.link != Link::Good);
        // The one that is suspected hears of it from everybody who asks it.
        let about = self.members.get(&target).map(|m| m.record.clone());
        let about = about.filter(|r| r.state == State::Suspect).into_iter().collect();
        if round == 0 || !self.terms.plain {
            self.send_to(&target, Kind::Ping(number), about);
        }
        // A link that is known to be bad is not waited for.
        if round > 0 || (bad && !self.terms.plain) {
            for helper in self.some(HELPERS, &target) {
                self.send_to(&helper, Kind::Ask(number, target.clone()), Vec::new());
            }
        }
    }

    /// Some members that live, others than one.
    fn some(&mut self, n: usize, not: &str) -> Vec<String> {
        let mut names: Vec<String> = self
            .living()
            .filter(|m| m.record.name != not && m.link == Link::Good)
            .map(|m| m.record.name.clone())
            .collect();
        let mut chosen = Vec::new();
        while chosen.len() < n && !names.is_empty() {
            let at = (draw(&mut self.dice) % names.len() as u64) as usize;
            chosen.push(names.swap_remove(at));
        }
        chosen
    }

    fn failed(&mut self) {
        let Some(probe) = self.probe.take() else { return };
        self.counts.failed += 1;
        if !self.terms.plain {
            // No answer, and nobody who was asked said a word: the fault may well be here.
            self.ill = (self.ill + if probe.helped { 0 } else { 1 }).min(ILL);
            if self.asleep.is_some() || self.standing != Standing::Whole {
                return;
            }
        }
        let me = mark(&self.me.name);
        let Some(member) = self.members.get(&probe.target) else { return };
        let record = Record { by: me, state: State::Suspect, ..member.record.clone() };
        if member.record.state <= State::Suspect {
            self.counts.suspected += 1;
            self.merge(record);
        }
    }

    fn succeeded(&mut self, number: u32, direct: bool, hears: bool) {
        let Some(probe) = self.probe.take_if(|p| p.number == number) else { return };
        self.ill = self.ill.saturating_sub(1);
        self.was_answered();
        let mut changed = None;
        if let Some(member) = self.members.get_mut(&probe.target) {
            let link = match (direct, hears) {
                (true, _) => Link::Good,
                // It heard this one's own ping, but its answer came only by another's hand.
                (false, true) => Link::Inbound,
                (false, false) => Link::Outbound,
            };
            // One slow answer is no cut: two indirect ones in a row are.
            member.indirect = if direct { 0 } else { member.indirect + 1 };
            let certain = direct || member.indirect > 1;
            if certain && std::mem::replace(&mut member.link, link) != link {
                changed = Some(link);
            }
        }
        if let Some(link) = changed.filter(|_| !self.terms.plain) {
            self.effects.push_back(Effect::Told(Change::Link(probe.target, link)));
        }
    }

    fn was_answered(&mut self) {
        self.answered = self.now;
        self.asleep = None;
        self.restand();
    }

    // ---- Beliefs ---------------------------------------------------------------------------------------

    fn deaths(&mut self) {
        if self.asleep.is_some()
            || (!self.terms.plain && matches!(self.standing, Standing::CutOff | Standing::Unheard))
        {
            return;
        }
        let suspects = self.suspects.iter().filter_map(|name| self.members.get(name));
        let over = suspects.filter(|m| self.death(m).is_some_and(|at| at <= self.now));
        let over: Vec<Record> = over
            .map(|m| Record { state: State::Dead, by: mark(&self.me.name), ..m.record.clone() })
            .collect();
        for record in over {
            self.counts.declared += 1;
            self.merge(record);
        }
    }

    fn spread(&mut self, name: String) {
        self.news.insert(name, 0);
    }

    fn refute(&mut self, accused: u32) {
        self.counts.refuted += 1;
        self.me.incarnation = self.me.incarnation.max(accused) + 1;
        self.spread(self.me.name.clone());
    }

    /// Takes in what somebody tells of a member.
    fn merge(&mut self, record: Record) {
        if record.name == self.me.name {
            return self.told_of_me(&record);
        }
        let name = record.name.clone();
        if self.is_of_another(&record) {
            // It is told, and counts up: everybody believes that.
            self.send_to(&name, Kind::News, vec![record]);
            return;
        }
        self.believe(record);
        match self.members.get(&name).map(|m| m.record.state) {
            Some(State::Suspect) => self.suspects.insert(name),
            _ => self.suspects.remove(&name),
        };
    }

    /// Whether a death or a good-bye is that of an earlier process of a name whose present one has proved its life here.
    fn is_of_another(&self, record: &Record) -> bool {
        let Some(member) = self.members.get(&record.name).filter(|_| !self.terms.plain) else { return false };
        let proved =
            |life| self.peers.get(&record.name).is_some_and(|lives| lives.iter().any(|p| p.life == life));
        record.state > State::Suspect
            && record.incarnation == member.record.incarnation
            && record.life != member.record.life
            && proved(member.record.life)
    }

    fn believe(&mut self, record: Record) {
        let full = self.members.len() >= self.terms.most;
        let now = self.now;
        let Some(member) = self.members.get_mut(&record.name) else {
            // A name that nobody vouches for any more is not worth a place; nor is one beyond the bound.
            if !full && record.state <= State::Suspect {
                self.effects.push_back(Effect::Told(Change::Member {
                    name: record.name.clone(),
                    was: None,
                    state: record.state,
                    incarnation: record.incarnation,
                }));
                self.spread(record.name.clone());
                let accusers = if record.state == State::Suspect { vec![record.by] } else { Vec::new() };
                let name = record.name.clone();
                let member =
                    Member { record, since: now, accusers, link: Link::Good, indirect: 0, heard: None };
                self.members.insert(name, member);
                self.changed = true;
            }
            return;
        };
        let (old, new) = (member.record.rank(), record.rank());
        // What it tells of itself beyond its life only grows, whatever is believed of that.
        let newer = (record.incarnation, record.beat) > (member.record.incarnation, member.record.beat);
        if newer && record.life == member.record.life {
            (member.record.demand, member.record.cuts) = (record.demand, record.cuts.clone());
            member.record.beat = record.beat;
            self.changed = true;
            if new <= old {
                self.news.insert(record.name.clone(), 0);
            }
        }
        if new > old {
            let was = member.record.state;
            let again = was == State::Suspect && record.state == State::Suspect;
            let kept = (member.record.demand, member.record.cuts.clone(), member.record.beat);
            let same_life = member.record.life == record.life;
            member.record = record;
            if same_life && !newer {
                (member.record.demand, member.record.cuts, member.record.beat) = kept;
            }
            if member.record.state != was || again {
                member.since = now;
            }
            member.accusers.clear();
            if member.record.state == State::Suspect {
                member.accusers.push(member.record.by);
            }
            if member.record.state > State::Suspect {
                member.link = Link::Good;
            }
            self.changed |= was != member.record.state;
            let (name, state, incarnation) =
                (member.record.name.clone(), member.record.state, member.record.incarnation);
            if was != state {
                self.effects.push_back(Effect::Told(Change::Member {
                    name: name.clone(),
                    was: Some(was),
                    state,
                    incarnation,
                }));
            }
            self.spread(name);
        } else if new == old && record.state == State::Suspect {
            // Somebody else got no answer either: the time of suspicion shrinks, and that is news while it does.
            if !member.accusers.contains(&record.by) && member.accusers.len() <= ACCUSERS {
                member.accusers.push(record.by);
                member.record.by = record.by;
                self.spread(record.name);
            }
        }
    }

    fn told_of_me(&mut self, record: &Record) {
        if record.life == self.me.life {
            let accused = record.state != State::Alive && record.incarnation >= self.me.incarnation;
            if accused && !self.left {
                self.refute(record.incarnation);
            }
            return;
        }
        if record.rank() < self.me.rank() && self.announced {
            return;
        }
        if record.state > State::Suspect || record.address == self.me.address {
            // An earlier process of this name: it is gone, or could not have let go of the address otherwise.
            (self.rival, self.doubled) = (None, false);
            self.me.incarnation = self.me.incarnation.max(record.incarnation) + 1;
            self.spread(self.me.name.clone());
        } else if self.rival.is_none() && self.now >= self.next_rival {
            self.next_rival = self.now + SYNC * self.terms.period;
            // Somebody else may live under this name. It is asked itself before anything else is said.
            let nonce = draw(&mut self.dice);
            self.rival = Some((record.address, record.life, nonce, self.now + 2 * self.terms.period));
            self.send(record.address, Kind::Challenge(nonce), Vec::new());
            self.me.incarnation = self.me.incarnation.max(record.incarnation);
        }
    }

    /// The other process with this name has not answered: the name is free.
    fn rival_silent(&mut self) {
        if self.rival.is_some_and(|r| r.3 <= self.now) {
            self.rival = None;
            self.doubled = false;
            self.me.incarnation += 1;
            self.spread(self.me.name.clone());
        }
    }

    /// The other process with this name lives. Who is settled keeps the name; of two that are, the greater life does.
    fn rival_lives(&mut self, address: SocketAddr, life: u64) {
        self.rival = None;
        self.effects.push_back(Effect::Told(Change::Rival(address)));
        if self.announced && self.me.life > life {
            self.me.incarnation += 1;
            self.spread(self.me.name.clone());
        } else {
            self.doubled = true;
            self.announced = false;
            self.news.remove(&self.me.name);
        }
        self.restand();
    }

    // ---- Datagrams -------------------------------------------------------------------------------------

    fn take(&mut self, from: SocketAddr, bytes: &[u8]) -> Result<(), Refused> {
        let Some(datagram) = Datagram::open(&self.terms.keys, bytes)? else { return Ok(()) };
        // What stands on membership may still have to be ended in order; nothing else is heard any more.
        if self.left && !matches!(datagram.kind, Kind::Said(_)) {
            return Ok(());
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

    /// A process that is not known yet must prove that it is no echo: its words count from then on.
    fn ask_for_proof(&mut self, datagram: &Datagram, from: SocketAddr) {
        let asked = self.questions.get(&datagram.from);
        // A flood under invented names is bounded by the members that may be.
        if asked.is_some_and(|q| q.life == datagram.life)
            || self.questions.len() >= AT_ONCE.max(self.terms.most)
        {
            return;
        }
        let nonce = draw(&mut self.dice);
        let until = self.now + self.terms.period;
        self.questions.insert(datagram.from.clone(), Question { life: datagram.life, nonce, until });
        self.send(from, Kind::Challenge(nonce), Vec::new());
    }

    fn proved(&mut self, datagram: &Datagram, nonce: u64, from: SocketAddr) -> Result<(), Refused> {
        let asked = self.questions.get(&datagram.from);
        if !asked.is_some_and(|q| q.life == datagram.life && q.nonce == nonce) {
            return Err(Refused::Replayed);
        }
        self.questions.remove(&datagram.from);
        let known = self.members.contains_key(&datagram.from);
        if !known && self.peers.len() >= self.terms.most {
            return Ok(());
        }
        let peers = self.peers.entry(datagram.from.clone()).or_default();
        if peers.len() >= LIVES {
            peers.remove(0);
        }
        let (life, highest, address) = (datagram.life, datagram.number, from);
        peers.push(Peer { life, address, proved: self.now, highest, seen: 1 });
        self.heard = self.now;
        if self.members.get(&datagram.from).is_some_and(|m| m.record.life == datagram.life) {
            // Known already by what others tell: what it said before was dropped, and comes again with its next round.
            return Ok(());
        }
        // It has just come: both sides tell each other what they know.
        let digest = self.digest();
        self.send(from, Kind::Digest(digest, true), Vec::new());
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
            Kind::Said(bytes) => self.effects.push_back(Effect::Heard(from.to_owned(), bytes)),
            Kind::News | Kind::Challenge(_) | Kind::Proof(_) => {}
        }
    }

    /// Asks somebody whether they believe the same: one that lives, now and then one that does not, or a seed.
    fn sync(&mut self) {
        let digest = self.digest();
        let turn = draw(&mut self.dice) % 4;
        let dead: Vec<String> = self
            .members
            .values()
            .filter(|m| m.record.state > State::Suspect)
            .map(|m| m.record.name.clone())
            .collect();
        if !self.joined || self.living().next().is_none() {
            // Nobody is known: seeds are asked, a few at a time.
            self.ask_seeds(HELPERS, digest);
        } else if turn == 1 && !self.terms.plain {
            // Members that start at once may meet in groups that know nothing of each other: seeds bring them together.
            self.ask_seeds(1, digest);
        } else if turn == 0 && !dead.is_empty() && !self.terms.plain {
            // Two halves of a cut believe each other dead: somebody has to ask.
            let at = (draw(&mut self.dice) % dead.len() as u64) as usize;
            self.send_to(&dead[at].clone(), Kind::Digest(digest, true), Vec::new());
        } else if let Some(name) = self.some(1, "").pop() {
            self.send_to(&name, Kind::Digest(digest, true), Vec::new());
        }
    }

    fn ask_seeds(&mut self, n: usize, digest: [u32; BUCKETS]) {
        let seeds = self.terms.seeds.clone();
        let from = (draw(&mut self.dice) % seeds.len().max(1) as u64) as usize;
        for seed in seeds.iter().cycle().skip(from).take(seeds.len().min(n)) {
            if *seed != self.me.address {
                self.send(*seed, Kind::Digest(digest, true), Vec::new());
            }
        }
    }

    /// Sends what lies in parts that differ.
    fn differ(&mut self, to: SocketAddr, theirs: &[u32; BUCKETS]) {
        let mine = self.digest();
        let mut records: Vec<Record> = self
            .members
            .values()
            .map(|m| m.record.clone())
            .chain(self.announced.then(|| self.me.clone()))
            .filter(|r| mine[bucket(&r.name)] != theirs[bucket(&r.name)])
            .collect();
        if records.is_empty() {
            self.send(to, Kind::News, Vec::new());
            return;
        }
        // What finds no room in one exchange goes with a later one: each begins elsewhere.
        let from = (draw(&mut self.dice) % records.len() as u64) as usize;
        records.rotate_left(from);
        for _ in 0..CHUNKS {
            let told = self.send(to, Kind::News, records.clone());
            records.drain(..told.min(records.len()));
            if records.is_empty() {
                break;
            }
        }
    }

    /// News that ride on a datagram: what was sent on least often first.
    fn riders(&mut self) -> Vec<Record> {
        let n = self.members.len() as u32 + 1;
        let most = SPREAD * (u32::BITS - n.leading_zeros());
        self.news.retain(|_, sent| *sent < most);
        let mut names: Vec<(u32, u64, String)> =
            self.news.iter().map(|(name, &sent)| (sent, draw(&mut self.dice), name.clone())).collect();
        names.sort();
        names.truncate(RIDERS);
        let mut records = Vec::new();
        for (_, _, name) in names {
            let record = if name == self.me.name {
                self.announced.then(|| self.me.clone())
            } else {
                self.members.get(&name).map(|m| m.record.clone())
            };
            if let Some(record) = record {
                records.push(record);
                self.news.entry(name).and_modify(|sent| *sent += 1);
            }
        }
        records
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
        let plain = matches!(kind, Kind::News | Kind::Challenge(_) | Kind::Proof(_) | Kind::Said(_));
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

    // ---- Standing and share ----------------------------------------------------------------------------

    fn restand(&mut self) {
        let alone = ALONE * self.terms.period;
        let others = self.terms.fleet > 1 || self.members.values().any(|m| m.record.state != State::Left);
        let standing = if self.doubled {
            Standing::Doubled
        } else if self.asleep.is_some() {
            Standing::Waking
        } else if !self.announced {
            Standing::Joining
        } else if others && self.now >= self.heard + alone {
            Standing::CutOff
        } else if others && self.now >= self.answered + alone && self.living().next().is_some() {
            Standing::Unheard
        } else if others && self.living().next().is_none() {
            // Everybody is dead, or this one is alone on its side.
            Standing::CutOff
        } else {
            Standing::Whole
        };
        if std::mem::replace(&mut self.standing, standing) != standing {
            self.effects.push_back(Effect::Told(Change::Standing(standing)));
        }
        if std::mem::take(&mut self.changed) {
            let living = self.living().count() as u32 + 1;
            let gone = self.members.values().filter(|m| m.record.state == State::Left).count();
            let mine = self.me.demand.total();
            let all: f64 = mine + self.living().map(|m| m.record.demand.total()).sum::<f64>();
            let members = (self.members.len() + 1 - gone) as u32;
            self.known = Known { members, living, load: (all > 0.0).then(|| mine / all), ..self.known };
        }
        self.known.standing = standing;
        let known = self.known;
        let share = self.share.next(self.now, &known);
        // Narrowing is told at once, widening in steps worth telling.
        if share < self.told_share || share > self.told_share * 1.02 {
            self.told_share = share;
            self.effects.push_back(Effect::Share(share));
        }
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
    mark(name) as usize % BUCKETS
}

/// A stream of numbers (splitmix64).
pub(crate) fn draw(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
