//! What the loss of each site would cost, kept up to date: by class of its clients, what each neighbour would serve and at which
//! cost, what is refused in which order, and a range for all of it.
//!
//! Built on [`crate::plan`]'s flow: classes are let in by worth for work, the greatest first. Beyond the plan, work depends on
//! where it is done (k there), the way there takes time, requests come in bursts, and some work serves nothing:
//!
//! - **k there.** A class's k at a site is split into a factor of the class and one of the site (the least squares of the
//!   logarithms). The site's factor shrinks its rooms, so that the flow stays one in which the greedy choice is the best; the
//!   remainder is told in the cost, and a room that it overfills is scaled back.
//! - **Bursts.** Over the span that a request can wait, arrivals of a class vary by their measured variance (Poisson's at
//!   least). What is served is the mean of the smaller of work and room over that span, not the smaller of the means.
//! - **Work that serves nothing.** Where a class is refused in part, those let in wait up to their aim, by an estimate that
//!   errs by a measured spread: the part that would end late is work that counts and serves nothing.
//! - **Seen against projected.** [`Learned`] corrects by class and pair of sites.

use std::collections::BTreeMap;

use crate::plan::{Class, Flow, Kind, Room};
use crate::state::Micros;

/// Demand of one class by the clients of one site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The clients' site, by place.
    pub site: usize,
    /// The class, by place.
    pub class: usize,
    /// Requests a second.
    pub mean: f64,
    /// Their deviation between spans as long as an outage is: for the range.
    pub deviation: f64,
    /// Variance of the number of arrivals over their mean number, within the span that a request may wait; 1: Poisson's.
    pub bursts: f64,
}

/// What a class brings beyond the plan's terms.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Traits {
    /// The aim, in microseconds.
    pub aim: Micros,
    /// Part of the worth of an answer after the aim.
    pub late_worth: f64,
    /// Attempts a request takes, on average.
    pub attempts: f64,
    /// Mean square of a request's work over the square of its mean; 1: all alike.
    pub spread: f64,
    /// Deviation of the logarithm of true over predicted time.
    pub error: f64,
}

impl Default for Traits {
    fn default() -> Self {
        Traits { aim: 1_000_000, late_worth: 0.0, attempts: 1.0, spread: 1.0, error: 0.0 }
    }
}

/// What is known, from summaries; places as in [`crate::plan::Fleet`].
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Known {
    /// Names of sites, and gateways of each.
    pub sites: Vec<(String, u32)>,
    /// Kinds of machine.
    pub kinds: Vec<Kind>,
    /// Engines that are there.
    pub rooms: Vec<Room>,
    /// Classes; their work is the estimate, without k.
    pub classes: Vec<Class>,
    /// See [`Traits`], by class.
    pub traits: Vec<Traits>,
    /// Demand.
    pub demand: Vec<Demand>,
    /// k by class and site; 1 where nothing is learned.
    pub k: BTreeMap<(usize, usize), f64>,
    /// Time to cross between two sites; 0 where not told.
    pub crossing: BTreeMap<(usize, usize), Micros>,
    /// Connections that a site's engines take, all together; no bound where not told.
    pub connections: BTreeMap<usize, f64>,
    /// Core seconds to read what a class of a site's clients needs at another site, once: `(class, clients' site, there)`.
    pub cold: BTreeMap<(usize, usize, usize), f64>,
    /// Part of the cores that can be filled, where it was measured; else 1.
    pub fill: f64,
}

/// What one neighbour would serve of one class of a site's clients.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// The neighbour.
    pub site: usize,
    /// Requests a second.
    pub served: f64,
    /// Core seconds a second there, attempts and k there counted.
    pub work: f64,
    /// Time that the way there takes.
    pub crossing: Micros,
    /// Whether that leaves time for the work within the aim.
    pub in_time: bool,
    /// Megabytes held there.
    pub memory_mb: f64,
    /// Connections held there.
    pub connections: f64,
    /// Core seconds to be read there once, before it goes as fast as at home.
    pub reads: f64,
}

/// One class of one site's clients while a site is lost.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// The clients' site and the class, by place.
    pub site: usize,
    /// See `site`.
    pub class: usize,
    /// Requests a second: asked, and served in the mean, at least and at most.
    pub asked: f64,
    /// See `asked`.
    pub served: f64,
    /// See `asked`.
    pub range: (f64, f64),
    /// Requests a second that are let in and end too late: their work serves nothing.
    pub wasted: f64,
    /// Worth for a core second: what is least of it is refused first.
    pub density: f64,
    /// Who serves it.
    pub parts: Vec<Part>,
}

