//! Statements that other gateways can take over if this one is lost: what the core reports about them, and
//! how it adopts and hands over one. Which gateway holds a statement is decided by `violetward-custody`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use violetward::{
    AdoptedAttempt, Answer, Effect as RepeatEffect, Event, Load, Micros, Outcome, Request, RequestId,
};
use violetward_custody as custody;
use violetward_statement::http::Headers;
use violetward_statement::pages::{Ending, Pages, Turn};
use violetward_statement::results::{QueryError, CANCELED, FAILED};
use violetward_statement::session::Context;

use super::{
    Attempt, AttemptId, Core, Effect, ErrorType, Statement, StatementId, Submission, Timer, CANCELED_CODE,
};

/// Time for which the record of a statement is kept after its last page was handed out: the page may not have
/// reached the client.
const RECORD_RETENTION_US: Micros = 1_000_000;

/// Suggested delay of a retry if no other gateway could keep a record of a statement, in milliseconds.
const UNPROTECTED_RETRY_MS: u64 = 1000;

/// Least time that an adopted attempt gets.
const MIN_ADOPTED_ATTEMPT_US: Micros = 1_000_000;

/// An attempt of another gateway to be continued here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Address of its engine.
    pub address: SocketAddr,
    /// The engine's URI of the next page needed.
    pub uri: String,
}

/// What other gateways keep of a statement, to take it over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementRecord {
    /// The encoded statement, with everything needed to start it again.
    pub body: Vec<u8>,
    /// Whether the statement may be repeated.
    pub repeat: custody::RepeatSafety,
    /// Time that is left until the client's deadline.
    pub remaining: Micros,
}

/// The encoding of a statement in its record.
#[derive(Serialize, Deserialize)]
struct EncodedStatement {
    id: String,
    text: String,
    headers: Vec<(String, String)>,
    class: String,
    mark: String,
}

/// Whether the ending of a statement has been recorded.
#[derive(Debug, Clone, PartialEq)]
enum EndingRecord {
    /// There is no ending that has to be recorded.
    None,
    /// The ending is being recorded; the client is not told before.
    Pending(Ending),
    /// The ending is recorded, or need not be.
    Done,
}

/// State of a statement that other gateways can take over.
#[derive(Debug)]
pub(super) struct Protection {
    /// Mark by which engines recognise repeats. It stays the same on every gateway.
    pub(super) mark: String,
    ending_record: EndingRecord,
    /// Adopted from another gateway, and its client has not polled here yet.
    awaits_client: bool,
    /// Adopted from another gateway, whose decision module has charged the tenant for it already.
    adopted: bool,
    /// The attempt to continue at the client's first poll.
    resumption: Option<ResumedAttempt>,
    /// The attempt that ended with its rows or, if a repeat is unsafe, the last one that may have run.
    last_run: Option<custody::InFlightAttempt>,
    /// The record has been released; changes are no longer announced.
    record_released: bool,
}

impl Protection {
    pub(super) fn new(mark: String) -> Protection {
        Protection {
            mark,
            ending_record: EndingRecord::None,
            awaits_client: false,
            adopted: false,
            resumption: None,
            last_run: None,
            record_released: false,
        }
    }

    /// Whether it was adopted and its client has not polled here yet.
    pub(super) fn awaits_client(&self) -> bool {
        self.awaits_client
    }

    pub(super) fn ending_pending(&self) -> bool {
        matches!(self.ending_record, EndingRecord::Pending(_))
    }

    /// Ends without recording the ending, because the client is not going to be told.
    pub(super) fn skip_recording(&mut self) {
        self.ending_record = EndingRecord::Done;
    }
}

/// The number of a page, from the engine's URI of it.
pub(crate) fn page_number(uri: &str) -> Option<u64> {
    uri.rsplit('/').next()?.parse().ok()
}

/// The engine's URI of another page of the same statement.
pub(crate) fn with_page_number(uri: &str, page: u64) -> Option<String> {
    let (stem, last) = uri.rsplit_once('/')?;
    last.parse::<u64>().ok().map(|_| format!("{stem}/{page}"))
}

