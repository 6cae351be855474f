//! Observations of engines, of the clients' demand and of the cost of statements, aggregated for the
//! monitoring of sites. Nothing is decided here.

use violetward_site::state::EngineSign;

use super::*;

/// Maximum number of engines with a pending observation, and of pairs of class and engine with a known cost.
const MAX_ENTRIES: usize = 65_536;
/// Costs decay this many times more slowly than demand.
const COST_DECAY_RATIO: f64 = 15.0;

/// Demand of the clients of one site for one class: decayed sums, or rates per second if returned by
/// [`Observations::rates`].
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Number of requests.
    pub requests: f64,
    /// Sum of their estimated work in core milliseconds.
    pub work: f64,
    /// Sum of the squares of their estimated work.
    pub squares: f64,
}

/// Estimated and actual cost of a class's statements.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cost {
    /// Sum of the estimates in core milliseconds.
    pub estimated: f64,
    /// Sum of the actual work in core milliseconds.
    pub actual: f64,
    /// Number of samples, and the sums of the logarithm of actual over estimated work and of its square.
    pub log_ratio: (f64, f64, f64),
}

impl Cost {
    /// The sum of both.
    pub fn plus(self, other: Cost) -> Cost {
        let log_ratio = (
            self.log_ratio.0 + other.log_ratio.0,
            self.log_ratio.1 + other.log_ratio.1,
            self.log_ratio.2 + other.log_ratio.2,
        );
        Cost { estimated: self.estimated + other.estimated, actual: self.actual + other.actual, log_ratio }
    }

    /// Standard deviation of the logarithm of actual over estimated work.
    pub fn log_ratio_deviation(&self) -> f64 {
        let (n, sum, squares) = self.log_ratio;
        if n < 2.0 {
            return 0.0;
        }
        (squares / n - (sum / n).powi(2)).max(0.0).sqrt()
    }
}

/// Aggregated observations. See the [module documentation](self).
#[derive(Debug)]
pub struct Observations {
    /// Prefix of the tag that names a client's site.
    tag: String,
    /// Names of all sites.
    sites: Vec<String>,
    /// Index of this gateway's own site.
    own: usize,
    /// Last sign of each engine.
    signs: BTreeMap<EngineId, EngineSign>,
    /// Decayed demand by class and site of the clients.
    demand: BTreeMap<(usize, usize), Demand>,
    /// Decayed time over which `demand` was summed up, in microseconds.
    demand_span_us: f64,
    /// Decayed cost by class and engine.
    costs: BTreeMap<(usize, EngineId), Cost>,
    /// By class: sum of the waits until the first attempt relative to the aim, and their number.
    waits: Vec<(f64, u32)>,
    /// Requests received and served since the start, by class and site of their clients.
    totals: BTreeMap<(usize, usize), (u64, u64)>,
    /// Target response times by class, in microseconds.
    aims: Vec<f64>,
}

impl Observations {
    /// Observations of clients whose site is named by a tag with this prefix. Clients without a known site
    /// count for the site `own`.
    pub fn new(tag: &str, sites: Vec<String>, own: usize, classes: &[Class]) -> Observations {
        Observations {
            tag: tag.to_owned(),
            sites,
            own,
            signs: BTreeMap::new(),
            demand: BTreeMap::new(),
            demand_span_us: 0.0,
            costs: BTreeMap::new(),
            waits: vec![(0.0, 0); classes.len()],
            totals: BTreeMap::new(),
            aims: classes.iter().map(|c| c.latency_target.max(1) as f64).collect(),
        }
    }

    /// Index of the site of a client.
    fn site_of(&self, context: &Context) -> usize {
        let named = context.tagged(&self.tag).filter(|_| !self.tag.is_empty());
        named.and_then(|name| self.sites.iter().position(|s| s == name)).unwrap_or(self.own)
    }

    fn set_sign(&mut self, engine: EngineId, sign: EngineSign) {
        if self.signs.len() < MAX_ENTRIES || self.signs.contains_key(&engine) {
            self.signs.insert(engine, sign);
        }
    }

    pub(super) fn engine_answered(&mut self, engine: EngineId) {
        self.set_sign(engine, EngineSign::Answered);
    }

    pub(super) fn probe_ended(&mut self, engine: EngineId, ok: bool) {
        self.set_sign(engine, if ok { EngineSign::Answered } else { EngineSign::Silent });
    }

    /// Records a request. Returns whether its client belongs to another site.
    pub(super) fn request_started(&mut self, request: &Request, context: &Context) -> bool {
        let (class, site) = (request.class.0, self.site_of(context));
        let work = request.cost as f64 / 1e3;
        let demand = self.demand.entry((class, site)).or_default();
        (demand.requests, demand.work, demand.squares) =
            (demand.requests + 1.0, demand.work + work, demand.squares + work * work);
        self.totals.entry((class, site)).or_default().0 += 1;
        site != self.own
    }

    /// Records that an attempt was sent; only the first one of a statement counts.
    pub(super) fn attempt_sent(&mut self, class: usize, attempt: u32, waited: Micros) {
        if let (0, Some(waits)) = (attempt, self.waits.get_mut(class)) {
            *waits = (waits.0 + waited as f64 / self.aims[class], waits.1.saturating_add(1));
        }
    }

    pub(super) fn statement_ended(&mut self, class: usize, context: &Context, outcome: &str) {
        let site = self.site_of(context);
        if outcome == "served" {
            self.totals.entry((class, site)).or_default().1 += 1;
        }
    }

    /// Removes and returns the last sign of each engine.
    pub fn take_signs(&mut self) -> BTreeMap<EngineId, EngineSign> {
        std::mem::take(&mut self.signs)
    }

