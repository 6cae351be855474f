//! A plan for a lost site, worked out before it is needed: a fluid model of the fleet, in which the work of each class flows
//! to the engines that may do it.
//!
//! What is kept is chosen by worth for work, the greatest first, as much of each as still fits beside what was chosen before.
//! What fits is a flow from classes to rooms (engines of one kind at one site), so that sums of work that fit form a
//! polymatroid, on which choosing greedily keeps the most worth there is.

/// Engines of one kind at one site.
#[derive(Debug, Clone, PartialEq)]
pub struct Room {
    /// The site and the kind, by place.
    pub site: usize,
    /// See `site`.
    pub kind: usize,
    /// How many engines.
    pub engines: u32,
}

/// A kind of machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Cores of one engine.
    pub cores: f64,
    /// Memory of one engine in megabytes; 0: not told.
    pub memory_mb: f64,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What one request is worth.
    pub worth: f64,
    /// The work of one, core seconds.
    pub work: f64,
    /// Threads that it runs on.
    pub threads: f64,
    /// Memory of one in megabytes.
    pub memory_mb: f64,
    /// Kinds and sites that it may run on, by place; `None`: any.
    pub kinds: Option<Vec<usize>>,
    /// See `kinds`.
    pub sites: Option<Vec<usize>>,
    /// Its effects must stay at the site of its client: it cannot be done elsewhere.
    pub bound: bool,
}

/// A fleet and what its clients ask for.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Fleet {
    /// Names of sites, and how many gateways each has.
    pub sites: Vec<(String, u32)>,
    /// Kinds of machine.
    pub kinds: Vec<Kind>,
    /// Engines.
    pub rooms: Vec<Room>,
    /// Classes.
    pub classes: Vec<Class>,
    /// Requests a second by site and class of their clients.
    pub demand: Vec<(usize, usize, f64)>,
    /// Part of the cores that can be filled before answers come too late.
    pub fill: f64,
}

/// One class of one site's clients, after the loss.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// The clients' site and the class, by place.
    pub site: usize,
    /// See `site`.
    pub class: usize,
    /// Requests a second asked for, and how many of them are kept.
    pub asked: f64,
    /// See `asked`.
    pub kept: f64,
    /// Worth for a core second: what is least of it is refused first.
    pub density: f64,
    /// It had to stay in the lost site.
    pub bound: bool,
}

/// A limit, and how far it is used by all that is asked for: over 1 it breaks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// `cores`, `memory` or `share`.
    pub name: &'static str,
    /// The part that is used.
    pub used: f64,
}

/// What the loss of a site leaves.
#[derive(Debug, Clone, PartialEq)]
pub struct Forecast {
    /// What is kept of each class and site of clients: the first one is kept first, the last one is refused first.
    pub lines: Vec<Line>,
    /// Worth a second asked for, and kept.
    pub worth: (f64, f64),
    /// Core seconds a second that the rest can do, and that are done.
    pub cores: (f64, f64),
    /// The limits, the one that breaks first in front.
    pub limits: Vec<Limit>,
    /// A kind by place, and how many engines of it more at a site that is left would keep all that is not bound to the lost one:
    /// the kind of which the fewest would; `None` if none alone would.
    pub more: Option<(usize, u32)>,
}

impl Fleet {
    fn capacity(&self, room: &Room) -> f64 {
        f64::from(room.engines) * self.kinds[room.kind].cores * self.fill
    }

    /// Whether requests of a class may run in a room.
    pub fn fits(&self, class: usize, room: &Room) -> bool {
        let c = &self.classes[class];
        let within = |set: &Option<Vec<usize>>, place| set.as_ref().is_none_or(|s| s.contains(&place));
        within(&c.kinds, room.kind) && within(&c.sites, room.site)
    }

    /// What is left without a site (`None`: nothing is lost).
    pub fn without(&self, lost: Option<usize>) -> Forecast {
        let rooms: Vec<Room> = self.rooms.iter().filter(|r| Some(r.site) != lost).cloned().collect();
        let mut forecast = self.keep(lost, &rooms);
        forecast.limits = self.limits(lost, &rooms);
        forecast.more = self.more(lost, &rooms);
        forecast
    }

