//! The pages of one statement: what its engine has sent, what its client has taken. Free of I/O and clock.
//!
//! Pages are numbered by tokens. The last page handed out can be asked for again and is the same; the next one is
//! made from what has come in; older ones are gone. Asking for a page says that the one before it has arrived.

use std::collections::VecDeque;
use std::rc::Rc;

use serde::Serialize;
use serde_json::value::RawValue;

use crate::results::{PageRef, QueryError, Stats};

/// How a statement ended. It never changes once set.
#[derive(Debug, Clone, PartialEq)]
pub enum Ending {
    /// All rows are there.
    Served,
    /// The engine answered that the statement itself is wrong.
    Declined(QueryError),
    /// Refused: a further try is harmless; advice in milliseconds.
    Refused(QueryError),
    /// Failed: it may have run.
    Failed(QueryError),
    /// Its client cancelled it.
    Cancelled(QueryError),
}

impl Ending {
    /// What the client is told, if it is an error.
    pub fn error(&self) -> Option<&QueryError> {
        match self {
            Ending::Served => None,
            Ending::Declined(e) | Ending::Refused(e) | Ending::Failed(e) | Ending::Cancelled(e) => Some(e),
        }
    }

    /// A word for logs and counts.
    pub fn word(&self) -> &'static str {
        match self {
            Ending::Served => "served",
            Ending::Declined(_) => "declined",
            Ending::Refused(_) => "refused",
            Ending::Failed(_) => "failed",
            Ending::Cancelled(_) => "cancelled",
        }
    }
}

/// A part of a result, as it came from an engine.
#[derive(Debug, Clone, Default)]
pub struct Part {
    /// Columns, on the first part that knows them.
    pub columns: Option<Rc<RawValue>>,
    /// Rows.
    pub data: Option<Rc<RawValue>>,
    /// Bytes that it holds.
    pub bytes: usize,
    /// The number that the engine gave to the page after it, where one is known.
    pub next: Option<u64>,
}

/// A page as it is handed out; the same for every asking.
#[derive(Debug, Clone)]
pub struct Page {
    /// Its number.
    pub token: u64,
    /// Columns, once known.
    pub columns: Option<Rc<RawValue>>,
    /// Rows.
    pub data: Option<Rc<RawValue>>,
    /// The number of the engine's page after the rows handed out so far; `None` before any.
    pub after: Option<u64>,
    /// How the statement got on when the page was made.
    pub stats: Stats,
    /// The end; the last page has one.
    pub end: Option<Ending>,
    /// What a statement that is no query did.
    pub update: Option<(String, Option<i64>)>,
    /// Changes of the client's session, header names and values.
    pub session: Vec<(String, String)>,
}

impl Page {
    /// Whether it has neither rows nor the end.
    pub fn is_empty(&self) -> bool {
        self.data.is_none() && self.end.is_none()
    }
}

/// What asking for a page gives.
#[derive(Debug, Clone)]
pub enum Turn {
    /// The page.
    Page(Rc<Page>),
    /// Nothing new yet.
    Wait,
    /// It was handed out and is gone.
    Gone,
    /// It was never offered.
    Unknown,
}

/// The pages of one statement.
#[derive(Debug, Default)]
pub struct Pages {
    parts: VecDeque<Part>,
    held: usize,
    last: Option<Rc<Page>>,
    columns: Option<Rc<RawValue>>,
    /// Rows have been handed out.
    pub begun: bool,
    /// The number of the first page here: pages before it were handed out elsewhere.
    first: u64,
    /// See [`Page::after`].
    after: Option<u64>,
    /// The client has asked for what follows the last page: it has got that one.
    confirmed: bool,
    /// How it gets on.
    pub stats: Stats,
    /// What a statement that is no query did.
    pub update: Option<(String, Option<i64>)>,
    /// Changes of the client's session.
    pub session: Vec<(String, String)>,
    end: Option<Ending>,
}

impl Pages {
    /// Bytes of rows that wait for the client.
    pub fn held(&self) -> usize {
        self.held
    }

    /// The end, once fixed.
    pub fn end(&self) -> Option<&Ending> {
        self.end.as_ref()
    }

    /// Takes a part from the engine.
    pub fn push(&mut self, part: Part) {
        if self.end.is_some() {
            return;
        }
        if part.columns.is_some() && self.columns.is_none() {
            self.columns = part.columns.clone();
        }
        if part.data.is_some() || part.columns.is_some() {
            self.held += part.bytes;
            self.parts.push_back(part);
        }
    }

