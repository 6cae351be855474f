//! The decisions of the module. Their interface (events, actions and plain data) is `src/api.rs`.
//!
//! A request passes `accept` and `place` into the queue of an engine, which is ordered by soft deadline.
//! `start_queued` takes it from there, within the limits of threads and memory and if `check_dispatch` allows
//! it, and `send`s it. After `on_answer` it is over, placed again or ended by `end_unserved`. Periodic work
//! is done by `tick`.

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
    /// Creates a gateway without engines or requests. `seed` determines all its random decisions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut gateway = Gateway::with_initial_state(settings, seed);
        gateway.threads_per_core = INITIAL_THREADS_PER_CORE;
        gateway.best_slowdown = MAX_BEST_SLOWDOWN;
        gateway.class_stats.iter_mut().for_each(|stats| stats.log_grant_ratio = INITIAL_GRANT_RATIO.ln());
        gateway
    }

    /// Decides on one event at the time `now` and appends the resulting actions to `out`, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.timer_set && now > self.now + STALL_US {
            self.resumed_at = now;
        }
        self.now = self.now.max(now);
        // In a large fleet most events are ticks. To save time they use the totals of the last other event.
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
            Event::Adopted { request, attempts, in_flight } => self.adopt(request, attempts, in_flight, out),
            Event::Lapsed(id) => self.close_request(id, out),
            Event::Answer(answer) => self.on_answer(answer, out),
            Event::Note { id, attempt, note } => self.on_note(id, attempt, note, out),
            Event::Streaming(id) => {
                let open = self.open_requests.get_mut(&id);
                open.into_iter().for_each(|open| open.state = RequestState::Streaming)
            }
            Event::Probed { engine, ok, load } => {
                self.record_load(engine, load);
                self.on_probe_result(engine, ok, out)
            }
            Event::FleetShare(share) => self.assigned_share = Some(clamp_finite(share, 1e-6, 1.0)),
            Event::Rules { classes, tenants, attempts_cap, budget } => {
                let old = self.settings.clone();
                if (old.classes.len(), old.tenants.len()) == (classes.len(), tenants.len()) {
                    self.settings = Settings { classes, tenants, attempts_cap, budget, ..old };
                    self.requeue_disallowed(out);
                }
            }
            Event::Elapsed(TICK_HANDLE) => self.tick(out),
            Event::Elapsed(_) | Event::PeerMessage { .. } => {}
        }
        let needs_tick = !self.is_idle() || self.settings.list_poll_interval.is_some();
        if !self.timer_set && needs_tick {
            self.timer_set = true;
            let span = if self.any_waiting() { TICK_US } else { IDLE_TICK_US };
            out.push(Action::Arm { handle: TICK_HANDLE, span });
        }
    }

    /// Does the periodic work: ends requests that can't be served in time, checks engines, starts queued
    /// requests and drops old records.
    fn tick(&mut self, out: &mut Vec<Action>) {
        self.timer_set = false;
        self.end_hopeless(out);
        self.suspect_silent_engines(out);
        let engines: Vec<EngineId> = self.engines.keys().copied().collect();
        engines.iter().for_each(|&engine| self.start_trial(engine, out));
        self.engines_with_queue().into_iter().for_each(|engine| self.start_queued(engine, out));
        // Queues mostly last because the fleet is full. Then no engine can take over a request from another
        // one, and the search is skipped.
        let movable = |&(_, id): &(Micros, RequestId)| !self.fleet_is_full(&self.open_requests[&id].request);
        if self.engines.values().filter_map(|state| state.queue.first()).any(movable) {
            engines.iter().for_each(|&engine| self.steal_work(engine, out));
        }
        let keys: Vec<OrderKey> = self.key_queues.keys().cloned().collect();
        keys.iter().for_each(|key| self.advance_key(Some(key), out));
        self.housekeep(out);
    }

    /// Drops old records and requests the list of engines well before it is due, where it is sent only on
    /// request.
    fn housekeep(&mut self, out: &mut Vec<Action>) {
        self.drop_old(UNANSWERED_RETENTION_US);
        let (interval, requested_at) = (self.settings.list_poll_interval, self.list_requested_at);
        let is_due = |(interval, at): (Micros, Micros)| self.now >= at.saturating_add(interval / 3);
        if interval.zip(requested_at).is_some_and(is_due) {
            self.list_requested_at = Some(self.now);
            out.push(Action::FetchList);
        }
    }
}
