//! The protocol state of one connection to an engine, without I/O: what is requested on it, and which of the
//! answers are valid.
//!
//! The pages of a result are collected and passed on once all have come. Answers with an id that is not
//! pending are ignored. Bytes that can't be decoded, and answers that contradict the protocol, make the
//! connection unusable: nothing after them can be trusted.

use std::collections::{BTreeMap, HashMap, HashSet};

use violetward::{Load, Micros, Outcome, RequestId};
use violetward_resp::{write_array, Limits, Reader};

use crate::core::{AttemptId, Completion, Launch};

/// Maximum size of a result in bytes.
pub const RESULT_MAX_BYTES: usize = 48_000;
/// Maximum size of a page in bytes.
pub const PAGE_MAX_BYTES: usize = 6_000;
/// Maximum number of pages of a result. Pages hold whole rows, and so may be up to half empty.
const PAGES_MAX: usize = 4 * RESULT_MAX_BYTES / PAGE_MAX_BYTES;
/// Tabs of a row; rows have three columns.
const TABS_PER_ROW: usize = 2;
/// How many ids of attempts that ended here without a result are remembered. Such an id is not requested
/// again on this connection, where an answer to the earlier attempt, or a second copy of one, may still come.
const RETIRED_IDS_MAX: usize = 1_024;

/// What the answers of an engine report.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineEvent {
    /// An attempt has ended.
    AttemptEnded(AttemptId, Completion),
    /// A health check has ended: whether the engine is healthy, and its load.
    ProbeEnded(bool, Load),
    /// An attempt was served, and the engine has further pages of its result, which come after
    /// [`Link::request_pages`]. The completion has no result yet.
    ResultBegun(AttemptId, ResultSize, Completion),
}

/// The size of a result of several pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResultSize {
    /// Bytes of the first page, which has come.
    pub first_page: usize,
    /// The largest number of bytes that the other pages can have.
    pub rest_max: usize,
}

/// A result of which some pages are still to come.
#[derive(Debug)]
struct PartialResult {
    page_count: usize,
    /// The pages that have come, by number.
    pages: BTreeMap<usize, Vec<u8>>,
    /// Bytes of these pages.
    bytes: usize,
    /// The pages after the first one were requested.
    is_requested: bool,
    /// What the engine reported at the end of the attempt.
    completion: Completion,
}

/// An attempt that was requested and has not ended.
#[derive(Debug)]
struct PendingAttempt {
    attempt: AttemptId,
    /// `None` until the engine has reported the end of the attempt.
    partial: Option<PartialResult>,
}

/// The protocol state of a connection.
#[derive(Debug)]
pub struct Link {
    reader: Reader,
    /// Attempts that have not ended, by the id that their answers carry.
    pending: HashMap<String, PendingAttempt>,
    /// Tags of health checks that have not been answered.
    probes: HashSet<String>,
    /// Requests whose attempt ended here without a result, and the number of that end.
    retired: BTreeMap<RequestId, u64>,
    /// How many requests were added to `retired` so far.
    retirements: u64,
    /// The number in the last probe's tag.
    last_tag: u64,
}

/// The id of an attempt's request as engines get it.
pub fn id_text(attempt: AttemptId) -> String {
    format!("{:016x}", attempt.0 .0)
}

impl Default for Link {
    fn default() -> Self {
        Link::new()
    }
}

impl Link {
    /// The state of a new connection.
    pub fn new() -> Self {
        // A page and its fields fit; no valid answer is longer.
        let limits = Limits { max_strings: 8, max_string_bytes: 16 << 10, max_total_bytes: 24 << 10 };
        Link {
            reader: Reader::new(limits),
            pending: HashMap::new(),
            probes: HashSet::new(),
            retired: BTreeMap::new(),
            retirements: 0,
            last_tag: 0,
        }
    }

    /// The number of attempts and health checks that have not ended.
    pub fn pending(&self) -> usize {
        self.pending.len() + self.probes.len()
    }

