//! Sending, how attempts get on and end, and the end of a request.

use super::*;

impl Gateway {
    pub(super) fn send(&mut self, id: RequestId, engine: EngineId, out: &mut Vec<Action>) {
        let (Some(open), Some(state)) = (self.open_requests.get(&id), self.engines.get(&engine)) else {
            return;
        };
        let request = &open.request;
        let (threads, grant) = (self.threads(request), self.memory_grant(request, state));
        let usual = self.expected_duration(request, state);
        let until = self.attempt_timeout(open, usual);
        let attempt = Attempt::new(open, engine, (self.now, until), (threads, grant), usual);
        let weight = self.cold_weight(open);
        if self.settings.grants || self.settings.priorities {
            let memory_mb = if self.settings.grants { grant } else { 0.0 };
            out.push(Action::Terms { id, memory_mb, rank: self.priority(request) });
        }
        out.push(Action::Dispatch { id, engine, until });
        self.record_send(id, attempt, Some(weight), WARM_GROUPS);
    }

    /// How long an attempt should take.
    pub(super) fn expected_duration(&self, request: &Request, state: &EngineState) -> f64 {
        let class = &self.class_stats[request.class.0];
        let slow =
            class.slowdown.blended_with(1.0, LEAN).max(state.slowdown.blended_with(1.0, LEAN)).max(1.0);
        self.predicted_work(request, Some(state)) / self.threads(request) * slow / self.warm_capacity(state)
    }

    /// When to give an attempt up: with the client, or earlier where another may follow and has time.
    fn attempt_timeout(&self, open: &OpenRequest, usual: f64) -> Micros {
        let due = open.request.deadline;
        let last = open.attempts + 1 >= self.settings.attempts_cap || self.budget_left() < 1.0;
        let stubborn = if self.settings.may_cancel { 1.0 } else { STUBBORN };
        let patience = stubborn * (PATIENCE * usual + PATIENCE_SPAN as f64);
        let until = self.now.saturating_add(patience as Micros);
        let again = !last && self.class(&open.request).effect != Effect::Once && open.request.pin.is_none();
        let in_time = again && until.saturating_add(usual as Micros) < due;
        [due, until][usize::from(in_time)]
    }

    /// Light queries first, by worth for each unit of work against the average.
    fn priority(&self, request: &Request) -> u8 {
        let ratio = self.worth_density(request) / self.mean_density();
        1 + RANKS.iter().filter(|&&r| self.settings.priorities && ratio >= r).count() as u8
    }

