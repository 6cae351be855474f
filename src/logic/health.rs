//! Engines: the list, symptoms, silence, trials.

use std::collections::BTreeSet;

use super::*;

impl Gateway {
    pub(super) fn on_engine_list(
        &mut self,
        kind: ListKind,
        entries: Vec<EngineEntry>,
        out: &mut Vec<Action>,
    ) {
        if self.settings.list_poll_interval.is_some()
            && (self.list_requested_at.is_none() || kind == ListKind::Lost)
        {
            out.push(Action::Subscribe);
        }
        self.list_requested_at = self.list_requested_at.or(Some(self.now));
        match kind {
            ListKind::Lost => return,
            ListKind::Changes => {}
            ListKind::Whole | ListKind::WarmCopy => self.mark_unlisted_removed(&entries),
        }
        self.apply_entries(entries, THREADS_PER_CORE);
        self.engines_not_up().into_iter().for_each(|engine| self.requeue_all(engine, out));
        self.drop_removed();
    }

    /// What an outcome tells of an engine's health.
    pub(super) fn update_health(&mut self, attempt: &Attempt, answer: &Answer, out: &mut Vec<Action>) {
        let now = self.now;
        // A wrong statement is the client's: its engine answered well, but its cost teaches nothing.
        let good = matches!(answer.outcome, Outcome::Ok | Outcome::Declined);
        let broke = [Outcome::Error, Outcome::ConnectFailed, Outcome::Reset, Outcome::Broken];
        let bad = broke.contains(&answer.outcome);
        let usual = self.failure_rate_elsewhere(attempt.engine);
        let Some(state) = self.engines.get_mut(&attempt.engine) else { return };
        // The process is gone, and when it is back it is cold, seconds before the list says so: trials by all
        // gateways would push it over. It hurts a sound engine that breaks connections: that gets turns only.
        if matches!(answer.outcome, Outcome::ConnectFailed | Outcome::Reset) {
            state.connection_lost(now);
        }
        if good || bad {
            let sample = match answer.outcome {
                Outcome::ConnectFailed => NO_CONNECTION,
                Outcome::Broken => BROKEN,
                _ => FAIL_SAMPLE,
            };
            state.failure_rate += sample * (if bad { 1.0 } else { 0.0 } - state.failure_rate);
        }
        state.last_heard_at = if good { now } else { state.last_heard_at };
        match &mut state.quarantine {
            Some(quarantine) if quarantine.trial_request == Some(answer.id) => {
                quarantine.trial_request = None;
                self.on_trial_result(attempt.engine, good, out);
            }
            None if bad && state.failure_rate > FAIL_OVER + FLEET_FAILS * usual => {
                self.quarantine_engine(attempt.engine, "fails", out)
            }
            _ => {}
        }
    }

    fn quarantine_engine(&mut self, engine: EngineId, why: &str, out: &mut Vec<Action>) {
        let next_trial_at = self.now + TRIAL_FIRST;
        let Some(state) = self.engines.get_mut(&engine) else { return };
        state.quarantine = Some(Quarantine {
            successes: 0,
            interval: TRIAL_FIRST,
            next_trial_at,
            trial_request: None,
            accepts_trial: false,
        });
        out.push(Action::Log(format!("engine {:x} is left alone: {why}", engine.0)));
        self.requeue_all(engine, out);
    }

    fn on_trial_result(&mut self, engine: EngineId, good: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(quarantine) = self.quarantine_mut(engine) else { return };
        quarantine.successes = if good { quarantine.successes + 1 } else { 0 };
        quarantine.interval =
            if good { TRIAL_FIRST / 2 } else { (quarantine.interval * 2).min(TRIAL_LONGEST) };
        quarantine.next_trial_at = now + quarantine.interval;
        if quarantine.successes >= TRIALS {
            self.end_quarantine(engine);
            out.push(Action::Log(format!("engine {:x} is used again", engine.0)));
        }
    }

