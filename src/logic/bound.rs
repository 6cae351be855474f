//! Debt and its drain, the thread bound, memory; of the whole fleet too: a part of one engine says little
//! where gateways are many.

use super::*;

impl Gateway {
    pub(super) fn fleet_rate(&self) -> f64 {
        let slow = self.slow.leaning(THREADS_PER_CORE, 3.0).max(1.0);
        (self.held().0.max(self.fleet_cores * self.width) / slow).max(0.01)
    }

    /// Many gateways that each may start one query on every engine would flood all of them: what runs
    /// anywhere is bounded by the share of the fleet. One query may always run, and one may reach over. What
    /// earns more for its work reaches further: else one heavy query would turn away all light ones for long.
    pub(super) fn fleet_is_full(&self, request: &Request) -> bool {
        let held = self.held();
        let reach = finite(self.density(request) / self.usual_density(), REACH[0], REACH[1]);
        let memory = self.fleet_memory * MEMORY_PART * (self.width / THREADS_PER_CORE).max(1.0);
        let short = self.settings.grants && memory > 0.0 && held.1 >= memory * reach;
        held.0 > 0.0 && (short || held.0 >= self.fleet_cores * self.width * reach)
    }

    pub(super) fn fleet_wait(&self, open: &Open) -> f64 {
        if !self.fleet_is_full(&open.request) {
            return 0.0;
        }
        self.engines.values().map(|e| self.ahead(open, e)).sum::<f64>() / self.fleet_rate()
    }

    /// A class's part of the drain, by its recent use.
    pub(super) fn use_of(&self, class: usize) -> f64 {
        let all: f64 = self.learned.iter().map(|l| l.asked).sum();
        (self.learned[class].asked / all.max(1.0)).max(LEAST_USE)
    }

    /// This gateway's part of the fleet, as it is told; even where nobody tells.
    pub(super) fn share(&self) -> f64 {
        self.part.unwrap_or(self.even())
    }

    pub(super) fn even(&self) -> f64 {
        1.0 / f64::from(self.settings.gateways.max(1))
    }

    /// How far an engine keeps up with its peers, and with its own warm self.
    pub(super) fn speed(&self, e: &Engine) -> f64 {
        finite(self.usual_slow / e.slow.leaning(self.usual_slow, LEAN), 0.05, 1.0) * self.warmth(e)
    }

    /// What a cold engine can do for sure, against a warm one.
    pub(super) fn warmth(&self, e: &Engine) -> f64 {
        let least = finite(self.settings.cold_capacity, 0.05, 1.0);
        self.cold_age(e).map_or(1.0, |age| least + (1.0 - least) * COLD_RAMP * age)
    }

    /// Once for each event, what all choices share: usual slowness, and an even share of cores and memory.
    pub(super) fn look(&mut self) {
        self.usual_slow = median(self.engines.values().filter_map(|e| e.slow.get())).unwrap_or(1.0).max(0.1);
        let used = self.engines.values().filter(|e| e.is_well());
        self.fleet_cores =
            used.map(|e| self.cores(e) * self.speed(e)).sum::<f64>() * self.share() * self.lift();
        let up = self.engines.values().filter(|e| e.entry.listed == Listed::Up);
        self.fleet_memory = up.map(|e| self.memory(e)).sum::<f64>() * self.share() * self.lift();
    }

    /// Where engines report room, others leave some of their shares: this gateway may take more than its own.
    fn lift(&self) -> f64 {
        if self.settings.load_reports == LoadReports::None || self.usual_load == 0.0 {
            return 1.0;
        }
        1.0 + LIFT * (1.0 - self.usual_load / ROOM).max(0.0)
    }

    /// This gateway's part of an engine: at least the widest query, since the fleet's bound is the share.
    fn part(&self, e: &Engine) -> f64 {
        self.share().max((self.widest() / self.cores(e)).min(1.0))
    }

    /// Work an engine does for this gateway in a microsecond.
    pub(super) fn drain_rate(&self, e: &Engine) -> f64 {
        let part = (self.part(e) * e.width / THREADS_PER_CORE).min(1.0);
        (self.cores(e) * part * self.speed(e)).max(0.01)
    }

    fn bound(&self, e: &Engine) -> f64 {
        self.cores(e) * self.part(e) * e.width * self.warmth(e)
    }

    /// Lowers the debts of an engine by what has drained, split by use among the buckets that hold any.
    pub(super) fn drain(&mut self, engine: EngineId) {
        let Some(e) = self.engines.get(&engine) else { return };
        let amount = self.drain_rate(e) * (self.now - e.drained_at) as f64;
        let uses: Vec<f64> = (0..e.debt.len()).map(|c| self.use_of(c)).collect();
        let e = self.engines.get_mut(&engine).expect("looked up above");
        let all: f64 = uses.iter().zip(&e.debt).filter(|(_, &d)| d > 0.0).map(|(u, _)| u).sum();
        for (class, debt) in e.debt.iter_mut().enumerate() {
            let drained = *debt - amount * uses[class] / all.max(LEAST_USE);
            *debt = drained.max(STANDING * e.standing[class]).max(0.0);
        }
        e.drained_at = self.now;
        e.ghosts.retain(|g| g.0 > self.now);
    }

    /// Room under the thread bound; where this gateway runs nothing, one query may start.
    pub(super) fn fits(&self, e: &Engine, threads: f64) -> bool {
        let held = e.held().0;
        held == 0.0 || held + threads <= self.bound(e)
    }

    pub(super) fn has_memory(&self, e: &Engine, grant: f64) -> bool {
        let all = self.memory(e);
        let part = (self.part(e) * (e.width / THREADS_PER_CORE).max(1.0)).min(1.0);
        let free = all <= 0.0 || e.threads == 0.0 || !self.settings.grants;
        free || e.held().1 + grant <= all * part
    }

    /// Memory for a query: what covers most needs of its class at this estimate.
    pub(super) fn grant(&self, request: &Request, e: &Engine) -> f64 {
        let all = self.memory(e);
        let most = if all > 0.0 { all * finite(self.settings.grant_cap, 0.01, 1.0) } else { 1e9 };
        finite(request.memory_mb * self.learned[request.class.0].grant.exp(), 0.0, most)
    }

    /// Widens the bounds while queries take little longer than at best, else cuts: each by its own slowness.
    pub(super) fn steer(&mut self, engine: EngineId) {
        let (now, best) = (self.now, self.best_slow);
        let most = WIDEST / self.share();
        let step = |width: &mut f64, slow: f64, pressed: &mut bool, stepped_at: &mut Micros| {
            if now < *stepped_at + STEP_EVERY {
                return;
            }
            if slow < WIDEN_UNDER * best && *pressed {
                *width = (*width * WIDEN).min(most);
            } else if slow > CUT_OVER * best {
                *width = (*width * (CUT_OVER * best / slow).clamp(CUT_MOST, CUT)).max(NARROWEST);
            }
            *stepped_at = now;
            *pressed = false;
        };
        let usual = self.slow.get().unwrap_or(1.0);
        step(&mut self.width, usual, &mut self.pressed, &mut self.stepped_at);
        let Some(e) = self.engines.get_mut(&engine) else { return };
        let slow = e.slow.leaning(usual, LEAN / 2.0);
        step(&mut e.width, slow, &mut e.pressed, &mut e.stepped_at);
    }
}
