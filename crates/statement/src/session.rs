//! The headers that travel with a statement.

use std::time::Duration;

use crate::http::Headers;

/// What a client says about a statement in its headers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Context {
    /// Who asks.
    pub user: String,
    /// The program that asks.
    pub source: String,
    /// Catalog and schema in use.
    pub catalog: Option<String>,
    /// See `catalog`.
    pub schema: Option<String>,
    /// Tags, in order.
    pub tags: Vec<String>,
    /// Session properties.
    pub session: Vec<(String, String)>,
    /// Prepared statements: name and text, still encoded.
    pub prepared: Vec<(String, String)>,
    /// The client's mark for its traces.
    pub trace_token: Option<String>,
    /// The transaction that it belongs to, or `NONE` from a client that can carry one.
    pub transaction: Option<String>,
    /// Free text about the client.
    pub client_info: Option<String>,
    /// Estimated time to run.
    pub estimated_time: Option<Duration>,
    /// Estimated processor time of all threads.
    pub estimated_cpu: Option<Duration>,
    /// Estimated peak memory, bytes.
    pub estimated_memory: Option<u64>,
    /// Headers that only engines care about, as they came: names (see [`PASSED`]) and values.
    pub passed: Vec<(String, String)>,
}

/// Headers of clients that are passed on to engines unread.
pub const PASSED: [&str; 6] = [
    "X-Trino-Time-Zone",
    "X-Trino-Language",
    "X-Trino-Client-Capabilities",
    "X-Trino-Role",
    "X-Trino-Original-User",
    "X-Trino-Extra-Credential",
];

/// Headers of an engine's answer that change the client's session; they are passed on.
pub const SESSION_CHANGES: [&str; 9] = [
    "X-Trino-Set-Session",
    "X-Trino-Clear-Session",
    "X-Trino-Set-Catalog",
    "X-Trino-Set-Schema",
    "X-Trino-Set-Role",
    "X-Trino-Added-Prepare",
    "X-Trino-Deallocated-Prepare",
    "X-Trino-Started-Transaction-Id",
    "X-Trino-Clear-Transaction-Id",
];

/// Header of an engine's answers that tells the life of its process; of this repository's own making, for engines that hold
/// sessions. Engines without it are known to have been restarted by the list alone, or by what they no longer know.
pub const EPOCH: &str = "X-Engine-Epoch";

impl Context {
    /// Reads the headers of a request.
    ///
    /// # Errors
    /// Says which header cannot be read and why.
    pub fn read(headers: &Headers) -> Result<Context, String> {
        let text = |name: &str| header(headers, name).filter(|v| !v.is_empty()).map(str::to_owned);
        let mut context = Context {
            user: text("User").ok_or("X-Trino-User must be set")?,
            source: text("Source").unwrap_or_default(),
            catalog: text("Catalog"),
            schema: text("Schema"),
            tags: list(headers, "Client-Tags").map(str::to_owned).collect(),
            trace_token: text("Trace-Token"),
            transaction: text("Transaction-Id"),
            client_info: text("Client-Info"),
            ..Context::default()
        };
        for (name, value) in headers.iter() {
            if let Some(known) = PASSED.iter().find(|p| p.eq_ignore_ascii_case(name)) {
                context.passed.push((known.to_string(), value.to_owned()));
            }
        }
        for pair in list(headers, "Session") {
            let (name, value) = pair.split_once('=').ok_or("X-Trino-Session: expected name=value")?;
            let value = decode(value).ok_or("X-Trino-Session: a value is not well encoded")?;
            context.session.push((name.trim().to_owned(), value));
        }
        for pair in list(headers, "Prepared-Statement") {
            let (name, value) =
                pair.split_once('=').ok_or("X-Trino-Prepared-Statement: expected name=text")?;
            context.prepared.push((name.trim().to_owned(), value.to_owned()));
        }
        for pair in list(headers, "Resource-Estimate") {
            let (name, value) =
                pair.split_once('=').ok_or("X-Trino-Resource-Estimate: expected name=value")?;
            let bad = || format!("X-Trino-Resource-Estimate: {name} cannot be read");
            match name.trim().to_ascii_uppercase().as_str() {
                "EXECUTION_TIME" => context.estimated_time = Some(duration(value.trim()).ok_or_else(bad)?),
                "CPU_TIME" => context.estimated_cpu = Some(duration(value.trim()).ok_or_else(bad)?),
                "PEAK_MEMORY" => context.estimated_memory = Some(bytes(value.trim()).ok_or_else(bad)?),
                other => return Err(format!("X-Trino-Resource-Estimate: {other} is not known")),
            }
        }
        Ok(context)
    }