    /// A probe tells whether a quiet engine still answers, and is the first step of a sick one's trial.
    pub(super) fn on_probe_result(&mut self, engine: EngineId, ok: bool, out: &mut Vec<Action>) {
        let Some(state) = self.engines.get_mut(&engine).filter(|state| state.probe_in_flight) else { return };
        let suspect = std::mem::take(&mut state.suspected);
        state.probe_in_flight = false;
        state.last_heard_at = if ok { self.now } else { state.last_heard_at };
        state.reported_load = if ok { state.reported_load } else { Some((FULL_LOAD, self.now)) };
        match (state.quarantine.is_some(), ok) {
            (false, _) if ok || !suspect => {}
            (false, _) => self.quarantine_engine(engine, "no answers", out),
            (true, true) => {
                self.quarantine_mut(engine).into_iter().for_each(|quarantine| quarantine.accepts_trial = true)
            }
            (true, false) => self.on_trial_result(engine, false, out),
        }
    }

    /// A trial of a sick engine: a probe where allowed, then one light repeatable request.
    pub(super) fn start_trial(&mut self, engine: EngineId, out: &mut Vec<Action>) {
        let Some(state) = self.engines.get_mut(&engine) else { return };
        let Some(quarantine) = &mut state.quarantine else { return };
        // Where no light request comes to try it, it would be left alone for ever: its good probe has to do.
        if self.settings.may_probe
            && quarantine.accepts_trial
            && self.now > quarantine.next_trial_at + TRIAL_LONGEST
        {
            quarantine.accepts_trial = false;
            return self.on_trial_result(engine, true, out);
        }
        if self.now < quarantine.next_trial_at
            || quarantine.accepts_trial
            || quarantine.trial_request.is_some()
            || state.entry.listed != Listed::Up
        {
            return;
        }
        quarantine.next_trial_at = self.now + quarantine.interval;
        quarantine.accepts_trial = !self.settings.may_probe;
        state.probe_in_flight = self.settings.may_probe;
        out.extend(self.settings.may_probe.then_some(Action::Probe(engine)));
    }

    /// A sick engine that a light, repeatable request may try as it arrives: at scale none waits in a line.
    pub(super) fn engine_to_try(&self, id: RequestId) -> Option<EngineId> {
        let mut ready = self
            .engines
            .iter()
            .filter(|(_, state)| state.quarantine.as_ref().is_some_and(|s| s.accepts_trial));
        let open = self.open_requests.get(&id)?;
        let light = self.worth_density(&open.request) >= self.mean_density();
        let repeats = self.class(&open.request).effect == Effect::Repeatable && open.request.pin.is_none();
        // What ends a transaction has nowhere else to go, and locks to free.
        let ends = open.request.pin.is_some_and(|p| p.uses_reserve);
        let may = (light && repeats || ends) && open.attempts + 1 < self.settings.attempts_cap;
        ready
            .find(|(&engine, _)| may && self.check_dispatch(id, engine) == Verdict::Allow)
            .map(|(&engine, _)| engine)
    }

    /// An engine is silent if attempts there are overdue and nothing has come from it since they should
    /// have been answered. Where more than half are, the trouble is shared and none is condemned.
    pub(super) fn suspect_silent_engines(&mut self, out: &mut Vec<Action>) {
        let probes = self.settings.may_probe;
        let missed = self.settings.note_period.map(|period| NOTES_MISSED * period as f64);
        let quiet = |f: &&Attempt| {
            let heard = self
                .engines
                .get(&f.engine)
                .filter(|state| state.quarantine.is_none())
                .map(|state| state.last_heard_at);
            let overdue = OVERDUE * f.expected_duration + OVERDUE_SPAN as f64;
            // A probe shows who was suspected for nothing; without one, only missing notes are sure.
            let patience = missed.map_or(overdue, |m| if probes { m.min(overdue) } else { m });
            let since = |at: Micros| f.adopted_at.unwrap_or(f.sent_at).max(at).max(self.resumed_at) as f64;
            !f.waits_for_memory && heard.is_some_and(|at| self.now as f64 > since(at) + patience)
        };
        let silent: BTreeSet<EngineId> = self.in_flight.values().filter(quiet).map(|f| f.engine).collect();
        if silent.len() * 2 > self.engines.len() {
            return;
        }
        for engine in silent {
            let Some(state) = self.engines.get_mut(&engine) else { continue };
            state.suspected = true;
            if !self.settings.may_probe {
                self.quarantine_engine(engine, "no answers", out);
            } else if !state.probe_in_flight {
                state.probe_in_flight = true;
                out.push(Action::Probe(engine));
            }
        }
    }
}
