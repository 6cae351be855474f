//! A whole gateway: its tasks on one thread, from the first connection to the last answer.

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
use crate::core::{Core, Terms};
use crate::front;
use crate::host::Host;
use crate::resolver::Resolver;
use crate::shutdown;

/// What is kept of a client's wait for the way of the answer. See docs/platform.md for the figures behind it.
const MARGIN: Micros = 15_000;
/// Clients write requests of one key at least 60 ms apart, and 250 ms after one on a new connection (the protocol's
/// figures). When gateways die their requests come to others at once, most on new connections: eight of one key in a row.
/// An answer is lost half a second after its client's time, so that no request is that was held back for 2.5 s.
const HELD: Micros = 2_000_000;
/// How often a configuration that can't be used is looked at again, and for how long.
const LOOK_AGAIN: (Duration, u32) = (Duration::from_millis(100), 100);

/// Runs a gateway until SIGTERM or SIGINT, and until everything that was taken has its answer.
///
/// # Errors
/// If it cannot listen or handle signals.
pub fn serve(config: Config, file: &Path) -> std::io::Result<()> {
    // Before anything can be reached from outside: a signal that comes early must not end the process.
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let executor = Rc::new(LocalExecutor::new());
    let resolver = Resolver::new(config.resolver);
    let name = config.name.clone();
    let (host, address) = start(config, &executor, &resolver)?;
    tracing::info!(name, listen = %address, "taking requests");
    let file = file.to_owned();
    executor.spawn(look_for_moves(resolver.clone(), file.clone())).detach();
    let reload = {
        let (spawner, running) = (executor.clone(), host.config.clone());
        move || spawner.spawn(reloaded(resolver.clone(), running.clone(), file.clone()))
    };
    async_io::block_on(executor.run(async move {
        let mut reloads = Reloads { begin: reload, last: None };
        reloads.follow(&mut signals).await;
        // Requests are still sent on until the last one has its answer, so that the list is still followed.
        let goes_on = async {
            loop {
                reloads.follow(&mut signals).await;
            }
        };
        future::or(shutdown::stop(&host), goes_on).await;
        tracing::info!(counts = ?host.look(|core| core.counts), "stopped");
    }));
    Ok(())
}

/// Looks at the configuration where the resolver is silent: the signal that tells of its move can have got lost, or come
/// before this process could take it. Never ends.
async fn look_for_moves(resolver: Rc<Resolver>, file: PathBuf) {
    loop {
        resolver.silence().await;
        let Ok(config) = config::load(&file) else { continue };
        if config.resolver != resolver.address() {
            tracing::warn!(resolver = %config.resolver, "the configuration names another resolver, and none answered");
            resolver.moved_to(config.resolver);
        }
    }
}

/// Reloads of the configuration, one at a time.
struct Reloads<B> {
    begin: B,
    /// Dropped, and ended with that, when the next one begins.
    last: Option<Task<()>>,
}

impl<B: Fn() -> Task<()>> Reloads<B> {
    /// Begins a reload for each SIGHUP, until a signal to end comes.
    async fn follow(&mut self, signals: &mut Signals) {
        loop {
            match next_signal(signals).await {
                Signal::Hup => self.last = Some((self.begin)()),
                _ => return,
            }
        }
    }
}

/// Starts a gateway's tasks on an executor; they run as long as that does. Gives the address that it listens on.
///
/// # Errors
/// If it cannot listen, or the list of the start can't be used.
pub fn start(
    config: Config,
    executor: &Rc<LocalExecutor<'static>>,
    resolver: &Rc<Resolver>,
) -> std::io::Result<(Rc<Host>, SocketAddr)> {
    let clock = Clock::new();
    let known = config.known.list(&config.names).map_err(std::io::Error::other)?;
    let gateway = Gateway::new(config.settings.clone(), config.seed);
    let open_cap = config.connections.open_cap;
    let terms = Terms {
        attempts_cap: config.settings.attempts_cap,
        open_cap: if open_cap == 0 { usize::MAX } else { open_cap },
        body_bytes: config.limits.held_bytes(),
        margin: MARGIN,
        held: HELD,
    };
    let core = Core::new(Box::new(gateway), terms, clock.now());
    let host = Host::new(config, clock, core, executor.clone());
    let number = known.number;
    host.listed(known, true);
    let listener = front::listen(&host)?;
    let address = listener.get_ref().local_addr()?;
    executor.spawn(host.clone().run_timers()).detach();
    executor.spawn(host.clone().run_sweeps()).detach();
    executor.spawn(resolver.clone().follow(host.clone(), number)).detach();
    executor.spawn(front::accept(host.clone(), listener)).detach();
    Ok((host, address))
}

/// Reads the configuration again and goes to the resolver that it names. What is half written is looked at again. The
/// rest of a configuration holds from the next start on: requests that wait keep the settings that they were taken under.
async fn reloaded(resolver: Rc<Resolver>, running: Rc<Config>, file: PathBuf) {
    let mut last = String::new();
    for turn in 0..LOOK_AGAIN.1 {
        match config::load(&file) {
            Ok(config) => {
                tracing::info!(resolver = %config.resolver, "configuration read again");
                let differs = running.not_taken_over(&config);
                if !differs.is_empty() {
                    tracing::warn!(?differs, "holds from the next start on");
                }
                if config.resolver != resolver.address() {
                    resolver.moved_to(config.resolver);
                }
                return;
            }
            Err(why) => {
                if turn == 0 {
                    tracing::warn!(why, "the old configuration stands; looking again");
                }
                last = why;
            }
        }
        violetward_net::sleep(LOOK_AGAIN.0).await;
    }
    tracing::error!(why = last, "the configuration can't be used; the old one stands");
}

#[cfg(test)]
mod tests {
    use super::*;

    const HALF: &str = r#"{"name":"n0","listen":"127.0.0.1:0","dns":"127.0.0.1:5"#;
    const WHOLE: &str = r#"{"name":"n0","listen":"127.0.0.1:0","dns":"127.0.0.1:55","known":{"no":1,"items":[]},
        "limits":{"cores":1.0,"memory_mb":48,"sockets":256},
        "settings":{"NInstances":1,"Classes":[],"Contract":{},"Limits":{"AttemptsCap":3}}}"#;

    #[test]
    fn a_configuration_that_is_half_written_is_looked_at_again() {
        let file = std::env::temp_dir().join(format!("violetward-{}.json", std::process::id()));
        std::fs::write(&file, HALF).expect("a file");
        let resolver = Resolver::new(([127, 0, 0, 1], 54).into());
        let whole = file.clone();
        let writer = std::thread::spawn(move || {
            std::thread::sleep(3 * LOOK_AGAIN.0);
            std::fs::write(whole, WHOLE).expect("a file");
        });
        let running = Rc::new(config::parse(WHOLE).expect("a configuration"));
        async_io::block_on(reloaded(resolver.clone(), running, file.clone()));
        writer.join().expect("written");
        std::fs::remove_file(file).ok();
        assert_eq!(resolver.address(), ([127, 0, 0, 1], 55).into());
    }
}
