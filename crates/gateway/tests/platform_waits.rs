//! Requests that their clients held back before they wrote them.
//!
//! Seen: in a rolling release with gateways that had died, three requests of some 70,000 got no final answer in their time.
//! All three had an order key. Other requests on the same connections were read within 2 ms of being handed in, these
//! 0.79 to 1.37 s after it: clients write the requests of one key at least 60 ms apart, 250 ms behind one on a new
//! connection, and the requests of the dead gateways had made queues of them. `wait` runs from when the client has the
//! request. The gateway counted it from when it had read the request, and gave the engine that much patience.
//! Proved by the records of both sides, joined by request: each late one waited at its client, none in the gateway.

mod program;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use program::{file, resolver, start};
use violetward_standin::platform::{Fault, PlatformEngine};
use violetward_thrift::{FrameDecoder, MessageType, Writer};

const SETTINGS: &str = r#"{"NInstances":1,"MachineTypes":["std"],"Zones":["east"],"QuantumUs":5000,
 "Classes":[{"Name":"load","AimUs":1600000,"HardLimitUs":6000000,"WindowUs":6000000,"Worth":1.0,"Effect":"by_key",
 "FifoByKey":true}],"Contract":{"ColdFrom":0.31,"ColdUs":5000000},"FamilyInfo":{"SizeCores":[8]},
 "Report":{"How":"answers"},"Limits":{"AttemptsCap":3,"MayCancel":true,"Probes":true,"StreamsPerConn":32}}"#;

/// How long each request is held back.
const HELD_BACK: Duration = Duration::from_millis(1_200);
/// How late a final answer may be.
const TOLERANCE: Duration = Duration::from_millis(500);
/// By how much the patience told to an engine may exceed what its client has left.
const PATIENCE_SLACK: Duration = Duration::from_millis(150);

/// A request with an order key, and how long its client waits for the answer.
struct Held {
    id: &'static str,
    wait: Duration,
    is_retry: bool,
}

impl Held {
    fn frame(&self) -> Vec<u8> {
        let wait = self.wait.as_millis().to_string();
        let mut fields = vec![("id", self.id), ("class", "load"), ("wait", &wait), ("cost", "20")];
        fields.extend([("key", self.id), ("once", self.id), ("heap_mb", "64")]);
        if self.is_retry {
            fields.push(("retry", "1"));
        }
        let mut writer = Writer::message("dispatch", MessageType::Call, 1);
        writer.string_map(1, fields.into_iter());
        writer.binary(2, b"select 1 from a_1.b");
        writer.end_struct();
        writer.into_frame()
    }

    /// Holds the request back, then writes it; whether its final answer comes before it is lost.
    fn is_answered(&self, port: u16) -> bool {
        let worded = Instant::now();
        let frame = self.frame();
        std::thread::sleep(HELD_BACK);
        let mut socket = TcpStream::connect(("127.0.0.1", port)).unwrap();
        socket.write_all(&frame).unwrap();
        let (mut frames, mut bytes) = (FrameDecoder::new(1 << 20), [0; 4096]);
        let lost_at = worded + self.wait + TOLERANCE;
        while frames.next_frame().unwrap().is_none() {
            let left = lost_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            socket.set_read_timeout(Some(left)).unwrap();
            match socket.read(&mut bytes) {
                Ok(0) | Err(_) => return false,
                Ok(read) => frames.feed(&bytes[..read]),
            }
        }
        true
    }
}

/// The patience that the engine was told with each attempt of a request.
fn patience(engine: &PlatformEngine, id: &str) -> Vec<Duration> {
    let journal = engine.journal();
    let fetches = journal.iter().filter(|words| words[0] == "fetch" && words[1] == id);
    let told =
        fetches.flat_map(|words| words[2].split(',')).filter_map(|field| field.strip_prefix("patience="));
    told.map(|ms| Duration::from_millis(ms.parse().unwrap())).collect()
}

#[test]
fn a_request_that_its_client_held_back_is_answered_in_its_clients_time() {
    let engine = PlatformEngine::start().unwrap();
    // It never answers: only the request's time ends it.
    (0..20).for_each(|_| engine.order(Fault::Hang));
    let list = resolver(&engine);
    let path = file("held");
    std::fs::write(&path, program::config(&list, &engine, SETTINGS)).unwrap();
    let (mut child, port) = start(&path);
    let first = Held { id: "00000000000000a1", wait: Duration::from_millis(6_000), is_retry: false };
    let further = Held { id: "00000000000000a2", wait: Duration::from_millis(1_900), is_retry: true };
    let answered = std::thread::scope(|scope| {
        let waiting = [&first, &further].map(|held| scope.spawn(move || held.is_answered(port)));
        waiting.map(|answer| answer.join().unwrap())
    });
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(path).ok();
    assert_eq!(answered, [true, true], "the first try, a further try");
    assert!(!patience(&engine, first.id).is_empty(), "the engine was never asked");
    for held in [first, further] {
        let left = held.wait - HELD_BACK + PATIENCE_SLACK;
        let told = patience(&engine, held.id);
        assert!(told.iter().all(|&patience| patience <= left), "{}: {told:?} of {left:?}", held.id);
    }
}
