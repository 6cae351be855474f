//! Whole fleets under a virtual clock, with a model of gateways, engines and clients around each custodian.
//! Datagrams and sendings get lost, late, twice and out of order; clocks drift by all that is allowed;
//! processes are killed, stand still, come back, leave; links are cut one way and both; membership is late
//! and sometimes wrong.
//!
//! Checked at each step: no two processes may act for one statement at the same true time; what is unsafe to
//! repeat is written to an engine once; one ending is told. After the faults: whoever still has a statement
//! in hand brings it to an end by its deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::{
    Effect, Ending, Incarnation, InjectedFault, Member, MemberState, Micros, Out, Permission, Record, Repeat,
    Settings, StatementKey, TakeoverNode, Whereabouts,
};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
/// Attempts of one statement.
const ATTEMPTS: u32 = 4;

/// What one history is drawn from.
#[derive(Debug, Clone)]
pub struct Case {
    /// Gateways; the first ones vote.
    pub gateways: usize,
    /// How many of them vote.
    pub voters: usize,
    /// Sites that they are spread over.
    pub sites: usize,
    /// Length of a lease.
    pub lease: Micros,
    /// Parts of a million by which clocks run too fast and too slow, in turn.
    pub drift: u64,
    /// Statements, taken within the first three quarters of `span`.
    pub statements: usize,
    /// Faults, within `span`.
    pub faults: usize,
    /// How long faults last.
    pub span: Micros,
    /// Datagrams of a thousand that get lost, at most.
    pub loss: u64,
    /// Guardians of a statement.
    pub copies: usize,
    /// Records kept for others, at most.
    pub most: usize,
    /// Octets of a statement.
    pub body: usize,
    /// Statements of a hundred that are unsafe to repeat.
    pub unsafe_ones: u64,
    /// A planted fault.
    pub plant: InjectedFault,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            gateways: 6,
            voters: 3,
            sites: 2,
            lease: SECOND,
            drift: 10_000,
            statements: 16,
            faults: 8,
            span: 8 * SECOND,
            loss: 100,
            copies: 2,
            most: 1_000,
            body: 300,
            unsafe_ones: 50,
            plant: InjectedFault::None,
        }
    }
}

impl Case {
    /// A case whose shape is drawn too: small and larger fleets, one to three guardians, guardians without
    /// room, calm and bad networks.
    pub fn drawn(seed: u64) -> Case {
        let mut dice = seed ^ 0x5eed;
        let mut of = |all: &[u64]| all[(draw(&mut dice) % all.len() as u64) as usize];
        Case {
            gateways: of(&[3, 5, 6, 9, 12]) as usize,
            voters: of(&[3, 3, 5]) as usize,
            sites: of(&[1, 2, 3]) as usize,
            lease: of(&[500, 1_000, 2_000]) * MS,
            drift: of(&[200, 10_000, 50_000]),
            statements: of(&[8, 16, 32]) as usize,
            faults: of(&[2, 6, 12]) as usize,
            loss: of(&[0, 50, 250]),
            copies: of(&[1, 2, 2, 3]) as usize,
            most: of(&[2, 1_000, 1_000]) as usize,
            body: of(&[0, 300, 3_000]) as usize,
            ..Case::default()
        }
        .fitting()
    }

    fn fitting(mut self) -> Case {
        self.voters = self.voters.min(self.gateways);
        self
    }
}

/// What happened in a history.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Statements taken, ended, and lost with all that had them.
    pub statements: [u64; 3],
    /// Attempts started, statements adopted, dropped, unsafe ones whose intent had to wait.
    pub done: [u64; 4],
    /// Kills, stops, cuts, wrong beliefs, planned ends.
    pub faults: [u64; 5],
    /// Datagrams and their octets, sendings and their octets.
    pub sent: [u64; 4],
    /// From a holder's fall to the adoption, each.
    pub adopted_after: Vec<Micros>,
    /// From an unsafe intent to its word, each.
    pub intent_after: Vec<Micros>,
}

impl Counts {
    /// Adds another history's.
    pub fn add(&mut self, other: Counts) {
        let add = |a: &mut [u64], b: &[u64]| a.iter_mut().zip(b).for_each(|(a, b)| *a += b);
        add(&mut self.statements, &other.statements);
        add(&mut self.done, &other.done);
        add(&mut self.faults, &other.faults);
        add(&mut self.sent, &other.sent);
        self.adopted_after.extend(other.adopted_after);
        self.intent_after.extend(other.intent_after);
    }
}

/// The next number of a sequence.
fn draw(dice: &mut u64) -> u64 {
    *dice = dice.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *dice;
    z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Comes(String, Vec<u8>),
    Unsent(String),
    Wake,
    Kept(u64),
    /// The gateway goes on with a statement: its process, and the step that this was meant for.
    Step(u64, StatementKey, u32),
    /// An engine has taken an attempt, or answers it.
    Engine(u64, StatementKey, u32, bool),
    /// Another's state as membership sees it; wrong if it says so.
    View(usize, bool),
    Poll(StatementKey),
    Take,
    Fault,
    Roll,
    Still(Micros),
    /// All cuts are mended.
    Mend,
    Start,
    Heal,
    Leave,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// To be started.
    Open,
    /// The intent waits.
    Waits(Micros),
    /// An attempt is out.
    Out,
    /// An ending waits.
    Ends(Ending),
    /// There is an end for its client.
    Over(Option<Ending>),
}

