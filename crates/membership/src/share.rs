//! Computes the share of the engine fleet that a gateway may use from its view of the group.
//!
//! Invariant: with `N` configured gateways and at most as many processes, the shares add up to at most
//! `max_total_share`, however their views differ; and each gateway uses at most `1 / N` of a cold engine, so
//! that all of them together use at most one. This holds because [`Share::update`] caps each share at
//! `max_total_share / max(N, known members)` as its last step. When all views agree on `n` living members,
//! the shares are `1/2n + demand / (2 · total demand)` before the cap, and these add up to one.

use crate::machine::{Micros, Standing};

/// Fraction of the share that follows the offered load; the rest is divided evenly.
const LOAD_WEIGHT: f64 = 0.5;
/// Fraction of its even share that a gateway keeps while it cannot rule out that it is cut off.
const ISOLATED_SHARE_FACTOR: f64 = 0.5;

/// The inputs of the share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareInputs {
    /// Number of gateways in the configuration.
    pub configured_gateways: u32,
    /// Number of members that have not left, including dead ones.
    pub members: u32,
    /// Number of members that are alive or suspected, including this one.
    pub living: u32,
    /// This gateway's fraction of the living members' offered load; `None` if no load is known.
    pub load: Option<f64>,
    /// Connectivity of this gateway with the group.
    pub standing: Standing,
}

/// The share of one gateway over time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Maximum sum of the shares of all gateways.
    pub max_total_share: f64,
    /// Growth of the share per second, as a fraction of the even share.
    pub growth_per_s: f64,
    /// Current share.
    pub value: f64,
    updated_at: Micros,
    /// Number of living members at the last update.
    living: u32,
}

impl Share {
    /// Initial share: that of a gateway which may be cut off.
    pub fn new(max_total_share: f64, growth_per_s: f64, configured_gateways: u32, now: Micros) -> Self {
        Share {
            max_total_share,
            growth_per_s,
            value: ISOLATED_SHARE_FACTOR / f64::from(configured_gateways.max(1)),
            updated_at: now,
            living: 0,
        }
    }

    /// Computes the share at `now`. It grows at a limited rate. It shrinks at once if more members are alive
    /// or the standing is bad, and at the same limited rate if only the load has changed: otherwise
    /// fluctuations of the load would shrink one share at once but grow the others late, which would leave
    /// part of the fleet unused.
    pub fn update(&mut self, now: Micros, inputs: &ShareInputs) -> f64 {
        let gateway_count = f64::from(inputs.configured_gateways.max(inputs.members).max(1));
        let even_share = 1.0 / gateway_count;
        let living = f64::from(inputs.living.max(1));
        let target = match inputs.standing {
            Standing::Whole => {
                let by_load = inputs.load.map_or(1.0 / living, |load| load.clamp(0.0, 1.0));
                (1.0 - LOAD_WEIGHT) / living + LOAD_WEIGHT * by_load
            }
            // Dead peers and a cut-off gateway cannot be told apart here; the smaller share does not harm the
            // others.
            _ => ISOLATED_SHARE_FACTOR * even_share,
        };
        let target = target.min(self.max_total_share * even_share);
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / 1e6;
        let step = self.growth_per_s * even_share * elapsed_s;
        let more_living = inputs.living > std::mem::replace(&mut self.living, inputs.living);
        let immediate = more_living || inputs.standing != Standing::Whole;
        let floor = if immediate { target } else { target.max(self.value - step) };
        self.updated_at = self.updated_at.max(now);
        self.value = floor.min(self.value + step).min(self.max_total_share * even_share);
        self.value
    }
}
