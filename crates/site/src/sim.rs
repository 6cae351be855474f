//! Whole fleets under a virtual clock: clients, gateways that know only what reaches them, engines with cores, sites that are
//! killed, cut off and come back. Three ways for gateways to decide are played against the same drawn requests.
//!
//! A gateway sees its own attempts, engines' reports of their lines as they come with answers and probes, and membership's
//! beliefs, which lag. An engine works off a line on its cores, goes on with what its gateway has given up, is slow while cold,
//! and falls over when it is pushed while cold. What is refused, fails, or ends after its aim is worth nothing.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use crate::act::{Act, Effect, Terms as ActTerms};
use crate::plan::{Class, Kind, Room};
use crate::projection::{bound_of, Demand, Known, Learned, Projection, Traits};
use crate::state::{Change, EngineSign, Evidence, MemberSign, Micros, Standing, State, Terms, Watch};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Between two rounds of probes, beliefs and words of witnesses.
const TICK: Micros = 200 * MS;
/// An attempt without an answer is given up after this.
const PATIENCE: Micros = S;
/// Members that do not answer are suspected, and dead, after.
const SUSPECT: Micros = S;
const DEAD: Micros = 3 * S;
/// The baseline's aim for waits, and its step.
const LEVEL: (f64, f64) = (0.25, 0.2);
/// What others leave of an engine, a gateway takes beyond its part, this many times over.
const LIFT: f64 = 2.0;
/// A client whose gateway is gone needs this long to find another.
const REDIAL: Micros = 300 * MS;

/// The next number of a sequence.
pub fn draw(dice: &mut u64) -> u64 {
    *dice = dice.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *dice;
    z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}

fn unit(dice: &mut u64) -> f64 {
    ((draw(dice) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

fn gauss(dice: &mut u64) -> f64 {
    (-2.0 * unit(dice).ln()).sqrt() * (2.0 * std::f64::consts::PI * unit(dice)).cos()
}

/// A class of the simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SimClass {
    /// Worth of one in time.
    pub worth: f64,
    /// Mean work, core seconds.
    pub work: f64,
    /// Deviation of the logarithm of work, and of true over estimated work.
    pub spread: f64,
    /// See `spread`.
    pub error: f64,
    /// The aim.
    pub aim: Micros,
    /// Its part of all work asked for.
    pub part: f64,
}

/// How gateways decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// As the module does by its own evidence: least predicted wait of two drawn, refusal of what cannot be in time, and with a
    /// backlog of what earns less for its work than the average.
    Own,
    /// The best of the textbook ones tried: the same choice, and an adaptive level of admission by worth for work, moved by the
    /// wait that is seen (as overload control by priorities does).
    Levels,
    /// `Own`, and the projection acted on.
    Projected,
}

/// Something that befalls the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum Blow {
    /// Engines of a site, the first so many, are killed; their hosts refuse connections or not.
    KillEngines(usize, usize, bool),
    /// Engines of a site, the first so many, start again, cold.
    StartEngines(usize, usize),
    /// Gateways of a site are killed.
    KillGateways(usize),
    /// They start again.
    StartGateways(usize),
    /// Nothing passes between these sites and all others, or does again.
    Cut(Vec<usize>, bool),
    /// All that is asked for times this.
    Demand(f64),
    /// One gateway tells its demand times this.
    Liar(usize, f64),
    /// Summaries are no more renewed.
    Stale,
    /// Engine number so many of a site restarts, out for so long.
    Roll(usize, usize, Micros),
}

/// A fleet and its day.
#[derive(Debug, Clone, PartialEq)]
pub struct Setting {
    /// Sites; gateways and engines at each; cores of an engine.
    pub sites: usize,
    /// See `sites`.
    pub gateways: usize,
    /// See `sites`.
    pub engines: usize,
    /// See `sites`.
    pub cores: usize,
    /// Classes.
    pub classes: Vec<SimClass>,
    /// Work asked for, as a part of all cores.
    pub load: f64,
    /// When it ends.
    pub until: Micros,
    /// Blows by time.
    pub blows: Vec<(Micros, Blow)>,
    /// Seconds that are counted.
    pub window: (Micros, Micros),
    /// One way between sites.
    pub crossing: Micros,
    /// What a cold engine can do, and its span.
    pub cold_from: f64,
    /// See `cold_from`.
    pub cold_span: Micros,
    /// Engines report their lines with answers and probes; else a gateway knows of its own requests alone.
    pub reports: bool,
    /// An engine that is cold falls when its line is longer than this many times its cores.
    pub fall: f64,
}

impl Setting {
    /// Three sites of two gateways and two engines of ten cores; light queries, reports and costly exports.
    pub fn usual(load: f64) -> Setting {
        let class = |worth, work, aim, part| SimClass { worth, work, spread: 0.5, error: 0.3, aim, part };
        Setting {
            sites: 3,
            gateways: 2,
            engines: 2,
            cores: 10,
            classes: vec![
                class(1.0, 0.05, 500 * MS, 0.4),
                class(2.0, 0.5, 2 * S, 0.3),
                class(3.0, 1.5, 6 * S, 0.3),
            ],
            load,
            until: 40 * S,
            blows: Vec::new(),
            window: (0, 40 * S),
            crossing: 5 * MS,
            cold_from: 0.3,
            cold_span: 8 * S,
            reports: true,
            fall: 4.0,
        }
    }

    /// The same with a site killed, engines and gateways, from 15 s until the end.
    pub fn lost(load: f64) -> Setting {
        let blows = vec![(15 * S, Blow::KillEngines(0, usize::MAX, false)), (15 * S, Blow::KillGateways(0))];
        Setting { blows, window: (15 * S, 40 * S), ..Setting::usual(load) }
    }

    fn rate(&self, class: usize) -> f64 {
        let c = &self.classes[class];
        let cores = (self.sites * self.engines * self.cores) as f64;
        cores * self.load * c.part / c.work / self.sites as f64
    }
}

