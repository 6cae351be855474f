//! Which share of the fleet a gateway takes, from what it knows of the others.
//!
//! The invariant: with `fleet` gateways configured and no more processes than that, the shares of all of them add up to
//! at most `widest`, whatever each believes; and what any takes of a cold engine is at most `1 / fleet`, so that all of
//! them together never take more than one. Argument: each share is capped by `widest / max(fleet, members known)` in
//! [`Share::next`], the last step before it is told, so no belief can lift it; the sum over at most `fleet` processes
//! follows. Where all believe the same, the shares add up to one at most: they are `1/2n + demand/(2 · all demand)`,
//! which sum to one over the `n` members, before the cap takes from it.

use crate::machine::{Micros, Standing};

/// Part of the share that goes by offered load; the rest is even.
const LOAD_WEIGHT: f64 = 0.5;
/// What a gateway keeps of its even share while it cannot tell whether it is the one that is cut off.
const ISOLATED_SHARE_FACTOR: f64 = 0.5;

/// What a share is worked out from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareInputs {
    /// Gateways that the configuration names.
    pub fleet: u32,
    /// Members that are not known to have left, dead ones included.
    pub members: u32,
    /// Members that live or are only suspected, this one included.
    pub living: u32,
    /// This gateway's part of the living members' offered load; `None` if none is told.
    pub load: Option<f64>,
    /// How this gateway stands with the others.
    pub standing: Standing,
}

/// The share as it was last told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// The most that all may take together.
    pub widest: f64,
    /// How much of the even share it widens by in a second.
    pub widen: f64,
    /// The share.
    pub now: f64,
    at: Micros,
    /// Members that lived when it was last worked out.
    living: u32,
}

impl Share {
    /// A share before anything is known: that of a gateway that cannot tell.
    pub fn new(widest: f64, widen: f64, fleet: u32, at: Micros) -> Self {
        Share { widest, widen, now: ISOLATED_SHARE_FACTOR / f64::from(fleet.max(1)), at, living: 0 }
    }

    /// The share at a time. It widens slowly. It narrows at once where more members live or this one's standing is bad, and
    /// as slowly as it widens where only load has moved: else noise in what clients ask for would narrow one share at once
    /// and widen the others late, and leave part of the fleet to nobody.
    pub fn next(&mut self, now: Micros, known: &ShareInputs) -> f64 {
        let fleet = f64::from(known.fleet.max(known.members).max(1));
        let even = 1.0 / fleet;
        let living = f64::from(known.living.max(1));
        let goal = match known.standing {
            Standing::Whole => {
                let by_load = known.load.map_or(1.0 / living, |load| load.clamp(0.0, 1.0));
                (1.0 - LOAD_WEIGHT) / living + LOAD_WEIGHT * by_load
            }
            // Whether the others are dead or this one is cut off from them looks the same from here: taking less is
            // the error that harms nobody else.
            _ => ISOLATED_SHARE_FACTOR * even,
        };
        let goal = goal.min(self.widest * even);
        let span = now.saturating_sub(self.at) as f64 / 1e6;
        let step = self.widen * even * span;
        let more = known.living > std::mem::replace(&mut self.living, known.living);
        let at_once = more || known.standing != Standing::Whole;
        let floor = if at_once { goal } else { goal.max(self.now - step) };
        self.at = self.at.max(now);
        self.now = floor.min(self.now + step).min(self.widest * even);
        self.now
    }
}