    fn keep(&self, lost: Option<usize>, rooms: &[Room]) -> Forecast {
        let mut lines: Vec<Line> = self
            .demand
            .iter()
            .map(|&(site, class, asked)| {
                let c = &self.classes[class];
                let density = c.worth / c.work.max(1e-9);
                Line { site, class, asked, kept: 0.0, density, bound: c.bound && Some(site) == lost }
            })
            .collect();
        // Of the same density the own clients of a site that is left go before those of the lost one.
        let order = |l: &Line| (-l.density, Some(l.site) == lost, l.site, l.class);
        lines.sort_by(|a, b| order(a).partial_cmp(&order(b)).expect("no density is NaN"));
        let mut flow = Flow::new(rooms.iter().map(|r| self.capacity(r)).collect());
        for line in lines.iter_mut().filter(|l| !l.bound) {
            let c = &self.classes[line.class];
            let may = |r: &Room| self.fits(line.class, r) && (!c.bound || r.site == line.site);
            let open: Vec<bool> = rooms.iter().map(may).collect();
            let work = c.work.max(1e-9);
            line.kept = (flow.add(open, line.asked * work) / work).min(line.asked);
        }
        // Clients of sites that are left are refused alike: where a class may run does not depend on whose it is.
        for class in (0..self.classes.len()).filter(|&c| !self.classes[c].bound) {
            let left = lines.iter_mut().filter(|l| l.class == class && Some(l.site) != lost);
            let mut alike: Vec<&mut Line> = left.collect();
            let kept: f64 = alike.iter().map(|l| l.kept).sum();
            let asked: f64 = alike.iter().map(|l| l.asked).sum();
            alike.iter_mut().for_each(|l| l.kept = l.asked * kept / asked.max(1e-9));
        }
        let worth =
            |of: fn(&Line) -> f64| lines.iter().map(|l| of(l) * self.classes[l.class].worth).sum::<f64>();
        let done = lines.iter().map(|l| l.kept * self.classes[l.class].work).sum();
        Forecast {
            worth: (worth(|l| l.asked), worth(|l| l.kept)),
            cores: (rooms.iter().map(|r| self.capacity(r)).sum(), done),
            lines,
            limits: Vec::new(),
            more: None,
        }
    }

    /// How far all that is asked for, and could be done elsewhere, uses what is left.
    fn limits(&self, lost: Option<usize>, rooms: &[Room]) -> Vec<Limit> {
        let asked = |of: &dyn Fn(&Class) -> f64| -> f64 {
            let free = |d: &&(usize, usize, f64)| !(self.classes[d.1].bound && Some(d.0) == lost);
            self.demand.iter().filter(free).map(|&(_, class, rate)| rate * of(&self.classes[class])).sum()
        };
        let sum = |of: &dyn Fn(&Kind) -> f64| -> f64 {
            rooms.iter().map(|r| f64::from(r.engines) * of(&self.kinds[r.kind])).sum()
        };
        let part = |used: f64, of: f64| if used <= 0.0 { 0.0 } else { used / of.max(1e-9) };
        let cores = part(asked(&|c| c.work), sum(&|k| k.cores) * self.fill);
        // A request holds its memory while it runs.
        let held = asked(&|c| c.memory_mb * c.work / c.threads.max(1.0));
        let memory = part(held, sum(&|k| k.memory_mb));
        // A gateway takes its part of the fleet: a request that needs more threads than that has to be let in by widening alone.
        let gateways: u32 =
            self.sites.iter().enumerate().filter(|(n, _)| Some(*n) != lost).map(|(_, s)| s.1).sum();
        let widest = self.demand.iter().map(|d| self.classes[d.1].threads).fold(0.0, f64::max);
        let share = part(widest, sum(&|k| k.cores) / f64::from(gateways.max(1)));
        let mut limits = vec![
            Limit { name: "cores", used: cores },
            Limit { name: "memory", used: if sum(&|k| k.memory_mb) > 0.0 { memory } else { 0.0 } },
            Limit { name: "share", used: share },
        ];
        limits.sort_by(|a, b| b.used.total_cmp(&a.used));
        limits
    }

    fn more(&self, lost: Option<usize>, rooms: &[Room]) -> Option<(usize, u32)> {
        let mut kinds: Vec<Room> = rooms.to_vec();
        kinds.sort_by_key(|r| r.kind);
        kinds.dedup_by_key(|r| r.kind);
        let needed = |room: &Room| Some((room.kind, self.more_of(lost, rooms, room)?));
        kinds.iter().filter_map(needed).min_by_key(|n| n.1)
    }

