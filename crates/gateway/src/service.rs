//! Starts and stops a whole gateway. All its tasks run on one thread.

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
use violetward_transport::session::{Identity, Timeouts};
use violetward_transport::sockets::Endpoint;

use crate::agreement::SettingsAgreement;
use crate::config::Config;
use crate::core::{Core, Decide};
use crate::custody::Custody;
use crate::custody_terms::CustodyTerms;
use crate::front::Front;
use crate::host::Host;
use crate::membership::EngineRegistry;
use crate::notebook::Notebook;
use crate::outage::SiteMonitor;
use crate::peers::Peers;
use crate::watch;
use crate::windows::Windows;
use crate::zone_responder::ZoneResponder;
use crate::zone_server::ZoneServer;

/// Interval at which conditions are checked while the gateway starts or stops.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time for sending the last answers before the process ends.
const FINAL_SEND_DELAY: Duration = Duration::from_millis(50);

/// Runs a gateway until SIGTERM or SIGINT. It then refuses new statements and ends once all accepted ones
/// have been answered. The address that it listens on is written to `address_file`.
///
/// # Errors
///
/// If it cannot listen.
pub fn serve(config: Config, address_file: Option<&Path>) -> std::io::Result<()> {
    let module = Gateway::new(config.settings.clone(), rand::random());
    serve_with(config, address_file, Box::new(module))
}

/// Like [`serve`], with another decision module, for experiments.
///
/// # Errors
///
/// If it cannot listen.
pub fn serve_with(
    config: Config,
    address_file: Option<&Path>,
    decider: Box<dyn Decide>,
) -> std::io::Result<()> {
    // Installed before the gateway listens, so that an early signal does not kill the process.
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let executor = Rc::new(LocalExecutor::new());
    let drain_within = config.host.drain_timeout;
    let (host, address) = start(config, decider, executor.clone())?;
    if let Some(file) = address_file {
        let temporary = file.with_extension("new");
        std::fs::write(&temporary, address.to_string())?;
        std::fs::rename(&temporary, file)?;
    }
    tracing::info!(%address, "accepting statements");
    async_io::block_on(executor.run(async move {
        next_signal(&mut signals).await;
        let second_signal = async {
            next_signal(&mut signals).await;
        };
        future::or(stop(&host, drain_within), second_signal).await;
        tracing::info!(undelivered = host.read_core(|core| core.undelivered()), "stopped");
    }));
    Ok(())
}

/// Starts a gateway's tasks on an executor and returns the address that it listens on. The tasks run as long
/// as the executor does.
///
/// # Errors
///
/// If it cannot listen.
pub fn start(
    config: Config,
    decider: Box<dyn Decide>,
    executor: Rc<LocalExecutor<'static>>,
) -> std::io::Result<(Rc<Host>, SocketAddr)> {
    let instance = format!("g{}x{:08x}", config.settings.own_id.0, rand::random::<u32>());
    let core = Core::with(&config, &instance, decider);
    let listener = Async::<std::net::TcpListener>::bind(config.listen)?;
    let address = listener.get_ref().local_addr()?;
    let host = Host::new(config, instance, core, executor.clone());
    let front = Front::new(host.clone(), rand::random());
    executor.spawn(host.clone().run_timers()).detach();
    executor.spawn(host.clone().run_status()).detach();
    executor.spawn(host.clone().run_releases()).detach();
    let registry = Rc::new(RefCell::new(EngineRegistry::default()));
    executor.spawn(watch::watch_engine_list(host.clone(), registry.clone())).detach();
    if let Some(terms) = host.config.peers.clone() {
        *host.peers.borrow_mut() = Some(Peers::start(&host, &terms)?);
    }
    if let Some(terms) = host.config.windows.clone() {
        Windows::start(&host, &terms)?;
    }
    if let Some(terms) = host.config.agreement.clone() {
        SettingsAgreement::start(&host, &terms)?;
    }
    if let Some(terms) = host.config.custody.clone() {
        start_custody(&host, &terms, executor.clone())?;
    }
    if let Some(terms) = host.config.sites.clone() {
        SiteMonitor::start(&host, terms)?;
    }
    if let Some((listen, keys)) = host.config.zone_server.clone() {
        ZoneServer::start(host.clone(), registry, ZoneResponder::new(keys), listen)?;
    }
    if let Some(path) = host.config.sessions.key_file.clone() {
        let (key_host, interval) = (host.clone(), host.config.host.list_poll_interval);
        let set_keys = move |text: &str| {
            crate::config::read_session_keys(text)
                .map(|keys| key_host.with_core(|core, _| core.set_keys(keys)))
        };
        executor.spawn(watch::watch_key_file(path, interval, set_keys)).detach();
    }
    if let Some(kernel) = host.config.kernel.clone() {
        Notebook::start(host.clone(), address.ip(), kernel)?;
    }
    // Keeps listening while the gateway stops, because polls may come on new connections.
    let started = host.clone();
    let listen = async move {
        wait_for_lease(&started).await;
        front.run(listener).await;
    };
    executor.spawn(listen).detach();
    Ok((host, address))
}

