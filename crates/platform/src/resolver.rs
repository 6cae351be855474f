//! Follows the list of engines by DNS over UDP.

use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use event_listener::Event;
use futures_lite::future;
use violetward_dns::serial::is_newer;

use crate::host::Host;
use crate::list;

/// How often the list is asked for. A change counts as told once an answer holds it, and 1.5 s after it happened at the
/// latest: asking several times within that leaves room for answers that get lost.
const EVERY: Duration = Duration::from_millis(250);
/// How long an answer is waited for before the question is asked anew.
const WITHIN: Duration = Duration::from_millis(150);
/// By how much the pause grows with each failure in a row. It never lets questions get rarer than [`EVERY`]: what changed
/// while nothing was heard counts as told soon after the resolver is back.
const PAUSE_STEP: Duration = Duration::from_millis(30);
/// After so many failures in a row the log tells, and the pause grows no further.
const FAILURES_TOLD: u32 = 8;
/// Datagrams that are looked at for one question. Guards the thread that everything runs on against a flood of them.
const DATAGRAMS_MOST: u32 = 32;
/// Bytes of an answer; one octet more tells one that is longer.
const ANSWER: usize = 8_000;

/// Where the resolver is.
pub struct Resolver {
    address: Cell<SocketAddr>,
    moved: Event,
}

impl Resolver {
    /// A resolver at an address.
    pub fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(Resolver { address: Cell::new(address), moved: Event::new() })
    }

    /// It is elsewhere from now on.
    pub fn moved_to(&self, address: SocketAddr) {
        self.address.set(address);
        self.moved.notify(usize::MAX);
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Follows the list, from the event with that number on. Never ends.
    pub async fn follow(self: Rc<Self>, host: Rc<Host>, mut have: u32) {
        let mut socket = None;
        let mut failures = 0u32;
        loop {
            let mut moved = self.moved.listen();
            let (address, asked_at) = (self.address.get(), Instant::now());
            let question = async { Some(ask(&host, &mut socket, address, failures > 0).await) };
            let gone = async {
                (&mut moved).await;
                None
            };
            // Once it has moved, nothing that the old address says counts any more, and nothing is waited for there.
            let Some(answered) = future::or(gone, question).await else {
                failures = 0;
                continue;
            };
            let pause = match answered {
                Ok(list) => {
                    if failures >= FAILURES_TOLD {
                        tracing::info!(%address, failures, "the resolver answers again");
                    }
                    failures = 0;
                    if is_newer(list.number, have) {
                        have = list.number;
                        host.listed(&list, false);
                    }
                    EVERY
                }
                Err(why) => {
                    failures = failures.saturating_add(1);
                    if failures == FAILURES_TOLD {
                        tracing::warn!(%address, why, "no good answer of the resolver: the old list stands");
                    }
                    // The first failures are asked anew at once: one answer lost must not cost a change its time.
                    (PAUSE_STEP * failures.min(FAILURES_TOLD)).min(EVERY.saturating_sub(asked_at.elapsed()))
                }
            };
            future::or(moved, violetward_net::sleep(pause)).await;
        }
    }
}

/// The socket for the next question, with the address that it takes datagrams from.
type Held = Option<(Async<UdpSocket>, SocketAddr)>;

/// Makes sure that there is a socket for an address. One of its own for each address, and a fresh one after failures: what
/// an old question brings late, or what somebody else sends to a port seen, never reaches the new one. Where no descriptor
/// is free, the old one serves on: the list must not be lost for want of one.
fn prepare(held: &mut Held, address: SocketAddr, fresh: bool) -> std::io::Result<()> {
    if !fresh && held.as_ref().is_some_and(|(_, to)| *to == address) {
        return Ok(());
    }
    match (open(address), held.take()) {
        (Ok(socket), _) => *held = Some((socket, address)),
        (Err(error), None) => return Err(error),
        (Err(_), Some((socket, _))) => {
            let connected = socket.get_ref().connect(address);
            // What the old address has sent may still be in it.
            (0..DATAGRAMS_MOST).take_while(|_| socket.get_ref().recv(&mut [0]).is_ok()).for_each(drop);
            *held = Some((socket, address));
            connected?;
        }
    }
    Ok(())
}

/// A socket that takes datagrams from that address alone.
fn open(address: SocketAddr) -> std::io::Result<Async<UdpSocket>> {
    let any: SocketAddr = if address.is_ipv4() { ([0; 4], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = Async::<UdpSocket>::bind(any)?;
    socket.get_ref().connect(address)?;
    Ok(socket)
}

/// Asks once, with a fresh random id. Answers that don't fit are passed over while the time lasts: one that does may
/// follow.
async fn ask(host: &Host, held: &mut Held, address: SocketAddr, fresh: bool) -> Result<list::List, String> {
    prepare(held, address, fresh).map_err(|e| format!("no socket: {e}"))?;
    let Some((udp, _)) = held else { return Err("no socket".into()) };
    let id = rand::random();
    udp.send(&list::question(id)).await.map_err(|e| e.to_string())?;
    let last = Cell::new(None);
    let answer = async {
        let mut bytes = vec![0; ANSWER + 1];
        for _ in 0..DATAGRAMS_MOST {
            let size = udp.recv(&mut bytes).await.map_err(|e| e.to_string())?;
            match list::answer(&bytes[..size], id, &host.config.names) {
                Ok(list) => return Ok(list),
                Err(why) => last.set(Some(why)),
            }
        }
        Err("a flood of answers that don't fit".to_owned())
    };
    let answer = violetward_net::timeout(WITHIN, answer).await;
    answer.unwrap_or_else(|| Err(last.take().unwrap_or_else(|| "no answer".into())))
}