    /// Forgets what an attempt has sent, so that another may start from the beginning. Only while nothing of it has
    /// been handed out; false otherwise.
    pub fn restart(&mut self) -> bool {
        if self.begun {
            return false;
        }
        self.parts.clear();
        self.held = 0;
        self.columns = None;
        self.update = None;
        self.session.clear();
        true
    }

    /// Fixes the end; a second one changes nothing and gives false. Rows of what did not succeed are dropped.
    pub fn finish(&mut self, end: Ending) -> bool {
        if self.end.is_some() {
            return false;
        }
        if end != Ending::Served {
            self.parts.clear();
            self.held = 0;
        }
        self.stats.state = if end == Ending::Served { "FINISHED" } else { "FAILED" }.into();
        self.end = Some(end);
        true
    }

    /// Whether the page could be given at once, without handing it out.
    pub fn is_ready(&self, token: u64) -> bool {
        match &self.last {
            Some(last) if last.token == token => true,
            _ => token != self.next_token() || !self.parts.is_empty() || self.end.is_some(),
        }
    }

    fn next_token(&self) -> u64 {
        self.last.as_ref().map_or(self.first, |l| l.token + 1)
    }

    /// Pages handed out so far, those of others included.
    pub fn passed(&self) -> u64 {
        self.next_token()
    }

    /// Goes on where another one has stopped: the next page is this one, and the rows handed out end before that page of the
    /// engine. Only while nothing has been handed out here.
    pub fn resume(&mut self, token: u64, after: Option<u64>) {
        if self.last.is_none() {
            (self.first, self.after, self.begun) = (token, after, after.is_some());
        }
    }

    /// Nothing that its client may not have got would be lost if the engine were asked for its next page: engines give the last
    /// page again, and no earlier one.
    pub fn may_advance(&self) -> bool {
        let got = self.confirmed || self.last.as_ref().is_none_or(|l| l.data.is_none());
        self.parts.is_empty() && got
    }

    /// Hands a page out. With `now_or_empty`, an empty page is given if there is nothing new.
    pub fn take(&mut self, token: u64, now_or_empty: bool) -> Turn {
        if let Some(last) = self.last.as_ref().filter(|l| l.token == token) {
            return Turn::Page(last.clone());
        }
        let next = self.next_token();
        if token != next || self.last.as_ref().is_some_and(|l| l.end.is_some()) {
            return if token < next { Turn::Gone } else { Turn::Unknown };
        }
        self.confirmed = true;
        if !self.is_ready(token) && !now_or_empty {
            return Turn::Wait;
        }
        let part = self.parts.pop_front().unwrap_or_default();
        self.held -= part.bytes.min(self.held);
        if part.data.is_some() {
            (self.begun, self.after, self.confirmed) = (true, part.next, false);
        }
        let end = self.end.clone().filter(|_| self.parts.is_empty());
        let update = self.update.clone().filter(|_| end.is_some());
        let session = if end.is_some() { self.session.clone() } else { Vec::new() };
        let (columns, stats) = (self.columns.clone(), self.stats.clone());
        let after = self.after;
        let page = Rc::new(Page { token, columns, data: part.data, after, stats, end, update, session });
        self.last = Some(page.clone());
        Turn::Page(page)
    }

    /// The last page has been handed out.
    pub fn is_over(&self) -> bool {
        self.last.as_ref().is_some_and(|l| l.end.is_some())
    }
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Document<'a> {
    id: &'a str,
    info_uri: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    next_uri: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    columns: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    data: Option<&'a RawValue>,
    stats: &'a Stats,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<&'a QueryError>,
    warnings: [u8; 0],
    #[serde(skip_serializing_if = "Option::is_none")]
    update_type: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    update_count: Option<i64>,
}