/// Starts custody of statements. It needs the membership.
fn start_custody(
    host: &Rc<Host>,
    terms: &CustodyTerms,
    executor: Rc<LocalExecutor<'static>>,
) -> std::io::Result<()> {
    let missing = || std::io::Error::other("custody needs membership");
    let (peers, peer_terms) = host.peers().zip(host.config.peers.as_ref()).ok_or_else(missing)?;
    let keys = peer_terms.keys.clone();
    let (life, _) = peers.local_member();
    let identity = Identity { name: life.name, incarnation: life.number };
    let endpoint = Endpoint::new(executor, host.clock, identity, keys.clone(), Timeouts::default());
    let listener = peers.take_stream_listener().ok_or_else(missing)?;
    Custody::start(host, terms, endpoint, keys, listener).map(|_| ())
}

/// Waits for the first lease, if settings are agreed, but no longer than the configuration allows; after
/// that, clients are served under the restrictions that hold without a lease. Connections wait meanwhile.
async fn wait_for_lease(host: &Rc<Host>) {
    let Some(terms) = &host.config.agreement else { return };
    let until = Instant::now() + terms.startup_wait;
    let has_lease = || host.agreed.borrow().as_ref().is_none_or(|a| a.has_lease());
    while !has_lease() && Instant::now() < until {
        violetward_net::sleep(CHECK_INTERVAL).await;
    }
}

/// Refuses new statements, and returns once every client has received its answer or stopped polling, or after
/// the time `within`.
pub async fn stop(host: &Rc<Host>, within: Duration) {
    host.drain();
    let (peers, custody) = (host.peers(), host.custody());
    // Leaving makes the other gateways take over this one's share at once. With custody it must wait:
    // statements can be handed over only while this gateway counts as alive.
    let leave = || peers.iter().for_each(|peers| peers.leave(host));
    match &custody {
        Some(custody) => custody.start_hand_over(host),
        None => leave(),
    }
    let open = host.read_core(|core| core.open());
    tracing::info!(open, "stopping: refusing new statements; accepted ones are answered here or handed over");
    let until = Instant::now() + within;
    let all_handed_over = || custody.as_ref().is_none_or(|custody| custody.hand_over_complete());
    while (host.read_core(|core| core.undelivered()) > 0 || !all_handed_over()) && Instant::now() < until {
        violetward_net::sleep(CHECK_INTERVAL).await;
    }
    custody.iter().for_each(|_| leave());
    let agreed = host.agreed.borrow().clone();
    agreed.iter().for_each(|agreed| agreed.release_lease(host));
    // Gives the last answers time to be sent.
    violetward_net::sleep(FINAL_SEND_DELAY).await;
}
