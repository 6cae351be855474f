//! Bounds and spans of the host.

use super::*;

pub(super) fn host_limits(
    c: &mut Checker,
    limits: Option<&Form<'_>>,
    properties: Option<&Form<'_>>,
) -> HostLimits {
    let empty = Form::made("limits");
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
    let empty = Form::made("engine-properties");
    let p = c.fields(properties.unwrap_or(&empty), 0, &["grant", "priority", "repeat"]);
    let ms = Duration::from_millis;
    let host = HostLimits {
        list_every: f.span(c, "list-every", ms(50)),
        reply_margin: f.span(c, "reply-margin", ms(50)),
        long_poll: f.span(c, "long-poll", ms(1000)),
        abandon_after: f.span(c, "abandon-after", ms(30_000)),
        keep_ended: f.span(c, "keep-ended", ms(10_000)),
        buffer: f.size(c, "buffer", 1 << 20) as usize,
        statement_bytes: f.size(c, "statement", 1 << 20) as usize,
        page_bytes: f.size(c, "page", 16 << 20) as usize,
        most_open: f.whole(c, "open", (1, 10_000_000), 20_000) as usize,
        most_connections: f.whole(c, "connections", (1, 10_000_000), 20_000) as usize,
        request_within: f.span(c, "request-within", ms(10_000)),
        idle_connection: f.span(c, "idle-connection", ms(120_000)),
        stream_idle: f.span(c, "stream-idle", ms(30_000)),
        status_every: f.span(c, "status-every", ms(250)),
        probe_within: f.span(c, "probe-within", ms(1000)),
        connect_within: f.span(c, "connect-within", ms(1000)),
        drain_within: f.span(c, "drain-within", ms(60_000)),
        grant_property: p.word(c, "grant", "query_max_memory"),
        priority_property: p.word(c, "priority", "query_priority"),
        repeat_property: p.word(c, "repeat", "query_repeat_key"),
    };
    if host.long_poll >= host.abandon_after {
        c.at(&f.owner, "limits: long-poll must be under abandon-after, or clients that wait would be let go");
    }
    host
}
