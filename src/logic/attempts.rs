//! Sending, how attempts get on and end, and the end of a request.

use super::*;

impl Gateway {
    pub(super) fn send(&mut self, id: RequestId, engine: EngineId, out: &mut Vec<Action>) {
        let (Some(open), Some(e)) = (self.open.get(&id), self.engines.get(&engine)) else { return };
        let request = &open.request;
        let (threads, grant) = (self.threads(request), self.grant(request, e));
        let usual = self.usual(request, e);
        let until = self.until(open, usual);
        let flight = Flight::new(open, engine, (self.now, until), (threads, grant), usual);
        let weight = self.cold_weight(open);
        if self.settings.grants || self.settings.priorities {
            let memory_mb = if self.settings.grants { grant } else { 0.0 };
            out.push(Action::Terms { id, memory_mb, rank: self.rank(request) });
        }
        out.push(Action::Dispatch { id, engine, until });
        self.sent(id, flight, Some(weight), WARM_GROUPS);
    }

    /// How long an attempt should take.
    pub(super) fn usual(&self, request: &Request, e: &Engine) -> f64 {
        let class = &self.learned[request.class.0];
        let slow = class.slow.leaning(1.0, LEAN).max(e.slow.leaning(1.0, LEAN)).max(1.0);
        self.cost(request, Some(e)) / self.threads(request) * slow / self.warmth(e)
    }

    /// When to give an attempt up: with the client, or earlier where another may follow and has time.
    fn until(&self, open: &Open, usual: f64) -> Micros {
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
    fn rank(&self, request: &Request) -> u8 {
        let ratio = self.density(request) / self.usual_density();
        1 + RANKS.iter().filter(|&&r| self.settings.priorities && ratio >= r).count() as u8
    }

    pub(super) fn answered(&mut self, answer: Answer, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&(answer.id, answer.attempt)) else { return };
        let engine = flight.engine;
        self.reported(engine, answer.load);
        self.settle(&flight, &answer);
        self.symptom(&flight, &answer, out);
        if let Some(open) = self.open.get_mut(&answer.id) {
            let proved = matches!(answer.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
            // Nothing tells of another gateway's attempt that it was never written.
            if proved && flight.adopted.is_none() && open.maybe.is_some_and(|m| m.0 == answer.attempt) {
                open.maybe = None;
            }
            open.avoid = Some(engine);
            open.place = Place::Parked;
            if answer.complete {
                self.forget(answer.id, out);
            } else {
                self.place(answer.id, out);
            }
        }
        self.advance(flight.request.key.as_ref(), out);
        self.pump(engine, out);
        self.fetch_work(engine, out);
        self.lines().into_iter().for_each(|engine| self.pump(engine, out));
    }

    /// Frees what the attempt held and learns from it.
    fn settle(&mut self, flight: &Flight, answer: &Answer) {
        let unsure = [Outcome::Timeout, Outcome::Reset, Outcome::Broken, Outcome::Cancelled];
        if unsure.contains(&answer.outcome) {
            self.rest_key(flight.request.key.as_ref());
        }
        if let Some(e) = self.engines.get_mut(&flight.engine) {
            e.finish(flight);
            // It turns away at once and so looks idle: it would draw all that the others can't take.
            e.load = if answer.outcome == Outcome::Full { Some((FULL_LOAD, self.now)) } else { e.load };
            if !self.settings.may_cancel && answer.outcome == Outcome::Timeout {
                // Nothing stops the work of an attempt given up here: it holds its threads a while yet.
                e.ghosts.push((self.now + flight.usual as Micros, flight.threads, flight.memory));
            }
        }
        // Between two gateways nobody asked for its pages: its time would say that engines are slow.
        if answer.outcome == Outcome::Ok && flight.adopted.is_none() {
            self.learn(flight, answer);
        }
    }

    /// The one place that ends requests: refused where a further try is harmless, else failed.
    pub(super) fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let effect = self.class(&open.request).effect;
        // A client's next try is a repeat to the engines only if it carries the same mark.
        let deduplicated = effect.repeats_anywhere() && open.request.has_dedup_key;
        let harmless = (effect == Effect::Repeatable || deduplicated) && open.request.pin.is_none();
        if harmless || !open.may_have_run() {
            // When the debt of now has drained, spread by half so that clients don't return together.
            let wait = (self.fleet_debt() / self.fleet_rate()).max(self.back as f64);
            let wait = wait * (0.5 + unit(self.draw()));
            let retry_after = (wait as Micros).min(self.settings.max_retry_after.unwrap_or(0));
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.forget(id, out);
    }

    /// A request is over: what of it is out is withdrawn, and its key may go on.
    pub(super) fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.leave(id);
        let Some(open) = self.open.remove(&id) else { return };
        if self.settings.may_cancel {
            out.extend(self.withdraw(id).into_iter().map(|attempt| Action::Cancel { id, attempt }));
        }
        self.advance(open.request.key.as_ref(), out);
    }

    /// An engine tells how an attempt gets on. One that does little for its age (a bad plan, a slow engine, a
    /// load in its way) gives way to a fresh one; one that can't end in time is ended. Estimates far too low
    /// could make the same query start again up to its cap.
    pub(super) fn noted(&mut self, id: RequestId, attempt: u32, note: Note, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(f) = self.flights.get_mut(&(id, attempt)) else { return };
        let left = f.note(note, now);
        let Some(e) = self.engines.get_mut(&f.engine) else { return };
        e.heard_at = now;
        e.load = if note == Note::WaitsForMemory { Some((FULL_LOAD, now)) } else { e.load };
        left.into_iter().for_each(|left| self.outlook(id, attempt, left, out));
    }

    /// Decides on an attempt that seems to need `left` more.
    fn outlook(&mut self, id: RequestId, attempt: u32, left: f64, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let slow = self.slow.leaning(1.0, 3.0).max(1.0);
        let fresh = self.cost(&open.request, None) / self.threads(&open.request) * slow;
        let rest = open.request.deadline.saturating_sub(self.now) as f64;
        let again = self.class(&open.request).effect == Effect::Repeatable
            && open.request.pin.is_none()
            && open.attempts < self.settings.attempts_cap
            && self.budget_left() >= 1.0;
        let Some(f) = self.flights.get_mut(&(id, attempt)) else { return };
        if !self.settings.may_cancel || f.cancelled {
            return;
        }
        if again && left > RESTART * fresh && fresh < rest {
            f.cancelled = true;
            out.push(Action::Cancel { id, attempt });
        } else if left.is_finite() && left * HOPELESS > rest {
            self.end(id, out);
        }
    }
}
