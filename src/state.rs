//! The state that the decision module keeps between events, and its bookkeeping. Decisions and their
//! constants are in `src/logic`.
//!
//! Work, latencies and durations are in microseconds, also where they are fractional; work is the time on one
//! thread. Memory is in megabytes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::*;

/// The ratio of two exponentially decayed averages.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayedRatio {
    numerator: f64,
    denominator: f64,
    /// The decayed number of samples, which approaches `1 / weight`.
    pub samples: f64,
}

impl DecayedRatio {
    pub fn add_sample(&mut self, numerator: f64, denominator: f64, weight: f64) {
        self.numerator += numerator - weight * self.numerator;
        self.denominator += denominator - weight * self.denominator;
        self.samples += 1.0 - weight * self.samples;
    }

    pub fn value(&self) -> Option<f64> {
        (self.denominator > 0.0).then(|| self.numerator / self.denominator)
    }

    /// The ratio averaged with `prior`, which counts as much as `prior_samples` samples.
    pub fn blended_with(&self, prior: f64, prior_samples: f64) -> f64 {
        (self.value().unwrap_or(prior) * self.samples + prior * prior_samples)
            / (self.samples + prior_samples)
    }
}

/// Statistics of a class over all engines.
#[derive(Clone, Default)]
pub(crate) struct ClassStats {
    /// Actual work divided by estimated work.
    pub cost_ratio: DecayedRatio,
    /// Latency × threads divided by actual work.
    pub slowdown: DecayedRatio,
    /// The average work of a query.
    pub mean_work: DecayedRatio,
    /// Where engines do not report the work: latency × threads divided by the estimate.
    pub latency_ratio: DecayedRatio,
    /// The smallest value of `latency_ratio`.
    pub best_latency_ratio: Option<f64>,
    /// The natural logarithm of the memory granted divided by the memory estimated.
    pub log_grant_ratio: f64,
    /// Decayed averages of the work and the worth requested, per request of any class.
    pub demanded_work: f64,
    pub demanded_worth: f64,
}

pub(crate) struct EngineState {
    pub entry: EngineEntry,
    /// When its connections last broke, so that its process may have restarted; 0 if the list has reported a
    /// newer start since.
    pub disconnected_at: Micros,
    /// The debt of each class: predicted work sent to or queued for this engine that has not drained yet, as
    /// the level of a leaky bucket.
    pub debt: Vec<f64>,
    /// The time up to which the debt has been drained.
    pub drained_at: Micros,
    /// The predicted work of each class that is queued for or in flight on this engine.
    pub unfinished_work: Vec<f64>,
    /// Actual work divided by estimated work, by class.
    pub cost_ratio: Vec<DecayedRatio>,
    pub slowdown: DecayedRatio,
    /// The limit of threads for each core of this gateway's share of the engine.
    pub threads_per_core: f64,
    pub limit_checked_at: Micros,
    /// A request had to wait for this engine since the limit was last adjusted.
    pub limit_reached: bool,
    /// The predicted work of the requests in `queue`.
    pub queued_work: f64,
    /// Requests that wait for this engine, earliest soft deadline first.
    pub queue: BTreeSet<(Micros, RequestId)>,
    /// Threads and memory of this gateway's attempts in flight on the engine.
    pub threads: f64,
    pub memory_mb: f64,
    /// Attempts that timed out but may still run: until when they count, their threads and memory.
    pub abandoned: Vec<(Micros, f64, f64)>,
    /// The groups of tables that were last read here, latest first.
    pub warm_groups: VecDeque<GroupId>,
    pub last_heard_at: Micros,
    /// The load that it last reported, and when the report came.
    pub reported_load: Option<(f64, Micros)>,
    /// The decayed fraction of attempts that failed.
    pub failure_rate: f64,
    pub probe_in_flight: bool,
    /// It has been silent, and the result of the probe in flight decides whether it is quarantined.
    pub suspected: bool,
    /// Set while the engine gets no requests because it seems faulty.
    pub quarantine: Option<Quarantine>,
    /// Recent sends, which count against its capacity if it turns out to be cold: time, weight and class.
    pub recent_sends: VecDeque<(Micros, f64, usize)>,
}

