//! Handling of requests from the fronts: statements, polls and cancellations.

use super::*;

/// Suggested delay of a retry while too many statements are open, in milliseconds.
const OVERLOAD_RETRY_MS: u64 = 1000;

impl Core {
    /// Accepts a statement. A repeatable statement starts at once, any other when its first page is
    /// requested: until then the client knows no URI of the statement and might post it again if the answer
    /// to the post were lost.
    pub fn submit(&mut self, now: Micros, submission: Submission) -> StatementId {
        self.submit_with_protection(now, submission, true)
    }

    /// Like [`Core::submit`]; `may_protect` says whether other gateways may be made to hold a record of the
    /// statement.
    pub fn submit_with_protection(
        &mut self,
        now: Micros,
        submission: Submission,
        may_protect: bool,
    ) -> StatementId {
        self.advance_to(now);
        let id = StatementId(self.next_id);
        self.next_id += 1;
        let class = self.class_of(&submission);
        let give_up = self.classes[class].client_timeout;
        let max_run_time = submission.context.property("query_max_run_time");
        let max_run_time =
            max_run_time.and_then(violetward_statement::session::duration).map(|d| d.as_micros() as Micros);
        let deadline = now.saturating_add(max_run_time.map_or(give_up, |w| w.min(give_up)));
        let admit = self.admit(id, &submission.context, &submission.text);
        let (mut session_use, mut ended, mut rebuild) = (None, None, None);
        match admit {
            Admit::NoSession => {}
            Admit::InSession(found) => session_use = Some(found),
            Admit::Ended(ending, headers) => ended = Some((ending, headers)),
            Admit::RebuildFirst(statements) => {
                rebuild =
                    Some(Box::new(Rebuild { remaining_statements: statements.into(), ..Rebuild::default() }))
            }
        }
        let needs_rebuild = rebuild.is_some();
        // A session is bound to one engine and known to one gateway only, so its statements cannot be taken
        // over.
        let may_protect = may_protect
            && self.protected_classes[class]
            && !needs_rebuild
            && session_use.is_none()
            && ended.is_none();
        let protection =
            may_protect.then(|| Box::new(Protection::new(format!("{}.{}", self.instance, id.0))));
        // Statements of a session are never repeated without the client's request.
        let pending = self.classes[class].effect != violetward::Effect::Repeatable || session_use.is_some();
        let pending = pending && !needs_rebuild;
        let statement = Statement {
            session_use,
            rebuild,
            step_for: None,
            protection,
            public_id: submission.public_id,
            text: submission.text.into(),
            context: submission.context,
            class,
            accepted_at: now,
            deadline,
            grant: (0.0, 1),
            attempts: 0,
            current_attempt: None,
            pages: Pages::default(),
            last_poll: now,
            waiting_polls: 0,
            rows_sent: false,
            last_error: None,
            pending,
        };
        self.counts.taken += 1;
        let too_many = self.open >= self.limits.most_open;
        self.open += 1;
        self.statements.insert(id, statement);
        self.set_timer(now + self.abandon_after(), Timer::Client(id));
        if may_protect && !too_many {
            self.effects.push_back(Effect::Protect(id));
        }
        if too_many {
            self.finish(
                id,
                Ending::Refused(QueryError::refused("too many statements are open here", OVERLOAD_RETRY_MS)),
            );
        } else if let Some((ending, headers)) = ended {
            if let Some(s) = self.statements.get_mut(&id) {
                s.pages.session = headers;
                if ending == Ending::Served {
                    s.pages.update = Some((text::first_word(&s.text).to_uppercase(), None));
                }
            }
            self.finish(id, ending);
        } else if needs_rebuild {
            self.set_timer(deadline, Timer::Deadline(id));
            self.next_rebuild_step(id);
        } else {
            self.set_timer(deadline, Timer::Deadline(id));
            if !pending {
                self.submit_request(id);
            }
        }
        self.process_events();
        id
    }

    pub(super) fn admit(&mut self, id: StatementId, context: &Context, text: &str) -> Admit {
        let records = &self.records;
        let engine_by_name = |name: &str| records.values().find(|r| r.name == name).map(|r| r.entry.engine);
        self.sessions.admit(self.now, id.0, context, text, engine_by_name)
    }

    /// Hands out a page. With `patient`, the caller prefers [`Turn::Wait`] over an empty page.
    pub fn page(&mut self, now: Micros, id: StatementId, token: u64, patient: bool) -> Turn {
        self.page_after(now, id, token, None, patient)
    }

