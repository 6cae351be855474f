//! Timers and everything that becomes due with the time.

use super::*;

/// Error code of a statement whose client stopped polling.
const ABANDONED_CODE: u32 = 7;

/// Delay until the time-out of an adopted attempt is checked again while its client has not polled.
const ADOPTED_RECHECK_US: Micros = 500_000;
/// Least delay until the client of a statement is checked again.
const CLIENT_RECHECK_US: Micros = 100_000;

impl Core {
    /// Sets this gateway's share of the fleet, as given by the membership.
    pub fn set_share(&mut self, now: Micros, share: f64) {
        self.advance_to(now);
        self.events.push_back(Event::FleetShare(share));
        self.process_events();
    }

    /// Estimated work requested since the start, by class, in core milliseconds.
    pub fn offered_work(&self) -> &[f64] {
        &self.offered_work
    }

    /// Advances the time and handles all timers that are due.
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
                Timer::Deadline(id) => self.deadline_passed(id),
                Timer::Stream(id) => self.check_stream(id),
                Timer::ReleaseRecord(id) => self.release_record(id),
            }
            self.process_events();
        }
    }

    /// Fails an attempt at its deadline, unless rows of it have been sent.
    pub(super) fn attempt_timed_out(&mut self, id: AttemptId) {
        if self.awaits_client(id.0) {
            // The client may have received the end already, so nothing is restarted before it polls here.
            return self.set_timer(self.now + ADOPTED_RECHECK_US, Timer::Attempt(id));
        }
        let rows_sent =
            self.statements.get(&id.0).is_some_and(|s| s.rows_sent && s.current_attempt == Some(id.1));
        if self.attempts.contains_key(&id) && !rows_sent {
            self.effects.push_back(Effect::Cancel(id));
            let engine = self.engine_name(self.attempts[&id].engine);
            self.fail_attempt(id, Outcome::Timeout, FAILED, format!("engine {engine}: no answer in time"));
        }
    }

    /// Fails an attempt whose engine has stopped sending pages in the middle of a result.
    pub(super) fn check_stream(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (idle, paused) = (self.limits.stream_idle.as_micros() as Micros, attempt.paused);
        let last_answer = if paused { self.now } else { attempt.last_answer };
        if self.now >= last_answer + idle {
            self.effects.push_back(Effect::Cancel(id));
            let engine = self.engine_name(attempt.engine);
            self.fail_attempt(
                id,
                Outcome::Timeout,
                FAILED,
                format!("engine {engine} stopped in the middle of the rows"),
            );
        } else {
            self.set_timer(last_answer + idle, Timer::Stream(id));
        }
    }

    /// Drops a statement whose client has stopped polling, or has had time to fetch the ending.
    pub(super) fn check_client(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        let retention =
            if s.pages.end().is_some() { self.limits.keep_ended } else { self.limits.abandon_after };
        let until = s.last_poll + retention.as_micros() as Micros;
        if s.waiting_polls > 0 || self.now < until {
            let next_check = until.max(self.now + CLIENT_RECHECK_US);
            return self.set_timer(next_check, Timer::Client(id));
        }
        if s.pages.end().is_none() {
            self.counts.abandoned += 1;
            if let Some(protection) = self.statements.get_mut(&id).and_then(|s| s.protection.as_mut()) {
                protection.skip_recording();
            }
            let error = QueryError::new(
                ErrorType::UserError,
                ABANDONED_CODE,
                "ABANDONED_QUERY",
                "its client stopped polling",
            );
            self.finish(id, Ending::Cancelled(error));
            self.events.push_back(Event::Lapsed(RequestId(id.0)));
        }
        self.release_record(id);
        if self.statements.remove(&id).is_some_and(|s| s.protection.is_some()) {
            self.effects.push_back(Effect::Removed(id));
        }
    }

    /// Ends a statement at its deadline. The decision module should have ended it before.
    pub(super) fn deadline_passed(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        if s.pages.end().is_some() || s.rows_sent || s.protection.as_ref().is_some_and(|g| g.ending_pending())
        {
            return;
        }
        if !s.pending && !s.protection.as_ref().is_some_and(|g| g.awaits_client()) {
            self.counts.overdue += 1;
            self.effects.push_back(Effect::Log(format!(
                "statement {} was not ended by its deadline; this is a bug",
                s.public_id
            )));
        }
        let ending = if s.attempts == 0 {
            Ending::Refused(QueryError::refused("its time passed before it began", 0))
        } else {
            Ending::Failed(QueryError::failed(FAILED, "its time has passed"))
        };
        self.finish(id, ending);
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
