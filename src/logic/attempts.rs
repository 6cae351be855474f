//! Sending attempts, their progress and end, and the end of a request.

use super::*;

impl Gateway {
    /// Sends the next attempt of a request that `check_dispatch` allows.
    pub(super) fn send(&mut self, id: RequestId, engine: EngineId, out: &mut Vec<Action>) {
        let (Some(open), Some(state)) = (self.open_requests.get(&id), self.engines.get(&engine)) else {
            return;
        };
        let request = &open.request;
        let (threads, grant) = (self.threads(request), self.memory_grant(request, state));
        let expected_duration = self.expected_duration(request, state);
        let until = self.attempt_timeout(open, expected_duration);
        let attempt = Attempt::new(open, engine, (self.now, until), (threads, grant), expected_duration);
        let cold_weight = self.cold_weight(open);
        if self.settings.grants || self.settings.priorities {
            let memory_mb = if self.settings.grants { grant } else { 0.0 };
            out.push(Action::Terms { id, memory_mb, rank: self.priority(request) });
        }
        out.push(Action::Dispatch { id, engine, until });
        self.record_send(id, attempt, Some(cold_weight), WARM_GROUPS_PER_ENGINE);
    }

    /// How long an attempt is expected to take, in microseconds.
    pub(super) fn expected_duration(&self, request: &Request, state: &EngineState) -> f64 {
        let class_slowdown = self.class_stats[request.class.0].slowdown.blended_with(1.0, PRIOR_SAMPLES);
        let engine_slowdown = state.slowdown.blended_with(1.0, PRIOR_SAMPLES);
        let slowdown = class_slowdown.max(engine_slowdown).max(1.0);
        self.predicted_work(request, Some(state)) / self.threads(request) * slowdown
            / self.capacity_fraction(state)
    }

    /// When an attempt times out: at the request's deadline, or earlier if another attempt may follow and has
    /// enough time left.
    fn attempt_timeout(&self, open: &OpenRequest, expected_duration: f64) -> Micros {
        let deadline = open.request.deadline;
        let is_last = open.attempts + 1 >= self.settings.attempts_cap || self.budget_left() < 1.0;
        let factor = if self.settings.may_cancel { 1.0 } else { NO_CANCEL_TIMEOUT_FACTOR };
        let timeout = factor * (TIMEOUT_FACTOR * expected_duration + TIMEOUT_MARGIN_US as f64);
        let timeout_at = self.now.saturating_add(timeout as Micros);
        let is_once = self.class(&open.request).effect == Effect::Once;
        let may_retry = !is_last && !is_once && open.request.pin.is_none();
        let retry_fits = may_retry && timeout_at.saturating_add(expected_duration as Micros) < deadline;
        if retry_fits {
            timeout_at
        } else {
            deadline
        }
    }

    /// The priority of a query, by its worth per unit of work relative to the average: light queries go
    /// first.
    fn priority(&self, request: &Request) -> u8 {
        let density = self.worth_density(request) / self.mean_worth_density();
        let exceeded = PRIORITY_DENSITIES.iter().filter(|&&limit| density >= limit).count() as u8;
        1 + if self.settings.priorities { exceeded } else { 0 }
    }

