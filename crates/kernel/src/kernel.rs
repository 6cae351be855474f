//! What a kernel answers, as a state machine: messages in, messages and requests to its host out. Free of I/O.
//!
//! A cell is a statement. Cells of one session (the header's `session`) run one at a time, in the order in which they came,
//! as a notebook expects; after a failed one those that came before its end are aborted, if it said `stop_on_error`.
//! Sessions don't wait for each other, and an interrupt stops the cells of its own session alone: this kernel is shared by
//! clients that know nothing of each other. Count and history are the kernel's.

use std::collections::{HashMap, VecDeque};

use serde_json::{json, Value};

use crate::message::{Header, Message, VERSION};

/// The sockets on which requests come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Channel {
    /// Requests, one at a time.
    Shell,
    /// Requests that must not wait for cells.
    Control,
}

/// What the host is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Out {
    /// Send to the client that asked.
    Reply {
        /// Its channel.
        channel: Channel,
        /// The way back.
        identities: Vec<Vec<u8>>,
        /// What it answers.
        parent: Value,
        /// Type of the message.
        kind: &'static str,
        /// Its content.
        content: Value,
    },
    /// Send to all subscribers.
    Publish {
        /// What it belongs to.
        parent: Value,
        /// Type of the message.
        kind: &'static str,
        /// Its content.
        content: Value,
    },
    /// Run a cell; its end is told by [`Kernel::ended`].
    Run {
        /// The cell's number among all that ever ran.
        run: u64,
        /// The session that it belongs to.
        session: String,
        /// Its text.
        code: String,
        /// What its message's metadata says under `violetward`: tags, estimates, a deadline.
        terms: Value,
    },
    /// Stop the cell that runs.
    Stop(u64),
    /// The kernel ends.
    Shutdown,
}

/// How a cell ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CellEnd {
    /// With rows, or with what a statement that is no query did.
    Table(Table),
    /// With an error: its name and text. For a refusal the text says when to come back.
    Error {
        /// Name.
        name: String,
        /// Text.
        text: String,
        /// A further try is harmless; `None` if nothing is said.
        harmless: Option<bool>,
        /// Advice, milliseconds.
        retry_after: Option<u64>,
    },
}

/// A result.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Names of columns.
    pub columns: Vec<String>,
    /// Rows.
    pub rows: Vec<Vec<Value>>,
    /// Rows that are not shown.
    pub hidden: usize,
    /// What a statement that is no query did.
    pub update: Option<String>,
}

impl Table {
    /// As text, columns aligned.
    pub fn text(&self) -> String {
        if self.columns.is_empty() {
            return self.update.clone().unwrap_or_default();
        }
        let cell = |v: &Value| match v {
            Value::String(s) => s.clone(),
            Value::Null => "NULL".into(),
            other => other.to_string(),
        };
        let rows: Vec<Vec<String>> = self.rows.iter().map(|r| r.iter().map(cell).collect()).collect();
        let width = |i: usize| {
            rows.iter().filter_map(|r| r.get(i)).chain([&self.columns[i]]).map(|c| c.chars().count()).max()
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(|i| width(i).unwrap_or(0)).collect();
        let line = |cells: &[String]| {
            let padded: Vec<String> = cells.iter().zip(&widths).map(|(c, &w)| format!("{c:<w$}")).collect();
            padded.join("  ").trim_end().to_owned()
        };
        let mut lines = vec![line(&self.columns)];
        lines.extend(rows.iter().map(|r| line(r)));
        if self.hidden > 0 {
            lines.push(format!("... and {} more rows", self.hidden));
        }
        lines.join("\n")
    }

    /// As an HTML table.
    pub fn html(&self) -> String {
        let escape = |t: &str| {
            t.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
        };
        let mut out = String::from("<table><thead><tr>");
        self.columns.iter().for_each(|c| out += &format!("<th>{}</th>", escape(c)));
        out += "</tr></thead><tbody>";
        for row in &self.rows {
            out += "<tr>";
            for value in row {
                let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                out += &format!("<td>{}</td>", escape(&text));
            }
            out += "</tr>";
        }
        out + "</tbody></table>"
    }
}

struct Cell {
    session: String,
    channel: Channel,
    identities: Vec<Vec<u8>>,
    parent: Value,
    code: String,
    terms: Value,
    silent: bool,
    store: bool,
    stop_on_error: bool,
    /// The kernel's count when it began.
    count: u64,
}

/// The cells of one session: at most one runs, the rest wait for it.
#[derive(Default)]
struct Line {
    waiting: VecDeque<Cell>,
    running: Option<(u64, Cell)>,
}

/// A kernel.
#[derive(Default)]
pub struct Kernel {
    count: u64,
    runs: u64,
    /// Cells of sessions that have any. A session without one costs nothing.
    lines: HashMap<String, Line>,
    /// Whose the runs are.
    running: HashMap<u64, String>,
    waiting: usize,
    history: VecDeque<(u64, String)>,
    ended: bool,
}

/// The type under which a result's values stand beside its text and HTML, for libraries.
pub const TABLE: &str = "application/vnd.violetward.table+json";

/// Cells that may wait in one session; a further one is answered with an error.
const MOST_WAITING: usize = 256;
/// Cells that may wait in all sessions together.
const MOST_WAITING_IN_ALL: usize = 65_536;
/// Cells remembered for `history_request`.
const HISTORY: usize = 1000;

const WORDS: [&str; 24] = [
    "SELECT",
    "FROM",
    "WHERE",
    "GROUP BY",
    "ORDER BY",
    "HAVING",
    "LIMIT",
    "JOIN",
    "LEFT JOIN",
    "ON",
    "AS",
    "INSERT INTO",
    "VALUES",
    "UPDATE",
    "SET",
    "DELETE FROM",
    "WITH",
    "UNION ALL",
    "DISTINCT",
    "COUNT",
    "SUM",
    "AVG",
    "BETWEEN",
    "EXPLAIN",
];

impl Kernel {
    /// A kernel that has run nothing.
    pub fn new() -> Self {
        Kernel::default()
    }

