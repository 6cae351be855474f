//! What is due by the clock.

use super::*;

impl Core {
    /// This gateway's part of the fleet, as its membership has it.
    pub fn share(&mut self, now: Micros, part: f64) {
        self.pass(now);
        self.inbox.push_back(Event::FleetShare(part));
        self.run();
    }

    /// Work asked for since the start by class, in core milliseconds by the estimates that came along.
    pub fn offered(&self) -> &[f64] {
        &self.offered
    }

    /// Time has passed.
    pub fn wake(&mut self, now: Micros) {
        self.pass(now);
        let lost = self.sessions.advance(self.now);
        if !lost.is_empty() {
            self.lose(lost);
        }
        while let Some(&(at, timer)) = self.timers.first().filter(|t| t.0 <= self.now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Module(handle) => self.inbox.push_back(Event::Elapsed(handle)),
                Timer::Attempt(id) => self.out_of_time(id),
                Timer::Client(id) => self.look_after(id),
                Timer::Overdue(id) => self.overdue(id),
                Timer::Stream(id) => self.look_at_stream(id),
                Timer::Forget(id) => self.forget(id),
            }
            self.run();
        }
    }

    pub(super) fn out_of_time(&mut self, id: AttemptId) {
        if self.expects(id.0) {
            // Nothing is begun again for a client that may have its end already.
            return self.arm(self.now + 500_000, Timer::Attempt(id));
        }
        let bound = self.statements.get(&id.0).is_some_and(|s| s.bound && s.current == Some(id.1));
        if self.attempts.contains_key(&id) && !bound {
            self.effects.push_back(Effect::Withdraw(id));
            let engine = self.name(self.attempts[&id].engine);
            self.fail_attempt(id, Outcome::Timeout, FAILED, format!("engine {engine}: no answer in time"));
        }
    }

    /// An engine that has stopped in the middle of a stream is not awaited for ever.
    pub(super) fn look_at_stream(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (idle, paused) = (self.host.stream_idle.as_micros() as Micros, attempt.paused);
        let last = if paused { self.now } else { attempt.heard };
        if self.now >= last + idle {
            self.effects.push_back(Effect::Withdraw(id));
            let engine = self.name(attempt.engine);
            self.fail_attempt(
                id,
                Outcome::Timeout,
                FAILED,
                format!("engine {engine} stopped in the middle of the rows"),
            );
        } else {
            self.arm(last + idle, Timer::Stream(id));
        }
    }

    /// Lets go of a client that has left, and of what was kept for one that may have taken its end.
    pub(super) fn look_after(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        let keep = if s.pages.end().is_some() { self.host.keep_ended } else { self.host.abandon_after };
        let until = s.polled + keep.as_micros() as Micros;
        if s.waiting > 0 || self.now < until {
            let next = until.max(self.now + 100_000);
            return self.arm(next, Timer::Client(id));
        }
        if s.pages.end().is_none() {
            self.counts.abandoned += 1;
            if let Some(guard) = self.statements.get_mut(&id).and_then(|s| s.guard.as_mut()) {
                guard.needs_no_record();
            }
            let error =
                QueryError::new(ErrorType::UserError, 7, "ABANDONED_QUERY", "its client stopped polling");
            self.finish(id, Ending::Cancelled(error));
            self.inbox.push_back(Event::Lapsed(RequestId(id.0)));
        }
        self.forget(id);
        if self.statements.remove(&id).is_some_and(|s| s.guard.is_some()) {
            self.effects.push_back(Effect::Gone(id));
        }
    }

    /// The module ends everything before its deadline; if it ever did not, the client is told all the same.
    pub(super) fn overdue(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        if s.pages.end().is_some() || s.bound || s.guard.as_ref().is_some_and(|g| g.deciding()) {
            return;
        }
        if !s.pending && !s.guard.as_ref().is_some_and(|g| g.expects()) {
            self.counts.overdue += 1;
            self.effects.push_back(Effect::Say(format!("statement {} is overdue: a fault", s.public_id)));
        }
        let error = if s.attempts == 0 {
            Ending::Refused(QueryError::refused("its time passed before it began", 0))
        } else {
            Ending::Failed(QueryError::failed(FAILED, "its time has passed"))
        };
        self.finish(id, error);
        self.inbox.push_back(Event::Lapsed(RequestId(id.0)));
    }

    pub(super) fn pass(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    pub(super) fn arm(&mut self, at: Micros, timer: Timer) {
        self.timers.insert((at, timer));
    }

    pub(super) fn abandon_after(&self) -> Micros {
        self.host.abandon_after.as_micros() as Micros
    }
}