    fn more_of(&self, lost: Option<usize>, rooms: &[Room], kind: &Room) -> Option<u32> {
        let all = |extra: u32| {
            let mut rooms = rooms.to_vec();
            rooms.push(Room { engines: extra, ..kind.clone() });
            let kept = self.keep(lost, &rooms);
            kept.lines.iter().filter(|l| !l.bound).all(|l| l.kept >= l.asked * (1.0 - 1e-9))
        };
        if all(0) {
            return Some(0);
        }
        let mut most = 1u32;
        while !all(most) {
            most = most.checked_mul(2).filter(|&m| m <= 1 << 16)?;
        }
        let mut least = most / 2;
        while least + 1 < most {
            let middle = least + (most - least) / 2;
            (least, most) = if all(middle) { (least, middle) } else { (middle, most) };
        }
        Some(most)
    }
}

/// Work of classes in rooms; what was let in stays in, but may move.
pub(crate) struct Flow {
    room: Vec<f64>,
    /// For each class let in: where it may run, and how much of it is where.
    pub(crate) classes: Vec<(Vec<bool>, Vec<f64>)>,
}

const NOTHING: f64 = 1e-9;

impl Flow {
    pub(crate) fn new(room: Vec<f64>) -> Flow {
        Flow { room, classes: Vec::new() }
    }

    /// Lets in as much of a class's work as there is room for, others moving aside; gives how much.
    pub(crate) fn add(&mut self, open: Vec<bool>, work: f64) -> f64 {
        let nowhere = vec![0.0; open.len()];
        self.classes.push((open, nowhere));
        let own = self.classes.len() - 1;
        let mut done = 0.0;
        while work - done > NOTHING {
            let Some(path) = self.path(own) else { break };
            // The path: class, room, class, room, and so on; the last room has space.
            let last = path[path.len() - 1].1;
            let moved = path.windows(2).map(|p| self.classes[p[1].0].1[p[0].1]);
            let step = moved.fold(self.room[last].min(work - done), f64::min);
            for (i, &(class, room)) in path.iter().enumerate() {
                self.classes[class].1[room] += step;
                if let Some(&(next, _)) = path.get(i + 1) {
                    self.classes[next].1[room] -= step;
                }
            }
            self.room[last] -= step;
            done += step;
        }
        done
    }