/// A page as the protocol writes it: the same bytes for the same page. `base` is the server's address as its client
/// calls it, such as `http://127.0.0.1:8080`.
pub fn document(base: &str, page: &PageRef, made: &Page) -> Vec<u8> {
    let next = PageRef { token: made.token + 1, ..page.clone() };
    let next = made.end.is_none().then(|| format!("{base}{}", next.path()));
    let document = Document {
        id: &page.id,
        info_uri: &format!("{base}/v1/info"),
        next_uri: next.as_deref(),
        columns: made.columns.as_deref(),
        data: made.data.as_deref(),
        stats: &made.stats,
        error: made.end.as_ref().and_then(|e| e.error()),
        warnings: [],
        update_type: made.update.as_ref().map(|u| u.0.as_str()),
        update_count: made.update.as_ref().and_then(|u| u.1),
    };
    serde_json::to_vec(&document).unwrap_or_default()
}

/// The answer to a statement just taken: where its first page will be.
pub fn queued(base: &str, page: &PageRef) -> Vec<u8> {
    let stats = Stats { state: "QUEUED".into(), queued: true, ..Stats::default() };
    let document = Document {
        id: &page.id,
        info_uri: &format!("{base}/v1/info"),
        next_uri: Some(&format!("{base}{}", page.path())),
        columns: None,
        data: None,
        stats: &stats,
        error: None,
        warnings: [],
        update_type: None,
        update_count: None,
    };
    serde_json::to_vec(&document).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rows(text: &str) -> Part {
        let raw = RawValue::from_string(text.to_owned()).unwrap();
        Part { bytes: text.len(), data: Some(raw.into()), ..Part::default() }
    }

    fn page(turn: Turn) -> Rc<Page> {
        match turn {
            Turn::Page(page) => page,
            other => panic!("no page: {other:?}"),
        }
    }

    #[test]
    fn a_page_asked_for_twice_is_the_same_an_older_one_gone_a_later_one_unknown() {
        let mut pages = Pages::default();
        assert!(matches!(pages.take(0, false), Turn::Wait));
        pages.push(rows("[[1]]"));
        let first = page(pages.take(0, false));
        pages.push(rows("[[2]]"));
        assert!(Rc::ptr_eq(&first, &page(pages.take(0, false))));
        assert!(matches!(pages.take(2, true), Turn::Unknown));
        assert_eq!(page(pages.take(1, false)).data.as_ref().unwrap().get(), "[[2]]");
        assert!(matches!(pages.take(0, true), Turn::Gone));
    }

    #[test]
    fn an_empty_page_given_for_the_time_stays_empty_when_asked_for_again() {
        let mut pages = Pages::default();
        let empty = page(pages.take(0, true));
        pages.push(rows("[[1]]"));
        assert!(Rc::ptr_eq(&empty, &page(pages.take(0, false))));
        assert!(page(pages.take(1, false)).data.is_some());
    }

    #[test]
    fn the_first_end_stays() {
        let mut pages = Pages::default();
        pages.push(rows("[[1]]"));
        assert!(pages.finish(Ending::Refused(QueryError::refused("late", 0))));
        assert!(!pages.finish(Ending::Served));
        pages.push(rows("[[2]]"));
        let last = page(pages.take(0, false));
        assert!(last.data.is_none() && matches!(last.end, Some(Ending::Refused(_))));
        assert!(matches!(pages.take(1, true), Turn::Unknown));
    }

    #[test]
    fn the_engine_is_not_asked_on_while_its_last_rows_may_not_have_come() {
        let mut pages = Pages::default();
        assert!(pages.may_advance());
        pages.push(rows("[[1]]"));
        assert!(!pages.may_advance(), "rows that wait here would be lost");
        page(pages.take(0, false));
        assert!(!pages.may_advance(), "the answer with them may have been lost");
        assert!(matches!(pages.take(1, false), Turn::Wait));
        assert!(pages.may_advance());
    }

    #[test]
    fn pages_are_numbered_on_from_those_of_another_one() {
        let mut pages = Pages::default();
        pages.resume(7, Some(4));
        assert!(pages.begun && !pages.restart());
        assert!(matches!(pages.take(6, true), Turn::Gone));
        pages.push(Part { next: Some(5), ..rows("[[1]]") });
        let next = page(pages.take(7, false));
        assert_eq!((next.token, next.after), (7, Some(5)));
    }

    #[test]
    fn what_has_been_handed_out_cannot_start_again() {
        let mut pages = Pages::default();
        pages.push(rows("[[1]]"));
        assert!(pages.restart());
        assert!(matches!(pages.take(0, false), Turn::Wait), "rows of the first attempt are still there");
        pages.push(rows("[[1]]"));
        page(pages.take(0, false));
        assert!(!pages.restart());
    }
}
