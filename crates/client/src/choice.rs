//! Which gateway takes a statement: power of two choices by in-flight and latency, outlier ejection, slow return. Free of
//! I/O and clock. A statement that was taken is moved only
//! where the service says that any gateway has it.

use std::time::Duration;

/// Microseconds of the caller's clock.
pub type Micros = u64;

/// Failures in a row that eject a gateway.
const FAILURES: u32 = 3;
/// First ejection, and the longest.
const EJECT_FIRST: Micros = 1_000_000;
const EJECT_LONGEST: Micros = 30_000_000;
/// After an ejection it gets its full part back over this span.
const RETURN: Micros = 5_000_000;
/// Weight of one latency in its average.
const SAMPLE: f64 = 0.1;

#[derive(Debug, Clone, Default)]
struct Gateway {
    in_flight: u32,
    latency: f64,
    failures: u32,
    ejections: u32,
    out_until: Micros,
}

/// The gateways of a process.
#[derive(Debug, Clone)]
pub struct Choice {
    gateways: Vec<Gateway>,
}

impl Choice {
    /// So many gateways, all well.
    pub fn new(count: usize) -> Self {
        Choice { gateways: vec![Gateway::default(); count] }
    }

    /// Chooses one of two drawn at random (`dice` even from 0 to 1), and another than `not` where there is one.
    /// Counts it as in flight. Where all are ejected, the one that is back first is tried.
    pub fn pick(&mut self, now: Micros, dice: [f64; 2], not: Option<usize>) -> Option<usize> {
        let all = || (0..self.gateways.len()).filter(|&i| Some(i) != not || self.gateways.len() == 1);
        let well: Vec<usize> = all().filter(|&i| self.gateways[i].out_until <= now).collect();
        let picked = if well.is_empty() {
            all().min_by_key(|&i| self.gateways[i].out_until)?
        } else {
            let draw = |d: f64, n: usize| ((d * n as f64) as usize).min(n - 1);
            let first = draw(dice[0], well.len());
            let a = well[first];
            if well.len() == 1 {
                a
            } else {
                let mut second = draw(dice[1], well.len() - 1);
                second += usize::from(second >= first);
                let b = well[second];
                if self.cost(b, now) < self.cost(a, now) {
                    b
                } else {
                    a
                }
            }
        };
        self.gateways[picked].in_flight += 1;
        Some(picked)
    }

    /// A statement that another gateway took is asked for here from now on.
    pub fn join(&mut self, which: usize) {
        self.gateways.iter_mut().skip(which).take(1).for_each(|g| g.in_flight += 1);
    }

    /// A try through a gateway has ended; `good` means that the gateway answered as one that is well does, whatever it
    /// said of the statement.
    pub fn done(&mut self, which: usize, now: Micros, took: Duration, good: bool) {
        let Some(g) = self.gateways.get_mut(which) else { return };
        g.in_flight = g.in_flight.saturating_sub(1);
        if good {
            let took = took.as_micros() as f64;
            g.latency = if g.latency == 0.0 { took } else { g.latency + SAMPLE * (took - g.latency) };
            g.failures = 0;
            if now > g.out_until + RETURN {
                g.ejections = 0;
            }
            return;
        }
        g.failures += 1;
        if g.failures >= FAILURES {
            g.failures = 0;
            g.out_until = now + (EJECT_FIRST << g.ejections.min(8)).min(EJECT_LONGEST);
            g.ejections += 1;
        }
    }

    /// Whether a gateway is ejected now.
    pub fn is_out(&self, which: usize, now: Micros) -> bool {
        self.gateways.get(which).is_some_and(|g| g.out_until > now)
    }

    /// Expected wait: what is in flight there times its latency, more while it returns.
    fn cost(&self, which: usize, now: Micros) -> f64 {
        let g = &self.gateways[which];
        let back = now.saturating_sub(g.out_until) as f64 / RETURN as f64;
        let part = if g.out_until == 0 { 1.0 } else { back.clamp(0.1, 1.0) };
        f64::from(g.in_flight + 1) * g.latency.max(1.0) / part
    }
}