    pub(super) fn on_answer(&mut self, answer: Answer, out: &mut Vec<Action>) {
        let Some(attempt) = self.in_flight.remove(&(answer.id, answer.attempt)) else { return };
        let engine = attempt.engine;
        self.record_load(engine, answer.load);
        self.release_attempt(&attempt, &answer);
        self.update_health(&attempt, &answer, out);
        if let Some(open) = self.open_requests.get_mut(&answer.id) {
            let proved = matches!(answer.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
            // Nothing tells of another gateway's attempt that it was never written.
            if proved
                && attempt.adopted_at.is_none()
                && open.first_uncertain.is_some_and(|m| m.0 == answer.attempt)
            {
                open.first_uncertain = None;
            }
            open.last_failed_on = Some(engine);
            open.state = RequestState::Waiting;
            if answer.complete {
                self.close_request(answer.id, out);
            } else {
                self.place(answer.id, out);
            }
        }
        self.advance_key(attempt.request.key.as_ref(), out);
        self.start_queued(engine, out);
        self.steal_work(engine, out);
        self.engines_with_queue().into_iter().for_each(|engine| self.start_queued(engine, out));
    }

    /// Frees what the attempt held and learns from it.
    fn release_attempt(&mut self, attempt: &Attempt, answer: &Answer) {
        let unsure = [Outcome::Timeout, Outcome::Reset, Outcome::Broken, Outcome::Cancelled];
        if unsure.contains(&answer.outcome) {
            self.block_key(attempt.request.key.as_ref());
        }
        if let Some(state) = self.engines.get_mut(&attempt.engine) {
            state.attempt_finished(attempt);
            // It turns away at once and so looks idle: it would draw all that the others can't take.
            state.reported_load = if answer.outcome == Outcome::Full {
                Some((FULL_LOAD, self.now))
            } else {
                state.reported_load
            };
            if !self.settings.may_cancel && answer.outcome == Outcome::Timeout {
                // Nothing stops the work of an attempt given up here: it holds its threads a while yet.
                state.abandoned.push((
                    self.now + attempt.expected_duration as Micros,
                    attempt.threads,
                    attempt.memory,
                ));
            }
        }
        // Between two gateways nobody asked for its pages: its time would say that engines are slow.
        if answer.outcome == Outcome::Ok && attempt.adopted_at.is_none() {
            self.learn_from(attempt, answer);
        }
    }

    /// The one place that ends requests: refused where a further try is harmless, else failed.
    pub(super) fn end_unserved(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let effect = self.class(&open.request).effect;
        // A client's next try is a repeat to the engines only if it carries the same mark.
        let deduplicated = effect.is_repeatable_anywhere() && open.request.has_dedup_key;
        let harmless = (effect == Effect::Repeatable || deduplicated) && open.request.pin.is_none();
        if harmless || !open.may_have_run() {
            // When the debt of now has drained, spread by half so that clients don't return together.
            let wait = (self.fleet_debt() / self.fleet_drain_rate()).max(self.min_retry_after as f64);
            let wait = wait * (0.5 + unit_fraction(self.next_random()));
            let retry_after = (wait as Micros).min(self.settings.max_retry_after.unwrap_or(0));
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.close_request(id, out);
    }

    /// A request is over: what of it is out is withdrawn, and its key may go on.
    pub(super) fn close_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(open) = self.open_requests.remove(&id) else { return };
        if self.settings.may_cancel {
            out.extend(self.mark_cancelled(id).into_iter().map(|attempt| Action::Cancel { id, attempt }));
        }
        self.advance_key(open.request.key.as_ref(), out);
    }

    /// An engine tells how an attempt gets on. One that does little for its age (a bad plan, a slow engine, a
    /// load in its way) gives way to a fresh one; one that can't end in time is ended. Estimates far too low
    /// could make the same query start again up to its cap.
    pub(super) fn on_note(&mut self, id: RequestId, attempt: u32, note: Note, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(f) = self.in_flight.get_mut(&(id, attempt)) else { return };
        let left = f.record_note(note, now);
        let Some(state) = self.engines.get_mut(&f.engine) else { return };
        state.last_heard_at = now;
        state.reported_load =
            if note == Note::WaitsForMemory { Some((FULL_LOAD, now)) } else { state.reported_load };
        left.into_iter().for_each(|left| self.act_on_remaining_time(id, attempt, left, out));
    }

    /// Decides on an attempt that seems to need `left` more.
    fn act_on_remaining_time(&mut self, id: RequestId, attempt: u32, left: f64, out: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let slow = self.slowdown.blended_with(1.0, 3.0).max(1.0);
        let fresh = self.predicted_work(&open.request, None) / self.threads(&open.request) * slow;
        let rest = open.request.deadline.saturating_sub(self.now) as f64;
        let again = self.class(&open.request).effect == Effect::Repeatable
            && open.request.pin.is_none()
            && open.attempts < self.settings.attempts_cap
            && self.budget_left() >= 1.0;
        let Some(f) = self.in_flight.get_mut(&(id, attempt)) else { return };
        if !self.settings.may_cancel || f.cancelled {
            return;
        }
        if again && left > RESTART * fresh && fresh < rest {
            f.cancelled = true;
            out.push(Action::Cancel { id, attempt });
        } else if left.is_finite() && left * HOPELESS > rest {
            self.end_unserved(id, out);
        }
    }
}
