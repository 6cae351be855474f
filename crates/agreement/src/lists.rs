//! Drains and removals of engines that one gateway hears of by its own list, told to the others, whose lists may lag. Free of
//! I/O and clock.
//!
//! A claim says that an engine, in the life that began at a time or in an earlier one, drains or is gone. It only takes away:
//! an engine that the own list does not have is not added by it. It ends when its source takes it back, since its list has the
//! engine again, when the engine has a newer life, or after [`CLAIM_TTL_MICROS`].

use std::collections::{BTreeMap, VecDeque};

use crate::voter::Micros;

/// How long a claim holds that nobody takes back: its source may be gone.
pub const CLAIM_TTL_MICROS: Micros = 600_000_000;
/// When a claim is told again after it was heard of; each time to some of the others, who pass it on.
const AGAIN: [Micros; 2] = [50_000, 120_000];
/// Claims that are remembered at once.
const CLAIMS: usize = 16_384;

/// The state of an engine: the greater one allows less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineState {
    /// It may be sent new work.
    Up,
    /// It ends what it has.
    Draining,
    /// It is gone.
    Removed,
}

/// What a gateway heard of an engine by its own list.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Whose list it is.
    pub source: String,
    /// Counts what that one tells, over its lives: the greater one holds.
    pub sequence: u64,
    /// The engine.
    pub engine: String,
    /// When the life of it began that is meant, by the list's clock; 0: long ago.
    pub came_up: u64,
    /// Its state; `Up` takes an earlier claim back.
    pub state: EngineState,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListEffect {
    /// Tell this to some of the others, drawn anew each time.
    Announce(Claim),
    /// What holds for engines has changed.
    ClaimsChanged,
    /// All engines, or most of several, went from the own list at once: told loudly here, and not to the others.
    MassRemoval(usize, usize),
}

/// What one gateway knows by its own list and by others' claims. See the module's documentation.
#[derive(Debug, Default)]
pub struct EngineClaims {
    me: String,
    /// The own list as it was last read; `None` before.
    own: Option<BTreeMap<String, (u64, EngineState)>>,
    claims: BTreeMap<(String, String), (Claim, Micros)>,
    /// What is still to be told, and when.
    due: VecDeque<(Micros, Claim)>,
    count: u64,
    effects: VecDeque<ListEffect>,
}

impl EngineClaims {
    /// Of a gateway by its name. `count` is greater than any of an earlier life: a time will do.
    pub fn new(me: &str, count: u64) -> EngineClaims {
        EngineClaims { me: me.to_owned(), count, ..EngineClaims::default() }
    }

    /// The next effect.
    pub fn next_effect(&mut self) -> Option<ListEffect> {
        self.effects.pop_front()
    }