/// What became of the day.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Worth asked for and served in the window.
    pub asked: f64,
    /// See `asked`.
    pub served: f64,
    /// By class: requests asked, in time, refused at once, late or failed.
    pub classes: Vec<[u64; 4]>,
    /// Worth asked for and served by second.
    pub seconds: Vec<(f64, f64)>,
    /// Times that the load between two sites turned by more than a fifth of the load there, from second to second.
    pub reversals: u32,
    /// Cold engines that fell over.
    pub fallen: u32,
    /// Changes of state that gateways told: when, by whom, of which site, into which.
    pub told: Vec<(Micros, usize, usize, State)>,
    /// The greatest sum of turns at a returning site over what the ramp allows; at most 1 by the invariant.
    pub turns: f64,
    /// Core seconds done in the window, and those of them that served.
    pub work: (f64, f64),
    /// Requests of the window by class and clients' site, asked for and in time.
    pub by_site: BTreeMap<(usize, usize), (f64, f64)>,
    /// What the gateways knew just before the window, and projected for the loss of the first site.
    pub projected: Option<Projection>,
}

impl Outcome {
    /// Worth served of worth asked for.
    pub fn part(&self) -> f64 {
        if self.asked > 0.0 {
            self.served / self.asked
        } else {
            1.0
        }
    }
}

#[derive(Debug, Clone)]
struct Request {
    class: usize,
    site: usize,
    gateway: usize,
    at: Micros,
    work: f64,
    told: f64,
    tries: u32,
    over: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Asks(usize, usize),
    Again(usize),
    Done(usize, u64, usize, u32),
    Answer(usize, u32, usize),
    Overdue(usize, u32, usize),
    Tick,
    Blow(usize),
    Back(usize),
}

struct Engine {
    site: usize,
    up: bool,
    refuses: bool,
    life: u64,
    started: Option<Micros>,
    line: VecDeque<(usize, u32)>,
    running: usize,
    /// All of the line and what runs.
    held: BTreeMap<usize, u32>,
}

#[derive(Clone, Default)]
struct Report {
    /// Requests in line and running, by class.
    line: Vec<f64>,
    /// Own ones that are out.
    count: u32,
    at: Micros,
    /// Core seconds of this gateway's own that are out.
    own: f64,
    failing: Option<Micros>,
    /// When it came back to this gateway, cold.
    back: Option<Micros>,
}

struct Gateway {
    site: usize,
    up: bool,
    seen: Vec<Report>,
    heard: Vec<Micros>,
    watch: Watch,
    act: Act,
    /// Requests asked for by class and site since the last round, and their decayed rates.
    asked: BTreeMap<(usize, usize), f64>,
    level: f64,
    share: Option<f64>,
    usual: f64,
}

/// A fleet being played.
pub struct Fleet {
    now: Micros,
    dice: u64,
    /// Requests are drawn apart, so that all policies meet the same ones.
    arrivals: u64,
    setting: Setting,
    policy: Policy,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    cut: Vec<bool>,
    demand: f64,
    liar: Option<(usize, f64)>,
    stale: bool,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Micros, u64, What)>>,
    order: u64,
    outcome: Outcome,
    /// Work sent to each site's engines by second.
    flows: Vec<Vec<f64>>,
}

/// Plays a day.
pub fn play(setting: &Setting, policy: Policy, seed: u64) -> Outcome {
    Fleet::new(setting.clone(), policy, seed).run()
}

impl Fleet {
    fn new(setting: Setting, policy: Policy, seed: u64) -> Fleet {
        let n = setting.sites * setting.gateways;
        let engine = |e: usize| Engine {
            site: e / setting.engines,
            up: true,
            refuses: false,
            life: 0,
            started: None,
            line: VecDeque::new(),
            running: 0,
            held: BTreeMap::new(),
        };
        let count = setting.sites * setting.engines;
        let gateway = |g: usize| Gateway::new(&setting, g / setting.gateways, 0);
        let mut fleet = Fleet {
            now: 0,
            dice: seed ^ 0x5eed,
            arrivals: seed,
            policy,
            engines: (0..count).map(engine).collect(),
            gateways: (0..n).map(gateway).collect(),
            cut: vec![false; setting.sites],
            demand: 1.0,
            liar: None,
            stale: false,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            order: 0,
            outcome: Outcome {
                classes: vec![[0; 4]; setting.classes.len()],
                seconds: vec![(0.0, 0.0); (setting.until / S) as usize + 1],
                ..Outcome::default()
            },
            flows: vec![vec![0.0; (setting.until / S) as usize + 1]; setting.sites],
            setting,
        };
        for site in 0..fleet.setting.sites {
            for class in 0..fleet.setting.classes.len() {
                fleet.next_request(site, class);
            }
        }
        for n in 0..fleet.setting.blows.len() {
            fleet.at(fleet.setting.blows[n].0, What::Blow(n));
        }
        fleet.at(TICK, What::Tick);
        fleet
    }

