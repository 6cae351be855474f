//! One gateway's part of custody: its tenure, its vote, the statements it holds and the records it keeps for others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::tenure::{Answer, EndAsk, Spans, Tenure, Voter, ENDS_ALONE};
use crate::wire::{self, Actor, Item, Link, Said, Spoilt, Unread, Why, BODY, CHAIN, DATAGRAM, ITEMS};
use crate::{Ending, Life, Micros, Out, Record, Repeat, StatementKey};

const MS: Micros = 1_000;
/// Progress of one statement is told no more often.
const COALESCED: Micros = 20 * MS;
/// Octets of one sending that ends with the record that passes them.
const SENDING: usize = 256 << 10;
/// Sendings to one guardian that are not answered yet.
const FLIGHTS: usize = 32;
/// A sending that is not answered for so long, and for its octets at ten a microsecond, is taken for lost.
const ANSWERED: Micros = 100 * MS;
/// Lost sendings in a row after which the time doubles no further.
const DOUBLED: u32 = 4;
/// Statements that are looked at, or adopted, in one turn, and the time between turns.
const LOOKS: usize = 64;
const ADOPTS: usize = 8;
const TURN: Micros = 10 * MS;
/// Marks that lack are asked for again.
const MARKS_AGAIN: Micros = 300 * MS;
/// One that stands earlier in a chain and says nothing of the statement may not have it: it is told.
const FORWARD: Micros = 1_000 * MS;
/// Looks at what leaves by its time.
const SWEEP: Micros = 1_000 * MS;
/// One in a chain that has said nothing for so long is asked which term it is in.
const SILENT: Micros = 5_000 * MS;
/// What is kept for others leaves so long after its deadline: a late poll gets a clear word until then.
const LINGER: Micros = 30_000 * MS;
/// Statements that have ended, or went elsewhere, that are remembered.
const PAST: usize = 16_384;
/// Statements for which there was no room here, each until it cannot run any more: none of them may be taken later, when
/// its holder counts on that.
const DECLINED: usize = 65_536;
/// One that had no room is not chosen for so long.
const FULL: Micros = 1_000 * MS;
/// For so long after its tenure has last held, a process that was ended gives back what nobody is known to have; and one that has
/// forgotten ended statements of the last twice as long takes nothing of that, as it may have been among them.
const BACK: Micros = 60_000 * MS;
/// Processes that are known at once.
const PEERS: usize = 4_096;
/// A process that is not listed and of which nothing is held leaves after so long, and with it the number of its last sending.
const FORGOTTEN: Micros = 600_000 * MS;
/// Whether a life is over is asked of the voters for so long after somebody wanted to know.
const WANTED: Micros = 30_000 * MS;
/// The versions of one holder; the next one in the chain counts on from there.
const HOLDER: u32 = 40;

/// The settings of custody.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// This process.
    pub me: Life,
    /// Its site: guardians are at other sites where there are some.
    pub site: String,
    /// Names of those that grant tenures.
    pub voters: Vec<String>,
    /// How long a tenure lasts.
    pub lease: Micros,
    /// Parts of a million by which any clock may run too fast or too slow.
    pub drift: u64,
    /// The longest time from the last look at the tenure to the end of what is done on it.
    pub check: Micros,
    /// Guardians of a statement.
    pub copies: usize,
    /// Records that are kept for others, at most.
    pub most: usize,
    /// Octets of them, at most.
    pub most_octets: usize,
}

/// What membership believes of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It lives.
    Alive,
    /// It does not answer.
    Suspect,
    /// It is gone.
    Dead,
    /// It has said that it leaves.
    Left,
}

/// A process as membership knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Which.
    pub life: Life,
    /// Its site.
    pub site: String,
    /// What is believed of it.
    pub state: State,
}

/// Whether something may be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Leave {
    /// Now.
    Go,
    /// Once [`Effect::Go`] or [`Effect::Tell`] says so; never if [`Effect::Dropped`] does.
    Wait,
    /// Not by this gateway, or not now: its tenure does not hold, or it holds the statement no more.
    Never,
}

/// Where a statement is, as far as is known here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Whereabouts {
    /// Here.
    Here,
    /// At that process.
    At(Life),
    /// This gateway is about to take it over.
    Taking,
    /// Nothing is known of it.
    Unknown,
    /// It has ended; by the gateways' own ending, where that is known.
    Over(Option<Ending>),
}

/// What is to be done, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A datagram to a gateway, of a thousand octets at most; it may be lost.
    Say(String, Vec<u8>),
    /// Records to a gateway, over a stream; answered by [`Custodian::heard`], or [`Custodian::unsent`].
    Send(String, Vec<u8>),
    /// Keep this in place of what was kept before, then call [`Custodian::kept`].
    Keep(Vec<u8>),
    /// The intent of that attempt is recorded: it may be written to its engine.
    Go(StatementKey, u32),
    /// The decided ending is recorded: it may be told.
    Tell(StatementKey),
    /// This gateway holds the statement from now on. An ending in the record may be told.
    Adopt(Box<Record>),
    /// This gateway holds it no more: it stops what it does for it, tells nothing, and passes polls on.
    Dropped(StatementKey),
    /// No guardian is to be had.
    Unprotected(StatementKey),
    /// For the log.
    Log(String),
}

/// A fault planted on purpose, to see that the simulation finds it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Plant {
    /// None.
    #[default]
    None,
    /// A tenure counts from when its grant came.
    LeaseFromReceipt,
    /// Half of the voters are a quorum.
    HalfIsQuorum,
    /// Marks are forgotten at a restart.
    MarkNotKept,
    /// A voter that has started again grants at once.
    NoSilence,
    /// A guardian acknowledges a longer chain and goes on with the one it had.
    ChainForgotten,
    /// A new guardian is told before those in front of it know of it.
    ChainNotAwaited,
    /// The tenure is not looked at.
    ActsWithoutTenure,
    /// An attempt is not held back until its intent is recorded.
    IntentNotAwaited,
    /// A life that is marked is taken for over at once.
    GrantNotWaitedOut,
    /// A voter that has lost its disk votes as if it started for the first time.
    VotesWithoutMarks,
}

/// What a holder knows of one that stands behind it in the chain.
#[derive(Debug, Clone, Copy, Default)]
struct Guard {
    /// The version with which it came into the chain, as this holder tells it.
    since: u64,
    sent: u64,
    acked: u64,
    /// It has the body.
    body: bool,
    /// It may have been told of the statement.
    told: bool,
}

#[derive(Debug, Default)]
struct Held {
    /// One for each link of the chain.
    guards: Vec<Guard>,
    /// An attempt that waits until that version is recorded.
    intent: Option<(u32, u64)>,
    /// An ending that waits so.
    ending: Option<u64>,
    /// Adopted with an ending: said once that is recorded anew.
    adopting: Option<u64>,
    /// Given up; it stays until another one has it.
    giving: bool,
    /// Somebody may have been told that it is given up.
    offered: bool,
    unprotected: bool,
}

#[derive(Debug)]
enum Role {
    Held(Box<Held>),
    Kept,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    links: Vec<Link>,
    /// This one's place among them.
    at: usize,
    role: Role,
    deadline: Micros,
    /// When the times in the record were true.
    stamped: Micros,
}

impl Entry {
    fn held(&self) -> Option<&Held> {
        match &self.role {
            Role::Held(held) => Some(held),
            Role::Kept => None,
        }
    }

    fn held_mut(&mut self) -> Option<&mut Held> {
        match &mut self.role {
            Role::Held(held) => Some(held),
            Role::Kept => None,
        }
    }

    fn behind(&self) -> impl Iterator<Item = usize> + '_ {
        (self.at + 1..self.links.len()).filter(|&i| !self.links[i].gone)
    }

    /// Whether a link may be told: those that stood in the chain before it know of it, or never act.
    fn tellable(&self, held: &Held, i: usize) -> bool {
        let before = usize::from(self.links[i].after).min(i);
        (0..before)
            .all(|j| j == self.at || self.links[j].gone || held.guards[j].acked >= held.guards[i].since)
    }

    /// Whether all that may ever act after this one know of a version.
    fn recorded(&self, held: &Held, version: u64) -> bool {
        self.behind().all(|i| !held.guards[i].told || held.guards[i].acked >= version)
    }

    fn now(&self, now: Micros) -> Record {
        let mut record = self.record.clone();
        record.left = self.deadline.saturating_sub(now);
        if let Some(out) = &mut record.out {
            out.sent += now.saturating_sub(self.stamped);
        }
        record
    }

    fn item(&self, now: Micros, whole: bool) -> Item {
        let mut record = self.now(now);
        if !whole {
            record.body = Vec::new();
        }
        Item { record, whole, links: self.links.clone() }
    }

    fn octets(&self) -> usize {
        let out = self.record.out.as_ref();
        let out = out.map_or(0, |o| o.engine.len() + o.next.as_ref().map_or(0, String::len));
        let links = self.links.iter().map(|l| l.actor.life.name.len() + 48).sum::<usize>();
        self.record.body.len() + out + links + 256
    }
}

