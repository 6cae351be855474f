//! What fronts pass on: statements, polls, cancellations.

use super::*;

impl Core {
    /// Takes a statement. What is safe to repeat begins at once; the rest when the first page is asked for: until
    /// then its client knows no address of it, and might post it again if our answer were lost.
    pub fn submit(&mut self, now: Micros, submission: Submission) -> StatementId {
        self.submit_with_protection(now, submission, true)
    }

    /// The same; `guards` if it may be protected.
    pub fn submit_with_protection(
        &mut self,
        now: Micros,
        submission: Submission,
        guards: bool,
    ) -> StatementId {
        self.advance_to(now);
        let id = StatementId(self.next_id);
        self.next_id += 1;
        let class = self.class_of(&submission);
        let give_up = self.classes[class].give_up;
        let wanted = submission.context.property("query_max_run_time");
        let wanted =
            wanted.and_then(violetward_statement::session::duration).map(|d| d.as_micros() as Micros);
        let due = now.saturating_add(wanted.map_or(give_up, |w| w.min(give_up)));
        let admit = self.admit(id, &submission.context, &submission.text);
        let (mut member, mut ended, mut rebuild) = (None, None, None);
        match admit {
            Admit::NoSession => {}
            Admit::InSession(its) => member = Some(its),
            Admit::Ended(ending, headers) => ended = Some((ending, headers)),
            Admit::RebuildFirst(left) => {
                rebuild = Some(Box::new(Rebuild { remaining_statements: left.into(), ..Rebuild::default() }))
            }
        }
        let rebuilds = rebuild.is_some();
        // Sessions live on one engine and in one gateway's table.
        let guards =
            guards && self.protected_classes[class] && !rebuilds && member.is_none() && ended.is_none();
        let guard = guards.then(|| Box::new(Protection::new(format!("{}.{}", self.life, id.0))));
        // What belongs to a session is never repeated behind its client's back.
        let pending = self.classes[class].effect != violetward::Effect::Repeatable || member.is_some();
        let pending = pending && !rebuilds;
        let statement = Statement {
            session_use: member,
            rebuild,
            step_for: None,
            protection: guard,
            public_id: submission.public_id,
            text: submission.text.into(),
            context: submission.context,
            class,
            accepted: now,
            deadline: due,
            grant: (0.0, 1),
            attempts: 0,
            current: None,
            pages: Pages::default(),
            last_poll: now,
            waiting_polls: 0,
            rows_sent: false,
            last_error: None,
            pending,
        };
        self.counts.taken += 1;
        let full = self.open >= self.limits.most_open;
        self.open += 1;
        self.statements.insert(id, statement);
        self.set_timer(now + self.abandon_after(), Timer::Client(id));
        if guards && !full {
            self.effects.push_back(Effect::Protect(id));
        }
        if full {
            self.finish(id, Ending::Refused(QueryError::refused("too many statements are open here", 1000)));
        } else if let Some((ending, headers)) = ended {
            if let Some(s) = self.statements.get_mut(&id) {
                s.pages.session = headers;
                if ending == Ending::Served {
                    s.pages.update = Some((text::first_word(&s.text).to_uppercase(), None));
                }
            }
            self.finish(id, ending);
        } else if rebuilds {
            self.set_timer(due, Timer::Overdue(id));
            self.next_rebuild_step(id);
        } else {
            self.set_timer(due, Timer::Overdue(id));
            if !pending {
                self.begin(id);
            }
        }
        self.process_events();
        id
    }

    pub(super) fn admit(&mut self, id: StatementId, context: &Context, text: &str) -> Admit {
        let records = &self.records;
        let named = |name: &str| records.values().find(|r| r.name == name).map(|r| r.entry.engine);
        self.sessions.admit(self.now, id.0, context, text, named)
    }

    /// Hands a page out; `patient` if the caller would rather wait than get an empty one.
    pub fn page(&mut self, now: Micros, id: StatementId, token: u64, patient: bool) -> Turn {
        self.page_after(now, id, token, None, patient)
    }

