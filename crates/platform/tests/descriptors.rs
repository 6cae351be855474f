//! A gateway whose process has no free file descriptor: its open sockets continue to work, and it opens
//! further ones once descriptors are free again. The limit applies to the whole process; for this reason
//! these tests are in a binary of their own and run one at a time.

mod bed;

use std::fs::File;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bed::scripted::*;
use violetward_standin::platform::{limit_descriptors, PlatformEngine};

/// The limit of this process: low, so that all descriptors are soon in use.
const DESCRIPTOR_LIMIT: u64 = 160;

/// Held by the test that uses up the descriptors of the process.
static DESCRIPTORS_LOCK: Mutex<()> = Mutex::new(());

/// Occupies every free descriptor, and each one that becomes free, until it is dropped.
struct DescriptorExhaustion {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl DescriptorExhaustion {
    /// Returns once no descriptor is free.
    fn start() -> DescriptorExhaustion {
        limit_descriptors(DESCRIPTOR_LIMIT).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let thread_stop = stop.clone();
        let (exhausted_sender, exhausted) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let mut files = Vec::new();
            while !thread_stop.load(Ordering::Relaxed) {
                match File::open("/dev/null") {
                    Ok(file) => files.push(file),
                    Err(_) => {
                        exhausted_sender.send(()).ok();
                        std::thread::sleep(Duration::from_micros(200));
                    }
                }
            }
        });
        exhausted.recv_timeout(TIMEOUT).unwrap();
        DescriptorExhaustion { stop, thread: Some(thread) }
    }
}

impl Drop for DescriptorExhaustion {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().map(JoinHandle::join);
    }
}

#[test]
fn the_resolver_is_queried_without_a_free_descriptor_even_after_it_has_moved() {
    let _lock = DESCRIPTORS_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let (old, new) = (ScriptedResolver::start(), ScriptedResolver::start());
    let engine = PlatformEngine::start().unwrap();
    let gateway = Gateway::start(old.address, &[engine.address.into()], &[]);
    let mut client = Client::connect(&gateway);
    // The idle connection to the engine serves further requests without a new descriptor.
    client.send(&request_id(0), "look", 2_500);
    assert_eq!(client.read_response().1, served_page(&request_id(0)));
    let exhaustion = DescriptorExhaustion::start();
    // None of these queries is answered, and after each failure the gateway wants a new socket.
    (0..6).for_each(|_| drop(old.next_query()));
    client.send(&request_id(1), "look", 2_500);
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    gateway.move_resolver(new.address);
    // An answer that comes too late is not accepted, but a later one is.
    let started = Instant::now();
    for n in 2.. {
        let query = new.next_query();
        new.send(&query, &new.encode_list(&query, 2, &[(engine.address.into(), true)]));
        new.next_query();
        client.send(&request_id(n), "look", 2_500);
        if client.read_response().1 == Response::Refused {
            break;
        }
        assert!(started.elapsed() < TIMEOUT, "the gateway does not notice that the engine drains");
    }
    drop(exhaustion);
}

#[test]
fn connecting_without_a_free_descriptor_waits_for_one_and_does_not_count_against_the_engine() {
    let _lock = DESCRIPTORS_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[bed::LONG_CONNECT_TIMEOUT]);
    let mut client = Client::connect(&gateway);
    client.wait_until_processed();
    let exhaustion = DescriptorExhaustion::start();
    client.send(&request_id(2), "look", 2_500);
    assert!(client.is_silent(), "the request ended although its engine is reachable");
    drop(exhaustion);
    let (connection, _) = engine.wait_for_command("fetch");
    engine.serve(connection, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
    // If the engine were now treated as cold, it would get only a few of these requests.
    let requests = 20;
    for n in 0..requests {
        client.send(&request_id(100 + n), "look", 2_500);
    }
    for _ in 0..requests {
        let (connection, words) = engine.wait_for_command("fetch");
        engine.serve(connection, &words[1]);
    }
}
