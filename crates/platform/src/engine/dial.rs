//! Dials: when one is late, when another goes beside it, and what one that fails says of its engine.

use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use event_listener::Event;
use futures_lite::future;
use violetward_net::SocketErrorKind;

use super::{run, Engine, Line, DIALS};
use crate::host::Host;
use crate::link::Link;

/// How long a dial waits that failed by something that says nothing of its engine.
const DIAL_PAUSE: Duration = Duration::from_millis(5);

/// A dial is late after this many times what dials to its engine usually take; then one more goes beside it, and after each
/// further such multiple.
const LATE_TIMES: u32 = 4;
/// Dials that go beside a late one at most.
const BESIDE_MOST: u32 = 2;
/// No dial is late before this part of the time-out: what is lost until then is not worth a handshake.
const LATE_LEAST_PART: u32 = 100;
/// One dial's part in what is usual is one in so many.
const DIAL_SAMPLE: u32 = 8;

impl Engine {
    /// Fewer dials are out that are not late yet than there is waiting.
    pub(super) fn needs_dial(&self, late: Duration) -> bool {
        let punctual = |l: &&Rc<Line>| l.is_coming() && l.up.get().elapsed() < late;
        self.lines.borrow().iter().filter(punctual).count() < self.waiting.borrow().len()
    }

    /// After how long a dial is late.
    pub(super) fn late(&self, within: Duration) -> Duration {
        (self.dial.get().unwrap_or_default() * LATE_TIMES).max(within / LATE_LEAST_PART)
    }

    pub(super) fn note_dial(&self, took: Duration) {
        let usual = self.dial.get().unwrap_or(took);
        self.dial.set(Some((usual * (DIAL_SAMPLE - 1) + took.min(usual * 2)) / DIAL_SAMPLE));
    }
}

/// How long a connection to an engine may take to come up.
pub(super) fn within(host: &Host) -> Duration {
    Duration::from_micros(host.config.connections.connect_timeout)
}

/// Begins a connection and the task that reads from it. Others may go beside it when it is late.
pub(super) fn dial(host: &Rc<Host>, engine: &Rc<Engine>, first: bool) {
    let now = Instant::now();
    let line = Rc::new(Line {
        duplex: RefCell::new(None),
        link: RefCell::new(Link::new()),
        heard: Cell::new(now),
        idle: Cell::new(now),
        spent: Cell::new(false),
        passed: Cell::new(false),
        unneeded: Event::new(),
        up: Cell::new(now),
        carried: Cell::new(0),
    });
    engine.lines.borrow_mut().push(line.clone());
    host.spawn(run(host.clone(), engine.clone(), line, first));
}

/// Dials beside one that is late as long as something waits for it. Never ends.
async fn dial_beside(host: &Rc<Host>, engine: &Rc<Engine>, line: &Rc<Line>) {
    let late = engine.late(within(host));
    for turn in 0..BESIDE_MOST {
        violetward_net::sleep(late * LATE_TIMES.pow(turn)).await;
        if engine.needs_dial(late) && host.engines.may_dial(engine, None) {
            line.passed.set(true);
            dial(host, engine, false);
        }
    }
    future::pending().await
}

/// A socket to an engine, if it is up in time and before it is not needed any more.
pub(super) async fn reach(
    host: &Rc<Host>,
    engine: &Rc<Engine>,
    line: &Rc<Line>,
    first: bool,
) -> Result<Async<TcpStream>, Missed> {
    let short = Cell::new(false);
    let connecting = async {
        let (mut dials, mut made_room) = (1, false);
        loop {
            // What was closed to make room for this one holds its descriptor for a moment yet.
            while host.engines.connections() > host.engines.most {
                short.set(true);
                violetward_net::sleep(DIAL_PAUSE).await;
            }
            let error = match Async::<TcpStream>::connect(engine.address.get()).await {
                Ok(socket) => return Ok(socket),
                Err(error) => error,
            };
            let fault = SocketErrorKind::of(&error);
            short.set(fault == SocketErrorKind::ResourceShortage);
            match fault {
                // Once for each dial: what gets free may be taken by somebody else every time.
                SocketErrorKind::ResourceShortage => made_room = made_room || host.engines.make_room(),
                // It says nothing of the engine's process: there may be a way in a moment.
                SocketErrorKind::Retry | SocketErrorKind::Unreachable => {}
                // Broken while it came up: somebody is there, and nothing has been asked yet.
                SocketErrorKind::Broken if dials < DIALS => dials += 1,
                SocketErrorKind::Broken | SocketErrorKind::Refused => {
                    tracing::debug!(engine = %format_args!("{:x}", engine.id.0), %error, dials, "no connection");
                    if fault == SocketErrorKind::Refused {
                        engine.refused.set(Some(Instant::now()));
                    }
                    return Err(Missed::Failed);
                }
            }
            if fault != SocketErrorKind::Broken {
                violetward_net::sleep(DIAL_PAUSE).await;
            }
        }
    };
    let beside = async {
        if first {
            dial_beside(host, engine, line).await;
        }
        future::pending().await
    };
    let unneeded = async {
        line.unneeded.listen().await;
        Err(Missed::Late)
    };
    let reached = future::or(connecting, future::or(beside, unneeded));
    let missed = || if short.get() { Missed::NoDescriptor } else { Missed::Late };
    violetward_net::timeout(within(host), reached).await.unwrap_or_else(|| Err(missed()))
}

/// Why a dial gave no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Missed {
    /// It failed at once.
    Failed,
    /// It was not up in time.
    Late,
    /// This machine had no descriptor for it, all the time.
    NoDescriptor,
}