    fn at(&mut self, at: Micros, what: What) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, what)));
    }

    fn next_request(&mut self, site: usize, class: usize) {
        let rate = self.setting.rate(class) * self.demand;
        let wait = -unit(&mut self.arrivals).ln() / rate.max(1e-9);
        self.at(self.now + (wait * 1e6) as Micros, What::Asks(site, class));
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, what))) = self.events.pop() {
            if at > self.setting.until {
                break;
            }
            self.now = at;
            match what {
                What::Asks(site, class) => self.asks(site, class),
                What::Again(request) => self.arrive(request),
                What::Done(engine, life, request, attempt) => self.done(engine, life, request, attempt),
                What::Answer(request, attempt, engine) => self.answer(request, attempt, engine),
                What::Overdue(request, attempt, engine) => self.overdue(request, attempt, engine),
                What::Tick => self.tick(),
                What::Blow(n) => self.blow(self.setting.blows[n].1.clone()),
                What::Back(engine) => self.start(engine),
            }
        }
        let (from, to) = ((self.setting.window.0 / S) as usize, (self.setting.window.1 / S) as usize);
        let cores = (self.setting.engines * self.setting.cores) as f64;
        self.outcome.reversals = self.flows.iter().map(|f| reversals(&f[from..to], cores * SWING)).sum();
        self.outcome
    }

    fn counted(&self, at: Micros) -> bool {
        at >= self.setting.window.0 && at < self.setting.window.1
    }

    // ---- Clients ---------------------------------------------------------------------------------------

    fn asks(&mut self, site: usize, class: usize) {
        self.next_request(site, class);
        let c = self.setting.classes[class];
        let work = c.work * (c.spread * gauss(&mut self.arrivals) - c.spread * c.spread / 2.0).exp();
        let told = work * (c.error * gauss(&mut self.arrivals)).exp();
        let request =
            Request { class, site, gateway: usize::MAX, at: self.now, work, told, tries: 0, over: false };
        self.requests.push(request);
        if self.counted(self.now) {
            self.outcome.asked += c.worth;
            self.outcome.classes[class][0] += 1;
            self.outcome.by_site.entry((class, site)).or_default().0 += 1.0;
        }
        self.outcome.seconds[(self.now / S) as usize].0 += c.worth;
        self.arrive(self.requests.len() - 1);
    }

    /// A request reaches a gateway of its own site, or of another one while there is none.
    fn arrive(&mut self, request: usize) {
        let r = self.requests[request].clone();
        if r.over {
            return;
        }
        let per = self.setting.gateways;
        let own: Vec<usize> = (r.site * per..(r.site + 1) * per).filter(|&g| self.gateways[g].up).collect();
        let (from, first) = match own.is_empty() {
            false => (own, false),
            // A client that is cut off with its site finds nobody elsewhere.
            true if self.cut[r.site] => return self.end(request, 3),
            true => {
                ((0..self.gateways.len()).filter(|&g| self.gateways[g].up).collect(), r.gateway == usize::MAX)
            }
        };
        if from.is_empty() {
            return self.end(request, 3);
        }
        let pick = from[draw(&mut self.dice) as usize % from.len()];
        self.requests[request].gateway = pick;
        // It tries its own first, and needs a while to find out.
        if first {
            self.at(self.now + REDIAL, What::Again(request));
        } else {
            self.admit(request);
        }
    }

    fn end(&mut self, request: usize, how: usize) {
        let r = &mut self.requests[request];
        if std::mem::replace(&mut r.over, true) {
            return;
        }
        let (class, site, at) = (r.class, r.site, r.at);
        let worth = if how == 1 { self.setting.classes[class].worth } else { 0.0 };
        if self.counted(at) {
            self.outcome.classes[class][how] += 1;
            self.outcome.served += worth;
            if how == 1 {
                self.outcome.by_site.entry((class, site)).or_default().1 += 1.0;
                self.outcome.work.1 += self.requests[request].work;
            }
        }
        self.outcome.seconds[(at / S) as usize].1 += worth;
    }

    // ---- Gateways --------------------------------------------------------------------------------------

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || self.cut[from] == self.cut[to]
    }

    /// Predicted wait of a class at an engine, seconds, by a gateway's own lights: the work that is known to stand before it.
    fn wait(&self, gateway: usize, engine: usize, class: usize) -> f64 {
        let g = &self.gateways[gateway];
        let (seen, s) = (&g.seen[engine], &self.setting);
        let cores = s.cores as f64;
        let aim = s.classes[class].aim;
        let (mut count, mut work) = (0.0, 0.0);
        for (c, n) in s.classes.iter().zip(&seen.line).filter(|c| c.0.aim <= aim) {
            (count, work) = (count + n, work + n * c.work);
        }
        let all: f64 = seen.line.iter().sum();
        let busy: f64 = s.classes.iter().zip(&seen.line).map(|(c, n)| c.work * n).sum();
        let age = self.now.saturating_sub(seen.at) as f64 / 1e6;
        let speed = seen.back.map_or(1.0, |at| self.speed(at));
        // A free core takes it at once; else what runs has to end first, then what is in line before it.
        let first = if all < cores { 0.0 } else { busy / all / cores };
        let reported = first + (work - cores * work / count.max(1.0)).max(0.0) / cores;
        // Its own part of the engine, by its share of the fleet, works off what it has out; reports lift that.
        let n = (s.sites * s.gateways) as f64;
        let share = g.share.unwrap_or(0.0).max(g.usual).min(2.0 / n);
        let own = (seen.own / (cores * share * n / LIFT) - s.classes[class].aim as f64 / 1e6).max(0.0);
        let own = if s.reports { own } else { own.max(reported * n / LIFT) };
        ((reported - age).max(0.0).max(own)) / speed
    }

    /// Worth for work of all that is asked for.
    fn average(&self) -> f64 {
        let all = &self.setting.classes;
        all.iter().map(|c| c.part * c.worth / c.work).sum::<f64>() / all.iter().map(|c| c.part).sum::<f64>()
    }

    fn speed(&self, since: Micros) -> f64 {
        let s = &self.setting;
        let part = self.now.saturating_sub(since) as f64 / s.cold_span as f64;
        s.cold_from + (1.0 - s.cold_from) * part.min(1.0)
    }

    fn admit(&mut self, request: usize) {
        let (r, now) = (self.requests[request].clone(), self.now);
        let g = r.gateway;
        if r.tries == 0 {
            *self.gateways[g].asked.entry((r.class, r.site)).or_insert(0.0) += 1.0;
        }
        let c = self.setting.classes[r.class];
        let density = c.worth / c.work;
        let average = self.average();
        let left = (c.aim + r.at).saturating_sub(self.now) as f64 / 1e6;
        match self.policy {
            Policy::Levels if density.log2() < self.gateways[g].level => return self.end(request, 2),
            Policy::Projected if r.tries == 0 && !self.gateways[g].act.admit(now, r.class, Some(r.site)) => {
                return self.end(request, 2)
            }
            _ => {}
        }
        let held = |fleet: &Fleet, e: usize| {
            let own = &fleet.gateways[g];
            let seen = &own.seen[e];
            let sick = seen.failing.is_some();
            // Cold engines are met with 1/N of half of what fells them, in turns where that is less than one request; the
            // projection's turns hold them further back.
            let n = (fleet.setting.sites * fleet.setting.gateways) as f64;
            let turn = match fleet.policy {
                Policy::Projected => own.act.turn(fleet.now, fleet.engines[e].site),
                _ => None,
            };
            let cold = seen.back.filter(|at| fleet.now < at + fleet.setting.cold_span);
            let part = cold.map(|at| fleet.speed(at) / n).into_iter().chain(turn).reduce(f64::min);
            let full = |part: f64| {
                let most = part * fleet.setting.cores as f64 * fleet.setting.fall / 2.0;
                let rounds = (1.0 / most.max(1e-9)).ceil().min(1e9) as u64;
                let turn = (fleet.now / S + g as u64) % rounds.max(1) == 0;
                f64::from(seen.count) >= most.max(if turn { 1.0 } else { 0.0 })
            };
            sick || part.is_some_and(full)
        };
        let open: Vec<usize> = (0..self.engines.len()).filter(|&e| !held(self, e)).collect();
        if open.is_empty() {
            return self.end(request, 2);
        }
        let pick = |fleet: &mut Fleet| open[draw(&mut fleet.dice) as usize % open.len()];
        let (a, b) = (pick(self), pick(self));
        let at_home = |e: usize| if self.engines[e].site == self.gateways[g].site { 0.0 } else { 0.01 };
        let engine = if self.wait(g, a, r.class) + at_home(a) <= self.wait(g, b, r.class) + at_home(b) {
            a
        } else {
            b
        };
        let wait = self.wait(g, engine, r.class);
        let shy = (average / density).powi(2).max(1.0);
        let fits = match self.policy {
            Policy::Levels => wait + r.told <= left,
            _ => wait * shy + r.told <= left,
        };
        if !fits && wait > 0.0 || r.told > 2.0 * left {
            return self.end(request, 2);
        }
        self.send(request, engine);
    }

    fn send(&mut self, request: usize, engine: usize) {
        let r = &mut self.requests[request];
        r.tries += 1;
        let (attempt, told, g) = (r.tries, r.told, r.gateway);
        let from = self.gateways[g].site;
        let to = self.engines[engine].site;
        let way = if from == to { 0 } else { self.setting.crossing };
        self.flows[to][(self.now / S) as usize] += self.requests[request].told;
        self.gateways[g].seen[engine].own += told;
        let seen = &mut self.gateways[g].seen[engine];
        seen.count += 1;
        seen.line.resize(self.setting.classes.len(), 0.0);
        seen.line[self.requests[request].class] += 1.0;
        let reached = self.reaches(from, to);
        let e = &mut self.engines[engine];
        if !reached || (!e.up && !e.refuses) {
            self.at(self.now + PATIENCE, What::Overdue(request, attempt, engine));
        } else if !e.up {
            self.at(self.now + 2 * way + MS, What::Overdue(request, attempt, engine));
        } else {
            // Lines go by first aims, as those of gateways do.
            let aim = |n: usize| self.requests[n].at + self.setting.classes[self.requests[n].class].aim;
            let place = e.line.partition_point(|l| aim(l.0) <= aim(request));
            e.line.insert(place, (request, attempt));
            e.held.insert(request, attempt);
            self.work(engine);
        }
    }

    fn answer(&mut self, request: usize, attempt: u32, engine: usize) {
        let r = self.requests[request].clone();
        if !self.gateways[r.gateway].up || r.tries != attempt {
            return;
        }
        self.heard(r.gateway, engine);
        let seen = &mut self.gateways[r.gateway].seen[engine];
        (seen.own, seen.count) = ((seen.own - r.told).max(0.0), seen.count.saturating_sub(1));
        let late = self.now > r.at + self.setting.classes[r.class].aim;
        self.end(request, if late { 3 } else { 1 });
    }

    fn heard(&mut self, gateway: usize, engine: usize) {
        let now = self.now;
        let mut line = vec![0.0; self.setting.classes.len()];
        let known = |r: &&usize| self.setting.reports || self.requests[**r].gateway == gateway;
        let held = self.engines[engine].held.keys().filter(known);
        held.for_each(|&r| line[self.requests[r].class] += 1.0);
        let site = self.engines[engine].site;
        let g = &mut self.gateways[gateway];
        let seen = &mut g.seen[engine];
        if seen.failing.take().is_some() {
            (seen.back, seen.own, seen.count) = (Some(now), 0.0, 0);
        }
        (seen.line, seen.at) = (line, now);
        let sign = EngineSign::Answered;
        g.watch.take(now, Evidence::Engine { site, engine: engine as u64, sign });
    }

    fn failed(&mut self, gateway: usize, engine: usize, refused: bool) {
        let now = self.now;
        let site = self.engines[engine].site;
        let g = &mut self.gateways[gateway];
        g.seen[engine].failing.get_or_insert(now);
        let sign = if refused { EngineSign::Refused } else { EngineSign::Silent };
        g.watch.take(now, Evidence::Engine { site, engine: engine as u64, sign });
    }

    fn overdue(&mut self, request: usize, attempt: u32, engine: usize) {
        let r = self.requests[request].clone();
        if r.over || r.tries != attempt || !self.gateways[r.gateway].up {
            return;
        }
        let refused = self.engines[engine].refuses
            && self.reaches(self.gateways[r.gateway].site, self.engines[engine].site);
        let seen = &mut self.gateways[r.gateway].seen[engine];
        (seen.own, seen.count) = ((seen.own - r.told).max(0.0), seen.count.saturating_sub(1));
        self.failed(r.gateway, engine, refused);
        if r.tries < 3 && self.now < r.at + self.setting.classes[r.class].aim {
            self.admit(request);
        } else {
            self.end(request, 3);
        }
    }

    // ---- Engines ---------------------------------------------------------------------------------------

    fn work(&mut self, engine: usize) {
        let cores = self.setting.cores;
        let speed = self.engines[engine].started.map_or(1.0, |at| self.speed(at));
        while self.engines[engine].running < cores {
            let Some((request, attempt)) = self.engines[engine].line.pop_front() else { break };
            let r = &self.requests[request];
            // What its gateway has given up, or is too late, is not begun.
            if r.over || r.tries != attempt || r.at + self.setting.classes[r.class].aim < self.now {
                self.engines[engine].held.remove(&request);
                let told = r.told;
                let (gateway, late) = (r.gateway, r.tries == attempt);
                let seen = &mut self.gateways[gateway].seen[engine];
                (seen.own, seen.count) = ((seen.own - told).max(0.0), seen.count.saturating_sub(1));
                if late {
                    self.end(request, 3);
                }
                continue;
            }
            self.engines[engine].running += 1;
            let life = self.engines[engine].life;
            let span = (self.requests[request].work / speed * 1e6) as Micros;
            self.at(self.now + span, What::Done(engine, life, request, attempt));
        }
        let e = &self.engines[engine];
        let limit = self.setting.fall * cores as f64 * speed;
        if speed < 1.0 && (e.running + e.line.len()) as f64 > limit {
            self.outcome.fallen += 1;
            self.kill(engine, true);
            self.at(self.now + 3 * S, What::Back(engine));
        }
    }

    fn done(&mut self, engine: usize, life: u64, request: usize, attempt: u32) {
        if self.engines[engine].life != life {
            return;
        }
        self.engines[engine].running -= 1;
        self.engines[engine].held.remove(&request);
        let r = &self.requests[request];
        let (gateway, work) = (r.gateway, r.work);
        if self.counted(self.now) {
            self.outcome.work.0 += work;
        }
        let e = &self.engines[engine];
        let (from, to) = (self.gateways[gateway].site, e.site);
        if self.reaches(from, to) {
            let way = if from == to { 0 } else { 2 * self.setting.crossing };
            self.at(self.now + way, What::Answer(request, attempt, engine));
        }
        self.work(engine);
    }

    fn kill(&mut self, engine: usize, refuses: bool) {
        let e = &mut self.engines[engine];
        if !e.up {
            return;
        }
        (e.up, e.refuses, e.running) = (false, refuses, 0);
        e.life += 1;
        e.line.clear();
        // What was there breaks off: noticed at once where the host still answers, else by patience.
        let wait = if refuses { MS } else { PATIENCE };
        for (request, attempt) in std::mem::take(&mut e.held) {
            self.at(self.now + wait, What::Overdue(request, attempt, engine));
        }
    }

    fn start(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        (e.up, e.started) = (true, Some(self.now));
    }

    fn blow(&mut self, blow: Blow) {
        let (per, each) = (self.setting.engines, self.setting.gateways);
        match blow {
            Blow::KillEngines(site, most, refuses) => {
                (site * per..site * per + per.min(most)).for_each(|e| self.kill(e, refuses));
            }
            Blow::StartEngines(site, most) => {
                for e in site * per..site * per + per.min(most) {
                    if !self.engines[e].up {
                        self.start(e);
                    }
                }
            }
            Blow::KillGateways(site) => {
                for g in site * each..(site + 1) * each {
                    self.gateways[g].up = false;
                }
                for n in 0..self.requests.len() {
                    let r = &self.requests[n];
                    if !r.over && r.gateway != usize::MAX && !self.gateways[r.gateway].up {
                        // Its client sends it again, elsewhere, as long as it waits at all.
                        self.requests[n].tries += 1;
                        self.at(self.now + REDIAL, What::Again(n));
                    }
                }
            }
            Blow::StartGateways(site) => {
                for g in site * each..(site + 1) * each {
                    self.gateways[g] = Gateway::new(&self.setting, site, self.now);
                    // The list tells it when engines started.
                    for (seen, e) in self.gateways[g].seen.iter_mut().zip(&self.engines) {
                        seen.back = e.started;
                    }
                }
            }
            Blow::Cut(sites, on) => sites.into_iter().for_each(|s| self.cut[s] = on),
            Blow::Demand(by) => self.demand = by,
            Blow::Liar(gateway, by) => self.liar = Some((gateway, by)),
            Blow::Stale => self.stale = true,
            Blow::Roll(site, engine, span) => {
                self.kill(site * per + engine, true);
                self.at(self.now + span, What::Back(site * per + engine));
            }
        }
    }

    // ---- Rounds ----------------------------------------------------------------------------------------

    fn tick(&mut self) {
        self.at(self.now + TICK, What::Tick);
        if self.now % S < TICK {
            self.summarize();
        }
        for g in 0..self.gateways.len() {
            if self.gateways[g].up {
                self.look(g);
            }
        }
        self.check_turns();
    }

    fn look(&mut self, g: usize) {
        let now = self.now;
        let site = self.gateways[g].site;
        // Probes.
        for engine in 0..self.engines.len() {
            let e = &self.engines[engine];
            let reached = self.reaches(site, e.site);
            if e.up && reached {
                self.heard(g, engine);
            } else if !e.up || !reached {
                let refused = reached && e.refuses;
                // A probe that nobody answers is known as such only after its patience.
                if refused || self.gateways[g].seen[engine].at + PATIENCE <= now {
                    self.failed(g, engine, refused);
                }
            }
        }
        // Beliefs about members, and what they say as witnesses.
        let mut alone = true;
        let mut living = 1;
        for m in (0..self.gateways.len()).filter(|&m| m != g) {
            let there = self.gateways[m].site;
            let reached = self.gateways[m].up && self.reaches(site, there);
            if reached {
                self.gateways[g].heard[m] = now;
                alone = false;
                for of in (0..self.setting.sites).filter(|&of| of != there) {
                    let reaches = self.gateways[m].watch.reaches(now, of);
                    let word = Evidence::Witness { from: there, member: m as u64, of, reaches };
                    self.gateways[g].watch.take(now, word);
                }
            }
            let silent = now - self.gateways[g].heard[m];
            let sign = match silent {
                s if s >= DEAD => MemberSign::Dead,
                s if s >= SUSPECT => MemberSign::Suspect,
                _ => MemberSign::Lives { direct: true },
            };
            living += u32::from(silent < DEAD);
            self.gateways[g].watch.take(now, Evidence::Member { site: there, member: m as u64, sign });
        }
        let standing = if alone { Standing::Doubtful } else { Standing::Whole };
        let gw = &mut self.gateways[g];
        gw.watch.take(now, Evidence::Standing(standing));
        gw.watch.wake(now);
        // Membership's share: to the living, widened by a tenth of the even share a second.
        let n = (self.setting.sites * self.setting.gateways) as f64;
        let goal = if alone { 0.5 / n } else { (1.0 / f64::from(living)).min(2.0 / n) };
        gw.usual = goal.min(gw.usual + 0.1 / n * TICK as f64 / 1e6);
        while let Some(change) = gw.watch.change() {
            let Change { site, state, .. } = change;
            if state != change.was {
                self.outcome.told.push((now, g, site, state));
            }
            gw.act.site(now, change);
        }
        let live: Vec<usize> = (0..self.engines.len())
            .filter(|&e| self.gateways[g].seen[e].failing.is_none())
            .filter(|&e| self.gateways[g].act.turn(now, self.engines[e].site).is_none())
            .collect();
        // The wait of the class that comes nearest to being refused for it, the last one in the order apart.
        let all = self.setting.classes.iter();
        let last = all.clone().map(|c| c.worth / c.work).fold(f64::INFINITY, f64::min);
        let average = self.average();
        let pressed = |shy: bool| {
            let of = |(n, c): (usize, &SimClass)| {
                let wait = live.iter().map(|&e| self.wait(g, e, n)).sum::<f64>() / live.len().max(1) as f64;
                let shy = if shy { (average * c.work / c.worth).powi(2).max(1.0) } else { 1.0 };
                wait * shy / (c.aim as f64 / 1e6 - c.work).max(1e-3)
            };
            let but = all.clone().enumerate().filter(|(_, c)| c.worth / c.work > last);
            but.map(of).fold(0.0, f64::max)
        };
        let (own, level) = (pressed(true), pressed(false));
        let gw = &mut self.gateways[g];
        gw.act.pressure(now, own);
        while let Some(effect) = gw.act.effect() {
            if let Effect::Share(share) = effect {
                gw.share = share;
            }
        }
        // The baseline's level moves with the wait as well.
        let step = if level > LEVEL.0 { LEVEL.1 } else { -LEVEL.1 / 4.0 };
        gw.level = (gw.level + step).clamp(-8.0, 8.0);
    }

    /// What members tell each other once a second: demand by class and site of clients; and what follows from it.
    fn summarize(&mut self) {
        let s = self.setting.clone();
        let keep = (-0.2f64).exp();
        let mut rates: BTreeMap<(usize, usize), f64> = BTreeMap::new();
        for class in 0..s.classes.len() {
            let told: Vec<Vec<f64>> = self
                .gateways
                .iter()
                .enumerate()
                .filter(|(_, g)| g.up)
                .map(|(n, g)| {
                    let lie = self.liar.filter(|l| l.0 == n).map_or(1.0, |l| l.1);
                    let rate =
                        |site| g.asked.get(&(class, site)).copied().unwrap_or(0.0) * (1.0 - keep) * lie;
                    (0..s.sites).map(rate).collect()
                })
                .collect();
            let bound = bound_of(&told.iter().map(|t| t.iter().sum()).collect::<Vec<f64>>());
            for member in &told {
                let scale = (bound / member.iter().sum::<f64>().max(1e-9)).min(1.0);
                for (site, rate) in member.iter().enumerate() {
                    *rates.entry((class, site)).or_insert(0.0) += rate * scale;
                }
            }
        }
        self.gateways.iter_mut().for_each(|g| g.asked.values_mut().for_each(|rate| *rate *= keep));
        if self.stale || self.now < 5 * S {
            return;
        }
        let demand = rates.iter().map(|(&(class, site), &mean)| Demand {
            site,
            class,
            mean,
            deviation: (mean / 5.0).sqrt(),
            bursts: 1.0,
        });
        let known = known(&s, demand.collect());
        if self.now + S >= s.window.0 && self.outcome.projected.is_none() {
            self.outcome.projected =
                Some(known.project(&crate::projection::Loss::of(0), &Learned::new(1, 1), self.now));
        }
        for g in self.gateways.iter_mut().filter(|g| g.up) {
            g.act.know(known.clone());
        }
    }

    fn check_turns(&mut self) {
        for site in 0..self.setting.sites {
            let engines = self.engines.iter().filter(|e| e.site == site && e.up);
            let Some(started) = engines.filter_map(|e| e.started).max() else { continue };
            let turns: Vec<f64> =
                self.gateways.iter().filter(|g| g.up).filter_map(|g| g.act.turn(self.now, site)).collect();
            let sum: f64 = turns.iter().sum();
            self.outcome.turns = self.outcome.turns.max(sum / self.speed(started));
        }
    }
}

