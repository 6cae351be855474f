//! One adversary for each guard of `held`: a short history, written by hand, in which that guard is the one that stands between
//! the fleet and harm. With all guards nothing happens in any of them; with one taken out (`Plant`) its own history shows it.

use std::collections::{BTreeMap, BTreeSet};

use violetward_windows::cover::{Cover, Engine, Part, Spare, Terms as CoverTerms};
use violetward_windows::find::{Margins, Outlook};
use violetward_windows::held::{admissible, Evidence, Grant, Held, Phase, Plant, Terms};
use violetward_windows::profile::{self, Profile, QUARTER, QUARTERS, WEEK};
use violetward_windows::{Cell, Wall};

const S: u64 = 1_000_000;
const WARM: u64 = 60 * S;
/// How late a gateway sees what happens to engines.
const LAG: u64 = 3 * S;
/// The bound within which all act on what a version says.
const BOUND: u64 = 20 * S;
const MARGINS: Margins = Margins { slack: 2 * S, lead: 5 * S };
const START: Wall = 101 * WEEK + 10 * 3_600 * S;
const CELL: Cell = Cell { class: 1, group: None, kind: None, zone: None, site: None };
/// Two of the four engines are enough for it.
const NEEDS: f64 = 12.0;

fn cover(spare: Spare) -> Cover {
    let engine = |n: u16| {
        let name = format!("e{n}");
        Engine { name, kind: 0, zone: 0, site: n, groups: None, cores: 10.0 }
    };
    let terms = CoverTerms { fill: 0.8, spare, cold: 0.25, warm: WARM };
    Cover::new((0..4).map(engine).collect(), BTreeMap::new(), terms).unwrap()
}

fn outlook(spare: Spare) -> Outlook<'static> {
    let mut profile = Profile::new(profile::Terms { samples: 1, weeks: 1, of: 1, ..Default::default() });
    for quarter in 0..=QUARTERS as u64 {
        profile.sample(100 * WEEK + quarter * QUARTER, &[(CELL, NEEDS)]);
    }
    Outlook::owning(cover(spare), &profile, &[CELL], MARGINS, START)
}

/// What versions two gateways act on is the history's to say; whether they may exist, `admissible`'s.
struct World {
    outlook: Outlook<'static>,
    bare: Cover,
    plant: Plant,
    now: u64,
    newest: Vec<Grant>,
    held: [Held; 2],
    acts: [Option<Vec<Vec<Grant>>>; 2],
    /// How far the wall clocks are off, and whether anything is heard of engines.
    off: [i64; 2],
    news: [bool; 2],
    dead: BTreeMap<String, u64>,
    /// Engines that operators have taken, and when they brought them back, cold.
    out: BTreeSet<String>,
    back: BTreeMap<String, u64>,
    harm: Vec<String>,
}

impl World {
    fn new(plant: Plant) -> World {
        let held = || Held::new(Terms { fresh: 10 * S, drift: 1_000, plant });
        World {
            outlook: outlook(Spare::Engine),
            bare: cover(Spare::Nothing),
            plant,
            now: 0,
            newest: Vec::new(),
            held: [held(), held()],
            acts: [Some(vec![Vec::new()]), Some(vec![Vec::new()])],
            off: [0; 2],
            news: [true; 2],
            dead: BTreeMap::new(),
            out: BTreeSet::new(),
            back: BTreeMap::new(),
            harm: Vec::new(),
        }
    }

    fn window(&self, name: &str, engine: &str, after: u64, span: u64) -> Grant {
        let from = START + self.now + after * S;
        let engines = BTreeSet::from([engine.to_owned()]);
        Grant { name: name.into(), engines, from, until: from + span * S, by: "o".into(), off: false }
    }

    /// A version with these windows, where voters find it fit; gateways go on with what they act on.
    fn version(&mut self, asked: &[Grant]) -> bool {
        let now = START + self.now;
        let good = admissible(&self.newest, asked, &self.outlook, now, self.plant).is_ok();
        if good {
            self.newest = asked.to_vec();
        }
        good
    }

    /// All act on the newest version alone.
    fn all_learn(&mut self) {
        self.acts = [Some(vec![self.newest.clone()]), Some(vec![self.newest.clone()])];
    }

    fn dies(&mut self, engine: &str) {
        self.dead.insert(engine.into(), self.now);
    }

    fn pass(&mut self, seconds: u64) {
        (0..seconds).for_each(|_| self.second());
    }