    /// Handles the end of an attempt: the request is closed or placed again, and the freed capacity used.
    pub(super) fn on_answer(&mut self, answer: Answer, out: &mut Vec<Action>) {
        let Some(attempt) = self.in_flight.remove(&(answer.id, answer.attempt)) else { return };
        let engine = attempt.engine;
        self.record_load(engine, answer.load);
        self.release_attempt(&attempt, &answer);
        self.update_health(&attempt, &answer, out);
        if let Some(open) = self.open_requests.get_mut(&answer.id) {
            let not_run = matches!(answer.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
            // No outcome proves that another gateway's attempt was never written to its connection.
            let proves_not_run = not_run && attempt.adopted_at.is_none();
            if proves_not_run && open.first_uncertain.is_some_and(|first| first.0 == answer.attempt) {
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

    /// Releases the resources of an attempt and learns from its answer.
    fn release_attempt(&mut self, attempt: &Attempt, answer: &Answer) {
        let may_still_run = [Outcome::Timeout, Outcome::Reset, Outcome::Broken, Outcome::Cancelled];
        if may_still_run.contains(&answer.outcome) {
            self.block_key(attempt.request.key.as_ref());
        }
        if let Some(state) = self.engines.get_mut(&attempt.engine) {
            state.attempt_finished(attempt);
            // A full engine rejects at once and so looks idle: it would attract all requests that others
            // can't take.
            if answer.outcome == Outcome::Full {
                state.reported_load = Some((FULL_LOAD, self.now));
            }
            if !self.settings.may_cancel && answer.outcome == Outcome::Timeout {
                // The attempt can't be stopped, so it still holds its threads for a while.
                let until = self.now + attempt.expected_duration as Micros;
                state.abandoned.push((until, attempt.threads, attempt.memory_mb));
            }
        }
        // An adopted attempt paused while no gateway fetched its pages: its duration would make engines look
        // slow.
        if answer.outcome == Outcome::Ok && attempt.adopted_at.is_none() {
            self.learn_from(attempt, answer);
        }
    }

    /// Ends a request without an answer: refuses it if a retry by the client is harmless, otherwise fails it.
    /// No other function refuses or fails requests.
    pub(super) fn end_unserved(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let repeatable = match self.class(&open.request).effect {
            Effect::Repeatable => true,
            // Engines only recognise a client's retry as a repeat if it carries the same deduplication key,
            // and while they remember the request.
            Effect::Keyed { scope: KeyScope::All, window } => {
                open.request.has_dedup_key && self.is_remembered(open, window)
            }
            Effect::Keyed { .. } | Effect::Once => false,
        };
        let harmless = repeatable && open.request.pin.is_none();
        if harmless || !open.may_have_run() {
            // The time until the present debt has drained, varied by half so that clients don't retry all at
            // once.
            let wait = (self.fleet_debt() / self.fleet_drain_rate()).max(self.min_retry_after as f64);
            let wait = wait * (0.5 + unit_fraction(self.next_random()));
            let retry_after = (wait as Micros).min(self.settings.max_retry_after.unwrap_or(0));
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.close_request(id, out);
    }

    /// Removes a request that is over: cancels its attempts in flight and lets the next request of its key
    /// run.
    pub(super) fn close_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(open) = self.open_requests.remove(&id) else { return };
        if self.settings.may_cancel {
            out.extend(self.mark_cancelled(id).into_iter().map(|attempt| Action::Cancel { id, attempt }));
        }
        self.advance_key(open.request.key.as_ref(), out);
    }

    /// Handles a progress note. An attempt that is slow for its age (a bad plan, a slow engine, a wait for a
    /// request that loads data) is replaced by a new one, and a request that can't finish in time is ended.
    /// If its estimate is far too low, a query may be restarted until it reaches the limit of attempts.
    pub(super) fn on_note(&mut self, id: RequestId, number: u32, note: Note, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(attempt) = self.in_flight.get_mut(&(id, number)) else { return };
        let remaining = attempt.record_note(note, now);
        let Some(state) = self.engines.get_mut(&attempt.engine) else { return };
        state.last_heard_at = now;
        if note == Note::WaitsForMemory {
            state.reported_load = Some((FULL_LOAD, now));
        }
        if let Some(remaining) = remaining {
            self.act_on_remaining_time(id, number, remaining, out);
        }
    }

    /// Replaces an attempt or ends its request if the estimated `remaining` time, in microseconds, is too
    /// long.
    fn act_on_remaining_time(&mut self, id: RequestId, number: u32, remaining: f64, out: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let slowdown = self.slowdown.blended_with(1.0, FLEET_PRIOR_SAMPLES).max(1.0);
        let new_attempt_duration =
            self.predicted_work(&open.request, None) / self.threads(&open.request) * slowdown;
        let time_to_deadline = open.request.deadline.saturating_sub(self.now) as f64;
        let may_restart = self.class(&open.request).effect == Effect::Repeatable
            && open.request.pin.is_none()
            && open.attempts < self.settings.attempts_cap
            && self.budget_left() >= 1.0;
        let Some(attempt) = self.in_flight.get_mut(&(id, number)) else { return };
        if !self.settings.may_cancel || attempt.cancelled {
            return;
        }
        if may_restart
            && remaining > RESTART_FACTOR * new_attempt_duration
            && new_attempt_duration < time_to_deadline
        {
            attempt.cancelled = true;
            out.push(Action::Cancel { id, attempt: number });
        } else if remaining.is_finite() && remaining * HOPELESS_FACTOR > time_to_deadline {
            self.end_unserved(id, out);
        }
    }
}