    /// The same for a client that says up to which page of the engine it has rows, of whichever gateway it got them.
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
            self.begin(id);
            self.process_events();
        }
        let Some(statement) = self.statements.get_mut(&id) else { return Turn::Unknown };
        let before = statement.pages.begun;
        let turn = statement.pages.take(token, !patient);
        if statement.pages.begun && !before {
            statement.rows_sent = true;
            if let Some(attempt) = statement.current {
                // From here on the rows are the client's: nothing may start again.
                self.events.push_back(Event::Streaming(RequestId(id.0)));
                let heard = self.attempts.get(&AttemptId(id, attempt)).map_or(now, |a| a.last_answer);
                let idle = self.limits.stream_idle.as_micros() as Micros;
                self.set_timer(heard + idle, Timer::Stream(AttemptId(id, attempt)));
            }
        }
        if let Turn::Page(page) = &turn {
            self.page_delivered(id, page.end.is_some());
            self.fetch_page(id);
        } else if self.statements.get(&id).is_some_and(|s| s.protection.is_some()) {
            // That it is asked for says that the page before it has come.
            self.fetch_page(id);
        }
        self.process_events();
        turn
    }

    /// For how long engines drop repeats of a statement that its client has marked.
    pub fn repeat_window(&self, id: StatementId) -> Option<Duration> {
        let s = self.statements.get(&id)?;
        s.context.tagged(&self.selection.repeat_tag)?;
        match self.classes[s.class].effect {
            violetward::Effect::Keyed { window, .. } => Some(Duration::from_micros(window)),
            _ => None,
        }
    }

    /// Whether a statement's end is fixed.
    pub fn has_ended(&self, id: StatementId) -> bool {
        self.statements.get(&id).is_some_and(|s| s.pages.end().is_some())
    }

    /// A poll begins or ends to wait; a client that waits is not let go.
    pub fn set_waiting(&mut self, now: Micros, id: StatementId, waits: bool) {
        self.advance_to(now);
        if let Some(statement) = self.statements.get_mut(&id) {
            statement.waiting_polls =
                if waits { statement.waiting_polls + 1 } else { statement.waiting_polls.saturating_sub(1) };
            statement.last_poll = now;
        }
    }

    /// The client wants no more.
    pub fn cancel(&mut self, now: Micros, id: StatementId) -> bool {
        self.advance_to(now);
        let known = self.statements.contains_key(&id);
        if self.statements.get(&id).is_some_and(|s| s.pages.end().is_none()) {
            let error = QueryError::new(ErrorType::UserError, 3, CANCELED, "cancelled by its client");
            self.finish(id, Ending::Cancelled(error));
            self.events.push_back(Event::Lapsed(RequestId(id.0)));
            self.process_events();
        }
        known
    }

    pub(super) fn class_of(&self, submission: &Submission) -> usize {
        let context = &submission.context;
        let word = text::first_word(&submission.text);
        let any =
            |list: &[String], found: &dyn Fn(&String) -> bool| list.is_empty() || list.iter().any(found);
        let fits = self.selection.selectors.iter().find(|s| {
            any(&s.sources, &|x| *x == context.source)
                && any(&s.users, &|x| *x == context.user)
                && any(&s.tags, &|x| context.tags.contains(x))
                && any(&s.first_words, &|x| *x == word)
        });
        fits.map_or(0, |s| s.class)
    }

    /// Tells the module of a statement.
    pub(super) fn begin(&mut self, id: StatementId) {
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
            marked: s.context.tagged(&self.selection.repeat_tag).is_some(),
            pin: s.session_use.as_ref().and_then(|m| m.pin()),
            due: s.deadline.saturating_sub(margin),
        };
        self.offered_work[s.class] += request.cost as f64 / 1e3;
        let guest =
            self.observations.as_mut().is_some_and(|sights| sights.request_started(&request, &s.context));
        let event = match self.request_event(id, request) {
            Event::Request(request) if guest => Event::Guest(request),
            event => event,
        };
        self.events.push_back(event);
    }
}
