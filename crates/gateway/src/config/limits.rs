//! The sections `limits` and `engine-properties`: limits and time-outs of the host.

use super::*;

/// The memory that clients may take if the configuration does not say how much.
const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;

/// Reads both sections; missing ones have default values.
pub(super) fn host_limits(
    checker: &mut Checker,
    limits: Option<&Form<'_>>,
    properties: Option<&Form<'_>>,
) -> HostLimits {
    let empty = Form::empty("limits");
    let known = [
        "list-every",
        "reply-margin",
        "long-poll",
        "abandon-after",
        "keep-ended",
        "buffer",
        "statement",
        "page",
        "open",
        "connections",
        "memory",
        "request-within",
        "idle-connection",
        "stream-idle",
        "status-every",
        "probe-within",
        "connect-within",
        "drain-within",
    ];
    let fields = checker.fields(limits.unwrap_or(&empty), 0, &known);
    let empty = Form::empty("engine-properties");
    let properties = checker.fields(properties.unwrap_or(&empty), 0, &["grant", "priority", "repeat"]);
    let ms = Duration::from_millis;
    let host = HostLimits {
        list_poll_interval: fields.duration(checker, "list-every", ms(50)),
        reply_margin: fields.duration(checker, "reply-margin", ms(50)),
        max_poll_wait: fields.duration(checker, "long-poll", ms(1000)),
        abandon_timeout: fields.duration(checker, "abandon-after", ms(30_000)),
        ended_retention: fields.duration(checker, "keep-ended", ms(10_000)),
        row_buffer_bytes: fields.size(checker, "buffer", 1 << 20) as usize,
        max_statement_bytes: fields.size(checker, "statement", 1 << 20) as usize,
        max_page_bytes: fields.size(checker, "page", 16 << 20) as usize,
        max_open_statements: fields.integer(checker, "open", (1, 10_000_000), 20_000) as usize,
        max_connections: fields.integer(checker, "connections", (1, 10_000_000), 20_000) as usize,
        memory_bytes: fields.size(checker, "memory", DEFAULT_MEMORY_BYTES) as usize,
        request_timeout: fields.duration(checker, "request-within", ms(10_000)),
        connection_idle_timeout: fields.duration(checker, "idle-connection", ms(120_000)),
        stream_idle_timeout: fields.duration(checker, "stream-idle", ms(30_000)),
        status_poll_interval: fields.duration(checker, "status-every", ms(250)),
        probe_timeout: fields.duration(checker, "probe-within", ms(1000)),
        connect_timeout: fields.duration(checker, "connect-within", ms(1000)),
        drain_timeout: fields.duration(checker, "drain-within", ms(60_000)),
        grant_property: properties.word(checker, "grant", "query_max_memory"),
        priority_property: properties.word(checker, "priority", "query_priority"),
        repeat_property: properties.word(checker, "repeat", "query_repeat_key"),
    };
    if host.max_poll_wait >= host.abandon_timeout {
        checker.error_at(
            &fields.form,
            "limits: long-poll must be under abandon-after, or waiting clients would lose their statements",
        );
    }
    host
}
