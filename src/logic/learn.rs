//! What answers teach.

use super::*;

impl Gateway {
    /// Only what was served teaches: a fast error costs little and proves nothing.
    pub(super) fn learn(&mut self, flight: &Flight, answer: &Answer) {
        let took = answer.took as f64 * flight.threads;
        let (class, told) = (flight.request.class.0, self.told(&flight.request));
        let work = answer.work.filter(|&w| w > 0 && self.settings.reports_cost);
        let truth = work.map_or_else(|| self.stand_in(&flight.request, took), |w| w as f64);
        self.slow.learn(took, truth, FLEET_SAMPLE * (2.0 - (4.0 * self.share()).min(1.0)));
        let learned = &mut self.learned[class];
        let k = learned.k.get().unwrap_or(truth / told);
        let clipped = truth.clamp(told * k / CLIP, told * k * CLIP);
        learned.k.learn(clipped, told, SAMPLE);
        learned.usual.learn(truth, 1.0, SAMPLE);
        learned.slow.learn(took, truth, SAMPLE);
        let slow = self.slow.get().unwrap_or(1.0);
        self.best_slow = (self.best_slow * (1.0 + SAMPLE / 100.0)).min(slow).clamp(1.0, BEST_MOST);
        if let (Some(need), true) = (answer.memory_mb, flight.request.memory_mb > 0.0) {
            let over = (need / flight.request.memory_mb).ln() > learned.grant;
            // Quick at first: a class whose estimates lie low would spill for long.
            let step = GRANT_STEPS[0] + GRANT_STEPS[1] / (1.0 + learned.usual.samples);
            learned.grant += step * if over { GRANT_QUANTILE } else { GRANT_QUANTILE - 1.0 };
        }
        if let Some(e) = self.engines.get_mut(&flight.engine) {
            e.k[class].learn(clipped, told, SAMPLE);
            e.slow.learn(took, truth, SAMPLE);
            e.debt[class] = (e.debt[class] + clipped - flight.cost).max(0.0);
        }
        self.steer(flight.engine);
    }

    /// Where no cost is told: the estimate times the least that latency × threads was against it. Latency
    /// alone would make a slow engine's queries look costly and the engine as fast as ever. An estimate is
    /// trusted to be no less than `1 / BEST_MOST` of the work.
    fn stand_in(&mut self, request: &Request, took: f64) -> f64 {
        let told = self.told(request);
        let trusted = if request.cost > 0 { BEST_MOST } else { f64::INFINITY };
        let learned = &mut self.learned[request.class.0];
        let most = CLIP * told * learned.best_pace.unwrap_or(took / told);
        learned.pace.learn(took.min(most), told, SAMPLE);
        let pace = learned.pace.get().unwrap_or(1.0).min(trusted);
        let best = learned.best_pace.filter(|_| learned.pace.samples > LEAN / 2.0).unwrap_or(pace);
        let best = pace.min(best * (1.0 + SAMPLE / 100.0));
        learned.best_pace = Some(best);
        told * best
    }
}
