//! A search through all interleavings of a small case: every order of deliveries, losses, copies, steps of time, restarts.
//!
//! A message that was sent may be delivered at any later time, any number of times, or never; a gateway that stands still
//! is one to which nothing is delivered for a while. The clocks of the gateways run at rates of their own.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashSet};
use std::hash::{Hash, Hasher};

use crate::history::Version;
use crate::voter::{DurableState, Effect, InjectedFault, Message, Micros, Terms, Voter};

/// A case.
#[derive(Debug, Clone)]
pub struct Case {
    /// How many gateways.
    pub gateways: u16,
    /// Who proposes a further version, each once, each a content of its own.
    pub proposers: Vec<u16>,
    /// Who knows at the start that a second version is committed; they tell the others.
    pub informed: Vec<u16>,
    /// How often each gateway may ask for a lease.
    pub lease_requests: Vec<u8>,
    /// Restarts in all; what is kept stays, all else is lost.
    pub restarts: u8,
    /// Steps of time, and how long one is.
    pub time_steps: u8,
    /// See `steps`.
    pub step_micros: Micros,
    /// Parts of a million by which each gateway's clock runs too fast.
    pub clock_rates_ppm: Vec<i64>,
    /// Length of a lease.
    pub lease: Micros,
    /// Allowed drift in parts of a million.
    pub drift_ppm: u64,
    /// A planted fault.
    pub fault: InjectedFault,
}

/// What a search found.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Different states visited.
    pub states: usize,
    /// All reachable states were visited.
    pub complete: bool,
    /// The steps that lead to the first state in which the property does not hold, and what is wrong there.
    pub counterexample: Option<(Vec<String>, String)>,
    /// States in which some gateway acted on the first version in full, and on a later one: a search that never gets there
    /// shows nothing.
    pub states_in_full_use: (usize, usize),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: Micros,
    time_steps: u8,
    voters: Vec<Voter>,
    lives: Vec<u64>,
    lease_requests: Vec<u8>,
    proposed: Vec<bool>,
    restarts: u8,
    sent: BTreeSet<(u16, u16, Message)>,
}

#[derive(Debug, Clone)]
enum Action {
    Deliver(u16, u16, Message),
    AdvanceTime,
    Propose(usize),
    RequestLease(u16),
    Restart(u16),
}

fn clock(case: &Case, of: u16, now: Micros) -> Micros {
    // Far from zero, so that a span before the start is one.
    10_000_000 + (now as i128 * (1_000_000 + case.clock_rates_ppm[of as usize] as i128) / 1_000_000) as Micros
}

fn terms(case: &Case, me: u16) -> Terms {
    Terms {
        me,
        voters: case.gateways,
        votes: true,
        lease: case.lease,
        drift_ppm: case.drift_ppm,
        lease_check_margin: 0,
        fault: case.fault,
    }
}

impl World {
    fn start(case: &Case) -> World {
        let first = Version::after(0, 0, b"first");
        let mut kept = DurableState::default();
        kept.history.add(&first);
        // All have run for long: nothing of an earlier life holds any more.
        let long_ago = |me| clock(case, me, 0) - 2 * terms(case, me).grant_duration();
        let mut world = World {
            now: 0,
            time_steps: case.time_steps,
            voters: (0..case.gateways)
                .map(|me| Voter::new(terms(case, me), kept.clone(), u64::from(me), long_ago(me), false))
                .collect(),
            lives: (0..case.gateways).map(u64::from).collect(),
            lease_requests: case.lease_requests.clone(),
            proposed: vec![false; case.proposers.len()],
            restarts: case.restarts,
            sent: BTreeSet::new(),
        };
        let second = Version::after(1, first.hash, b"second");
        for &by in &case.informed {
            world.voters[by as usize].receive(0, by, &Message::Committed(second.clone()));
            while world.voters[by as usize].next_effect().is_some() {}
            let others = (0..case.gateways).filter(|g| !case.informed.contains(g));
            world.sent.extend(others.map(|to| (by, to, Message::Committed(second.clone()))));
        }
        world
    }

    fn acts(&self, case: &Case) -> Vec<Action> {
        let mut acts: Vec<Action> =
            self.sent.iter().map(|(a, b, m)| Action::Deliver(*a, *b, m.clone())).collect();
        if self.time_steps > 0 {
            acts.push(Action::AdvanceTime);
        }
        acts.extend((0..self.proposed.len()).filter(|&i| !self.proposed[i]).map(Action::Propose));
        acts.extend(
            (0..case.gateways).filter(|&g| self.lease_requests[g as usize] > 0).map(Action::RequestLease),
        );
        if self.restarts > 0 {
            acts.extend((0..case.gateways).map(Action::Restart));
        }
        acts
    }