    fn second(&mut self) {
        self.now += S;
        let now = self.now;
        let seen = |since: &u64| since + LAG <= now;
        let evidence = Evidence {
            down: self.dead.iter().filter(|d| seen(d.1)).map(|d| d.0.clone()).collect(),
            cold: self.cold().into_iter().filter(|e| seen(&self.back[e])).collect(),
            doubtful: BTreeSet::new(),
            demand: vec![(CELL, NEEDS)],
        };
        for g in 0..2 {
            self.held[g].versions(self.acts[g].clone());
            if self.news[g] {
                self.held[g].evidence(now, evidence.clone());
            }
            self.held[g].step(
                now,
                (START as i64 + now as i64 + self.off[g] * S as i64) as Wall,
                &self.outlook,
            );
        }
        // Operators take what is open at either, and bring it back once it is not.
        let mut open = BTreeSet::new();
        for held in &self.held {
            let away = held.away();
            let named = held.windows().filter(|w| *w.1 == Phase::Open).flat_map(|w| w.0.engines.clone());
            open.extend(named.filter(|e| away.contains(e)));
        }
        self.back.extend(self.out.difference(&open).map(|e| (e.clone(), now)));
        self.out = open;
        self.look();
    }

    fn cold(&self) -> BTreeSet<String> {
        self.back.iter().filter(|b| self.now < b.1 + WARM).map(|b| b.0.clone()).collect()
    }

    fn left_out(&self) -> BTreeSet<String> {
        self.held.iter().flat_map(Held::away).chain(self.out.iter().cloned()).collect()
    }

    /// What must not be.
    fn look(&mut self) {
        let (left, cold) = (self.left_out(), self.cold());
        let covers = |windows: bool| {
            let part = |e: &Engine| match () {
                () if self.dead.contains_key(&e.name) || windows && left.contains(&e.name) => Part::Away,
                () if windows && cold.contains(&e.name) => Part::Cold,
                () => Part::Up,
            };
            let parts: Vec<Part> = self.bare.engines().iter().map(part).collect();
            self.bare.covers(&self.bare.shape([CELL]), &[NEEDS], &parts)
        };
        let mut harm = Vec::new();
        if covers(true).is_err() && covers(false).is_ok() {
            harm.push(format!("uncovered by windows: left out {left:?}, cold {cold:?}"));
        }
        // An engine that is worked on gets nothing new: who may act knows of the window.
        for (g, other) in [(0, 1), (1, 0)] {
            let away = self.held[g].away();
            let open = self.held[g].windows().filter(|w| *w.1 == Phase::Open);
            for (grant, ..) in open.filter(|w| w.0.engines.is_subset(&away)) {
                let knows = |all: &Vec<Vec<Grant>>| all.iter().flatten().any(|v| v.name == grant.name);
                if self.acts[other].as_ref().is_some_and(|all| !knows(all)) {
                    harm.push(format!("{} is open at one, and unknown to another that may act", grant.name));
                }
            }
        }
        if let Some(first) = cold.iter().find(|_| left.iter().any(|e| !cold.contains(e))) {
            harm.push(format!("{left:?} is left out before {first} is warm"));
        }
        self.harm.extend(harm.into_iter().map(|h| format!("at {} s: {h}", self.now / S)));
    }
}

/// Three windows at once, each safe alone.
fn alone(w: &mut World) {
    for (name, engine) in [("a", "e0"), ("b", "e1"), ("c", "e2")] {
        let mut asked = w.newest.clone();
        asked.push(w.window(name, engine, 60, 60));
        w.version(&asked);
    }
    w.all_learn();
    w.pass(100);
}

/// A program that does not know of the window that is open asks for another one, and an engine fails.
fn dropped(w: &mut World) {
    assert!(w.version(&[w.window("a", "e0", 20, 300)]));
    w.all_learn();
    w.pass(40);
    w.version(&[w.window("b", "e1", 25, 300)]);
    w.pass(20);
    w.all_learn();
    w.dies("e3");
    w.pass(10);
}

/// One that may act on the version before alone has never heard of the window.
fn any_version(w: &mut World) {
    assert!(w.version(&[w.window("a", "e0", 10, 60)]));
    w.acts[0] = Some(vec![Vec::new(), w.newest.clone()]);
    w.pass(30);
}

/// A gateway that has just started has no news; an engine is dead already, and another one dies.
fn no_look(w: &mut World) {
    assert!(w.version(&[w.window("a", "e0", 60, 300)]));
    w.pass(10);
    w.dies("e1");
    w.pass(30);
    w.held[1] = Held::new(Terms { fresh: 10 * S, drift: 1_000, plant: w.plant });
    // The other one is cut off, without a lease.
    w.acts = [None, Some(vec![w.newest.clone()])];
    w.news[1] = false;
    w.pass(30);
    w.dies("e2");
    w.pass(10);
}