/// What is lost: by site, the part of its engines that is left, and whether its clients are guests elsewhere.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Loss {
    /// From 0 to 1; 1 for sites not told.
    pub engines: Vec<f64>,
    /// Of the same worth for work, clients of other sites go first.
    pub guests: Vec<bool>,
    /// Its clients do not come here: they are cut off with it.
    pub absent: Vec<bool>,
}

impl Loss {
    /// Nothing is lost.
    pub fn none() -> Loss {
        Loss::default()
    }

    /// A whole site is lost.
    pub fn of(site: usize) -> Loss {
        let (engines, guests) = (vec![1.0; site + 1], vec![false; site + 1]);
        let mut loss = Loss { engines, guests, absent: Vec::new() };
        (loss.engines[site], loss.guests[site]) = (0.0, true);
        loss
    }

    fn left(&self, site: usize) -> f64 {
        self.engines.get(site).map_or(1.0, |e| e.clamp(0.0, 1.0))
    }

    fn is_guest(&self, site: usize) -> bool {
        self.guests.get(site).copied().unwrap_or(false)
    }
}

/// What a loss would cost.
#[derive(Debug, Clone, PartialEq)]
pub struct Projection {
    /// What is lost.
    pub loss: Loss,
    /// Classes and sites of clients: the first one is kept first, the last one refused first.
    pub lines: Vec<Line>,
    /// Worth a second asked for, served, and the range of what is served.
    pub asked: f64,
    /// See `asked`.
    pub served: f64,
    /// See `asked`.
    pub range: (f64, f64),
    /// Worth a second that each neighbour's own clients lose by it.
    pub displaced: Vec<f64>,
    /// Core seconds a second that are left.
    pub room: f64,
}

impl Projection {
    /// Teaches what was seen in its place over a span: by class and clients' site, requests asked for and served. Where each one
    /// went is the gateways' choice: the pairs of a line learn alike.
    pub fn teach(
        &self,
        learned: &mut Learned,
        now: Micros,
        span: Micros,
        rows: &[((usize, usize), f64, f64)],
    ) {
        let seconds = span.max(1) as f64 / 1e6;
        for &(key, asked, served) in rows {
            let Some(line) = self.lines.iter().find(|l| (l.class, l.site) == key) else { continue };
            let all: f64 = line.parts.iter().map(|p| p.served).sum();
            for part in &line.parts {
                let pair = (line.class, line.site, part.site);
                // As it was projected before it was corrected: else the correction would correct itself.
                let plain = part.served / line.asked.max(1e-12) / learned.ratio(now, pair);
                let seen = served * part.served / all.max(1e-12);
                learned.saw(now, pair, asked * plain / seconds, seen / seconds, span);
            }
        }
    }
}

/// Ratios of seen to projected service, by class and pair of sites.
///
/// Each sample is clipped to a factor of [`Learned::CLIP`], weighs as much as the requests it stands for against
/// [`Learned::PRIOR`] of no opinion, and loses half of its weight in `half_life`; the ratio stays within [`Learned::BOUND`].
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Learned {
    rows: BTreeMap<(usize, usize, usize), (f64, f64, Micros)>,
    half_life: Micros,
    most: usize,
}

impl Learned {
    /// One sample's factor at most.
    pub const CLIP: f64 = 4.0;
    /// The ratio's factor at most.
    pub const BOUND: f64 = 2.0;
    /// Requests' worth of no opinion.
    pub const PRIOR: f64 = 200.0;

    /// Nothing learned; at most so many rows.
    pub fn new(half_life: Micros, most: usize) -> Learned {
        Learned { rows: BTreeMap::new(), half_life: half_life.max(1), most }
    }

    fn faded(&self, row: &(f64, f64, Micros), now: Micros) -> (f64, f64) {
        let keep = (-(now.saturating_sub(row.2) as f64) / self.half_life as f64).exp2();
        (row.0 * keep, row.1 * keep)
    }