/// Converts a recorded ending.
pub(crate) fn ending_from_record(recorded: &custody::Ending) -> Ending {
    match recorded {
        custody::Ending::Refused(why) => Ending::Refused(QueryError::refused(why, 0)),
        custody::Ending::Failed(why) => Ending::Failed(QueryError::failed(FAILED, why)),
        custody::Ending::Cancelled => Ending::Cancelled(QueryError::new(
            ErrorType::UserError,
            CANCELED_CODE,
            CANCELED,
            "cancelled by its client",
        )),
    }
}

/// Converts an ending to its recorded form.
pub(crate) fn ending_to_record(ending: &Ending) -> custody::Ending {
    let why = ending.error().map(|e| e.message.clone()).unwrap_or_default();
    match ending {
        Ending::Refused(_) => custody::Ending::Refused(why),
        Ending::Cancelled(_) => custody::Ending::Cancelled,
        Ending::Served | Ending::Declined(_) | Ending::Failed(_) => custody::Ending::Failed(why),
    }
}

impl Core {
    /// Sets by class whether other gateways must be able to take over its statements. Initially no class is
    /// protected.
    pub fn protect_classes(&mut self, classes: Vec<bool>) {
        self.protected_classes = classes;
        self.protected_classes.resize(self.classes.len(), false);
    }

    /// Whether repeating the statement is harmless.
    pub fn is_repeatable(&self, id: StatementId) -> bool {
        let class = self.statements.get(&id).map(|s| &self.classes[s.class]);
        class.is_some_and(|c| c.effect == RepeatEffect::Repeatable)
    }

    /// The deadline of the statement's client.
    pub fn deadline(&self, id: StatementId) -> Option<Micros> {
        self.statements.get(&id).map(|s| s.deadline)
    }