    /// Takes a request.
    pub fn handle(&mut self, channel: Channel, message: Message) -> Vec<Out> {
        let mut out = Vec::new();
        if self.ended {
            return out;
        }
        let parent = message.raw_header.clone();
        let text = |name: &str| message.content.get(name).and_then(Value::as_str).unwrap_or("").to_owned();
        let number = |name: &str| message.content.get(name).and_then(Value::as_u64);
        let flag =
            |name: &str, usual: bool| message.content.get(name).and_then(Value::as_bool).unwrap_or(usual);
        let (kind, content) = match message.header.msg_type.as_str() {
            "execute_request" => {
                let silent = flag("silent", false);
                let cell = Cell {
                    session: message.header.session.clone(),
                    channel,
                    identities: message.identities,
                    parent,
                    code: text("code"),
                    terms: message.metadata.get("violetward").cloned().unwrap_or(Value::Null),
                    silent,
                    store: flag("store_history", !silent) && !silent,
                    stop_on_error: flag("stop_on_error", true),
                    count: 0,
                };
                self.take(cell, &mut out);
                return out;
            }
            "kernel_info_request" => ("kernel_info_reply", info()),
            "is_complete_request" => ("is_complete_reply", is_complete(&text("code"))),
            "complete_request" => ("complete_reply", complete(&text("code"), number("cursor_pos"))),
            "inspect_request" => {
                ("inspect_reply", json!({ "status": "ok", "found": false, "data": {}, "metadata": {} }))
            }
            "history_request" => ("history_reply", self.history(number("n"))),
            "comm_info_request" => ("comm_info_reply", json!({ "status": "ok", "comms": {} })),
            "interrupt_request" => {
                self.interrupt(&message.header.session, &mut out);
                ("interrupt_reply", json!({ "status": "ok" }))
            }
            "shutdown_request" => {
                let sessions: Vec<String> = self.lines.keys().cloned().collect();
                sessions.iter().for_each(|s| self.interrupt(s, &mut out));
                ("shutdown_reply", json!({ "status": "ok", "restart": flag("restart", false) }))
            }
            // Comms and answers to input that was never asked for need no answer.
            _ => return out,
        };
        let status = |state: &str| Out::Publish {
            parent: parent.clone(),
            kind: "status",
            content: json!({ "execution_state": state }),
        };
        out.push(status("busy"));
        out.push(Out::Reply {
            channel,
            identities: message.identities,
            parent: parent.clone(),
            kind,
            content: content.clone(),
        });
        out.push(status("idle"));
        if kind == "shutdown_reply" {
            self.ended = true;
            out.push(Out::Publish { parent, kind: "shutdown_reply", content });
            out.push(Out::Shutdown);
        }
        out
    }

