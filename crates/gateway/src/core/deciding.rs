//! What the module decides, and what follows from that for statements.

use super::*;

impl Core {
    /// Passes what has happened to the module, and carries its actions over into effects, until nothing is left.
    pub(super) fn process_events(&mut self) {
        let mut actions = Vec::new();
        loop {
            if let Some(event) = self.events.pop_front() {
                self.gateway.handle(self.now, event, &mut actions);
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
                    if let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current == Some(attempt)) {
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
            Action::Tell(_) | Action::Subscribe | Action::FetchList => {}
        }
    }

    /// The answer to a cancelled attempt, after the actions of this event.
    pub(super) fn close_cancelled(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.timers.remove(&(attempt.deadline, Timer::Attempt(id)));
        if let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current == Some(id.1)) {
            s.current = None;
        }
        self.events.push_back(Event::Answer(Answer {
            id: RequestId(id.0 .0),
            attempt: id.1,
            outcome: Outcome::Cancelled,
            took: self.now.saturating_sub(attempt.sent),
            complete: false,
            work: None,
            memory_mb: None,
            load: Load::default(),
        }));
    }

    pub(super) fn launch(&mut self, id: StatementId, engine: EngineId, until: Micros) {
        let (Some(s), Some(record)) = (self.statements.get_mut(&id), self.records.get(&engine)) else {
            return;
        };
        let number = s.attempts;
        s.attempts += 1;
        s.current = Some(number);
        s.pages.restart();
        let attempt = AttemptId(id, number);
        let mut context = s.context.clone();
        let is_member = s.session_use.is_some();
        if let Some(binding) = s.session_use.as_ref().and_then(|m| m.binding.as_ref()) {
            // The engine knows its own name for the session, and only that of the life that it was opened in.
            let named = format!("{}@{}", binding.inner, binding.epoch);
            context.transaction = context.transaction.filter(|t| !t.eq_ignore_ascii_case("none"));
            context.transaction = context.transaction.map(|_| named.clone());
            context.session.iter_mut().filter(|(n, _)| n == PROPERTY).for_each(|(_, v)| *v = named.clone());
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
        set("query_max_run_time", format!("{}ms", until.saturating_sub(self.now) / 1000));
        let effect = self.classes[s.class].effect;
        if matches!(effect, violetward::Effect::Keyed { .. }) {
            // A client's own mark travels, so that its further tries are repeats too, whichever gateway they go through.
            let mark =
                s.context.tagged(&self.selection.repeat_tag).map(|m| format!("{}.{m}", s.context.user));
            let own = || match &s.protection {
                Some(guard) => guard.mark.clone(),
                None => format!("{}.{}", self.life, id.0),
            };
            set(&self.limits.repeat_property, mark.unwrap_or_else(own));
        }
        let launch = Launch {
            attempt,
            engine: record.name.clone(),
            address: record.address,
            text: s.text.clone(),
            context,
            deadline: until,
            new_connection: effect != violetward::Effect::Repeatable || is_member,
        };
        self.counts.attempts += 1;
        self.observations
            .iter_mut()
            .for_each(|sights| sights.attempt_sent(s.class, number, self.now - s.accepted));
        let (sent, heard) = (self.now, self.now);
        self.attempts.insert(
            attempt,
            Attempt {
                engine,
                sent,
                deadline: until,
                paused: false,
                last_answer: heard,
                last_progress: (false, 0),
                next_uri: None,
            },
        );
        self.set_timer(until, Timer::Attempt(attempt));
        self.effects.push_back(Effect::Launch(Box::new(launch)));
    }

    /// Fixes a statement's end, once.
    pub(super) fn finish(&mut self, id: StatementId, ending: Ending) {
        if self.must_record_first(id, &ending) {
            return;
        }
        let Some(s) = self.statements.get_mut(&id) else { return };
        let mut ending = ending;
        if let (Some(member), None) = (&s.session_use, s.pages.end()) {
            let asked = (&s.context, &*s.text);
            let (told, left) =
                self.sessions.statement_ended(self.now, id.0, member, asked, ending, s.attempts);
            ending = told;
            if let Some(record) = left.as_ref().and_then(|l| self.records.get(&EngineId(l.binding.engine))) {
                let inner = left.map_or_else(String::new, |l| l.binding.inner);
                self.effects.push_back(Effect::ReleaseSession {
                    address: record.address,
                    inner,
                    transaction: true,
                });
            }
        }
        let word = ending.word();
        if !s.pages.finish(ending) {
            return;
        }
        // What has ended before it began does not begin.
        s.pending = false;
        if let Some(token) = s.rebuild.as_ref().and_then(|r| r.token.as_ref()) {
            s.pages.session.push(sessions::token_header(token));
        }
        if let Some(client) = s.step_for {
            let trouble = s.pages.end().and_then(|e| e.error()).map(|e| e.message.clone());
            let token = sessions::opened_token(&s.pages.session);
            self.finished_steps.push_back(Step { client, step: id, error: trouble, token });
        }
        self.open -= 1;
        self.timers.remove(&(s.deadline, Timer::Overdue(id)));
        let counts = &mut self.counts;
        match word {
            "served" => counts.served += 1,
            "declined" => counts.declined += 1,
            "refused" => counts.refused += 1,
            "failed" => counts.failed += 1,
            _ => counts.cancelled += 1,
        }
        s.pages.stats.elapsed_time_millis = (self.now - s.accepted) / 1000;
        self.observations.iter_mut().for_each(|sights| sights.statement_ended(s.class, &s.context, word));
        let ended = Effect::Ended {
            id,
            public_id: s.public_id.clone(),
            class: self.names.classes.get(s.class).cloned().unwrap_or_default(),
            attempts: s.attempts,
            ending: word,
            took: Duration::from_micros(self.now - s.accepted),
        };
        self.effects.push_back(ended);
        self.effects.push_back(Effect::NotifyPollers(id));
    }
}
