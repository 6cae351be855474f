//! Starts the tasks of a gateway, all on one thread, and runs them until the gateway has shut down.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_signal::{Signal, Signals};
use futures_lite::future;
use violetward::{Gateway, Micros};
use violetward_net::{next_signal, Clock};

use crate::config::{self, Config};
use crate::core::{Core, CoreConfig};
use crate::front;
use crate::host::Host;
use crate::resolver::Resolver;
use crate::shutdown;

/// The part of a client's wait that is reserved for the answer to travel. See docs/platform.md for the
/// measurements.
const ANSWER_MARGIN_US: Micros = 15_000;
/// The longest delay of a request with an order key that is allowed for. The protocol has clients send
/// requests of one key at least 60 ms apart, and 250 ms after one on a new connection. When a gateway dies,
/// its clients resend to others, mostly on new connections, up to eight requests of one key in a row. Clients
/// accept an answer for half a second after their wait, so requests that were delayed by up to 2.5 s still
/// get theirs.
const CLIENT_DELAY_US: Micros = 2_000_000;
/// How often reading an invalid configuration is retried during a reload.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How many times a reload reads the configuration before it fails.
const RELOAD_ATTEMPTS: u32 = 100;

/// Runs a gateway until SIGTERM or SIGINT, and then until every accepted request is answered.
///
/// # Errors
/// If the gateway cannot listen or handle signals.
pub fn serve(config: Config, file: &Path) -> std::io::Result<()> {
    // Set up before the gateway can be reached: an early signal must not kill the process.
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let executor = Rc::new(LocalExecutor::new());
    let resolver = Resolver::new(config.resolver);
    let name = config.name.clone();
    let (host, address) = start(config, &executor, &resolver)?;
    tracing::info!(name, listen = %address, "taking requests");
    let file = file.to_owned();
    executor.spawn(watch_resolver_address(resolver.clone(), file.clone())).detach();
    let start_reload = {
        let (spawner, running) = (executor.clone(), host.config.clone());
        move || spawner.spawn(reload_config(resolver.clone(), running.clone(), file.clone()))
    };
    async_io::block_on(executor.run(async move {
        let mut reloads = Reloads { start: start_reload, last: None };
        reloads.follow(&mut signals).await;
        // Requests are sent to engines until the last one is answered, so the list is followed during the
        // shutdown too.
        let reloading = async {
            loop {
                reloads.follow(&mut signals).await;
            }
        };
        future::or(shutdown::stop(&host), reloading).await;
        tracing::info!(counts = ?host.read_core(|core| core.counts), "stopped");
    }));
    Ok(())
}

/// Reads the configuration whenever the resolver does not answer, and switches to the address that it names:
/// the signal for a reload may have been lost, or have come before this process handled signals. Never
/// returns.
async fn watch_resolver_address(resolver: Rc<Resolver>, file: PathBuf) {
    loop {
        resolver.wait_for_silence().await;
        let Ok(config) = config::load(&file) else { continue };
        if config.resolver != resolver.address() {
            tracing::warn!(resolver = %config.resolver,
                "resolver does not answer; the configuration names another address");
            resolver.set_address(config.resolver);
        }
    }
}

/// Reloads of the configuration, one at a time.
struct Reloads<F> {
    start: F,
    /// The last reload; dropping it when the next one starts cancels it.
    last: Option<Task<()>>,
}

impl<F: Fn() -> Task<()>> Reloads<F> {
    /// Starts a reload for each SIGHUP; returns at a signal to stop.
    async fn follow(&mut self, signals: &mut Signals) {
        loop {
            match next_signal(signals).await {
                Signal::Hup => {
                    tracing::info!("SIGHUP: reading the configuration again");
                    self.last = Some((self.start)());
                }
                signal => return tracing::info!(?signal, "signal to stop"),
            }
        }
    }
}