    fn take(&mut self, cell: Cell, out: &mut Vec<Out>) {
        let before = self.lines.get(&cell.session).map_or(0, |l| l.waiting.len());
        if before >= MOST_WAITING || self.waiting >= MOST_WAITING_IN_ALL {
            let content =
                error("TooManyCells", "too many cells wait in this kernel; nothing ran", self.count);
            let Cell { channel, identities, parent, .. } = cell;
            return out.push(Out::Reply { channel, identities, parent, kind: "execute_reply", content });
        }
        let session = cell.session.clone();
        self.waiting += 1;
        self.lines.entry(session.clone()).or_default().waiting.push_back(cell);
        self.begin(&session, out);
    }

    /// Begins the next cell of a session, if none of it runs.
    fn begin(&mut self, session: &str, out: &mut Vec<Out>) {
        loop {
            let Some(line) = self.lines.get_mut(session) else { return };
            if line.running.is_some() {
                return;
            }
            let Some(mut cell) = line.waiting.pop_front() else {
                self.lines.remove(session);
                return;
            };
            self.waiting -= 1;
            out.push(publish(&cell, "status", json!({ "execution_state": "busy" })));
            if cell.store {
                self.count += 1;
                self.history.push_back((self.count, cell.code.clone()));
                if self.history.len() > HISTORY {
                    self.history.pop_front();
                }
            }
            cell.count = self.count;
            if !cell.silent {
                let content = json!({ "code": cell.code, "execution_count": self.count });
                out.push(publish(&cell, "execute_input", content));
            }
            if cell.code.trim().trim_end_matches(';').trim().is_empty() {
                self.finish(cell, None, out);
                continue;
            }
            self.runs += 1;
            let (code, terms) = (cell.code.clone(), cell.terms.clone());
            out.push(Out::Run { run: self.runs, session: session.to_owned(), code, terms });
            self.running.insert(self.runs, session.to_owned());
            if let Some(line) = self.lines.get_mut(session) {
                line.running = Some((self.runs, cell));
            }
            return;
        }
    }

    /// A cell has ended; an end of none that runs counts for nothing.
    pub fn ended(&mut self, run: u64, end: CellEnd) -> Vec<Out> {
        let mut out = Vec::new();
        let Some(session) = self.running.remove(&run) else { return out };
        if let Some((_, cell)) = self.lines.get_mut(&session).and_then(|l| l.running.take()) {
            self.finish(cell, Some(end), &mut out);
            self.begin(&session, &mut out);
        }
        out
    }

    fn finish(&mut self, cell: Cell, end: Option<CellEnd>, out: &mut Vec<Out>) {
        let mut failed = false;
        let content = match end {
            None => ok(cell.count),
            Some(CellEnd::Table(table)) => {
                if !cell.silent {
                    let mut data = json!({ "text/plain": table.text() });
                    if !table.columns.is_empty() {
                        data["text/html"] = table.html().into();
                        data[TABLE] =
                            json!({ "columns": table.columns, "rows": table.rows, "hidden": table.hidden });
                    }
                    let content = json!({ "data": data, "metadata": {}, "execution_count": cell.count });
                    out.push(publish(&cell, "execute_result", content));
                }
                ok(cell.count)
            }
            Some(CellEnd::Error { name, text, harmless, retry_after }) => {
                failed = true;
                let mut content = error(&name, &text, cell.count);
                // Beyond what the protocol names, so that a library need not read the text.
                if let Some(harmless) = harmless {
                    content["retry_is_harmless"] = harmless.into();
                }
                if let Some(after) = retry_after {
                    content["retry_after_millis"] = after.into();
                }
                if !cell.silent {
                    out.push(publish(&cell, "error", content.clone()));
                }
                content
            }
        };
        let idle = publish(&cell, "status", json!({ "execution_state": "idle" }));
        let Cell { session, channel, identities, parent, stop_on_error, .. } = cell;
        out.push(Out::Reply { channel, identities, parent, kind: "execute_reply", content });
        out.push(idle);
        if failed && stop_on_error {
            self.abort_waiting(&session, out);
        }
    }