/// A swing of a site's load by this part of its cores, back and forth, is a reversal.
const SWING: f64 = 0.3;

/// How often a row, averaged over three, turns by more than `swing`.
fn reversals(row: &[f64], swing: f64) -> u32 {
    let row: Vec<f64> = row.windows(3).map(|w| w.iter().sum::<f64>() / 3.0).collect();
    let (mut pivot, mut way, mut turns) = (row.first().copied().unwrap_or(0.0), 0.0, 0u32);
    for x in row {
        if way == 0.0 || (x - pivot) * way > 0.0 {
            if way != 0.0 || (x - pivot).abs() > swing {
                (way, pivot) = ((x - pivot).signum(), x);
            }
        } else if (x - pivot).abs() > swing {
            (way, pivot, turns) = (-way, x, turns + 1);
        }
    }
    turns
}

/// What the gateways of a setting know, with this demand.
pub fn known(s: &Setting, demand: Vec<Demand>) -> Known {
    let class = |(n, c): (usize, &SimClass)| Class {
        name: format!("c{n}"),
        worth: c.worth,
        work: c.work,
        threads: 1.0,
        memory_mb: 0.0,
        kinds: None,
        sites: None,
        bound: false,
    };
    let traits = |c: &SimClass| Traits {
        aim: c.aim,
        spread: (c.spread * c.spread).exp(),
        error: c.error,
        ..Traits::default()
    };
    let crossing = (0..s.sites).flat_map(|a| (0..s.sites).map(move |b| (a, b)));
    Known {
        sites: (0..s.sites).map(|n| (format!("s{n}"), s.gateways as u32)).collect(),
        kinds: vec![Kind { name: "m".into(), cores: s.cores as f64, memory_mb: 0.0 }],
        rooms: (0..s.sites).map(|site| Room { site, kind: 0, engines: s.engines as u32 }).collect(),
        classes: s.classes.iter().enumerate().map(class).collect(),
        traits: s.classes.iter().map(traits).collect(),
        crossing: crossing.filter(|(a, b)| a != b).map(|at| (at, 2 * s.crossing)).collect(),
        demand,
        fill: 1.0,
        ..Known::default()
    }
}