    /// When [`EngineClaims::wake`] should be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let ends = self.claims.values().map(|c| c.1);
        self.due.iter().map(|d| d.0).chain(ends).min()
    }

    /// The own list has been read: engines, when they came up, and their states.
    pub fn set_own_list(&mut self, now: Micros, list: BTreeMap<String, (u64, EngineState)>) {
        let Some(before) = self.own.replace(list.clone()) else { return };
        let state = |(came_up, state): &(u64, EngineState)| (*came_up, *state);
        let mut fell = Vec::new();
        for (engine, old) in &before {
            let (came_up, was) = state(old);
            let (later, is) = list.get(engine).map_or((came_up, EngineState::Removed), state);
            if is > was && later <= came_up {
                fell.push((engine.clone(), came_up, is));
            } else if is < was || later > came_up {
                self.take_back(now, engine, later);
            }
        }
        for (engine, (came_up, _)) in list.iter().filter(|(engine, _)| !before.contains_key(*engine)) {
            self.take_back(now, engine, *came_up);
        }
        let up = before.values().filter(|e| e.1 == EngineState::Up).count();
        // One damaged or emptied list must not stop a fleet whose other lists are sound. Here it is obeyed all the same.
        if up > 1 && fell.len() == up || up > 3 && 2 * fell.len() > up {
            return self.effects.push_back(ListEffect::MassRemoval(fell.len(), up));
        }
        for (engine, came_up, state) in fell {
            // Somebody else has told that already, and it is on its way.
            if self.state(&engine, came_up) < state {
                self.tell(now, &engine, came_up, state);
            }
        }
    }

    fn take_back(&mut self, now: Micros, engine: &str, came_up: u64) {
        let mine = self.claims.get(&(self.me.clone(), engine.to_owned()));
        if mine.is_some_and(|(claim, _)| claim.state != EngineState::Up) {
            self.tell(now, engine, came_up, EngineState::Up);
        }
    }

    fn tell(&mut self, now: Micros, engine: &str, came_up: u64, state: EngineState) {
        self.count += 1;
        let (source, sequence, engine) = (self.me.clone(), self.count, engine.to_owned());
        self.learn(now, Claim { source, sequence, engine, came_up, state });
    }

    /// A claim that came from another gateway, whoever's it is.
    pub fn receive(&mut self, now: Micros, claim: Claim) {
        // What this gateway told in an earlier life comes back to it: nobody else would ever take it back.
        if claim.source == self.me {
            let known = self.claims.get(&(self.me.clone(), claim.engine.clone()));
            if known.is_none()
                && claim.state != EngineState::Up
                && claim.sequence > self.count.saturating_sub(CLAIM_TTL_MICROS)
            {
                let own = self.own.as_ref().and_then(|own| own.get(&claim.engine));
                if own.is_some_and(|own| own.1 == EngineState::Up) {
                    self.tell(now, &claim.engine, claim.came_up, EngineState::Up);
                }
            }
            return;
        }
        self.learn(now, claim);
    }

    fn learn(&mut self, now: Micros, claim: Claim) {
        let key = (claim.source.clone(), claim.engine.clone());
        let known = self.claims.get(&key).map(|c| c.0.sequence);
        if known.is_some_and(|count| count >= claim.sequence)
            || known.is_none() && self.claims.len() >= CLAIMS
        {
            return;
        }
        self.claims.insert(key, (claim.clone(), now + CLAIM_TTL_MICROS));
        self.effects.push_back(ListEffect::ClaimsChanged);
        self.due.extend(AGAIN.iter().map(|after| (now + after, claim.clone())));
        self.effects.push_back(ListEffect::Announce(claim));
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros) {
        let (due, later): (Vec<_>, Vec<_>) = self.due.drain(..).partition(|d| d.0 <= now);
        self.due = later.into();
        self.effects.extend(due.into_iter().map(|(_, claim)| ListEffect::Announce(claim)));
        let before = self.claims.len();
        self.claims.retain(|_, claim| claim.1 > now);
        if self.claims.len() < before {
            self.effects.push_back(ListEffect::ClaimsChanged);
        }
    }

    /// What others' claims leave of an engine that the own list has with that life.
    pub fn state(&self, engine: &str, came_up: u64) -> EngineState {
        let others =
            self.claims.values().map(|c| &c.0).filter(|c| c.engine == engine && c.came_up >= came_up);
        others.map(|c| c.state).max().unwrap_or(EngineState::Up)
    }

    /// All engines of which something is claimed: with the life that is meant at the latest, and their state.
    pub fn claimed_states(&self) -> BTreeMap<String, (u64, EngineState)> {
        let mut all: BTreeMap<String, (u64, EngineState)> = BTreeMap::new();
        for claim in self.claims.values().map(|c| &c.0).filter(|c| c.state != EngineState::Up) {
            let entry = all.entry(claim.engine.clone()).or_insert((claim.came_up, claim.state));
            *entry = (entry.0.max(claim.came_up), entry.1.max(claim.state));
        }
        all
    }

    /// Claims that are remembered.
    pub fn held(&self) -> usize {
        self.claims.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(engines: &[(&str, u64, EngineState)]) -> BTreeMap<String, (u64, EngineState)> {
        engines.iter().map(|(n, c, s)| ((*n).to_owned(), (*c, *s))).collect()
    }

    fn told(lists: &mut EngineClaims) -> Vec<Claim> {
        std::iter::from_fn(|| lists.next_effect())
            .filter_map(|e| match e {
                ListEffect::Announce(claim) => Some(claim),
                _ => None,
            })
            .collect()
    }

    use EngineState::{Draining, Removed, Up};

    #[test]
    fn a_drain_is_told_and_heard_and_taken_back() {
        let (mut a, mut b) = (EngineClaims::new("a", 100), EngineClaims::new("b", 100));
        let whole = list(&[("e1", 5, Up), ("e2", 0, Up), ("e3", 0, Up)]);
        a.set_own_list(1, whole.clone());
        assert!(told(&mut a).is_empty(), "the first list is no change");
        a.set_own_list(2, list(&[("e1", 5, Draining), ("e2", 0, Up), ("e3", 0, Up)]));
        let claims = told(&mut a);
        assert_eq!(claims.len(), 1);
        b.set_own_list(1, whole.clone());
        b.receive(3, claims[0].clone());
        assert_eq!((b.state("e1", 5), b.state("e1", 4), b.state("e2", 0)), (Draining, Draining, Up));
        assert_eq!(b.state("e1", 6), Up, "a newer life is not meant");
        assert_eq!(told(&mut b).len(), 1, "passed on");
        b.receive(4, claims[0].clone());
        assert!(told(&mut b).is_empty(), "once");
        // Told again for those who missed it, and then no more.
        a.wake(60_000);
        a.wake(200_000);
        assert_eq!(told(&mut a).len(), 2);
        assert!(a.next_wake() > Some(CLAIM_TTL_MICROS));
        a.set_own_list(300_000, whole);
        let back = told(&mut a);
        assert_eq!(back[0].state, Up);
        b.receive(300_001, back[0].clone());
        assert_eq!(b.state("e1", 5), Up);
        // The older claim, late and out of order, undoes nothing.
        b.receive(300_002, claims[0].clone());
        assert_eq!(b.state("e1", 5), Up);
    }

    #[test]
    fn what_another_one_told_already_is_not_told_again() {
        let mut b = EngineClaims::new("b", 1);
        b.set_own_list(1, list(&[("e1", 0, Up), ("e2", 0, Up), ("e3", 0, Up)]));
        let claim =
            Claim { source: "a".into(), sequence: 9, engine: "e1".into(), came_up: 0, state: Removed };
        b.receive(2, claim);
        told(&mut b);
        b.set_own_list(3, list(&[("e2", 0, Up), ("e3", 0, Up)]));
        assert!(told(&mut b).is_empty());
    }

    #[test]
    fn a_list_that_loses_most_engines_at_once_is_not_passed_on() {
        for (left, before) in [(0, 2), (1, 4), (0, 5)] {
            let names: Vec<String> = (0..before).map(|n| format!("e{n}")).collect();
            let of = |n: usize| names[..n].iter().map(|e| (e.clone(), (0, Up))).collect::<BTreeMap<_, _>>();
            let mut a = EngineClaims::new("a", 1);
            a.set_own_list(1, of(before));
            a.set_own_list(2, of(left));
            let effects: Vec<ListEffect> = std::iter::from_fn(|| a.next_effect()).collect();
            assert_eq!(effects, [ListEffect::MassRemoval(before - left, before)]);
        }
    }

    #[test]
    fn claims_end_and_are_bounded() {
        let mut a = EngineClaims::new("a", 1);
        for n in 0..CLAIMS as u64 + 50 {
            let (source, engine) = ("t".to_owned(), format!("e{n}"));
            a.receive(n, Claim { source, sequence: n, engine, came_up: 0, state: Removed });
        }
        assert_eq!(a.held(), CLAIMS);
        a.wake(CLAIM_TTL_MICROS + CLAIMS as u64 + 100);
        assert_eq!((a.held(), a.claimed_states().len()), (0, 0));
    }
}
