//! A request as a client sent it: its fields, validated before any work is done for it.

use std::fmt;
use std::rc::Rc;

use violetward::{Class, Effect, GroupId, Micros, OrderKey, RequestId, TenantId};
use violetward_settings::Names;

use crate::group::table_group;

/// Maximum length of an order key or an idempotency key.
const KEY_MAX_BYTES: usize = 128;
/// Maximum cost estimate: about a day on one core.
const COST_MAX_MS: f64 = 1e8;
/// Maximum memory estimate: a hundred terabytes, more than any machine has.
const MEMORY_MAX_MB: f64 = 1e8;
/// Longest wait where the settings give none for the class: a day.
const WAIT_MAX_MS: f64 = 86_400_000.0;
/// By how much a client's wait may exceed the longest wait of its class.
const WAIT_TOLERANCE_MS: f64 = 1_000.0;

/// A request as a client sent it, in the module's units.
#[derive(Clone, PartialEq)]
pub struct Call {
    /// The request's id.
    pub id: RequestId,
    /// Index of the class in the settings.
    pub class: usize,
    /// The tenant; the first one if the settings define no tenants.
    pub tenant: TenantId,
    /// How long the client waits for the answer.
    pub wait: Micros,
    /// The longest wait of the class; equal to `wait` if the settings give none.
    pub longest_wait: Micros,
    /// The client marked the request as a retry.
    pub retry: bool,
    /// Identical for all tries of one request. Only for classes whose repeats engines drop.
    pub idempotency_key: Option<String>,
    /// For how long after the first attempt that may have run engines drop repeats. Only for such classes.
    pub dedup_window: Option<Micros>,
    /// Estimated CPU time; 0 if not given.
    pub cost: Micros,
    /// Estimated memory in megabytes; 0 if not given.
    pub memory_mb: f64,
    /// Requests with the same order key run in the order in which they were sent.
    pub key: Option<OrderKey>,
    /// The group of the tables that the statement uses.
    pub group: GroupId,
    /// The statement.
    pub body: Rc<[u8]>,
}

impl fmt::Debug for Call {
    /// Leaves out the statement, which may hold confidential data: this text goes to the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut call = f.debug_struct("Call");
        call.field("id", &format_args!("{:016x}", self.id.0)).field("class", &self.class);
        call.field("tenant", &self.tenant.0);
        call.field("wait", &self.wait).field("retry", &self.retry).field("once", &self.idempotency_key);
        call.field("cost", &self.cost).field("memory_mb", &self.memory_mb).field("key", &self.key);
        call.field("group", &self.group).field("body", &self.body.len()).finish()
    }
}

fn parse_number(name: &str, text: &str, max: f64) -> Result<f64, String> {
    // The standard parser also accepts "inf" and "nan"; the range check rejects them.
    let value: f64 = text.parse().map_err(|_| format!("{name}: not a number"))?;
    if (0.0..=max).contains(&value) {
        Ok(value)
    } else {
        Err(format!("{name}: out of range"))
    }
}

/// Checks an order key or an idempotency key. Keys are passed on to engines in a list of fields, so they may
/// not contain the list's separators.
fn parse_key(name: &str, text: &str) -> Result<String, String> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':' | b'/' | b'+');
    if text.is_empty() || text.len() > KEY_MAX_BYTES || !text.bytes().all(allowed) {
        return Err(format!("{name}: not a word of 1 to {KEY_MAX_BYTES} characters"));
    }
    Ok(text.to_owned())
}

/// The longest wait that a client may give for a class, in milliseconds.
fn wait_max_ms(class: &Class) -> f64 {
    match class.client_timeout {
        0 => WAIT_MAX_MS,
        give_up => give_up as f64 / 1e3 + WAIT_TOLERANCE_MS,
    }
}

/// Whether the name of a class can be passed on to engines as a value in a list of fields.
fn is_field_value(name: &str) -> bool {
    !name.is_empty() && !name.chars().any(|c| matches!(c, '=' | ',') || c.is_control())
}

/// The tenant that a request names; the only one if the settings define no tenants.
fn find_tenant(named: Option<&str>, tenants: &[String]) -> Result<TenantId, String> {
    if tenants.is_empty() {
        return Ok(TenantId(0));
    }
    let named = named.ok_or("tenant: missing")?;
    let index = tenants.iter().position(|tenant| tenant == named);
    index.map(TenantId).ok_or_else(|| "tenant: not known".to_owned())
}

/// Parses the fields and the statement of a client's request.
///
/// # Errors
/// Says which field is missing or invalid. The text is sent to the client.
pub fn parse(fields: &[(&str, &str)], body: &[u8], names: &Names, classes: &[Class]) -> Result<Call, String> {
    let find = |name: &str| {
        let mut found = fields.iter().filter(|(n, _)| *n == name).map(|(_, v)| *v);
        match (found.next(), found.next()) {
            (value, None) => Ok(value),
            _ => Err(format!("{name}: given twice")),
        }
    };
    let require = |name: &str| find(name)?.ok_or_else(|| format!("{name}: missing"));
    let id = require("id")?;
    let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let number =
        (id.len() == 16 && id.bytes().all(is_hex)).then(|| u64::from_str_radix(id, 16).ok()).flatten();
    let id = number.ok_or("id: not 16 hex digits")?;
    let class_name = require("class")?;
    let index = names.classes.iter().position(|name| name == class_name);
    let (class_index, class) = index.and_then(|i| Some((i, classes.get(i)?))).ok_or("class: not known")?;
    if !is_field_value(class_name) {
        return Err("class: its name can't be passed on to an engine".into());
    }
    let tenant = find_tenant(find("tenant")?, &names.tenants)?;
    let wait_ms = parse_number("wait", require("wait")?, wait_max_ms(class))?;
    if wait_ms < 1.0 {
        return Err("wait: out of range".into());
    }
    let wait = (wait_ms * 1e3) as Micros;
    let retry = match find("retry")? {
        None => false,
        Some("1") => true,
        Some(_) => return Err("retry: neither absent nor 1".into()),
    };
    let cost_ms = find("cost")?.map_or(Ok(0.0), |text| parse_number("cost", text, COST_MAX_MS))?;
    let memory_mb = find("heap_mb")?.map_or(Ok(0.0), |text| parse_number("heap_mb", text, MEMORY_MAX_MB))?;
    let dedup_window = match class.effect {
        Effect::Keyed { window, .. } => Some(window),
        Effect::Repeatable | Effect::Once => None,
    };
    let keyed = dedup_window.is_some();
    let idempotency_key = match find("once")? {
        Some(text) if keyed => Some(parse_key("once", text)?),
        None if keyed => return Err("once: missing".into()),
        _ => None,
    };
    let key = match find("key")? {
        Some(text) if class.in_order => Some(OrderKey(parse_key("key", text)?)),
        None if class.in_order => return Err("key: missing".into()),
        _ => None,
    };
    if body.is_empty() {
        return Err("body: empty".into());
    }
    let statement = std::str::from_utf8(body).map_err(|_| "body: not UTF-8")?;
    Ok(Call {
        id: RequestId(id),
        class: class_index,
        tenant,
        wait,
        longest_wait: if class.client_timeout == 0 { wait } else { class.client_timeout },
        retry,
        idempotency_key,
        dedup_window,
        cost: (cost_ms * 1e3) as Micros,
        memory_mb,
        key,
        group: GroupId(table_group(statement).unwrap_or(0)),
        body: body.into(),
    })
}
