//! Rebuilding of a lost session's temporary tables on another engine before a statement continues there.

use super::*;

impl Core {
    /// Starts the next step of rebuilding a statement's session. Each step is a statement that is admitted
    /// and charged like any other; after the last one the client's statement itself starts.
    pub(super) fn next_rebuild_step(&mut self, client: StatementId) {
        let id = StatementId(self.next_id);
        let Some(s) = self.statements.get_mut(&client) else { return };
        let Some(rebuild) = &mut s.rebuild else { return };
        let mut context = s.context.clone();
        context.transaction = Some("NONE".into());
        context.session.retain(|(n, _)| n != PROPERTY);
        if let Some(token) = &rebuild.token {
            context.session.push((PROPERTY.to_owned(), token.clone()));
        }
        let Some(text) = rebuild.remaining_statements.pop_front() else {
            s.context.session = context.session.clone();
            return self.finish_rebuild(client);
        };
        rebuild.steps_started += 1;
        let public_id = format!("{}_r{}", s.public_id, rebuild.steps_started);
        let (deadline, class) = (s.deadline, s.class);
        self.next_id += 1;
        let class = match self.selection.selectors.is_empty() {
            true => class,
            false => self.class_of(&Submission {
                public_id: String::new(),
                text: text.clone(),
                context: context.clone(),
            }),
        };
        let admit = self.admit(id, &context, &text);
        let session_use = match admit {
            Admit::InSession(session_use) => Some(session_use),
            Admit::NoSession => None,
            Admit::RebuildFirst(_) | Admit::Ended(..) => {
                return self.fail_rebuild(client, "its session was lost again");
            }
        };
        let statement = Statement {
            public_id,
            text: text.into(),
            context,
            class,
            accepted_at: self.now,
            deadline,
            grant: (0.0, 1),
            attempts: 0,
            current_attempt: None,
            pages: Pages::default(),
            last_poll: self.now,
            waiting_polls: 1,
            rows_sent: false,
            last_error: None,
            pending: false,
            session_use,
            rebuild: None,
            step_for: Some(client),
            protection: None,
        };
        self.open += 1;
        self.statements.insert(id, statement);
        self.set_timer(deadline, Timer::Deadline(id));
        self.submit_request(id);
    }

    /// Starts the client's statement in its rebuilt session.
    pub(super) fn finish_rebuild(&mut self, client: StatementId) {
        let Some(s) = self.statements.get(&client) else { return };
        let (context, text) = (s.context.clone(), s.text.clone());
        match self.admit(client, &context, &text) {
            Admit::InSession(session_use) => {
                if let Some(s) = self.statements.get_mut(&client) {
                    s.session_use = Some(session_use);
                }
                self.submit_request(client);
            }
            _ => self.fail_rebuild(client, "its session was lost again"),
        }
    }

    /// Ends the client's statement because its session could not be rebuilt.
    pub(super) fn fail_rebuild(&mut self, client: StatementId, why: &str) {
        let why = format!("its session could not be rebuilt: {why}");
        self.finish(
            client,
            Ending::Failed(QueryError::new(
                ErrorType::External,
                sessions::SESSION_LOST_CODE,
                sessions::SESSION_LOST,
                why,
            )),
        );
    }

    /// Handles the end of a rebuilding step.
    pub(super) fn rebuild_step_ended(&mut self, step: FinishedStep) {
        self.statements.remove(&step.step);
        let still_needed = self.statements.get(&step.client).is_some_and(|s| s.pages.end().is_none());
        if !still_needed {
            // The client's statement has ended meanwhile, so the rebuilt session is not needed.
            let user = self.statements.get(&step.client).map(|s| s.context.user.clone());
            if let (Some(user), Some(token)) = (user, &step.token) {
                let loss = self.sessions.release(self.now, &user, token);
                self.sessions_lost(loss.into_iter().collect());
            }
            return;
        }
        if let Some(error) = step.error {
            return self.fail_rebuild(step.client, &error);
        }
        if let Some(rebuild) = self.statements.get_mut(&step.client).and_then(|s| s.rebuild.as_mut()) {
            rebuild.token = step.token.or(rebuild.token.take());
        }
        self.next_rebuild_step(step.client);
    }
}
