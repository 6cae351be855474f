//! Whole gateways' parts under a virtual clock: datagrams that get lost, late, twice and out of order, clocks that drift,
//! gateways that stand still, are killed and come back with what they kept. Checked at each step: whoever acts has each
//! version that another one acts on in full within its range, and no number has two versions.

use std::collections::{BTreeMap, BinaryHeap};

use violetward_agreement::wire::{self, Said};
use violetward_agreement::{Declined, Effect, Kept, Member, MemberTerms, Message, Outcome};

const LEASE: u64 = 2_000_000;
const DRIFT: u64 = 20_000;
const MS: u64 = 1_000;

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
    Wake,
}

struct Gateway {
    member: Option<Member>,
    disk: Vec<u8>,
    /// Parts of a million by which its clock runs too fast.
    rate: i64,
    /// It stands still until then; what comes waits.
    still: u64,
    outcomes: Vec<Outcome>,
}

struct World {
    now: u64,
    voters: usize,
    gateways: Vec<Gateway>,
    events: BinaryHeap<std::cmp::Reverse<(u64, u64, usize, What)>>,
    order: u64,
    dice: u64,
    /// Datagrams of a thousand that get lost.
    loss: u64,
    cut: Vec<Vec<bool>>,
    contents: BTreeMap<u64, Vec<u8>>,
    sent: u64,
}

fn name(n: usize) -> String {
    format!("g{n}")
}

fn number(name: &str) -> usize {
    name[1..].parse().expect("a gateway's name")
}

impl World {
    fn new(count: usize, voters: usize, seed: u64) -> World {
        let mut world = World {
            now: 1_000_000_000,
            voters,
            gateways: Vec::new(),
            events: BinaryHeap::new(),
            order: 0,
            dice: seed,
            loss: 0,
            cut: vec![vec![false; count]; count],
            contents: BTreeMap::new(),
            sent: 0,
        };
        for n in 0..count {
            let disk = wire::keep(&Kept::default(), 7, 0);
            // The extremes, in turn.
            let rate = if n % 2 == 0 { DRIFT as i64 } else { -(DRIFT as i64) };
            world.gateways.push(Gateway { member: None, disk, rate, still: 0, outcomes: vec![] });
            world.start(n);
            world.at(world.now, n, What::Wake);
        }
        world
    }

    fn clock(&self, n: usize) -> u64 {
        (self.now as i128 * (1_000_000 + self.gateways[n].rate as i128) / 1_000_000) as u64
    }

    fn start(&mut self, n: usize) {
        let kept = wire::kept(&self.gateways[n].disk, 7);
        let terms = MemberTerms {
            name: name(n),
            voters: (0..self.voters).map(name).collect(),
            votes: kept.is_ok(),
            lease: LEASE,
            drift: DRIFT,
            check: 0,
            mark: 7,
        };
        let check = |content: &[u8]| if content == b"unfit" { Err("unfit".to_owned()) } else { Ok(()) };
        let life = draw(&mut self.dice);
        let now = self.clock(n);
        self.gateways[n].member =
            Some(Member::new(terms, kept.unwrap_or_default(), life, now, Box::new(check)));
        self.carry_out(n);
    }

    fn at(&mut self, when: u64, n: usize, what: What) {
        self.order += 1;
        self.events.push(std::cmp::Reverse((when, self.order, n, what)));
    }