    fn after(&self, case: &Case, act: &Action) -> World {
        let mut world = self.clone();
        let at = |g: u16| clock(case, g, self.now);
        let touched = match act {
            Action::Deliver(from, to, message) => {
                world.voters[*to as usize].receive(at(*to), *from, message);
                *to
            }
            Action::AdvanceTime => {
                world.now += case.step_micros;
                world.time_steps -= 1;
                return world;
            }
            Action::Propose(i) => {
                world.proposed[*i] = true;
                let by = case.proposers[*i];
                world.voters[by as usize].propose(format!("by {by}").as_bytes());
                by
            }
            Action::RequestLease(by) => {
                world.lease_requests[*by as usize] -= 1;
                world.voters[*by as usize].renew(at(*by));
                *by
            }
            Action::Restart(of) => {
                world.restarts -= 1;
                world.lives[*of as usize] += 1_000;
                let kept = world.voters[*of as usize].state().clone();
                world.voters[*of as usize] =
                    Voter::new(terms(case, *of), kept, world.lives[*of as usize], at(*of), false);
                return world;
            }
        };
        world.carry_out(case, touched);
        world
    }

    /// Sends what a voter wants sent; what is for itself it has at once.
    fn carry_out(&mut self, case: &Case, of: u16) {
        let at = clock(case, of, self.now);
        while let Some(effect) = self.voters[of as usize].next_effect() {
            match effect {
                Effect::Send(to, message) if to == of => self.voters[of as usize].receive(at, of, &message),
                Effect::Send(to, message) => {
                    self.sent.insert((of, to, message));
                }
                Effect::Broadcast(message) => {
                    let others = (0..case.gateways).filter(|&g| g != of);
                    self.sent.extend(others.map(|to| (of, to, message.clone())));
                }
                Effect::Persist(_) | Effect::Committed(_) => {}
            }
        }
    }

    fn holds(&self, case: &Case) -> Vec<Option<(u64, u64)>> {
        (0..case.gateways).map(|g| self.voters[g as usize].usable_range(clock(case, g, self.now))).collect()
    }

    fn wrong(&self, case: &Case) -> Option<String> {
        let holds = self.holds(case);
        for a in 0..self.voters.len() {
            for b in 0..a {
                // Whoever acts has each version that another one acts on in full within its range.
                for (x, y) in [(a, b), (b, a)] {
                    if let (Some((low, top)), Some((from, to))) = (holds[x], holds[y]) {
                        if low == top && !(from..=to).contains(&low) {
                            return Some(format!(
                                "{x} acts on version {low} while {y} acts on {from} to {to}"
                            ));
                        }
                    }
                }
                let (one, other) = (self.voters[a].history(), self.voters[b].history());
                for v in one.versions() {
                    if other.get(v.number).is_some_and(|w| w != v) {
                        return Some(format!("{a} and {b} have committed different versions {}", v.number));
                    }
                }
            }
        }
        None
    }
}

fn fingerprint(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

/// Searches a case, through `most` states at most.
pub fn search(case: &Case, most: usize) -> Outcome {
    let mut outcome = Outcome { states: 0, complete: true, counterexample: None, states_in_full_use: (0, 0) };
    let mut seen: HashSet<u64> = HashSet::new();
    let start = World::start(case);
    seen.insert(fingerprint(&start));
    // Depth first: each entry is a state and the acts that are still to be tried there; the path is the stack itself.
    let acts = start.acts(case);
    let mut stack: Vec<(World, Vec<Action>, String)> = vec![(start, acts, "start".into())];
    while let Some((world, acts, _)) = stack.last_mut() {
        let Some(act) = acts.pop() else {
            stack.pop();
            continue;
        };
        let next = world.after(case, &act);
        if !seen.insert(fingerprint(&next)) {
            continue;
        }
        outcome.states += 1;
        let holds = next.holds(case);
        outcome.states_in_full_use.0 += usize::from(holds.contains(&Some((1, 1))));
        outcome.states_in_full_use.1 += usize::from(holds.iter().flatten().any(|&(low, _)| low > 1));
        if let Some(wrong) = next.wrong(case) {
            let mut path: Vec<String> = stack.iter().skip(1).map(|s| s.2.clone()).collect();
            path.push(format!("{act:?}"));
            outcome.counterexample = Some((path, wrong));
            return outcome;
        }
        if outcome.states >= most {
            outcome.complete = false;
            return outcome;
        }
        let acts = next.acts(case);
        stack.push((next, acts, format!("{act:?}")));
    }
    outcome
}