#[derive(Debug)]
struct Flight {
    lost_at: Micros,
    /// Version, and whether it is a record of another one's that was passed on.
    records: Vec<(StatementKey, u64)>,
    ends: Vec<StatementKey>,
}

#[derive(Debug, Default)]
struct Peer {
    /// The number of the last sending from there, and of the last one to there.
    numbers: (u64, u64),
    flights: BTreeMap<u64, Flight>,
    records: BTreeSet<StatementKey>,
    ends: BTreeSet<StatementKey>,
    due: Option<Micros>,
    lost: u32,
    heard: Micros,
    /// It had no room at that time.
    full: Option<Micros>,
}

#[derive(Debug, Clone)]
enum Past {
    Ended(Option<Ending>),
    /// Since a term of this process: others that may have it.
    Moved(u32, Vec<Life>),
}

/// One gateway's part. See the crate's documentation.
pub struct Custodian {
    terms: Terms,
    plant: Plant,
    spans: Spans,
    me: Actor,
    voter: Option<Voter>,
    tenure: Tenure,
    /// Whether it held when this was last looked at, with the time of that look.
    acting: bool,
    renew: Micros,
    /// When the other voters are asked again what they have marked.
    known_again: Micros,
    /// A voter has said that this term is ended.
    ended: bool,
    lives: BTreeMap<Life, (State, String)>,
    unlisted: BTreeMap<Life, Micros>,
    /// Those that may be guardians: at this site, hash.
    candidates: Vec<(bool, u64, Life)>,
    /// Those whose program reads another format.
    other: BTreeSet<Life>,
    peers: BTreeMap<Actor, Peer>,
    /// The newest term of a life that was heard of.
    newest: BTreeMap<Life, u32>,
    /// Through which term a life is surely over.
    over: BTreeMap<Life, u32>,
    ends: BTreeMap<Actor, EndAsk>,
    /// Those of which somebody wants to know whether they are over, until then.
    wanted: BTreeMap<Actor, Micros>,
    entries: BTreeMap<StatementKey, Entry>,
    /// Statements by those in their chains that may act for them.
    refs: BTreeMap<Actor, BTreeSet<StatementKey>>,
    /// What may be adopted, the earliest deadline first.
    ready: BTreeSet<(Micros, StatementKey)>,
    /// To be looked at.
    looks: BTreeSet<StatementKey>,
    turn: Micros,
    forwards: BTreeMap<StatementKey, Micros>,
    /// Held with something that waits.
    waiting: BTreeSet<StatementKey>,
    /// When what is kept leaves.
    expiry: BTreeSet<(Micros, StatementKey)>,
    kept: (usize, usize),
    /// Never taken here, until then.
    declined: BTreeMap<StatementKey, Micros>,
    past: BTreeMap<StatementKey, Past>,
    past_order: VecDeque<(StatementKey, Micros)>,
    /// When the newest of those was remembered that had to go; 0: none had.
    forgot: Micros,
    taken: u64,
    leaving: bool,
    left: bool,
    sweep: Micros,
    /// The newest time that was told.
    now: Micros,
    effects: VecDeque<Effect>,
}

/// Scrambles a number: hashes of names and numbers that stay the same in every program.
fn scramble(n: u64) -> u64 {
    let mut z = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}

fn hash(life: &Life) -> u64 {
    life.name.bytes().fold(scramble(life.life), |h, b| scramble(h ^ u64::from(b)))
}

impl Custodian {
    /// A gateway that starts, with what it had kept: `None` if it is its first start ever.
    ///
    /// # Errors
    /// If that is not what it kept.
    pub fn new(terms: Terms, ends: Option<&[u8]>, now: Micros) -> Result<Custodian, Spoilt> {
        Custodian::planted(terms, ends, now, Plant::None)
    }

    /// See [`Custodian::new`]; with a fault.
    ///
    /// # Errors
    /// As there.
    pub fn planted(
        terms: Terms,
        ends: Option<&[u8]>,
        now: Micros,
        plant: Plant,
    ) -> Result<Custodian, Spoilt> {
        let spans = Spans { lease: terms.lease, drift: terms.drift };
        let voter = terms.voters.contains(&terms.me.name);
        let voter = if voter { Some(Voter::new(spans, ends, now, terms.voters.len(), plant)?) } else { None };
        let quorum = terms.voters.len() / 2 + usize::from(plant != Plant::HalfIsQuorum);
        let mut this = Custodian {
            me: Actor { life: terms.me.clone(), term: 0 },
            terms,
            plant,
            spans,
            voter,
            tenure: Tenure::new(now, quorum.max(1)),
            acting: false,
            renew: now,
            known_again: now,
            ended: false,
            lives: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            candidates: Vec::new(),
            other: BTreeSet::new(),
            peers: BTreeMap::new(),
            newest: BTreeMap::new(),
            over: BTreeMap::new(),
            ends: BTreeMap::new(),
            wanted: BTreeMap::new(),
            entries: BTreeMap::new(),
            refs: BTreeMap::new(),
            ready: BTreeSet::new(),
            looks: BTreeSet::new(),
            turn: now,
            forwards: BTreeMap::new(),
            waiting: BTreeSet::new(),
            expiry: BTreeSet::new(),
            kept: (0, 0),
            declined: BTreeMap::new(),
            past: BTreeMap::new(),
            past_order: VecDeque::new(),
            forgot: 0,
            taken: 0,
            leaving: false,
            left: false,
            sweep: now + SWEEP,
            now,
            effects: VecDeque::new(),
        };
        this.keep();
        Ok(this)
    }

    fn quorum(&self) -> usize {
        (self.terms.voters.len() / 2 + usize::from(self.plant != Plant::HalfIsQuorum)).max(1)
    }

