//! A gateway whose process has no descriptor free: what it holds goes on, and what it lacks comes when one is free again.
//! The limit is the process's, so that these tests have one of their own and take turns.

mod bed;

use std::fs::File;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bed::scripted::*;
use violetward_standin::platform::{limit_descriptors, PlatformEngine};

/// Descriptors of this process: few, so that all are soon taken.
const LIMIT: u64 = 160;

/// One test at a time has the process's descriptors.
static TURN: Mutex<()> = Mutex::new(());

/// Takes every descriptor that is free, and each one that gets free, until it is dropped.
struct Hog {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Hog {
    /// Returns once no descriptor is free.
    fn start() -> Hog {
        limit_descriptors(LIMIT).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let (tell, full) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let mut taken = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                match File::open("/dev/null") {
                    Ok(file) => taken.push(file),
                    Err(_) => {
                        tell.send(()).ok();
                        std::thread::sleep(Duration::from_micros(200));
                    }
                }
            }
        });
        full.recv_timeout(TIMEOUT).unwrap();
        Hog { stop, thread: Some(thread) }
    }
}

impl Drop for Hog {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().map(JoinHandle::join);
    }
}

#[test]
fn the_list_is_asked_for_without_a_free_descriptor_and_at_a_new_address_too() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let (old, new) = (ScriptedResolver::start(), ScriptedResolver::start());
    let engine = PlatformEngine::start().unwrap();
    let gateway = Gateway::start(old.address, &[engine.address.into()], &[]);
    let mut client = Client::connect(&gateway);
    // A connection that rests, so that requests need no descriptor.
    client.send(&request_id(0), "look", 2_500);
    assert_eq!(client.read_response().1, served_page(&request_id(0)));
    let hog = Hog::start();
    // Each of these fails, and each failure asks for a new socket.
    (0..6).for_each(|_| drop(old.next_query()));
    client.send(&request_id(1), "look", 2_500);
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    gateway.move_resolver(new.address);
    // An answer that comes too late is not taken; the next one is.
    let started = Instant::now();
    for n in 2.. {
        let question = new.next_query();
        new.send(&question, &new.encode_list(&question, 2, &[(engine.address.into(), true)]));
        new.next_query();
        client.send(&request_id(n), "look", 2_500);
        if client.read_response().1 == Response::Refused {
            break;
        }
        assert!(started.elapsed() < TIMEOUT, "the engine is never seen to drain");
    }
    drop(hog);
}

#[test]
fn a_dial_without_a_free_descriptor_waits_for_one_and_costs_its_engine_nothing() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[bed::LONG_CONNECT_TIMEOUT]);
    let mut client = Client::connect(&gateway);
    client.wait_until_processed();
    let hog = Hog::start();
    client.send(&request_id(2), "look", 2_500);
    assert!(client.is_silent(), "the engine was taken for one that is gone");
    drop(hog);
    let (connection, _) = engine.wait_for_command("fetch");
    engine.serve(connection, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
    // A cold engine would be sent a few of these at most.
    let wanted = 20;
    for n in 0..wanted {
        client.send(&request_id(100 + n), "look", 2_500);
    }
    for _ in 0..wanted {
        let (connection, words) = engine.wait_for_command("fetch");
        engine.serve(connection, &words[1]);
    }
}