/// Starts the tasks of a gateway on an executor, which runs them. Returns the address that the gateway
/// listens on.
///
/// # Errors
/// If the gateway cannot listen, or the initial list of engines is invalid.
pub fn start(
    config: Config,
    executor: &Rc<LocalExecutor<'static>>,
    resolver: &Rc<Resolver>,
) -> std::io::Result<(Rc<Host>, SocketAddr)> {
    let clock = Clock::new();
    let initial_list = config.known.list(&config.names).map_err(std::io::Error::other)?;
    let module = Gateway::new(config.settings.clone(), config.seed);
    let open_cap = config.connections.open_cap;
    let core_config = CoreConfig {
        attempts_cap: config.settings.attempts_cap,
        open_cap: if open_cap == 0 { usize::MAX } else { open_cap },
        body_bytes_cap: config.limits.buffer_max_bytes(),
        recent_ids_max: config.limits.recent_ids_max(),
        answer_margin: ANSWER_MARGIN_US,
        client_delay: CLIENT_DELAY_US,
    };
    let core = Core::new(Box::new(module), core_config, clock.now());
    let host = Host::new(config, clock, core, executor.clone());
    host.update_list(initial_list.clone(), true);
    let listener = front::listen(&host)?;
    let address = listener.get_ref().local_addr()?;
    executor.spawn(host.clone().run_timers()).detach();
    executor.spawn(host.clone().run_periodic_work()).detach();
    executor.spawn(resolver.clone().follow(host.clone(), initial_list)).detach();
    executor.spawn(front::accept(host.clone(), listener)).detach();
    Ok((host, address))
}

/// Reads the configuration again and switches to the resolver that it names. Retries while the file is
/// invalid, since it may be incomplete. Other changes take effect at the next start: waiting requests keep
/// the settings under which they were accepted.
async fn reload_config(resolver: Rc<Resolver>, running: Rc<Config>, file: PathBuf) {
    let mut last_error = String::new();
    for attempt in 0..RELOAD_ATTEMPTS {
        match config::load(&file) {
            Ok(config) => {
                tracing::info!(resolver = %config.resolver, "configuration read again");
                let changed = running.changes_pending_restart(&config);
                if !changed.is_empty() {
                    tracing::warn!(?changed, "changes in the configuration take effect at the next start");
                }
                if config.resolver != resolver.address() {
                    resolver.set_address(config.resolver);
                }
                return;
            }
            Err(why) => {
                if attempt == 0 {
                    tracing::warn!(why, "configuration is invalid; keeping the old one and retrying");
                }
                last_error = why;
            }
        }
        violetward_net::sleep(RELOAD_RETRY_INTERVAL).await;
    }
    tracing::error!(why = last_error, "configuration is still invalid; keeping the old one");
}

#[cfg(test)]
mod tests {
    use super::*;

    const INCOMPLETE: &str = r#"{"name":"n0","listen":"127.0.0.1:0","dns":"127.0.0.1:5"#;
    const COMPLETE: &str = r#"{"name":"n0","listen":"127.0.0.1:0","dns":"127.0.0.1:55",
        "known":{"no":1,"items":[]},
        "limits":{"cores":1.0,"memory_mb":48,"sockets":256},
        "settings":{"NInstances":1,"Classes":[],"Contract":{},"Limits":{"AttemptsCap":3}}}"#;

    #[test]
    fn reload_retries_while_the_configuration_is_incomplete() {
        let file = std::env::temp_dir().join(format!("violetward-{}.json", std::process::id()));
        std::fs::write(&file, INCOMPLETE).expect("write the incomplete file");
        let resolver = Resolver::new(([127, 0, 0, 1], 54).into());
        let file_to_complete = file.clone();
        let writer = std::thread::spawn(move || {
            std::thread::sleep(3 * RELOAD_RETRY_INTERVAL);
            std::fs::write(file_to_complete, COMPLETE).expect("write the complete file");
        });
        let running = Rc::new(config::parse(COMPLETE).expect("parse the configuration"));
        async_io::block_on(reload_config(resolver.clone(), running, file.clone()));
        writer.join().expect("join the writer");
        std::fs::remove_file(file).ok();
        assert_eq!(resolver.address(), ([127, 0, 0, 1], 55).into());
    }
}
