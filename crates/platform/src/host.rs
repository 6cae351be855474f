//! Carries out the core's effects. Everything runs on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use event_listener::Event;
use futures_lite::future;
use violetward::Micros;
use violetward_net::{Alarm, Clock};

use crate::client::Client;
use crate::closing::ClosingConnections;
use crate::config::Config;
use crate::core::{AttemptId, ClientId, Core, Effect};
use crate::engine::Engines;
use crate::front;
use crate::list::List;
use crate::standstill::{self, Standstill};
use crate::starts::Starts;

/// Lines of one kind that the log takes in a minute; the rest is counted.
const LINES: u32 = 30;

/// Bounds the log: what happens with every request of a bad day must not fill it.
#[derive(Debug, Default)]
pub struct Quota {
    minute: Cell<u64>,
    lines: Cell<u32>,
}

impl Quota {
    /// Whether one more line may be written now.
    pub fn allows(&self, now: Micros) -> bool {
        let minute = now / 60_000_000;
        if self.minute.replace(minute) != minute {
            self.lines.set(0);
        }
        self.lines.set(self.lines.get().saturating_add(1));
        self.lines.get() <= LINES
    }
}

/// The host. The front, the engines and the resolver share it.
pub struct Host {
    /// The configuration of the start.
    pub config: Rc<Config>,
    /// The time of the core.
    pub clock: Clock,
    core: RefCell<Core>,
    executor: Rc<LocalExecutor<'static>>,
    /// Connections of clients.
    pub(crate) clients: RefCell<HashMap<ClientId, Rc<Client>>>,
    /// Connections to engines.
    pub engines: Engines,
    /// Bounds the log's lines on clients, on engines and of the module.
    pub quotas: [Quota; 3],
    alarm: Alarm,
    /// Client connections that are being closed.
    pub(crate) closing: ClosingConnections,
    /// New connections are still taken.
    pub(crate) listening: Cell<bool>,
    /// When engines started.
    starts: RefCell<Starts>,
    /// Whether this process stood still.
    pub(crate) standstill: Standstill,
    phase: Cell<Phase>,
    /// Told when the phase becomes [`Phase::Draining`].
    drains: Event,
}

/// What the gateway does with new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// It takes them.
    Serving,
    /// It is to end, and still takes them, since its front may not have heard of it yet.
    Stopping,
    /// It takes no more connections and refuses requests at once.
    Draining,
}

impl Host {
    /// A host for a core made from the same configuration.
    pub fn new(config: Config, clock: Clock, core: Core, executor: Rc<LocalExecutor<'static>>) -> Rc<Self> {
        Rc::new(Host {
            engines: Engines::new(config.limits.descriptors().engines, config.connections.clone()),
            closing: ClosingConnections::new(config.limits.descriptors().closing),
            config: Rc::new(config),
            clock,
            core: RefCell::new(core),
            executor,
            clients: RefCell::default(),
            quotas: Default::default(),
            alarm: Alarm::default(),
            listening: Cell::new(true),
            starts: RefCell::default(),
            standstill: Standstill::new(Instant::now()),
            phase: Cell::new(Phase::Serving),
            drains: Event::new(),
        })
    }

    /// The gateway is to end; requests are still taken.
    pub fn begin_stop(&self) {
        self.phase.set(self.phase.get().max(Phase::Stopping));
    }

    /// Requests are taken no more, and connections end behind their last answers.
    pub fn begin_drain(self: &Rc<Self>) {
        self.phase.set(Phase::Draining);
        self.drains.notify(usize::MAX);
        self.spawn(front::run_drain(self.clone()));
    }

    /// The gateway is to end.
    pub fn is_stopping(&self) -> bool {
        self.phase.get() >= Phase::Stopping
    }

    /// The gateway takes no more requests.
    pub fn is_draining(&self) -> bool {
        self.phase.get() >= Phase::Draining
    }

    /// Waits until the gateway takes no more requests.
    pub(crate) async fn drain_begins(&self) {
        let drains = self.drains.listen();
        if !self.is_draining() {
            drains.await;
        }
    }

    /// Runs a task on the gateway's thread.
    pub fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Passes something to the core and carries out what follows.
    pub fn core<T>(self: &Rc<Self>, act: impl FnOnce(&mut Core, Micros) -> T) -> T {
        let now = self.clock.now();
        let result = act(&mut self.core.borrow_mut(), now);
        loop {
            let effect = self.core.borrow_mut().effect();
            match effect {
                Some(effect) => self.carry_out(effect),
                None => break,
            }
        }
        self.alarm.set(self.look(Core::next_wake));
        result
    }

    /// Looks at the core.
    pub fn look<T>(&self, look: impl FnOnce(&Core) -> T) -> T {
        look(&self.core.borrow())
    }

    /// The list was heard, and is as it was.
    pub fn list_stands(&self) {
        self.starts.borrow_mut().confirm(self.clock.now());
    }

    /// An attempt goes out on its connection now.
    pub(crate) fn written(&self, attempt: AttemptId) {
        self.core.borrow_mut().written(self.clock.now(), attempt);
    }

    /// A new list: connections first, so that nothing goes to an engine that has left.
    pub fn listed(self: &Rc<Self>, mut list: List, known: bool) {
        self.starts.borrow_mut().believe(&mut list, self.clock.now());
        let unsent = self.engines.listed(&list);
        self.core(|core, now| {
            core.engines(now, &list, known);
            for (attempt, ending) in unsent {
                core.ended(now, attempt, ending);
            }
        });
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Launch(launch) => {
                let attempt = launch.attempt;
                if let Some(ending) = self.engines.launch(self, launch) {
                    let now = self.clock.now();
                    // Its effects come behind those that are queued: the caller's loop carries them out.
                    self.core.borrow_mut().ended(now, attempt, ending);
                }
            }
            Effect::Withdraw(engine, attempt) => self.engines.withdraw(self, engine, attempt),
            Effect::Renice(engine, attempt, rank) => self.engines.renice(engine, attempt, rank),
            Effect::Probe(engine) => self.engines.probe(self, engine),
            Effect::Answer(client, seqid, verdict) => front::answer_request(self, client, seqid, &verdict),
            Effect::Say(text) => {
                if self.quotas[2].allows(self.clock.now()) {
                    tracing::info!(target: "violetward::module", "{text}");
                }
            }
        }
    }

    /// Wakes the core when it asks for it. Never ends.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            self.alarm.wait(&self.clock, || self.look(Core::next_wake)).await;
            self.core(|core, now| core.wake(now));
            // Gives the tasks that this has woken their turn.
            future::yield_now().await;
        }
    }

    /// Looks after what ends by itself: idle and silent connections. Never ends.
    pub async fn run_sweeps(self: Rc<Self>) {
        let mut told = Instant::now();
        loop {
            violetward_net::sleep(standstill::BEAT).await;
            let now = Instant::now();
            if let Some(stood) = self.standstill.beat(now) {
                tracing::debug!(?stood, "this process stood still");
            }
            front::close_overdue(&self, now);
            self.engines.sweep(now);
            if now.duration_since(told) >= Duration::from_secs(10) {
                told = now;
                let (counts, held) = self.look(|core| (core.counts, core.held()));
                let (clients, engines) = (self.clients.borrow().len(), self.engines.connections());
                tracing::info!(?counts, ?held, clients, engines, "so far");
            }
        }
    }
}
