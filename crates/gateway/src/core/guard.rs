//! Statements that outlive their gateway: what the core tells of one, how it takes one over, and how it lets go of one. Which
//! gateway holds a statement is decided elsewhere, by `violetward-custody`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use violetward::{
    AdoptedAttempt, Answer, Effect as Repeats, Event, Load, Micros, Outcome, Request, RequestId,
};
use violetward_custody as custody;
use violetward_statement::http::Headers;
use violetward_statement::pages::{Ending, Pages};
use violetward_statement::results::{QueryError, CANCELED, FAILED};
use violetward_statement::session::Context;

use super::{Attempt, AttemptId, Core, Effect, ErrorType, Statement, StatementId, Submission, Timer};

/// How long after its last page was handed out a statement may still be taken over: that page may not have come.
const AFTER_THE_LAST: Micros = 1_000_000;

/// An attempt of another gateway that is gone on with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Follow {
    /// Which one.
    pub attempt: AttemptId,
    /// Where its engine is.
    pub address: SocketAddr,
    /// The engine's own address of the page that is needed next.
    pub uri: String,
}

/// A statement that is to outlive this gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Taken {
    /// What it takes to begin it anew elsewhere.
    pub body: Vec<u8>,
    /// What a repeat may do.
    pub repeat: custody::RepeatSafety,
    /// How long its client still waits.
    pub left: Micros,
}

#[derive(Serialize, Deserialize)]
struct Body {
    id: String,
    text: String,
    headers: Vec<(String, String)>,
    class: String,
    mark: String,
}

#[derive(Debug, Clone, PartialEq)]
enum Decision {
    Open,
    /// It is being recorded; until then nothing is told.
    Deciding(Ending),
    Decided,
}

/// What a statement carries that is to outlive its gateway.
#[derive(Debug)]
pub(super) struct Guard {
    /// The mark of its repeats, the same wherever it goes.
    pub(super) mark: String,
    decision: Decision,
    /// It came from another gateway, and its client has not asked here yet.
    expects: bool,
    /// Another gateway took it: the module has been asked for it once already, there.
    adopted: bool,
    resume: Option<Follow>,
    /// The attempt that has ended with its rows, or the last one that may have run where a repeat is not harmless.
    ran: Option<custody::InFlightAttempt>,
    forgotten: bool,
}

impl Guard {
    pub(super) fn taken(mark: String) -> Guard {
        Guard {
            mark,
            decision: Decision::Open,
            expects: false,
            adopted: false,
            resume: None,
            ran: None,
            forgotten: false,
        }
    }

    /// It came from another gateway, and its client has not asked here yet.
    pub(super) fn expects(&self) -> bool {
        self.expects
    }

    pub(super) fn deciding(&self) -> bool {
        matches!(self.decision, Decision::Deciding(_))
    }

    /// Its client is told nothing any more: what ends it needs no record.
    pub(super) fn needs_no_record(&mut self) {
        self.decision = Decision::Decided;
    }
}

/// The number of a page, from an engine's own address of it.
pub(crate) fn number(uri: &str) -> Option<u64> {
    uri.rsplit('/').next()?.parse().ok()
}

/// The engine's address of another page of the same statement.
pub(crate) fn numbered(uri: &str, page: u64) -> Option<String> {
    let (stem, last) = uri.rsplit_once('/')?;
    last.parse::<u64>().ok().map(|_| format!("{stem}/{page}"))
}

/// An end, from how it is recorded.
pub(crate) fn ended(recorded: &custody::Ending) -> Ending {
    match recorded {
        custody::Ending::Refused(why) => Ending::Refused(QueryError::refused(why, 0)),
        custody::Ending::Failed(why) => Ending::Failed(QueryError::failed(FAILED, why)),
        custody::Ending::Cancelled => {
            Ending::Cancelled(QueryError::new(ErrorType::UserError, 3, CANCELED, "cancelled by its client"))
        }
    }
}

/// An end as it is recorded.
pub(crate) fn recorded(ending: &Ending) -> custody::Ending {
    let why = ending.error().map(|e| e.message.clone()).unwrap_or_default();
    match ending {
        Ending::Refused(_) => custody::Ending::Refused(why),
        Ending::Cancelled(_) => custody::Ending::Cancelled,
        Ending::Served | Ending::Declined(_) | Ending::Failed(_) => custody::Ending::Failed(why),
    }
}

