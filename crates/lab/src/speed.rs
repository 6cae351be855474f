//! Speeds of parts, each beside a plain one, in one run: parsers, the module's events, timers.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

use violetward::{
    Action, Answer, CellId, ClassId, EngineEntry, EngineId, Event, Gateway, GroupId, KindId, ListKind,
    Listed, Load, Outcome, Request, RequestId, TenantId, ZoneId,
};
use violetward_gateway::config;
use violetward_statement::http::{self, Headers, Limits, Reader, Side};
use violetward_statement::results::QueryResults;
use violetward_wheel::Wheel;

use crate::fleet::{self, GatewayPlan};

/// Prints all figures.
///
/// # Errors
/// If the lab's own configuration is not good.
pub fn run() -> std::io::Result<()> {
    parsers();
    module()?;
    timers();
    Ok(())
}

fn mb_per_s(name: &str, bytes: usize, mut work: impl FnMut()) {
    let start = Instant::now();
    let mut rounds = 0;
    while start.elapsed().as_millis() < 500 {
        work();
        rounds += 1;
    }
    let rate = (bytes * rounds) as f64 / start.elapsed().as_secs_f64() / 1e6;
    println!("{name:<52} {rate:>9.0} MB/s");
}

fn parsers() {
    let mut headers = Headers::default();
    headers.push("Host", "127.0.0.1:8080");
    for (name, value) in
        [("X-Trino-User", "u"), ("X-Trino-Source", "app"), ("X-Trino-Client-Tags", "lookup,group=g1")]
    {
        headers.push(name, value);
    }
    let mut small = Vec::new();
    for _ in 0..100 {
        http::write_request(
            &mut small,
            "POST",
            "/v1/statement",
            &headers,
            b"SELECT name FROM players WHERE id = 7",
        );
    }
    let read = |bytes: &[u8], side| {
        let mut reader = Reader::new(side, Limits { body: 1 << 30, ..Limits::default() });
        let mut read = 0;
        for portion in bytes.chunks(16 << 10) {
            reader.feed(portion);
            while let Ok(Some(message)) = reader.next() {
                read += black_box(message).body.len();
            }
        }
        assert!(read > 3000, "the bytes are not read");
    };
    mb_per_s("HTTP: short requests, pipelined", small.len(), || read(&small, Side::Requests));
    let rows = format!(
        "{{\"id\":\"x\",\"infoUri\":\"\",\"stats\":{{}},\"data\":[{}]}}",
        vec!["[\"a name\",12.5,7]"; 60_000].join(",")
    );
    let mut large = Vec::new();
    http::write_response(&mut large, 200, &headers, rows.as_bytes(), true);
    mb_per_s("HTTP: a response of 1 MB", large.len(), || read(&large, Side::Responses));
    let mut chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in rows.as_bytes().chunks(4096) {
        chunked.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        chunked.extend_from_slice(chunk);
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    mb_per_s("HTTP: the same in chunks of 4 kB", chunked.len(), || read(&chunked, Side::Responses));
    mb_per_s("statement protocol: the same document, rows kept raw", rows.len(), || {
        black_box(serde_json::from_str::<QueryResults>(&rows).ok());
    });
    mb_per_s("the same document, rows taken apart", rows.len(), || {
        black_box(serde_json::from_str::<serde_json::Value>(&rows).ok());
    });
}

fn module() -> std::io::Result<()> {
    for engines in [8u64, 32] {
        let plan = GatewayPlan {
            number: 0,
            of: 1,
            listen: "127.0.0.1:0".into(),
            engines: "x".into(),
            more: String::new(),
        };
        let config = config::parse(&fleet::configuration(&plan), std::path::Path::new("."));
        let settings = config.map_err(|m| std::io::Error::other(format!("{m:?}")))?.settings;
        let mut gateway = Gateway::new(settings, 1);
        let mut out = Vec::new();
        let entry = |n: u64| EngineEntry {
            engine: EngineId(n),
            came_up: 0,
            weight: 1.0,
            kind: KindId(0),
            zone: ZoneId(0),
            cell: CellId(0),
            listed: Listed::Up,
        };
        gateway.handle(
            0,
            Event::Engines { kind: ListKind::Whole, entries: (0..engines).map(entry).collect() },
            &mut out,
        );
        let (mut now, mut events) = (1_000_000, 0u64);
        let mut running: std::collections::VecDeque<(RequestId, u64)> = Default::default();
        let start = Instant::now();
        for id in 0..40_000u64 {
            now += 200_000 / engines;
            let request = Request {
                id: RequestId(id),
                class: ClassId(0),
                tenant: TenantId(0),
                cost: 100_000,
                memory_mb: 100.0,
                group: GroupId(id % 8),
                key: None,
                is_retry: false,
                marked: false,
                pin: None,
                due: now + 4_000_000,
            };
            out.clear();
            gateway.handle(now, Event::Request(request), &mut out);
            events += 1;
            running.extend(out.iter().filter_map(|a| match a {
                Action::Dispatch { id, .. } => Some((*id, now)),
                _ => None,
            }));
            while running.front().is_some_and(|r| r.1 + 150_000 < now) {
                let (id, at) = running.pop_front().expect("looked at");
                let answer = Answer {
                    id,
                    attempt: 0,
                    outcome: Outcome::Ok,
                    took: now - at,
                    complete: true,
                    work: Some(100_000),
                    memory_mb: Some(90.0),
                    load: Load::default(),
                };
                out.clear();
                gateway.handle(now, Event::Answer(answer), &mut out);
                events += 1;
            }
        }
        let each = start.elapsed().as_secs_f64() * 1e6 / events as f64;
        println!(
            "{:<52} {each:>9.2} us an event",
            format!("module: requests and answers, {engines} engines")
        );
    }
    Ok(())
}

fn timers() {
    const SET: u64 = 1_000_000;
    let mut dice = 7u64;
    let mut draw = || {
        dice ^= dice >> 12;
        dice ^= dice << 25;
        dice ^= dice >> 27;
        dice.wrapping_mul(0x2545_f491_4f6c_dd1d)
    };
    let mut wheel = Wheel::new(0);
    let mut keys: Vec<_> = (0..SET).map(|n| wheel.set(1 + draw() % 120_000, n)).collect();
    let start = Instant::now();
    for n in 0..SET {
        let at = (draw() % SET) as usize;
        wheel.unset(keys[at]);
        keys[at] = wheel.set(1 + draw() % 120_000, n);
    }
    let wheel_each = start.elapsed().as_secs_f64() * 1e9 / SET as f64;
    let mut map = BTreeMap::new();
    let mut names: Vec<_> = (0..SET)
        .map(|n| {
            let name = (1 + draw() % 120_000, n);
            map.insert(name, n);
            name
        })
        .collect();
    let start = Instant::now();
    for n in 0..SET {
        let at = (draw() % SET) as usize;
        map.remove(&names[at]);
        names[at] = (1 + draw() % 120_000, SET + n);
        map.insert(names[at], n);
    }
    let map_each = start.elapsed().as_secs_f64() * 1e9 / SET as f64;
    println!("{:<52} {wheel_each:>9.0} ns", "timers: unset and set one of a million, wheel");
    println!("{:<52} {map_each:>9.0} ns ({:.1} times)", "the same, sorted map", map_each / wheel_each);
}
