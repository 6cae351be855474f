//! The list of engines and their health: failures, silence, quarantine and trials.

use std::collections::BTreeSet;

use super::*;

impl Gateway {
    /// Applies a list of engines and places requests again that are queued for engines no longer up.
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
        self.apply_entries(entries, INITIAL_THREADS_PER_CORE);
        self.engines_not_up().into_iter().for_each(|engine| self.requeue_all(engine, out));
        self.drop_removed();
    }

    /// Updates the health of an engine with the outcome of an attempt.
    pub(super) fn update_health(&mut self, attempt: &Attempt, answer: &Answer, out: &mut Vec<Action>) {
        let now = self.now;
        // A declined request is a fault of the client: its engine is healthy, though nothing is learned of
        // its cost.
        let succeeded = matches!(answer.outcome, Outcome::Ok | Outcome::Declined);
        let failures = [Outcome::Error, Outcome::ConnectFailed, Outcome::Reset, Outcome::Broken];
        let failed = failures.contains(&answer.outcome);
        let fleet_failure_rate = self.failure_rate_elsewhere(attempt.engine);
        let Some(state) = self.engines.get_mut(&attempt.engine) else { return };
        // The process is probably gone. When it is back it is cold, seconds before the list says so, and
        // trials by all gateways would crash it. The price is that a healthy engine with broken connections
        // counts as cold, too, and only gets requests in turns.
        if matches!(answer.outcome, Outcome::ConnectFailed | Outcome::Reset) {
            state.connection_lost(now);
        }
        if succeeded || failed {
            let weight = match answer.outcome {
                Outcome::ConnectFailed => CONNECT_FAILURE_WEIGHT,
                Outcome::Broken => BROKEN_CONNECTION_WEIGHT,
                _ => FAILURE_SAMPLE_WEIGHT,
            };
            state.failure_rate += weight * (if failed { 1.0 } else { 0.0 } - state.failure_rate);
        }
        if succeeded {
            state.last_heard_at = now;
        }
        match &mut state.quarantine {
            Some(quarantine) if quarantine.trial_request == Some(answer.id) => {
                quarantine.trial_request = None;
                self.on_trial_result(attempt.engine, succeeded, out);
            }
            None if failed => {
                let limit = QUARANTINE_FAILURE_RATE + FLEET_FAILURE_FACTOR * fleet_failure_rate;
                if state.failure_rate > limit {
                    self.quarantine_engine(attempt.engine, "fails", out);
                }
            }
            _ => {}
        }
    }

    /// Stops the use of an engine until trials succeed.
    fn quarantine_engine(&mut self, engine: EngineId, reason: &str, out: &mut Vec<Action>) {
        let next_trial_at = self.now + FIRST_TRIAL_DELAY_US;
        let Some(state) = self.engines.get_mut(&engine) else { return };
        state.quarantine = Some(Quarantine {
            successes: 0,
            interval: FIRST_TRIAL_DELAY_US,
            next_trial_at,
            trial_request: None,
            accepts_trial: false,
        });
        out.push(Action::Log(format!("engine {:x} is left alone: {reason}", engine.0)));
        self.requeue_all(engine, out);
    }

    /// Records the result of a trial. Failed trials double the time to the next one.
    fn on_trial_result(&mut self, engine: EngineId, succeeded: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(quarantine) = self.quarantine_mut(engine) else { return };
        quarantine.successes = if succeeded { quarantine.successes + 1 } else { 0 };
        quarantine.interval = if succeeded {
            FIRST_TRIAL_DELAY_US / 2
        } else {
            (quarantine.interval * 2).min(MAX_TRIAL_DELAY_US)
        };
        quarantine.next_trial_at = now + quarantine.interval;
        if quarantine.successes >= TRIALS_TO_RECOVER {
            self.end_quarantine(engine);
            out.push(Action::Log(format!("engine {:x} is used again", engine.0)));
        }
    }

    /// Handles the result of a probe: whether a silent engine still answers, or the first step of a trial.
    pub(super) fn on_probe_result(&mut self, engine: EngineId, ok: bool, out: &mut Vec<Action>) {
        let Some(state) = self.engines.get_mut(&engine).filter(|state| state.probe_in_flight) else { return };
        let suspected = std::mem::take(&mut state.suspected);
        state.probe_in_flight = false;
        if ok {
            state.last_heard_at = self.now;
        } else {
            state.reported_load = Some((FULL_LOAD, self.now));
        }
        match (&mut state.quarantine, ok) {
            (None, true) => {}
            (None, false) if suspected => self.quarantine_engine(engine, "no answers", out),
            (None, false) => {}
            (Some(quarantine), true) => quarantine.accepts_trial = true,
            (Some(_), false) => self.on_trial_result(engine, false, out),
        }
    }

    /// Starts a trial of a quarantined engine when it is due: a probe where allowed, then one light
    /// repeatable request.
    pub(super) fn start_trial(&mut self, engine: EngineId, out: &mut Vec<Action>) {
        let Some(state) = self.engines.get_mut(&engine) else { return };
        let Some(quarantine) = &mut state.quarantine else { return };
        // If no light request arrives, the quarantine would never end: then the successful probe counts as
        // the trial.
        let was_probed = self.settings.may_probe && quarantine.accepts_trial;
        if was_probed && self.now > quarantine.next_trial_at + MAX_TRIAL_DELAY_US {
            quarantine.accepts_trial = false;
            return self.on_trial_result(engine, true, out);
        }
        let in_trial = quarantine.accepts_trial || quarantine.trial_request.is_some();
        if self.now < quarantine.next_trial_at || in_trial || state.entry.listed != Listed::Up {
            return;
        }
        quarantine.next_trial_at = self.now + quarantine.interval;
        quarantine.accepts_trial = !self.settings.may_probe;
        state.probe_in_flight = self.settings.may_probe;
        out.extend(self.settings.may_probe.then_some(Action::Probe(engine)));
    }

    /// A quarantined engine for which this request can be the trial. It is chosen when a light, repeatable
    /// request arrives, because in a large fleet such requests are hardly ever found waiting.
    pub(super) fn engine_to_try(&self, id: RequestId) -> Option<EngineId> {
        let accepts_trial = |state: &EngineState| state.quarantine.as_ref().is_some_and(|q| q.accepts_trial);
        let mut candidates = self.engines.iter().filter(|(_, state)| accepts_trial(state));
        let open = self.open_requests.get(&id)?;
        let is_light = self.worth_density(&open.request) >= self.mean_worth_density();
        let is_repeatable =
            self.class(&open.request).effect == Effect::Repeatable && open.request.pin.is_none();
        // The end of a transaction can't go to another engine and releases locks.
        let ends_transaction = open.request.pin.is_some_and(|p| p.uses_reserve);
        let suitable =
            (is_light && is_repeatable || ends_transaction) && open.attempts + 1 < self.settings.attempts_cap;
        let engine =
            candidates.find(|(&engine, _)| suitable && self.check_dispatch(id, engine) == Verdict::Allow);
        engine.map(|(&engine, _)| engine)
    }

    /// Probes or quarantines silent engines. An engine is silent if attempts there are overdue and nothing
    /// has come from it since they should have been answered. If more than half of the engines are silent the
    /// cause is a shared one, and none is suspected.
    pub(super) fn suspect_silent_engines(&mut self, out: &mut Vec<Action>) {
        let may_probe = self.settings.may_probe;
        let note_limit = self.settings.note_period.map(|period| MAX_MISSED_NOTES * period as f64);
        let is_silent = |attempt: &&Attempt| {
            let state = self.engines.get(&attempt.engine).filter(|state| state.quarantine.is_none());
            let Some(state) = state else { return false };
            let overdue = OVERDUE_FACTOR * attempt.expected_duration + OVERDUE_MARGIN_US as f64;
            // A probe clears an engine that was wrongly suspected. Without probes, only missing notes are
            // reliable.
            let limit =
                note_limit.map_or(overdue, |limit| if may_probe { limit.min(overdue) } else { limit });
            let started_at = attempt.adopted_at.unwrap_or(attempt.sent_at);
            let silent_since = started_at.max(state.last_heard_at).max(self.resumed_at) as f64;
            !attempt.waits_for_memory && self.now as f64 > silent_since + limit
        };
        let silent: BTreeSet<EngineId> =
            self.in_flight.values().filter(is_silent).map(|attempt| attempt.engine).collect();
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
