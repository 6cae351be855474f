//! Carries out the core's effects: attempts, probes, timers, and waking of pollers. Everything runs on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use event_listener::{Event, EventListener};
use futures_lite::future;
use violetward::{EngineId, Load, Micros};
use violetward_net::{Alarm, Clock, Pool};
use violetward_statement::http::Limits;

use crate::agreed::Agreed;
use crate::core::{AttemptId, Core, Effect, Launch, StatementId};
use crate::custody::Custody;
use crate::engine;
use crate::front::Front;
use crate::outage::Outage;
use crate::peers::Peers;
use crate::terms::Config;
use crate::windows::Windows;

/// Sessions that may wait to be freed.
const MAX_QUEUED_RELEASES: usize = 10_000;

/// What an attempt's task is told.
pub(crate) struct AttemptControl {
    pub fetch_page: async_channel::Sender<()>,
    /// Whether its work is to be ended at the engine too.
    pub stop: async_channel::Sender<bool>,
}

impl AttemptControl {
    /// Stops it; its work at the engine goes on.
    fn detach(&self) {
        self.stop.try_send(false).ok();
    }
}

/// The host. Fronts and engine connections share it.
pub struct Host {
    /// The configuration.
    pub config: Config,
    /// This process's name; another one at every start.
    pub instance: String,
    pub(crate) clock: Clock,
    /// The other gateways, where this one knows of them.
    pub(crate) peers: RefCell<Option<Rc<Peers>>>,
    /// The settings on which they agree, and until when the core's rules hold without a look at them.
    pub(crate) agreed: RefCell<Option<Rc<Agreed>>>,
    pub(crate) rules_valid_until: Cell<Micros>,
    /// Windows of maintenance, where gateways hold them.
    pub(crate) windows: RefCell<Option<Rc<Windows>>>,
    /// Statements that outlive their gateway, where some do; and the front that answers for those passed on.
    pub(crate) custody: RefCell<Option<Rc<Custody>>>,
    pub(crate) front: RefCell<std::rc::Weak<Front>>,
    /// The sites, where they are watched.
    pub(crate) outage: RefCell<Option<Rc<Outage>>>,
    core: RefCell<Core>,
    executor: Rc<LocalExecutor<'static>>,
    attempts: RefCell<HashMap<AttemptId, AttemptControl>>,
    pollers: RefCell<HashMap<StatementId, Rc<Event>>>,
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    release_sender: async_channel::Sender<(SocketAddr, String, bool)>,
    release_receiver: async_channel::Receiver<(SocketAddr, String, bool)>,
    alarm: Alarm,
    draining: Cell<bool>,
    pub(crate) started: Instant,
}

impl Host {
    /// A host for a core made from the same configuration.
    pub fn new(config: Config, life: String, core: Core, executor: Rc<LocalExecutor<'static>>) -> Rc<Self> {
        let (releases, to_release) = async_channel::bounded(MAX_QUEUED_RELEASES);
        Rc::new(Host {
            release_sender: releases,
            release_receiver: to_release,
            core: RefCell::new(core),
            config,
            instance: life,
            clock: Clock::new(),
            peers: RefCell::default(),
            agreed: RefCell::default(),
            rules_valid_until: Cell::new(Micros::MAX),
            windows: RefCell::default(),
            custody: RefCell::default(),
            front: RefCell::default(),
            outage: RefCell::default(),
            executor,
            attempts: RefCell::default(),
            pollers: RefCell::default(),
            pools: RefCell::default(),
            alarm: Alarm::default(),
            draining: Cell::new(false),
            started: Instant::now(),
        })
    }

    /// The time of the core.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Date and time (UTC) as the protocol's statement ids begin with them: `20261201_122130`.
    pub fn compact_timestamp(&self) -> String {
        let [year, month, day, hour, minute, second] = self.calendar();
        format!("{year:04}{month:02}{day:02}_{hour:02}{minute:02}{second:02}")
    }

    /// The public id of the statement that is handed in next; its number leads back to it without a table.
    pub fn next_public_id(&self) -> String {
        let number = self.read_core(Core::next_number);
        format!("{}_{number:05}_{}", self.compact_timestamp(), self.instance)
    }

    /// Date and time (UTC) in ISO 8601.
    pub fn iso_timestamp(&self) -> String {
        let [year, month, day, hour, minute, second] = self.calendar();
        let micros = self.clock.now() % 1_000_000;
        format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{micros:06}Z")
    }

    fn calendar(&self) -> [u64; 6] {
        crate::timestamp::calendar(self.clock.now())
    }

