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
        let mut gateway = Gateway::with_initial_state(settings, seed);
        gateway.threads_per_core = THREADS_PER_CORE;
        gateway.best_slowdown = BEST_MOST;
        gateway.class_stats.iter_mut().for_each(|l| l.log_grant_ratio = GRANT_START.ln());
        gateway
    }

    /// Decides on one event at the time `now`; what is to be done is added to `out`, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.timer_set && now > self.now + STALL {
            self.resumed_at = now;
        }
        self.now = self.now.max(now);
        // Most events of a large fleet are ticks: they go by what the last other event found.
        if !matches!(event, Event::Elapsed(_)) {
            self.refresh_fleet_totals();
        }
        match event {
            Event::Engines { kind, entries } => self.on_engine_list(kind, entries, out),
            Event::Request(request) => self.accept(request, false, out),
            Event::Guest(request) => self.accept(request, true, out),
            Event::AdmitFractions { own, guests, min_retry_after } => {
                (self.admit_fractions, self.min_retry_after) = ([own, guests], min_retry_after)
            }
            Event::Adopted { request, attempts, out: sent } => self.adopt(request, attempts, sent, out),
            Event::Lapsed(id) => self.close_request(id, out),
            Event::Answer(answer) => self.on_answer(answer, out),
            Event::Note { id, attempt, note } => self.on_note(id, attempt, note, out),
            Event::Streaming(id) => {
                self.open_requests.get_mut(&id).into_iter().for_each(|o| o.state = RequestState::Streaming)
            }
            Event::Probed { engine, ok, load } => {
                self.record_load(engine, load);
                self.on_probe_result(engine, ok, out)
            }
            Event::FleetShare(part) => self.assigned_share = Some(clamp_finite(part, 1e-6, 1.0)),
            Event::Rules { classes, tenants, attempts_cap, budget } => {
                let same =
                    |s: &Settings| (s.classes.len(), s.tenants.len()) == (classes.len(), tenants.len());
                if same(&self.settings) {
                    let old = self.settings.clone();
                    self.settings = Settings { classes, tenants, attempts_cap, budget, ..old };
                    self.requeue_disallowed(out);
                }
            }
            Event::Elapsed(TICK_HANDLE) => self.tick(out),
            Event::Elapsed(_) | Event::PeerMessage { .. } => {}
        }
        let still = self.is_idle() && self.settings.list_poll_interval.is_none();
        if !self.timer_set && !still {
            self.timer_set = true;
            out.push(Action::Arm {
                handle: TICK_HANDLE,
                span: if self.any_waiting() { TICK } else { WATCH },
            });
        }
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        self.timer_set = false;
        self.end_hopeless(out);
        self.suspect_silent_engines(out);
        let engines: Vec<EngineId> = self.engines.keys().copied().collect();
        engines.iter().for_each(|&engine| self.start_trial(engine, out));
        self.engines_with_queue().into_iter().for_each(|engine| self.start_queued(engine, out));
        // At a full fleet, the usual case in which lines last, no engine need be asked what it could take.
        let movable = |&(_, id): &(Micros, RequestId)| !self.fleet_is_full(&self.open_requests[&id].request);
        if self.engines.values().filter_map(|state| state.queue.first()).any(movable) {
            engines.iter().for_each(|&engine| self.steal_work(engine, out));
        }
        self.key_queues
            .keys()
            .cloned()
            .collect::<Vec<_>>()
            .iter()
            .for_each(|key| self.advance_key(Some(key), out));
        self.housekeep(out);
    }

    /// Where the list comes only when asked for, asks in good time; a missing answer is not awaited for ever.
    fn housekeep(&mut self, out: &mut Vec<Action>) {
        self.drop_old(FORGET);
        let (span, at) = (self.settings.list_poll_interval, self.list_requested_at);
        if span.zip(at).is_some_and(|(span, at)| self.now >= at.saturating_add(span / 3)) {
            self.list_requested_at = Some(self.now);
            out.push(Action::FetchList);
        }
    }
}
