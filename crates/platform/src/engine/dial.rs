//! Dials connections to engines. When a dial is late, others are started in parallel.

use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use event_listener::Event;
use futures_lite::future;
use violetward_net::SocketErrorKind;
use violetward_overload::Holding;

use super::{run, Connection, Engine, DIALS_MAX};
use crate::host::Host;
use crate::link::Link;

/// The pause before a retry if a dial failed for a reason that says nothing about the engine.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// A dial is late after this multiple of the usual time. Then a parallel dial is started, and each further
/// one after this multiple of the previous wait.
const LATE_FACTOR: u32 = 4;
/// Maximum number of dials in parallel to a late one.
const PARALLEL_DIALS_MAX: u32 = 2;
/// No dial is late before the time-out divided by this has passed: the time lost until then is not worth a
/// handshake.
const LATE_MIN_DIVISOR: u32 = 100;
/// The weight of the last dial in the usual time is one divided by this.
const DIAL_TIME_SAMPLES: u32 = 8;

impl Engine {
    /// Whether more entries are queued than dials are in progress that are not late.
    pub(super) fn needs_dial(&self, late_after: Duration) -> bool {
        let in_time = |c: &&Rc<Connection>| c.is_dialling() && c.up_since.get().elapsed() < late_after;
        let waiting = self.queue.borrow().iter().filter(|queued| !queued.postponed).count();
        self.connections.borrow().iter().filter(in_time).count() < waiting
    }

    /// The time after which a dial is late.
    pub(super) fn late_after(&self, timeout: Duration) -> Duration {
        (self.usual_dial_time.get().unwrap_or_default() * LATE_FACTOR).max(timeout / LATE_MIN_DIVISOR)
    }

    pub(super) fn update_usual_dial_time(&self, took: Duration) {
        let usual = self.usual_dial_time.get().unwrap_or(took);
        let sum = usual * (DIAL_TIME_SAMPLES - 1) + took.min(usual * 2);
        self.usual_dial_time.set(Some(sum / DIAL_TIME_SAMPLES));
    }
}

/// The time-out of a dial.
pub(super) fn connect_timeout(host: &Host) -> Duration {
    Duration::from_micros(host.config.connections.connect_timeout)
}

/// Starts the task of a new connection. If the dial is late and this is the first one, parallel ones are
/// started.
pub(super) fn dial(host: &Rc<Host>, engine: &Rc<Engine>, first: bool) {
    let now = Instant::now();
    let connection = Rc::new(Connection {
        duplex: RefCell::new(None),
        link: RefCell::new(Link::new()),
        input_charge: host.memory.charge(Holding::Engines),
        last_heard: Cell::new(now),
        idle_since: Cell::new(now),
        retired: Cell::new(false),
        unheard_cancelled: Cell::new(None),
        overtaken: Cell::new(false),
        dial_cancelled: Event::new(),
        up_since: Cell::new(now),
        requests_sent: Cell::new(0),
    });
    engine.connections.borrow_mut().push(connection.clone());
    host.spawn(run(host.clone(), engine.clone(), connection, first));
}

/// Starts parallel dials while one is late and entries are queued. Never returns.
async fn dial_in_parallel(host: &Rc<Host>, engine: &Rc<Engine>, connection: &Rc<Connection>) {
    let late_after = engine.late_after(connect_timeout(host));
    for turn in 0..PARALLEL_DIALS_MAX {
        violetward_net::sleep(late_after * LATE_FACTOR.pow(turn)).await;
        if engine.needs_dial(late_after) && host.engines.may_dial(engine, None) {
            connection.overtaken.set(true);
            dial(host, engine, false);
        }
    }
    future::pending().await
}

/// Connects to an engine. Ends early if the dial is no longer needed.
pub(super) async fn connect(
    host: &Rc<Host>,
    engine: &Rc<Engine>,
    connection: &Rc<Connection>,
    first: bool,
) -> Result<Async<TcpStream>, DialError> {
    let no_descriptor = Cell::new(false);
    let connecting = async {
        let (mut dials, mut closed_idle) = (1, false);
        loop {
            // A connection that was closed to make room still holds its file descriptor for a moment.
            while host.engines.connection_count() > host.engines.max_connections {
                no_descriptor.set(true);
                violetward_net::sleep(RETRY_PAUSE).await;
            }
            let error = match Async::<TcpStream>::connect(engine.address.get()).await {
                Ok(socket) => return Ok(socket),
                Err(error) => error,
            };
            let fault = SocketErrorKind::of(&error);
            no_descriptor.set(fault == SocketErrorKind::ResourceShortage);
            match fault {
                // Only once for each dial: others may take the descriptors that are freed.
                SocketErrorKind::ResourceShortage => {
                    closed_idle = closed_idle || host.engines.close_longest_idle()
                }
                // Says nothing about the engine's process, and may pass in a moment.
                SocketErrorKind::Retry | SocketErrorKind::Unreachable => {}
                // Reset while connecting: the peer is there, and nothing has been sent.
                SocketErrorKind::Broken if dials < DIALS_MAX => dials += 1,
                SocketErrorKind::Broken | SocketErrorKind::Refused => {
                    tracing::debug!(engine = %format_args!("{:x}", engine.id.0), %error, dials,
                        "no connection");
                    if fault == SocketErrorKind::Refused {
                        engine.last_refused.set(Some(Instant::now()));
                    }
                    return Err(DialError::Failed);
                }
            }
            if fault != SocketErrorKind::Broken {
                violetward_net::sleep(RETRY_PAUSE).await;
            }
        }
    };
    let parallel = async {
        if first {
            dial_in_parallel(host, engine, connection).await;
        }
        future::pending().await
    };
    let cancelled = async {
        connection.dial_cancelled.listen().await;
        Err(DialError::TimedOut)
    };
    let connected = future::or(connecting, future::or(parallel, cancelled));
    let error = || if no_descriptor.get() { DialError::NoDescriptor } else { DialError::TimedOut };
    violetward_net::timeout(connect_timeout(host), connected).await.unwrap_or_else(|| Err(error()))
}

/// Why a dial failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DialError {
    /// The connection was refused, or reset too often.
    Failed,
    /// The connection was not up in time, or is no longer needed.
    TimedOut,
    /// No file descriptor was free for it.
    NoDescriptor,
}