    /// The memory of messages and results that are not complete, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        let partial = self.pending.values().filter_map(|pending| pending.partial.as_ref());
        self.reader.allocated_bytes() + partial.map(|partial| partial.bytes).sum::<usize>()
    }

    /// Whether an attempt may be requested here. That is not so during or after an earlier attempt at the
    /// same request: answers carry only the request's id, so a late answer to the earlier attempt would be
    /// taken for the new one's.
    pub fn accepts(&self, attempt: AttemptId) -> bool {
        !self.pending.contains_key(&id_text(attempt)) && !self.retired.contains_key(&attempt.0)
    }

    /// Whether part of a message has come in. Answers to what is requested now can only follow the rest of
    /// it, which may never come.
    pub fn has_partial_message(&self) -> bool {
        !self.reader.is_at_array_boundary()
    }

    /// Requests an attempt that times out in `timeout_ms`.
    pub fn fetch(&mut self, launch: &Launch, class: &str, timeout_ms: u64, out: &mut Vec<u8>) {
        let id = id_text(launch.attempt);
        let mut fields = format!("sort={class},patience={}", timeout_ms.max(1));
        if let Some(key) = &launch.idempotency_key {
            fields += &format!(",op={key}");
        }
        if launch.memory_mb >= 1.0 {
            fields += &format!(",mb={}", launch.memory_mb.ceil());
        }
        fields += &format!(",nice={}", launch.priority);
        write_array(out, &[b"fetch", id.as_bytes(), fields.as_bytes(), &launch.body]);
        self.pending.insert(id, PendingAttempt { attempt: launch.attempt, partial: None });
    }

    /// Cancels an attempt; false if it is not pending here.
    pub fn cancel(&mut self, attempt: AttemptId, out: &mut Vec<u8>) -> bool {
        let id = id_text(attempt);
        if self.pending.get(&id).is_none_or(|a| a.attempt != attempt) {
            return false;
        }
        let has_ended = self.pending.remove(&id).is_some_and(|a| a.partial.is_some());
        write_array(out, &[if has_ended { b"done" } else { b"abort" }, id.as_bytes()]);
        self.retire(attempt.0);
        true
    }

    /// Changes the priority of an attempt that has not ended.
    pub fn renice(&mut self, attempt: AttemptId, priority: u8, out: &mut Vec<u8>) {
        let id = id_text(attempt);
        if self.pending.get(&id).is_some_and(|a| a.attempt == attempt && a.partial.is_none()) {
            write_array(out, &[b"renice", id.as_bytes(), priority.to_string().as_bytes()]);
        }
    }

    /// Requests the further pages of a result that has begun, once.
    pub fn request_pages(&mut self, attempt: AttemptId, out: &mut Vec<u8>) {
        let id = id_text(attempt);
        let pending = self.pending.get_mut(&id).filter(|pending| pending.attempt == attempt);
        let Some(partial) = pending.and_then(|pending| pending.partial.as_mut()) else { return };
        if std::mem::replace(&mut partial.is_requested, true) {
            return;
        }
        for page in 1..partial.page_count {
            write_array(out, &[b"more", id.as_bytes(), page.to_string().as_bytes()]);
        }
    }

    /// Requests the engine's health and load. Returns a tag for [`Link::cancel_probe`].
    pub fn probe(&mut self, out: &mut Vec<u8>) -> String {
        self.last_tag += 1;
        let tag = format!("t{}", self.last_tag);
        write_array(out, &[b"stats", tag.as_bytes()]);
        self.probes.insert(tag.clone());
        tag
    }

    /// Cancels a health check; false if it has ended.
    pub fn cancel_probe(&mut self, tag: &str) -> bool {
        self.probes.remove(tag)
    }

    /// Remembers a request that must not be requested here again; forgets the oldest ones beyond the limit.
    fn retire(&mut self, id: RequestId) {
        self.retirements += 1;
        self.retired.insert(id, self.retirements);
        if self.retired.len() > RETIRED_IDS_MAX {
            let newest = self.retirements;
            self.retired.retain(|_, &mut number| newest - number < RETIRED_IDS_MAX as u64 / 2);
        }
    }

    /// Processes bytes from the engine. Bytes to be sent are appended to `out`, what the engine reports to
    /// `events`.
    ///
    /// # Errors
    /// Says why the connection is unusable. The caller then has to end what is pending with
    /// [`Link::fail_all`].
    pub fn feed(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), String> {
        self.reader.feed(bytes);
        while let Some(answer) = self.reader.next_array().map_err(|e| e.to_string())? {
            let [id, status, fields, body] = &answer[..] else {
                return Err(format!("answer has {} parts instead of 4", answer.len()));
            };
            let id = std::str::from_utf8(id).map_err(|_| "id is not UTF-8")?;
            let status = std::str::from_utf8(status).map_err(|_| "status is not UTF-8")?;
            let fields = Fields::parse(fields)?;
            self.handle_answer(id, status, &fields, body, out, events)?;
        }
        Ok(())
    }

    fn handle_answer(
        &mut self,
        id: &str,
        status: &str,
        fields: &Fields<'_>,
        body: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<EngineEvent>,
    ) -> Result<(), String> {
        if self.probes.contains(id) {
            let healthy = match status {
                "yes" => true,
                "no" => false,
                _ => return Err("health check answered neither yes nor no".into()),
            };
            self.probes.remove(id);
            events.push(EngineEvent::ProbeEnded(healthy, fields.load()));
            return Ok(());
        }
        let Some(pending) = self.pending.get_mut(id) else {
            // A late answer, a second copy, or one with an unknown id.
            return Ok(());
        };
        if status == "error" {
            tracing::debug!(id, fields = ?fields.0, body = %String::from_utf8_lossy(body), "error");
        }
        let completion = |outcome| Completion { load: fields.load(), ..Completion::new(outcome) };
        let ended = match status {
            "ok" if pending.partial.is_some() => return Ok(()),
            "ok" => {
                let page_count: usize =
                    fields.number("batches")?.ok_or("batches missing in a successful answer")?;
                if !(1..=PAGES_MAX).contains(&page_count) {
                    return Err(format!("result has {page_count} pages; expected 1 to {PAGES_MAX}"));
                }
                let cpu_ms = fields.number::<f64>("cpu")?.filter(|ms| (0.0..1e9).contains(ms));
                let completion = Completion {
                    work: cpu_ms.map(|ms| (ms * 1e3) as Micros),
                    memory_mb: fields.number::<f64>("used")?.filter(|mb| (0.0..1e9).contains(mb)),
                    ..completion(Outcome::Ok)
                };
                if page_count > 1 {
                    let rest_max = ((page_count - 1) * PAGE_MAX_BYTES).min(RESULT_MAX_BYTES);
                    let size = ResultSize { first_page: body.len(), rest_max };
                    events.push(EngineEvent::ResultBegun(pending.attempt, size, completion.clone()));
                }
                let pages = BTreeMap::new();
                pending.partial =
                    Some(PartialResult { page_count, pages, bytes: 0, is_requested: false, completion });
                None
            }
            "batch" => None,
            "refused" | "stale" if pending.partial.is_some() => {
                return Err("attempt that was served reported as never run".into());
            }
            "refused" => Some(completion(Outcome::Full)),
            "stale" => Some(completion(Outcome::Moot)),
            "error" => Some(completion(Outcome::Error)),
            _ => return Err("unknown status".into()),
        };
        if let Some(completion) = ended {
            let attempt = pending.attempt;
            self.pending.remove(id);
            self.retire(attempt.0);
            events.push(EngineEvent::AttemptEnded(attempt, completion));
            return Ok(());
        }
        let page = if status == "ok" { 0 } else { fields.number("batch")?.ok_or("page without a number")? };
        let Some(partial) = &mut pending.partial else {
            return Err("page before the end of the attempt".into());
        };
        if page >= partial.page_count || (page == 0 && status != "ok") {
            return Err(format!("unexpected page {page} of a result with {} pages", partial.page_count));
        }
        check_page(body)?;
        if partial.pages.contains_key(&page) {
            // A second copy of the page.
            return Ok(());
        }
        partial.bytes += body.len();
        if partial.bytes > RESULT_MAX_BYTES {
            return Err(format!("result exceeds {RESULT_MAX_BYTES} bytes"));
        }
        partial.pages.insert(page, body.to_vec());
        if partial.pages.len() == partial.page_count {
            write_array(out, &[b"done", id.as_bytes()]);
            let pending = self.pending.remove(id);
            if let Some(PendingAttempt { attempt, partial: Some(partial) }) = pending {
                let mut result = Vec::with_capacity(partial.bytes);
                partial.pages.values().for_each(|page| result.extend_from_slice(page));
                events.push(EngineEvent::AttemptEnded(attempt, Completion { result, ..partial.completion }));
            }
        }
        Ok(())
    }

    /// Ends everything that is pending, since the connection is unusable. The attempts were written and may
    /// have run.
    pub fn fail_all(&mut self, outcome: Outcome, events: &mut Vec<EngineEvent>) {
        let pending = std::mem::take(&mut self.pending);
        let mut attempts: Vec<_> = pending.into_values().map(|a| a.attempt).collect();
        // The order must not depend on the hash map.
        attempts.sort_unstable();
        events.extend(
            attempts.into_iter().map(|attempt| EngineEvent::AttemptEnded(attempt, Completion::new(outcome))),
        );
        let probes = std::mem::take(&mut self.probes);
        events.extend(probes.into_iter().map(|_| EngineEvent::ProbeEnded(false, Load::default())));
    }
}