    /// What another gateway needs to start the statement again.
    pub fn statement_record(&self, id: StatementId) -> Option<StatementRecord> {
        let s = self.statements.get(&id)?;
        let mut headers = Headers::default();
        s.context.write(&mut headers);
        let body = EncodedStatement {
            id: s.public_id.clone(),
            text: s.text.to_string(),
            headers: headers.iter().map(|(n, v)| (n.to_owned(), v.to_owned())).collect(),
            class: self.names.classes.get(s.class).cloned().unwrap_or_default(),
            mark: s.protection.as_ref()?.mark.clone(),
        };
        let repeat = match self.classes[s.class].effect {
            RepeatEffect::Repeatable => custody::RepeatSafety::Safe,
            _ => custody::RepeatSafety::Unsafe,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        Some(StatementRecord { body, repeat, remaining: s.deadline.saturating_sub(self.now) })
    }

    /// Number of attempts made, the running attempt and the number of pages handed out of a protected
    /// statement.
    pub fn progress(&self, id: StatementId) -> Option<(u32, Option<custody::InFlightAttempt>, u64)> {
        let s = self.statements.get(&id)?;
        s.protection.as_ref()?;
        let running = s
            .current_attempt
            .and_then(|number| Some(self.attempt_record(number, self.attempts.get(&AttemptId(id, number))?)));
        let last_run = || s.protection.as_ref().and_then(|g| g.last_run.clone());
        Some((s.attempts, running.or_else(last_run), s.pages.passed()))
    }

    fn attempt_record(&self, number: u32, attempt: &Attempt) -> custody::InFlightAttempt {
        custody::InFlightAttempt {
            number,
            engine: self.engine_name(attempt.engine),
            next_uri: attempt.next_uri.clone(),
            next_page: attempt.next_uri.as_deref().and_then(page_number).unwrap_or(0),
            elapsed: self.now.saturating_sub(attempt.sent_at),
            timeout: attempt.deadline.saturating_sub(attempt.sent_at),
        }
    }

    /// Records the end of an attempt. The last page of a successful attempt can still be fetched from the
    /// engine. If a repeat is unsafe, an attempt that may have run stays in the record: without it another
    /// gateway would take the statement for one that has not started.
    pub(super) fn record_attempt_end(&mut self, id: AttemptId, attempt: &Attempt, outcome: Outcome) {
        let (is_repeatable, ended) = (self.is_repeatable(id.0), self.attempt_record(id.1, attempt));
        let Some(protection) = self.statements.get_mut(&id.0).and_then(|s| s.protection.as_mut()) else {
            return;
        };
        match outcome {
            Outcome::Ok | Outcome::Declined => protection.last_run = Some(ended),
            Outcome::ConnectFailed | Outcome::Full | Outcome::Moot => {}
            _ if is_repeatable => {}
            _ => protection.last_run = Some(custody::InFlightAttempt { next_uri: None, ..ended }),
        }
        self.progress_changed(id.0);
    }

    /// The ending decided here has been recorded and can be reported to the client.
    pub fn ending_recorded(&mut self, now: Micros, id: StatementId) {
        self.advance_to(now);
        let Some(protection) = self.statements.get_mut(&id).and_then(|s| s.protection.as_mut()) else {
            return;
        };
        if let EndingRecord::Pending(ending) =
            std::mem::replace(&mut protection.ending_record, EndingRecord::Done)
        {
            self.finish(id, ending);
            self.process_events();
        }
    }

    /// Whether an ending has to be recorded before it is reported: this gateway decided it after an attempt
    /// was started. No other ending replaces it meanwhile.
    pub(super) fn must_record_first(&mut self, id: StatementId, ending: &Ending) -> bool {
        let Some(s) = self.statements.get_mut(&id) else { return false };
        let (attempts, has_ended) = (s.attempts, s.pages.end().is_some());
        let Some(protection) = s.protection.as_mut().filter(|g| !has_ended && !g.record_released) else {
            return false;
        };
        match protection.ending_record {
            EndingRecord::Done => false,
            EndingRecord::Pending(_) => true,
            EndingRecord::None if attempts == 0 || matches!(ending, Ending::Served | Ending::Declined(_)) => {
                false
            }
            EndingRecord::None => {
                protection.ending_record = EndingRecord::Pending(ending.clone());
                s.pending = false;
                self.effects.push_back(Effect::RecordEnding(id, ending.clone()));
                true
            }
        }
    }

    /// Like [`Core::page_after`] for a request that arrived at a time; `None` if the request has to be repeated.
    ///
    /// The gateway from which the statement was adopted may have answered another copy of a request that
    /// arrived before the adoption, even with the ending. Such a request is therefore not told that the
    /// statement goes on; it gets rows, the ending or no answer.
    pub fn page_for_request(
        &mut self,
        now: Micros,
        id: StatementId,
        (token, after): (u64, Option<u64>),
        patient: bool,
        arrived_at: Micros,
    ) -> Option<Turn> {
        if !self.adopted_after(id, arrived_at) {
            return Some(self.page_after(now, id, token, after, patient));
        }
        match self.page_after(now, id, token, after, true) {
            Turn::Page(page) if page.is_empty() => None,
            Turn::Wait if !patient => None,
            turn => Some(turn),
        }
    }

    fn adopted_after(&self, id: StatementId, at: Micros) -> bool {
        let adopted = |s: &&Statement| s.protection.as_ref().is_some_and(|g| g.adopted);
        self.statements.get(&id).filter(adopted).is_some_and(|s| s.accepted_at > at)
    }

    /// Whether a statement was adopted and its client has not polled here yet.
    pub(super) fn awaits_client(&self, id: StatementId) -> bool {
        self.statements.get(&id).and_then(|s| s.protection.as_ref()).is_some_and(|g| g.awaits_client)
    }

    /// Refuses a statement of which no other gateway could keep a record, if it must not run unprotected.
    pub fn refuse_unprotected(&mut self, now: Micros, id: StatementId, why: &str) {
        self.advance_to(now);
        let Some(s) = self.statements.get_mut(&id).filter(|s| s.pages.end().is_none()) else { return };
        if let Some(protection) = s.protection.as_mut() {
            protection.skip_recording();
        }
        self.finish(id, Ending::Refused(QueryError::refused(why, UNPROTECTED_RETRY_MS)));
        self.events.push_back(Event::Lapsed(RequestId(id.0)));
        self.process_events();
    }

    /// Announces that the progress of a protected statement has changed.
    pub(super) fn progress_changed(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        if s.protection.as_ref().is_some_and(|g| !g.record_released) {
            self.effects.push_back(Effect::ProgressChanged(id));
        }
    }

    /// Records that a page was handed out.
    pub(super) fn page_delivered(&mut self, id: StatementId, last: bool) {
        self.progress_changed(id);
        if last && self.statements.get(&id).is_some_and(|s| s.protection.is_some()) {
            self.set_timer(self.now + RECORD_RETENTION_US, Timer::ReleaseRecord(id));
        }
    }

    /// Releases the record of a statement that no client will ask for again or that cannot be taken over.
    pub(super) fn release_record(&mut self, id: StatementId) {
        let Some(protection) = self.statements.get_mut(&id).and_then(|s| s.protection.as_mut()) else {
            return;
        };
        if !std::mem::replace(&mut protection.record_released, true) {
            self.effects.push_back(Effect::ReleaseRecord(id));
        }
    }

    /// The event that reports a statement to the decision module. An adopted statement is reported as such,
    /// so that its tenant is not charged twice and it keeps its place in the order of its key.
    pub(super) fn request_event(&self, id: StatementId, request: Request) -> Event {
        let adopted = |s: &&Statement| s.protection.as_ref().is_some_and(|g| g.adopted);
        let Some(s) = self.statements.get(&id).filter(adopted) else {
            return Event::Request(request);
        };
        let in_flight = s.current_attempt.and_then(|number| self.attempts.get(&AttemptId(id, number)));
        let in_flight =
            in_flight.map(|a| AdoptedAttempt { engine: a.engine, sent: a.sent_at, until: a.deadline });
        Event::Adopted { request, attempts: s.attempts, in_flight }
    }

    /// Adopts a statement of another gateway under a new number.
    ///
    /// # Errors
    ///
    /// If the record cannot be decoded.
    pub fn adopt(&mut self, now: Micros, record: &custody::Record) -> Result<StatementId, String> {
        self.advance_to(now);
        let body: EncodedStatement = serde_json::from_slice(&record.body).map_err(|e| e.to_string())?;
        let mut headers = Headers::default();
        body.headers.iter().for_each(|(name, value)| headers.push(name, value));
        let context = Context::read(&headers)?;
        let submission = Submission { public_id: body.id, text: body.text, context };
        let class_by_name = self.names.classes.iter().position(|n| *n == body.class);
        let class = class_by_name.unwrap_or_else(|| self.class_of(&submission));
        let id = StatementId(self.next_id);
        self.next_id += 1;
        let deadline = self.now + record.remaining_wait;
        let is_repeatable = self.classes[class].effect == RepeatEffect::Repeatable;
        let mut protection = Protection::new(body.mark);
        protection.awaits_client = true;
        protection.adopted = true;
        if record.ending.is_some() {
            protection.skip_recording();
        }
        let out = record.in_flight.as_ref();
        let engine = out.and_then(|o| self.records.values().find(|r| r.name == o.engine));
        let found =
            out.zip(engine).and_then(|(o, r)| Some((o, r.entry.engine, r.address, o.next_uri.clone()?)));
        let mut current_attempt = None;
        if let (Some((out, engine, address, uri)), None) = (&found, &record.ending) {
            let attempt = AttemptId(id, out.number);
            let sent_at = self.now.saturating_sub(out.elapsed);
            // Leaves time for the client to poll here and for the engine to answer.
            let deadline = (sent_at + out.timeout).max(self.now + MIN_ADOPTED_ATTEMPT_US);
            protection.resumption = Some(ResumedAttempt { attempt, address: *address, uri: uri.clone() });
            // It waits for the client's first poll, which says which rows have been received.
            let adopted = Attempt {
                engine: *engine,
                sent_at,
                deadline,
                paused: false,
                last_answer: self.now,
                last_progress: (false, 0),
                next_uri: Some(uri.clone()),
            };
            self.attempts.insert(attempt, adopted);
            self.set_timer(deadline, Timer::Attempt(attempt));
            current_attempt = Some(out.number);
        }
        let cannot_continue =
            current_attempt.is_none() && out.is_some() && !is_repeatable && record.ending.is_none();
        let statement = Statement {
            session_use: None,
            rebuild: None,
            step_for: None,
            protection: Some(Box::new(protection)),
            public_id: submission.public_id,
            text: submission.text.into(),
            context: submission.context,
            class,
            accepted_at: self.now,
            deadline,
            grant: (0.0, 1),
            attempts: record.attempts,
            current_attempt,
            pages: Pages::default(),
            last_poll: self.now,
            waiting_polls: 0,
            rows_sent: false,
            last_error: None,
            // It starts when its client polls here. A client that has received the end does not poll, and
            // many statements are adopted at once.
            pending: current_attempt.is_none() && !cannot_continue,
        };
        self.counts.adopted += 1;
        self.open += 1;
        self.statements.insert(id, statement);
        self.set_timer(self.now + self.abandon_after(), Timer::Client(id));
        self.set_timer(deadline, Timer::Deadline(id));
        if let Some(recorded) = &record.ending {
            self.finish(id, ending_from_record(recorded));
        } else if cannot_continue {
            let why = "its gateway was lost, and its engine's answer with it";
            self.finish(id, Ending::Failed(QueryError::failed(FAILED, why)));
        } else if current_attempt.is_some() {
            self.submit_request(id);
        }
        self.process_events();
        Ok(id)
    }

    /// Continues an adopted statement at its client's first poll here, which says which rows the client has.
    pub(super) fn resume_for_client(&mut self, id: StatementId, token: u64, after: Option<u64>) {
        let Some(s) = self.statements.get_mut(&id) else { return };
        let Some(protection) = s.protection.as_mut() else { return };
        if !std::mem::take(&mut protection.awaits_client) {
            return;
        }
        s.pages.resume(token, after);
        if s.pages.end().is_some() || protection.ending_pending() {
            return;
        }
        let resumption = protection.resumption.take().filter(|r| s.current_attempt == Some(r.attempt.1));
        s.rows_sent = after.is_some();
        let continued = match (resumption, after) {
            (Some(resumed), Some(page)) => {
                with_page_number(&resumed.uri, page).map(|uri| ResumedAttempt { uri, ..resumed })
            }
            (resumed, _) => resumed,
        };
        match continued {
            Some(resumed) => {
                if let Some(attempt) = self.attempts.get_mut(&resumed.attempt) {
                    attempt.last_answer = self.now;
                }
                if after.is_some() {
                    self.events.push_back(Event::Streaming(RequestId(id.0)));
                    let idle = self.limits.stream_idle_timeout.as_micros() as Micros;
                    self.set_timer(self.now + idle, Timer::Stream(resumed.attempt));
                }
                self.effects.push_back(Effect::Resume(Box::new(resumed)));
            }
            None if after.is_some() => {
                let why = "its gateway was lost after rows had been sent, and the rest cannot be found";
                self.finish(id, Ending::Failed(QueryError::failed(FAILED, why)));
                self.events.push_back(Event::Lapsed(RequestId(id.0)));
            }
            None => {}
        }
        self.process_events();
    }

    /// Drops a statement that another gateway holds now. Its running attempt continues for that gateway, and
    /// the client gets no ending from here.
    pub fn detach(&mut self, now: Micros, id: StatementId) {
        self.advance_to(now);
        let Some(s) = self.statements.remove(&id) else { return };
        self.counts.handed_over += 1;
        self.timers.remove(&(s.deadline, Timer::Deadline(id)));
        let running: Vec<AttemptId> =
            self.attempts.keys().filter(|a| a.0 == id && s.current_attempt == Some(a.1)).copied().collect();
        for attempt in running {
            self.effects.push_back(Effect::Detach(attempt));
            if let Some(removed) = self.attempts.remove(&attempt) {
                self.timers.remove(&(removed.deadline, Timer::Attempt(attempt)));
                self.events.push_back(Event::Answer(Answer {
                    id: RequestId(id.0),
                    attempt: attempt.1,
                    outcome: Outcome::Cancelled,
                    took: self.now.saturating_sub(removed.sent_at),
                    complete: true,
                    work: None,
                    memory_mb: None,
                    load: Load::default(),
                }));
            }
        }
        if s.pages.end().is_none() {
            self.open -= 1;
            self.events.push_back(Event::Lapsed(RequestId(id.0)));
        }
        self.effects.push_back(Effect::NotifyPollers(id));
        self.process_events();
    }
}
