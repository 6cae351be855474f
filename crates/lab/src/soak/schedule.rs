//! The day of a soak: everything is drawn from its seed.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Something that goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// SIGTERM, requests on open connections until SIGKILL, which comes at its earliest, then a new start.
    Restart {
        /// Which gateway.
        gateway: usize,
        /// SIGHUP, SIGTERM and SIGINT follow within the shutdown.
        series: bool,
    },
    /// SIGKILL, and a new start.
    Kill {
        /// Which gateway.
        gateway: usize,
    },
    /// SIGSTOP, and SIGCONT after a span.
    Stop {
        /// Which gateway.
        gateway: usize,
        /// The span.
        span: Duration,
    },
    /// An engine begins to drain.
    Drain {
        /// Which one.
        engine: usize,
    },
    /// An engine vanishes with its connections.
    Vanish {
        /// Which one.
        engine: usize,
    },
    /// A new engine comes.
    Join,
    /// The resolver says nothing.
    ListSilent {
        /// For how long.
        span: Duration,
    },
    /// The resolver's answers are late.
    ListSlow {
        /// For how long.
        span: Duration,
        /// By how much.
        delay: Duration,
    },
    /// The resolver's answers are late, each by another time, so that they overtake each other.
    ListScattered {
        /// For how long.
        span: Duration,
        /// By how much at most.
        most: Duration,
    },
    /// Some of the resolver's answers are lost, of another id, errors, cut short, or older lists under any number.
    ListBad {
        /// For how long.
        span: Duration,
    },
    /// The resolver is elsewhere; the configuration says where, and SIGHUP comes twice.
    ListMoves,
    /// Idle clients fill a gateway's descriptors.
    Crowd {
        /// Which gateway.
        gateway: usize,
    },
}

/// How a gateway's wall clock is wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClockStep {
    /// By how many seconds.
    pub seconds: i64,
    /// How long after the start of the process.
    pub after: Duration,
}

/// A day.
#[derive(Debug, Clone, PartialEq)]
pub struct Day {
    /// Its seed.
    pub seed: u64,
    /// Gateways.
    pub gateways: usize,
    /// Engines at first.
    pub engines: usize,
    /// Clients.
    pub clients: usize,
    /// Longest waits of the three classes: repeatable, in the order of keys, unsafe to repeat.
    pub waits: [Duration; 3],
    /// How each gateway's wall clock is wrong.
    pub clocks: Vec<ClockStep>,
    /// Faults by time.
    pub events: Vec<(Duration, Fault)>,
}

/// Time between two changes of the list on a day of lists.
const LIST_CHANGES_EVERY: Duration = Duration::from_millis(600);
/// By how much answers are late at most on a day of lists.
const LIST_DELAY_MOST: Duration = Duration::from_millis(1_600);

/// Mean time between two faults.
const FAULT_EVERY_MS: u64 = 900;

fn millis(rng: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

impl Day {
    /// Draws a day with faults for a span.
    pub fn draw(seed: u64, gateways: usize, span: Duration) -> Day {
        let mut rng = StdRng::seed_from_u64(seed);
        let engines = rng.random_range(4..8);
        let waits =
            [millis(&mut rng, 1_200..3_000), millis(&mut rng, 2_000..5_000), millis(&mut rng, 1_500..3_000)];
        let steps = [0, 0, 5, -5, 3_600, -3_600];
        let clock = |rng: &mut StdRng| ClockStep {
            seconds: *steps.choose(rng).unwrap_or(&0),
            after: if rng.random_bool(0.3) { Duration::ZERO } else { millis(rng, 500..8_000) },
        };
        let clocks = (0..gateways).map(|_| clock(&mut rng)).collect();
        let (mut events, mut at, mut drawn) = (Vec::new(), Duration::from_millis(1_500), engines);
        while at < span {
            events.push((at, Day::fault(&mut rng, gateways, &mut drawn)));
            at += millis(&mut rng, FAULT_EVERY_MS / 3..FAULT_EVERY_MS * 5 / 3);
        }
        Day { seed, gateways, engines, clients: 8 * gateways, waits, clocks, events }
    }

    /// Draws a day on which the resolver's answers overtake each other in its first half and are partly bad in its
    /// second one, while engines come and drain in turn and gateways are killed. Nothing else goes wrong.
    pub fn draw_lists(seed: u64, gateways: usize, span: Duration) -> Day {
        let mut day = Day::draw(seed, gateways, Duration::ZERO);
        day.clocks = vec![ClockStep::default(); gateways];
        let mut at = Duration::from_millis(1_000);
        let half = span.saturating_sub(at) / 2;
        let scattered = Fault::ListScattered { span: half, most: LIST_DELAY_MOST };
        day.events = vec![(at, scattered), (at + half, Fault::ListBad { span: half })];
        for engine in 0.. {
            at += LIST_CHANGES_EVERY;
            day.events.push((at, Fault::Join));
            at += LIST_CHANGES_EVERY;
            day.events.push((at, Fault::Drain { engine }));
            day.events.push((at, Fault::Kill { gateway: engine % gateways }));
            if at >= span {
                break;
            }
        }
        day.events.sort_by_key(|(at, _)| *at);
        day
    }

    fn fault(rng: &mut StdRng, gateways: usize, engines: &mut usize) -> Fault {
        let gateway = rng.random_range(0..gateways);
        let engine = rng.random_range(0..*engines);
        match rng.random_range(0..18) {
            0..4 => Fault::Restart { gateway, series: rng.random_bool(0.5) },
            4 => Fault::Kill { gateway },
            5 => Fault::Stop { gateway, span: millis(rng, 200..1_500) },
            6 | 7 => Fault::Drain { engine },
            8 => Fault::Vanish { engine },
            9 => {
                *engines += 1;
                Fault::Join
            }
            10 => Fault::ListSilent { span: millis(rng, 500..2_500) },
            11 => Fault::ListSlow { span: millis(rng, 1_500..4_000), delay: millis(rng, 160..900) },
            12 => Fault::ListMoves,
            13 | 14 => {
                Fault::ListScattered { span: millis(rng, 2_000..5_000), most: millis(rng, 500..2_000) }
            }
            _ => Fault::Crowd { gateway },
        }
    }

    /// Some gateway's wall clock is wrong.
    pub fn steps_clock(&self) -> bool {
        self.clocks.iter().any(|clock| clock.seconds != 0 && clock.after.is_zero())
    }
}

impl fmt::Display for Day {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Day { seed, gateways, engines, clients, waits, clocks, .. } = self;
        writeln!(
            f,
            "seed {seed}: {gateways} gateways, {engines} engines, {clients} clients, longest waits {waits:?}"
        )?;
        let steps: Vec<_> = clocks.iter().map(|c| format!("{:+} s after {:?}", c.seconds, c.after)).collect();
        writeln!(f, "wall clocks: {}", steps.join(", "))?;
        for (at, fault) in &self.events {
            writeln!(f, "{:8.3} {fault:?}", at.as_secs_f64())?;
        }
        Ok(())
    }
}