    /// Runs a task on the gateway's thread.
    pub fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Passes something to the core and carries out what follows.
    pub fn with_core<T>(self: &Rc<Self>, act: impl FnOnce(&mut Core, Micros) -> T) -> T {
        let now = self.refresh_rules();
        let result = act(&mut self.core.borrow_mut(), now);
        loop {
            let effect = self.core.borrow_mut().pop_effect();
            match effect {
                Some(effect) => self.apply_effect(effect),
                None => break,
            }
        }
        self.alarm.set(self.read_core(Core::next_wake));
        result
    }

    /// Passes something to the core; what follows from it is carried out later, by [`Host::core`].
    pub(crate) fn with_core_deferred<T>(self: &Rc<Self>, act: impl FnOnce(&mut Core, Micros) -> T) -> T {
        let now = self.refresh_rules();
        act(&mut self.core.borrow_mut(), now)
    }

    /// The last look at the lease: a process that stood still for longer than its lease must not act on the old rules when it
    /// wakes, whichever of its tasks is first.
    /// Gives the time of that look, which is the core's.
    fn refresh_rules(self: &Rc<Self>) -> Micros {
        let now = self.clock.now();
        if now < self.rules_valid_until.get() {
            return now;
        }
        let agreed = self.agreed.borrow().clone();
        agreed.iter().for_each(|agreed| agreed.refresh(self));
        // The core's time never goes back: new rules have passed it on.
        self.clock.now()
    }

    /// Whether an attempt may still be sent, by the rules of now: to be asked just before it is written.
    pub(crate) fn may_send(self: &Rc<Self>, attempt: AttemptId, engine: &str) -> bool {
        self.refresh_rules();
        // What another gateway holds now must not be written by a task that was connecting when it was left.
        let wanted = || self.attempts.borrow().contains_key(&attempt);
        let held = self.custody().is_none_or(|custody| wanted() && custody.may_go(self, attempt.0));
        held && self.read_core(|core| core.may_send(attempt, engine))
    }

    /// Custody of statements, where there is any.
    pub(crate) fn custody(&self) -> Option<Rc<Custody>> {
        self.custody.borrow().clone()
    }

    /// The sites, where they are watched.
    pub(crate) fn outage(&self) -> Option<Rc<Outage>> {
        self.outage.borrow().clone()
    }

    /// The front that answers for statements here.
    pub(crate) fn front(&self) -> Option<Rc<Front>> {
        self.front.borrow().upgrade()
    }

    /// Begins an attempt.
    pub(crate) fn launch(self: &Rc<Self>, launch: Launch) {
        let (pull, pulled) = async_channel::bounded(1);
        let (stop, stopped) = async_channel::bounded(1);
        self.attempts.borrow_mut().insert(launch.attempt, AttemptControl { fetch_page: pull, stop });
        self.spawn(engine::attempt(self.clone(), launch, pulled, stopped));
    }

    /// This gateway's own list has been read.
    pub(crate) fn update_engine_list(
        self: &Rc<Self>,
        list: &std::collections::BTreeMap<String, crate::record::EngineRecord>,
    ) {
        self.with_core(|core, now| core.update_engines(now, list));
        let agreed = self.agreed.borrow().clone();
        agreed.iter().for_each(|agreed| agreed.listed(self, list));
    }

    /// The other gateways, where this one knows of them.
    pub(crate) fn peers(&self) -> Option<Rc<Peers>> {
        self.peers.borrow().clone()
    }

    fn apply_engine_status(self: &Rc<Self>, engine: EngineId, told: Option<(Load, Option<String>)>) {
        let (load, epoch) = told.map_or((None, None), |(load, epoch)| (Some(load), epoch));
        self.with_core(|core, now| {
            if let Some(epoch) = epoch {
                core.engine_epoch(now, engine, &epoch);
            }
            core.engine_status(now, engine, load);
        });
    }

    /// Frees what lost sessions hold, eight at a time. Never ends.
    pub async fn run_releases(self: Rc<Self>) {
        let worker = || async {
            while let Ok((address, inner, transaction)) = self.release_receiver.recv().await {
                engine::release(&self, address, &inner, transaction).await;
            }
        };
        let pairs = || future::zip(future::zip(worker(), worker()), future::zip(worker(), worker()));
        future::zip(pairs(), pairs()).await;
    }

    /// Looks at the core.
    pub fn read_core<T>(&self, look: impl FnOnce(&Core) -> T) -> T {
        look(&self.core.borrow())
    }

    /// No new statements from now on.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// New statements are not taken.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Tells when the pages of a statement may have changed.
    pub fn subscribe(&self, id: StatementId) -> EventListener {
        self.pollers.borrow_mut().entry(id).or_default().listen()
    }

    /// Drops the list of pollers of a statement that has none.
    pub fn unsubscribe(&self, id: StatementId) {
        let mut pollers = self.pollers.borrow_mut();
        if pollers.get(&id).is_some_and(|e| e.total_listeners() == 0) {
            pollers.remove(&id);
        }
    }

