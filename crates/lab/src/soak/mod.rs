//! Real gateways of a platform as processes on loopback, under a day of overlapping faults that is drawn from a seed.
//!
//! Engines, resolver and clients are this process's own threads, and all of them note what they see on one monotonic
//! clock ([`record`]). The rules are checked on those records alone ([`check`]); what the gateways log is for reading.

pub mod check;
mod client;
mod engine;
mod gateway;
pub mod record;
mod resolver;
pub mod schedule;
mod settings;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use check::Break;
use gateway::Gateways;
use record::{Event, Records};
use schedule::{Day, Fault};

use engine::Fleet;
use resolver::Resolver;
use violetward_standin::platform::limit_descriptors;

/// The descriptors that the lab needs for several crowds at once.
const OWN_DESCRIPTORS: u64 = 16_384;
/// How long after the last fault clients still ask, so that what a fault breaks can show.
const AFTERMATH: Duration = Duration::from_millis(3_500);

/// What is wanted of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The day is drawn from it.
    pub seed: u64,
    /// Gateways.
    pub gateways: usize,
    /// How long faults are drawn for.
    pub seconds: u64,
    /// One of so many system calls of the gateways goes wrong; 0: none.
    pub calls_one_in: u64,
    /// The day troubles the engine list alone ([`Day::draw_lists`]).
    pub lists_only: bool,
    /// Where the gateways' logs go.
    pub folder: PathBuf,
}

/// What a run showed.
#[derive(Debug)]
pub struct Outcome {
    /// Rules that were broken.
    pub breaks: Vec<Break>,
    /// Requests written, and those of them served, refused or failed, and without an answer.
    pub requests: [usize; 4],
    /// Faults in calls that came up: accepts, receives, sends, looks at a stepped clock.
    pub calls: [u64; 4],
    /// Faults that were ordered and never came up.
    pub silent: Vec<&'static str>,
    /// The highest resident memory of a gateway's process, in kilobytes.
    pub peak_memory_kb: u64,
}

/// What all threads of a run share.
pub(crate) struct World {
    records: Records,
    day: Day,
    fleet: Fleet,
    resolver: Resolver,
    gateways: Gateways,
    over: AtomicBool,
}

impl World {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }
}

/// Plays a day.
///
/// # Errors
/// If a part of it cannot be started.
pub fn run(setup: &Setup) -> std::io::Result<Outcome> {
    let draw = if setup.lists_only { Day::draw_lists } else { Day::draw };
    let day = draw(setup.seed, setup.gateways, Duration::from_secs(setup.seconds));
    print!("{day}");
    std::fs::create_dir_all(&setup.folder)?;
    limit_descriptors(OWN_DESCRIPTORS)?;
    let records = Records::new();
    let fleet = Fleet::start(&day, &records)?;
    let resolver = Resolver::start(fleet.listed(), day.gateways, day.seed, &records)?;
    let gateways = Gateways::start(setup, &day, &resolver)?;
    let world = Arc::new(World { records, day, fleet, resolver, gateways, over: AtomicBool::new(false) });
    let clients: Vec<_> = (0..world.day.clients)
        .map(|n| {
            let world = world.clone();
            std::thread::spawn(move || client::run(&world, n))
        })
        .collect();
    let ends: Vec<_> =
        world.day.events.clone().into_iter().map(|(at, fault)| play(&world, at, fault)).collect();
    for end in ends {
        end.join().ok();
    }
    std::thread::sleep(AFTERMATH);
    world.over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let died = world.gateways.stop();
    let calls = world.gateways.calls();
    Ok(judge(setup, &world, &died, calls))
}

