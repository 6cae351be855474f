//! Exchange with the decision module: passing events in and carrying out its actions.

use super::*;

impl Core {
    /// Passes all pending events to the decision module and turns its actions into effects, until nothing is
    /// pending.
    pub(super) fn process_events(&mut self) {
        let mut actions = Vec::new();
        loop {
            if let Some(event) = self.events.pop_front() {
                self.decider.handle(self.now, event, &mut actions);
                for action in std::mem::take(&mut actions) {
                    self.apply_action(action);
                }
            } else if let Some(step) = self.finished_steps.pop_front() {
                self.rebuild_step_ended(step);
            } else {
                return;
            }
        }
    }

    /// Carries out one action of the decision module.
    pub(super) fn apply_action(&mut self, action: Action) {
        match action {
            Action::Dispatch { id, engine, until } => self.launch(StatementId(id.0), engine, until),
            Action::Terms { id, memory_mb, rank } => {
                if let Some(s) = self.statements.get_mut(&StatementId(id.0)) {
                    s.grant = (memory_mb, rank);
                }
            }
            Action::Refuse { id, retry_after } => {
                let id = StatementId(id.0);
                let why = self.statements.get(&id).and_then(|s| s.last_error.clone());
                let why = why.unwrap_or_else(|| "no engine could have answered in time".into());
                self.finish(id, Ending::Refused(QueryError::refused(&why, retry_after / 1000)));
            }
            Action::Fail(id) => {
                let id = StatementId(id.0);
                let why = self.statements.get(&id).and_then(|s| s.last_error.clone());
                let why = why.unwrap_or_else(|| "its time has passed".into());
                self.finish(id, Ending::Failed(QueryError::failed(FAILED, &why)));
            }
            Action::Cancel { id, attempt } => {
                let id = AttemptId(StatementId(id.0), attempt);
                if self.attempts.contains_key(&id) {
                    self.effects.push_back(Effect::Cancel(id));
                    if let Some(s) =
                        self.statements.get_mut(&id.0).filter(|s| s.current_attempt == Some(attempt))
                    {
                        s.pages.restart();
                    }
                    self.close_cancelled(id);
                }
            }
            Action::Probe(engine) => match self.records.get(&engine) {
                Some(record) => self.effects.push_back(Effect::Probe(engine, record.address)),
                None => self.events.push_back(Event::Probed { engine, ok: false, load: Load::default() }),
            },
            Action::Arm { handle, span } => self.set_timer(self.now + span, Timer::Module(handle)),
            Action::Log(text) => self.effects.push_back(Effect::Log(text)),
            Action::Broadcast(_) | Action::Subscribe | Action::FetchList => {}
        }
    }

