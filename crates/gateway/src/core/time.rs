//! What is due by the clock.

use super::*;

impl Core {
    /// This gateway's part of the fleet, as its membership has it.
    pub fn set_share(&mut self, now: Micros, part: f64) {
        self.advance_to(now);
        self.events.push_back(Event::Share(part));
        self.process_events();
    }

    /// Work asked for since the start by class, in core milliseconds by the estimates that came along.
    pub fn offered_work(&self) -> &[f64] {
        &self.offered_work
    }

    /// Time has passed.
    pub fn wake(&mut self, now: Micros) {
        self.advance_to(now);
        let lost = self.sessions.advance(self.now);
        if !lost.is_empty() {
            self.sessions_lost(lost);
        }
        while let Some(&(at, timer)) = self.timers.first().filter(|t| t.0 <= self.now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Module(handle) => self.events.push_back(Event::Elapsed(handle)),
                Timer::Attempt(id) => self.attempt_timed_out(id),
                Timer::Client(id) => self.check_client(id),
                Timer::Overdue(id) => self.deadline_passed(id),
                Timer::Stream(id) => self.check_stream(id),
                Timer::ReleaseRecord(id) => self.release_record(id),
            }
            self.process_events();
        }
    }

    pub(super) fn attempt_timed_out(&mut self, id: AttemptId) {
        if self.awaits_client(id.0) {
            // Nothing is begun again for a client that may have its end already.
            return self.set_timer(self.now + 500_000, Timer::Attempt(id));
        }
        let bound = self.statements.get(&id.0).is_some_and(|s| s.rows_sent && s.current == Some(id.1));
        if self.attempts.contains_key(&id) && !bound {
            self.effects.push_back(Effect::Cancel(id));
            let engine = self.engine_name(self.attempts[&id].engine);
            self.fail_attempt(id, Outcome::Timeout, FAILED, format!("engine {engine}: no answer in time"));
        }
    }

    /// An engine that has stopped in the middle of a stream is not awaited for ever.
    pub(super) fn check_stream(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (idle, paused) = (self.limits.stream_idle.as_micros() as Micros, attempt.paused);
        let last = if paused { self.now } else { attempt.last_answer };
        if self.now >= last + idle {
            self.effects.push_back(Effect::Cancel(id));
            let engine = self.engine_name(attempt.engine);
            self.fail_attempt(
                id,
                Outcome::Timeout,
                FAILED,
                format!("engine {engine} stopped in the middle of the rows"),
            );
        } else {
            self.set_timer(last + idle, Timer::Stream(id));
        }
    }

    /// Lets go of a client that has left, and of what was kept for one that may have taken its end.
    pub(super) fn check_client(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        let keep = if s.pages.end().is_some() { self.limits.keep_ended } else { self.limits.abandon_after };
        let until = s.last_poll + keep.as_micros() as Micros;
        if s.waiting_polls > 0 || self.now < until {
            let next = until.max(self.now + 100_000);
            return self.set_timer(next, Timer::Client(id));
        }
        if s.pages.end().is_none() {
            self.counts.abandoned += 1;
            if let Some(guard) = self.statements.get_mut(&id).and_then(|s| s.protection.as_mut()) {
                guard.skip_recording();
            }
            let error =
                QueryError::new(ErrorType::UserError, 7, "ABANDONED_QUERY", "its client stopped polling");
            self.finish(id, Ending::Cancelled(error));
            self.events.push_back(Event::Lapsed(RequestId(id.0)));
        }
        self.release_record(id);
        if self.statements.remove(&id).is_some_and(|s| s.protection.is_some()) {
            self.effects.push_back(Effect::Removed(id));
        }
    }

    /// The module ends everything before its deadline; if it ever did not, the client is told all the same.
    pub(super) fn deadline_passed(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        if s.pages.end().is_some() || s.rows_sent || s.protection.as_ref().is_some_and(|g| g.ending_pending())
        {
            return;
        }
        if !s.pending && !s.protection.as_ref().is_some_and(|g| g.awaits_client()) {
            self.counts.overdue += 1;
            self.effects.push_back(Effect::Log(format!("statement {} is overdue: a fault", s.public_id)));
        }
        let error = if s.attempts == 0 {
            Ending::Refused(QueryError::refused("its time passed before it began", 0))
        } else {
            Ending::Failed(QueryError::failed(FAILED, "its time has passed"))
        };
        self.finish(id, error);
        self.events.push_back(Event::Lapsed(RequestId(id.0)));
    }

    pub(super) fn advance_to(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    pub(super) fn set_timer(&mut self, at: Micros, timer: Timer) {
        self.timers.insert((at, timer));
    }

    pub(super) fn abandon_after(&self) -> Micros {
        self.limits.abandon_after.as_micros() as Micros
    }
}