#[derive(Debug, Clone)]
struct Work {
    stage: Stage,
    attempts: u32,
    deadline: Micros,
    repeat: Repeat,
    /// Counts what was planned: an older step is void.
    step: u32,
}

struct Node {
    custodian: Option<TakeoverNode>,
    life: u64,
    disk: Option<Vec<u8>>,
    writing: Option<Vec<u8>>,
    rate: i64,
    still: Micros,
    woken: Micros,
    /// The lives seen of each other, the newest last.
    view: Vec<Vec<(u64, MemberState)>>,
    works: BTreeMap<StatementKey, Work>,
    acting: bool,
    taken: u64,
    leaving: bool,
    left: bool,
    fell: Micros,
}

struct Statement {
    repeat: Repeat,
    deadline: Micros,
    /// Attempts written, and when each is finished, if well.
    attempts: Vec<(u32, Micros, bool)>,
    told: Option<Option<Ending>>,
    got: bool,
    asks: usize,
    /// Holder and guardians, as its token names them.
    token: Vec<usize>,
    /// Somebody had it after all faults had ended and been found out.
    living: bool,
    holder: usize,
}

/// A fleet.
pub struct Fleet {
    case: Case,
    now: Micros,
    nodes: Vec<Node>,
    cut: Vec<Vec<bool>>,
    loss: u64,
    events: BinaryHeap<Reverse<(Micros, u64, usize, What)>>,
    order: u64,
    dice: u64,
    statements: BTreeMap<StatementKey, Statement>,
    holders: BTreeMap<StatementKey, BTreeSet<usize>>,
    streams: BTreeMap<(usize, usize), Micros>,
    counts: Counts,
    wrong: Option<String>,
    healed: bool,
    /// A voter has lost its disk: no other one does before that is over.
    disks: usize,
}

fn name(n: usize) -> String {
    format!("g{n}")
}

fn number(name: &str) -> usize {
    name[1..].parse().unwrap_or(0)
}

/// Plays one history.
///
/// # Errors
/// What is wrong in it.
pub fn play(case: &Case, seed: u64) -> Result<Counts, String> {
    let mut fleet = Fleet::new(case.clone(), seed);
    let span = case.span;
    fleet.load(case.statements, span / 8, span * 3 / 4);
    for _ in 0..case.faults {
        let at = fleet.within(span / 8, span);
        let n = fleet.below(case.gateways);
        fleet.at(at, n, What::Fault);
    }
    let start = fleet.now;
    fleet.at(start + span, 0, What::Heal);
    fleet.run(span + 8 * case.lease);
    fleet.settled();
    fleet.run(30 * SECOND);
    fleet.ended()
}

impl Fleet {
    /// Gateways that have just started for the first time.
    pub fn new(case: Case, seed: u64) -> Fleet {
        let count = case.gateways;
        let mut fleet = Fleet {
            now: 1_000 * SECOND,
            nodes: Vec::new(),
            cut: vec![vec![false; count]; count],
            loss: 0,
            events: BinaryHeap::new(),
            order: 0,
            dice: seed,
            statements: BTreeMap::new(),
            holders: BTreeMap::new(),
            streams: BTreeMap::new(),
            counts: Counts::default(),
            wrong: None,
            healed: false,
            disks: 0,
            case,
        };
        fleet.loss = draw(&mut fleet.dice) % (fleet.case.loss + 1);
        for n in 0..count {
            let drift = fleet.case.drift as i64;
            let rate = if (n as u64 + seed) % 2 == 0 { drift } else { -drift };
            fleet.nodes.push(Node {
                custodian: None,
                life: 0,
                disk: None,
                writing: None,
                rate,
                still: 0,
                woken: Micros::MAX,
                view: vec![Vec::new(); count],
                works: BTreeMap::new(),
                acting: false,
                taken: 0,
                leaving: false,
                left: false,
                fell: 0,
            });
        }
        (0..count).for_each(|n| fleet.start(n));
        for n in 0..count {
            (0..count).filter(|&o| o != n).for_each(|o| fleet.see(n, o, false));
            fleet.members(n);
        }
        fleet
    }

    /// Statements come, spread over a time from now and over all gateways.
    pub fn load(&mut self, count: usize, from: Micros, to: Micros) {
        for _ in 0..count {
            let at = self.within(from, to);
            let n = self.below(self.nodes.len());
            self.at(at, n, What::Take);
        }
    }

    /// A process is killed.
    pub fn fell(&mut self, n: usize) {
        self.kill(n);
    }

    /// Every gateway in turn hands over, leaves and comes back, one each `every`.
    pub fn roll(&mut self, every: Micros) {
        for n in 0..self.nodes.len() {
            let at = self.now + every * n as u64;
            self.at(at, n, What::Roll);
        }
    }

    /// Of what is held, how much at each gateway.
    pub fn held(&self) -> Vec<usize> {
        self.nodes.iter().map(|n| n.works.len()).collect()
    }

