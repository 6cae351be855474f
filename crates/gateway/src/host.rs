//! Carries out the core's effects: attempts, probes, timers and the wake-up of pollers. Everything runs on
//! one thread.

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

use crate::agreement::SettingsAgreement;
use crate::core::{AttemptId, Core, Effect, Launch, StatementId};
use crate::custody::Custody;
use crate::engine;
use crate::front::Front;
use crate::outage::SiteMonitor;
use crate::peers::Peers;
use crate::terms::Config;
use crate::unfinished::UnfinishedRequests;
use crate::windows::Windows;

/// Maximum number of sessions waiting to be released.
const MAX_QUEUED_RELEASES: usize = 10_000;

/// Maximum number of idle connections kept to an engine.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Control channels of an attempt's task.
pub(crate) struct AttemptControl {
    /// Lets the attempt fetch its next page.
    pub fetch_page: async_channel::Sender<()>,
    /// Stops the attempt. The value says whether its work on the engine is cancelled too.
    pub stop: async_channel::Sender<bool>,
}

impl AttemptControl {
    /// Stops the attempt here but leaves its work on the engine running.
    fn detach(&self) {
        self.stop.try_send(false).ok();
    }
}

/// The runtime that fronts and engine connections share.
pub struct Host {
    /// The configuration.
    pub config: Config,
    /// Name of this process, different at every start.
    pub instance: String,
    pub(crate) clock: Clock,
    /// Membership of the fleet, if configured.
    pub(crate) peers: RefCell<Option<Rc<Peers>>>,
    /// Agreement on settings, if configured.
    pub(crate) agreed: RefCell<Option<Rc<SettingsAgreement>>>,
    /// Until when the core's rules are known to hold without another check.
    pub(crate) rules_valid_until: Cell<Micros>,
    /// Maintenance windows, if configured.
    pub(crate) windows: RefCell<Option<Rc<Windows>>>,
    /// Custody of statements, if configured.
    pub(crate) custody: RefCell<Option<Rc<Custody>>>,
    /// The front that answers requests forwarded by other gateways.
    pub(crate) front: RefCell<std::rc::Weak<Front>>,
    /// Monitoring of sites, if configured.
    pub(crate) outage: RefCell<Option<Rc<SiteMonitor>>>,
    /// The requests of all fronts that have not come in completely.
    pub(crate) unfinished: Rc<UnfinishedRequests>,
    core: RefCell<Core>,
    executor: Rc<LocalExecutor<'static>>,
    attempts: RefCell<HashMap<AttemptId, AttemptControl>>,
    /// Events that wake the pollers of a statement.
    pollers: RefCell<HashMap<StatementId, Rc<Event>>>,
    /// Connection pools of the engines.
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    /// Sessions to release: address of the engine, its id of the session, and whether it has a transaction.
    release_sender: async_channel::Sender<(SocketAddr, String, bool)>,
    release_receiver: async_channel::Receiver<(SocketAddr, String, bool)>,
    alarm: Alarm,
    draining: Cell<bool>,
    pub(crate) started: Instant,
}