/// Checks that a page holds whole rows of three columns in UTF-8 and is not too long.
fn check_page(body: &[u8]) -> Result<(), String> {
    if body.len() > PAGE_MAX_BYTES {
        return Err(format!("page of {} bytes exceeds {PAGE_MAX_BYTES}", body.len()));
    }
    if !body.is_empty() && body.last() != Some(&b'\n') {
        return Err("page ends within a row".into());
    }
    let text = std::str::from_utf8(body).map_err(|_| "page is not UTF-8")?;
    if text.lines().any(|row| row.bytes().filter(|&b| b == b'\t').count() != TABS_PER_ROW) {
        return Err("row does not have three columns".into());
    }
    Ok(())
}

/// The fields of an answer: `name=value,name=value`, or `-` for none.
struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    fn parse(bytes: &'a [u8]) -> Result<Self, String> {
        let text = std::str::from_utf8(bytes).map_err(|_| "fields are not UTF-8")?;
        if text == "-" || text.is_empty() {
            return Ok(Fields(Vec::new()));
        }
        let pairs = text.split(',').map(|pair| pair.split_once('=').ok_or("field without a value"));
        Ok(Fields(pairs.collect::<Result<_, _>>()?))
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    fn number<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, String> {
        self.get(name).map(|v| v.parse().map_err(|_| format!("{name} is not a number"))).transpose()
    }

    /// The load report, `name:value;name:value`. Names are those of the settings or their short forms on the
    /// wire.
    fn load(&self) -> Load {
        let mut values = BTreeMap::new();
        for pair in self.get("l").unwrap_or_default().split(';') {
            let Some((name, value)) = pair.split_once(':') else { continue };
            let name = match name {
                "util" => "load_share",
                "inflight" => "concurrent",
                other => other,
            };
            // Impossible values are left out; the rest of the report is used.
            if let Some(value) = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0) {
                values.insert(name.to_owned(), value);
            }
        }
        violetward_settings::load_from_stats(&values)
    }
}
