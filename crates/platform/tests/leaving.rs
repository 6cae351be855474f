//! Clients that leave while their request waits for a connection to its engine, over real connections.

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

/// A gateway on loopback before one engine; it ends with the process.
struct Bed {
    address: SocketAddr,
    engine: PlatformEngine,
    _resolver: PlatformResolver,
}

fn bed(may_cancel: bool) -> Bed {
    let engine = PlatformEngine::start().unwrap();
    let resolver = PlatformResolver::start("east", "std").unwrap();
    resolver
        .tell(1, vec![Listed { id: "e-0".into(), address: engine.address, draining: false, started_ms: 0 }]);
    let text = bed::config(&resolver.address.to_string(), &[("e-0", engine.address.to_string())]);
    // The engine's connections come up as late as a test likes.
    let text = text.replace(bed::CONNECT_TIMEOUT_SETTING, "\"ConnectTimeoutUs\": 20000000");
    let text = text.replace("\"MayCancel\": true", &format!("\"MayCancel\": {may_cancel}"));
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let config = config::parse(&text).unwrap();
        let executor = Rc::new(LocalExecutor::new());
        let follow = Resolver::new(config.resolver);
        let (_host, address) = service::start(config, &executor, &follow).unwrap();
        tell.send(address).unwrap();
        async_io::block_on(executor.run(std::future::pending::<()>()));
    });
    Bed { address: told.recv().unwrap(), engine, _resolver: resolver }
}

struct Client {
    socket: TcpStream,
    frames: FrameDecoder,
}

impl Client {
    fn new(bed: &Bed) -> Client {
        let socket = TcpStream::connect(bed.address).unwrap();
        socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        Client { socket, frames: FrameDecoder::new(1 << 20) }
    }

    fn dispatch(&mut self, seqid: i32, id: &str) {
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

    /// All that was sent before has been taken once this is answered.
    fn alive(&mut self, seqid: i32) {
        let mut writer = Writer::message("alive", MessageType::Call, seqid);
        writer.bool(1, false);
        writer.end_struct();
        self.socket.write_all(&writer.into_frame()).unwrap();
        self.read();
    }

    fn read(&mut self) -> Vec<u8> {
        let mut bytes = [0; 8 << 10];
        loop {
            if let Some(frame) = self.frames.next_frame().unwrap() {
                return frame;
            }
            let read = self.socket.read(&mut bytes).unwrap();
            assert!(read > 0, "closed");
            self.frames.feed(&bytes[..read]);
        }
    }
}

fn written(bed: &Bed) -> Vec<String> {
    bed.engine.journal().into_iter().filter(|c| c[0] == "fetch").map(|c| c[1].clone()).collect()
}

const FIRST: &str = "00000000000000a1";
const SECOND: &str = "00000000000000a2";

/// The connection comes up once the client has gone: it carries the next client's request, and not the first one's.
#[test]
fn what_waits_for_a_connection_is_not_written_for_a_client_that_has_gone() {
    for (may_cancel, closes) in [(true, true), (true, false), (false, true), (false, false)] {
        let bed = bed(may_cancel);
        bed.engine.hold().unwrap();
        let mut first = Client::new(&bed);
        first.dispatch(1, FIRST);
        // The answer shows that the request was read; one more read that it was handed in.
        first.alive(2);
        first.alive(3);
        let mut second = Client::new(&bed);
        if closes {
            drop(first);
            // The end of the connection was there before the first of these was asked.
            (1..=5).for_each(|seqid| second.alive(seqid));
        } else {
            first.cancel(1);
            first.alive(4);
        }
        second.dispatch(10, SECOND);
        second.alive(11);
        bed.engine.release().unwrap();
        second.read();
        assert_eq!(written(&bed), [SECOND], "withdrawing allowed: {may_cancel}, connection closed: {closes}");
    }
}