    /// What was seen in place of what was projected, requests a second over a span, of a class of `from`'s clients served at
    /// `at`. Where nothing was projected nothing is learned.
    pub fn saw(&mut self, now: Micros, key: (usize, usize, usize), projected: f64, seen: f64, span: Micros) {
        if !(projected > 0.0 && seen >= 0.0 && seen.is_finite() && projected.is_finite()) {
            return;
        }
        if !self.rows.contains_key(&key) && self.rows.len() >= self.most {
            // The lightest row makes place.
            let light = self.rows.iter().map(|(k, r)| (*k, self.faded(r, now).1));
            let Some((least, _)) = light.min_by(|a, b| a.1.total_cmp(&b.1)) else { return };
            self.rows.remove(&least);
        }
        let sample = (seen / projected).clamp(1.0 / Self::CLIP, Self::CLIP).ln();
        // A second of a flood weighs no more than a hundred times the prior: old outages are not washed out at once.
        let weight = (projected * span as f64 / 1e6).min(Self::PRIOR * 100.0);
        let (sum, all) = self.rows.get(&key).map_or((0.0, 0.0), |r| self.faded(r, now));
        self.rows.insert(key, (sum + sample * weight, all + weight, now));
    }

    /// The ratio by which a projection is corrected.
    pub fn ratio(&self, now: Micros, key: (usize, usize, usize)) -> f64 {
        let (sum, all) = self.rows.get(&key).map_or((0.0, 0.0), |r| self.faded(r, now));
        (sum / (all + Self::PRIOR)).exp().clamp(1.0 / Self::BOUND, Self::BOUND)
    }
}

/// What members tell counts for [`LIAR`] times their median at most: one that is wrong by tenfold moves their sum by less than
/// one more member would. Of one or two members all is believed.
pub fn bound_of(members: &[f64]) -> f64 {
    let mut all: Vec<f64> = members.iter().filter(|x| x.is_finite() && **x >= 0.0).copied().collect();
    all.sort_by(f64::total_cmp);
    if all.len() > 2 {
        all[(all.len() - 1) / 2] * LIAR
    } else {
        f64::INFINITY
    }
}

/// See [`bound_of`].
pub const LIAR: f64 = 2.0;

/// The mean of the smaller of a normal quantity and a bound.
pub fn mean_of_smaller(mean: f64, deviation: f64, bound: f64) -> f64 {
    if deviation <= 1e-12 {
        return mean.min(bound);
    }
    let z = (bound - mean) / deviation;
    mean - deviation * (density(z) - z * (1.0 - normal(z)))
}

