//! Learning from answers: cost ratios, slowdowns, memory grants.

use super::*;

impl Gateway {
    /// Updates the statistics with a served attempt. Errors are left out: a fast error says nothing of the
    /// cost.
    pub(super) fn learn_from(&mut self, attempt: &Attempt, answer: &Answer) {
        let thread_time = answer.took as f64 * attempt.threads;
        let (class, estimate) = (attempt.request.class.0, self.estimated_work(&attempt.request));
        let reported = answer.work.filter(|&work| work > 0 && self.settings.reports_cost);
        let work = reported
            .map_or_else(|| self.work_from_latency(&attempt.request, thread_time), |work| work as f64);
        let fleet_weight = FLEET_SAMPLE_WEIGHT * (2.0 - (4.0 * self.fleet_share()).min(1.0));
        self.slowdown.add_sample(thread_time, work, fleet_weight);
        let stats = &mut self.class_stats[class];
        let ratio = stats.cost_ratio.value().unwrap_or(work / estimate);
        let clipped = work.clamp(estimate * ratio / MAX_SAMPLE_FACTOR, estimate * ratio * MAX_SAMPLE_FACTOR);
        stats.cost_ratio.add_sample(clipped, estimate, SAMPLE_WEIGHT);
        stats.mean_work.add_sample(work, 1.0, SAMPLE_WEIGHT);
        stats.slowdown.add_sample(thread_time, work, SAMPLE_WEIGHT);
        let slowdown = self.slowdown.value().unwrap_or(1.0);
        // The best value slowly rises, so that it follows a lasting change.
        let risen = self.best_slowdown * (1.0 + SAMPLE_WEIGHT / 100.0);
        self.best_slowdown = risen.min(slowdown).clamp(1.0, MAX_BEST_SLOWDOWN);
        if let (Some(need), true) = (answer.memory_mb, attempt.request.memory_mb > 0.0) {
            let over = (need / attempt.request.memory_mb).ln() > stats.log_grant_ratio;
            // Large steps at first: otherwise a class with low estimates would spill to disk for a long time.
            let step = GRANT_STEPS[0] + GRANT_STEPS[1] / (1.0 + stats.mean_work.samples);
            stats.log_grant_ratio += step * if over { GRANT_QUANTILE } else { GRANT_QUANTILE - 1.0 };
        }
        if let Some(state) = self.engines.get_mut(&attempt.engine) {
            state.cost_ratio[class].add_sample(clipped, estimate, SAMPLE_WEIGHT);
            state.slowdown.add_sample(thread_time, work, SAMPLE_WEIGHT);
            state.debt[class] = (state.debt[class] + clipped - attempt.charged_work).max(0.0);
        }
        self.adjust_thread_limits(attempt.engine);
    }

    /// Estimates the work where engines do not report it: the estimate times the smallest ratio of
    /// `thread_time` (latency × threads) to the estimate. The latency alone would make a slow engine's
    /// queries look costly and the engine itself as fast as ever. Estimates are assumed to be at least `1 /
    /// MAX_BEST_SLOWDOWN` of the work.
    fn work_from_latency(&mut self, request: &Request, thread_time: f64) -> f64 {
        let estimate = self.estimated_work(request);
        let max_ratio = if request.cost > 0 { MAX_BEST_SLOWDOWN } else { f64::INFINITY };
        let stats = &mut self.class_stats[request.class.0];
        let max_sample =
            MAX_SAMPLE_FACTOR * estimate * stats.best_latency_ratio.unwrap_or(thread_time / estimate);
        stats.latency_ratio.add_sample(thread_time.min(max_sample), estimate, SAMPLE_WEIGHT);
        let ratio = stats.latency_ratio.value().unwrap_or(1.0).min(max_ratio);
        let has_samples = stats.latency_ratio.samples > PRIOR_SAMPLES / 2.0;
        let best = stats.best_latency_ratio.filter(|_| has_samples).unwrap_or(ratio);
        let best = ratio.min(best * (1.0 + SAMPLE_WEIGHT / 100.0));
        stats.best_latency_ratio = Some(best);
        estimate * best
    }
}