impl Core {
    /// Statements of these classes are to outlive this gateway; none unless told.
    pub fn guard(&mut self, classes: Vec<bool>) {
        self.guarded = classes;
        self.guarded.resize(self.classes.len(), false);
    }

    /// Whether a repeat of a statement is harmless.
    pub fn is_harmless(&self, id: StatementId) -> bool {
        let class = self.statements.get(&id).map(|s| &self.classes[s.class]);
        class.is_some_and(|c| c.effect == Repeats::Repeatable)
    }

    /// When the client of a statement stops waiting.
    pub fn due(&self, id: StatementId) -> Option<Micros> {
        self.statements.get(&id).map(|s| s.due)
    }

    /// What another gateway needs to know of a statement to begin it anew.
    pub fn taken(&self, id: StatementId) -> Option<Taken> {
        let s = self.statements.get(&id)?;
        let mut headers = Headers::default();
        s.context.write(&mut headers);
        let body = Body {
            id: s.public_id.clone(),
            text: s.text.to_string(),
            headers: headers.iter().map(|(n, v)| (n.to_owned(), v.to_owned())).collect(),
            class: self.names.classes.get(s.class).cloned().unwrap_or_default(),
            mark: s.guard.as_ref()?.mark.clone(),
        };
        let repeat = match self.classes[s.class].effect {
            Repeats::Repeatable => custody::RepeatSafety::Safe,
            _ => custody::RepeatSafety::Unsafe,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        Some(Taken { body, repeat, left: s.due.saturating_sub(self.now) })
    }

    /// Attempts spent, the attempt that is out, and the pages handed out of a statement that is to outlive this gateway.
    pub fn progress(&self, id: StatementId) -> Option<(u32, Option<custody::InFlightAttempt>, u64)> {
        let s = self.statements.get(&id)?;
        s.guard.as_ref()?;
        let out =
            s.current.and_then(|number| Some(self.out(number, self.attempts.get(&AttemptId(id, number))?)));
        let ran = || s.guard.as_ref().and_then(|g| g.ran.clone());
        Some((s.attempts, out.or_else(ran), s.pages.passed()))
    }

    fn out(&self, number: u32, attempt: &Attempt) -> custody::InFlightAttempt {
        custody::InFlightAttempt {
            number,
            engine: self.name(attempt.engine),
            next_uri: attempt.next.clone(),
            next_page: attempt.next.as_deref().and_then(self::number).unwrap_or(0),
            elapsed: self.now.saturating_sub(attempt.sent),
            timeout: attempt.until.saturating_sub(attempt.sent),
        }
    }

    /// An attempt has ended. The engine still gives the last page of one that ended with rows. One that may have run is told of
    /// on and on where a repeat is not harmless: who knows nothing of it would take the statement for one that waits.
    pub(super) fn closed(&mut self, id: AttemptId, attempt: &Attempt, outcome: Outcome) {
        let (harmless, out) = (self.is_harmless(id.0), self.out(id.1, attempt));
        let Some(guard) = self.statements.get_mut(&id.0).and_then(|s| s.guard.as_mut()) else { return };
        match outcome {
            Outcome::Ok | Outcome::Declined => guard.ran = Some(out),
            Outcome::ConnectFailed | Outcome::Full | Outcome::Moot => {}
            _ if harmless => {}
            _ => guard.ran = Some(custody::InFlightAttempt { next_uri: None, ..out }),
        }
        self.noted(id.0);
    }

    /// The end that was decided here is recorded: it may be told.
    pub fn decided(&mut self, now: Micros, id: StatementId) {
        self.pass(now);
        let Some(guard) = self.statements.get_mut(&id).and_then(|s| s.guard.as_mut()) else { return };
        if let Decision::Deciding(ending) = std::mem::replace(&mut guard.decision, Decision::Decided) {
            self.finish(id, ending);
            self.run();
        }
    }

    /// Whether an end has to be recorded before it is told: one that was decided here, after an attempt was out. Until then no
    /// other end takes its place.
    pub(super) fn decides_first(&mut self, id: StatementId, ending: &Ending) -> bool {
        let Some(s) = self.statements.get_mut(&id) else { return false };
        let (attempts, over) = (s.attempts, s.pages.end().is_some());
        let Some(guard) = s.guard.as_mut().filter(|g| !over && !g.forgotten) else { return false };
        match guard.decision {
            Decision::Decided => false,
            Decision::Deciding(_) => true,
            Decision::Open if attempts == 0 || matches!(ending, Ending::Served | Ending::Declined(_)) => {
                false
            }
            Decision::Open => {
                guard.decision = Decision::Deciding(ending.clone());
                s.pending = false;
                self.effects.push_back(Effect::Decide(id, ending.clone()));
                true
            }
        }
    }

    /// Whether a statement came from another gateway and its client has not asked here yet.
    pub(super) fn expects(&self, id: StatementId) -> bool {
        self.statements.get(&id).and_then(|s| s.guard.as_ref()).is_some_and(|g| g.expects)
    }

    /// Nobody could keep a statement, and it is not to go on like that.
    pub fn refuse_unguarded(&mut self, now: Micros, id: StatementId, why: &str) {
        self.pass(now);
        let Some(s) = self.statements.get_mut(&id).filter(|s| s.pages.end().is_none()) else { return };
        if let Some(guard) = s.guard.as_mut() {
            guard.needs_no_record();
        }
        self.finish(id, Ending::Refused(QueryError::refused(why, 1000)));
        self.inbox.push_back(Event::Lapsed(RequestId(id.0)));
        self.run();
    }

    /// Something about a statement has changed that another gateway would want to know.
    pub(super) fn noted(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        if s.guard.as_ref().is_some_and(|g| !g.forgotten) {
            self.effects.push_back(Effect::Noted(id));
        }
    }

    /// A page has been handed out.
    pub(super) fn passed_on(&mut self, id: StatementId, last: bool) {
        self.noted(id);
        if last && self.statements.get(&id).is_some_and(|s| s.guard.is_some()) {
            self.arm(self.now + AFTER_THE_LAST, Timer::Forget(id));
        }
    }

    /// Nobody will come back for a statement, or it cannot go anywhere else.
    pub(super) fn forget(&mut self, id: StatementId) {
        let Some(guard) = self.statements.get_mut(&id).and_then(|s| s.guard.as_mut()) else { return };
        if !std::mem::replace(&mut guard.forgotten, true) {
            self.effects.push_back(Effect::Forget(id));
        }
    }

    /// The event by which the module hears of a statement: one that another gateway took is adopted, so that its tenant is not
    /// charged for it again and its turn among those of its key is kept.
    pub(super) fn begins(&self, id: StatementId, request: Request) -> Event {
        let adopted = |s: &&Statement| s.guard.as_ref().is_some_and(|g| g.adopted);
        let Some(s) = self.statements.get(&id).filter(adopted) else {
            return Event::Request(request);
        };
        let out = s.current.and_then(|number| self.attempts.get(&AttemptId(id, number)));
        let out = out.map(|a| AdoptedAttempt { engine: a.engine, sent: a.sent, until: a.until });
        Event::Adopted { request, attempts: s.attempts, out }
    }

    /// Goes on with a statement of another gateway, under a number of its own.
    ///
    /// # Errors
    /// If what was recorded cannot be read.
    pub fn adopt(&mut self, now: Micros, record: &custody::Record) -> Result<StatementId, String> {
        self.pass(now);
        let body: Body = serde_json::from_slice(&record.body).map_err(|e| e.to_string())?;
        let mut headers = Headers::default();
        body.headers.iter().for_each(|(name, value)| headers.push(name, value));
        let context = Context::read(&headers)?;
        let submission = Submission { public_id: body.id, text: body.text, context };
        let named = self.names.classes.iter().position(|n| *n == body.class);
        let class = named.unwrap_or_else(|| self.class_of(&submission));
        let id = StatementId(self.next_id);
        self.next_id += 1;
        let due = self.now + record.remaining_wait;
        let harmless = self.classes[class].effect == Repeats::Repeatable;
        let mut guard = Guard::taken(body.mark);
        guard.expects = true;
        guard.adopted = true;
        if record.ending.is_some() {
            guard.needs_no_record();
        }
        let out = record.in_flight.as_ref();
        let engine = out.and_then(|o| self.records.values().find(|r| r.name == o.engine));
        let found =
            out.zip(engine).and_then(|(o, r)| Some((o, r.entry.engine, r.address, o.next_uri.clone()?)));
        let mut current = None;
        if let (Some((out, engine, address, uri)), None) = (&found, &record.ending) {
            let attempt = AttemptId(id, out.number);
            let sent = self.now.saturating_sub(out.elapsed);
            // Time for its client to come and for the engine to answer.
            let until = (sent + out.timeout).max(self.now + 1_000_000);
            let next = Some(uri.clone());
            guard.resume = Some(Follow { attempt, address: *address, uri: uri.clone() });
            // It waits for its client, who alone knows which rows have come.
            let paused = Attempt {
                engine: *engine,
                sent,
                until,
                paused: false,
                heard: self.now,
                noted: (false, 0),
                next,
            };
            self.attempts.insert(attempt, paused);
            self.arm(until, Timer::Attempt(attempt));
            current = Some(out.number);
        }
        let fails = current.is_none() && out.is_some() && !harmless && record.ending.is_none();
        let statement = Statement {
            member: None,
            rebuild: None,
            step_for: None,
            guard: Some(Box::new(guard)),
            public_id: submission.public_id,
            text: submission.text.into(),
            context: submission.context,
            class,
            taken: self.now,
            due,
            terms: (0.0, 1),
            attempts: record.attempts,
            current,
            pages: Pages::default(),
            polled: self.now,
            waiting: 0,
            bound: false,
            trouble: None,
            // It begins when its client asks here: one that has its end already does not ask, and many come over at once.
            pending: current.is_none() && !fails,
        };
        self.counts.adopted += 1;
        self.open += 1;
        self.statements.insert(id, statement);
        self.arm(self.now + self.abandon_after(), Timer::Client(id));
        self.arm(due, Timer::Overdue(id));
        if let Some(recorded) = &record.ending {
            self.finish(id, ended(recorded));
        } else if fails {
            let why = "its gateway was lost, and its engine's answer with it";
            self.finish(id, Ending::Failed(QueryError::failed(FAILED, why)));
        } else if current.is_some() {
            self.begin(id);
        }
        self.run();
        Ok(id)
    }

    /// The client of a statement that came from elsewhere asks here for the first time: only now it is known which rows it has.
    pub(super) fn go_on(&mut self, id: StatementId, token: u64, after: Option<u64>) {
        let Some(s) = self.statements.get_mut(&id) else { return };
        let Some(guard) = s.guard.as_mut() else { return };
        if !std::mem::take(&mut guard.expects) {
            return;
        }
        s.pages.resume(token, after);
        if s.pages.end().is_some() || guard.deciding() {
            return;
        }
        let resume = guard.resume.take().filter(|f| s.current == Some(f.attempt.1));
        s.bound = after.is_some();
        let at = match (resume, after) {
            (Some(follow), Some(page)) => numbered(&follow.uri, page).map(|uri| Follow { uri, ..follow }),
            (follow, _) => follow,
        };
        match at {
            Some(follow) => {
                if let Some(attempt) = self.attempts.get_mut(&follow.attempt) {
                    attempt.heard = self.now;
                }
                if after.is_some() {
                    self.inbox.push_back(Event::Streaming(RequestId(id.0)));
                    let idle = self.host.stream_idle.as_micros() as Micros;
                    self.arm(self.now + idle, Timer::Stream(follow.attempt));
                }
                self.effects.push_back(Effect::Follow(Box::new(follow)));
            }
            None if after.is_some() => {
                let why = "its gateway was lost after rows had been sent, and the rest cannot be found";
                self.finish(id, Ending::Failed(QueryError::failed(FAILED, why)));
                self.inbox.push_back(Event::Lapsed(RequestId(id.0)));
            }
            None => {}
        }
        self.run();
    }

    /// Another gateway holds the statement: what is out goes on for that one, and nothing is told here.
    pub fn leave(&mut self, now: Micros, id: StatementId) {
        self.pass(now);
        let Some(s) = self.statements.remove(&id) else { return };
        self.counts.left += 1;
        self.timers.remove(&(s.due, Timer::Overdue(id)));
        let out: Vec<AttemptId> =
            self.attempts.keys().filter(|a| a.0 == id && s.current == Some(a.1)).copied().collect();
        for attempt in out {
            self.effects.push_back(Effect::Leave(attempt));
            if let Some(gone) = self.attempts.remove(&attempt) {
                self.timers.remove(&(gone.until, Timer::Attempt(attempt)));
                self.inbox.push_back(Event::Answer(Answer {
                    id: RequestId(id.0),
                    attempt: attempt.1,
                    outcome: Outcome::Cancelled,
                    took: self.now.saturating_sub(gone.sent),
                    complete: true,
                    work: None,
                    memory_mb: None,
                    load: Load::default(),
                }));
            }
        }
        if s.pages.end().is_none() {
            self.open -= 1;
            self.inbox.push_back(Event::Lapsed(RequestId(id.0)));
        }
        self.effects.push_back(Effect::Wake(id));
        self.run();
    }
}
