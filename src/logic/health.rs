//! Engines: the list, symptoms, silence, trials.

use std::collections::BTreeSet;

use super::*;

impl Gateway {
    pub(super) fn listed(&mut self, kind: ListKind, entries: Vec<EngineEntry>, out: &mut Vec<Action>) {
        if self.settings.list_poll_interval.is_some() && (self.asked_at.is_none() || kind == ListKind::Lost) {
            out.push(Action::Subscribe);
        }
        self.asked_at = self.asked_at.or(Some(self.now));
        match kind {
            ListKind::Lost => return,
            ListKind::Changes => {}
            ListKind::Whole | ListKind::WarmCopy => self.mark_missing(&entries),
        }
        self.enlist(entries, THREADS_PER_CORE);
        self.not_up().into_iter().for_each(|engine| self.empty_line(engine, out));
        self.drop_removed();
    }

    /// What an outcome tells of an engine's health.
    pub(super) fn symptom(&mut self, flight: &Flight, answer: &Answer, out: &mut Vec<Action>) {
        let now = self.now;
        // A wrong statement is the client's: its engine answered well, but its cost teaches nothing.
        let good = matches!(answer.outcome, Outcome::Ok | Outcome::Declined);
        let broke = [Outcome::Error, Outcome::ConnectFailed, Outcome::Reset, Outcome::Broken];
        let bad = broke.contains(&answer.outcome);
        let usual = self.fails_elsewhere(flight.engine);
        let Some(e) = self.engines.get_mut(&flight.engine) else { return };
        // The process is gone, and when it is back it is cold, seconds before the list says so: trials by all
        // gateways would push it over. It hurts a sound engine that breaks connections: that gets turns only.
        if matches!(answer.outcome, Outcome::ConnectFailed | Outcome::Reset) {
            e.broke_off(now);
        }
        if good || bad {
            let sample = match answer.outcome {
                Outcome::ConnectFailed => NO_CONNECTION,
                Outcome::Broken => BROKEN,
                _ => FAIL_SAMPLE,
            };
            e.fails += sample * (if bad { 1.0 } else { 0.0 } - e.fails);
        }
        e.heard_at = if good { now } else { e.heard_at };
        match &mut e.sick {
            Some(sick) if sick.trial == Some(answer.id) => {
                sick.trial = None;
                self.trial_done(flight.engine, good, out);
            }
            None if bad && e.fails > FAIL_OVER + FLEET_FAILS * usual => {
                self.condemn(flight.engine, "fails", out)
            }
            _ => {}
        }
    }

    fn condemn(&mut self, engine: EngineId, why: &str, out: &mut Vec<Action>) {
        let next = self.now + TRIAL_FIRST;
        let Some(e) = self.engines.get_mut(&engine) else { return };
        e.sick = Some(Sick { good: 0, wait: TRIAL_FIRST, next, trial: None, ready: false });
        out.push(Action::Log(format!("engine {:x} is left alone: {why}", engine.0)));
        self.empty_line(engine, out);
    }

    fn trial_done(&mut self, engine: EngineId, good: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(sick) = self.sick(engine) else { return };
        sick.good = if good { sick.good + 1 } else { 0 };
        sick.wait = if good { TRIAL_FIRST / 2 } else { (sick.wait * 2).min(TRIAL_LONGEST) };
        sick.next = now + sick.wait;
        if sick.good >= TRIALS {
            self.recovered(engine);
            out.push(Action::Log(format!("engine {:x} is used again", engine.0)));
        }
    }

    /// A probe tells whether a quiet engine still answers, and is the first step of a sick one's trial.
    pub(super) fn probed(&mut self, engine: EngineId, ok: bool, out: &mut Vec<Action>) {
        let Some(e) = self.engines.get_mut(&engine).filter(|e| e.probing) else { return };
        let suspect = std::mem::take(&mut e.suspect);
        e.probing = false;
        e.heard_at = if ok { self.now } else { e.heard_at };
        e.load = if ok { e.load } else { Some((FULL_LOAD, self.now)) };
        match (e.sick.is_some(), ok) {
            (false, _) if ok || !suspect => {}
            (false, _) => self.condemn(engine, "no answers", out),
            (true, true) => self.sick(engine).into_iter().for_each(|sick| sick.ready = true),
            (true, false) => self.trial_done(engine, false, out),
        }
    }

    /// A trial of a sick engine: a probe where allowed, then one light repeatable request.
    pub(super) fn trial(&mut self, engine: EngineId, out: &mut Vec<Action>) {
        let Some(e) = self.engines.get_mut(&engine) else { return };
        let Some(sick) = &mut e.sick else { return };
        // Where no light request comes to try it, it would be left alone for ever: its good probe has to do.
        if self.settings.may_probe && sick.ready && self.now > sick.next + TRIAL_LONGEST {
            sick.ready = false;
            return self.trial_done(engine, true, out);
        }
        if self.now < sick.next || sick.ready || sick.trial.is_some() || e.entry.listed != Listed::Up {
            return;
        }
        sick.next = self.now + sick.wait;
        sick.ready = !self.settings.may_probe;
        e.probing = self.settings.may_probe;
        out.extend(self.settings.may_probe.then_some(Action::Probe(engine)));
    }

    /// A sick engine that a light, repeatable request may try as it arrives: at scale none waits in a line.
    pub(super) fn trial_for(&self, id: RequestId) -> Option<EngineId> {
        let mut ready = self.engines.iter().filter(|(_, e)| e.sick.as_ref().is_some_and(|s| s.ready));
        let open = self.open.get(&id)?;
        let light = self.density(&open.request) >= self.usual_density();
        let repeats = self.class(&open.request).effect == Effect::Repeatable && open.request.pin.is_none();
        // What ends a transaction has nowhere else to go, and locks to free.
        let ends = open.request.pin.is_some_and(|p| p.uses_reserve);
        let may = (light && repeats || ends) && open.attempts + 1 < self.settings.attempts_cap;
        ready.find(|(&engine, _)| may && self.guard(id, engine) == Leave::Yes).map(|(&engine, _)| engine)
    }

    /// An engine is silent if attempts there are overdue and nothing has come from it since they should
    /// have been answered. Where more than half are, the trouble is shared and none is condemned.
    pub(super) fn find_silent(&mut self, out: &mut Vec<Action>) {
        let probes = self.settings.may_probe;
        let missed = self.settings.note_period.map(|period| NOTES_MISSED * period as f64);
        let quiet = |f: &&Flight| {
            let heard = self.engines.get(&f.engine).filter(|e| e.sick.is_none()).map(|e| e.heard_at);
            let overdue = OVERDUE * f.usual + OVERDUE_SPAN as f64;
            // A probe shows who was suspected for nothing; without one, only missing notes are sure.
            let patience = missed.map_or(overdue, |m| if probes { m.min(overdue) } else { m });
            let since = |at: Micros| f.adopted.unwrap_or(f.sent).max(at).max(self.awake) as f64;
            !f.waits && heard.is_some_and(|at| self.now as f64 > since(at) + patience)
        };
        let silent: BTreeSet<EngineId> = self.flights.values().filter(quiet).map(|f| f.engine).collect();
        if silent.len() * 2 > self.engines.len() {
            return;
        }
        for engine in silent {
            let Some(e) = self.engines.get_mut(&engine) else { continue };
            e.suspect = true;
            if !self.settings.may_probe {
                self.condemn(engine, "no answers", out);
            } else if !e.probing {
                e.probing = true;
                out.push(Action::Probe(engine));
            }
        }
    }
}
