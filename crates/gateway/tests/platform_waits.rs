//! Tests requests that the client delays before it writes them.
//!
//! Clients write the requests of one order key at least 60 ms apart, 250 ms after one on a new connection.
//! When gateways fail during a rolling release, their requests queue up at the clients: 3 of about 70,000
//! requests, all with an order key, got no final answer in time. The gateway had read them 0.79 to 1.37 s
//! after the client had them, and other requests on the same connections within 2 ms. `wait` runs from when
//! the client has the request, but the gateway counted it from when it had read the request and granted the
//! engine that much patience. The records of both sides, joined by request, show that each late request
//! waited at its client and none in the gateway.

mod program;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use program::{config_path, start_gateway, start_resolver};
use violetward_standin::platform::{Fault, PlatformEngine};
use violetward_thrift::{FrameDecoder, MessageType, Writer};

const SETTINGS: &str = r#"{"NInstances":1,"MachineTypes":["std"],"Zones":["east"],"QuantumUs":5000,
 "Classes":[{"Name":"load","AimUs":1600000,"HardLimitUs":6000000,"WindowUs":6000000,"Worth":1.0,"Effect":"by_key",
 "FifoByKey":true}],"Contract":{"ColdFrom":0.31,"ColdUs":5000000},"FamilyInfo":{"SizeCores":[8]},
 "Report":{"How":"answers"},"Limits":{"AttemptsCap":3,"MayCancel":true,"Probes":true,"StreamsPerConn":32}}"#;

/// How long the client delays each request before it writes it.
const CLIENT_DELAY: Duration = Duration::from_millis(1_200);
/// How long after its deadline a final answer still counts.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(500);
/// The margin by which the patience sent to an engine may exceed the client's remaining time.
const PATIENCE_SLACK: Duration = Duration::from_millis(150);

/// A request with an order key that its client delays, and how long the client waits for the answer.
struct DelayedRequest {
    id: &'static str,
    wait: Duration,
    is_retry: bool,
}

impl DelayedRequest {
    fn to_frame(&self) -> Vec<u8> {
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

    /// Writes the request after the delay and returns whether its final answer arrives in time.
    fn is_answered(&self, port: u16) -> bool {
        let created_at = Instant::now();
        let frame = self.to_frame();
        std::thread::sleep(CLIENT_DELAY);
        let mut socket = TcpStream::connect(("127.0.0.1", port)).unwrap();
        socket.write_all(&frame).unwrap();
        let (mut frames, mut bytes) = (FrameDecoder::new(1 << 20), [0; 4096]);
        let answer_deadline = created_at + self.wait + ANSWER_TOLERANCE;
        while frames.next_frame().unwrap().is_none() {
            let left = answer_deadline.saturating_duration_since(Instant::now());
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

/// The patience that the engine received with each attempt of a request.
fn received_patience(engine: &PlatformEngine, id: &str) -> Vec<Duration> {
    let journal = engine.journal();
    let fetches = journal.iter().filter(|words| words[0] == "fetch" && words[1] == id);
    let patience_values =
        fetches.flat_map(|words| words[2].split(',')).filter_map(|field| field.strip_prefix("patience="));
    patience_values.map(|ms| Duration::from_millis(ms.parse().unwrap())).collect()
}

#[test]
fn a_request_delayed_by_its_client_is_answered_within_the_clients_deadline() {
    let engine = PlatformEngine::start().unwrap();
    // The engine never answers, so only the deadline ends a request.
    (0..20).for_each(|_| engine.order(Fault::Hang));
    let list = start_resolver(&engine);
    let path = config_path("delayed");
    std::fs::write(&path, program::gateway_config(&list, &engine, SETTINGS)).unwrap();
    let (mut child, port) = start_gateway(&path);
    let first =
        DelayedRequest { id: "00000000000000a1", wait: Duration::from_millis(6_000), is_retry: false };
    let retry = DelayedRequest { id: "00000000000000a2", wait: Duration::from_millis(1_900), is_retry: true };
    let answered = std::thread::scope(|scope| {
        let waiting = [&first, &retry].map(|request| scope.spawn(move || request.is_answered(port)));
        waiting.map(|answer| answer.join().unwrap())
    });
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(path).ok();
    assert_eq!(answered, [true, true], "the first attempt, the retry");
    assert!(!received_patience(&engine, first.id).is_empty(), "the engine got no request");
    for request in [first, retry] {
        let left = request.wait - CLIENT_DELAY + PATIENCE_SLACK;
        let patience_values = received_patience(&engine, request.id);
        assert!(
            patience_values.iter().all(|&patience| patience <= left),
            "{}: {patience_values:?} of {left:?}",
            request.id
        );
    }
}
