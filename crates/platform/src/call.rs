//! What a client asks for: its fields, checked before anything is done for it.

use std::fmt;
use std::rc::Rc;

use violetward::{Class, Effect, GroupId, Micros, OrderKey, RequestId, TenantId};
use violetward_settings::Names;

use crate::group::group;

/// Longest text of a key or of a client's mark for repeats.
const MARK: usize = 128;
/// Work beyond any estimate, in milliseconds on one core: about a day.
const COST_MOST: f64 = 1e8;
/// Memory beyond any machine, in megabytes: a hundred terabytes.
const MEMORY_MOST: f64 = 1e8;
/// Longest wait of a client where the settings name none for its class, in milliseconds: a day.
const WAIT_MOST: f64 = 86_400_000.0;
/// How far a client's wait may go beyond its class's, in milliseconds.
const WAIT_OVER: f64 = 1_000.0;

/// A request as a client sent it, in the module's units.
#[derive(Clone, PartialEq)]
pub struct Call {
    /// Its id.
    pub id: RequestId,
    /// Place of its class.
    pub class: usize,
    /// Its tenant; the first where the settings define none.
    pub tenant: TenantId,
    /// How long its client waits.
    pub wait: Micros,
    /// How long clients of its class wait at the most; as long as this one where the settings don't tell.
    pub longest_wait: Micros,
    /// It is marked as another try.
    pub retry: bool,
    /// The same for all tries of one request, where its class has that.
    pub once: Option<String>,
    /// For how long engines drop repeats of it, from the first attempt that may have run, where its class has that.
    pub window: Option<Micros>,
    /// Estimated work; 0 if not told.
    pub cost: Micros,
    /// Estimated memory in megabytes; 0 if not told.
    pub memory_mb: f64,
    /// Its key of order.
    pub key: Option<OrderKey>,
    /// The group of its tables.
    pub group: GroupId,
    /// The statement.
    pub body: Rc<[u8]>,
}

impl fmt::Debug for Call {
    /// Without the statement: it may hold what no log should.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut call = f.debug_struct("Call");
        call.field("id", &format_args!("{:016x}", self.id.0)).field("class", &self.class);
        call.field("tenant", &self.tenant.0);
        call.field("wait", &self.wait).field("retry", &self.retry).field("once", &self.once);
        call.field("cost", &self.cost).field("memory_mb", &self.memory_mb).field("key", &self.key);
        call.field("group", &self.group).field("body", &self.body.len()).finish()
    }
}

fn figure(name: &str, text: &str, most: f64) -> Result<f64, String> {
    // The standard parser takes "inf" and "nan" too: the range leaves them out.
    let value: f64 = text.parse().map_err(|_| format!("{name}: not a number"))?;
    if (0.0..=most).contains(&value) {
        Ok(value)
    } else {
        Err(format!("{name}: out of range"))
    }
}

/// A mark travels on as a value in a list of fields, so that nothing may stand in it that ends one.
fn mark(name: &str, text: &str) -> Result<String, String> {
    let good = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':' | b'/' | b'+');
    if text.is_empty() || text.len() > MARK || !text.bytes().all(good) {
        return Err(format!("{name}: not a word of 1 to {MARK} characters"));
    }
    Ok(text.to_owned())
}

/// Longest wait of a client of a class, in milliseconds.
fn wait_most(class: &Class) -> f64 {
    match class.client_timeout {
        0 => WAIT_MOST,
        give_up => give_up as f64 / 1e3 + WAIT_OVER,
    }
}

/// Whether a class's name can be passed on to engines, as a value in a list of fields.
fn can_be_passed_on(name: &str) -> bool {
    !name.is_empty() && !name.chars().any(|c| matches!(c, '=' | ',') || c.is_control())
}

/// The tenant that a request names, or the only one there is where the settings define none.
fn tenant(named: Option<&str>, tenants: &[String]) -> Result<TenantId, String> {
    if tenants.is_empty() {
        return Ok(TenantId(0));
    }
    let named = named.ok_or("tenant: missing")?;
    let place = tenants.iter().position(|tenant| tenant == named);
    place.map(TenantId).ok_or_else(|| "tenant: not known".to_owned())
}

/// Reads a client's fields.
///
/// # Errors
/// Says which field is missing or can't be used.
pub fn read(fields: &[(&str, &str)], body: &[u8], names: &Names, classes: &[Class]) -> Result<Call, String> {
    let find = |name: &str| {
        let mut found = fields.iter().filter(|(n, _)| *n == name).map(|(_, v)| *v);
        match (found.next(), found.next()) {
            (value, None) => Ok(value),
            _ => Err(format!("{name}: given twice")),
        }
    };
    let need = |name: &str| find(name)?.ok_or_else(|| format!("{name}: missing"));
    let id = need("id")?;
    let lower = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let number =
        (id.len() == 16 && id.bytes().all(lower)).then(|| u64::from_str_radix(id, 16).ok()).flatten();
    let id = number.ok_or("id: not 16 hex digits")?;
    let named = need("class")?;
    let place = names.classes.iter().position(|n| n == named);
    let (place, class) = place.and_then(|p| Some((p, classes.get(p)?))).ok_or("class: not known")?;
    if !can_be_passed_on(named) {
        return Err("class: its name can't be passed on to an engine".into());
    }
    let tenant = tenant(find("tenant")?, &names.tenants)?;
    let wait = figure("wait", need("wait")?, wait_most(class))?;
    if wait < 1.0 {
        return Err("wait: out of range".into());
    }
    let wait = (wait * 1e3) as Micros;
    let retry = match find("retry")? {
        None => false,
        Some("1") => true,
        Some(_) => return Err("retry: neither absent nor 1".into()),
    };
    let cost = find("cost")?.map_or(Ok(0.0), |text| figure("cost", text, COST_MOST))?;
    let memory_mb = find("heap_mb")?.map_or(Ok(0.0), |text| figure("heap_mb", text, MEMORY_MOST))?;
    let window = match class.effect {
        Effect::Keyed { window, .. } => Some(window),
        Effect::Repeatable | Effect::Once => None,
    };
    let keyed = window.is_some();
    let once = match find("once")? {
        Some(text) if keyed => Some(mark("once", text)?),
        None if keyed => return Err("once: missing".into()),
        _ => None,
    };
    let key = match find("key")? {
        Some(text) if class.in_order => Some(OrderKey(mark("key", text)?)),
        None if class.in_order => return Err("key: missing".into()),
        _ => None,
    };
    if body.is_empty() {
        return Err("body: empty".into());
    }
    let statement = std::str::from_utf8(body).map_err(|_| "body: not UTF-8")?;
    Ok(Call {
        id: RequestId(id),
        class: place,
        tenant,
        wait,
        longest_wait: if class.client_timeout == 0 { wait } else { class.client_timeout },
        retry,
        once,
        window,
        cost: (cost * 1e3) as Micros,
        memory_mb,
        key,
        group: GroupId(group(statement).unwrap_or(0)),
        body: body.into(),
    })
}