/// Plays one fault at its time, on a thread of its own.
fn play(world: &Arc<World>, at: Duration, fault: Fault) -> std::thread::JoinHandle<()> {
    let world = world.clone();
    std::thread::spawn(move || {
        std::thread::sleep((world.records.start() + at).saturating_duration_since(Instant::now()));
        world.records.note(Event::Fault(fault));
        match fault {
            Fault::Restart { gateway, series } => world.gateways.restart(&world, gateway, series),
            Fault::Kill { gateway } => world.gateways.kill_and_start(&world, gateway),
            Fault::Stop { gateway, span } => world.gateways.stop_for(&world, gateway, span),
            Fault::Drain { engine } => {
                world.fleet.drain(engine);
                world.resolver.tell(world.fleet.listed());
            }
            Fault::Join => {
                if world.fleet.join().is_ok() {
                    world.resolver.tell(world.fleet.listed());
                }
            }
            Fault::Vanish { engine } => {
                world.fleet.vanish(engine);
                world.resolver.tell(world.fleet.listed());
            }
            Fault::ListSilent { span } => world.resolver.silent(span),
            Fault::ListSlow { span, delay } => world.resolver.slow(span, delay),
            Fault::ListBad { span } => world.resolver.bad(span),
            Fault::ListScattered { span, most } => world.resolver.scatter(span, most),
            Fault::ListMoves => {
                if world.resolver.move_away().is_ok() {
                    world.gateways.reload(&world);
                }
            }
            Fault::Crowd { gateway } => client::crowd(&world, gateway),
        }
    })
}

fn judge(setup: &Setup, world: &World, died: &[String], calls: [u64; 4]) -> Outcome {
    let records = world.records.take();
    let mut breaks = check::check(&records);
    breaks.extend(died.iter().map(|why| Break {
        rule: "crash",
        at: Duration::ZERO,
        id: 0,
        why: why.clone(),
    }));
    let peaks = world.gateways.peak_memory_kb();
    breaks.extend(peaks.iter().enumerate().filter(|(_, (_, over))| *over).map(|(number, (peak, _))| Break {
        rule: "memory",
        at: Duration::ZERO,
        id: 0,
        why: format!("n{number} had {peak} kB resident"),
    }));
    let peak_memory_kb = peaks.iter().map(|(peak, _)| *peak).max().unwrap_or(0);
    let count = |is: fn(&Event) -> bool| records.iter().filter(|(_, event)| is(event)).count();
    let written = count(|e| matches!(e, Event::Written(_)));
    let served = count(|e| matches!(e, Event::Answered { served: true, .. }));
    let other = count(|e| matches!(e, Event::Answered { served: false, .. }));
    let mut silent = Vec::new();
    if setup.calls_one_in > 0 {
        let names =
            ["accepts that fail", "receives that fail or come short", "sends that fail or come short"];
        silent.extend(names.iter().zip(calls).filter(|(_, count)| *count == 0).map(|(name, _)| *name));
    }
    if world.day.steps_clock() && calls[3] == 0 {
        silent.push("the wall clock's step");
    }
    let unanswered = written.saturating_sub(served + other);
    Outcome { breaks, requests: [written, served, other, unanswered], calls, silent, peak_memory_kb }
}

impl Outcome {
    /// No rule was broken, and all that was ordered came up.
    pub fn is_good(&self) -> bool {
        self.breaks.is_empty() && self.silent.is_empty()
    }
}

/// The folder of a run beside others.
pub fn folder(root: &Path, seed: u64) -> PathBuf {
    root.join(format!("seed-{seed}"))
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [written, served, other, unanswered] = self.requests;
        let [accepts, receives, sends, looks] = self.calls;
        writeln!(
            f,
            "requests {written}: served {served}, refused or failed {other}, without an answer {unanswered}"
        )?;
        writeln!(f, "calls gone wrong: accepts {accepts}, receives {receives}, sends {sends}; looks at a stepped clock {looks}")?;
        writeln!(f, "highest resident memory of a gateway: {} kB", self.peak_memory_kb)?;
        for name in &self.silent {
            writeln!(f, "NEVER CAME UP: {name}")?;
        }
        for broken in &self.breaks {
            writeln!(f, "BROKEN {broken}")?;
        }
        Ok(())
    }
}
