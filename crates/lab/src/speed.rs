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
use violetward_wheel::TimerWheel;

use crate::fleet::{self, GatewayPlan};

/// Prints all figures.
///
/// # Errors
/// If the lab's own configuration is not good.
pub fn run() -> std::io::Result<()> {
    parsers();
    zmtp_parser();
    module()?;
    timers();
    sessions();
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

fn zmtp_parser() {
    use violetward_kernel::zmtp::{self, Got, Socket};
    let frames = |n: usize, size: usize| {
        let body = vec![b'x'; size];
        let mut bytes = [zmtp::greeting(), zmtp::ready(Socket::Dealer)].concat();
        for _ in 0..n {
            let hash = [b'0'; 64];
            let parts: [&[u8]; 7] = [b"", b"<IDS|MSG>", &hash, b"{}", b"{}", b"{}", &body];
            bytes.extend(zmtp::message(&parts));
        }
        bytes
    };
    let read = |bytes: &[u8]| {
        let mut reader =
            zmtp::Reader::new(Socket::Router, zmtp::Limits { message: 1 << 30, ..Default::default() });
        let mut read = 0;
        for portion in bytes.chunks(16 << 10) {
            reader.feed(portion);
            while let Ok(Some(got)) = reader.next() {
                if let Got::Message(parts) = black_box(got) {
                    read += parts.iter().map(Vec::len).sum::<usize>();
                }
            }
        }
        assert!(read > 3000, "the bytes are not read");
    };
    let (small, large) = (frames(100, 60), frames(1, 1 << 20));
    mb_per_s("ZMTP: short messages of seven frames", small.len(), || read(&small));
    mb_per_s("ZMTP: a message of 1 MB", large.len(), || read(&large));
}

/// The table of sessions against plain maps: open, enter, leave and end one of many.
fn sessions() {
    use std::collections::{BinaryHeap, HashMap};
    use violetward_session::table::{Binding, Holds, Left, Limits, Table};
    let limits = Limits { most: 1 << 24, most_a_user: 1 << 24, most_an_engine: 1 << 24, ..Limits::default() };
    let holds = Holds { transaction: true, tables: false };
    let binding =
        Binding { engine: 1, epoch: "life".into(), inner: "s12345".into(), holds, finishing: false };
    let name = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for count in [1_000u64, 10_000, 100_000, 1_000_000] {
        let mut table = Table::new(limits.clone(), 0);
        let mut now = 1_000_000_000;
        for n in 0..count {
            table.open(now, name(n), "user", &binding, u64::MAX, None).ok();
        }
        let rounds = 300_000;
        let start = Instant::now();
        for n in 0..rounds {
            now += 1;
            let old = name(n);
            if table.enter(now, old, "user", n, holds, 7, false).is_ok() {
                table.leave(now, old, n, Left::Holding(holds));
                table.leave(now, old, n, Left::Untouched);
            }
            table.end(now, old, violetward_session::table::Why::Ended);
            table.open(now, name(count + n), "user", &binding, u64::MAX, None).ok();
        }
        let ours = start.elapsed().as_secs_f64() * 1e9 / rounds as f64;
        let bytes = table.bytes() as f64 / count as f64;
        // Plain: sessions by number in a map, names as text, limits in a heap of times, engines as sets.
        struct Plain {
            _user: String,
            _epoch: String,
            _inner: String,
            used: u64,
            running: Option<u64>,
        }
        let plain = |now| Plain {
            _user: "user".into(),
            _epoch: "life".into(),
            _inner: "s12345".into(),
            used: now,
            running: None,
        };
        let mut map: HashMap<u64, Plain> = HashMap::new();
        let mut heap = BinaryHeap::new();
        let mut of_engine: BTreeMap<u64, std::collections::BTreeSet<u64>> = BTreeMap::new();
        for n in 0..count {
            map.insert(name(n), plain(now));
            heap.push(std::cmp::Reverse((now + 30_000_000, name(n))));
            of_engine.entry(1).or_default().insert(name(n));
        }
        let start = Instant::now();
        for n in 0..rounds {
            now += 1;
            let old = name(n);
            if let Some(s) = map.get_mut(&old) {
                (s.running, s.used) = (Some(n), now);
                (s.running, s.used) = (None, now);
                heap.push(std::cmp::Reverse((now + 30_000_000, old)));
            }
            map.remove(&old);
            of_engine.entry(1).or_default().remove(&old);
            map.insert(name(count + n), plain(now));
            of_engine.entry(1).or_default().insert(name(count + n));
            heap.push(std::cmp::Reverse((now + 30_000_000, name(count + n))));
        }
        let theirs = start.elapsed().as_secs_f64() * 1e9 / rounds as f64;
        println!(
            "{:<52} {ours:>9.0} ns, {bytes:.0} bytes each",
            format!("sessions: enter, leave, end, open; {count} open")
        );
        println!(
            "{:<52} {theirs:>9.0} ns ({:.1} times)",
            "the same, HashMap, BTreeSet and BinaryHeap",
            theirs / ours
        );
    }
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
                has_dedup_key: false,
                pin: None,
                deadline: now + 4_000_000,
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
    let mut wheel = TimerWheel::new(0);
    let mut keys: Vec<_> = (0..SET).map(|n| wheel.schedule(1 + draw() % 120_000, n)).collect();
    let start = Instant::now();
    for n in 0..SET {
        let at = (draw() % SET) as usize;
        wheel.cancel(keys[at]);
        keys[at] = wheel.schedule(1 + draw() % 120_000, n);
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