impl EngineState {
    pub fn new(entry: EngineEntry, classes: usize, threads_per_core: f64, now: Micros) -> Self {
        EngineState {
            entry,
            disconnected_at: 0,
            debt: vec![0.0; classes],
            drained_at: now,
            unfinished_work: vec![0.0; classes],
            cost_ratio: vec![DecayedRatio::default(); classes],
            slowdown: DecayedRatio::default(),
            threads_per_core,
            limit_checked_at: now,
            limit_reached: false,
            queued_work: 0.0,
            queue: BTreeSet::new(),
            threads: 0.0,
            memory_mb: 0.0,
            abandoned: Vec::new(),
            warm_groups: VecDeque::new(),
            last_heard_at: now,
            reported_load: None,
            failure_rate: 0.0,
            probe_in_flight: false,
            suspected: false,
            quarantine: None,
            recent_sends: VecDeque::new(),
        }
    }

    /// Listed as up and not quarantined.
    pub fn is_usable(&self) -> bool {
        self.quarantine.is_none() && self.entry.listed == Listed::Up
    }

    pub fn total_debt(&self) -> f64 {
        self.debt.iter().sum()
    }

    /// Threads and memory held here by attempts in flight and by abandoned ones.
    pub fn held_resources(&self) -> (f64, f64) {
        self.abandoned.iter().fold((self.threads, self.memory_mb), |sum, a| (sum.0 + a.1, sum.1 + a.2))
    }

    pub fn charge(&mut self, class: ClassId, work: f64) {
        self.debt[class.0] += work;
        self.unfinished_work[class.0] += work;
    }

    pub fn discharge(&mut self, class: ClassId, work: f64) {
        self.debt[class.0] = (self.debt[class.0] - work).max(0.0);
        self.unfinished_work[class.0] = (self.unfinished_work[class.0] - work).max(0.0);
    }

    /// Records that an attempt starts here. The last `max_warm_groups` groups read here are remembered.
    pub fn attempt_started(&mut self, attempt: &Attempt, max_warm_groups: usize) {
        self.threads += attempt.threads;
        self.memory_mb += attempt.memory_mb;
        self.warm_groups.retain(|&g| g != attempt.request.group);
        self.warm_groups.push_front(attempt.request.group);
        self.warm_groups.truncate(max_warm_groups);
    }

    /// Records that an attempt has ended here.
    pub fn attempt_finished(&mut self, attempt: &Attempt) {
        let unfinished = &mut self.unfinished_work[attempt.request.class.0];
        *unfinished = (*unfinished - attempt.charged_work).max(0.0);
        self.threads = (self.threads - attempt.threads).max(0.0);
        self.memory_mb = (self.memory_mb - attempt.memory_mb).max(0.0);
    }

    /// Records that its connections broke: its process may have restarted, even if the list does not say so
    /// yet.
    pub fn connection_lost(&mut self, now: Micros) {
        self.disconnected_at = now;
        self.warm_groups.clear();
        self.reported_load = None;
        self.slowdown = DecayedRatio::default();
    }

    /// Discards what was known of its previous process.
    pub fn process_restarted(&mut self) {
        self.warm_groups.clear();
        self.failure_rate = 0.0;
        self.quarantine = None;
        self.reported_load = None;
        self.slowdown = DecayedRatio::default();
    }
}