impl Host {
    /// Creates a host for a core made from the same configuration.
    pub fn new(
        config: Config,
        instance: String,
        core: Core,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let (release_sender, release_receiver) = async_channel::bounded(MAX_QUEUED_RELEASES);
        Rc::new(Host {
            release_sender,
            release_receiver,
            core: RefCell::new(core),
            unfinished: UnfinishedRequests::new(config.host.unfinished_max_bytes()),
            config,
            instance,
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

    /// The current time of the core's clock.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Date and time (UTC) in the form that statement ids of the protocol begin with: `20261201_122130`.
    pub fn compact_timestamp(&self) -> String {
        let [year, month, day, hour, minute, second] = self.calendar();
        format!("{year:04}{month:02}{day:02}_{hour:02}{minute:02}{second:02}")
    }

    /// The public id of the next statement. It contains the statement's number, so that no table is needed to
    /// find it.
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

    /// Calls the core and carries out the resulting effects.
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

    /// Calls the core; the resulting effects are carried out by the next [`Host::with_core`].
    pub(crate) fn with_core_deferred<T>(self: &Rc<Self>, act: impl FnOnce(&mut Core, Micros) -> T) -> T {
        let now = self.refresh_rules();
        act(&mut self.core.borrow_mut(), now)
    }

    /// Refreshes the rules if they are no longer known to hold, and returns the time for the core. A process
    /// that was paused for longer than its lease must not act on the old rules, whichever of its tasks runs
    /// first.
    fn refresh_rules(self: &Rc<Self>) -> Micros {
        let now = self.clock.now();
        if now < self.rules_valid_until.get() {
            return now;
        }
        let agreed = self.agreed.borrow().clone();
        agreed.iter().for_each(|agreed| agreed.refresh_rules(self));
        // Setting new rules has advanced the core's time, which never goes back.
        self.clock.now()
    }

    /// Whether an attempt may still be sent under the current rules. To be checked just before it is written.
    pub(crate) fn may_send(self: &Rc<Self>, attempt: AttemptId, engine: &str) -> bool {
        self.refresh_rules();
        // An attempt that was still connecting when its statement was handed over must not be written.
        let still_here = || self.attempts.borrow().contains_key(&attempt);
        let may_act =
            self.custody().is_none_or(|custody| still_here() && custody.may_launch(self, attempt.0));
        may_act && self.read_core(|core| core.may_send(attempt, engine))
    }

    /// Custody of statements, if configured.
    pub(crate) fn custody(&self) -> Option<Rc<Custody>> {
        self.custody.borrow().clone()
    }

    /// Monitoring of sites, if configured.
    pub(crate) fn outage(&self) -> Option<Rc<SiteMonitor>> {
        self.outage.borrow().clone()
    }

    /// The front that answers requests forwarded by other gateways.
    pub(crate) fn front(&self) -> Option<Rc<Front>> {
        self.front.borrow().upgrade()
    }

    /// Starts an attempt.
    pub(crate) fn launch(self: &Rc<Self>, launch: Launch) {
        let (fetch_page, fetch_requests) = async_channel::bounded(1);
        let (stop, stop_requests) = async_channel::bounded(1);
        self.attempts.borrow_mut().insert(launch.attempt, AttemptControl { fetch_page, stop });
        self.spawn(engine::attempt(self.clone(), launch, fetch_requests, stop_requests));
    }

    /// Applies a new version of this gateway's engine list.
    pub(crate) fn update_engine_list(
        self: &Rc<Self>,
        list: &std::collections::BTreeMap<String, crate::record::EngineRecord>,
    ) {
        self.with_core(|core, now| core.update_engines(now, list));
        let agreed = self.agreed.borrow().clone();
        agreed.iter().for_each(|agreed| agreed.set_local_list(self, list));
    }

    /// Membership of the fleet, if configured.
    pub(crate) fn peers(&self) -> Option<Rc<Peers>> {
        self.peers.borrow().clone()
    }

    /// Passes the status of an engine and the epoch of its process to the core.
    fn apply_engine_status(self: &Rc<Self>, engine: EngineId, status: Option<(Load, Option<String>)>) {
        let (load, epoch) = status.map_or((None, None), |(load, epoch)| (Some(load), epoch));
        self.with_core(|core, now| {
            if let Some(epoch) = epoch {
                core.engine_epoch(now, engine, &epoch);
            }
            core.engine_status(now, engine, load);
        });
    }

    /// Releases lost sessions on their engines, eight at a time. Never returns.
    pub async fn run_releases(self: Rc<Self>) {
        let worker = || async {
            while let Ok((address, inner, transaction)) = self.release_receiver.recv().await {
                engine::release(&self, address, &inner, transaction).await;
            }
        };
        let pairs = || future::zip(future::zip(worker(), worker()), future::zip(worker(), worker()));
        future::zip(pairs(), pairs()).await;
    }

    /// Reads from the core.
    pub fn read_core<T>(&self, read: impl FnOnce(&Core) -> T) -> T {
        read(&self.core.borrow())
    }

    /// Stops accepting new statements.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Whether new statements are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Subscribes to changes of a statement's pages.
    pub fn subscribe(&self, id: StatementId) -> EventListener {
        self.pollers.borrow_mut().entry(id).or_default().listen()
    }

    /// Removes the event of a statement that has no subscribers left.
    pub fn unsubscribe(&self, id: StatementId) {
        let mut pollers = self.pollers.borrow_mut();
        if pollers.get(&id).is_some_and(|e| e.total_listeners() == 0) {
            pollers.remove(&id);
        }
    }

    /// The connection pool of an engine.
    pub(crate) fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        let limits = Limits { body: self.config.host.max_page_bytes, ..Limits::default() };
        let mut pools = self.pools.borrow_mut();
        pools
            .entry(address)
            .or_insert_with(|| Rc::new(Pool::new(address, limits, MAX_IDLE_CONNECTIONS)))
            .clone()
    }

    /// Drops the control channels of an attempt that is over.
    pub(crate) fn remove_attempt(&self, id: AttemptId) {
        self.attempts.borrow_mut().remove(&id);
    }

    /// Carries out an effect of the core.
    fn apply_effect(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Launch(launch) => {
                let launch = match self.custody() {
                    Some(custody) => custody.request_launch(self, launch),
                    None => Some(launch),
                };
                launch.into_iter().for_each(|launch| self.launch(*launch));
            }
            Effect::Resume(resumed) => {
                let (fetch_page, fetch_requests) = async_channel::bounded(1);
                let (stop, stop_requests) = async_channel::bounded(1);
                self.attempts.borrow_mut().insert(resumed.attempt, AttemptControl { fetch_page, stop });
                self.spawn(engine::resume(self.clone(), *resumed, fetch_requests, stop_requests));
            }
            Effect::Detach(id) => {
                let parked = self.custody().is_some_and(|custody| custody.cancel_pending_launch(id));
                if let (Some(control), false) = (self.attempts.borrow_mut().remove(&id), parked) {
                    control.detach();
                }
            }
            Effect::Protect(id) => self.custody().iter().for_each(|c| c.register_statement(self, id)),
            Effect::ProgressChanged(id) => self.custody().iter().for_each(|c| c.record_progress(self, id)),
            Effect::RecordEnding(id, ending) => match self.custody() {
                Some(custody) => custody.record_ending(self, id, &ending),
                None => self.with_core(|core, now| core.ending_recorded(now, id)),
            },
            Effect::ReleaseRecord(id) => self.custody().iter().for_each(|c| c.finish_statement(self, id)),
            Effect::Removed(id) => self.custody().iter().for_each(|c| c.remove_statement(id)),
            Effect::FetchPage(id) => {
                if let Some(control) = self.attempts.borrow().get(&id) {
                    control.fetch_page.try_send(()).ok();
                }
            }
            Effect::Cancel(id) => {
                if let Some(custody) = self.custody() {
                    custody.cancel_pending_launch(id);
                }
                if let Some(control) = self.attempts.borrow_mut().remove(&id) {
                    control.stop.try_send(true).ok();
                }
            }
            Effect::Probe(engine, address) => {
                let host = self.clone();
                self.spawn(async move {
                    let status = engine::status(&host, address).await;
                    host.apply_engine_status(engine, status);
                });
            }
            Effect::ReleaseSession { address, inner, transaction } => {
                // A burst is sent a few at a time; what does not fit into the queue expires by the engine's
                // own limits.
                if self.release_sender.try_send((address, inner, transaction)).is_err() {
                    tracing::warn!(
                        "queue of sessions to release is full; this one expires by its engine's limits"
                    );
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

    /// Wakes the core at the times it requests. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            self.alarm.wait(&self.clock, || self.read_core(Core::next_wake)).await;
            self.with_core(|core, now| core.wake(now));
            // Lets the tasks run that this has woken.
            future::yield_now().await;
        }
    }

    /// Polls the load of all engines at the configured interval. Never returns.
    pub async fn run_status(self: Rc<Self>) {
        let interval = self.config.host.status_poll_interval;
        let pending: Rc<RefCell<std::collections::HashSet<EngineId>>> = Rc::default();
        loop {
            violetward_net::sleep(if interval.is_zero() { Duration::from_secs(3600) } else { interval })
                .await;
            let engines: Vec<(EngineId, SocketAddr)> =
                self.read_core(|core| core.engines().map(|r| (r.entry.engine, r.address)).collect());
            for (engine, address) in engines {
                if !pending.borrow_mut().insert(engine) {
                    continue;
                }
                let (host, pending) = (self.clone(), pending.clone());
                self.spawn(async move {
                    let status = engine::status(&host, address).await;
                    pending.borrow_mut().remove(&engine);
                    // Only answers count here: whether silence means that an engine is unhealthy is decided
                    // by the decision module's probes.
                    if status.is_some() {
                        host.apply_engine_status(engine, status);
                    }
                });
            }
        }
    }
}