    /// Like [`Core::page`]. `after` is the number of the engine page that follows the rows which the client
    /// has received, from whichever gateway; `None` if it has received none.
    pub fn page_after(
        &mut self,
        now: Micros,
        id: StatementId,
        token: u64,
        after: Option<u64>,
        patient: bool,
    ) -> Turn {
        self.advance_to(now);
        self.resume_for_client(id, token, after);
        let Some(statement) = self.statements.get_mut(&id) else { return Turn::Unknown };
        statement.last_poll = now;
        if std::mem::take(&mut statement.pending) {
            self.submit_request(id);
            self.process_events();
        }
        let Some(statement) = self.statements.get_mut(&id) else { return Turn::Unknown };
        let had_begun = statement.pages.begun;
        let turn = statement.pages.take(token, !patient);
        if statement.pages.begun && !had_begun {
            statement.rows_sent = true;
            if let Some(attempt) = statement.current_attempt {
                // The client has rows of this attempt now, so it must not be restarted.
                self.events.push_back(Event::Streaming(RequestId(id.0)));
                let last_answer = self.attempts.get(&AttemptId(id, attempt)).map_or(now, |a| a.last_answer);
                let idle = self.limits.stream_idle.as_micros() as Micros;
                self.set_timer(last_answer + idle, Timer::Stream(AttemptId(id, attempt)));
            }
        }
        if let Turn::Page(page) = &turn {
            self.page_delivered(id, page.end.is_some());
            self.fetch_page(id);
        } else if self.statements.get(&id).is_some_and(|s| s.protection.is_some()) {
            // The request for this page confirms that the client has received the one before it.
            self.fetch_page(id);
        }
        self.process_events();
        turn
    }

    /// Time for which engines discard repeats of a statement that carries the client's repeat mark.
    pub fn repeat_window(&self, id: StatementId) -> Option<Duration> {
        let s = self.statements.get(&id)?;
        s.context.tagged(&self.selection.repeat_tag)?;
        match self.classes[s.class].effect {
            violetward::Effect::Keyed { window, .. } => Some(Duration::from_micros(window)),
            _ => None,
        }
    }

    /// Whether the ending of a statement is known.
    pub fn has_ended(&self, id: StatementId) -> bool {
        self.statements.get(&id).is_some_and(|s| s.pages.end().is_some())
    }

    /// Records that a poll starts or stops waiting. A client with a waiting poll is not considered gone.
    pub fn set_waiting(&mut self, now: Micros, id: StatementId, waits: bool) {
        self.advance_to(now);
        if let Some(statement) = self.statements.get_mut(&id) {
            statement.waiting_polls =
                if waits { statement.waiting_polls + 1 } else { statement.waiting_polls.saturating_sub(1) };
            statement.last_poll = now;
        }
    }

    /// Cancels a statement on behalf of its client. Returns whether the statement is known.
    pub fn cancel(&mut self, now: Micros, id: StatementId) -> bool {
        self.advance_to(now);
        let known = self.statements.contains_key(&id);
        if self.statements.get(&id).is_some_and(|s| s.pages.end().is_none()) {
            let error =
                QueryError::new(ErrorType::UserError, CANCELED_CODE, CANCELED, "cancelled by its client");
            self.finish(id, Ending::Cancelled(error));
            self.events.push_back(Event::Lapsed(RequestId(id.0)));
            self.process_events();
        }
        known
    }

    /// The class of the first selector that matches, or the first class.
    pub(super) fn class_of(&self, submission: &Submission) -> usize {
        let context = &submission.context;
        let first_word = text::first_word(&submission.text);
        let matches =
            |list: &[String], test: &dyn Fn(&String) -> bool| list.is_empty() || list.iter().any(test);
        let selector = self.selection.selectors.iter().find(|s| {
            matches(&s.sources, &|x| *x == context.source)
                && matches(&s.users, &|x| *x == context.user)
                && matches(&s.tags, &|x| context.tags.contains(x))
                && matches(&s.first_words, &|x| *x == first_word)
        });
        selector.map_or(0, |s| s.class)
    }

    /// Reports a statement to the decision module.
    pub(super) fn submit_request(&mut self, id: StatementId) {
        let Some(s) = self.statements.get_mut(&id) else { return };
        s.pending = false;
        let class = &self.classes[s.class];
        let micros = |d: Duration| d.as_micros() as Micros;
        let cost = s.context.estimated_cpu.map(micros).or_else(|| {
            s.context.estimated_time.map(|d| micros(d).saturating_mul(u64::from(class.threads.max(1))))
        });
        let key = s.context.tagged(&self.selection.key_tag).filter(|_| !self.selection.key_tag.is_empty());
        let group = s.context.tagged(&self.selection.group_tag).map(str::to_owned);
        let group = group.or_else(|| text::first_table(&s.text)).unwrap_or_default();
        let tenant = s.context.tagged(&self.selection.tenant_tag);
        let tenant = tenant.and_then(|t| self.names.tenants.iter().position(|n| n == t)).unwrap_or(0);
        let margin = micros(self.limits.reply_margin);
        let request = Request {
            id: RequestId(id.0),
            class: ClassId(s.class),
            tenant: TenantId(tenant),
            cost: cost.unwrap_or(0),
            memory_mb: s.context.estimated_memory.map_or(0.0, |b| b as f64 / f64::from(1 << 20)),
            group: GroupId(hash(&group)),
            key: key.map(|k| OrderKey(k.to_owned())),
            is_retry: false,
            has_dedup_key: s.context.tagged(&self.selection.repeat_tag).is_some(),
            pin: s.session_use.as_ref().and_then(|m| m.pin()),
            deadline: s.deadline.saturating_sub(margin),
        };
        self.offered_work[s.class] += request.cost as f64 / 1e3;
        let guest = self
            .observations
            .as_mut()
            .is_some_and(|observations| observations.request_started(&request, &s.context));
        let event = match self.request_event(id, request) {
            Event::Request(request) if guest => Event::Guest(request),
            event => event,
        };
        self.events.push_back(event);
    }
}