    /// A session property.
    pub fn property(&self, name: &str) -> Option<&str> {
        self.session.iter().rev().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The rest of the first tag that begins with `prefix`.
    pub fn tagged(&self, prefix: &str) -> Option<&str> {
        self.tags.iter().find_map(|t| t.strip_prefix(prefix)).filter(|v| !v.is_empty())
    }

    /// Writes the headers.
    pub fn write(&self, headers: &mut Headers) {
        let mut put = |name: &str, value: &str| {
            if !value.is_empty() {
                headers.push(&format!("X-Trino-{name}"), value);
            }
        };
        put("User", &self.user);
        put("Source", &self.source);
        put("Catalog", self.catalog.as_deref().unwrap_or_default());
        put("Schema", self.schema.as_deref().unwrap_or_default());
        put("Client-Tags", &self.tags.join(","));
        put("Trace-Token", self.trace_token.as_deref().unwrap_or_default());
        put("Transaction-Id", self.transaction.as_deref().unwrap_or_default());
        put("Client-Info", self.client_info.as_deref().unwrap_or_default());
        let session: Vec<String> = self.session.iter().map(|(n, v)| format!("{n}={}", encode(v))).collect();
        put("Session", &session.join(","));
        let prepared: Vec<String> = self.prepared.iter().map(|(n, v)| format!("{n}={v}")).collect();
        put("Prepared-Statement", &prepared.join(","));
        let millis = |d: Duration| format!("{}ms", d.as_secs_f64() * 1e3);
        let estimates = [
            self.estimated_time.map(|d| format!("EXECUTION_TIME={}", millis(d))),
            self.estimated_cpu.map(|d| format!("CPU_TIME={}", millis(d))),
            self.estimated_memory.map(|b| format!("PEAK_MEMORY={b}B")),
        ];
        put("Resource-Estimate", &estimates.into_iter().flatten().collect::<Vec<_>>().join(","));
        for (name, value) in &self.passed {
            headers.push(name, value);
        }
    }
}

fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let of = |(n, v): (&'a str, &'a str)| {
        let ours = n.len() == name.len() + 8
            && n[..8].eq_ignore_ascii_case("x-trino-")
            && n[8..].eq_ignore_ascii_case(name);
        ours.then_some(v)
    };
    headers.iter().find_map(of)
}

fn list<'a>(headers: &'a Headers, name: &str) -> impl Iterator<Item = &'a str> {
    let name = format!("x-trino-{name}");
    let all = headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(&name));
    all.flat_map(|(_, v)| v.split(',')).map(str::trim).filter(|v| !v.is_empty())
}

/// A span as the protocol writes it: a number and `ns`, `us`, `ms`, `s`, `m`, `h` or `d`.
pub fn duration(text: &str) -> Option<Duration> {
    let at = text.find(|c: char| c.is_ascii_alphabetic())?;
    let number: f64 = text[..at].trim().parse().ok()?;
    let unit = match &text[at..] {
        "ns" => 1e-9,
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        "d" => 86_400.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(number * unit).ok()
}

/// A size as the protocol writes it: a number and `B`, `kB`, `MB`, `GB` or `TB` (powers of 1,024).
pub fn bytes(text: &str) -> Option<u64> {
    let at = text.find(|c: char| c.is_ascii_alphabetic())?;
    let number: f64 = text[..at].trim().parse().ok()?;
    let power = ["B", "kB", "MB", "GB", "TB"].iter().position(|u| u.eq_ignore_ascii_case(&text[at..]))?;
    let size = number * 1024f64.powi(power as i32);
    (size.is_finite() && (0.0..1e18).contains(&size)).then_some(size as u64)
}

/// Percent-encodes a value (RFC 3986, section 2.1).
pub fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for b in text.bytes() {
        if b.is_ascii_alphanumeric() || b"-_.~".contains(&b) {
            out.push(b as char);
        } else {
            out.push_str(&format!("%{b:02X}"));
        }
    }
    out
}

/// Takes percent-encoding off; a plus is a space, as in forms.
pub fn decode(text: &str) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        out.push(match b {
            b'+' => b' ',
            b'%' => {
                let hex = [bytes.next()?, bytes.next()?];
                let hex =
                    std::str::from_utf8(&hex).ok().filter(|h| h.bytes().all(|b| b.is_ascii_hexdigit()))?;
                u8::from_str_radix(hex, 16).ok()?
            }
            b => b,
        });
    }
    String::from_utf8(out).ok()
}
