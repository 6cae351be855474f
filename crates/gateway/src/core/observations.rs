//! What the core sees of engines, of what clients ask for and of what it costs, summed up for whoever watches the sites. Nothing
//! is decided here.

use violetward_site::state::EngineSign;

use super::*;

/// Engines of which a sign waits to be taken, and pairs of class and engine whose cost is remembered.
const MOST: usize = 65_536;
/// What costs turned out to be is forgotten this many times more slowly than what is asked for.
const SLOWER: f64 = 15.0;

/// What the clients of one site ask for of a class, as rates; see [`Observations::rates`].
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Requests, their estimated work in core milliseconds, and the sum of its squares.
    pub requests: f64,
    /// See `asked`.
    pub work: f64,
    /// See `asked`.
    pub squares: f64,
}

/// What work of a class turned out to cost: core milliseconds by estimate and in truth, and the sums of the logarithm of
/// their ratio and of its square, over so many.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cost {
    /// By estimate.
    pub estimated: f64,
    /// In truth.
    pub actual: f64,
    /// See [`Cost`].
    pub log_ratio: (f64, f64, f64),
}

impl Cost {
    /// Together.
    pub fn plus(self, o: Cost) -> Cost {
        let logs = (
            self.log_ratio.0 + o.log_ratio.0,
            self.log_ratio.1 + o.log_ratio.1,
            self.log_ratio.2 + o.log_ratio.2,
        );
        Cost { estimated: self.estimated + o.estimated, actual: self.actual + o.actual, log_ratio: logs }
    }

    /// Deviation of the logarithm of true over estimated work.
    pub fn log_ratio_deviation(&self) -> f64 {
        let (n, sum, squares) = self.log_ratio;
        if n < 2.0 {
            return 0.0;
        }
        (squares / n - (sum / n).powi(2)).max(0.0).sqrt()
    }
}

/// See the module's documentation.
#[derive(Debug)]
pub struct Observations {
    tag: String,
    sites: Vec<String>,
    own: usize,
    signs: BTreeMap<EngineId, EngineSign>,
    asked: BTreeMap<(usize, usize), Demand>,
    /// Microseconds over which `asked` counts, faded as it is.
    over: f64,
    costs: BTreeMap<(usize, EngineId), Cost>,
    waits: Vec<(f64, u32)>,
    /// Requests asked and served since the start, by class and site of their clients.
    totals: BTreeMap<(usize, usize), (u64, u64)>,
    aims: Vec<f64>,
}

impl Observations {
    /// For clients whose site is told by a tag with this prefix; without it they are those of the site `own`.
    pub fn new(tag: &str, sites: Vec<String>, own: usize, classes: &[Class]) -> Observations {
        Observations {
            tag: tag.to_owned(),
            sites,
            own,
            signs: BTreeMap::new(),
            asked: BTreeMap::new(),
            over: 0.0,
            costs: BTreeMap::new(),
            waits: vec![(0.0, 0); classes.len()],
            totals: BTreeMap::new(),
            aims: classes.iter().map(|c| c.aim.max(1) as f64).collect(),
        }
    }

    fn site_of(&self, context: &Context) -> usize {
        let told = context.tagged(&self.tag).filter(|_| !self.tag.is_empty());
        told.and_then(|name| self.sites.iter().position(|s| s == name)).unwrap_or(self.own)
    }

    fn set_sign(&mut self, engine: EngineId, sign: EngineSign) {
        if self.signs.len() < MOST || self.signs.contains_key(&engine) {
            self.signs.insert(engine, sign);
        }
    }

    pub(super) fn engine_answered(&mut self, engine: EngineId) {
        self.set_sign(engine, EngineSign::Answered);
    }

    pub(super) fn probe_ended(&mut self, engine: EngineId, ok: bool) {
        self.set_sign(engine, if ok { EngineSign::Answered } else { EngineSign::Silent });
    }

    /// A request is asked for; whether its client is a guest.
    pub(super) fn request_started(&mut self, request: &Request, context: &Context) -> bool {
        let (class, site) = (request.class.0, self.site_of(context));
        let work = request.cost as f64 / 1e3;
        let tally = self.asked.entry((class, site)).or_default();
        (tally.requests, tally.work, tally.squares) =
            (tally.requests + 1.0, tally.work + work, tally.squares + work * work);
        self.totals.entry((class, site)).or_default().0 += 1;
        site != self.own
    }

    pub(super) fn attempt_sent(&mut self, class: usize, attempt: u32, waited: Micros) {
        if let (0, Some(waits)) = (attempt, self.waits.get_mut(class)) {
            *waits = (waits.0 + waited as f64 / self.aims[class], waits.1.saturating_add(1));
        }
    }

    pub(super) fn statement_ended(&mut self, class: usize, context: &Context, word: &str) {
        let site = self.site_of(context);
        if word == "served" {
            self.totals.entry((class, site)).or_default().1 += 1;
        }
    }

    /// The last sign of each engine since they were last taken.
    pub fn take_signs(&mut self) -> BTreeMap<EngineId, EngineSign> {
        std::mem::take(&mut self.signs)
    }