/// The state of a quarantined engine, which gets back into use by successful trials.
pub(crate) struct Quarantine {
    /// Successful trials in a row.
    pub successes: u32,
    /// The time between two trials.
    pub interval: Micros,
    pub next_trial_at: Micros,
    /// The request that is sent as the current trial.
    pub trial_request: Option<RequestId>,
    /// A request may be sent to it as a trial.
    pub accepts_trial: bool,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum RequestState {
    /// Not assigned to an engine; waits for the turn of its order key.
    Waiting,
    /// In the queue of an engine.
    Queued(EngineId),
    /// Its latest attempt is in flight.
    InFlight,
    /// Its answer is being streamed to the client.
    Streaming,
}

/// A request that is not over.
pub(crate) struct OpenRequest {
    pub request: Request,
    pub state: RequestState,
    /// When its worth falls to that of a late answer.
    pub soft_deadline: Micros,
    /// It is beyond its tenant's quota.
    pub over_quota: bool,
    /// The number of attempts made so far.
    pub attempts: u32,
    /// The first attempt that may have run: its number, zone and cell, and when it was sent.
    pub first_uncertain: Option<(u32, ZoneId, CellId, Micros)>,
    /// It was taken over from another gateway.
    pub adopted: bool,
    /// Other gateways made attempts of which nothing is known: each may have run, on any engine, at any time.
    pub has_unknown_attempts: bool,
    /// The engine of the last attempt that ended without completing the request.
    pub last_failed_on: Option<EngineId>,
    /// The predicted work that it has added to the debt of the engine it is queued for.
    pub charged_work: f64,
}

impl OpenRequest {
    pub fn new(request: Request, soft_deadline: Micros, over_quota: bool) -> Self {
        OpenRequest {
            request,
            state: RequestState::Waiting,
            soft_deadline,
            over_quota,
            attempts: 0,
            first_uncertain: None,
            adopted: false,
            has_unknown_attempts: false,
            last_failed_on: None,
            charged_work: 0.0,
        }
    }

    pub fn may_have_run(&self) -> bool {
        self.has_unknown_attempts || self.first_uncertain.is_some()
    }

    pub fn waits(&self) -> bool {
        matches!(self.state, RequestState::Waiting | RequestState::Queued(_))
    }
}

/// An attempt in flight.
pub(crate) struct Attempt {
    pub engine: EngineId,
    pub request: Request,
    pub sent_at: Micros,
    /// When this gateway took it over, if another one sent it.
    pub adopted_at: Option<Micros>,
    pub timeout_at: Micros,
    /// The predicted work that it has added to the debt of its engine.
    pub charged_work: f64,
    /// The memory granted to it.
    pub memory_mb: f64,
    pub threads: f64,
    /// How long it is expected to take, in microseconds.
    pub expected_duration: f64,
    pub cancelled: bool,
    /// It waits in the engine's queue for memory.
    pub waits_for_memory: bool,
    /// The first progress note: its time and the fraction done.
    pub first_progress: Option<(Micros, f64)>,
}

impl Attempt {
    /// An attempt of `open` on `engine`. `period` is its start and time-out, `holds` its threads and granted
    /// memory.
    pub fn new(
        open: &OpenRequest,
        engine: EngineId,
        period: (Micros, Micros),
        holds: (f64, f64),
        expected_duration: f64,
    ) -> Self {
        Attempt {
            engine,
            request: open.request.clone(),
            sent_at: period.0,
            adopted_at: None,
            timeout_at: period.1,
            charged_work: open.charged_work,
            memory_mb: holds.1,
            threads: holds.0,
            expected_duration,
            cancelled: false,
            waits_for_memory: false,
            first_progress: None,
        }
    }

    /// Records a progress note. Returns the remaining time at the pace seen so far, in microseconds; infinity
    /// while the attempt makes no progress and `None` if it can't be estimated.
    pub fn record_note(&mut self, note: Note, now: Micros) -> Option<f64> {
        let done = match note {
            Note::Spills(_) => return None,
            Note::WaitsForLoad => return Some(f64::INFINITY),
            Note::WaitsForMemory => {
                self.waits_for_memory = true;
                return Some(f64::INFINITY);
            }
            Note::Progress(done) => clamp_finite(done, 0.0, 1.0),
        };
        // Time spent waiting for memory does not count: after it, the pace is measured from the first note.
        let start = self.first_progress.or((!self.waits_for_memory).then_some((self.sent_at, 0.0)));
        self.waits_for_memory = false;
        self.first_progress = self.first_progress.or(Some((now, done)));
        let (start_time, start_done) = start?;
        Some((1.0 - done) * now.saturating_sub(start_time) as f64 / (done - start_done).max(1e-6))
    }
}

/// The handle of the timer that drives the periodic work.
pub(crate) const TICK_HANDLE: u64 = 0;

/// The requests of one order key, in the order in which they run.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub queue: VecDeque<RequestId>,
    pub blocked_until: Micros,
}

