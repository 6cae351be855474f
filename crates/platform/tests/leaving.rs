//! Clients that cancel or disconnect while their request waits for a connection to its engine, over real
//! connections.

mod bed;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use violetward_platform::config;
use violetward_platform::resolver::Resolver;
use violetward_platform::service;
use violetward_standin::platform::{Listed, PlatformEngine, PlatformResolver};
use violetward_thrift::{FrameDecoder, MessageType, Writer};

/// A gateway on loopback with one engine; it runs until the process ends.
struct TestBed {
    gateway_address: SocketAddr,
    engine: PlatformEngine,
    _resolver: PlatformResolver,
}

fn start_test_bed(may_cancel: bool) -> TestBed {
    let engine = PlatformEngine::start().unwrap();
    let resolver = PlatformResolver::start("east", "std").unwrap();
    resolver
        .tell(1, vec![Listed { id: "e-0".into(), address: engine.address, draining: false, started_ms: 0 }]);
    let text = bed::config(&resolver.address.to_string(), &[("e-0", engine.address.to_string())]);
    // The engine can hold connections for long before the gateway gives them up.
    let text = text.replace(bed::LONG_CONNECT_TIMEOUT.0, bed::LONG_CONNECT_TIMEOUT.1);
    let text = text.replace("\"MayCancel\": true", &format!("\"MayCancel\": {may_cancel}"));
    let (address_sender, address_receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let config = config::parse(&text).unwrap();
        let executor = Rc::new(LocalExecutor::new());
        let resolver = Resolver::new(config.resolver);
        let (_host, address) = service::start(config, &executor, &resolver).unwrap();
        address_sender.send(address).unwrap();
        async_io::block_on(executor.run(std::future::pending::<()>()));
    });
    TestBed { gateway_address: address_receiver.recv().unwrap(), engine, _resolver: resolver }
}

struct Client {
    socket: TcpStream,
    frames: FrameDecoder,
}

impl Client {
    fn connect(test_bed: &TestBed) -> Client {
        let socket = TcpStream::connect(test_bed.gateway_address).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        Client { socket, frames: FrameDecoder::new(1 << 20) }
    }

    fn send_request(&mut self, seqid: i32, id: &str) {
        let fields = [("id", id), ("class", "look"), ("wait", "2900"), ("cost", "20.0"), ("heap_mb", "64")];
        let mut writer = Writer::message("dispatch", MessageType::Call, seqid);
        writer.string_map(1, fields.into_iter());
        writer.binary(2, b"pages 1");
        writer.end_struct();
        self.socket.write_all(&writer.into_frame()).unwrap();
    }

    fn cancel(&mut self, seqid: i32) {
        let mut writer = Writer::message("cancelRequest", MessageType::Oneway, 0);
        writer.i32(1, seqid);
        writer.end_struct();
        self.socket.write_all(&writer.into_frame()).unwrap();
    }

    /// Calls `alive`. Once this is answered, the gateway has received everything that was sent before.
    fn call_alive(&mut self, seqid: i32) {
        let mut writer = Writer::message("alive", MessageType::Call, seqid);
        writer.bool(1, false);
        writer.end_struct();
        self.socket.write_all(&writer.into_frame()).unwrap();
        self.read_frame();
    }

    fn read_frame(&mut self) -> Vec<u8> {
        let mut bytes = [0; 8 << 10];
        loop {
            if let Some(frame) = self.frames.next_frame().unwrap() {
                return frame;
            }
            let read = self.socket.read(&mut bytes).unwrap();
            assert!(read > 0, "the gateway closed the connection");
            self.frames.feed(&bytes[..read]);
        }
    }
}

/// The ids of the requests that the engine received.
fn fetched_ids(test_bed: &TestBed) -> Vec<String> {
    let commands = test_bed.engine.journal().into_iter();
    commands.filter(|words| words[0] == "fetch").map(|words| words[1].clone()).collect()
}

const FIRST_ID: &str = "00000000000000a1";
const SECOND_ID: &str = "00000000000000a2";

/// The engine accepts the connection after the first client has left: it must carry only the second client's
/// request.
#[test]
fn requests_waiting_for_a_connection_are_not_written_after_their_client_has_left() {
    for (may_cancel, disconnects) in [(true, true), (true, false), (false, true), (false, false)] {
        let test_bed = start_test_bed(may_cancel);
        test_bed.engine.hold().unwrap();
        let mut first = Client::connect(&test_bed);
        first.send_request(1, FIRST_ID);
        // The first answer shows that the request has been read, the second one that it has been submitted to
        // the core.
        first.call_alive(2);
        first.call_alive(3);
        let mut second = Client::connect(&test_bed);
        if disconnects {
            drop(first);
            // The gateway could see the end of the first connection before the first of these calls.
            (1..=5).for_each(|seqid| second.call_alive(seqid));
        } else {
            first.cancel(1);
            first.call_alive(4);
        }
        second.send_request(10, SECOND_ID);
        second.call_alive(11);
        test_bed.engine.release().unwrap();
        second.read_frame();
        assert_eq!(
            fetched_ids(&test_bed),
            [SECOND_ID],
            "cancelling allowed: {may_cancel}, client disconnects: {disconnects}"
        );
    }
}