    /// Lets older demand and costs decay over `average` after a time `span`.
    pub fn decay(&mut self, span: Micros, average: Micros) {
        let fraction = span as f64 / average.max(1) as f64;
        let (demand_factor, cost_factor) = ((-fraction).exp(), (-fraction / COST_DECAY_RATIO).exp());
        for t in self.demand.values_mut() {
            (t.requests, t.work, t.squares) =
                (t.requests * demand_factor, t.work * demand_factor, t.squares * demand_factor);
        }
        self.demand_span_us = self.demand_span_us * demand_factor + span as f64;
        for c in self.costs.values_mut() {
            (c.estimated, c.actual) = (c.estimated * cost_factor, c.actual * cost_factor);
            c.log_ratio =
                (c.log_ratio.0 * cost_factor, c.log_ratio.1 * cost_factor, c.log_ratio.2 * cost_factor);
        }
        self.costs.retain(|_, c| c.estimated > 1e-3);
    }

    /// Demand per second, by class and site of clients.
    pub fn rates(&self) -> impl Iterator<Item = ((usize, usize), Demand)> + '_ {
        let seconds = (self.demand_span_us / 1e6).max(1e-3);
        self.demand.iter().map(move |(&key, t)| {
            (
                key,
                Demand {
                    requests: t.requests / seconds,
                    work: t.work / seconds,
                    squares: t.squares / seconds,
                },
            )
        })
    }

    /// Cost of statements, by class and engine.
    pub fn costs(&self) -> impl Iterator<Item = ((usize, EngineId), Cost)> + '_ {
        self.costs.iter().map(|(&key, &cost)| (key, cost))
    }

    /// Removes and returns, by class, the mean wait until the first attempt relative to the class's aim, and
    /// the number of samples.
    pub fn take_waits(&mut self) -> Vec<(f64, u32)> {
        let mean = |w: &mut (f64, u32)| {
            let (sum, n) = std::mem::take(w);
            (sum / f64::from(n.max(1)), n)
        };
        self.waits.iter_mut().map(mean).collect()
    }

    /// Requests received and served since the start, by class and site of their clients.
    pub fn totals(&self) -> &BTreeMap<(usize, usize), (u64, u64)> {
        &self.totals
    }
}

impl Core {
    /// Starts to aggregate observations.
    pub fn observe(&mut self, observations: Observations) {
        self.observations = Some(Box::new(observations));
    }

    /// The observations, if they are aggregated.
    pub fn observations(&mut self) -> Option<&mut Observations> {
        self.observations.as_deref_mut()
    }

    /// Sets the shares of requests that are admitted: see [`Event::AdmitFractions`].
    pub fn set_admission_shares(&mut self, now: Micros, [own, guests]: [Vec<f64>; 2], back: Micros) {
        self.advance_to(now);
        self.events.push_back(Event::AdmitFractions { own, guests, min_retry_after: back });
        self.process_events();
    }

    /// Records what the end of an attempt says about its engine and its cost.
    pub(super) fn observe_attempt_end(
        &mut self,
        id: AttemptId,
        engine: EngineId,
        outcome: Outcome,
        stats: Option<&Stats>,
    ) {
        let Some(observations) = &mut self.observations else { return };
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Declined | Outcome::Full => {
                observations.engine_answered(engine)
            }
            Outcome::ConnectFailed | Outcome::Reset => observations.set_sign(engine, EngineSign::Silent),
            // A slow answer does not mean that the engine is unreachable; probes find that out.
            Outcome::Timeout | Outcome::Broken | Outcome::Cancelled | Outcome::Moot => {}
        }
        let actual = stats.filter(|_| outcome == Outcome::Ok).map_or(0.0, |s| s.cpu_time_millis as f64);
        let Some(s) = self.statements.get(&id.0) else { return };
        let estimated = s.context.estimated_cpu.map_or(0.0, |d| d.as_secs_f64() * 1e3);
        let key = (s.class, engine);
        if actual > 0.0
            && estimated > 0.0
            && (observations.costs.len() < MAX_ENTRIES || observations.costs.contains_key(&key))
        {
            let log = (actual / estimated).ln();
            let cost = observations.costs.entry(key).or_default();
            *cost = cost.plus(Cost { estimated, actual, log_ratio: (1.0, log, log * log) });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(class: usize, cost: Micros) -> Request {
        Request {
            id: RequestId(1),
            class: ClassId(class),
            tenant: TenantId(0),
            cost,
            memory_mb: 0.0,
            group: GroupId(0),
            key: None,
            is_retry: false,
            has_dedup_key: false,
            pin: None,
            deadline: 1,
        }
    }

    #[test]
    fn rates_cover_the_observed_time_and_clients_of_other_sites_are_guests() {
        let mut observations = Observations::new("site=", vec!["a".into(), "b".into()], 0, &[]);
        let context = |site: &str| Context { tags: vec![format!("site={site}")], ..Context::default() };
        for _ in 0..100 {
            assert!(!observations.request_started(&request(0, 50_000), &context("a")));
            assert!(observations.request_started(&request(0, 50_000), &context("b")));
            assert!(
                !observations.request_started(&request(0, 50_000), &context("elsewhere")),
                "a client of an unknown site is no guest"
            );
            observations.decay(100_000, 2_000_000);
        }
        let rates: BTreeMap<_, _> = observations.rates().collect();
        let (own, guests) = (rates[&(0, 0)], rates[&(0, 1)]);
        assert!(
            (own.requests - 20.0).abs() < 1.5 && (guests.requests - 10.0).abs() < 1.0,
            "{own:?} {guests:?}"
        );
        assert!((guests.work - 500.0).abs() < 40.0, "{guests:?}");
        assert_eq!(observations.totals()[&(0, 1)], (100, 0));
    }
}