impl KeyScope {
    /// Whether the engine drops repeats of a request that was first sent to that zone and cell.
    pub(crate) fn covers(self, entry: &EngineEntry, zone: ZoneId, cell: CellId) -> bool {
        match self {
            KeyScope::All => true,
            KeyScope::Zone => entry.zone == zone,
            KeyScope::Cell => entry.cell == cell,
        }
    }
}

/// Whether a request may be sent to an engine.
#[derive(PartialEq)]
pub(crate) enum Verdict {
    Allow,
    /// Possibly later.
    NotNow,
    /// Not to this engine.
    NotHere,
}

/// The decision module of one query gateway. The decisions themselves are in `src/logic`.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) now: Micros,
    pub(crate) rng_state: u64,
    /// The tick timer is set.
    pub(crate) timer_set: bool,
    /// When this process last resumed after a stall.
    pub(crate) resumed_at: Micros,
    /// When the list of engines was last requested.
    pub(crate) list_requested_at: Option<Micros>,
    /// The smallest value of `slowdown`.
    pub(crate) best_slowdown: f64,
    /// The recent slowdown over all engines: latency × threads divided by actual work.
    pub(crate) slowdown: DecayedRatio,
    /// The limit of threads for each core of this gateway's share of the fleet.
    pub(crate) threads_per_core: f64,
    pub(crate) limit_checked_at: Micros,
    /// A request had to wait for the fleet since the limit was last adjusted.
    pub(crate) limit_reached: bool,
    /// The median slowdown of the engines. This and the next two are refreshed by every event except ticks.
    pub(crate) median_slowdown: f64,
    /// Cores and memory of the fleet that this gateway may use.
    pub(crate) usable_cores: f64,
    pub(crate) usable_memory_mb: f64,
    /// The average of recently reported loads over all engines.
    pub(crate) mean_load: f64,
    /// The fraction of the fleet's capacity that the host has assigned to this gateway.
    pub(crate) assigned_share: Option<f64>,
    /// The fractions of own clients' and of guests' requests to admit, by class.
    pub(crate) admit_fractions: [Vec<f64>; 2],
    pub(crate) min_retry_after: Micros,
    pub(crate) class_stats: Vec<ClassStats>,
    /// The token bucket of each tenant, and when it was last refilled.
    pub(crate) tenant_tokens: Vec<(f64, Micros)>,
    pub(crate) engines: BTreeMap<EngineId, EngineState>,
    pub(crate) open_requests: BTreeMap<RequestId, OpenRequest>,
    /// Attempts in flight by request and number.
    pub(crate) in_flight: BTreeMap<(RequestId, u32), Attempt>,
    pub(crate) key_queues: BTreeMap<OrderKey, KeyQueue>,
    /// When requests were accepted, as far back as the window of the attempt budget.
    pub(crate) arrivals: VecDeque<Micros>,
    /// When attempts beyond a request's first were sent, as far back as the window of the attempt budget.
    pub(crate) further_attempts: VecDeque<Micros>,
}

impl Gateway {
    pub(crate) fn with_initial_state(settings: Settings, seed: u64) -> Self {
        Gateway {
            class_stats: vec![ClassStats::default(); settings.classes.len()],
            tenant_tokens: vec![(f64::INFINITY, 0); settings.tenants.len()],
            settings,
            now: 0,
            rng_state: seed,
            timer_set: false,
            resumed_at: 0,
            list_requested_at: None,
            best_slowdown: f64::INFINITY,
            slowdown: DecayedRatio::default(),
            threads_per_core: 1.0,
            limit_checked_at: 0,
            limit_reached: false,
            median_slowdown: 1.0,
            usable_cores: 0.0,
            usable_memory_mb: 0.0,
            mean_load: 0.0,
            assigned_share: None,
            admit_fractions: Default::default(),
            min_retry_after: 0,
            engines: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            arrivals: VecDeque::new(),
            further_attempts: VecDeque::new(),
        }
    }