impl Gateway {
    fn new(s: &Setting, site: usize, now: Micros) -> Gateway {
        let (n, engines) = (s.sites * s.gateways, s.sites * s.engines);
        let terms = ActTerms {
            gateways: n as u32,
            sites: s.sites,
            widest: 2.0,
            cold_from: s.cold_from,
            cold_span: s.cold_span,
            low: 0.3,
            high: 0.8,
            step: 0.02,
            every: 500 * MS,
        };
        let watch = Terms { ramp: s.cold_span, ..Terms::default() };
        Gateway {
            site,
            up: true,
            seen: vec![Report { line: vec![0.0; s.classes.len()], ..Report::default() }; engines],
            heard: vec![now; n],
            watch: Watch::new(watch, site, s.sites, 64, now),
            act: Act::new(terms, Learned::new(3_600 * S, 1_000), now),
            asked: BTreeMap::new(),
            level: -8.0,
            share: None,
            usual: 1.0 / n as f64,
        }
    }
}

/// What a setting asks for, exactly.
pub fn measured(s: &Setting) -> Known {
    let lines = (0..s.sites).flat_map(|site| (0..s.classes.len()).map(move |class| (site, class)));
    let demand = lines.map(|(site, class)| {
        let mean = s.rate(class);
        Demand { site, class, mean, deviation: (mean / 25.0).sqrt(), bursts: 1.0 }
    });
    known(s, demand.collect())
}

