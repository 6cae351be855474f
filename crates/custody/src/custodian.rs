//! One gateway's part of custody: its tenure, its vote, the statements it holds and the records it keeps for others.

mod entry;
mod fencing;
mod leases;
mod membership;
mod messages;
mod receiving;
mod retention;
mod selection;
mod statements;
mod status;
mod takeover;
mod transmission;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use self::entry::{Entry, Past, Peer};
use crate::tenure::{EndAsk, Spans, Tenure, Voter, ENDS_ALONE};
use crate::wire::{Actor, Said, Spoilt, DATAGRAM};
use crate::{Ending, Life, Micros, Record, StatementKey};

const MS: Micros = 1_000;
/// Progress of one statement is told no more often.
const COALESCED: Micros = 20 * MS;
/// Sendings to one guardian that are not answered yet.
const FLIGHTS: usize = 32;
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
/// What is kept for others leaves so long after its deadline: a late poll gets a clear word until then.
const LINGER: Micros = 30_000 * MS;
/// For so long after its tenure has last held, a process that was ended gives back what nobody is known to have; and one that has
/// forgotten ended statements of the last twice as long takes nothing of that, as it may have been among them.
const BACK: Micros = 60_000 * MS;
/// Processes that are known at once.
const PEERS: usize = 4_096;

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
}