    /// Time has passed: what is old fades over `average`.
    pub fn decay(&mut self, span: Micros, average: Micros) {
        let part = span as f64 / average.max(1) as f64;
        let (keep, slowly) = ((-part).exp(), (-part / SLOWER).exp());
        for t in self.asked.values_mut() {
            (t.requests, t.work, t.squares) = (t.requests * keep, t.work * keep, t.squares * keep);
        }
        self.over = self.over * keep + span as f64;
        for c in self.costs.values_mut() {
            (c.estimated, c.actual) = (c.estimated * slowly, c.actual * slowly);
            c.log_ratio = (c.log_ratio.0 * slowly, c.log_ratio.1 * slowly, c.log_ratio.2 * slowly);
        }
        self.costs.retain(|_, c| c.estimated > 1e-3);
    }

    /// What is asked for a second, by class and site of clients.
    pub fn rates(&self) -> impl Iterator<Item = ((usize, usize), Demand)> + '_ {
        let seconds = (self.over / 1e6).max(1e-3);
        self.asked.iter().map(move |(&key, t)| {
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

    /// What work turned out to cost, by class and engine.
    pub fn costs(&self) -> impl Iterator<Item = ((usize, EngineId), Cost)> + '_ {
        self.costs.iter().map(|(&key, &cost)| (key, cost))
    }

    /// Mean waits until the first attempt as parts of the aim, by class, and of how many, since they were last taken.
    pub fn take_waits(&mut self) -> Vec<(f64, u32)> {
        let mean = |w: &mut (f64, u32)| {
            let (sum, n) = std::mem::take(w);
            (sum / f64::from(n.max(1)), n)
        };
        self.waits.iter_mut().map(mean).collect()
    }

    /// Requests asked and served since the start, by class and site of their clients.
    pub fn totals(&self) -> &BTreeMap<(usize, usize), (u64, u64)> {
        &self.totals
    }
}

impl Core {
    /// What is seen is summed up from now on.
    pub fn observe(&mut self, sights: Observations) {
        self.observations = Some(Box::new(sights));
    }

    /// What has been seen.
    pub fn observations(&mut self) -> Option<&mut Observations> {
        self.observations.as_deref_mut()
    }

    /// The parts of requests that are let in: see [`Event::Keep`].
    pub fn set_admission_shares(&mut self, now: Micros, [own, guests]: [Vec<f64>; 2], back: Micros) {
        self.advance_to(now);
        self.events.push_back(Event::Keep { own, guests, back });
        self.process_events();
    }

    /// An attempt has ended: what that says of its engine and of its cost.
    pub(super) fn observe_attempt_end(
        &mut self,
        id: AttemptId,
        engine: EngineId,
        outcome: Outcome,
        stats: Option<&Stats>,
    ) {
        let Some(sights) = &mut self.observations else { return };
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Declined | Outcome::Full => {
                sights.engine_answered(engine)
            }
            Outcome::ConnectFailed | Outcome::Reset => sights.set_sign(engine, EngineSign::Silent),
            // A slow answer is no silence: whether the engine is there a probe tells.
            Outcome::Timeout | Outcome::Broken | Outcome::Cancelled | Outcome::Moot => {}
        }
        let seen = stats.filter(|_| outcome == Outcome::Ok).map_or(0.0, |s| s.cpu_time_millis as f64);
        let Some(s) = self.statements.get(&id.0) else { return };
        let told = s.context.estimated_cpu.map_or(0.0, |d| d.as_secs_f64() * 1e3);
        let key = (s.class, engine);
        if seen > 0.0 && told > 0.0 && (sights.costs.len() < MOST || sights.costs.contains_key(&key)) {
            let log = (seen / told).ln();
            let cost = sights.costs.entry(key).or_default();
            *cost = cost.plus(Cost { estimated: told, actual: seen, log_ratio: (1.0, log, log * log) });
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
            marked: false,
            pin: None,
            due: 1,
        }
    }

    #[test]
    fn rates_are_those_of_the_time_seen_and_clients_of_other_sites_are_guests() {
        let mut sights = Observations::new("site=", vec!["a".into(), "b".into()], 0, &[]);
        let of = |site: &str| Context { tags: vec![format!("site={site}")], ..Context::default() };
        for _ in 0..100 {
            assert!(!sights.request_started(&request(0, 50_000), &of("a")));
            assert!(sights.request_started(&request(0, 50_000), &of("b")));
            assert!(
                !sights.request_started(&request(0, 50_000), &of("elsewhere")),
                "who is not known is no guest"
            );
            sights.decay(100_000, 2_000_000);
        }
        let rates: BTreeMap<_, _> = sights.rates().collect();
        let (own, guests) = (rates[&(0, 0)], rates[&(0, 1)]);
        assert!(
            (own.requests - 20.0).abs() < 1.5 && (guests.requests - 10.0).abs() < 1.0,
            "{own:?} {guests:?}"
        );
        assert!((guests.work - 500.0).abs() < 40.0, "{guests:?}");
        assert_eq!(sights.totals()[&(0, 1)], (100, 0));
    }
}