/// Learns from a day on which the first site was lost.
pub fn learn(learned: &mut Learned, known: &Known, day: &Outcome) {
    let p = known.project(&crate::projection::Loss::of(0), learned, 0);
    let rows: Vec<_> = day.by_site.iter().map(|(&key, &(asked, served))| (key, asked, served)).collect();
    p.teach(learned, 0, S, &rows);
}

/// The hard cases, by name.
pub fn cases() -> Vec<(&'static str, Setting)> {
    use Blow::{Cut, Demand, KillEngines, KillGateways, Liar, Roll, Stale, StartEngines, StartGateways};
    const ALL: usize = usize::MAX;
    let with = |load: f64, blows: Vec<(Micros, Blow)>| Setting {
        blows,
        window: (15 * S, 40 * S),
        ..Setting::usual(load)
    };
    let kill = |at: Micros| [(at, KillEngines(0, ALL, false)), (at, KillGateways(0))];
    let back = |at: Micros, engines: usize| [(at, StartEngines(0, engines)), (at, StartGateways(0))];
    let lost =
        |load: f64, more: Vec<(Micros, Blow)>| with(load, kill(15 * S).into_iter().chain(more).collect());
    // Without a site two thirds of the cores are left.
    let of_rest = |part: f64| part * 2.0 / 3.0;
    let mut all = vec![
        ("killed at 60% of the others' room", lost(of_rest(0.6), vec![])),
        ("killed at 95% of the others' room", lost(of_rest(0.95), vec![])),
        ("killed at 0.9 of all work", lost(0.9, vec![])),
        ("killed at 1.2 of all work", lost(1.2, vec![])),
        ("gateways dead, engines alive, 0.8", with(0.8, vec![(15 * S, KillGateways(0))])),
        ("engines dead, gateways alive, 0.8", with(0.8, vec![(15 * S, KillEngines(0, ALL, true))])),
        ("half of the engines return at 25 s, 0.8", lost(0.8, back(25 * S, 1).to_vec())),
        ("all return at 25 s, 0.8", lost(0.8, back(25 * S, ALL).to_vec())),
        (
            "second site in a rolling restart, 0.8",
            lost(0.8, vec![(20 * S, Roll(1, 0, 3 * S)), (26 * S, Roll(1, 1, 3 * S))]),
        ),
        ("demand doubles in the loss, 0.45", lost(0.45, vec![(20 * S, Demand(2.0))])),
        ("summaries stale since 6 s, demand doubles, 0.45", {
            let mut setting = lost(0.45, vec![]);
            setting.blows.extend([(6 * S, Stale), (10 * S, Demand(2.0))]);
            setting
        }),
        ("one member tells tenfold, 0.6", lost(0.6, vec![(5 * S, Liar(2, 10.0))])),
        ("one member tells a tenth, 0.9", lost(0.9, vec![(5 * S, Liar(2, 0.1))])),
    ];
    for (name, load) in [("no load reported, killed at 0.9", 0.9), ("no load reported, killed at 1.2", 1.2)] {
        all.push((name, Setting { reports: false, ..lost(load, vec![]) }));
    }
    let mut halves = with(0.8, vec![(15 * S, Cut(vec![0, 1], true)), (30 * S, Cut(vec![0, 1], false))]);
    halves.sites = 4;
    all.push(("both halves think the other lost, 15 to 30 s, 0.8", halves));
    let mut flaps = with(0.7, vec![]);
    for n in 0..4 {
        let at = (15 + n * 8) * S;
        flaps.blows.extend(kill(at));
        flaps.blows.extend(back(at + 4 * S, ALL));
    }
    (flaps.until, flaps.window.1) = (60 * S, 60 * S);
    all.push(("comes and goes every 4 s, four times, 0.7", flaps));
    all
}

