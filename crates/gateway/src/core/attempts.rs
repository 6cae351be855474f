//! Handling of what engine connections report: pages and ends of attempts.

use super::*;

impl Core {
    /// Handles a page received from an engine.
    pub fn page_received(&mut self, now: Micros, id: AttemptId, mut page: EnginePage) {
        self.advance_to(now);
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.last_answer = now;
        attempt.paused = !page.last;
        // The last page can still be requested under the URI it was fetched from.
        attempt.next_uri = page.next_uri.clone().or(attempt.next_uri.take());
        page.part.next = page.next_uri.as_deref().and_then(protection::page_number);
        let engine = attempt.engine;
        self.observations.iter_mut().for_each(|s| s.engine_answered(engine));
        if let Some(epoch) = &page.epoch {
            self.engine_epoch(now, engine, epoch);
        }
        let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current_attempt == Some(id.1)) else {
            return;
        };
        s.pages.stats = page.stats.clone();
        if let Some(ending) = self.read_session(id.0, engine, &mut page) {
            self.finish(id.0, ending);
            self.effects.push_back(Effect::Cancel(id));
            return self.close_attempt(id, Outcome::Cancelled, true, None);
        }
        if self.statements.get(&id.0).is_some_and(|s| s.session_use.is_some()) {
            // The statement now belongs to a session, which exists only in this gateway's table, so that no
            // other gateway can take it over.
            self.release_record(id.0);
        }
        let Some(s) = self.statements.get_mut(&id.0) else { return };
        if let Some(error) = page.error {
            let (outcome, error_name) = classify_error(&error);
            if outcome == Outcome::Declined {
                self.finish(id.0, Ending::Declined(error));
                return self.close_attempt(id, outcome, true, Some(&page.stats));
            }
            let message = format!("engine {}: {}", self.engine_name(engine), error.message);
            return self.fail_attempt(id, outcome, error_name, message);
        }
        s.pages.push(page.part);
        if let Some(update) = page.update {
            s.pages.update = Some(update);
        }
        s.pages.session.extend(page.session);
        if page.last {
            self.finish(id.0, Ending::Served);
            return self.close_attempt(id, Outcome::Ok, true, Some(&page.stats));
        }
        self.effects.push_back(Effect::NotifyPollers(id.0));
        self.progress_changed(id.0);
        self.report_progress(id, &page.stats);
        self.fetch_page(id.0);
        self.process_events();
    }

    /// Processes the session headers of a page. Returns how the statement ends if the session could not be
    /// kept.
    pub(super) fn read_session(
        &mut self,
        id: StatementId,
        engine: EngineId,
        page: &mut EnginePage,
    ) -> Option<Ending> {
        if page.session.is_empty() {
            return None;
        }
        let s = self.statements.get_mut(&id)?;
        let record = self.records.get(&engine);
        let name = record.map_or("", |r| r.name.as_str());
        let epoch = page.epoch.clone().unwrap_or_default();
        let (user, headers) = (s.context.user.clone(), &mut page.session);
        let result = self.sessions.read_answer(
            self.now,
            id.0,
            &mut s.session_use,
            &user,
            (engine, name),
            &epoch,
            headers,
        );
        let (full, binding) = result.err()?;
        let address = record?.address;
        let transaction = binding.holds.transaction;
        self.effects.push_back(Effect::ReleaseSession { address, inner: binding.inner, transaction });
        Some(Ending::Failed(QueryError::failed(
            FAILED,
            &format!("its session is not kept: {}", full.words()),
        )))
    }

    /// Handles the epoch of an engine process. Sessions of an earlier epoch are lost.
    pub fn engine_epoch(&mut self, now: Micros, engine: EngineId, epoch: &str) {
        self.advance_to(now);
        let lost = self.sessions.engine_epoch(self.now, engine, epoch);
        self.sessions_lost(lost);
    }

    /// Ends the sessions of these tokens, whose client has disconnected for good, and releases them on their
    /// engines.
    pub fn release_sessions(&mut self, now: Micros, user: &str, tokens: &[&str]) {
        self.advance_to(now);
        for token in tokens {
            if let Some(loss) = self.sessions.release(self.now, user, token) {
                self.sessions_lost(vec![loss]);
            }
        }
    }

    /// Ends the running statements of lost sessions and releases what engines may still hold for them.
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
            let ending = self
                .statements
                .get(&id)
                .and_then(|s| Some(sessions::loss_ending(s.session_use.as_ref()?, &loss, s.attempts)));
            if let Some(ending) = ending {
                self.finish(id, ending);
                self.events.push_back(Event::Lapsed(RequestId(id.0)));
            }
        }
        self.process_events();
    }

    /// Handles an attempt that ended without an answer.
    pub fn attempt_failed(&mut self, now: Micros, id: AttemptId, outcome: Outcome, why: &str) {
        self.advance_to(now);
        let Some(attempt) = self.attempts.get(&id) else { return };
        let message = format!("engine {}: {why}", self.engine_name(attempt.engine));
        self.fail_attempt(id, outcome, FAILED, message);
    }

    /// Reports the progress of an attempt to the decision module if it has changed.
    pub(super) fn report_progress(&mut self, id: AttemptId, stats: &Stats) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        // Only this state says that the statement waits for memory: a newly accepted one is QUEUED too.
        let waits = stats.state == "WAITING_FOR_RESOURCES";
        let percent = stats.progress_percentage.unwrap_or(0.0).clamp(0.0, 100.0);
        let note = if waits {
            Note::WaitsForMemory
        } else if stats.progress_percentage.is_some() {
            Note::Progress(percent / 100.0)
        } else {
            return;
        };
        let progress = (waits, percent as u64);
        if std::mem::replace(&mut attempt.last_progress, progress) != progress {
            self.events.push_back(Event::Note { id: RequestId(id.0 .0), attempt: id.1, note });
        }
    }

    /// Lets the connection fetch the next page if the client's buffer has room.
    pub(super) fn fetch_page(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        let (Some(number), true) = (s.current_attempt, s.pages.held() < self.limits.buffer) else { return };
        // Pages read ahead would be lost with this gateway.
        if s.protection.is_some() && !s.pages.may_advance() {
            return;
        }
        let Some(attempt) = self.attempts.get_mut(&AttemptId(id, number)) else { return };
        if std::mem::take(&mut attempt.paused) {
            attempt.last_answer = self.now;
            self.effects.push_back(Effect::FetchPage(AttemptId(id, number)));
        }
    }

    /// Handles a failed attempt. If rows of it have reached the client, the statement fails too; otherwise
    /// the decision module decides what to do.
    pub(super) fn fail_attempt(
        &mut self,
        id: AttemptId,
        outcome: Outcome,
        error_name: &str,
        message: String,
    ) {
        let mut complete = false;
        if let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current_attempt == Some(id.1)) {
            if s.rows_sent {
                complete = true;
                self.finish(
                    id.0,
                    Ending::Failed(QueryError::failed(
                        error_name,
                        &format!("{message}, after rows had been sent"),
                    )),
                );
            } else {
                s.pages.restart();
                s.last_error = Some(message);
            }
        }
        self.close_attempt(id, outcome, complete, None);
    }

    /// Removes an attempt and reports its outcome to the decision module.
    pub(super) fn close_attempt(
        &mut self,
        id: AttemptId,
        outcome: Outcome,
        complete: bool,
        stats: Option<&Stats>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.timers.remove(&(attempt.deadline, Timer::Attempt(id)));
        if let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current_attempt == Some(id.1)) {
            s.current_attempt = None;
        }
        self.record_attempt_end(id, &attempt, outcome);
        self.observe_attempt_end(id, attempt.engine, outcome, stats);
        let reported = stats.filter(|_| outcome == Outcome::Ok);
        let work = reported.map(|s| s.cpu_time_millis * 1000).filter(|&w| w > 0);
        let memory_mb =
            reported.map(|s| s.peak_memory_bytes as f64 / f64::from(1 << 20)).filter(|&m| m > 0.0);
        self.events.push_back(Event::Answer(Answer {
            id: RequestId(id.0 .0),
            attempt: id.1,
            outcome,
            took: self.now.saturating_sub(attempt.sent_at),
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

/// Classifies an engine's error: rejected before execution, invalid statement, or failure.
fn classify_error(error: &QueryError) -> (Outcome, &'static str) {
    match error.error_type {
        _ if error.error_name == QUEUE_FULL || error.error_name == "SERVER_STARTING_UP" => {
            (Outcome::Full, QUEUE_FULL)
        }
        ErrorType::UserError => (Outcome::Declined, "USER_ERROR"),
        _ => (Outcome::Error, FAILED),
    }
}
