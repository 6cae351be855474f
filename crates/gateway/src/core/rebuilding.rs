//! Temporary tables that are made anew on another engine before a statement goes on there.

use super::*;

impl Core {
    /// Begins the next step of rebuilding a statement's session, a statement of its own that is admitted and charged like any;
    /// after the last one the statement itself begins.
    pub(super) fn rebuild(&mut self, client: StatementId) {
        let id = StatementId(self.next_id);
        let Some(s) = self.statements.get_mut(&client) else { return };
        let Some(rebuild) = &mut s.rebuild else { return };
        let mut context = s.context.clone();
        context.transaction = Some("NONE".into());
        context.session.retain(|(n, _)| n != PROPERTY);
        if let Some(token) = &rebuild.token {
            context.session.push((PROPERTY.to_owned(), token.clone()));
        }
        let Some(text) = rebuild.left.pop_front() else {
            s.context.session = context.session.clone();
            return self.rebuilt(client);
        };
        rebuild.done += 1;
        let public_id = format!("{}_r{}", s.public_id, rebuild.done);
        let (due, class) = (s.due, s.class);
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
        let member = match admit {
            Admit::Member(member) => Some(member),
            Admit::Plain => None,
            Admit::Rebuild(_) | Admit::Ended(..) => {
                return self.not_rebuilt(client, "its session was lost again");
            }
        };
        let statement = Statement {
            public_id,
            text: text.into(),
            context,
            class,
            taken: self.now,
            due,
            terms: (0.0, 1),
            attempts: 0,
            current: None,
            pages: Pages::default(),
            polled: self.now,
            waiting: 1,
            bound: false,
            trouble: None,
            pending: false,
            member,
            rebuild: None,
            step_for: Some(client),
            guard: None,
        };
        self.open += 1;
        self.statements.insert(id, statement);
        self.arm(due, Timer::Overdue(id));
        self.begin(id);
    }

    /// All steps are done: the statement runs in its new session.
    pub(super) fn rebuilt(&mut self, client: StatementId) {
        let Some(s) = self.statements.get(&client) else { return };
        let (context, text) = (s.context.clone(), s.text.clone());
        match self.admit(client, &context, &text) {
            Admit::Member(member) => {
                if let Some(s) = self.statements.get_mut(&client) {
                    s.member = Some(member);
                }
                self.begin(client);
            }
            _ => self.not_rebuilt(client, "its session was lost again"),
        }
    }

    pub(super) fn not_rebuilt(&mut self, client: StatementId, why: &str) {
        let why = format!("its session could not be rebuilt: {why}");
        self.finish(
            client,
            Ending::Failed(QueryError::new(ErrorType::External, 0x7611, sessions::LOST, why)),
        );
    }

    /// A step has ended.
    pub(super) fn stepped(&mut self, step: Step) {
        self.statements.remove(&step.step);
        let wanted = self.statements.get(&step.client).is_some_and(|s| s.pages.end().is_none());
        if !wanted {
            // Its client has its end already: nobody will use what was built.
            let user = self.statements.get(&step.client).map(|s| s.context.user.clone());
            if let (Some(user), Some(token)) = (user, &step.token) {
                let loss = self.sessions.let_go(self.now, &user, token);
                self.lose(loss.into_iter().collect());
            }
            return;
        }
        if let Some(trouble) = step.trouble {
            return self.not_rebuilt(step.client, &trouble);
        }
        if let Some(rebuild) = self.statements.get_mut(&step.client).and_then(|s| s.rebuild.as_mut()) {
            rebuild.token = step.token.or(rebuild.token.take());
        }
        self.rebuild(step.client);
    }
}