/// What a watch told in a week in which no site was lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Week {
    /// Releases in steps, of all engines and gateways of a site; racks switched off; gateways that stood still, the watching one
    /// among them.
    pub releases: u32,
    /// See `releases`.
    pub racks: u32,
    /// See `releases`.
    pub pauses: u32,
    /// Times that a site was told lost or cut off: false alarms.
    pub away: u32,
    /// Times that one was told partly lost, and doubtful.
    pub partly: u32,
    /// See `away`.
    pub doubtful: u32,
}

/// A week of releases in steps, racks switched off and gateways that stand still, watched from one site: four sites of three
/// gateways and six engines. A look every half second while something is away, every ten while nothing is.
pub fn week(seed: u64) -> Week {
    const SITES: usize = 4;
    const ENGINES: usize = 6;
    const GATEWAYS: usize = 3;
    let mut dice = seed;
    let mut week = Week::default();
    let mut watch = Watch::new(Terms::default(), 0, SITES, 64, 0);
    // What is away, from when until when: engines, with whether their hosts refuse, and gateways.
    let mut engines: Vec<(Micros, Micros, usize, usize, bool)> = Vec::new();
    let mut gateways: Vec<(Micros, Micros, usize, usize)> = Vec::new();
    let mut own: Vec<(Micros, Micros)> = Vec::new();
    let hour = 3_600 * S;
    for h in 0..7 * 24 {
        let at = h * hour + draw(&mut dice) % (hour / 4);
        let site = draw(&mut dice) as usize % SITES;
        match draw(&mut dice) % 4 {
            0 => {
                week.releases += 1;
                // One or two engines at a time, 20 to 60 s each, gateways in between, one by one.
                let step = 1 + draw(&mut dice) as usize % 2;
                let span = (20 + draw(&mut dice) % 40) * S;
                for (n, first) in (0..ENGINES).step_by(step).enumerate() {
                    let begin = at + n as u64 * (span + 5 * S);
                    let all = first..ENGINES.min(first + step);
                    engines.extend(all.map(|e| (begin, begin + span, site, e, true)));
                }
                let begin = at + ENGINES as u64 * (span + 5 * S);
                let one = |g: usize| (begin + g as u64 * 20 * S, begin + g as u64 * 20 * S + 8 * S, site, g);
                gateways.extend((0..GATEWAYS).map(one));
            }
            1 => {
                week.racks += 1;
                // A rack: three engines and a gateway, silent for some minutes.
                let end = at + (2 + draw(&mut dice) % 10) * 60 * S;
                engines.extend((0..ENGINES / 2).map(|e| (at, end, site, e, false)));
                gateways.push((at, end, site, 0));
            }
            2 => {
                week.pauses += 1;
                gateways.push((
                    at,
                    at + (1 + draw(&mut dice) % 20) * S,
                    site,
                    draw(&mut dice) as usize % GATEWAYS,
                ));
            }
            _ => {
                week.pauses += 1;
                own.push((at, at + (1 + draw(&mut dice) % 20) * S));
            }
        }
    }
    let mut now = 0;
    let mut heard = [[0; GATEWAYS]; SITES];
    let mut woke = 0;
    while now < 7 * 24 * hour {
        let busy = |from: Micros, to: Micros| now + 10 * S >= from && now <= to + 30 * S;
        let near = engines.iter().any(|e| busy(e.0, e.1))
            || gateways.iter().any(|g| busy(g.0, g.1))
            || own.iter().any(|p| busy(p.0, p.1));
        if let Some(p) = own.iter().find(|p| p.0 <= now && now < p.1) {
            // It stands still; what was asked before comes back as silence when it goes on.
            now = p.1;
            watch.take(now, Evidence::Paused(now - woke));
            watch.take(now, Evidence::Standing(Standing::Doubtful));
            for site in 0..SITES {
                for engine in 0..ENGINES as u64 {
                    watch.take(now, Evidence::Engine { site, engine, sign: EngineSign::Silent });
                }
            }
            watch.wake(now);
            watch.take(now, Evidence::Standing(Standing::Whole));
            heard = [[now; GATEWAYS]; SITES];
        }
        for (site, heard) in heard.iter_mut().enumerate() {
            for engine in 0..ENGINES {
                let away = engines.iter().find(|e| (e.2, e.3) == (site, engine) && e.0 <= now && now < e.1);
                // One answer in a thousand is lost anyway.
                let sign = match away {
                    Some(e) if e.4 => EngineSign::Refused,
                    Some(_) => EngineSign::Silent,
                    None if draw(&mut dice) % 1_000 == 0 => EngineSign::Silent,
                    None => EngineSign::Answered,
                };
                watch.take(now, Evidence::Engine { site, engine: engine as u64, sign });
            }
            for member in (0..GATEWAYS).filter(|&g| (site, g) != (0, GATEWAYS - 1)) {
                let away = gateways.iter().any(|g| (g.2, g.3) == (site, member) && g.0 <= now && now < g.1);
                if !away {
                    heard[member] = now;
                }
                let silent = now - heard[member];
                let sign = match silent {
                    s if s >= DEAD => MemberSign::Dead,
                    s if s >= SUSPECT => MemberSign::Suspect,
                    _ => MemberSign::Lives { direct: true },
                };
                watch.take(now, Evidence::Member { site, member: (site * GATEWAYS + member) as u64, sign });
            }
        }
        watch.wake(now);
        while let Some(change) = watch.change() {
            match change.state {
                state if state == change.was => {}
                State::Lost | State::CutOff => week.away += 1,
                State::PartlyLost => week.partly += 1,
                State::Doubtful => week.doubtful += 1,
                State::Whole | State::Returning => {}
            }
        }
        woke = now;
        now += if near { S / 2 } else { 10 * S };
    }
    week
}
