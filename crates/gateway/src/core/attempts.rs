//! What comes from engine connections: news and ends of attempts.

use super::*;

impl Core {
    /// A page of an engine has come.
    pub fn page_received(&mut self, now: Micros, id: AttemptId, mut arrived: EnginePage) {
        self.advance_to(now);
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.last_answer = now;
        attempt.paused = !arrived.last;
        // The last page can still be asked for by the address that it came from.
        attempt.next_uri = arrived.next_uri.clone().or(attempt.next_uri.take());
        arrived.part.next = arrived.next_uri.as_deref().and_then(protection::page_number);
        let engine = attempt.engine;
        self.observations.iter_mut().for_each(|s| s.engine_answered(engine));
        if let Some(epoch) = &arrived.epoch {
            self.engine_epoch(now, engine, epoch);
        }
        let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current == Some(id.1)) else { return };
        s.pages.stats = arrived.stats.clone();
        if let Some(why) = self.read_session(id.0, engine, &mut arrived) {
            self.finish(id.0, why);
            self.effects.push_back(Effect::Cancel(id));
            return self.close_attempt(id, Outcome::Cancelled, true, None);
        }
        if self.statements.get(&id.0).is_some_and(|s| s.session_use.is_some()) {
            // It has become part of a session, which lives here alone.
            self.release_record(id.0);
        }
        let Some(s) = self.statements.get_mut(&id.0) else { return };
        if let Some(error) = arrived.error {
            let (outcome, what) = classify_error(&error);
            if outcome == Outcome::Declined {
                self.finish(id.0, Ending::Declined(error));
                return self.close_attempt(id, outcome, true, Some(&arrived.stats));
            }
            let text = format!("engine {}: {}", self.engine_name(engine), error.message);
            return self.fail_attempt(id, outcome, what, text);
        }
        s.pages.push(arrived.part);
        if let Some(update) = arrived.update {
            s.pages.update = Some(update);
        }
        s.pages.session.extend(arrived.session);
        if arrived.last {
            self.finish(id.0, Ending::Served);
            return self.close_attempt(id, Outcome::Ok, true, Some(&arrived.stats));
        }
        self.effects.push_back(Effect::NotifyPollers(id.0));
        self.progress_changed(id.0);
        self.report_progress(id, &arrived.stats);
        self.fetch_page(id.0);
        self.process_events();
    }

    /// Reads what an engine says of a session. An ending if that could not be kept.
    pub(super) fn read_session(
        &mut self,
        id: StatementId,
        engine: EngineId,
        arrived: &mut EnginePage,
    ) -> Option<Ending> {
        if arrived.session.is_empty() {
            return None;
        }
        let s = self.statements.get_mut(&id)?;
        let record = self.records.get(&engine);
        let name = record.map_or("", |r| r.name.as_str());
        let epoch = arrived.epoch.clone().unwrap_or_default();
        let (user, headers) = (s.context.user.clone(), &mut arrived.session);
        let read = self.sessions.read_answer(
            self.now,
            id.0,
            &mut s.session_use,
            &user,
            (engine, name),
            &epoch,
            headers,
        );
        let (full, binding) = read.err()?;
        let address = record?.address;
        let transaction = binding.holds.transaction;
        self.effects.push_back(Effect::ReleaseSession { address, inner: binding.inner, transaction });
        Some(Ending::Failed(QueryError::failed(
            FAILED,
            &format!("its session is not kept: {}", full.words()),
        )))
    }

    /// An engine tells the life of its process; what its former one held is lost.
    pub fn engine_epoch(&mut self, now: Micros, engine: EngineId, epoch: &str) {
        self.advance_to(now);
        let lost = self.sessions.engine_epoch(self.now, engine, epoch);
        self.sessions_lost(lost);
    }

    /// A client that carried these tokens has left for good: its session ends, and the engine is told.
    pub fn release_sessions(&mut self, now: Micros, user: &str, tokens: &[&str]) {
        self.advance_to(now);
        for token in tokens {
            if let Some(loss) = self.sessions.release(self.now, user, token) {
                self.sessions_lost(vec![loss]);
            }
        }
    }

    /// Sessions are lost: statements of them that run end now, and what engines may still hold is freed.
    pub(super) fn sessions_lost(&mut self, lost: Vec<Loss>) {
        for loss in lost {
            let engine = EngineId(loss.binding.engine);
            if let Some(record) = self.records.get(&engine) {
                if matches!(loss.why, Why::Idle | Why::Absolute | Why::Drained | Why::Ended) {
                    let (address, inner) = (record.address, loss.binding.inner.clone());
                    let transaction = loss.binding.holds.transaction;
                    self.effects.push_back(Effect::ReleaseSession { address, inner, transaction });
                }
            }
            let Some(id) = loss.running.map(StatementId) else { continue };
            let told = self
                .statements
                .get(&id)
                .and_then(|s| Some(sessions::loss_ending(s.session_use.as_ref()?, &loss, s.attempts)));
            if let Some(ending) = told {
                self.finish(id, ending);
                self.events.push_back(Event::Lapsed(RequestId(id.0)));
            }
        }
        self.process_events();
    }

    /// An attempt has ended without an answer.
    pub fn attempt_failed(&mut self, now: Micros, id: AttemptId, outcome: Outcome, why: &str) {
        self.advance_to(now);
        let Some(attempt) = self.attempts.get(&id) else { return };
        let text = format!("engine {}: {why}", self.engine_name(attempt.engine));
        self.fail_attempt(id, outcome, FAILED, text);
    }

    /// News of an attempt's progress reach the module when they say something new.
    pub(super) fn report_progress(&mut self, id: AttemptId, stats: &Stats) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        // Only this state tells of the line for memory: a statement just taken is QUEUED too.
        let waits = stats.state == "WAITING_FOR_RESOURCES";
        let done = stats.progress_percentage.unwrap_or(0.0).clamp(0.0, 100.0);
        let note = if waits {
            Note::WaitsForMemory
        } else if stats.progress_percentage.is_some() {
            Note::Progress(done / 100.0)
        } else {
            return;
        };
        let seen = (waits, done as u64);
        if std::mem::replace(&mut attempt.last_progress, seen) != seen {
            self.events.push_back(Event::Note { id: RequestId(id.0 .0), attempt: id.1, note });
        }
    }

    /// Lets the connection go on while the client's buffer has room.
    pub(super) fn fetch_page(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        let (Some(number), true) = (s.current, s.pages.held() < self.limits.buffer) else { return };
        // What was read ahead would be lost with this gateway.
        if s.protection.is_some() && !s.pages.may_advance() {
            return;
        }
        let Some(attempt) = self.attempts.get_mut(&AttemptId(id, number)) else { return };
        if std::mem::take(&mut attempt.paused) {
            attempt.last_answer = self.now;
            self.effects.push_back(Effect::FetchPage(AttemptId(id, number)));
        }
    }

    /// An attempt failed. Where rows of it have reached the client, the statement has failed with it; else the
    /// module is asked what to do.
    pub(super) fn fail_attempt(&mut self, id: AttemptId, outcome: Outcome, name: &str, why: String) {
        let mut over = false;
        if let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current == Some(id.1)) {
            if s.rows_sent {
                over = true;
                self.finish(
                    id.0,
                    Ending::Failed(QueryError::failed(name, &format!("{why}, after rows had been sent"))),
                );
            } else {
                s.pages.restart();
                s.last_error = Some(why);
            }
        }
        self.close_attempt(id, outcome, over, None);
    }

    /// Tells the module how an attempt ended, and forgets it.
    pub(super) fn close_attempt(
        &mut self,
        id: AttemptId,
        outcome: Outcome,
        complete: bool,
        stats: Option<&Stats>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.timers.remove(&(attempt.deadline, Timer::Attempt(id)));
        if let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current == Some(id.1)) {
            s.current = None;
        }
        self.record_attempt_end(id, &attempt, outcome);
        self.observe_attempt_end(id, attempt.engine, outcome, stats);
        let told = stats.filter(|_| outcome == Outcome::Ok);
        let work = told.map(|s| s.cpu_time_millis * 1000).filter(|&w| w > 0);
        let memory_mb = told.map(|s| s.peak_memory_bytes as f64 / f64::from(1 << 20)).filter(|&m| m > 0.0);
        self.events.push_back(Event::Answer(Answer {
            id: RequestId(id.0 .0),
            attempt: id.1,
            outcome,
            took: self.now.saturating_sub(attempt.sent),
            complete,
            work,
            memory_mb,
            load: Load::default(),
        }));
        self.process_events();
    }

    pub(super) fn engine_name(&self, engine: EngineId) -> String {
        self.records.get(&engine).map_or_else(|| format!("{:x}", engine.0), |r| r.name.clone())
    }
}

/// What an engine's error says: turned away unseen, the statement's own fault, or a failure.
fn classify_error(error: &QueryError) -> (Outcome, &'static str) {
    match error.error_type {
        _ if error.error_name == QUEUE_FULL || error.error_name == "SERVER_STARTING_UP" => {
            (Outcome::Full, QUEUE_FULL)
        }
        ErrorType::UserError => (Outcome::Declined, "USER_ERROR"),
        _ => (Outcome::Error, FAILED),
    }
}
