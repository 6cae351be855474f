//! Textbook policies in the module's place, for comparison on the same day through the same gateway. They send at
//! once, time out with the client, and try repeatable statements again up to the cap. They keep placement and drains,
//! and no other rule.

use std::collections::BTreeMap;

use violetward::{
    Action, Effect, EngineEntry, EngineId, Event, Listed, Micros, Outcome, Request, RequestId, Settings,
};
use violetward_gateway::core::Decide;

/// Which policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Any engine that is up.
    Random,
    /// The engine on which this gateway has least in flight.
    LeastInFlight,
}

/// A textbook policy.
pub struct Baseline {
    rule: Rule,
    settings: Settings,
    engines: BTreeMap<EngineId, (EngineEntry, u32)>,
    open: BTreeMap<RequestId, (Request, u32)>,
    out: BTreeMap<(RequestId, u32), EngineId>,
    dice: u64,
}

impl Baseline {
    /// A policy that knows the settings.
    pub fn new(rule: Rule, settings: Settings, seed: u64) -> Self {
        let (engines, open, out) = Default::default();
        Baseline { rule, settings, engines, open, out, dice: seed | 1 }
    }

    fn draw(&mut self) -> u64 {
        // xorshift64* (Marsaglia, 2003).
        self.dice ^= self.dice >> 12;
        self.dice ^= self.dice << 25;
        self.dice ^= self.dice >> 27;
        self.dice.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    fn send(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let dice = self.draw();
        let Some((request, attempts)) = self.open.get_mut(&id) else { return };
        let class = &self.settings.classes[request.class.0];
        let fits = |e: &EngineEntry| {
            e.listed == Listed::Up && class.kinds.as_ref().is_none_or(|k| k.contains(&e.kind))
        };
        let up: Vec<(u32, EngineId)> =
            self.engines.values().filter(|e| fits(&e.0)).map(|e| (e.1, e.0.engine)).collect();
        let least = up.iter().map(|e| e.0).min().unwrap_or(0);
        let best: Vec<EngineId> =
            up.iter().filter(|e| self.rule == Rule::Random || e.0 == least).map(|e| e.1).collect();
        if best.is_empty() {
            self.open.remove(&id);
            return out.push(Action::Refuse { id, retry_after: 0 });
        }
        let engine = best[(dice >> 33) as usize % best.len()];
        let attempt = *attempts;
        *attempts += 1;
        let until = request.deadline;
        self.out.insert((id, attempt), engine);
        self.engines.get_mut(&engine).expect("just found").1 += 1;
        out.push(Action::Dispatch { id, engine, until });
    }
}

impl Decide for Baseline {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Engines { entries, .. } => {
                let known = std::mem::take(&mut self.engines);
                let count = |id: &EngineId| known.get(id).map_or(0, |e| e.1);
                self.engines =
                    entries.into_iter().map(|e| (e.engine, (e.clone(), count(&e.engine)))).collect();
            }
            Event::Request(request) | Event::Guest(request) => {
                let id = request.id;
                self.open.insert(id, (request, 0));
                self.send(id, out);
            }
            Event::Lapsed(id) => {
                if let Some((_, attempts)) = self.open.remove(&id) {
                    if self.out.contains_key(&(id, attempts.wrapping_sub(1))) {
                        out.push(Action::Cancel { id, attempt: attempts - 1 });
                    }
                }
            }
            Event::Streaming(_) => {}
            Event::Answer(answer) => {
                if let Some(engine) = self.out.remove(&(answer.id, answer.attempt)) {
                    if let Some(e) = self.engines.get_mut(&engine) {
                        e.1 = e.1.saturating_sub(1);
                    }
                }
                if answer.complete {
                    self.open.remove(&answer.id);
                    return;
                }
                let Some((request, attempts)) = self.open.get(&answer.id) else { return };
                let class = &self.settings.classes[request.class.0];
                let unseen = matches!(answer.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
                let again = unseen || class.effect == Effect::Repeatable;
                if again && *attempts < self.settings.attempts_cap && now < request.deadline {
                    self.send(answer.id, out);
                } else {
                    self.open.remove(&answer.id);
                    out.push(if again {
                        Action::Refuse { id: answer.id, retry_after: 0 }
                    } else {
                        Action::Fail(answer.id)
                    });
                }
            }
            _ => {}
        }
    }
}