    /// The next effect.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    fn say(&mut self, to: &str, said: &Said) {
        let bytes = said.write(self.me.life.life, self.me.term);
        debug_assert!(bytes.len() <= DATAGRAM);
        self.effects.push_back(Effect::Say(to.to_owned(), bytes));
    }

    fn keep(&mut self) {
        if let Some(bytes) = self.voter.as_mut().and_then(Voter::keep) {
            self.effects.push_back(Effect::Keep(bytes));
        }
    }

    /// What [`Effect::Keep`] asked for is on disk.
    pub fn kept(&mut self, now: Micros) {
        let Some(voter) = &mut self.voter else { return };
        let mut told: BTreeMap<String, Vec<(Actor, Micros)>> = BTreeMap::new();
        for (to, actor, left) in voter.kept(now) {
            told.entry(to).or_default().push((actor, left));
        }
        self.keep();
        for (to, marks) in told {
            self.marks_told(now, &to, marks);
        }
        // Its own first grant may have waited for that.
        self.renew = now;
    }

    fn marks_told(&mut self, now: Micros, to: &str, marks: Vec<(Actor, Micros)>) {
        if to == self.me.life.name {
            return self.marked(now, to, marks);
        }
        for part in wire::parts(marks, |m| &m.0) {
            self.say(to, &Said::Marked(part));
        }
    }

    /// Whether this gateway may start attempts and tell endings: its tenure holds for [`Terms::check`] more. To be asked just
    /// before.
    pub fn may_act(&self, now: Micros) -> bool {
        now + self.terms.check < self.tenure.until || self.plant == Plant::ActsWithoutTenure
    }

    // --- Lives: membership, tenure, endings -------------------------------------------------------------------------

    /// What membership believes, whenever it changes.
    pub fn members(&mut self, now: Micros, members: Vec<Member>) {
        let lives = members.into_iter().map(|m| (m.life, (m.state, m.site))).collect();
        let before = std::mem::replace(&mut self.lives, lives);
        // A process of the same name in the place of one that was listed: that one is gone. One that was never listed may be newer.
        let names: BTreeSet<&String> = self.lives.keys().map(|l| &l.name).collect();
        for life in before.into_keys().filter(|l| !self.lives.contains_key(l) && names.contains(&l.name)) {
            self.unlisted.insert(life, now.saturating_sub(self.terms.lease));
        }
        self.candidates = self
            .lives
            .iter()
            .filter(|(life, (state, _))| *state == State::Alive && life.name != self.me.life.name)
            .map(|(life, (_, site))| (*site == self.terms.site, hash(life), life.clone()))
            .collect();
        self.lives.keys().for_each(|l| {
            self.unlisted.remove(l);
        });
        self.missed(now);
        // Those that lack guardians may have some now; what is held by one that is gone is found through it.
        let lacking = self.entries.iter().filter(|(_, e)| self.lacks(now, e)).map(|(k, _)| k.clone());
        let lacking: Vec<StatementKey> = lacking.collect();
        self.looks.extend(lacking);
        self.run(now);
    }

    /// Whether membership has a process for gone.
    fn lost(&self, now: Micros, life: &Life) -> bool {
        match self.lives.get(life) {
            Some((state, _)) => matches!(state, State::Dead | State::Left),
            // One that is not listed yet is not gone.
            None => self.unlisted.get(life).is_some_and(|since| now >= *since + self.terms.lease),
        }
    }

    /// Whether a life is surely over through a term, or through the newest one that was heard of. Belief is not enough: on the far
    /// side of a cut a holder that goes on looks dead.
    pub fn surely_over(&self, life: &Life, term: u32) -> bool {
        let newest = self.newest.get(life).copied().unwrap_or(0);
        self.is_over(&Actor { life: life.clone(), term: term.max(newest) })
    }

    /// Somebody wants to know whether a life is surely over. If membership has it for gone, the voters are asked to end it, for
    /// half a minute from now.
    pub fn want_over(&mut self, now: Micros, life: &Life, term: u32) {
        let newest = self.newest.get(life).copied().unwrap_or(0);
        let actor = Actor { life: life.clone(), term: term.max(newest) };
        if self.is_over(&actor) || (self.wanted.len() >= PEERS && !self.wanted.contains_key(&actor)) {
            return;
        }
        self.wanted.insert(actor, now + WANTED);
        self.missed(now);
        self.run(now);
    }

    fn is_over(&self, actor: &Actor) -> bool {
        self.over.get(&actor.life).is_some_and(|through| actor.term <= *through)
    }

    /// Whoever is gone and stands in a chain is to be ended.
    fn missed(&mut self, now: Micros) {
        for actor in self.refs.keys().chain(self.wanted.keys()) {
            if !self.lives.contains_key(&actor.life) && !self.lives.is_empty() {
                self.unlisted.entry(actor.life.clone()).or_insert(now);
            }
        }
        let named = self.refs.keys().chain(self.wanted.keys());
        let lost: Vec<Actor> =
            named.filter(|a| self.lost(now, &a.life) && !self.is_over(a)).cloned().collect();
        for actor in lost {
            self.ends.entry(actor).or_default();
        }
        let (refs, wanted) = (&self.refs, &self.wanted);
        self.ends.retain(|a, _| refs.contains_key(a) || wanted.contains_key(a));
    }

    fn ask_marks(&mut self, now: Micros) {
        // One without a tenure could take nothing over. It may be the one that is cut off: after the heal its old belief would end
        // all those that went on.
        let due = |e: &EndAsk| e.asked.is_none_or(|at| at + MARKS_AGAIN <= now);
        if !self.acting || !self.ends.values().any(due) {
            return;
        }
        let lease = self.terms.lease;
        for voter in self.terms.voters.clone() {
            let lacking: Vec<Actor> = self
                .ends
                .iter()
                .filter(|(_, e)| due(e) && e.lacks(now, &voter, lease))
                .map(|(a, _)| a.clone())
                .collect();
            if lacking.is_empty() {
                continue;
            }
            if voter == self.me.life.name {
                self.end_asked(now, &voter, lacking);
            } else {
                wire::parts(lacking, |a| a).into_iter().for_each(|p| self.say(&voter, &Said::End(p)));
            }
        }
        self.ends.values_mut().filter(|e| due(e)).for_each(|e| e.asked = Some(now));
    }

    /// A voter that has kept nothing asks what the others have, until it knows enough.
    fn ask_known(&mut self, now: Micros) {
        if !self.voter.as_ref().is_some_and(Voter::is_empty) || self.known_again > now {
            return;
        }
        self.known_again = now + MARKS_AGAIN;
        for voter in self.terms.voters.clone() {
            if voter != self.me.life.name {
                self.say(&voter, &Said::Tell(now));
            }
        }
    }

    fn tell_marks(&mut self, now: Micros, from: &str, asked: Micros) {
        let Some(kept) = self.voter.as_ref().map(Voter::tells) else { return };
        // Who asks has nothing; and this one may have nothing either.
        self.marks_known(now, from, now, &[]);
        let bytes = Said::Known { asked, kept }.write(self.me.life.life, self.me.term);
        let to = from.to_owned();
        self.effects.push_back(if bytes.len() <= DATAGRAM {
            Effect::Say(to, bytes)
        } else {
            Effect::Send(to, bytes)
        });
    }

    fn marks_known(&mut self, now: Micros, from: &str, asked: Micros, kept: &[u8]) {
        let other = from != self.me.life.name && self.terms.voters.iter().any(|v| v == from);
        let Some(voter) = self.voter.as_mut().filter(|v| other && v.is_empty()) else { return };
        voter.learn(now, from, asked, kept);
        if voter.is_empty() {
            return;
        }
        self.effects
            .push_back(Effect::Log("what the other voters have marked is known: this one votes".into()));
        self.keep();
    }

    fn end_asked(&mut self, now: Micros, from: &str, who: Vec<Actor>) {
        let Some(voter) = &mut self.voter else { return };
        let told = voter.end(now, from, who);
        self.keep();
        self.marks_told(now, from, told);
    }

    fn marked(&mut self, now: Micros, voter: &str, marks: Vec<(Actor, Micros)>) {
        if !self.terms.voters.iter().any(|v| v == voter) {
            return;
        }
        let waits = self.plant != Plant::GrantNotWaitedOut;
        let (quorum, lease) = (self.quorum(), self.terms.lease);
        for (actor, left) in marks {
            if let Some(end) = self.ends.get_mut(&actor) {
                let at = if waits { now + self.spans.surely(left) } else { now };
                end.marked(voter, now, at, quorum, lease);
            }
        }
    }

    fn ends_due(&mut self, now: Micros) {
        let over: Vec<Actor> = self
            .ends
            .iter()
            .filter(|(_, e)| e.over.is_some_and(|at| at <= now))
            .map(|(a, _)| a.clone())
            .collect();
        for actor in over {
            self.ends.remove(&actor);
            let Life { name, life } = &actor.life;
            let of = self.refs.get(&actor).map_or(0, BTreeSet::len);
            self.effects
                .push_back(Effect::Log(format!("{name} ({life:016x}) is surely over: {of} statements")));
            self.now_over(&actor);
        }
    }

    fn now_over(&mut self, actor: &Actor) {
        let through = self.over.entry(actor.life.clone()).or_insert(actor.term);
        *through = actor.term.max(*through);
        let through = *through;
        let from = Actor { life: actor.life.clone(), term: 0 };
        let to = Actor { life: actor.life.clone(), term: through };
        let of = self.refs.range(from..=to).flat_map(|(_, keys)| keys.iter().cloned());
        self.looks.extend(of);
        // The numbers stay: what comes late from there is not taken for new.
        for (_, peer) in self.peers.iter_mut().filter(|(a, _)| a.life == actor.life && a.term <= through) {
            *peer = Peer { numbers: peer.numbers, heard: peer.heard, ..Peer::default() };
        }
    }

    fn ask(&mut self, now: Micros) {
        let voters = self.terms.voters.clone();
        for voter in &voters {
            if *voter == self.me.life.name {
                let me = self.me.clone();
                let answer = self.voter.as_mut().map_or(Answer::Nothing, |v| v.asked(now, &me));
                self.keep();
                self.answered(now, voter, now, &answer);
            } else {
                self.say(voter, &Said::Ask(now));
            }
        }
    }

    fn answered(&mut self, now: Micros, voter: &str, asked: Micros, answer: &Answer) {
        match answer {
            Answer::Granted => {
                let asked = if self.plant == Plant::LeaseFromReceipt { now } else { asked };
                self.tenure.granted(voter, asked, self.spans.held());
            }
            Answer::Ended(through) if *through >= self.me.term => self.ended = true,
            Answer::Ended(_) | Answer::Nothing => {}
        }
    }

    /// This term is over, as the voters have it: whatever was in hand is another's, and a new term begins with nothing.
    fn next_term(&mut self, now: Micros) {
        let others: BTreeSet<String> = self.refs.keys().map(|a| a.life.name.clone()).collect();
        let had: Vec<StatementKey> = self.entries.keys().cloned().collect();
        self.me.term += 1;
        self.declined.clear();
        self.peers.clear();
        self.waiting.clear();
        for key in had {
            let Some(entry) = self.entries.get(&key) else { continue };
            let held = entry.held().filter(|h| h.adopting.is_none());
            let alone = held.is_some_and(|h| h.guards.iter().all(|g| g.acked == 0));
            if held.is_some_and(|h| !h.giving) {
                self.effects.push_back(Effect::Dropped(key.clone()));
            }
            if alone && now < self.tenure.held_at + BACK {
                self.give_back(now, &key);
                continue;
            }
            let others = entry.behind().map(|i| entry.links[i].actor.life.clone()).collect();
            self.forget(&key);
            self.remember(key, Past::Moved(self.me.term - 1, others));
        }
        self.ended = false;
        self.tenure = Tenure::new(now, self.quorum());
        self.renew = now;
        others.iter().for_each(|name| self.say(name, &Said::Me));
        let term = self.me.term;
        self.effects
            .push_back(Effect::Log(format!("ended by the voters: term {term} begins with nothing in hand")));
    }

    /// A process says by its saying which term it is in: its earlier ones are over.
    fn learn(&mut self, life: &Life, term: u32) -> bool {
        if self.newest.len() >= PEERS && !self.newest.contains_key(life) {
            let (lives, refs) = (&self.lives, &self.refs);
            self.newest.retain(|l, _| lives.contains_key(l) || refs.keys().any(|a| a.life == *l));
            if self.newest.len() >= PEERS {
                return false;
            }
        }
        let newest = self.newest.entry(life.clone()).or_insert(term);
        if *newest > term {
            return false;
        }
        if *newest < term || (term > 0 && !self.over.contains_key(life)) {
            *newest = term;
            self.now_over(&Actor { life: life.clone(), term: term - 1 });
        }
        true
    }

    // --- What comes -------------------------------------------------------------------------------------------------

    /// A datagram or a sending, from a gateway that has proved its name.
    pub fn heard(&mut self, now: Micros, from: &str, bytes: &[u8]) {
        let (life, term, said) = match Said::read(bytes) {
            Ok(read) => read,
            Err(Unread::Bad) => return,
            Err(Unread::Format(n)) => {
                self.effects
                    .push_back(Effect::Log(format!("{from} speaks format {n}, which is not known here")));
                return self.effects.push_back(Effect::Say(from.to_owned(), wire::other_format()));
            }
            Err(Unread::Reads(format)) => {
                self.effects.push_back(Effect::Log(format!("{from} reads format {format}: no guardian")));
                return self.no_guardian(now, from);
            }
        };
        let life = Life { name: from.to_owned(), life };
        if !self.learn(&life, term) {
            return;
        }
        let sender = Actor { life, term };
        if let Some(peer) = self.peers.get_mut(&sender) {
            peer.heard = now;
        }
        match said {
            Said::Ask(asked) => {
                let answer = self.voter.as_mut().map_or(Answer::Nothing, |v| v.asked(now, &sender));
                self.keep();
                match answer {
                    Answer::Granted => self.say(from, &Said::Grant(asked)),
                    Answer::Ended(through) => self.say(from, &Said::Ended(through)),
                    Answer::Nothing => {}
                }
            }
            Said::Grant(asked) if self.terms.voters.iter().any(|v| v == from) && asked <= now => {
                self.answered(now, from, asked, &Answer::Granted);
            }
            Said::Ended(through) if self.terms.voters.iter().any(|v| v == from) => {
                self.answered(now, from, 0, &Answer::Ended(through));
            }
            Said::Grant(_) | Said::Ended(_) | Said::Me => {}
            Said::Which => self.say(from, &Said::Me),
            Said::Tell(asked) => self.tell_marks(now, from, asked),
            Said::Known { asked, kept } => self.marks_known(now, from, asked, &kept),
            Said::End(who) => self.end_asked(now, from, who),
            Said::Marked(marks) => self.marked(now, from, marks),
            Said::Batch { to, .. } if to != (self.me.life.life, self.me.term) => self.say(from, &Said::Me),
            Said::Batch { number, records, ends, .. } => self.batch(now, sender, number, records, ends),
            Said::Ack { to, number, not } => {
                if to == (self.me.life.life, self.me.term) {
                    self.acked(now, &sender, number, &not);
                }
            }
        }
        self.run(now);
    }

    /// A gateway's program reads another format: none of its processes that were told of is a guardian.
    fn no_guardian(&mut self, now: Micros, name: &str) {
        let lives: Vec<Life> = self.lives.keys().filter(|l| l.name == name).cloned().collect();
        self.other.extend(lives);
        let of: Vec<(Actor, BTreeSet<StatementKey>)> = self
            .refs
            .iter()
            .filter(|(a, _)| a.life.name == name && self.other.contains(&a.life))
            .map(|(a, keys)| (a.clone(), keys.clone()))
            .collect();
        for (actor, keys) in of {
            keys.iter().for_each(|key| self.gone(key, &actor));
            if let Some(peer) = self.peers.get_mut(&actor) {
                *peer = Peer { numbers: peer.numbers, heard: peer.heard, ..Peer::default() };
            }
            self.looks.extend(keys);
        }
        self.run(now);
    }

    fn peer(&mut self, actor: &Actor) -> Option<&mut Peer> {
        if self.peers.len() >= PEERS && !self.peers.contains_key(actor) {
            return None;
        }
        Some(self.peers.entry(actor.clone()).or_default())
    }

    fn batch(
        &mut self,
        now: Micros,
        sender: Actor,
        number: u64,
        records: Vec<Item>,
        ends: Vec<StatementKey>,
    ) {
        let over = self.is_over(&sender);
        let Some(peer) = self.peer(&sender) else { return };
        // One that comes late or twice would bring back what has been ended since.
        if number <= peer.numbers.0 || over {
            return;
        }
        peer.numbers.0 = number;
        let mut not = Vec::new();
        for (at, item) in records.into_iter().enumerate() {
            if let Err(why) = self.record(now, &sender, item) {
                not.push((at as u16, why));
            }
        }
        for key in ends {
            if self.entries.get(&key).is_some_and(|e| e.held().is_none()) {
                let ending = self.forget(&key).and_then(|e| e.record.ending);
                self.remember(key, Past::Ended(ending));
            }
        }
        let to = (sender.life.life, sender.term);
        self.say(&sender.life.name, &Said::Ack { to, number, not });
    }

    /// A record comes.
    fn record(&mut self, now: Micros, sender: &Actor, item: Item) -> Result<(), Why> {
        let Item { record, whole, links } = item;
        let key = record.key.clone();
        if self.declined.contains_key(&key) {
            return Err(Why::Full);
        }
        let place = |who: &Actor| links.iter().position(|l| l.actor == *who);
        // What a process gives back that had it in an earlier term. One that had it in this term, and has it
        // no more, never does again.
        let earlier = |l: &Link| l.gone && l.actor.life == sender.life && l.actor.term < sender.term;
        let known = self.forgot == 0 || now >= self.forgot + 2 * BACK;
        let moved = matches!(self.past.get(&key), Some(Past::Moved(term, _)) if *term == self.me.term);
        let new = known && !moved;
        let back = || links.iter().position(earlier).filter(|_| new);
        let (Some(at), Some(by)) = (place(&self.me), place(sender).or_else(back)) else {
            return Err(Why::Past);
        };
        if links[at].gone {
            return Err(Why::Past);
        }
        // Given back by this process, taken by another one, which wants it as a guardian now.
        if self.gives_back(&key) && whole {
            self.forget(&key);
        }
        let me = self.me.clone();
        let Some(entry) = self.entries.get_mut(&key) else {
            if let Some(Past::Ended(_)) = self.past.get(&key) {
                return Err(Why::Ended);
            }
            if !whole {
                return Err(Why::Bodiless);
            }
            let deadline = now.saturating_add(record.left);
            let entry = Entry { record, links, at, role: Role::Kept, deadline, stamped: now };
            let octets = entry.octets();
            if self.kept.0 >= self.terms.most || self.kept.1 + octets > self.terms.most_octets {
                if self.declined.len() < DECLINED {
                    self.declined.insert(key, deadline.saturating_add(LINGER));
                    return Err(Why::Full);
                }
                return Err(Why::Past);
            }
            self.kept = (self.kept.0 + 1, self.kept.1 + octets);
            self.expiry.insert((deadline.saturating_add(LINGER), key.clone()));
            for link in entry.links.iter().filter(|l| !l.gone && l.actor != me) {
                self.refs.entry(link.actor.clone()).or_default().insert(key.clone());
            }
            self.past.remove(&key);
            self.entries.insert(key.clone(), entry);
            self.looks.insert(key);
            return Ok(());
        };
        // Two chains differ only where one names guardians that were never told: whoever stands before them and did not
        // know of them has become the holder, and named others. What its record says holds then.
        let common = entry.links.iter().zip(&links).take_while(|(a, b)| a.actor == b.actor).count();
        if common <= entry.at {
            return Err(Why::Past);
        }
        // One that is over, or has given up, only says so; it is not listened to any more.
        if entry.links[..common].get(by).is_some_and(|l| l.gone) && !links[by].gone {
            return Err(Why::Past);
        }
        let before = entry.octets();
        let mut unref = Vec::new();
        for (mine, told) in entry.links.iter_mut().zip(&links[..common]) {
            if told.gone && !mine.gone {
                mine.gone = true;
                unref.push(mine.actor.clone());
            }
        }
        if entry.held().is_none() {
            if record.version > entry.record.version && self.plant != Plant::ChainForgotten {
                unref.extend(entry.links.split_off(common).into_iter().map(|l| l.actor));
                for link in &links[common..] {
                    entry.links.push(link.clone());
                    unref.retain(|a| *a != link.actor);
                    if !link.gone && link.actor != me {
                        self.refs.entry(link.actor.clone()).or_default().insert(key.clone());
                    }
                }
            }
            if record.version > entry.record.version {
                let old = entry.deadline;
                entry.deadline = now.saturating_add(record.left);
                let body = if whole { record.body } else { std::mem::take(&mut entry.record.body) };
                entry.record = Record { body, ..record };
                entry.stamped = now;
                self.ready.remove(&(old, key.clone()));
                self.expiry.remove(&(old.saturating_add(LINGER), key.clone()));
                self.expiry.insert((entry.deadline.saturating_add(LINGER), key.clone()));
            }
            self.kept.1 = self.kept.1 + entry.octets() - before;
        }
        for actor in unref {
            self.unref(&key, &actor);
        }
        self.looks.insert(key);
        Ok(())
    }

    fn acked(&mut self, now: Micros, sender: &Actor, number: u64, not: &[(u16, Why)]) {
        let Some(peer) = self.peers.get_mut(sender) else { return };
        let Some(flight) = peer.flights.remove(&number) else { return };
        peer.lost = 0;
        if not.iter().any(|n| n.1 == Why::Full) {
            peer.full = Some(now);
        }
        if !(peer.records.is_empty() && peer.ends.is_empty()) {
            peer.due = Some(peer.due.map_or(now, |due| due.min(now)));
        }
        let not: BTreeMap<u16, Why> = not.iter().copied().collect();
        for (at, (key, version)) in flight.records.into_iter().enumerate() {
            let why = not.get(&(at as u16)).copied();
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            let Some(i) = entry.links.iter().position(|l| l.actor == *sender) else { continue };
            if why == Some(Why::Ended) {
                if entry.held().is_some_and(|h| !h.giving && h.adopting.is_none()) {
                    self.effects.push_back(Effect::Dropped(key.clone()));
                }
                let ending = self.forget(&key).and_then(|e| e.record.ending);
                self.remember(key, Past::Ended(ending));
                continue;
            }
            match &mut entry.role {
                Role::Held(held) => {
                    let guard = &mut held.guards[i];
                    match why {
                        None => {
                            guard.acked = version.max(guard.acked);
                            guard.body = true;
                        }
                        Some(Why::Bodiless) => (guard.body, guard.sent) = (false, 0),
                        Some(Why::Full) => self.gone(&key, sender),
                        Some(_) => {}
                    }
                }
                Role::Kept => {
                    if why == Some(Why::Full) {
                        self.gone(&key, sender);
                    }
                    // It has it now, and goes on with it.
                    self.forwards.remove(&key);
                }
            }
            self.look(now, &key);
        }
    }

    /// A sending could not be brought to a gateway.
    pub fn unsent(&mut self, now: Micros, to: &str) {
        let of: Vec<Actor> = self.peers.keys().filter(|a| a.life.name == to).cloned().collect();
        for actor in of {
            if let Some(peer) = self.peers.get_mut(&actor) {
                peer.flights.values_mut().for_each(|f| f.lost_at = now);
            }
            self.lost_flights(now, &actor);
        }
    }

    fn lost_flights(&mut self, now: Micros, actor: &Actor) {
        let Some(peer) = self.peers.get_mut(actor) else { return };
        let lost: Vec<u64> = peer.flights.iter().filter(|(_, f)| f.lost_at <= now).map(|f| *f.0).collect();
        if lost.is_empty() {
            return;
        }
        peer.lost = (peer.lost + 1).min(DOUBLED);
        let again = now + ((ANSWERED / 4) << peer.lost);
        let mut keys = Vec::new();
        for number in lost {
            let Some(flight) = peer.flights.remove(&number) else { continue };
            peer.ends.extend(flight.ends);
            keys.extend(flight.records);
        }
        peer.due = Some(again);
        for (key, _) in keys {
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            let Some(i) = entry.links.iter().position(|l| l.actor == *actor) else { continue };
            if let Some(held) = entry.held_mut() {
                held.guards[i].sent = held.guards[i].acked.min(held.guards[i].sent);
                if let Some(peer) = self.peers.get_mut(actor) {
                    peer.records.insert(key);
                }
            }
        }
    }

    // --- Statements -------------------------------------------------------------------------------------------------

    /// A statement that this life has taken. Gives its guardians as chosen.
    pub fn take(&mut self, now: Micros, record: Record) -> Vec<Life> {
        let key = record.key.clone();
        if self.entries.contains_key(&key) {
            return self.chain(&key).split_off(1);
        }
        self.taken = self.taken.max(key.number);
        let deadline = now.saturating_add(record.left);
        let me = Link { actor: self.me.clone(), gone: false, after: 0 };
        let record = Record { version: 1, ..record };
        let held = Held { guards: vec![Guard::default()], ..Held::default() };
        let role = Role::Held(Box::new(held));
        let entry = Entry { record, links: vec![me], at: 0, role, deadline, stamped: now };
        self.entries.insert(key.clone(), entry);
        self.look(now, &key);
        self.chain(&key).split_off(1)
    }

    /// The lives that a statement's chain names, its first holder first.
    pub fn chain(&self, key: &StatementKey) -> Vec<Life> {
        self.links(key).into_iter().map(|(life, _)| life).collect()
    }

    /// The same, each with the term in which it stands there.
    pub fn links(&self, key: &StatementKey) -> Vec<(Life, u32)> {
        let of = |l: &Link| (l.actor.life.clone(), l.actor.term);
        self.entries.get(key).map_or(Vec::new(), |e| e.links.iter().map(of).collect())
    }

    /// Whether the client of a statement that was taken here at a time may be told that it is: it outlives this process from
    /// then on. All that are to keep it have it, and the voters have granted the tenure within half a lease; or, if one is
    /// silent, another one has it and the tenure was granted anew since. A holder that is cut off knows of that only at the end
    /// of its lease, and what it takes until then nobody could act for before its client has given up.
    pub fn settled(&self, now: Micros, key: &StatementKey, since: Micros) -> bool {
        let Some((entry, held)) = self.entries.get(key).and_then(|e| e.held().map(|h| (e, h))) else {
            return true;
        };
        let asked_at = |at: Micros| self.tenure.until >= at.saturating_add(self.spans.held());
        let has = |i: usize| held.guards[i].acked > 0;
        let none = entry.behind().all(|i| self.lost(now, &entry.links[i].actor.life));
        let fresh = asked_at(now.saturating_sub(self.terms.lease / 2));
        (fresh && entry.behind().all(has)) || (asked_at(since) && (none || entry.behind().any(has)))
    }

    fn mine(&mut self, now: Micros, key: &StatementKey) -> Option<&mut Entry> {
        let may = self.may_act(now);
        let entry = self.entries.get_mut(key)?;
        let free = entry.held().is_some_and(|h| !h.giving && h.adopting.is_none());
        (may && free).then_some(entry)
    }

    /// Before an attempt is written to its engine: `attempts` have been spent then, this one included.
    pub fn intend(&mut self, now: Micros, key: &StatementKey, attempts: u32, out: Out) -> Leave {
        let waits = self.plant != Plant::IntentNotAwaited;
        let Some(entry) = self.mine(now, key).filter(|e| e.record.ending.is_none()) else {
            return Leave::Never;
        };
        entry.record.version += 1;
        entry.record.attempts = attempts;
        entry.record.out = Some(out);
        entry.stamped = now;
        entry.record.left = entry.deadline.saturating_sub(now);
        let version = entry.record.version;
        if entry.record.repeat == Repeat::Harmless || !waits {
            self.tell(now, key, COALESCED);
            return Leave::Go;
        }
        if let Some(held) = entry.held_mut() {
            held.intent = Some((attempts, version));
        }
        self.waits(now, key)
    }

    /// What waits is told at once, and what has nothing to wait for may go.
    fn waits(&mut self, now: Micros, key: &StatementKey) -> Leave {
        self.waiting.insert(key.clone());
        let before = self.effects.len();
        self.look(now, key);
        self.run(now);
        // The word that may follow at once is given as the answer.
        let word = |e: &Effect| matches!(e, Effect::Go(k, _) | Effect::Tell(k) if k == key);
        if let Some(at) = self.effects.iter().skip(before).position(word) {
            self.effects.remove(before + at);
            return Leave::Go;
        }
        Leave::Wait
    }

    /// Progress: the attempt that is out, if one is, and pages passed on. It follows when there is time.
    pub fn note(&mut self, now: Micros, key: &StatementKey, out: Option<Out>, passed: u64) {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.held().is_some_and(|h| !h.giving)) else {
            return;
        };
        entry.record.out = out;
        entry.record.passed = passed;
        entry.record.version += 1;
        entry.stamped = now;
        self.tell(now, key, COALESCED);
    }

    /// Before an ending of the gateway's own is told.
    pub fn decide(&mut self, now: Micros, key: &StatementKey, ending: Ending) -> Leave {
        let Some(entry) = self.mine(now, key) else { return Leave::Never };
        match &entry.record.ending {
            Some(before) if *before != ending => return Leave::Never,
            Some(_) => {}
            None => {
                entry.record.ending = Some(ending);
                entry.record.version += 1;
            }
        }
        let version = entry.record.version;
        let (harmless, out) = (entry.record.repeat == Repeat::Harmless, entry.record.attempts > 0);
        let Some(held) = entry.held_mut() else { return Leave::Never };
        held.intent = None;
        // A client that is told to try again must not have it run by a taker that knows nothing of that.
        if harmless && !out {
            self.tell(now, key, COALESCED);
            return Leave::Go;
        }
        held.ending.get_or_insert(version);
        self.waits(now, key)
    }

    /// Its client has its end, or never comes back.
    pub fn end(&mut self, now: Micros, key: &StatementKey) {
        if self.entries.get(key).is_none_or(|e| e.held().is_none_or(|h| h.giving)) {
            return;
        }
        let Some(entry) = self.forget(key) else { return };
        if let Some(held) = entry.held() {
            for i in entry.behind().filter(|&i| held.guards[i].told) {
                if let Some(peer) = self.peer(&entry.links[i].actor) {
                    peer.ends.insert(key.clone());
                    peer.due = Some(peer.due.unwrap_or(now + COALESCED));
                }
            }
        }
        self.remember(key.clone(), Past::Ended(entry.record.ending));
    }

    /// A planned end: every statement that has a guardian goes to it, [`Effect::Dropped`] each.
    pub fn hand_over(&mut self, now: Micros) {
        self.leaving = true;
        let held = self.entries.iter().filter(|(_, e)| e.held().is_some()).map(|(k, _)| k.clone());
        let held: Vec<StatementKey> = held.collect();
        held.iter().for_each(|key| self.look(now, key));
        self.run(now);
    }

    /// Whether nothing is held any more after [`Custodian::hand_over`].
    pub fn handed_over(&self) -> bool {
        self.left
    }

    /// Where a statement is.
    pub fn whereabouts(&self, key: &StatementKey) -> Whereabouts {
        let now = self.now;
        let at = |life: &Life| !self.lost(now, life) && !self.over.contains_key(life);
        if let Some(entry) = self.entries.get(key) {
            match entry.held() {
                Some(held) if held.adopting.is_some() => return Whereabouts::Taking,
                Some(held) if !held.giving => return Whereabouts::Here,
                _ => {}
            }
            let open = |l: &&Link| !l.gone && !self.is_over(&l.actor) && !self.lost(now, &l.actor.life);
            return match entry.links.iter().find(open) {
                Some(link) if link.actor == self.me => Whereabouts::Taking,
                Some(link) => Whereabouts::At(link.actor.life.clone()),
                None => Whereabouts::Unknown,
            };
        }
        match self.past.get(key) {
            Some(Past::Ended(ending)) => Whereabouts::Over(ending.clone()),
            Some(Past::Moved(_, others)) => {
                others.iter().find(|l| at(l)).map_or(Whereabouts::Unknown, |l| Whereabouts::At(l.clone()))
            }
            None if key.taken_by == self.me.life && key.number <= self.taken => Whereabouts::Over(None),
            None if key.taken_by == self.me.life => Whereabouts::Unknown,
            None if self.lives.contains_key(&key.taken_by) && at(&key.taken_by) => {
                Whereabouts::At(key.taken_by.clone())
            }
            None => Whereabouts::Unknown,
        }
    }

    /// Whether a statement is only offered to others, by a process that held it in a term that is over.
    pub fn gives_back(&self, key: &StatementKey) -> bool {
        let given = |e: &Entry| e.held().is_some_and(|h| h.giving) && e.links[e.at].actor != self.me;
        self.entries.get(key).is_some_and(given)
    }

    /// Own statements, records kept for others, octets of them, and what waits to be recorded.
    pub fn held(&self) -> [usize; 4] {
        [self.entries.len() - self.kept.0, self.kept.0, self.kept.1, self.waiting.len()]
    }

    /// A statement's chain in words: who in it never acts, and the version that each one behind this one has.
    pub fn story(&self, key: &StatementKey) -> String {
        let Some(entry) = self.entries.get(key) else { return "nothing".into() };
        let links = entry.links.iter().enumerate().map(|(i, link)| {
            let Actor { life, term } = &link.actor;
            let gone = if link.gone { " gone" } else { "" };
            let lost = if self.lost(self.now, life) { " lost" } else { "" };
            let acked = entry
                .held()
                .map_or(String::new(), |h| format!(" has {:x} of {:x}", h.guards[i].acked, h.guards[i].sent));
            format!("{} {:x}/{term}{gone}{lost}{acked}", life.name, life.life >> 48)
        });
        let links: Vec<String> = links.collect();
        format!("version {:x}, {} of {}", entry.record.version, entry.at, links.join(", "))
    }

    fn forget(&mut self, key: &StatementKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        for link in &entry.links {
            self.unref(key, &link.actor);
        }
        self.ready.remove(&(entry.deadline, key.clone()));
        self.expiry.remove(&(entry.deadline.saturating_add(LINGER), key.clone()));
        // Few are given back; the time at which one leaves is none that follows from it.
        if entry.held().is_some() && entry.links[entry.at].actor != self.me {
            self.expiry.retain(|(_, k)| k != key);
        }
        self.forwards.remove(key);
        self.waiting.remove(key);
        self.looks.remove(key);
        if entry.held().is_none() {
            self.kept = (self.kept.0 - 1, self.kept.1.saturating_sub(entry.octets()));
        }
        Some(entry)
    }

    fn remember(&mut self, key: StatementKey, past: Past) {
        if self.past.insert(key.clone(), past).is_none() {
            self.past_order.push_back((key, self.now));
        }
        while self.past_order.len() > PAST {
            if let Some((old, at)) = self.past_order.pop_front() {
                self.past.remove(&old);
                self.forgot = at + 1;
            }
        }
    }

    fn unref(&mut self, key: &StatementKey, actor: &Actor) {
        if let Some(keys) = self.refs.get_mut(actor) {
            keys.remove(key);
            if keys.is_empty() {
                self.refs.remove(actor);
            }
        }
    }

    /// One in the chain never acts for this statement.
    fn gone(&mut self, key: &StatementKey, actor: &Actor) {
        if let Some(link) =
            self.entries.get_mut(key).and_then(|e| e.links.iter_mut().find(|l| l.actor == *actor))
        {
            link.gone = true;
        }
        self.unref(key, actor);
    }

    fn lacks(&self, now: Micros, entry: &Entry) -> bool {
        entry.held().is_some()
            && entry.behind().filter(|&i| !self.lost(now, &entry.links[i].actor.life)).count()
                < self.terms.copies
    }

    /// Looks at a statement after something has changed.
    fn look(&mut self, now: Micros, key: &StatementKey) {
        self.looks.remove(key);
        let Some(entry) = self.entries.get(key) else { return };
        let over: Vec<Actor> = entry
            .links
            .iter()
            .filter(|l| !l.gone && self.is_over(&l.actor))
            .map(|l| l.actor.clone())
            .collect();
        over.iter().for_each(|actor| self.gone(key, actor));
        let Some(entry) = self.entries.get(key) else { return };
        if entry.held().is_some() {
            self.look_held(now, key);
        } else if entry.links[entry.at].gone {
            let others = entry.behind().map(|i| entry.links[i].actor.life.clone()).collect();
            self.forget(key);
            self.remember(key.clone(), Past::Moved(self.me.term, others));
        } else {
            let first = entry.links.iter().position(|l| !l.gone).unwrap_or(entry.at);
            if first == entry.at {
                self.ready.insert((entry.deadline, key.clone()));
                self.forwards.remove(key);
            } else if entry.record.version >> HOLDER == first as u64 {
                // Its holder is one that lives, or is not known to be gone.
                self.forwards.remove(key);
            } else {
                self.forwards.entry(key.clone()).or_insert(now + FORWARD);
            }
        }
    }

    fn look_held(&mut self, now: Micros, key: &StatementKey) {
        let Some(entry) = self.entries.get(key) else { return };
        // One that has given it up adds to the chain only if nobody in it can act any more, nor has: whoever may have taken it over
        // may have added others.
        let giving = entry.held().is_some_and(|h| h.giving);
        let offered = entry.held().is_some_and(|h| h.offered);
        if giving && offered && entry.behind().next().is_none() {
            self.forget(key);
            return self.remember(key.clone(), Past::Moved(self.me.term, Vec::new()));
        }
        if self.lacks(now, entry) && (!giving || entry.behind().next().is_none()) {
            self.choose(now, key);
        }
        let Some(entry) = self.entries.get(key) else { return };
        let Some(held) = entry.held() else { return };
        if held.giving {
            let given =
                held.guards.iter().zip(&entry.links).any(|(g, l)| !l.gone && g.acked >= entry.record.version);
            if given {
                let others = entry.behind().map(|i| entry.links[i].actor.life.clone()).collect();
                self.forget(key);
                self.remember(key.clone(), Past::Moved(self.me.term, others));
            } else {
                self.tell(now, key, 0);
            }
            return;
        }
        let guarded = entry.behind().next().is_some();
        if !guarded && !held.unprotected {
            self.effects.push_back(Effect::Unprotected(key.clone()));
        }
        // One that has the record cannot decline it any more.
        let living =
            entry.behind().any(|i| !self.lost(now, &entry.links[i].actor.life) && held.guards[i].acked > 0);
        if self.leaving && living {
            return self.give(now, key);
        }
        let (may, intent, ending, adopting) = (self.may_act(now), held.intent, held.ending, held.adopting);
        let guards = |version| entry.behind().any(|i| held.guards[i].acked >= version);
        let go = intent.filter(|(_, v)| may && entry.recorded(held, *v) && (guards(*v) || !guarded));
        let tell = ending.filter(|v| may && entry.recorded(held, *v));
        let adopt = adopting.filter(|v| may && entry.recorded(held, *v));
        let record = adopt.map(|_| Box::new(entry.now(now)));
        let waits = intent.or(ending.or(adopting).map(|v| (0, v))).is_some();
        let Some(held) = self.entries.get_mut(key).and_then(Entry::held_mut) else { return };
        held.unprotected = !guarded;
        if let Some((attempts, _)) = go {
            held.intent = None;
            self.effects.push_back(Effect::Go(key.clone(), attempts));
        }
        if tell.is_some() {
            held.ending = None;
            self.effects.push_back(Effect::Tell(key.clone()));
        }
        if let Some(record) = record {
            held.adopting = None;
            self.effects.push_back(Effect::Adopt(record));
        }
        if held.intent.is_none() && held.ending.is_none() && held.adopting.is_none() {
            self.waiting.remove(key);
        }
        // The first word of a statement is what its client waits for.
        let new =
            self.entries.get(key).and_then(Entry::held).is_some_and(|h| h.guards.iter().all(|g| !g.told));
        self.tell(now, key, if waits || new { 0 } else { COALESCED });
    }

    /// Those behind it that may be told and do not know the newest version are.
    fn tell(&mut self, now: Micros, key: &StatementKey, within: Micros) {
        let Some(entry) = self.entries.get(key) else { return };
        let Some(held) = entry.held() else { return };
        if entry.record.body.len() > BODY {
            return;
        }
        let all = self.plant == Plant::ChainNotAwaited;
        let told: Vec<Actor> = entry
            .behind()
            .filter(|&i| held.guards[i].sent < entry.record.version && (all || entry.tellable(held, i)))
            .map(|i| entry.links[i].actor.clone())
            .collect();
        for actor in told {
            if let Some(peer) = self.peer(&actor) {
                peer.records.insert(key.clone());
                // One that does not answer is not asked faster.
                let due = if peer.lost > 0 { peer.due.unwrap_or(now + within) } else { now + within };
                peer.due = Some(peer.due.map_or(due, |d| d.min(due)));
            }
        }
    }

    /// Chooses guardians until there are enough.
    fn choose(&mut self, now: Micros, key: &StatementKey) {
        let Some(entry) = self.entries.get(key) else { return };
        if entry.record.body.len() > BODY {
            return;
        }
        let living = entry.behind().filter(|&i| !self.lost(now, &entry.links[i].actor.life)).count();
        let full: BTreeSet<&Life> = self
            .peers
            .iter()
            .filter(|(_, p)| p.full.is_some_and(|at| now < at + FULL))
            .map(|(a, _)| &a.life)
            .collect();
        let room = CHAIN - entry.links.len().min(CHAIN);
        let salt = scramble(hash(&key.taken_by) ^ key.number);
        let mut best: Vec<(bool, u64, &Life)> = self
            .candidates
            .iter()
            .filter(|c| !self.other.contains(&c.2) && !full.contains(&c.2))
            // Of one that was ended the next term has to be heard of first.
            .filter(|c| !self.surely_over(&c.2, 0))
            .filter(|c| {
                !entry.links.iter().any(|l| l.actor.life == c.2 && !(l.gone && self.is_over(&l.actor)))
            })
            .map(|c| (c.0, scramble(c.1 ^ salt), &c.2))
            .collect();
        let lack = self.terms.copies.saturating_sub(living).min(room).min(best.len());
        if lack == 0 {
            return;
        }
        best.select_nth_unstable(lack - 1);
        best.truncate(lack);
        best.sort_unstable();
        let chosen: Vec<Actor> = best
            .into_iter()
            .map(|(_, _, life)| Actor {
                life: life.clone(),
                term: self.newest.get(life).copied().unwrap_or(0),
            })
            .collect();
        let Some(entry) = self.entries.get_mut(key) else { return };
        if chosen.is_empty() {
            return;
        }
        // The first ones of all come with the statement itself; later ones with a version that names them.
        if entry.links.len() > 1 || entry.record.version > 1 {
            entry.record.version += 1;
        }
        let (after, since) = (entry.links.len() as u8, entry.record.version);
        for actor in &chosen {
            entry.links.push(Link { actor: actor.clone(), gone: false, after });
            if let Some(held) = entry.held_mut() {
                held.guards.push(Guard { since, ..Guard::default() });
            }
            self.refs.entry(actor.clone()).or_default().insert(key.clone());
        }
    }

    /// A statement that this process held in a term that is over, and that nobody is known to have: those behind it may never have
    /// heard of it, as in a cut. They are told what it knew, and that its place in the chain is given up. One that knows more
    /// keeps to that.
    fn give_back(&mut self, now: Micros, key: &StatementKey) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.links[entry.at].gone = true;
        entry.record.version += 1;
        let until = (self.tenure.held_at + BACK).min(entry.deadline.saturating_add(LINGER)).max(now);
        let Some(held) = entry.held_mut() else { return };
        held.giving = true;
        held.ending = None;
        // Somebody may have taken it over on what it was told and has not acknowledged, and named others. So it is given back to those
        // that were told, who have heard of that before it was acted on, and to no others; to any if nobody was.
        let told = held.guards.iter().rposition(|g| g.told);
        held.offered = told.is_some();
        for guard in &mut held.guards {
            (guard.sent, guard.body) = (0, false);
        }
        let last = told.map_or(usize::MAX, |at| at + 1);
        held.guards.truncate(last);
        let untold: Vec<Actor> = entry.links.drain(last.min(entry.links.len())..).map(|l| l.actor).collect();
        untold.iter().for_each(|actor| self.unref(key, actor));
        let Some(entry) = self.entries.get_mut(key) else { return };
        let Some(held) = entry.held_mut() else { return };
        // What still waited for its record was never written.
        if held.intent.take().is_some_and(|(attempts, _)| attempts == 1) {
            (entry.record.out, entry.record.attempts) = (None, 0);
        }
        self.expiry.insert((until, key.clone()));
        self.looks.insert(key.clone());
    }

    /// Gives a statement up to the next in the chain.
    fn give(&mut self, now: Micros, key: &StatementKey) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.links[entry.at].gone = true;
        entry.record.version += 1;
        let Some(held) = entry.held_mut() else { return };
        let told = held.adopting.is_none();
        held.giving = true;
        (held.intent, held.ending, held.adopting) = (None, None, None);
        if told {
            self.effects.push_back(Effect::Dropped(key.clone()));
        }
        self.waiting.remove(key);
        self.tell(now, key, 0);
    }

    fn adopt(&mut self, now: Micros, key: &StatementKey) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let octets = entry.octets();
        let (at, deadline) = (entry.at, entry.deadline);
        entry.record.version = ((at as u64) << HOLDER) + 1;
        let since = entry.record.version;
        let guards = vec![Guard { since, told: true, ..Guard::default() }; entry.links.len()];
        let again = entry.record.ending.is_some();
        let adopting = again.then_some(since);
        entry.role = Role::Held(Box::new(Held { guards, adopting, ..Held::default() }));
        let record = Box::new(entry.now(now));
        self.kept = (self.kept.0 - 1, self.kept.1.saturating_sub(octets));
        self.expiry.remove(&(deadline.saturating_add(LINGER), key.clone()));
        self.forwards.remove(key);
        if again {
            self.waiting.insert(key.clone());
        } else {
            self.effects.push_back(Effect::Adopt(record));
        }
        self.look(now, key);
    }

    // --- Time -------------------------------------------------------------------------------------------------------

    /// When [`Custodian::wake`] should be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let peers = self.peers.values().flat_map(|p| {
            let due = p.due.filter(|_| p.flights.len() < FLIGHTS);
            [due, p.flights.values().map(|f| f.lost_at).min()].into_iter().flatten()
        });
        let ends = self.ends.values().map(|e| {
            let asked = self.acting.then(|| e.asked.map_or(0, |at| at + MARKS_AGAIN));
            asked.into_iter().chain(e.over).min().unwrap_or(Micros::MAX)
        });
        let turns = !self.looks.is_empty() || (!self.ready.is_empty() && self.acting);
        let forwards = self.forwards.values().copied().min();
        let renew = (!self.left).then_some(self.renew);
        let known = self.voter.as_ref().is_some_and(Voter::is_empty).then_some(self.known_again);
        let most = [renew, known, Some(self.sweep), forwards, turns.then_some(self.turn)];
        peers.chain(ends).chain(most.into_iter().flatten()).min()
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros) {
        self.run(now);
    }

    fn run(&mut self, now: Micros) {
        self.now = now;
        // What was asked of the voters long before a pause says nothing of who holds what since then.
        let holds = now < self.tenure.until;
        if holds {
            self.tenure.held_at = now;
        }
        let alone = now > self.tenure.held_at + ENDS_ALONE;
        if !holds && (self.ended || alone) && !self.left {
            self.next_term(now);
        }
        if self.renew <= now && !self.left {
            let settled = self.may_act(now);
            self.renew = now + self.terms.lease / if settled { 3 } else { 8 };
            self.ask(now);
        }
        let acting = self.may_act(now);
        if acting && !self.acting {
            self.looks.extend(self.waiting.iter().cloned());
        }
        self.acting = acting;
        self.ends_due(now);
        self.ask_marks(now);
        self.ask_known(now);
        if self.sweep <= now {
            self.sweep = now + SWEEP;
            self.swept(now);
        }
        self.forward(now);
        if self.turn <= now && !(self.looks.is_empty() && self.ready.is_empty()) {
            self.turn = now + TURN;
            for _ in 0..LOOKS {
                let Some(key) = self.looks.pop_first() else { break };
                self.look(now, &key);
            }
            for _ in 0..if acting { ADOPTS } else { 0 } {
                let Some((_, key)) = self.ready.pop_first() else { break };
                self.adopt(now, &key);
            }
        }
        let due: Vec<Actor> = self
            .peers
            .iter()
            .filter(|(_, p)| {
                p.due.is_some_and(|due| due <= now) || p.flights.values().any(|f| f.lost_at <= now)
            })
            .map(|(a, _)| a.clone())
            .collect();
        for actor in due {
            self.lost_flights(now, &actor);
            self.flush(now, &actor);
        }
        if self.leaving && !self.left && self.entries.values().all(|e| e.held().is_none()) {
            self.leave(now);
        }
    }

    /// Nothing is held any more: whoever counts on this one as a guardian hears that its term is over.
    fn leave(&mut self, now: Micros) {
        self.left = true;
        self.next_term(now);
    }

    fn forward(&mut self, now: Micros) {
        let due: Vec<StatementKey> =
            self.forwards.iter().filter(|(_, at)| **at <= now).map(|(k, _)| k.clone()).take(LOOKS).collect();
        for key in due {
            self.forwards.insert(key.clone(), now + 2 * FORWARD);
            let Some(entry) = self.entries.get(&key) else { continue };
            let Some(first) = entry.links.iter().find(|l| !l.gone) else { continue };
            let actor = first.actor.clone();
            if !self.lost(now, &actor.life) {
                if let Some(peer) = self.peer(&actor) {
                    peer.records.insert(key);
                    peer.due = Some(peer.due.unwrap_or(now));
                }
            }
        }
    }

    fn swept(&mut self, now: Micros) {
        while let Some((at, key)) = self.expiry.first().cloned().filter(|e| e.0 <= now) {
            self.expiry.remove(&(at, key.clone()));
            self.forget(&key);
        }
        self.declined.retain(|_, until| now < *until);
        self.wanted.retain(|_, until| now < *until);
        // One may have become a guardian again that membership has said nothing new of: it tells its next term.
        let lacking = self.entries.iter().filter(|(_, e)| self.lacks(now, e)).map(|(k, _)| k.clone());
        let lacking: Vec<StatementKey> = lacking.collect();
        self.looks.extend(lacking);
        self.missed(now);
        // One that was ended and lives has said so, but that may have been lost.
        let silent = |a: &&Actor| self.peers.get(a).is_none_or(|p| p.heard + SILENT <= now);
        let mut silent: BTreeSet<String> =
            self.refs.keys().filter(silent).map(|a| a.life.name.clone()).collect();
        // One that lives, and was ended by others, is a guardian again once its next term is known.
        let ended = self.candidates.iter().filter(|c| self.surely_over(&c.2, 0));
        silent.extend(ended.map(|c| c.2.name.clone()));
        silent.iter().for_each(|name| self.say(name, &Said::Which));
        let (refs, lives, wanted) = (&self.refs, &self.lives, &self.wanted);
        let known = |life: &Life| {
            lives.contains_key(life) || refs.keys().chain(wanted.keys()).any(|a| a.life == *life)
        };
        self.unlisted.retain(|life, _| known(life));
        self.other.retain(|life| lives.contains_key(life));
        self.peers.retain(|a, p| known(&a.life) || now < p.heard + FORGOTTEN);
        if self.over.len() > PEERS {
            self.over.retain(|life, _| known(life));
        }
    }

    /// Sends what is due to one, in the order in which it is numbered.
    fn flush(&mut self, now: Micros, actor: &Actor) {
        while let Some(peer) = self.peers.get_mut(actor) {
            let due = peer.due.is_some_and(|due| due <= now);
            if !due || peer.flights.len() >= FLIGHTS {
                return;
            }
            let (mut records, mut items, mut octets) = (Vec::new(), Vec::new(), 0);
            while items.len() < ITEMS && octets < SENDING {
                let Some(key) = peer.records.pop_first() else { break };
                let Some(entry) = self.entries.get_mut(&key) else { continue };
                let Some(i) = entry.links.iter().position(|l| l.actor == *actor && !l.gone) else { continue };
                let version = entry.record.version;
                let all = self.plant == Plant::ChainNotAwaited;
                let whole = match entry.held() {
                    Some(h) if h.guards[i].sent >= version || !(all || entry.tellable(h, i)) => continue,
                    Some(h) => !h.guards[i].body,
                    None => true,
                };
                let item = entry.item(now, whole);
                octets += item.record.body.len() + 128 * entry.links.len();
                if let Some(held) = entry.held_mut() {
                    (held.guards[i].sent, held.guards[i].told) = (version, true);
                    held.offered |= held.giving;
                }
                items.push(item);
                records.push((key, version));
            }
            let mut ends = Vec::new();
            while ends.len() < ITEMS {
                let Some(key) = peer.ends.pop_first() else { break };
                ends.push(key);
            }
            if peer.records.is_empty() && peer.ends.is_empty() {
                peer.due = None;
            }
            if items.is_empty() && ends.is_empty() {
                continue;
            }
            // Numbers grow with the clock: they go on where they were even if this peer was forgotten in between.
            peer.numbers.1 = now.max(peer.numbers.1 + 1);
            let number = peer.numbers.1;
            let lost_at = now + (ANSWERED << peer.lost) + octets as u64 / 10;
            peer.flights.insert(number, Flight { lost_at, records, ends: ends.clone() });
            let to = (actor.life.life, actor.term);
            let said = Said::Batch { to, number, records: items, ends };
            let bytes = said.write(self.me.life.life, self.me.term);
            self.effects.push_back(Effect::Send(actor.life.name.clone(), bytes));
        }
    }
}
