//! Drains and removals of engines, which a gateway reads in its own list and announces to the others, whose
//! lists may lag. Without I/O and without reading a clock.
//!
//! A claim says that an engine is draining or removed, in the incarnation that started at a given time and in
//! earlier ones. Claims only restrict: they add no engine that the own list does not have. A claim ends when
//! its source withdraws it because its list has the engine as up again, when the engine has a newer
//! incarnation, or after [`CLAIM_TTL_MICROS`].

use std::collections::{BTreeMap, VecDeque};

use crate::voter::Micros;

/// Time after which a claim expires if it is not withdrawn: its source may be down.
pub const CLAIM_TTL_MICROS: Micros = 600_000_000;
/// Delays after which a claim is announced again, each time to some of the other gateways, which forward it.
const REPEAT_DELAYS_MICROS: [Micros; 2] = [50_000, 120_000];
/// Maximum number of claims held at once.
const MAX_CLAIMS: usize = 16_384;

/// The state of an engine; a greater one permits less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineState {
    /// May be sent new work.
    Up,
    /// Finishes its present work and gets no new work.
    Draining,
    /// Is no longer in the list.
    Removed,
}

/// The state of an engine according to the list of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Name of the gateway that read it in its list.
    pub source: String,
    /// Increases with each claim of the source, also over restarts; a claim with a greater number replaces
    /// one with a smaller number.
    pub sequence: u64,
    /// Name of the engine.
    pub engine: String,
    /// Start time of the incarnation concerned, by the clock of the list; 0 stands for long ago.
    pub came_up: u64,
    /// Its state; `Up` withdraws an earlier claim.
    pub state: EngineState,
}

/// An effect for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListEffect {
    /// Send this to some of the other gateways, drawn at random each time.
    Announce(Claim),
    /// The states claimed for engines have changed.
    ClaimsChanged,
    /// All of at least 2 engines that were up, or most of at least 4, became draining or removed at once in
    /// the own list: how many, of how many that were up. This is to be logged as an error, and is not
    /// announced to other gateways.
    MassRemoval(usize, usize),
}

/// The own list of a gateway and the claims of all gateways.
#[derive(Debug, Default)]
pub struct EngineClaims {
    /// The name of this gateway.
    me: String,
    /// The own list as last read; `None` until it has been read.
    own: Option<BTreeMap<String, (u64, EngineState)>>,
    /// Claims and their expiry times, by source and engine.
    claims: BTreeMap<(String, String), (Claim, Micros)>,
    /// Repeated announcements and their times.
    repeats: VecDeque<(Micros, Claim)>,
    /// Sequence number of the last own claim.
    sequence: u64,
    effects: VecDeque<ListEffect>,
}

impl EngineClaims {
    /// The empty state of the gateway named `me`. `sequence` has to be greater than any sequence number of an
    /// earlier incarnation; the present time is suitable.
    pub fn new(me: &str, sequence: u64) -> EngineClaims {
        EngineClaims { me: me.to_owned(), sequence, ..EngineClaims::default() }
    }

    /// The next effect to carry out.
    pub fn next_effect(&mut self) -> Option<ListEffect> {
        self.effects.pop_front()
    }

