//! What answers teach.

use super::*;

impl Gateway {
    /// Only what was served teaches: a fast error costs little and proves nothing.
    pub(super) fn learn_from(&mut self, attempt: &Attempt, answer: &Answer) {
        let took = answer.took as f64 * attempt.threads;
        let (class, told) = (attempt.request.class.0, self.estimated_work(&attempt.request));
        let work = answer.work.filter(|&w| w > 0 && self.settings.reports_cost);
        let truth = work.map_or_else(|| self.work_from_latency(&attempt.request, took), |w| w as f64);
        self.slowdown.add_sample(took, truth, FLEET_SAMPLE * (2.0 - (4.0 * self.fleet_share()).min(1.0)));
        let stats = &mut self.class_stats[class];
        let k = stats.cost_ratio.value().unwrap_or(truth / told);
        let clipped = truth.clamp(told * k / CLIP, told * k * CLIP);
        stats.cost_ratio.add_sample(clipped, told, SAMPLE);
        stats.mean_work.add_sample(truth, 1.0, SAMPLE);
        stats.slowdown.add_sample(took, truth, SAMPLE);
        let slow = self.slowdown.value().unwrap_or(1.0);
        self.best_slowdown = (self.best_slowdown * (1.0 + SAMPLE / 100.0)).min(slow).clamp(1.0, BEST_MOST);
        if let (Some(need), true) = (answer.memory_mb, attempt.request.memory_mb > 0.0) {
            let over = (need / attempt.request.memory_mb).ln() > stats.log_grant_ratio;
            // Quick at first: a class whose estimates lie low would spill for long.
            let step = GRANT_STEPS[0] + GRANT_STEPS[1] / (1.0 + stats.mean_work.samples);
            stats.log_grant_ratio += step * if over { GRANT_QUANTILE } else { GRANT_QUANTILE - 1.0 };
        }
        if let Some(state) = self.engines.get_mut(&attempt.engine) {
            state.cost_ratio[class].add_sample(clipped, told, SAMPLE);
            state.slowdown.add_sample(took, truth, SAMPLE);
            state.debt[class] = (state.debt[class] + clipped - attempt.charged_work).max(0.0);
        }
        self.adjust_thread_limits(attempt.engine);
    }

    /// Where no cost is told: the estimate times the least that latency × threads was against it. Latency
    /// alone would make a slow engine's queries look costly and the engine as fast as ever. An estimate is
    /// trusted to be no less than `1 / BEST_MOST` of the work.
    fn work_from_latency(&mut self, request: &Request, took: f64) -> f64 {
        let told = self.estimated_work(request);
        let trusted = if request.cost > 0 { BEST_MOST } else { f64::INFINITY };
        let stats = &mut self.class_stats[request.class.0];
        let most = CLIP * told * stats.best_latency_ratio.unwrap_or(took / told);
        stats.latency_ratio.add_sample(took.min(most), told, SAMPLE);
        let pace = stats.latency_ratio.value().unwrap_or(1.0).min(trusted);
        let best =
            stats.best_latency_ratio.filter(|_| stats.latency_ratio.samples > LEAN / 2.0).unwrap_or(pace);
        let best = pace.min(best * (1.0 + SAMPLE / 100.0));
        stats.best_latency_ratio = Some(best);
        told * best
    }
}
