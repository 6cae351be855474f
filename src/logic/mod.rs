//! All decisions of violetward. Their interface (types, events, actions) is the file `src/api.rs`.
//!
//! A request's course: `take`, `place`, an engine's line (earliest deadline first), `pump` (thread bound,
//! memory, `guard`), `send`, `answered`; then it is served, placed again or `end`ed. A tick does the rest.

mod attempts;
mod bound;
mod guard;
mod health;
mod learn;
mod place;
mod take;
mod tuned;

use crate::api::*;
use crate::state::*;
use tuned::*;

impl Gateway {
    /// A gateway that knows its settings and nothing else. `seed` feeds all its random draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut gateway = Gateway::empty(settings, seed);
        gateway.width = THREADS_PER_CORE;
        gateway.best_slow = BEST_MOST;
        gateway.learned.iter_mut().for_each(|l| l.grant = GRANT_START.ln());
        gateway
    }

    /// Decides on one event at the time `now`; what is to be done is added to `out`, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.ticking && now > self.now + STALL {
            self.awake = now;
        }
        self.now = self.now.max(now);
        // Most events of a large fleet are ticks: they go by what the last other event found.
        if !matches!(event, Event::Elapsed(_)) {
            self.look();
        }
        match event {
            Event::Engines { kind, entries } => self.listed(kind, entries, out),
            Event::Request(request) => self.take(request, false, out),
            Event::Guest(request) => self.take(request, true, out),
            Event::AdmitFractions { own, guests, min_retry_after } => {
                (self.kept, self.back) = ([own, guests], min_retry_after)
            }
            Event::Adopted { request, attempts, out: sent } => self.adopt(request, attempts, sent, out),
            Event::Lapsed(id) => self.forget(id, out),
            Event::Answer(answer) => self.answered(answer, out),
            Event::Note { id, attempt, note } => self.noted(id, attempt, note, out),
            Event::Streaming(id) => self.open.get_mut(&id).into_iter().for_each(|o| o.place = Place::Bound),
            Event::Probed { engine, ok, load } => {
                self.reported(engine, load);
                self.probed(engine, ok, out)
            }
            Event::FleetShare(part) => self.part = Some(finite(part, 1e-6, 1.0)),
            Event::Rules { classes, tenants, attempts_cap, budget } => {
                let same =
                    |s: &Settings| (s.classes.len(), s.tenants.len()) == (classes.len(), tenants.len());
                if same(&self.settings) {
                    let old = self.settings.clone();
                    self.settings = Settings { classes, tenants, attempts_cap, budget, ..old };
                    self.replace_barred(out);
                }
            }
            Event::Elapsed(TICK_HANDLE) => self.tick(out),
            Event::Elapsed(_) | Event::PeerMessage { .. } => {}
        }
        let still = self.is_still() && self.settings.list_poll_interval.is_none();
        if !self.ticking && !still {
            self.ticking = true;
            out.push(Action::Arm { handle: TICK_HANDLE, span: if self.any_line() { TICK } else { WATCH } });
        }
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        self.ticking = false;
        self.end_due(out);
        self.find_silent(out);
        let engines: Vec<EngineId> = self.engines.keys().copied().collect();
        engines.iter().for_each(|&engine| self.trial(engine, out));
        self.lines().into_iter().for_each(|engine| self.pump(engine, out));
        // At a full fleet, the usual case in which lines last, no engine need be asked what it could take.
        let movable = |&(_, id): &(Micros, RequestId)| !self.fleet_is_full(&self.open[&id].request);
        if self.engines.values().filter_map(|e| e.line.first()).any(movable) {
            engines.iter().for_each(|&engine| self.fetch_work(engine, out));
        }
        self.keys.keys().cloned().collect::<Vec<_>>().iter().for_each(|key| self.advance(Some(key), out));
        self.tidy(out);
    }

    /// Where the list comes only when asked for, asks in good time; a missing answer is not awaited for ever.
    fn tidy(&mut self, out: &mut Vec<Action>) {
        self.drop_old(FORGET);
        let (span, at) = (self.settings.list_poll_interval, self.asked_at);
        if span.zip(at).is_some_and(|(span, at)| self.now >= at.saturating_add(span / 3)) {
            self.asked_at = Some(self.now);
            out.push(Action::FetchList);
        }
    }
}