fn density(z: f64) -> f64 {
    (-z * z / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt()
}

/// The normal distribution (Abramowitz and Stegun, 26.2.17: off by 7.5e-8 at most).
pub fn normal(z: f64) -> f64 {
    let t = 1.0 / (1.0 + 0.231_641_9 * z.abs());
    let poly = [0.319_381_530, -0.356_563_782, 1.781_477_937, -1.821_255_978, 1.330_274_429];
    let tail = density(z) * poly.iter().rev().fold(0.0, |sum, c| (sum + c) * t);
    if z < 0.0 {
        tail
    } else {
        1.0 - tail
    }
}

/// The part of what is let in that ends after its aim, where a line is full: predicted ends lie evenly between the work's own
/// time and the aim, and truth differs from prediction by a factor whose logarithm deviates by `error`.
pub fn late_part(run: f64, aim: f64, error: f64) -> f64 {
    if error <= 1e-9 || run >= aim {
        return 0.0;
    }
    const STEPS: u32 = 32;
    let at = |n: u32| run + (aim - run) * (f64::from(n) + 0.5) / f64::from(STEPS);
    (0..STEPS).map(|n| 1.0 - normal((aim / at(n)).ln() / error)).sum::<f64>() / f64::from(STEPS)
}

/// Factors of classes and of sites whose product comes nearest to what is known of k.
fn factors(known: &Known) -> (Vec<f64>, Vec<f64>) {
    let (mut class, mut site) = (vec![0.0; known.classes.len()], vec![0.0; known.sites.len()]);
    let logs: Vec<(usize, usize, f64)> = known
        .k
        .iter()
        .filter(|(at, k)| at.0 < class.len() && at.1 < site.len() && **k > 0.0 && k.is_finite())
        .map(|(&(c, s), k)| (c, s, k.ln()))
        .collect();
    let mean = |of: &mut dyn Iterator<Item = f64>| {
        let (sum, n) = of.fold((0.0, 0.0), |(sum, n), x| (sum + x, n + 1.0));
        if n > 0.0 {
            sum / n
        } else {
            0.0
        }
    };
    for _ in 0..8 {
        for (c, of) in class.iter_mut().enumerate() {
            *of = mean(&mut logs.iter().filter(|l| l.0 == c).map(|l| l.2 - site[l.1]));
        }
        for (s, of) in site.iter_mut().enumerate() {
            *of = mean(&mut logs.iter().filter(|l| l.1 == s).map(|l| l.2 - class[l.0]));
        }
    }
    let exp = |of: Vec<f64>| of.into_iter().map(f64::exp).collect();
    (exp(class), exp(site))
}

/// Requests of one class that are let in together: of sites whose clients stand alike and may go to the same rooms.
struct Group {
    class: usize,
    guest: bool,
    late: bool,
    density: f64,
    work: f64,
    open: Vec<bool>,
    /// Places in the demand, and how much of each is let in.
    members: Vec<(usize, f64)>,
}

impl Known {
    fn trait_of(&self, class: usize) -> Traits {
        self.traits.get(class).copied().unwrap_or_default()
    }

    fn crossing(&self, from: usize, to: usize) -> Micros {
        if from == to {
            0
        } else {
            self.crossing.get(&(from, to)).copied().unwrap_or(0)
        }
    }

    /// Seconds that a request of a class runs, without waiting.
    fn run(&self, class: usize, k: f64) -> f64 {
        self.classes[class].work * k / self.classes[class].threads.max(1.0)
    }

    /// What a loss would cost.
    pub fn project(&self, loss: &Loss, learned: &Learned, now: Micros) -> Projection {
        self.against(&self.without(&Loss::none(), learned, now, 0.0), loss, learned, now)
    }

    /// A projection, and who loses what by it against the whole.
    fn against(&self, whole: &Projection, loss: &Loss, learned: &Learned, now: Micros) -> Projection {
        let [low, mut mean, high] = [-1.0, 0.0, 1.0].map(|off| self.without(loss, learned, now, off));
        let of = |p: &Projection, l: &Line| {
            p.lines.iter().find(|m| (m.site, m.class) == (l.site, l.class)).map_or(0.0, |m| m.served)
        };
        for line in &mut mean.lines {
            let (a, b) = (of(&low, line), of(&high, line));
            line.range = (a.min(b).min(line.served), a.max(b).max(line.served));
        }
        let all = [low.served, mean.served, high.served];
        mean.range =
            (all.iter().copied().fold(f64::INFINITY, f64::min), all.iter().copied().fold(0.0, f64::max));
        let kept = |p: &Projection, site: usize| -> f64 {
            let own = p.lines.iter().filter(|l| l.site == site);
            own.map(|l| l.served * self.classes[l.class].worth).sum()
        };
        let lost = |s: usize| if loss.is_guest(s) { 0.0 } else { kept(whole, s) - kept(&mean, s) };
        mean.displaced = (0..self.sites.len()).map(|s| lost(s).max(0.0)).collect();
        mean
    }

    /// For nothing lost, then for each site.
    pub fn all(&self, learned: &Learned, now: Micros) -> Vec<Projection> {
        let cases = std::iter::once(Loss::none()).chain((0..self.sites.len()).map(Loss::of));
        let whole = self.without(&Loss::none(), learned, now, 0.0);
        cases.map(|loss| self.against(&whole, &loss, learned, now)).collect()
    }

    fn without(&self, loss: &Loss, learned: &Learned, now: Micros, off: f64) -> Projection {
        let (class_k, site_k) = factors(self);
        let rooms: Vec<&Room> = self.rooms.iter().filter(|r| loss.left(r.site) > 0.0).collect();
        let fill = if self.fill > 0.0 { self.fill } else { 1.0 };
        let cores = |r: &Room| f64::from(r.engines) * self.kinds[r.kind].cores * fill * loss.left(r.site);
        let demand: Vec<(Demand, f64)> = self
            .demand
            .iter()
            .filter(|d| d.class < self.classes.len() && d.site < self.sites.len())
            .filter(|d| !loss.absent.get(d.site).copied().unwrap_or(false))
            .map(|d| (*d, (d.mean + off * d.deviation).max(0.0)))
            .collect();
        let mut groups: Vec<Group> = Vec::new();
        for (of, (d, _)) in demand.iter().enumerate() {
            let (c, t) = (&self.classes[d.class], self.trait_of(d.class));
            // Attempts beyond the first cost work too.
            let work = (c.work * class_k[d.class] * t.attempts.max(1.0)).max(1e-9);
            let may = |r: &Room| {
                let within = |set: &Option<Vec<usize>>, p| set.as_ref().is_none_or(|s| s.contains(&p));
                within(&c.kinds, r.kind) && within(&c.sites, r.site) && (!c.bound || r.site == d.site)
            };
            let in_time = |r: &Room| {
                let k = class_k[d.class] * site_k[r.site];
                self.crossing(d.site, r.site) as f64 / 1e6 + self.run(d.class, k) <= t.aim as f64 / 1e6
            };
            let (class, guest) = (d.class, loss.is_guest(d.site));
            for late in [false, true] {
                let open: Vec<bool> = rooms.iter().map(|r| may(r) && in_time(r) != late).collect();
                let density = c.worth / work * if late { t.late_worth } else { 1.0 };
                if late && (t.late_worth <= 0.0 || !open.contains(&true)) {
                    continue;
                }
                let like =
                    |g: &&mut Group| (g.class, g.guest, g.late, &g.open) == (class, guest, late, &open);
                match groups.iter_mut().find(like) {
                    Some(group) => group.members.push((of, 0.0)),
                    None => {
                        let members = vec![(of, 0.0)];
                        groups.push(Group { class, guest, late, density, work, open, members });
                    }
                }
            }
        }
        // Of the same density the own clients of a site that is left go before those of the lost one.
        let order = |g: &Group| (-g.density, g.guest, g.class);
        groups.sort_by(|a, b| order(a).partial_cmp(&order(b)).expect("no density is NaN"));
        let room: f64 = rooms.iter().map(|r| cores(r)).sum();
        let mut flow = Flow::new(rooms.iter().map(|r| cores(r) / site_k[r.site].max(1e-6)).collect());
        // Variance of the work that comes within a second, by core second of it: of numbers, and of sizes.
        let varies =
            |d: &Demand, work: f64| work * (self.trait_of(d.class).spread.max(1.0) - 1.0 + d.bursts.max(0.0));
        let (mut let_in, mut wasted) = (vec![0.0; demand.len()], vec![0.0; demand.len()]);
        let mut variances: Vec<f64> = Vec::new();
        for g in &mut groups {
            let (t, run) = (self.trait_of(g.class), self.run(g.class, class_k[g.class]));
            let aim = t.aim as f64 / 1e6;
            let want = |of: usize| (demand[of].1 - let_in[of]).max(0.0);
            let wants: f64 = g.members.iter().map(|m| want(m.0)).sum::<f64>() * g.work;
            let variance: f64 =
                g.members.iter().map(|m| want(m.0) * g.work * varies(&demand[m.0].0, g.work)).sum();
            variances.push(if wants > 0.0 { variance / wants } else { 0.0 });
            // What stands before it in the order, in these rooms: so much, and varying so much.
            let (mut before, mut before_variance) = (0.0, 0.0);
            for ((_, at), varies) in flow.classes.iter().zip(&variances) {
                let there: f64 = at.iter().zip(&g.open).filter(|a| *a.1).map(|a| a.0).sum();
                (before, before_variance) = (before + there, before_variance + there * varies);
            }
            let reach: f64 = rooms.iter().zip(&g.open).filter(|r| *r.1).map(|r| cores(r.0)).sum();
            let span = (aim - run).max(1e-3);
            let fits = |mean: f64, variance: f64| mean_of_smaller(mean, (variance / span).sqrt(), reach);
            let bursty = fits(before + wants, before_variance + variance) - fits(before, before_variance);
            let done = flow.add(g.open.clone(), bursty.clamp(0.0, wants));
            let kept = if wants > 0.0 { (done / wants).clamp(0.0, 1.0) } else { 0.0 };
            // The part of the time in which the line is full: its wait is then as long as the aim allows, and estimates err.
            let deviation = ((before_variance + variance) / span).sqrt().max(1e-9);
            let full = 1.0 - normal((reach - before - wants) / deviation);
            let late = full * late_part(run, aim, t.error) * (1.0 - t.late_worth);
            for m in &mut g.members {
                m.1 = (demand[m.0].1 - let_in[m.0]).max(0.0) * kept;
                let_in[m.0] += m.1;
                wasted[m.0] += m.1 * late;
            }
        }
        let served = |of: usize| (let_in[of] - wasted[of]).max(0.0);
        let mut lines: Vec<Line> = Vec::new();
        for (g, &(of, _)) in
            groups.iter().filter(|g| !g.late).flat_map(|g| g.members.iter().map(move |m| (g, m)))
        {
            let (d, asked) = demand[of];
            lines.push(Line {
                site: d.site,
                class: d.class,
                asked,
                served: served(of),
                range: (0.0, 0.0),
                wasted: wasted[of],
                density: g.density,
                parts: Vec::new(),
            });
        }
        let k = |class: usize, site: usize| self.k.get(&(class, site)).copied().unwrap_or(class_k[class]);
        for (g, (_, at)) in groups.iter().zip(&flow.classes) {
            self.spread(&mut lines, g, at, &rooms, &demand, &k);
        }
        self.bound(&mut lines, &rooms, loss);
        for line in &mut lines {
            for part in &mut line.parts {
                part.served *= learned.ratio(now, (line.class, line.site, part.site));
            }
            let sum: f64 = line.parts.iter().map(|p| p.served).sum();
            if sum > line.asked {
                line.parts.iter_mut().for_each(|p| p.served *= line.asked / sum);
            }
            line.served = sum.min(line.asked);
        }
        let worth = |of: fn(&Line) -> f64| lines.iter().map(|l| of(l) * self.classes[l.class].worth).sum();
        let (asked, served) = (worth(|l| l.asked), worth(|l| l.served));
        Projection {
            loss: loss.clone(),
            asked,
            served,
            range: (served, served),
            displaced: Vec::new(),
            room,
            lines,
        }
    }

    /// Who serves what of a group: each room its own site's clients first, then the others alike.
    fn spread(
        &self,
        lines: &mut [Line],
        g: &Group,
        at: &[f64],
        rooms: &[&Room],
        demand: &[(Demand, f64)],
        k: &dyn Fn(usize, usize) -> f64,
    ) {
        let mut left: Vec<f64> = g.members.iter().map(|m| m.1).collect();
        let mut free: Vec<f64> = at.iter().map(|work| work / g.work).collect();
        let mut put = |member: usize, room: usize, rate: f64| {
            let (d, _) = demand[g.members[member].0];
            let site = rooms[room].site;
            let Some(line) = lines.iter_mut().find(|l| (l.site, l.class) == (d.site, d.class)) else {
                return;
            };
            if rate <= 1e-12 {
                return;
            }
            let (c, crossing) = (&self.classes[d.class], self.crossing(d.site, site));
            let there = self.run(d.class, k(d.class, site));
            let at = line.parts.iter().position(|p| p.site == site).unwrap_or_else(|| {
                let reads = self.cold.get(&(d.class, d.site, site)).copied().unwrap_or(0.0);
                let (served, work, memory_mb, connections) = Default::default();
                let in_time = !g.late;
                line.parts.push(Part {
                    site,
                    served,
                    work,
                    crossing,
                    in_time,
                    memory_mb,
                    connections,
                    reads,
                });
                line.parts.len() - 1
            });
            let part = &mut line.parts[at];
            part.served += rate;
            part.work += rate * c.work * k(d.class, site) * self.trait_of(d.class).attempts.max(1.0);
            // Memory is held while it runs, a connection on the way as well.
            part.memory_mb += rate * c.memory_mb * there;
            part.connections += rate * (there + crossing as f64 / 1e6);
        };
        for (member, left) in left.iter_mut().enumerate() {
            for room in (0..rooms.len()).filter(|&r| rooms[r].site == demand[g.members[member].0].0.site) {
                let rate = left.min(free[room]);
                (*left, free[room]) = (*left - rate, free[room] - rate);
                put(member, room, rate);
            }
        }
        let all: f64 = left.iter().sum();
        for (room, free) in free.iter().enumerate().filter(|_| all > 1e-12) {
            left.iter().enumerate().for_each(|(member, left)| put(member, room, free * left / all));
        }
    }

    /// Cuts what overfills a site: k's remainder, memory, connections; the last in the order first.
    fn bound(&self, lines: &mut [Line], rooms: &[&Room], loss: &Loss) {
        let limit = |site: usize| {
            let sum = |of: &dyn Fn(&Kind) -> f64| -> f64 {
                let there = rooms.iter().filter(|r| r.site == site);
                there.map(|r| f64::from(r.engines) * of(&self.kinds[r.kind]) * loss.left(site)).sum()
            };
            let memory = Some(sum(&|k| k.memory_mb)).filter(|m| *m > 0.0).unwrap_or(f64::INFINITY);
            (sum(&|k| k.cores), memory, self.connections.get(&site).copied().unwrap_or(f64::INFINITY))
        };
        for site in 0..self.sites.len() {
            let (cores, memory, connections) = limit(site);
            let mut used = (0.0, 0.0, 0.0);
            // The order of the lines is that in which they are kept: what does not fit any more is cut at the end.
            for line in lines.iter_mut() {
                for p in line.parts.iter_mut().filter(|p| p.site == site) {
                    let fits = [
                        (cores - used.0) / p.work.max(1e-12),
                        (memory - used.1) / p.memory_mb.max(1e-12),
                        (connections - used.2) / p.connections.max(1e-12),
                    ];
                    let keep = fits.into_iter().fold(1.0f64, f64::min).max(0.0);
                    for of in [&mut p.served, &mut p.work, &mut p.memory_mb, &mut p.connections] {
                        *of *= keep;
                    }
                    used = (used.0 + p.work, used.1 + p.memory_mb, used.2 + p.connections);
                }
            }
        }
        for line in lines.iter_mut() {
            // What ends too late was let in, and is taken from each alike.
            let in_all: f64 = line.parts.iter().map(|p| p.served).sum();
            let serves = if in_all > 0.0 { (1.0 - line.wasted / in_all).clamp(0.0, 1.0) } else { 0.0 };
            line.parts.iter_mut().for_each(|p| p.served *= serves);
            line.parts.retain(|p| p.served > 1e-12);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sim::{measured, Setting};
    use proptest::prelude::*;

    fn none() -> Learned {
        Learned::new(1_000_000, 100)
    }

    /// Three sites of twenty cores; light and heavy, each as its trait says.
    fn known(load: f64) -> Known {
        let mut known = measured(&Setting::usual(load));
        known.traits.iter_mut().for_each(|t| (t.error, t.spread) = (0.0, 1.0));
        known.demand.iter_mut().for_each(|d| (d.deviation, d.bursts) = (0.0, 0.0));
        known.crossing.clear();
        known
    }

    fn line(p: &Projection, site: usize, class: usize) -> &Line {
        p.lines.iter().find(|l| (l.site, l.class) == (site, class)).expect("a line")
    }

    #[test]
    fn without_variance_it_is_the_plan() {
        let known = known(0.9);
        let fleet = crate::plan::Fleet {
            sites: known.sites.clone(),
            kinds: known.kinds.clone(),
            rooms: known.rooms.clone(),
            classes: known.classes.clone(),
            demand: known.demand.iter().map(|d| (d.site, d.class, d.mean)).collect(),
            fill: 1.0,
        };
        let (plan, p) = (fleet.without(Some(0)), known.project(&Loss::of(0), &none(), 0));
        assert!((plan.worth.1 - p.served).abs() < 1e-3 * p.served, "{} {}", plan.worth.1, p.served);
    }

    #[test]
    fn k_there_shrinks_what_is_served_there_and_shows_in_its_cost() {
        let mut known = known(0.6);
        let plain = known.project(&Loss::of(0), &none(), 0);
        known.k = (0..3).flat_map(|class| [((class, 1), 2.0), ((class, 2), 1.0)]).collect();
        let dear = known.project(&Loss::of(0), &none(), 0);
        assert!(dear.served < plain.served * 0.99, "{} {}", dear.served, plain.served);
        let light = line(&dear, 0, 0);
        let cost = |site| light.parts.iter().find(|p| p.site == site).map(|p| p.work / p.served);
        if let (Some(one), Some(two)) = (cost(1), cost(2)) {
            assert!((one / two - 2.0).abs() < 1e-6, "{one} {two}");
        }
        let work = |site| -> f64 {
            dear.lines.iter().flat_map(|l| &l.parts).filter(|p| p.site == site).map(|p| p.work).sum()
        };
        assert!(work(1) <= 20.0 + 1e-6 && work(2) <= 20.0 + 1e-6, "{} {}", work(1), work(2));
    }

    #[test]
    fn a_way_longer_than_the_aim_serves_nobody() {
        let mut known = known(0.3);
        known.crossing = [((0, 1), 490_000), ((0, 2), 490_000)].into();
        let p = known.project(&Loss::of(0), &none(), 0);
        // The light ones have to be done in 500 ms and run for 50.
        assert_eq!(line(&p, 0, 0).served, 0.0);
        assert!(line(&p, 0, 2).served > 0.0 && line(&p, 1, 0).served > 0.0);
        known.traits[0].late_worth = 0.5;
        let late = known.project(&Loss::of(0), &none(), 0);
        let parts = &line(&late, 0, 0).parts;
        assert!(!parts.is_empty() && parts.iter().all(|p| !p.in_time), "{parts:?}");
    }

    #[test]
    fn memory_and_connections_bound_what_a_neighbour_serves() {
        let mut known = known(0.6);
        known.connections.insert(1, 1.0);
        known.connections.insert(2, 1.0);
        let p = known.project(&Loss::of(0), &none(), 0);
        let held: f64 =
            p.lines.iter().flat_map(|l| &l.parts).filter(|p| p.site == 1).map(|p| p.connections).sum();
        assert!(held <= 1.0 + 1e-9, "{held}");
        assert_eq!(line(&p, 0, 2).served, 0.0, "the last in the order goes first");
    }

    #[test]
    fn bursts_errors_and_spread_cost_and_the_range_holds_the_mean() {
        let calm = known(1.2).project(&Loss::of(0), &none(), 0);
        let real = measured(&Setting::usual(1.2));
        let p = real.project(&Loss::of(0), &none(), 0);
        assert!(p.served < calm.served, "{} {}", p.served, calm.served);
        assert!(p.range.0 < p.served && p.served < p.range.1 + 1e-9);
        assert!(p.lines.iter().any(|l| l.wasted > 0.0));
        assert!(p.displaced[0] == 0.0 && p.displaced[1] > 0.0, "{:?}", p.displaced);
    }

    #[test]
    fn a_learned_ratio_is_clipped_bounded_and_forgotten() {
        let mut learned = Learned::new(1_000_000, 2);
        let key = (0, 0, 1);
        learned.saw(0, key, 100.0, f64::INFINITY, 1_000_000);
        learned.saw(0, key, 0.0, 5.0, 1_000_000);
        assert_eq!(learned.ratio(0, key), 1.0, "what cannot be is not learned");
        learned.saw(0, key, 100.0, 0.0, 1_000_000);
        let once = learned.ratio(0, key);
        assert!(once > 0.6 && once < 1.0, "one wrong sample is not believed: {once}");
        (0..100).for_each(|_| learned.saw(0, key, 1_000.0, 0.0, 10_000_000));
        assert_eq!(learned.ratio(0, key), 0.5);
        assert!(learned.ratio(30_000_000, key) > 0.99);
        (0..9).for_each(|n| learned.saw(0, (n, 0, 1), 10.0, 8.0, 1_000_000));
        assert!(learned.rows.len() <= 2);
    }

    #[test]
    fn a_correction_does_not_correct_itself() {
        let known = known(0.6);
        let mut learned = Learned::new(3_600_000_000, 100);
        for _ in 0..20 {
            let p = known.project(&Loss::of(0), &learned, 0);
            // Four fifths of the light ones are served, time and again.
            let rows: Vec<_> = (0..3).map(|site| ((0, site), 3_000.0, 2_400.0)).collect();
            p.teach(&mut learned, 0, 30_000_000, &rows);
        }
        let p = known.project(&Loss::of(0), &learned, 0);
        let light = line(&p, 1, 0);
        assert!((light.served / light.asked - 0.8).abs() < 0.01, "{light:?}");
    }

    #[test]
    fn one_member_that_tells_tenfold_moves_the_sum_by_one_member_more_at_most() {
        let told = [10.0, 11.0, 9.0, 100.0, 10.0];
        let sum: f64 = told.iter().map(|x: &f64| x.min(bound_of(&told))).sum();
        assert!((50.0..=61.0).contains(&sum), "{sum}");
    }

    proptest! {
        /// No projection serves more than was asked, nor more than there are cores, whatever is put in.
        #[test]
        fn nothing_is_served_that_is_not_asked_or_has_no_room(
            load in 0.0f64..4.0, engines in proptest::collection::vec(0.0f64..1.0, 3),
            k in proptest::collection::vec(0.2f64..5.0, 9), lost in 0usize..4,
        ) {
            let mut known = measured(&Setting::usual(load));
            known.k = k.iter().enumerate().map(|(n, &k)| ((n / 3, n % 3), k)).collect();
            let mut loss = if lost < 3 { Loss::of(lost) } else { Loss::none() };
            loss.engines = engines;
            let p = known.project(&loss, &none(), 0);
            for l in &p.lines {
                prop_assert!(l.served <= l.asked + 1e-6 && l.served >= 0.0 && l.served.is_finite());
                prop_assert!(l.range.0 <= l.served + 1e-9 && l.served <= l.range.1 + 1e-9);
            }
            for site in 0..3 {
                let work: f64 =
                    p.lines.iter().flat_map(|l| &l.parts).filter(|p| p.site == site).map(|p| p.work).sum();
                prop_assert!(work <= 20.0 * loss.left(site) + 1e-6, "{work} at {site}");
            }
        }
    }
}