    /// The shortest way from a class to a room with space: over rooms that others can be moved out of.
    fn path(&self, from: usize) -> Option<Vec<(usize, usize)>> {
        let mut before: Vec<Option<(usize, Option<usize>)>> = vec![None; self.room.len()];
        let mut seen = vec![false; self.classes.len()];
        let mut next = std::collections::VecDeque::from([(from, None)]);
        seen[from] = true;
        while let Some((class, via)) = next.pop_front() {
            for room in 0..self.room.len() {
                if !self.classes[class].0[room] || before[room].is_some() || via == Some(room) {
                    continue;
                }
                before[room] = Some((class, via));
                if self.room[room] > NOTHING {
                    let (mut path, mut at) = (Vec::new(), Some(room));
                    while let Some(room) = at {
                        let (class, via) = before[room]?;
                        path.push((class, room));
                        at = via;
                    }
                    path.reverse();
                    return Some(path);
                }
                for (other, class) in self.classes.iter().enumerate() {
                    if !seen[other] && class.1[room] > NOTHING {
                        seen[other] = true;
                        next.push_back((other, Some(room)));
                    }
                }
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn kind(cores: f64) -> Kind {
        Kind { name: format!("m{cores}"), cores, memory_mb: cores * 2048.0 }
    }

    fn class(name: &str, worth: f64, work: f64) -> Class {
        let (kinds, sites) = (None, None);
        Class { name: name.into(), worth, work, threads: 1.0, memory_mb: 100.0, kinds, sites, bound: false }
    }

    /// Three sites of two engines of ten cores each, filled to four fifths.
    fn fleet(classes: Vec<Class>, demand: Vec<(usize, usize, f64)>) -> Fleet {
        let site = |n: usize| (format!("s{n}"), 4);
        let room = |site| Room { site, kind: 0, engines: 2 };
        Fleet {
            sites: (0..3).map(site).collect(),
            kinds: vec![kind(10.0)],
            rooms: (0..3).map(room).collect(),
            classes,
            demand,
            fill: 0.8,
        }
    }

    #[test]
    fn what_is_worth_least_for_its_work_is_refused_first() {
        // 48 of 60 cores can be filled, 32 without a site; 45 are asked for, 15 at each site.
        let classes = vec![class("light", 1.0, 0.1), class("heavy", 2.0, 1.0)];
        let demand = (0..3).flat_map(|s| [(s, 0, 100.0), (s, 1, 5.0)]).collect();
        let f = fleet(classes, demand);
        let whole = f.without(None);
        assert_eq!((whole.worth.1, whole.more), (whole.worth.0, Some((0, 0))));
        let lost = f.without(Some(1));
        let kept = |class| lost.lines.iter().filter(|l| l.class == class).map(|l| l.kept).sum::<f64>();
        assert!((kept(0) - 300.0).abs() < 1e-6 && (kept(1) - 2.0).abs() < 1e-6, "{lost:?}");
        assert_eq!(lost.lines.last().map(|l| (l.site, l.class)), Some((1, 1)), "the lost site's go last");
        assert_eq!((lost.limits[0].name, lost.more), ("cores", Some((0, 2))));
        assert!((lost.limits[0].used - 45.0 / 32.0).abs() < 1e-9);
    }

    #[test]
    fn what_is_bound_to_the_lost_site_is_refused_and_what_is_bound_elsewhere_stays() {
        let bound = Class { bound: true, ..class("local", 9.0, 1.0) };
        let f = fleet(vec![bound], vec![(0, 0, 4.0), (1, 0, 4.0)]);
        let lost = f.without(Some(0));
        let line = |site| lost.lines.iter().find(|l| l.site == site).expect("a line");
        assert_eq!((line(0).kept, line(0).bound, line(1).kept), (0.0, true, 4.0));
        assert_eq!(lost.more, Some((0, 0)), "no engine elsewhere would help");
    }

    #[test]
    fn others_move_aside_for_what_may_run_in_few_places() {
        // The first may run anywhere and would fill the place that the second needs.
        let narrow = Class { sites: Some(vec![1]), ..class("narrow", 1.0, 1.0) };
        let f = fleet(vec![class("wide", 2.0, 1.0), narrow], vec![(1, 0, 16.0), (1, 1, 16.0)]);
        let lost = f.without(Some(0));
        assert!(lost.lines.iter().all(|l| (l.kept - 16.0).abs() < 1e-6), "{lost:?}");
    }

    #[test]
    fn a_query_wider_than_a_gateways_part_is_told() {
        let wide = Class { threads: 8.0, ..class("wide", 1.0, 0.1) };
        let mut f = fleet(vec![wide], vec![(0, 0, 1.0)]);
        f.sites.iter_mut().for_each(|s| s.1 = 8);
        // 40 cores among 16 gateways: 2.5 for each, and 8 are needed at once.
        let lost = f.without(Some(0));
        assert_eq!((lost.limits[0].name, lost.limits[0].used), ("share", 3.2));
    }

    proptest! {
        /// No choice among many drawn ones that fit keeps more worth, and nothing is put where it may not go.
        #[test]
        fn no_drawn_choice_keeps_more(
            worths in proptest::collection::vec((0.1f64..9.0, 0.05f64..3.0, 1usize..8, 0.5f64..30.0), 1..5),
            parts in proptest::collection::vec(0.0f64..1.0, 15),
        ) {
            let classes = worths.iter().enumerate().map(|(n, &(worth, work, sites, _))| {
                let sites = (0..3).filter(|s| sites >> s & 1 == 1).collect();
                Class { sites: Some(sites), ..class(&format!("c{n}"), worth, work) }
            }).collect();
            let demand = worths.iter().enumerate().map(|(n, w)| (n % 3, n, w.3)).collect();
            let f = fleet(classes, demand);
            let best = f.without(Some(2));
            prop_assert!(best.cores.1 <= best.cores.0 + 1e-6);
            // Another way: each class in turn takes a drawn part of what is left in each room.
            let mut room = [16.0, 16.0];
            let mut worth = 0.0;
            for (n, &(w, work, sites, rate)) in worths.iter().enumerate() {
                let mut left = rate * work;
                for site in 0..2 {
                    if sites >> site & 1 == 1 {
                        let take = (room[site] * parts[(n * 3 + site) % 15]).min(left);
                        room[site] -= take;
                        left -= take;
                        worth += take / work * w;
                    }
                }
            }
            prop_assert!(best.worth.1 >= worth - 1e-6, "{} under {worth}", best.worth.1);
        }
    }
}
