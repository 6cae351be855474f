//! Bounds and spans of the host.

use super::*;

pub(super) fn host_limits(
    c: &mut Checker,
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
        "request-within",
        "idle-connection",
        "stream-idle",
        "status-every",
        "probe-within",
        "connect-within",
        "drain-within",
    ];
    let f = c.fields(limits.unwrap_or(&empty), 0, &known);
    let empty = Form::empty("engine-properties");
    let p = c.fields(properties.unwrap_or(&empty), 0, &["grant", "priority", "repeat"]);
    let ms = Duration::from_millis;
    let host = HostLimits {
        list_poll_interval: f.duration(c, "list-every", ms(50)),
        reply_margin: f.duration(c, "reply-margin", ms(50)),
        max_poll_wait: f.duration(c, "long-poll", ms(1000)),
        abandon_timeout: f.duration(c, "abandon-after", ms(30_000)),
        ended_retention: f.duration(c, "keep-ended", ms(10_000)),
        row_buffer_bytes: f.size(c, "buffer", 1 << 20) as usize,
        max_statement_bytes: f.size(c, "statement", 1 << 20) as usize,
        max_page_bytes: f.size(c, "page", 16 << 20) as usize,
        max_open_statements: f.integer(c, "open", (1, 10_000_000), 20_000) as usize,
        max_connections: f.integer(c, "connections", (1, 10_000_000), 20_000) as usize,
        request_timeout: f.duration(c, "request-within", ms(10_000)),
        connection_idle_timeout: f.duration(c, "idle-connection", ms(120_000)),
        stream_idle_timeout: f.duration(c, "stream-idle", ms(30_000)),
        status_poll_interval: f.duration(c, "status-every", ms(250)),
        probe_timeout: f.duration(c, "probe-within", ms(1000)),
        connect_timeout: f.duration(c, "connect-within", ms(1000)),
        drain_timeout: f.duration(c, "drain-within", ms(60_000)),
        grant_property: p.word(c, "grant", "query_max_memory"),
        priority_property: p.word(c, "priority", "query_priority"),
        repeat_property: p.word(c, "repeat", "query_repeat_key"),
    };
    if host.max_poll_wait >= host.abandon_timeout {
        c.error_at(
            &f.form,
            "limits: long-poll must be under abandon-after, or clients that wait would be let go",
        );
    }
    host
}
