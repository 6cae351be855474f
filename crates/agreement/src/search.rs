//! A search through all interleavings of a small case: every order of deliveries, losses, duplicates, time
//! steps and restarts.
//!
//! A message may be delivered at any time after it was sent, any number of times, or never. A paused gateway
//! is one to which nothing is delivered for a while. The clock of each gateway has a rate of its own.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashSet};
use std::hash::{Hash, Hasher};

use crate::history::Version;
use crate::voter::{DurableState, Effect, InjectedFault, Message, Micros, Terms, Voter};

/// The bounds of a search.
#[derive(Debug, Clone)]
pub struct Case {
    /// Number of gateways; all of them vote.
    pub gateways: u16,
    /// Gateways that propose a further version, each once and with a content of its own.
    pub proposers: Vec<u16>,
    /// Gateways that know at the start that a second version is committed, and have sent this to the others.
    pub informed: Vec<u16>,
    /// Number of lease requests that each gateway may make.
    pub lease_requests: Vec<u8>,
    /// Number of restarts in total. The durable state survives, all other state is lost.
    pub restarts: u8,
    /// Number of time steps.
    pub time_steps: u8,
    /// Length of a time step.
    pub step_micros: Micros,
    /// Error of the rate of each gateway's clock in parts per million; positive if the clock is fast.
    pub clock_rates_ppm: Vec<i64>,
    /// See [`Terms::lease`].
    pub lease: Micros,
    /// See [`Terms::drift_ppm`].
    pub drift_ppm: u64,
    /// See [`Terms::fault`].
    pub fault: InjectedFault,
}

/// The result of a search.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Number of distinct states visited.
    pub states: usize,
    /// Whether all reachable states were visited.
    pub complete: bool,
    /// The actions that lead to the first state found that violates the property, and the violation.
    pub counterexample: Option<(Vec<String>, String)>,
    /// Number of states in which a gateway may apply the first version in full, and in which the range of a
    /// gateway starts after it. A search without such states proves nothing.
    pub states_in_full_use: (usize, usize),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: Micros,
    /// Number of time steps left.
    time_steps: u8,
    voters: Vec<Voter>,
    incarnations: Vec<u64>,
    /// Lease requests left for each gateway.
    lease_requests: Vec<u8>,
    /// Whether each of the proposers has proposed.
    proposed: Vec<bool>,
    /// Number of restarts left.
    restarts: u8,
    /// Messages ever sent: sender, recipient, message.
    sent: BTreeSet<(u16, u16, Message)>,
}

#[derive(Debug, Clone)]
enum Action {
    /// Sender, recipient, message.
    Deliver(u16, u16, Message),
    AdvanceTime,
    /// Index among the proposers of the case.
    Propose(usize),
    RequestLease(u16),
    Restart(u16),
}

fn clock(case: &Case, of: u16, now: Micros) -> Micros {
    // An offset, so that times before the start of the search are not negative.
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
        let mut state = DurableState::default();
        state.history.add(&first);
        // All gateways have run for long, so that no grant of an earlier incarnation is in force.
        let long_ago = |me| clock(case, me, 0) - 2 * terms(case, me).grant_duration();
        let mut world = World {
            now: 0,
            time_steps: case.time_steps,
            voters: (0..case.gateways)
                .map(|me| Voter::new(terms(case, me), state.clone(), u64::from(me), long_ago(me), false))
                .collect(),
            incarnations: (0..case.gateways).map(u64::from).collect(),
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

    fn actions(&self, case: &Case) -> Vec<Action> {
        let mut actions: Vec<Action> =
            self.sent.iter().map(|(a, b, m)| Action::Deliver(*a, *b, m.clone())).collect();
        if self.time_steps > 0 {
            actions.push(Action::AdvanceTime);
        }
        actions.extend((0..self.proposed.len()).filter(|&i| !self.proposed[i]).map(Action::Propose));
        actions.extend(
            (0..case.gateways).filter(|&g| self.lease_requests[g as usize] > 0).map(Action::RequestLease),
        );
        if self.restarts > 0 {
            actions.extend((0..case.gateways).map(Action::Restart));
        }
        actions
    }

    fn after(&self, case: &Case, action: &Action) -> World {
        let mut world = self.clone();
        let at = |g: u16| clock(case, g, self.now);
        let changed = match action {
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
                world.incarnations[*of as usize] += 1_000;
                let state = world.voters[*of as usize].state().clone();
                world.voters[*of as usize] =
                    Voter::new(terms(case, *of), state, world.incarnations[*of as usize], at(*of), false);
                return world;
            }
        };
        world.carry_out(case, changed);
        world
    }

    /// Carries out the effects of a voter. Messages to itself are delivered at once.
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

    fn ranges(&self, case: &Case) -> Vec<Option<(u64, u64)>> {
        (0..case.gateways).map(|g| self.voters[g as usize].usable_range(clock(case, g, self.now))).collect()
    }

    fn violation(&self, case: &Case) -> Option<String> {
        let ranges = self.ranges(case);
        for a in 0..self.voters.len() {
            for b in 0..a {
                // A range contains each version that another gateway applies in full.
                for (x, y) in [(a, b), (b, a)] {
                    if let (Some((low, top)), Some((from, to))) = (ranges[x], ranges[y]) {
                        if low == top && !(from..=to).contains(&low) {
                            return Some(format!(
                                "gateway {x} applies {low} in full, but the range of {y} is {from} to {to}"
                            ));
                        }
                    }
                }
                let (one, other) = (self.voters[a].history(), self.voters[b].history());
                for v in one.versions() {
                    if other.get(v.number).is_some_and(|w| w != v) {
                        return Some(format!(
                            "gateways {a} and {b} have committed different versions with the number {}",
                            v.number
                        ));
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

/// Searches a case and stops after `max_states` states.
pub fn search(case: &Case, max_states: usize) -> Outcome {
    let mut outcome = Outcome { states: 0, complete: true, counterexample: None, states_in_full_use: (0, 0) };
    let mut seen: HashSet<u64> = HashSet::new();
    let start = World::start(case);
    seen.insert(fingerprint(&start));
    // Depth first. Each entry of the stack has a state, the actions not yet tried there, and the action that
    // led to it; the stack is the path.
    let actions = start.actions(case);
    let mut stack: Vec<(World, Vec<Action>, String)> = vec![(start, actions, "start".into())];
    while let Some((world, actions, _)) = stack.last_mut() {
        let Some(action) = actions.pop() else {
            stack.pop();
            continue;
        };
        let next = world.after(case, &action);
        if !seen.insert(fingerprint(&next)) {
            continue;
        }
        outcome.states += 1;
        let ranges = next.ranges(case);
        outcome.states_in_full_use.0 += usize::from(ranges.contains(&Some((1, 1))));
        outcome.states_in_full_use.1 += usize::from(ranges.iter().flatten().any(|&(low, _)| low > 1));
        if let Some(violation) = next.violation(case) {
            let mut path: Vec<String> = stack.iter().skip(1).map(|s| s.2.clone()).collect();
            path.push(format!("{action:?}"));
            outcome.counterexample = Some((path, violation));
            return outcome;
        }
        if outcome.states >= max_states {
            outcome.complete = false;
            return outcome;
        }
        let actions = next.actions(case);
        stack.push((next, actions, format!("{action:?}")));
    }
    outcome
}