    /// When [`EngineClaims::wake`] should be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let expiries = self.claims.values().map(|c| c.1);
        self.repeats.iter().map(|repeat| repeat.0).chain(expiries).min()
    }

    /// Takes the own list: the start time and the state of each engine. Changes are announced.
    pub fn set_own_list(&mut self, now: Micros, list: BTreeMap<String, (u64, EngineState)>) {
        let Some(before) = self.own.replace(list.clone()) else { return };
        let state = |(came_up, state): &(u64, EngineState)| (*came_up, *state);
        let mut restricted = Vec::new();
        for (engine, old) in &before {
            let (came_up, was) = state(old);
            let (now_came_up, is) = list.get(engine).map_or((came_up, EngineState::Removed), state);
            if is > was && now_came_up <= came_up {
                restricted.push((engine.clone(), came_up, is));
            } else if is < was || now_came_up > came_up {
                self.withdraw(now, engine, now_came_up);
            }
        }
        for (engine, (came_up, _)) in list.iter().filter(|(engine, _)| !before.contains_key(*engine)) {
            self.withdraw(now, engine, *came_up);
        }
        let up = before.values().filter(|e| e.1 == EngineState::Up).count();
        // A damaged or empty list at one gateway must not stop the others, whose lists are sound. This
        // gateway still follows its own list.
        if up > 1 && restricted.len() == up || up > 3 && 2 * restricted.len() > up {
            return self.effects.push_back(ListEffect::MassRemoval(restricted.len(), up));
        }
        for (engine, came_up, state) in restricted {
            // If another gateway has claimed this already, its claim is being forwarded.
            if self.state(&engine, came_up) < state {
                self.claim(now, &engine, came_up, state);
            }
        }
    }

    fn withdraw(&mut self, now: Micros, engine: &str, came_up: u64) {
        let mine = self.claims.get(&(self.me.clone(), engine.to_owned()));
        if mine.is_some_and(|(claim, _)| claim.state != EngineState::Up) {
            self.claim(now, engine, came_up, EngineState::Up);
        }
    }

    fn claim(&mut self, now: Micros, engine: &str, came_up: u64, state: EngineState) {
        self.sequence += 1;
        let (source, sequence, engine) = (self.me.clone(), self.sequence, engine.to_owned());
        self.add(now, Claim { source, sequence, engine, came_up, state });
    }

    /// Receives a claim from another gateway, which may forward it for its source.
    pub fn receive(&mut self, now: Micros, claim: Claim) {
        // A claim of an earlier incarnation of this gateway: only this gateway can withdraw it.
        if claim.source == self.me {
            let known = self.claims.get(&(self.me.clone(), claim.engine.clone()));
            if known.is_none()
                && claim.state != EngineState::Up
                && claim.sequence > self.sequence.saturating_sub(CLAIM_TTL_MICROS)
            {
                let own = self.own.as_ref().and_then(|own| own.get(&claim.engine));
                if own.is_some_and(|own| own.1 == EngineState::Up) {
                    self.claim(now, &claim.engine, claim.came_up, EngineState::Up);
                }
            }
            return;
        }
        self.add(now, claim);
    }

    fn add(&mut self, now: Micros, claim: Claim) {
        let key = (claim.source.clone(), claim.engine.clone());
        let known = self.claims.get(&key).map(|c| c.0.sequence);
        if known.is_some_and(|known| known >= claim.sequence)
            || known.is_none() && self.claims.len() >= MAX_CLAIMS
        {
            return;
        }
        self.claims.insert(key, (claim.clone(), now + CLAIM_TTL_MICROS));
        self.effects.push_back(ListEffect::ClaimsChanged);
        self.repeats.extend(REPEAT_DELAYS_MICROS.iter().map(|delay| (now + delay, claim.clone())));
        self.effects.push_back(ListEffect::Announce(claim));
    }

    /// Handles the timers that are due.
    pub fn wake(&mut self, now: Micros) {
        let (due, later): (Vec<_>, Vec<_>) = self.repeats.drain(..).partition(|repeat| repeat.0 <= now);
        self.repeats = later.into();
        self.effects.extend(due.into_iter().map(|(_, claim)| ListEffect::Announce(claim)));
        let before = self.claims.len();
        self.claims.retain(|_, claim| claim.1 > now);
        if self.claims.len() < before {
            self.effects.push_back(ListEffect::ClaimsChanged);
        }
    }

    /// The most restrictive state claimed for an engine that the own list has with this start time.
    pub fn state(&self, engine: &str, came_up: u64) -> EngineState {
        let others =
            self.claims.values().map(|c| &c.0).filter(|c| c.engine == engine && c.came_up >= came_up);
        others.map(|c| c.state).max().unwrap_or(EngineState::Up)
    }

    /// All engines with a claim: the latest start time claimed and the most restrictive state.
    pub fn claimed_states(&self) -> BTreeMap<String, (u64, EngineState)> {
        let mut all: BTreeMap<String, (u64, EngineState)> = BTreeMap::new();
        for claim in self.claims.values().map(|c| &c.0).filter(|c| c.state != EngineState::Up) {
            let entry = all.entry(claim.engine.clone()).or_insert((claim.came_up, claim.state));
            *entry = (entry.0.max(claim.came_up), entry.1.max(claim.state));
        }
        all
    }

    /// The number of claims held.
    pub fn count(&self) -> usize {
        self.claims.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(engines: &[(&str, u64, EngineState)]) -> BTreeMap<String, (u64, EngineState)> {
        engines.iter().map(|(n, c, s)| ((*n).to_owned(), (*c, *s))).collect()
    }

    fn announced(claims: &mut EngineClaims) -> Vec<Claim> {
        std::iter::from_fn(|| claims.next_effect())
            .filter_map(|e| match e {
                ListEffect::Announce(claim) => Some(claim),
                _ => None,
            })
            .collect()
    }

    use EngineState::{Draining, Removed, Up};

    #[test]
    fn drain_is_announced_applied_and_withdrawn() {
        let (mut a, mut b) = (EngineClaims::new("a", 100), EngineClaims::new("b", 100));
        let all_up = list(&[("e1", 5, Up), ("e2", 0, Up), ("e3", 0, Up)]);
        a.set_own_list(1, all_up.clone());
        assert!(announced(&mut a).is_empty(), "the first list is not a change");
        a.set_own_list(2, list(&[("e1", 5, Draining), ("e2", 0, Up), ("e3", 0, Up)]));
        let claims = announced(&mut a);
        assert_eq!(claims.len(), 1);
        b.set_own_list(1, all_up.clone());
        b.receive(3, claims[0].clone());
        assert_eq!((b.state("e1", 5), b.state("e1", 4), b.state("e2", 0)), (Draining, Draining, Up));
        assert_eq!(b.state("e1", 6), Up, "a newer incarnation is not concerned");
        assert_eq!(announced(&mut b).len(), 1, "forwarded");
        b.receive(4, claims[0].clone());
        assert!(announced(&mut b).is_empty(), "forwarded only once");
        // Announced twice more for gateways that missed it.
        a.wake(60_000);
        a.wake(200_000);
        assert_eq!(announced(&mut a).len(), 2);
        assert!(a.next_wake() > Some(CLAIM_TTL_MICROS));
        a.set_own_list(300_000, all_up);
        let withdrawals = announced(&mut a);
        assert_eq!(withdrawals[0].state, Up);
        b.receive(300_001, withdrawals[0].clone());
        assert_eq!(b.state("e1", 5), Up);
        // The older claim, delayed and out of order, has no effect.
        b.receive(300_002, claims[0].clone());
        assert_eq!(b.state("e1", 5), Up);
    }

    #[test]
    fn state_claimed_by_another_gateway_is_not_announced_again() {
        let mut b = EngineClaims::new("b", 1);
        b.set_own_list(1, list(&[("e1", 0, Up), ("e2", 0, Up), ("e3", 0, Up)]));
        let claim =
            Claim { source: "a".into(), sequence: 9, engine: "e1".into(), came_up: 0, state: Removed };
        b.receive(2, claim);
        announced(&mut b);
        b.set_own_list(3, list(&[("e2", 0, Up), ("e3", 0, Up)]));
        assert!(announced(&mut b).is_empty());
    }

    #[test]
    fn list_that_loses_most_engines_at_once_is_not_announced() {
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
    fn claims_expire_and_are_bounded() {
        let mut a = EngineClaims::new("a", 1);
        for n in 0..MAX_CLAIMS as u64 + 50 {
            let (source, engine) = ("t".to_owned(), format!("e{n}"));
            a.receive(n, Claim { source, sequence: n, engine, came_up: 0, state: Removed });
        }
        assert_eq!(a.count(), MAX_CLAIMS);
        a.wake(CLAIM_TTL_MICROS + MAX_CLAIMS as u64 + 100);
        assert_eq!((a.count(), a.claimed_states().len()), (0, 0));
    }
}