    fn abort_waiting(&mut self, session: &str, out: &mut Vec<Out>) {
        let waiting = self.lines.get_mut(session).map(|l| std::mem::take(&mut l.waiting)).unwrap_or_default();
        self.waiting -= waiting.len();
        for cell in waiting {
            out.push(publish(&cell, "status", json!({ "execution_state": "busy" })));
            let idle = publish(&cell, "status", json!({ "execution_state": "idle" }));
            let Cell { channel, identities, parent, .. } = cell;
            let content = json!({ "status": "aborted", "execution_count": self.count });
            out.push(Out::Reply { channel, identities, parent, kind: "execute_reply", content });
            out.push(idle);
        }
    }

    /// Stops what runs in a session and aborts what waits there.
    fn interrupt(&mut self, session: &str, out: &mut Vec<Out>) {
        if let Some((run, _)) = self.lines.get(session).and_then(|l| l.running.as_ref()) {
            out.push(Out::Stop(*run));
        }
        self.abort_waiting(session, out);
    }

    fn history(&self, most: Option<u64>) -> Value {
        let skip = most.map_or(0, |n| self.history.len().saturating_sub(n as usize));
        let list: Vec<Value> = self.history.iter().skip(skip).map(|(n, code)| json!([0, n, code])).collect();
        json!({ "status": "ok", "history": list })
    }
}

fn publish(cell: &Cell, kind: &'static str, content: Value) -> Out {
    Out::Publish { parent: cell.parent.clone(), kind, content }
}

fn ok(count: u64) -> Value {
    json!({ "status": "ok", "execution_count": count, "user_expressions": {}, "payload": [] })
}

fn error(name: &str, text: &str, count: u64) -> Value {
    json!({ "status": "error", "ename": name, "evalue": text, "traceback": [format!("{name}: {text}")], "execution_count": count })
}

fn info() -> Value {
    json!({
        "status": "ok",
        "protocol_version": VERSION,
        "implementation": "violetward",
        "implementation_version": env!("CARGO_PKG_VERSION"),
        "language_info": {
            "name": "sql", "version": "", "mimetype": "text/x-sql", "file_extension": ".sql",
            "pygments_lexer": "sql", "codemirror_mode": "sql",
        },
        "banner": "violetward: a cell is a statement",
        "help_links": [],
    })
}

/// A statement is complete unless a quote, a comment or a bracket is open, or it is empty.
fn is_complete(code: &str) -> Value {
    let (mut depth, mut chars) = (0i64, code.chars().peekable());
    let mut open = false;
    while let Some(c) = chars.next() {
        match c {
            '(' => depth += 1,
            ')' => depth -= 1,
            '\'' | '"' => open = !chars.by_ref().any(|d| d == c),
            '-' if chars.peek() == Some(&'-') => {
                chars.by_ref().find(|&c| c == '\n');
            }
            '/' if chars.peek() == Some(&'*') => {
                let mut last = ' ';
                chars.next();
                open = !chars.by_ref().any(|c| std::mem::replace(&mut last, c) == '*' && c == '/');
            }
            _ => {}
        }
    }
    match () {
        _ if open || depth > 0 => json!({ "status": "incomplete", "indent": "  " }),
        _ if depth < 0 => json!({ "status": "invalid" }),
        _ => json!({ "status": "complete" }),
    }
}

/// Completes SQL words. Positions count characters, as the protocol has it since version 5.2.
fn complete(code: &str, cursor: Option<u64>) -> Value {
    let before: Vec<char> = code.chars().take(cursor.map_or(usize::MAX, |c| c as usize)).collect();
    let start = before.iter().rposition(|c| !c.is_alphanumeric() && *c != '_').map_or(0, |at| at + 1);
    let word: String = before[start..].iter().collect::<String>().to_uppercase();
    let matches: Vec<&str> =
        WORDS.iter().copied().filter(|w| !word.is_empty() && w.starts_with(&word)).collect();
    json!({ "status": "ok", "matches": matches, "cursor_start": start, "cursor_end": before.len(), "metadata": {} })
}

/// A header of the kernel's own.
pub fn header(msg_id: String, session: &str, kind: &str, date: String) -> Header {
    Header {
        msg_id,
        session: session.to_owned(),
        username: "kernel".into(),
        date,
        msg_type: kind.to_owned(),
        version: VERSION.into(),
    }
}