    pub(crate) fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[request.class.0]
    }

    pub(crate) fn threads(&self, request: &Request) -> f64 {
        f64::from(self.class(request).threads.max(1))
    }

    pub(crate) fn cores(&self, state: &EngineState) -> f64 {
        clamp_finite(self.settings.kinds.get(state.entry.kind.0).map_or(1.0, |k| k.cores), 1.0, 4096.0)
    }

    pub(crate) fn is_in_flight(&self, id: RequestId) -> bool {
        self.in_flight.range((id, 0)..=(id, u32::MAX)).next().is_some()
    }

    /// The next number of the seeded random generator (splitmix64).
    pub(crate) fn next_random(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix_bits(self.rng_state)
    }

    pub(crate) fn memory_mb(&self, state: &EngineState) -> f64 {
        self.settings.kinds.get(state.entry.kind.0).map_or(0.0, |k| k.memory_mb)
    }

    pub(crate) fn quarantine_mut(&mut self, engine: EngineId) -> Option<&mut Quarantine> {
        self.engines.get_mut(&engine)?.quarantine.as_mut()
    }

    /// Whether the request would have to wait on the engine for a load that holds its group of tables. Loads
    /// wait for each other, and so do the classes with [`Class::waits_for_loads`].
    pub(crate) fn is_blocked_by_load(&self, open: &OpenRequest, engine: EngineId) -> bool {
        let class = self.class(&open.request);
        let waits = class.is_load || class.waits_for_loads;
        let group = open.request.group;
        let is_load = |a: &Attempt| self.class(&a.request).is_load;
        let holds = |a: &Attempt| a.engine == engine && a.request.group == group && is_load(a);
        waits && self.in_flight.values().any(holds)
    }

    /// The fraction of [`Settings::cold_span`] that has passed since the engine started, or may have
    /// restarted; `None` if it is warm.
    pub(crate) fn warm_up_progress(&self, state: &EngineState) -> Option<f64> {
        let start = state.entry.came_up.max(state.disconnected_at);
        let span = self.settings.cold_span;
        let age = self.now.saturating_sub(start);
        (start > 0 && age < span).then(|| age as f64 / span as f64)
    }

    pub(crate) fn is_cold(&self, state: &EngineState) -> bool {
        self.warm_up_progress(state).is_some()
    }

    /// The largest number of threads of a query of any class.
    pub(crate) fn max_query_threads(&self) -> f64 {
        f64::from(self.settings.classes.iter().map(|c| c.threads).max().unwrap_or(1).max(1))
    }

    /// Puts a request into an engine's queue and adds its predicted work to the engine's debt.
    pub(crate) fn enqueue(&mut self, id: RequestId, engine: EngineId, work: f64) {
        let (Some(open), Some(state)) = (self.open_requests.get_mut(&id), self.engines.get_mut(&engine))
        else {
            return;
        };
        open.state = RequestState::Queued(engine);
        open.charged_work = work;
        state.charge(open.request.class, work);
        state.queued_work += work;
        state.queue.insert((open.soft_deadline, id));
    }

    /// Takes a request out of the queue that it waits in and subtracts its work from the engine's debt.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let RequestState::Queued(engine) = open.state else { return };
        open.state = RequestState::Waiting;
        if let Some(state) = self.engines.get_mut(&engine) {
            state.queue.remove(&(open.soft_deadline, id));
            state.queued_work = (state.queued_work - open.charged_work).max(0.0);
            state.discharge(open.request.class, open.charged_work);
        }
    }

    /// Records that an attempt is in flight. `cold_weight` is the work that it counts for on a cold engine,
    /// if this gateway sent it.
    pub(crate) fn record_send(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        cold_weight: Option<f64>,
        max_warm_groups: usize,
    ) {
        let (now, sent_at) = (self.now, attempt.sent_at);
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let Some(state) = self.engines.get_mut(&attempt.engine) else { return };
        state.queue.remove(&(open.soft_deadline, id));
        state.queued_work = (state.queued_work - open.charged_work).max(0.0);
        state.attempt_started(&attempt, max_warm_groups);
        state.recent_sends.extend(cold_weight.map(|weight| (now, weight, open.request.class.0)));
        self.further_attempts.extend((open.attempts > 0 && attempt.adopted_at.is_none()).then_some(now));
        open.state = RequestState::InFlight;
        open.charged_work = 0.0;
        let uncertain = (open.attempts, state.entry.zone, state.entry.cell, sent_at);
        open.first_uncertain = open.first_uncertain.or(Some(uncertain));
        self.in_flight.insert((id, open.attempts), attempt);
        open.attempts += 1;
    }

    /// Adds a request to the averages of demanded work and worth, which are split by class.
    pub(crate) fn record_demand(&mut self, class: usize, work: f64, worth: f64, weight: f64) {
        for (i, stats) in self.class_stats.iter_mut().enumerate() {
            let demanded = if i == class { (work, worth) } else { (0.0, 0.0) };
            stats.demanded_work += weight * (demanded.0 - stats.demanded_work);
            stats.demanded_worth += weight * (demanded.1 - stats.demanded_worth);
        }
    }

    /// Threads and memory that this gateway holds on all engines.
    pub(crate) fn held_resources(&self) -> (f64, f64) {
        let held = self.engines.values().map(EngineState::held_resources);
        held.fold((0.0, 0.0), |sum, h| (sum.0 + h.0, sum.1 + h.1))
    }

    pub(crate) fn fleet_debt(&self) -> f64 {
        self.engines.values().map(EngineState::total_debt).sum()
    }

    pub(crate) fn any_waiting(&self) -> bool {
        self.open_requests.values().any(OpenRequest::waits)
    }

    /// Inserts an adopted request into the queue of its order key: first if its attempt is `in_flight`,
    /// otherwise before all requests that have only waited here, since another gateway accepted it before
    /// them. Whether the key is still blocked by an earlier attempt is not known here, so it is blocked
    /// again.
    pub(crate) fn enqueue_adopted_for_key(&mut self, id: RequestId, key: &OrderKey, in_flight: bool) {
        let key_queue = self.key_queues.entry(key.clone()).or_default();
        let stays_ahead =
            |id: &&RequestId| self.open_requests.get(id).is_none_or(|o| o.adopted || o.attempts > 0);
        let position = if in_flight { 0 } else { key_queue.queue.iter().take_while(stays_ahead).count() };
        let displaced = key_queue.queue.front().copied().filter(|_| position == 0);
        key_queue.queue.insert(position, id);
        displaced.into_iter().for_each(|displaced| self.dequeue(displaced));
        self.block_key(Some(key));
    }

    /// Removes requests that are over from the front of a key's queue. Returns the first remaining request if
    /// it waits for its turn and has no attempt in flight.
    pub(crate) fn next_for_key(&mut self, key: &OrderKey) -> Option<RequestId> {
        loop {
            let key_queue = self.key_queues.get(key)?;
            let Some(&first) = key_queue.queue.front() else {
                if self.now >= key_queue.blocked_until {
                    self.key_queues.remove(key);
                }
                return None;
            };
            if self.open_requests.contains_key(&first) || self.is_in_flight(first) {
                let open = self.open_requests.get(&first);
                let waiting = open.is_some_and(|o| o.state == RequestState::Waiting);
                return (waiting && !self.is_in_flight(first)).then_some(first);
            }
            self.key_queues.get_mut(key)?.queue.pop_front();
        }
    }

    /// The average failure rate of the other engines.
    pub(crate) fn failure_rate_elsewhere(&self, engine: EngineId) -> f64 {
        let others = self.engines.iter().filter(|(&id, _)| id != engine);
        others.map(|(_, state)| state.failure_rate).sum::<f64>() / (self.engines.len() as f64 - 1.0).max(1.0)
    }

    /// The average number of threads of a query in flight, estimated from the recent demand of each class.
    pub(crate) fn mean_threads(&self) -> f64 {
        let work: f64 = self.class_stats.iter().map(|stats| stats.demanded_work).sum();
        let classes = self.class_stats.iter().zip(&self.settings.classes);
        let duration: f64 =
            classes.map(|(stats, class)| stats.demanded_work / f64::from(class.threads.max(1))).sum();
        clamp_finite(work / duration, 1.0, 1e3)
    }

    /// The worth per unit of predicted work, averaged over the recent demand.
    pub(crate) fn mean_worth_density(&self) -> f64 {
        let (worth, work) = self
            .class_stats
            .iter()
            .fold((0.0, 0.0), |sum, stats| (sum.0 + stats.demanded_worth, sum.1 + stats.demanded_work));
        clamp_finite(worth / work, 1e-12, 1e12)
    }

    /// The average worth of a recent request.
    pub(crate) fn mean_worth(&self) -> f64 {
        self.class_stats.iter().map(|stats| stats.demanded_worth).sum()
    }

    pub(crate) fn usable_engines(&self) -> Vec<EngineId> {
        self.engines.iter().filter(|(_, state)| state.is_usable()).map(|(&id, _)| id).collect()
    }

    /// Nothing needs the tick: no request, attempt, order key or quarantined engine is left.
    pub(crate) fn is_idle(&self) -> bool {
        let idle = self.open_requests.is_empty() && self.in_flight.is_empty() && self.key_queues.is_empty();
        idle && self.engines.values().all(|state| state.quarantine.is_none())
    }

    /// The engines with queued requests, ordered by the earliest soft deadline in their queues.
    pub(crate) fn engines_with_queue(&self) -> Vec<EngineId> {
        let head = |(&id, state): (&EngineId, &EngineState)| state.queue.first().map(|&head| (head, id));
        let heads = self.engines.iter().filter_map(head);
        heads.collect::<BTreeSet<_>>().into_iter().map(|(_, engine)| engine).collect()
    }

    /// Gives a queued request another soft deadline, and with it another position in its queue.
    pub(crate) fn reschedule(&mut self, id: RequestId, soft_deadline: Micros) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let RequestState::Queued(engine) = open.state else { return };
        if let Some(state) = self.engines.get_mut(&engine) {
            state.queue.remove(&(open.soft_deadline, id));
            open.soft_deadline = soft_deadline;
            state.queue.insert((open.soft_deadline, id));
        }
    }

    /// Applies the entries of a list. An engine that has restarted loses what was known of its previous
    /// process. A start never moves back in time: an outdated list would make a cold engine look warm.
    pub(crate) fn apply_entries(&mut self, entries: Vec<EngineEntry>, threads_per_core: f64) {
        let classes = self.settings.classes.len();
        for mut entry in entries {
            let fresh = || EngineState::new(entry.clone(), classes, threads_per_core, self.now);
            let state = self.engines.entry(entry.engine).or_insert_with(fresh);
            if entry.came_up > state.entry.came_up {
                state.process_restarted();
                state.disconnected_at = 0;
            }
            entry.came_up = entry.came_up.max(state.entry.came_up);
            state.entry = entry;
        }
    }

    pub(crate) fn end_quarantine(&mut self, engine: EngineId) {
        let Some(state) = self.engines.get_mut(&engine) else { return };
        state.quarantine = None;
        state.failure_rate = 0.0;
        state.last_heard_at = self.now;
    }

    /// Marks all attempts of a request as cancelled and returns the numbers of those that were not before.
    pub(crate) fn mark_cancelled(&mut self, id: RequestId) -> Vec<u32> {
        let attempts = self.in_flight.range_mut((id, 0)..=(id, u32::MAX));
        let marked = attempts.map(|(&(_, number), a)| (number, std::mem::replace(&mut a.cancelled, true)));
        marked.filter(|(_, before)| !before).map(|(number, _)| number).collect()
    }

    /// Blocks an order key for [`Settings::key_cooldown`].
    pub(crate) fn block_key(&mut self, key: Option<&OrderKey>) {
        let until = self.now.saturating_add(self.settings.key_cooldown);
        if let Some(key_queue) = key.and_then(|k| self.key_queues.get_mut(k)) {
            key_queue.blocked_until = key_queue.blocked_until.max(until);
        }
    }

    /// Orders queued requests that have passed their soft deadline by their hard deadline instead.
    pub(crate) fn demote_late(&mut self) {
        let is_late = |o: &OpenRequest| {
            o.soft_deadline < self.now
                && o.soft_deadline < o.request.deadline
                && matches!(o.state, RequestState::Queued(_))
        };
        let late = self.open_requests.iter().filter(|(_, o)| is_late(o));
        let late: Vec<_> = late.map(|(&id, o)| (id, o.request.deadline)).collect();
        late.into_iter().for_each(|(id, deadline)| self.reschedule(id, deadline));
    }

    /// Marks the engines that a whole list does not contain as removed.
    pub(crate) fn mark_unlisted_removed(&mut self, entries: &[EngineEntry]) {
        let listed: BTreeSet<EngineId> = entries.iter().map(|entry| entry.engine).collect();
        for (_, state) in self.engines.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            state.entry.listed = Listed::Removed;
        }
    }

    pub(crate) fn engines_not_up(&self) -> Vec<EngineId> {
        self.engines.iter().filter(|(_, state)| state.entry.listed != Listed::Up).map(|(&id, _)| id).collect()
    }

    /// Drops removed engines without attempts in flight and recent sends. Recent sends are kept because a
    /// list may lack an engine for a moment: if that engine is cold, what it was sent must still count
    /// against its budget.
    pub(crate) fn drop_removed(&mut self) {
        let busy: BTreeSet<EngineId> = self.in_flight.values().map(|a| a.engine).collect();
        self.engines.retain(|id, state| {
            state.entry.listed != Listed::Removed || busy.contains(id) || !state.recent_sends.is_empty()
        });
    }

    /// Drops records that are no longer needed, and attempts that are still unanswered `max_overdue` after
    /// their time-out.
    pub(crate) fn drop_old(&mut self, max_overdue: Micros) {
        let now = self.now;
        let lost = self.in_flight.iter().filter(|(_, a)| now >= a.timeout_at.saturating_add(max_overdue));
        for key in lost.map(|(&key, _)| key).collect::<Vec<_>>() {
            let attempt = self.in_flight.remove(&key);
            attempt.and_then(|a| self.engines.get_mut(&a.engine).map(|state| state.attempt_finished(&a)));
        }
        let window = self.settings.budget.as_ref().map_or(0, |b| b.window);
        let budget_from = self.now.saturating_sub(window.saturating_add(2 * self.settings.quantum));
        drop_older(&mut self.arrivals, budget_from, |&time| time);
        drop_older(&mut self.further_attempts, budget_from, |&time| time);
        let sends_from = self.now.saturating_sub(self.settings.overload_span.saturating_mul(2));
        for state in self.engines.values_mut() {
            drop_older(&mut state.recent_sends, sends_from, |send| send.0);
        }
        if self.engines.values().any(|state| state.entry.listed == Listed::Removed) {
            self.drop_removed();
        }
    }
}

/// Drops the items at the front of a queue whose time is before `from`.
pub(crate) fn drop_older<T>(queue: &mut VecDeque<T>, from: Micros, time: impl Fn(&T) -> Micros) {
    while queue.front().is_some_and(|item| time(item) < from) {
        queue.pop_front();
    }
}

/// The median, or the upper of the two middle values.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut all: Vec<f64> = values.collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied()
}

/// `x` limited to the bounds, or `least` if it is not finite.
pub(crate) fn clamp_finite(x: f64, least: f64, most: f64) -> f64 {
    if x.is_finite() {
        x.clamp(least, most)
    } else {
        least
    }
}

/// Turns random bits into a number from 0 up to but not including 1.
pub(crate) fn unit_fraction(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// Hashes a number: the output function of splitmix64.
pub(crate) fn mix_bits(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
