//! Follows the list of engines by DNS over UDP.

use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

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
/// The pause after failures grows up to this.
const LONGEST: Duration = Duration::from_millis(500);
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
            let moved = self.moved.listen();
            let address = self.address.get();
            // A socket of its own for each address, and a fresh one after failures: what an old question brings late,
            // or what somebody else sends to a port seen, never reaches the new one.
            let asked = match socket.take().filter(|(_, to)| *to == address) {
                Some((socket, _)) => Ok(socket),
                None => open(address),
            };
            let answered = match asked {
                Ok(udp) => {
                    let answered = ask(&host, &udp).await;
                    if answered.is_ok() {
                        socket = Some((udp, address));
                    }
                    answered
                }
                Err(e) => Err(format!("no socket: {e}")),
            };
            let pause = match answered {
                Ok(list) => {
                    if failures >= 8 {
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
                    failures += 1;
                    if failures == 8 {
                        tracing::warn!(%address, why, "no good answer of the resolver: the old list stands");
                    }
                    // The first failures are asked anew at once: one answer lost must not cost a change its time.
                    EVERY / 8 * failures.min(16)
                }
            };
            future::or(moved, violetward_net::sleep(pause.min(LONGEST))).await;
        }
    }
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
async fn ask(host: &Host, udp: &Async<UdpSocket>) -> Result<list::List, String> {
    let id = rand::random();
    udp.send(&list::question(id)).await.map_err(|e| e.to_string())?;
    let last = Cell::new(None);
    let answer = async {
        let mut bytes = vec![0; ANSWER + 1];
        loop {
            let size = match udp.recv(&mut bytes).await {
                Ok(size) => size,
                Err(e) => break Err(e.to_string()),
            };
            match list::answer(&bytes[..size], id, &host.config.names) {
                Ok(list) => break Ok(list),
                Err(why) => last.set(Some(why)),
            }
        }
    };
    let answer = violetward_net::timeout(WITHIN, answer).await;
    answer.unwrap_or_else(|| Err(last.take().unwrap_or_else(|| "no answer".into())))
}
