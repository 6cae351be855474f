//! A whole gateway: its tasks on one thread, from the first connection to the last answer.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::future;
use violetward::Gateway;
use violetward_net::next_signal;
use violetward_transport::session::{Me, Patience};
use violetward_transport::sockets::Station;

use crate::agreed::Agreed;
use crate::config::Config;
use crate::core::{Core, Decide};
use crate::custody::Custody;
use crate::custody_terms::CustodyTerms;
use crate::front::Front;
use crate::host::Host;
use crate::membership::Membership;
use crate::notebook::Notebook;
use crate::outage::Outage;
use crate::peers::Peers;
use crate::updates::Updates;
use crate::watch;
use crate::windows::Windows;
use crate::zonefront::ZoneFront;

/// Runs a gateway until SIGTERM or SIGINT; then takes nothing new and ends once what was taken has its answer. The
/// address that it listens on is written to `address_file`.
///
/// # Errors
/// If it cannot listen.
pub fn serve(config: Config, address_file: Option<&Path>) -> std::io::Result<()> {
    let module = Gateway::new(config.settings.clone(), rand::random());
    serve_with(config, address_file, Box::new(module))
}

/// The same with another decider than the module, for experiments.
///
/// # Errors
/// If it cannot listen.
pub fn serve_with(
    config: Config,
    address_file: Option<&Path>,
    decider: Box<dyn Decide>,
) -> std::io::Result<()> {
    // Before anything can be reached from outside: a signal that comes early must not end the process.
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let executor = Rc::new(LocalExecutor::new());
    let drain_within = config.host.drain_within;
    let (host, address) = start(config, decider, executor.clone())?;
    if let Some(file) = address_file {
        let fresh = file.with_extension("new");
        std::fs::write(&fresh, address.to_string())?;
        std::fs::rename(&fresh, file)?;
    }
    tracing::info!(%address, "taking statements");
    async_io::block_on(executor.run(async move {
        next_signal(&mut signals).await;
        let second = async {
            next_signal(&mut signals).await;
        };
        future::or(stop(&host, drain_within), second).await;
        tracing::info!(undelivered = host.look(|core| core.undelivered()), "stopped");
    }));
    Ok(())
}

/// Starts a gateway's tasks on an executor; they run as long as that does. Gives the address that it listens on.
///
/// # Errors
/// If it cannot listen.
pub fn start(
    config: Config,
    decider: Box<dyn Decide>,
    executor: Rc<LocalExecutor<'static>>,
) -> std::io::Result<(Rc<Host>, SocketAddr)> {
    let life = format!("g{}x{:08x}", config.settings.me.0, rand::random::<u32>());
    let core = Core::with(&config, &life, decider);
    let listener = Async::<std::net::TcpListener>::bind(config.listen)?;
    let address = listener.get_ref().local_addr()?;
    let host = Host::new(config, life, core, executor.clone());
    let front = Front::new(host.clone(), rand::random());
    executor.spawn(host.clone().run_timers()).detach();
    executor.spawn(host.clone().run_status()).detach();
    executor.spawn(host.clone().run_releases()).detach();
    let membership = Rc::new(RefCell::new(Membership::default()));
    executor.spawn(watch::run(host.clone(), membership.clone())).detach();
    if let Some(terms) = host.config.peers.clone() {
        *host.peers.borrow_mut() = Some(Peers::start(&host, &terms)?);
    }
    if let Some(terms) = host.config.windows.clone() {
        Windows::start(&host, &terms)?;
    }
    if let Some(terms) = host.config.agreement.clone() {
        Agreed::start(&host, &terms)?;
    }
    if let Some(terms) = host.config.custody.clone() {
        start_custody(&host, &terms, executor.clone())?;
    }
    if let Some(terms) = host.config.sites.clone() {
        Outage::start(&host, terms)?;
    }
    if let Some((listen, keys)) = host.config.zone_front.clone() {
        ZoneFront::start(host.clone(), membership, Updates::new(keys), listen)?;
    }
    if let Some(path) = host.config.sessions.key_file.clone() {
        let (of, every) = (host.clone(), host.config.host.list_every);
        let take = move |text: &str| {
            crate::config::read_keys(text).map(|keys| of.core(|core, _| core.set_keys(keys)))
        };
        executor.spawn(watch::keys(path, every, take)).detach();
    }
    if let Some(kernel) = host.config.kernel.clone() {
        Notebook::start(host.clone(), address.ip(), kernel)?;
    }
    // Stays open while the gateway stops: polls may come on new connections.
    let started = host.clone();
    let run = async move {
        wait_for_lease(&started).await;
        front.run(listener).await;
    };
    executor.spawn(run).detach();
    Ok((host, address))
}

fn start_custody(
    host: &Rc<Host>,
    terms: &CustodyTerms,
    executor: Rc<LocalExecutor<'static>>,
) -> std::io::Result<()> {
    let missing = || std::io::Error::other("custody needs membership");
    let (peers, ring) = host.peers().zip(host.config.peers.as_ref()).ok_or_else(missing)?;
    let keys = ring.keys.clone();
    let (life, _) = peers.me();
    let me = Me { name: life.name, life: life.number };
    let station = Station::new(executor, host.clock, me, keys.clone(), Patience::default());
    let listener = peers.streams().ok_or_else(missing)?;
    Custody::start(host, terms, station, keys, listener).map(|_| ())
}

/// Waits for the first lease, where there is to be one, for as long as the configuration says; then clients are served
/// narrowly. Connections wait meanwhile.
async fn wait_for_lease(host: &Rc<Host>) {
    let Some(terms) = &host.config.agreement else { return };
    let until = Instant::now() + terms.wait_at_start;
    let has_lease = || host.agreed.borrow().as_ref().is_none_or(|a| a.has_lease());
    while !has_lease() && Instant::now() < until {
        violetward_net::sleep(Duration::from_millis(10)).await;
    }
}

/// Takes nothing new, and returns once every client has its answer, or has stopped asking, or the time is up.
pub async fn stop(host: &Rc<Host>, within: Duration) {
    host.drain();
    let (peers, custody) = (host.peers(), host.custody());
    // Others take its share at once; but what it holds can only go to them while it counts as living.
    let leave = || peers.iter().for_each(|peers| peers.leave(host));
    match &custody {
        Some(custody) => custody.hand_over(host),
        None => leave(),
    }
    let open = host.look(|core| core.open());
    tracing::info!(open, "stopping: no new statements; those taken get their answer here or elsewhere");
    let until = Instant::now() + within;
    let handed_over = || custody.as_ref().is_none_or(|custody| custody.handed_over());
    while (host.look(|core| core.undelivered()) > 0 || !handed_over()) && Instant::now() < until {
        violetward_net::sleep(Duration::from_millis(10)).await;
    }
    custody.iter().for_each(|_| leave());
    let agreed = host.agreed.borrow().clone();
    agreed.iter().for_each(|agreed| agreed.leave(host));
    // The last answers are on their way out of this process.
    violetward_net::sleep(Duration::from_millis(50)).await;
}