/// An engine dies in a window; much later another one.
fn not_called_off(w: &mut World) {
    assert!(w.version(&[w.window("a", "e0", 20, 600)]));
    w.all_learn();
    w.pass(40);
    w.dies("e1");
    w.pass((LAG + BOUND + WARM) / S + 10);
    w.dies("e2");
    w.pass(10);
}

/// A wall clock jumps to the time of a later window while another one is open, and an engine dies.
fn wall_clock(w: &mut World) {
    let asked = [w.window("a", "e0", 20, 60), w.window("b", "e1", 600, 60)];
    assert!(w.version(&asked));
    w.all_learn();
    w.pass(40);
    w.off[1] = 580;
    w.pass(5);
    w.dies("e3");
    w.pass(10);
}

/// Nobody says that a window has ended; the next one comes, and an engine dies.
fn no_end(w: &mut World) {
    let asked = [w.window("a", "e0", 20, 60), w.window("b", "e1", 300, 60)];
    assert!(w.version(&asked));
    w.all_learn();
    w.pass(310);
    w.dies("e3");
    w.pass(10);
}

/// Two windows so close that what the first one took is still cold in the second, where that is enough: no spare is asked for.
fn no_wait(w: &mut World) {
    w.outlook = outlook(Spare::Nothing);
    let asked = [w.window("a", "e0", 20, 60), w.window("b", "e1", 90, 60)];
    assert!(w.version(&asked));
    w.all_learn();
    w.pass(130);
}

/// A gateway is cut off in a window, from everybody and from news; an engine dies, the others call the window off, and much later
/// another engine dies.
fn no_lease(w: &mut World) {
    assert!(w.version(&[w.window("a", "e0", 20, 600)]));
    w.all_learn();
    w.pass(40);
    (w.acts[1], w.news[1]) = (None, false);
    w.dies("e1");
    w.pass(LAG / S + 2);
    let off = [Grant { off: true, ..w.newest[0].clone() }];
    assert!(w.version(&off));
    w.acts[0] = Some(vec![w.newest.clone()]);
    w.pass((BOUND + WARM) / S + 10);
    w.dies("e2");
    w.pass(10);
}

type History = fn(&mut World);

const ALL: [(Plant, History); 9] = [
    (Plant::Alone, alone),
    (Plant::Dropped, dropped),
    (Plant::AnyVersion, any_version),
    (Plant::NoLook, no_look),
    (Plant::NotCalledOff, not_called_off),
    (Plant::WallClock, wall_clock),
    (Plant::NoEnd, no_end),
    (Plant::NoWait, no_wait),
    (Plant::NoLease, no_lease),
];

fn harm(plant: Plant, history: History) -> Vec<String> {
    let mut w = World::new(plant);
    history(&mut w);
    w.harm
}

#[test]
fn each_guard_is_missed_when_it_is_taken_out_and_nothing_happens_with_all_of_them() {
    let mut unfound = Vec::new();
    for (plant, history) in ALL {
        assert_eq!(harm(Plant::None, history), Vec::<String>::new(), "{plant:?}: with all guards");
        let found = harm(plant, history);
        println!("{plant:?}: {}", found.first().map_or("not found", String::as_str));
        if found.is_empty() {
            unfound.push(plant);
        }
    }
    assert_eq!(unfound, [], "faults that nothing shows");
}

#[test]
fn after_a_step_of_the_clock_nothing_begins_until_it_is_said_to_be_right() {
    for step in [-3_600, -3, 3, 3_600] {
        let mut w = World::new(Plant::None);
        assert!(w.version(&[w.window("a", "e0", 60, 300)]));
        w.all_learn();
        w.pass(10);
        // Set while it is to come.
        w.off[0] = step;
        w.pass(60);
        assert!(w.held[0].clock_was_set() && w.held[0].away().is_empty(), "{step}");
        assert_eq!(w.held[1].away(), BTreeSet::from(["e0".to_owned()]), "whose clock runs on");
        w.off[0] = 0;
        w.pass(10);
        assert!(w.held[0].away().is_empty(), "{step}: nobody has said that it is right");
        w.held[0].clock_is_right();
        w.pass(2);
        assert_eq!(w.held[0].away(), BTreeSet::from(["e0".to_owned()]), "{step}");
        // What has begun ends by the time that it began by.
        w.off[0] = step;
        w.pass(300);
        assert!(w.held[0].away().is_empty() && w.harm.is_empty(), "{step}: {:?}", w.harm);
    }
}
