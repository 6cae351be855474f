//! The documents of the statement protocol, as its public specification has them ("Trino client REST API").

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Path to which statements are posted.
pub const STATEMENT: &str = "/v1/statement";

/// The answer to a statement and to each poll.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct QueryResults {
    /// The statement's public id.
    pub id: String,
    /// Where a person finds more.
    pub info_uri: String,
    /// Where the next page is; absent on the last.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub next_uri: Option<String>,
    /// Columns, once known; passed on as they came.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub columns: Option<Box<RawValue>>,
    /// Rows, an array of arrays; passed on as they came.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data: Option<Box<RawValue>>,
    /// How it gets on.
    pub stats: Stats,
    /// Why it ended without success.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<QueryError>,
    /// Warnings; none of ours, passed on.
    pub warnings: Vec<serde_json::Value>,
    /// What a statement that is no query did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub update_type: Option<String>,
    /// Rows that it changed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub update_count: Option<i64>,
}

/// Progress of a statement. Spans are milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Stats {
    /// `QUEUED`, `WAITING_FOR_RESOURCES`, `RUNNING`, `FINISHED` or `FAILED`.
    pub state: String,
    /// It waits to start.
    pub queued: bool,
    /// It has been planned.
    pub scheduled: bool,
    /// Machines at work.
    pub nodes: u32,
    /// Parts in all.
    pub total_splits: u64,
    /// Parts that wait.
    pub queued_splits: u64,
    /// Parts that run.
    pub running_splits: u64,
    /// Parts done.
    pub completed_splits: u64,
    /// Processor time of all threads.
    pub cpu_time_millis: u64,
    /// Time of all threads.
    pub wall_time_millis: u64,
    /// Time in the line.
    pub queued_time_millis: u64,
    /// Time since it was taken.
    pub elapsed_time_millis: u64,
    /// Rows read.
    pub processed_rows: u64,
    /// Bytes read.
    pub processed_bytes: u64,
    /// Most memory held.
    pub peak_memory_bytes: u64,
    /// Bytes spilled to disk.
    pub spilled_bytes: u64,
    /// Share done, in hundredths.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub progress_percentage: Option<f64>,
}

/// Whose fault an error is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum ErrorType {
    /// The statement's.
    UserError,
    /// The engine's.
    InternalError,
    /// Too little of something.
    InsufficientResources,
    /// Something outside.
    External,
}

/// Why a statement ended without success.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct QueryError {
    /// For people.
    pub message: String,
    /// A number for programs; its upper half goes with the type.
    #[serde(default)]
    pub error_code: u32,
    /// A name for programs.
    #[serde(default)]
    pub error_name: String,
    /// Whose fault it is.
    #[serde(default = "internal")]
    pub error_type: ErrorType,
    /// More; of a refusal also the advice when to return.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure_info: Option<Box<FailureInfo>>,
    /// Place in the statement's text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error_location: Option<Box<serde_json::Value>>,
}

fn internal() -> ErrorType {
    ErrorType::InternalError
}

/// Details of an error.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FailureInfo {
    /// The kind of failure.
    #[serde(rename = "type")]
    pub kind: String,
    /// For people.
    pub message: String,
    /// A further try is harmless: nothing of this statement has taken effect that a retry would do twice.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_is_harmless: Option<bool>,
    /// Advice: come back after so long.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_millis: Option<u64>,
    /// Nested causes of engines, passed on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cause: Option<serde_json::Value>,
}

impl QueryError {
    /// An error without details.
    pub fn new(kind: ErrorType, code: u32, name: &str, message: impl Into<String>) -> Self {
        let base = match kind {
            ErrorType::UserError => 0,
            ErrorType::InternalError => 0x0001_0000,
            ErrorType::InsufficientResources => 0x0002_0000,
            ErrorType::External => 0x0100_0000,
        };
        QueryError {
            message: message.into(),
            error_code: base + code,
            error_name: name.to_owned(),
            error_type: kind,
            failure_info: None,
            error_location: None,
        }
    }

    /// A refusal: nothing took effect, a further try is harmless, best after `retry_after_millis` (0: any time).
    pub fn refused(why: &str, retry_after_millis: u64) -> Self {
        let advice = match retry_after_millis {
            0 => "now".to_owned(),
            ms => format!("in {:.1} s", ms as f64 / 1e3),
        };
        let message = format!("refused, a retry is harmless (best {advice}): {why}");
        let mut error = QueryError::new(ErrorType::InsufficientResources, 0x7601, REFUSED, &message);
        error.failure_info = Some(Box::new(FailureInfo {
            kind: "violetward.Refused".into(),
            message,
            retry_is_harmless: Some(true),
            retry_after_millis: Some(retry_after_millis),
            cause: None,
        }));
        error
    }

    /// A failure: it is not said whether the statement took effect.
    pub fn failed(name: &str, why: &str) -> Self {
        let message = format!("failed, and it may have run: {why}");
        let mut error = QueryError::new(ErrorType::External, 0x7602, name, &message);
        error.failure_info = Some(Box::new(FailureInfo {
            kind: "violetward.Failed".into(),
            message,
            retry_is_harmless: Some(false),
            ..FailureInfo::default()
        }));
        error
    }
}

/// Name of a refusal's error.
pub const REFUSED: &str = "STATEMENT_REFUSED";
/// Name of a failure's error.
pub const FAILED: &str = "STATEMENT_FAILED";
/// Name of the error by which an engine turns a statement away unseen.
pub const QUEUE_FULL: &str = "QUERY_QUEUE_FULL";
/// Name of the error of a statement that its client cancelled.
pub const CANCELED: &str = "USER_CANCELED";

/// A page of a statement: its public id, the secret part of its path and the page's number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageRef {
    /// The public id.
    pub id: String,
    /// The part that can't be guessed.
    pub slug: String,
    /// The page's number, from 0.
    pub token: u64,
}

/// Octets of the longest part of a path that can't be guessed.
const SLUG: usize = 512;

impl PageRef {
    /// The path of the page.
    pub fn path(&self) -> String {
        format!("{STATEMENT}/executing/{}/{}/{}", self.id, self.slug, self.token)
    }

    /// Reads a path of either form, `queued` or `executing`.
    pub fn parse(path: &str) -> Option<PageRef> {
        let rest = path.strip_prefix(STATEMENT)?.strip_prefix('/')?;
        let mut parts = rest.split('/');
        let stage = parts.next()?;
        if stage != "executing" && stage != "queued" {
            return None;
        }
        let (id, slug, token) = (parts.next()?, parts.next()?, parts.next()?);
        if parts.next().is_some() || id.is_empty() || id.len() > 64 || slug.len() > SLUG || token.len() > 19 {
            return None;
        }
        if !token.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        Some(PageRef { id: id.to_owned(), slug: slug.to_owned(), token: token.parse().ok()? })
    }
}

/// What an engine tells of itself at `/v1/status` (the protocol's node status), as far as it is used here.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct NodeStatus {
    /// Name of the process; a new one at every start.
    pub node_id: String,
    /// Since it started, milliseconds.
    pub uptime_millis: u64,
    /// How busy its cores are, from 0 to 1.
    pub process_cpu_load: f64,
    /// The same over the machine.
    pub system_cpu_load: f64,
    /// Cores.
    pub processors: u32,
    /// Memory granted, bytes.
    pub heap_used: u64,
    /// Memory in all, bytes.
    pub heap_available: u64,
    /// Statements in hand, where it says so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running_statements: Option<u32>,
    /// How busy its disks are, where it says so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub disk_load: Option<f64>,
}