    fn carry_out(&mut self, n: usize) {
        loop {
            let now = self.clock(n);
            let Some(effect) = self.gateways[n].member.as_mut().and_then(|m| m.effect(now)) else { break };
            match effect {
                Effect::Keep(bytes) => self.gateways[n].disk = bytes,
                Effect::Say(to, bytes) => self.send(n, number(&to), bytes),
                Effect::SayAll(bytes) => {
                    (0..self.gateways.len()).filter(|&o| o != n).for_each(|o| self.send(n, o, bytes.clone()))
                }
                Effect::Learned(v) => {
                    let before = self.contents.insert(v.number, v.content.clone());
                    assert!(before.is_none_or(|b| b == v.content), "two versions {}", v.number);
                }
                Effect::Proposed(outcome) => self.gateways[n].outcomes.push(outcome),
                Effect::OtherTerms(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        assert!(bytes.len() <= 1_000);
        self.sent += 1;
        if self.cut[from][to] || draw(&mut self.dice) % 1000 < self.loss {
            return;
        }
        let copies = 1 + usize::from(self.loss > 0 && draw(&mut self.dice) % 20 == 0);
        for _ in 0..copies {
            let late = MS + draw(&mut self.dice) % (20 * MS);
            self.at(self.now + late, to, What::Comes(name(from), bytes.clone()));
        }
    }

    fn step(&mut self) {
        let Some(std::cmp::Reverse((when, _, n, what))) = self.events.pop() else { return };
        if self.gateways[n].still > when {
            return self.at(self.gateways[n].still, n, what);
        }
        self.now = self.now.max(when);
        if what == What::Wake {
            self.at(self.now + 10 * MS, n, What::Wake);
        }
        let now = self.clock(n);
        let Some(member) = &mut self.gateways[n].member else { return };
        match what {
            What::Comes(from, bytes) => member.heard(now, &from, &bytes),
            What::Wake if member.next_wake() <= now => member.wake(now),
            What::Wake => {}
        }
        self.carry_out(n);
        self.check();
    }

    fn acts(&self) -> Vec<Option<(u64, u64)>> {
        (0..self.gateways.len())
            .map(|n| self.gateways[n].member.as_ref().and_then(|m| m.acts_on(self.clock(n))))
            .collect()
    }

    fn check(&self) {
        let acts = self.acts();
        for (a, full) in
            acts.iter().enumerate().filter_map(|(a, x)| x.filter(|x| x.0 == x.1).map(|x| (a, x.0)))
        {
            for (b, (low, top)) in acts.iter().enumerate().filter_map(|(b, y)| y.map(|y| (b, y))) {
                assert!(
                    (low..=top).contains(&full),
                    "g{a} acts on {full} and g{b} on {low} to {top} at {}",
                    self.now
                );
            }
        }
    }

    fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.events.peek().is_some_and(|e| e.0 .0 <= until) {
            self.step();
        }
        self.now = until;
        self.check();
    }

    fn propose(&mut self, n: usize, content: &[u8]) -> Result<(), Declined> {
        let now = self.clock(n);
        let member = self.gateways[n].member.as_mut().expect("it runs");
        let done = member.propose(now, content, None);
        self.carry_out(n);
        done
    }

    fn all_on(&self, version: u64) -> bool {
        self.acts().iter().all(|a| *a == Some((version, version)))
    }
}

#[test]
fn a_version_is_acted_on_by_all_soon_after_it_is_proposed() {
    let mut world = World::new(5, 3, 1);
    world.run(LEASE);
    assert!(world.all_on(0), "{:?}", world.acts());
    assert_eq!(world.propose(1, b"one"), Ok(()));
    assert_eq!(world.propose(1, b"two"), Err(Declined::Busy));
    assert!(matches!(world.propose(4, b"two"), Err(Declined::NotVoter(v)) if v.len() == 3));
    assert!(matches!(world.propose(0, b"unfit"), Err(Declined::Unfit(_))));
    // A few ways there and back, no lease's time.
    world.run(300 * MS);
    assert!(world.all_on(1), "{:?}", world.acts());
    assert_eq!(world.gateways[1].outcomes, [Outcome::Committed(1)]);
}

#[test]
fn one_that_stands_still_delays_the_next_version_by_its_lease_and_no_longer() {
    let mut world = World::new(4, 3, 2);
    world.run(LEASE);
    world.gateways[3].still = world.now + 20_000 * MS;
    world.propose(0, b"one").unwrap();
    world.run(300 * MS);
    // It may act on the old version alone, or wake and do so: the others do only what both allow.
    assert_eq!(world.acts()[..3], [Some((0, 1)); 3]);
    let bound = 2 * LEASE;
    world.run(bound);
    assert_eq!(world.acts(), [Some((1, 1)), Some((1, 1)), Some((1, 1)), None]);
    world.run(20_000 * MS);
    assert!(world.all_on(1), "{:?}", world.acts());
}

#[test]
fn a_minority_commits_nothing_and_acts_on_nothing_after_its_lease() {
    let mut world = World::new(5, 5, 3);
    world.run(LEASE);
    for (a, b) in (0..2).flat_map(|a| (2..5).map(move |b| (a, b))) {
        (world.cut[a][b], world.cut[b][a]) = (true, true);
    }
    world.propose(0, b"minority").unwrap();
    world.propose(3, b"majority").unwrap();
    world.run(6_000 * MS);
    assert_eq!(world.acts(), [None, None, Some((1, 1)), Some((1, 1)), Some((1, 1))]);
    assert_eq!(world.gateways[0].outcomes, [Outcome::Unknown]);
    world.cut.iter_mut().flatten().for_each(|cut| *cut = false);
    world.run(2 * LEASE);
    assert!(world.all_on(1) && world.contents[&1] == b"majority", "{:?}", world.acts());
}

#[test]
fn two_proposals_at_once_become_one_version_and_a_conflict() {
    for seed in 0..20 {
        let mut world = World::new(3, 3, seed);
        world.run(LEASE);
        world.propose(0, b"one").unwrap();
        world.propose(2, b"other").unwrap();
        world.run(6_000 * MS);
        let both = [world.gateways[0].outcomes.clone(), world.gateways[2].outcomes.clone()].concat();
        assert!(
            both.contains(&Outcome::Committed(1)) && both.contains(&Outcome::Conflict(1)),
            "{seed}: {both:?}"
        );
        assert!(world.all_on(1));
    }
}

#[test]
fn a_long_content_is_fetched_in_parts_though_many_get_lost() {
    let mut world = World::new(4, 3, 4);
    world.run(LEASE);
    world.loss = 200;
    let long: Vec<u8> = (0..30_000u32).map(|n| n as u8).collect();
    world.propose(0, &long).unwrap();
    world.run(20_000 * MS);
    world.loss = 0;
    world.run(2 * LEASE);
    assert!(world.all_on(1) && world.contents[&1] == long, "{:?}", world.acts());
}

#[test]
fn one_without_its_file_does_not_vote_and_still_follows() {
    let mut world = World::new(3, 3, 5);
    world.run(LEASE);
    world.propose(0, b"one").unwrap();
    world.run(LEASE);
    world.gateways[2].member = None;
    world.gateways[2].disk[20] ^= 1;
    world.start(2);
    world.gateways[1].member = None;
    world.propose(0, b"two").unwrap();
    world.run(6_000 * MS);
    assert_eq!(world.gateways[0].outcomes.last(), Some(&Outcome::Unknown), "one voter is no quorum of three");
    assert_eq!(world.acts()[0], None);
    world.start(1);
    world.run(3 * LEASE);
    let newest = world.contents.len() as u64;
    assert!(world.all_on(newest), "{:?}", world.acts());
    let trouble = world.gateways[2].member.as_mut().map(|m| m.propose(0, b"three", None));
    assert!(matches!(trouble, Some(Err(Declined::NotVoter(_)))));
}

#[test]
fn an_echo_of_an_old_question_keeps_no_version_from_being_acted_on() {
    let mut world = World::new(2, 1, 6);
    world.run(LEASE);
    let asked = Said::Protocol(7, Message::Ask(0, 1, 99)).write();
    world.propose(0, b"one").unwrap();
    for _ in 0..200 {
        world.at(world.now, 0, What::Comes("g1".into(), asked.clone()));
        world.run(20 * MS);
    }
    assert!(world.all_on(1), "{:?}", world.acts());
}

/// All at once: cuts, pauses, kills and loss drawn from seeds, with proposals all the while.
#[test]
fn nothing_contradicts_in_drawn_histories() {
    let (mut full, mut versions) = (0, 0);
    for seed in 0..60 {
        let mut world = World::new(5, 3, 1000 + seed);
        let mut dice = seed;
        for round in 0..60 {
            let n = draw(&mut dice) as usize % 5;
            match draw(&mut dice) % 8 {
                0 => world.gateways[n].still = world.now + draw(&mut dice) % (4 * LEASE),
                1 => world.gateways[n].member = None,
                2 => world.loss = draw(&mut dice) % 400,
                3 => {
                    let m = draw(&mut dice) as usize % 5;
                    world.cut[n][m] = true;
                }
                4 => world.cut.iter_mut().flatten().for_each(|cut| *cut = false),
                _ => {}
            }
            if draw(&mut dice) % 3 == 0 {
                let dead: Vec<usize> = (0..5).filter(|&g| world.gateways[g].member.is_none()).collect();
                dead.into_iter().for_each(|g| world.start(g));
            }
            let by = draw(&mut dice) as usize % 3;
            if world.gateways[by].member.is_some() && world.gateways[by].still <= world.now {
                world.propose(by, format!("{seed} {round}").as_bytes()).ok();
            }
            world.run(draw(&mut dice) % 800 * MS);
        }
        world.loss = 0;
        world.cut.iter_mut().flatten().for_each(|cut| *cut = false);
        world.gateways.iter_mut().for_each(|g| g.still = 0);
        (0..5)
            .filter(|&g| world.gateways[g].member.is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|g| world.start(g));
        world.run(8 * LEASE);
        let newest = *world.contents.keys().last().expect("some version is committed");
        assert!(world.all_on(newest), "seed {seed}: {newest}, {:?}", world.acts());
        full += 1;
        versions += world.contents.len();
    }
    println!("{full} histories, {versions} versions");
    assert!(versions > 600, "too few versions to show anything: {versions}");
}