    fn hand_over(&mut self, n: usize) {
        self.counts.faults[4] += 1;
        let clock = self.clock(n);
        if let Some(custodian) = &mut self.nodes[n].custodian {
            custodian.start_hand_over(clock);
            self.nodes[n].leaving = true;
        }
        self.carry_out(n);
    }

    fn below(&mut self, n: usize) -> usize {
        (draw(&mut self.dice) % n.max(1) as u64) as usize
    }

    fn within(&mut self, from: Micros, to: Micros) -> Micros {
        self.now + from + draw(&mut self.dice) % (to - from).max(1)
    }

    /// The true time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// What was counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    fn clock(&self, n: usize) -> Micros {
        let hours = 3_600 * SECOND * (n as u64 * 7 % 5);
        hours + (self.now as i128 * (1_000_000 + self.nodes[n].rate as i128) / 1_000_000) as Micros
    }

    fn at(&mut self, when: Micros, n: usize, what: What) {
        self.order += 1;
        self.events.push(Reverse((when.max(self.now), self.order, n, what)));
    }

    fn life(&self, n: usize) -> Incarnation {
        Incarnation { name: name(n), life: self.nodes[n].life }
    }

    fn fail(&mut self, why: String) {
        self.wrong.get_or_insert(format!("at {} ms: {why}", (self.now - 1_000 * SECOND) / MS));
    }

    fn start(&mut self, n: usize) {
        self.nodes[n].life = draw(&mut self.dice);
        let terms = Settings {
            incarnation: self.life(n),
            site: format!("s{}", n % self.case.sites.max(1)),
            voters: (0..self.case.voters).map(name).collect(),
            lease: self.case.lease,
            drift_ppm: self.case.drift,
            action_margin: 0,
            replicas: self.case.copies,
            max_replica_records: self.case.most,
            max_replica_bytes: 64 << 20,
        };
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        (node.taken, node.leaving, node.left, node.acting, node.still) = (0, false, false, false, 0);
        (node.writing, node.woken) = (None, Micros::MAX);
        match TakeoverNode::with_injected_fault(terms, node.disk.as_deref(), now, self.case.plant) {
            Ok(custodian) => node.custodian = Some(custodian),
            Err(why) => return self.fail(format!("g{n} cannot start: {why}")),
        }
        self.carry_out(n);
    }

    fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        if node.custodian.take().is_none() {
            return;
        }
        if node.fell < node.still || node.still <= self.now {
            node.fell = self.now;
        }
        node.still = 0;
        let works = std::mem::take(&mut node.works);
        works.keys().for_each(|key| self.unhold(key, n));
        self.counts.faults[0] += 1;
        self.seen_by_all(n);
    }

    fn hold(&mut self, key: &StatementKey, n: usize) {
        self.holders.entry(key.clone()).or_default().insert(n);
    }

    fn unhold(&mut self, key: &StatementKey, n: usize) {
        if let Some(holders) = self.holders.get_mut(key) {
            holders.remove(&n);
        }
    }

    /// Whoever sees a gateway finds out what became of it, late.
    fn seen_by_all(&mut self, n: usize) {
        for o in (0..self.nodes.len()).filter(|&o| o != n) {
            for late in [300 * MS, 1_200 * MS, 3 * SECOND] {
                let at = self.within(late, 2 * late);
                self.at(at, o, What::View(n, false));
                let at = self.within(late, 2 * late);
                self.at(at, n, What::View(o, false));
            }
        }
    }

    fn see(&mut self, n: usize, of: usize, lie: bool) {
        let (now, cut) = (self.now, self.cut[n][of] && self.cut[of][n]);
        let other = &self.nodes[of];
        let (life, left) = (other.life, other.left);
        let dead = other.custodian.is_none() || other.still > now || cut || lie;
        let state = if left {
            MemberState::Left
        } else if dead {
            MemberState::Dead
        } else {
            MemberState::Alive
        };
        let seen = &mut self.nodes[n].view[of];
        if seen.last().is_none_or(|s| s.0 != life) && state != MemberState::Dead {
            seen.iter_mut().for_each(|s| s.1 = MemberState::Dead);
            seen.push((life, state));
            if seen.len() > 3 {
                seen.remove(0);
            }
        } else if let Some(last) = seen.last_mut() {
            last.1 = if last.0 == life { state } else { MemberState::Dead };
        }
    }

    fn members(&mut self, n: usize) {
        let mut members = Vec::new();
        for (of, seen) in self.nodes[n].view.iter().enumerate() {
            let site = format!("s{}", of % self.case.sites.max(1));
            members.extend(seen.iter().map(|&(life, state)| Member {
                incarnation: Incarnation { name: name(of), life },
                site: site.clone(),
                state,
            }));
        }
        let now = self.clock(n);
        if let Some(custodian) = &mut self.nodes[n].custodian {
            custodian.update_members(now, members);
        }
        self.carry_out(n);
    }

    fn carry_out(&mut self, n: usize) {
        while let Some(effect) = self.nodes[n].custodian.as_mut().and_then(TakeoverNode::next_effect) {
            match effect {
                Effect::StoreMarks(bytes) => {
                    // A process that is killed before that has not kept it.
                    let late = self.within(MS, 10 * MS);
                    let life = self.nodes[n].life;
                    self.at(late, n, What::Kept(life));
                    self.nodes[n].writing = Some(bytes);
                }
                Effect::SendDatagram(to, bytes) => {
                    if bytes.len() > crate::wire::MAX_DATAGRAM_BYTES {
                        self.fail(format!("a datagram of {} octets", bytes.len()));
                    }
                    self.counts.sent[0] += 1;
                    self.counts.sent[1] += bytes.len() as u64;
                    self.say(n, number(&to), bytes);
                }
                Effect::SendRecords(to, bytes) => {
                    self.counts.sent[2] += 1;
                    self.counts.sent[3] += bytes.len() as u64;
                    self.send(n, number(&to), bytes);
                }
                Effect::StartAttempt(key, attempts) => self.go(n, &key, attempts),
                Effect::ReportEnding(key) => {
                    if let Some(work) = self.nodes[n].works.get_mut(&key) {
                        if let Stage::Ends(ending) = work.stage.clone() {
                            work.stage = Stage::Over(Some(ending));
                        }
                    }
                }
                Effect::TakenOver(record) => self.adopted(n, &record),
                Effect::Relinquished(key) => {
                    self.counts.done[2] += 1;
                    self.nodes[n].works.remove(&key);
                    self.unhold(&key, n);
                }
                Effect::Unreplicated(_) | Effect::Log(_) => {}
            }
        }
        let now = self.clock(n);
        let Some(custodian) = &self.nodes[n].custodian else { return };
        let due = custodian.next_wake().unwrap_or(Micros::MAX);
        let (acting, gone) = (custodian.may_act(now), custodian.hand_over_complete());
        if due < Micros::MAX {
            // By the true clock, and a little late rather than early.
            let span = due.saturating_sub(now);
            let at = self.now + span + span / 8 * self.case.drift / 100_000 + MS / 4;
            if at < self.nodes[n].woken {
                self.nodes[n].woken = at;
                self.at(at, n, What::Wake);
            }
        }
        if self.nodes[n].leaving && gone && !self.nodes[n].left {
            self.nodes[n].left = true;
            self.seen_by_all(n);
            let at = self.within(100 * MS, 500 * MS);
            self.at(at, n, What::Leave);
        }
        if acting && !self.nodes[n].acting {
            let keys: Vec<StatementKey> = self.nodes[n].works.keys().cloned().collect();
            keys.iter().for_each(|key| self.alone(key, n));
        }
        self.nodes[n].acting = acting;
    }

    /// Checks that nobody but this one may act for a statement now, if this one may.
    fn alone(&mut self, key: &StatementKey, n: usize) {
        let may = |o: usize| self.nodes[o].custodian.as_ref().is_some_and(|c| c.may_act(self.clock(o)));
        let other =
            self.holders.get(key).into_iter().flatten().copied().find(|&o| o != n && may(o) && may(n));
        if let Some(other) = other {
            self.fail(format!("g{n} and g{other} may act for {key:?}"));
        }
    }

    fn say(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if self.cut[from][to] || draw(&mut self.dice) % 1000 < self.loss {
            return;
        }
        let copies = 1 + usize::from(self.loss > 0 && draw(&mut self.dice) % 20 == 0);
        for _ in 0..copies {
            // Some come very late.
            let most = if self.loss > 0 && draw(&mut self.dice) % 30 == 0 { 1_500 } else { 15 };
            let at = self.within(MS, most * MS);
            self.at(at, to, What::Comes(name(from), bytes.clone()));
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let broken = self.cut[from][to] || self.nodes[to].custodian.is_none();
        if broken || draw(&mut self.dice) % 1000 < self.loss / 4 {
            // Some learn that it did not come there, some hear nothing.
            if draw(&mut self.dice) % 2 == 0 {
                let at = self.within(MS, 200 * MS);
                self.at(at, from, What::Unsent(name(to)));
            }
            return;
        }
        let mut at = self.within(MS, 15 * MS);
        if self.loss == 0 || draw(&mut self.dice) % 20 > 0 {
            let last = self.streams.entry((from, to)).or_default();
            *last = at.max(*last + 1);
            at = *last;
        } else {
            at += draw(&mut self.dice) % (2 * SECOND);
        }
        if self.loss > 0 && draw(&mut self.dice) % 30 == 0 {
            let again = self.within(MS, 2 * SECOND);
            self.at(again, to, What::Comes(name(from), bytes.clone()));
        }
        self.at(at, to, What::Comes(name(from), bytes));
    }

    // --- The gateway around it ----------------------------------------------------------------------------------------

    fn step_in(&mut self, n: usize, key: &StatementKey, late: Micros) {
        let life = self.nodes[n].life;
        if let Some(work) = self.nodes[n].works.get_mut(key) {
            work.step += 1;
            let step = work.step;
            let at = self.now + late;
            self.at(at, n, What::Step(life, key.clone(), step));
        }
    }

    fn take(&mut self, n: usize) {
        if self.nodes[n].custodian.is_none() || self.nodes[n].leaving {
            return;
        }
        let wait = self.within(3 * SECOND, 25 * SECOND);
        let unsafe_one = draw(&mut self.dice) % 100 < self.case.unsafe_ones;
        let repeat = if unsafe_one { Repeat::Unsafe } else { Repeat::Harmless };
        self.nodes[n].taken += 1;
        let key = StatementKey { taken_by: self.life(n), number: self.nodes[n].taken };
        let record = Record {
            key: key.clone(),
            version: 0,
            body: vec![7; self.case.body],
            repeat,
            left: wait - self.now,
            attempts: 0,
            out: None,
            passed: 0,
            ending: None,
        };
        let now = self.clock(n);
        let mut token = vec![n];
        if let Some(custodian) = &mut self.nodes[n].custodian {
            token.extend(custodian.add_statement(now, record).iter().map(|life| number(&life.name)));
        }
        let work = Work { stage: Stage::Open, attempts: 0, deadline: wait, repeat, step: 0 };
        self.nodes[n].works.insert(key.clone(), work);
        self.hold(&key, n);
        let statement = Statement {
            repeat,
            deadline: wait,
            attempts: Vec::new(),
            told: None,
            got: false,
            asks: n,
            token,
            living: false,
            holder: n,
        };
        self.statements.insert(key.clone(), statement);
        self.counts.statements[0] += 1;
        let late = draw(&mut self.dice) % (600 * MS);
        self.step_in(n, &key, late);
        let at = self.within(20 * MS, 300 * MS);
        self.at(at, 0, What::Poll(key));
        self.carry_out(n);
    }

    fn adopted(&mut self, n: usize, record: &Record) {
        let key = record.key.clone();
        self.counts.done[1] += 1;
        let before = self.statements.get_mut(&key).map(|s| std::mem::replace(&mut s.holder, n));
        if let Some(before) = before.filter(|&b| self.nodes[b].fell > 0 && self.nodes[b].custodian.is_none())
        {
            let after = self.now - self.nodes[before].fell;
            self.counts.adopted_after.push(after);
        }
        let stage = match (&record.ending, &record.out) {
            (Some(ending), _) => Stage::Over(Some(ending.clone())),
            (None, Some(_)) => Stage::Out,
            (None, None) => Stage::Open,
        };
        let deadline = self.now + record.left;
        let work = Work {
            stage: stage.clone(),
            attempts: record.attempts,
            deadline,
            repeat: record.repeat,
            step: 0,
        };
        self.nodes[n].works.insert(key.clone(), work);
        self.hold(&key, n);
        self.alone(&key, n);
        match (stage, &record.out) {
            (Stage::Out, Some(out)) if out.next.is_some() => {
                // It goes on polling there.
                let life = self.nodes[n].life;
                let done = self
                    .statements
                    .get(&key)
                    .and_then(|s| s.attempts.iter().find(|a| a.0 == out.number).map(|a| a.1));
                match done {
                    Some(done) => {
                        let at = done.max(self.now) + 10 * MS;
                        self.at(at, n, What::Engine(life, key.clone(), out.number, true));
                        self.step_in(n, &key, deadline.saturating_sub(self.now + 300 * MS));
                    }
                    None => self.fail(format!("{key:?}: an attempt that was never written has a next page")),
                }
            }
            (Stage::Out, _) if record.repeat == Repeat::Unsafe => {
                self.decide(n, &key, Ending::Failed(format!("lost, says g{n}")));
            }
            (Stage::Out, _) => {
                if let Some(work) = self.nodes[n].works.get_mut(&key) {
                    work.stage = Stage::Open;
                }
                self.step_in(n, &key, 10 * MS);
            }
            _ => self.step_in(n, &key, 10 * MS),
        }
    }

    fn step(&mut self, n: usize, key: &StatementKey) {
        let now = self.now;
        let Some(work) = self.nodes[n].works.get(key).cloned() else { return };
        let late = now + 400 * MS >= work.deadline;
        match work.stage {
            Stage::Open | Stage::Out | Stage::Waits(_) if late => {
                self.decide(n, key, Ending::Failed(format!("too late, says g{n}")));
            }
            Stage::Open if work.attempts >= ATTEMPTS => {
                self.decide(n, key, Ending::Failed(format!("in vain, says g{n}")));
            }
            Stage::Open => {
                let attempts = work.attempts + 1;
                let out = Out {
                    number: work.attempts,
                    engine: "e".into(),
                    next: None,
                    page: 0,
                    sent: 0,
                    within: 5 * SECOND,
                };
                let clock = self.clock(n);
                let Some(custodian) = &mut self.nodes[n].custodian else { return };
                match custodian.request_attempt(clock, key, attempts, out) {
                    Permission::Granted => self.go(n, key, attempts),
                    Permission::Pending => {
                        self.counts.done[3] += 1;
                        if let Some(work) = self.nodes[n].works.get_mut(key) {
                            work.stage = Stage::Waits(now);
                        }
                        self.step_in(n, key, (work.deadline - 300 * MS).saturating_sub(now));
                    }
                    Permission::Denied => self.step_in(n, key, 100 * MS),
                }
            }
            Stage::Ends(ending) => self.decide(n, key, ending),
            Stage::Waits(_) | Stage::Out | Stage::Over(_) => {}
        }
        self.carry_out(n);
    }

    fn decide(&mut self, n: usize, key: &StatementKey, ending: Ending) {
        let clock = self.clock(n);
        let Some(custodian) = &mut self.nodes[n].custodian else { return };
        let leave = custodian.request_ending(clock, key, ending.clone());
        let Some(work) = self.nodes[n].works.get_mut(key) else { return };
        work.stage = match leave {
            Permission::Granted => Stage::Over(Some(ending)),
            Permission::Pending | Permission::Denied => Stage::Ends(ending),
        };
        if leave == Permission::Denied {
            self.step_in(n, key, 200 * MS);
        }
    }

    /// An attempt may be written to its engine.
    fn go(&mut self, n: usize, key: &StatementKey, attempts: u32) {
        let (now, clock, life) = (self.now, self.clock(n), self.nodes[n].life);
        let may = self.nodes[n].custodian.as_ref().is_some_and(|c| c.may_act(clock));
        let Some(work) = self.nodes[n].works.get_mut(key) else { return };
        if let Stage::Waits(since) = work.stage {
            self.counts.intent_after.push(now - since);
        }
        if !matches!(work.stage, Stage::Open | Stage::Waits(_)) {
            return;
        }
        if !may {
            work.stage = Stage::Open;
            return self.step_in(n, key, 100 * MS);
        }
        work.stage = Stage::Out;
        work.attempts = attempts;
        let deadline = work.deadline;
        self.alone(key, n);
        self.counts.done[0] += 1;
        let attempt = attempts - 1;
        let done = self.within(20 * MS, 2 * SECOND);
        let well = draw(&mut self.dice) % 8 > 0;
        let Some(statement) = self.statements.get_mut(key) else { return };
        let twice = statement.repeat == Repeat::Unsafe && !statement.attempts.is_empty();
        let after = statement.got.then(|| statement.told.clone());
        statement.attempts.push((attempt, done, well));
        if twice {
            self.fail(format!("g{n} writes {key:?} a second time"));
        }
        if after.is_some() && twice {
            self.fail(format!("g{n} writes {key:?} after its end"));
        }
        let taken = self.within(5 * MS, 20 * MS);
        self.at(taken, n, What::Engine(life, key.clone(), attempt, false));
        self.at(done, n, What::Engine(life, key.clone(), attempt, true));
        self.step_in(n, key, (deadline - 300 * MS).saturating_sub(now));
    }

    fn engine(&mut self, n: usize, key: &StatementKey, attempt: u32, whole: bool) {
        let (clock, now) = (self.clock(n), self.now);
        let Node { works, custodian, .. } = &mut self.nodes[n];
        let (Some(work), Some(custodian)) = (works.get_mut(key), custodian) else { return };
        if work.stage != Stage::Out || work.attempts != attempt + 1 {
            return;
        }
        let next = Some(format!("next of {attempt}"));
        let out = Out { number: attempt, engine: "e".into(), next, page: 1, sent: 0, within: 5 * SECOND };
        custodian.record_progress(clock, key, Some(out), 0);
        if whole {
            let well =
                self.statements.get(key).and_then(|s| s.attempts.iter().rev().find(|a| a.0 == attempt));
            match well.map(|a| a.2 && a.1 <= now) {
                Some(true) => work.stage = Stage::Over(None),
                _ if work.repeat == Repeat::Unsafe => {
                    self.decide(n, key, Ending::Failed(format!("broken, says g{n}")))
                }
                _ => {
                    work.stage = Stage::Open;
                    self.step_in(n, key, 10 * MS);
                }
            }
        }
        self.carry_out(n);
    }

    /// A client asks for its end.
    fn poll(&mut self, key: &StatementKey) {
        let Some(statement) = self.statements.get(key) else { return };
        if statement.got || self.now > statement.deadline + 10 * SECOND {
            return;
        }
        let n = statement.asks;
        let token = statement.token.clone();
        let (mut next, mut late) = (n, 250 * MS);
        // Whoever knows nothing of it, or does not answer, is left for one that the token names, or for any.
        let other = match self.below(4) {
            0 => self.below(self.nodes.len()),
            _ => token[self.below(token.len())],
        };
        let up = self.nodes[n].custodian.is_some() && self.nodes[n].still <= self.now;
        if up {
            let clock = self.clock(n);
            let custodian = self.nodes[n].custodian.as_ref();
            let may = custodian.is_some_and(|c| c.may_act(clock));
            match custodian.map(|c| c.locate(key)) {
                Some(Whereabouts::At(life)) => (next, late) = (number(&life.name), 30 * MS),
                // It passes the poll on to whoever lives, as far as it reaches them.
                Some(Whereabouts::Unknown | Whereabouts::Over(_)) => {
                    let has = |o: &usize| {
                        let node = &self.nodes[*o];
                        let reached = !self.cut[n][*o] && !self.cut[*o][n] && node.still <= self.now;
                        let place = node.custodian.as_ref().filter(|_| reached).map(|c| c.locate(key));
                        place == Some(Whereabouts::Here)
                    };
                    next = (0..self.nodes.len()).find(has).unwrap_or(other);
                }
                Some(Whereabouts::Here | Whereabouts::Taking) | None => {}
            }
            if draw(&mut self.dice) % 10 == 0 {
                next = other;
            }
            let over = self.nodes[n].works.get(key).map(|w| w.stage.clone());
            if let (true, Some(Stage::Over(end))) = (may, over) {
                self.tell(n, key, end);
            }
        } else {
            next = other;
        }
        let at = self.now + late;
        if let Some(statement) = self.statements.get_mut(key).filter(|s| !s.got) {
            statement.asks = next;
            self.at(at, 0, What::Poll(key.clone()));
        }
    }

    fn tell(&mut self, n: usize, key: &StatementKey, end: Option<Ending>) {
        self.alone(key, n);
        let lost = draw(&mut self.dice) % 10 == 0;
        let Some(statement) = self.statements.get_mut(key) else { return };
        // What an engine fixed is told by the engine's own pages, and counts once its client has it.
        let before = statement.told.clone();
        // Without an attempt nothing may have run: then only what its client gets counts.
        let recorded = statement.repeat == Repeat::Unsafe || !statement.attempts.is_empty();
        if (end.is_some() && recorded) || !lost {
            statement.told = Some(end.clone());
        }
        statement.got = !lost;
        if let Some(before) = before.filter(|b| *b != end) {
            self.fail(format!("{key:?} had {before:?} and gets {end:?} by g{n}"));
        }
        if !lost {
            self.counts.statements[1] += 1;
            let clock = self.clock(n);
            if let Some(custodian) = &mut self.nodes[n].custodian {
                custodian.finish_statement(clock, key);
            }
            self.nodes[n].works.remove(key);
            self.unhold(key, n);
            self.carry_out(n);
        }
    }

    // --- Faults -------------------------------------------------------------------------------------------------------

    fn fault(&mut self, n: usize) {
        let count = self.nodes.len();
        let span = self.within(200 * MS, 5 * SECOND);
        let kind = draw(&mut self.dice) % 18;
        match kind {
            0..=3 => {
                self.kill(n);
                // With the one that would take over.
                if kind == 0 {
                    let held = self.nodes.iter().flat_map(|o| o.custodian.as_ref());
                    let key = self.statements.iter().find(|(_, s)| s.holder == n && !s.got).map(|(k, _)| k);
                    let guard = key.and_then(|key| held.map(|c| c.replica_list(key)).find(|c| c.len() > 1));
                    if let Some(guard) = guard.map(|c| number(&c[1].name)) {
                        self.kill(guard);
                        self.at(span, guard, What::Start);
                    }
                }
                if kind < 3 {
                    self.at(span, n, What::Start);
                }
            }
            // At once with the beginning of a take-over: the taker dies too.
            4 => {
                self.kill(n);
                for _ in 0..2 {
                    let taker = self.below(count);
                    let at = self.within(800 * MS, 2_500 * MS);
                    self.at(at, taker, What::Still(at + 3 * SECOND));
                }
                self.at(span, n, What::Start);
            }
            5..=7 => self.at(self.now, n, What::Still(span)),
            8 | 9 => {
                self.counts.faults[2] += 1;
                let side: Vec<bool> =
                    (0..count).map(|o| if kind == 8 { o == n } else { o % 2 == n % 2 }).collect();
                let one_way = draw(&mut self.dice) % 3 == 0;
                for a in 0..count {
                    for b in 0..count {
                        if side[a] != side[b] && (!one_way || side[a]) {
                            self.cut[a][b] = true;
                        }
                    }
                }
                (0..count).for_each(|o| self.seen_by_all(o));
                self.at(span, n, What::Mend);
            }
            10 | 11 => {
                self.counts.faults[2] += 1;
                let o = self.below(count);
                self.cut[n][o] = n != o;
                self.at(span, n, What::Mend);
            }
            12 | 13 => {
                self.counts.faults[3] += 1;
                let o = self.below(count);
                let at = self.within(100 * MS, 4 * SECOND);
                if n != o {
                    self.at(self.now, n, What::View(o, true));
                    self.at(at, n, What::View(o, false));
                }
            }
            // Voters blink, and somebody takes a holder for dead at that moment.
            14 => {
                let o = self.below(count);
                if n != o {
                    self.at(self.now, n, What::View(o, true));
                    self.at(span, n, What::View(o, false));
                }
                for v in 0..self.case.voters {
                    self.kill(v);
                    let at = self.within(10 * MS, 60 * MS);
                    self.at(at, v, What::Start);
                }
            }
            // A voter loses its disk, once: more at a time than a quorum has to spare is another matter.
            17 => {
                let voter = n % self.case.voters;
                if self.disks == 0 && self.case.voters > 1 {
                    self.disks += 1;
                    self.kill(voter);
                    self.nodes[voter].disk = None;
                    self.at(self.now, voter, What::Start);
                }
            }
            15 if draw(&mut self.dice) % 8 == 0 => {
                for o in (0..count).filter(|o| o % 10 != n % 10) {
                    self.kill(o);
                    let at = self.within(SECOND, 4 * SECOND);
                    self.at(at, o, What::Start);
                }
            }
            _ => {
                self.hand_over(n);
            }
        }
    }

    fn process(&mut self, when: Micros, n: usize, what: What) {
        let clock = self.clock(n);
        let life = self.nodes[n].life;
        match what {
            What::Comes(from, bytes) => {
                if let Some(custodian) = &mut self.nodes[n].custodian {
                    custodian.handle_message(clock, &from, &bytes);
                }
            }
            What::Unsent(to) => {
                if let Some(custodian) = &mut self.nodes[n].custodian {
                    custodian.handle_send_failure(clock, &to);
                }
            }
            // Another one has been asked for since.
            What::Wake if self.nodes[n].woken != when => return,
            What::Wake => {
                self.nodes[n].woken = Micros::MAX;
                if let Some(custodian) = &mut self.nodes[n].custodian {
                    if custodian.next_wake().is_some_and(|due| due <= clock) {
                        custodian.wake(clock);
                    }
                }
            }
            What::Kept(of) => {
                let Node { custodian, disk, writing, .. } = &mut self.nodes[n];
                if let Some(custodian) = custodian.as_mut().filter(|_| of == life) {
                    *disk = writing.take().or(disk.take());
                    custodian.marks_stored(clock);
                }
            }
            What::Step(of, key, step) => {
                let due = self.nodes[n].works.get(&key).is_some_and(|w| w.step == step);
                if of == life && due {
                    self.step(n, &key);
                }
            }
            What::Engine(of, key, attempt, whole) => {
                if of == life {
                    self.engine(n, &key, attempt, whole);
                }
            }
            What::View(of, lie) => {
                if self.nodes[n].custodian.is_some() {
                    self.see(n, of, lie);
                    self.members(n);
                }
            }
            What::Poll(key) => return self.poll(&key),
            What::Take => self.take(n),
            What::Fault if !self.healed => self.fault(n),
            What::Fault => {}
            What::Roll => self.hand_over(n),
            What::Still(until) => {
                if self.nodes[n].custodian.is_some() && !self.healed {
                    self.counts.faults[1] += 1;
                    self.nodes[n].still = until;
                    self.nodes[n].fell = self.now;
                    self.seen_by_all(n);
                }
            }
            What::Leave => {
                if self.nodes[n].left {
                    self.kill(n);
                    let at = self.within(200 * MS, 2 * SECOND);
                    self.at(at, n, What::Start);
                }
            }
            What::Start => {
                if self.nodes[n].custodian.is_none() {
                    self.start(n);
                    self.members(n);
                    self.seen_by_all(n);
                }
            }
            What::Mend => {
                self.cut.iter_mut().for_each(|row| row.fill(false));
                (0..self.nodes.len()).for_each(|o| self.seen_by_all(o));
            }
            What::Heal => {
                self.healed = true;
                self.cut.iter_mut().for_each(|row| row.fill(false));
                for o in 0..self.nodes.len() {
                    self.nodes[o].still = 0;
                    if self.nodes[o].custodian.is_none() {
                        self.at(self.now, o, What::Start);
                    }
                    self.seen_by_all(o);
                }
            }
        }
        self.carry_out(n);
    }

    /// Lets a span pass.
    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.wrong.is_none() && self.events.peek().is_some_and(|e| e.0 .0 <= until) {
            let Some(Reverse((when, _, n, what))) = self.events.pop() else { break };
            let outside =
                matches!(what, What::Heal | What::Mend | What::Fault | What::Still(_) | What::Poll(_));
            if self.nodes[n].still > when && !outside {
                let still = self.nodes[n].still;
                if what == What::Wake && self.nodes[n].woken == when {
                    self.nodes[n].woken = still;
                }
                self.at(still, n, what);
                continue;
            }
            self.now = self.now.max(when);
            self.process(when, n, what);
        }
        self.now = until;
    }

    /// All faults are over and found out: who has something in hand now has to bring it to its end.
    pub fn settled(&mut self) {
        for (key, statement) in &mut self.statements {
            // What is only offered may be refused: whoever knew more is gone.
            let has = |n: &Node| {
                n.custodian.as_ref().is_some_and(|c| !c.replica_list(key).is_empty() && !c.is_returning(key))
            };
            statement.living = !statement.got && self.nodes.iter().any(has);
        }
    }

    /// What happened, at the end.
    ///
    /// # Errors
    /// What was wrong at any time, or is now.
    pub fn ended(mut self) -> Result<Counts, String> {
        let stuck = self.statements.iter().find(|(_, s)| !s.got && s.living);
        if let Some((key, s)) = stuck {
            let places: Vec<String> = (0..self.nodes.len())
                .map(|n| {
                    let c = self.nodes[n].custodian.as_ref();
                    let work = self.nodes[n].works.get(key).map(|w| w.stage.clone());
                    format!(
                        "\n  g{n} {:?} {work:?} {:?}",
                        c.map(|c| c.locate(key)),
                        c.map(|c| c.describe(key))
                    )
                })
                .collect();
            let why = format!("{key:?} has no end ({:?}, deadline {}): {places:?}", s.repeat, s.deadline);
            self.fail(why);
        }
        self.counts.statements[2] = self.statements.values().filter(|s| !s.got).count() as u64;
        match self.wrong {
            Some(wrong) => Err(wrong),
            None => Ok(self.counts),
        }
    }
}