    /// Removes a cancelled attempt and queues its answer, to be handled after the remaining actions of the
    /// current event.
    pub(super) fn close_cancelled(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.timers.remove(&(attempt.deadline, Timer::Attempt(id)));
        if let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current_attempt == Some(id.1)) {
            s.current_attempt = None;
        }
        self.events.push_back(Event::Answer(Answer {
            id: RequestId(id.0 .0),
            attempt: id.1,
            outcome: Outcome::Cancelled,
            took: self.now.saturating_sub(attempt.sent_at),
            complete: false,
            work: None,
            memory_mb: None,
            load: Load::default(),
        }));
    }

    /// Starts an attempt of a statement on an engine.
    pub(super) fn launch(&mut self, id: StatementId, engine: EngineId, deadline: Micros) {
        let (Some(s), Some(record)) = (self.statements.get_mut(&id), self.records.get(&engine)) else {
            return;
        };
        let number = s.attempts;
        s.attempts += 1;
        s.current_attempt = Some(number);
        s.pages.restart();
        let attempt = AttemptId(id, number);
        let mut context = s.context.clone();
        let in_session = s.session_use.is_some();
        if let Some(binding) = s.session_use.as_ref().and_then(|m| m.binding.as_ref()) {
            // The engine knows the session under its own id, which is valid only in the epoch in which it was
            // opened.
            let engine_session = format!("{}@{}", binding.inner, binding.epoch);
            context.transaction = context.transaction.filter(|t| !t.eq_ignore_ascii_case("none"));
            context.transaction = context.transaction.map(|_| engine_session.clone());
            context
                .session
                .iter_mut()
                .filter(|(n, _)| n == PROPERTY)
                .for_each(|(_, v)| *v = engine_session.clone());
        }
        if context.trace_token.is_none() {
            context.trace_token = Some(s.public_id.clone());
        }
        let mut set = |name: &str, value: String| {
            if !name.is_empty() {
                context.session.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
                context.session.push((name.to_owned(), value));
            }
        };
        if self.grants && s.grant.0 > 0.0 {
            set(&self.limits.grant_property, format!("{}MB", (s.grant.0.ceil() as u64).max(1)));
        }
        if self.priorities {
            set(&self.limits.priority_property, s.grant.1.to_string());
        }
        set("query_max_run_time", format!("{}ms", deadline.saturating_sub(self.now) / 1000));
        let effect = self.classes[s.class].effect;
        if matches!(effect, violetward::Effect::Keyed { .. }) {
            // The client's repeat mark is passed on, so that its own retries are recognised as repeats
            // whichever gateway they go through.
            let client_mark =
                s.context.tagged(&self.selection.repeat_tag).map(|m| format!("{}.{m}", s.context.user));
            let generated = || match &s.protection {
                Some(protection) => protection.mark.clone(),
                None => format!("{}.{}", self.instance, id.0),
            };
            set(&self.limits.repeat_property, client_mark.unwrap_or_else(generated));
        }
        let launch = Launch {
            attempt,
            engine: record.name.clone(),
            address: record.address,
            text: s.text.clone(),
            context,
            deadline,
            new_connection: effect != violetward::Effect::Repeatable || in_session,
        };
        self.counts.attempts += 1;
        self.observations
            .iter_mut()
            .for_each(|observations| observations.attempt_sent(s.class, number, self.now - s.accepted_at));
        self.attempts.insert(
            attempt,
            Attempt {
                engine,
                sent_at: self.now,
                deadline,
                paused: false,
                last_answer: self.now,
                last_progress: (false, 0),
                next_uri: None,
            },
        );
        self.set_timer(deadline, Timer::Attempt(attempt));
        self.effects.push_back(Effect::Launch(Box::new(launch)));
    }

    /// Sets the ending of a statement. Only the first ending counts.
    pub(super) fn finish(&mut self, id: StatementId, ending: Ending) {
        if self.must_record_first(id, &ending) {
            return;
        }
        let Some(s) = self.statements.get_mut(&id) else { return };
        let mut ending = ending;
        if let (Some(session_use), None) = (&s.session_use, s.pages.end()) {
            let request = (&s.context, &*s.text);
            let (reported, to_release) =
                self.sessions.statement_ended(self.now, id.0, session_use, request, ending, s.attempts);
            ending = reported;
            if let Some(record) =
                to_release.as_ref().and_then(|l| self.records.get(&EngineId(l.binding.engine)))
            {
                let inner = to_release.map_or_else(String::new, |l| l.binding.inner);
                self.effects.push_back(Effect::ReleaseSession {
                    address: record.address,
                    inner,
                    transaction: true,
                });
            }
        }
        let outcome = ending.word();
        if !s.pages.finish(ending) {
            return;
        }
        // A statement that has ended must not start any more.
        s.pending = false;
        if let Some(token) = s.rebuild.as_ref().and_then(|r| r.token.as_ref()) {
            s.pages.session.push(sessions::token_header(token));
        }
        if let Some(client) = s.step_for {
            let error = s.pages.end().and_then(|e| e.error()).map(|e| e.message.clone());
            let token = sessions::opened_token(&s.pages.session);
            self.finished_steps.push_back(FinishedStep { client, step: id, error, token });
        }
        self.open -= 1;
        self.timers.remove(&(s.deadline, Timer::Deadline(id)));
        let counts = &mut self.counts;
        match outcome {
            "served" => counts.served += 1,
            "declined" => counts.declined += 1,
            "refused" => counts.refused += 1,
            "failed" => counts.failed += 1,
            _ => counts.cancelled += 1,
        }
        s.pages.stats.elapsed_time_millis = (self.now - s.accepted_at) / 1000;
        self.observations
            .iter_mut()
            .for_each(|observations| observations.statement_ended(s.class, &s.context, outcome));
        let ended = Effect::Ended {
            id,
            public_id: s.public_id.clone(),
            class: self.names.classes.get(s.class).cloned().unwrap_or_default(),
            attempts: s.attempts,
            ending: outcome,
            took: Duration::from_micros(self.now - s.accepted_at),
        };
        self.effects.push_back(ended);
        self.effects.push_back(Effect::NotifyPollers(id));
    }
}