    /// Idle connections to an engine.
    pub(crate) fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        let limits = Limits { body: self.config.host.page_bytes, ..Limits::default() };
        let mut pools = self.pools.borrow_mut();
        pools.entry(address).or_insert_with(|| Rc::new(Pool::new(address, limits, 64))).clone()
    }

    pub(crate) fn remove_attempt(&self, id: AttemptId) {
        self.attempts.borrow_mut().remove(&id);
    }

    fn apply_effect(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Launch(launch) => {
                let launch = match self.custody() {
                    Some(custody) => custody.intend(self, launch),
                    None => Some(launch),
                };
                launch.into_iter().for_each(|launch| self.launch(*launch));
            }
            Effect::Resume(follow) => {
                let (pull, pulled) = async_channel::bounded(1);
                let (stop, stopped) = async_channel::bounded(1);
                self.attempts.borrow_mut().insert(follow.attempt, AttemptControl { fetch_page: pull, stop });
                self.spawn(engine::resume(self.clone(), *follow, pulled, stopped));
            }
            Effect::Detach(id) => {
                let parked = self.custody().is_some_and(|custody| custody.withdrawn(id));
                if let (Some(reins), false) = (self.attempts.borrow_mut().remove(&id), parked) {
                    reins.detach();
                }
            }
            Effect::Protect(id) => self.custody().iter().for_each(|c| c.taken(self, id)),
            Effect::ProgressChanged(id) => self.custody().iter().for_each(|c| c.noted(self, id)),
            Effect::RecordEnding(id, ending) => match self.custody() {
                Some(custody) => custody.decide(self, id, &ending),
                None => self.with_core(|core, now| core.ending_recorded(now, id)),
            },
            Effect::ReleaseRecord(id) => self.custody().iter().for_each(|c| c.forget(self, id)),
            Effect::Removed(id) => self.custody().iter().for_each(|c| c.gone(id)),
            Effect::FetchPage(id) => {
                if let Some(reins) = self.attempts.borrow().get(&id) {
                    reins.fetch_page.try_send(()).ok();
                }
            }
            Effect::Cancel(id) => {
                if let Some(custody) = self.custody() {
                    custody.withdrawn(id);
                }
                if let Some(reins) = self.attempts.borrow_mut().remove(&id) {
                    reins.stop.try_send(true).ok();
                }
            }
            Effect::Probe(engine, address) => {
                let host = self.clone();
                self.spawn(async move {
                    let told = engine::status(&host, address).await;
                    host.apply_engine_status(engine, told);
                });
            }
            Effect::ReleaseSession { address, inner, transaction } => {
                // A wave of them goes out a few at a time; what is dropped is left to the engine's own limits.
                if self.release_sender.try_send((address, inner, transaction)).is_err() {
                    tracing::warn!("too many sessions to be freed at once; the rest is left to the engines");
                }
            }
            Effect::NotifyPollers(id) => {
                let event = self.pollers.borrow().get(&id).cloned();
                event.into_iter().for_each(|e| {
                    e.notify(usize::MAX);
                });
            }
            Effect::Log(text) => tracing::info!(target: "violetward::module", "{text}"),
            Effect::Ended { id, public_id, class, attempts, ending, took } => {
                let took_ms = took.as_secs_f64() * 1e3;
                let span = tracing::info_span!(
                    "statement",
                    n = id.0,
                    id = public_id,
                    class,
                    attempts,
                    ending,
                    took_ms
                );
                span.in_scope(|| tracing::info!("ended"));
            }
        }
    }

    /// Wakes the core when it asks for it. Never ends.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            self.alarm.wait(&self.clock, || self.read_core(Core::next_wake)).await;
            self.with_core(|core, now| core.wake(now));
            // Gives the tasks that this has woken their turn.
            future::yield_now().await;
        }
    }

    /// Asks each engine for its load, again and again, where the configuration says so. Never ends.
    pub async fn run_status(self: Rc<Self>) {
        let every = self.config.host.status_every;
        let asked: Rc<RefCell<std::collections::HashSet<EngineId>>> = Rc::default();
        loop {
            violetward_net::sleep(if every.is_zero() { Duration::from_secs(3600) } else { every }).await;
            let engines: Vec<(EngineId, SocketAddr)> =
                self.read_core(|core| core.engines().map(|r| (r.entry.engine, r.address)).collect());
            for (engine, address) in engines {
                if !asked.borrow_mut().insert(engine) {
                    continue;
                }
                let (host, asked) = (self.clone(), asked.clone());
                self.spawn(async move {
                    let told = engine::status(&host, address).await;
                    asked.borrow_mut().remove(&engine);
                    // Only good news count here: whether silence means sickness is for the module's own probes.
                    if told.is_some() {
                        host.apply_engine_status(engine, told);
                    }
                });
            }
        }
    }
}
