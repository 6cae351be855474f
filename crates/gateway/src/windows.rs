//! Carries out windows of maintenance: tells `violetward-windows` what versions say and what is known of the fleet, has engines
//! drain, and keeps profiles of demand. Decides nothing about windows.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use violetward::{Class, Listed, Settings};
use violetward_store::file::FileStore;
use violetward_store::medium::Directory;
use violetward_store::Store;
use violetward_windows::cover::{Cover, Engine, Placement};
use violetward_windows::find::Outlook;
use violetward_windows::held::{self, Effect, Evidence, Grant, Held, Phase, Plant, Reason};
use violetward_windows::profile::{Profile, QUARTER};
use violetward_windows::{Cell as Needs, Wall};

use crate::host::Host;
use crate::record::EngineRecord;
use crate::rules::Rules;
use crate::terms::{micros, Names, WindowTerms};
use crate::timestamp;

/// Where this is told.
pub const PATH: &str = "/v1/windows";
/// Between two looks at everything.
const STEP: Duration = Duration::from_millis(250);
/// A step that comes so late says that this process stood still: what it knows of the fleet is old.
const STILL: u64 = 1_000_000;
/// Voters propose to call a window off in turn, so far apart: mostly the first one's version has come by then.
const TURN: u64 = 400_000;
/// The name of the profile in its store.
const KEPT: &str = "profile";

/// How the fleet and what is asked of it look at a moment: what a cover is made from.
#[derive(Debug, Clone, PartialEq)]
struct Fleet {
    engines: Vec<EngineRecord>,
    /// Engines that are not to get anything, windows apart.
    out: BTreeSet<String>,
    classes: Vec<Class>,
    /// The sites of engines, where `(site-loss ...)` tells them; else zones stand for sites.
    sites: BTreeMap<String, usize>,
}

/// Windows at this gateway. See the module's documentation.
pub struct Windows {
    terms: WindowTerms,
    names: Names,
    settings: Settings,
    /// This gateway's place among those that vote.
    place: Option<u64>,
    held: RefCell<Held>,
    profile: RefCell<Profile>,
    store: Option<Arc<Mutex<FileStore<Directory>>>>,
    /// What is wrong with the profile's store.
    trouble: RefCell<Option<String>>,
    fleet: RefCell<Fleet>,
    /// Made anew whenever the fleet, the quarter hour or the profile is another one.
    outlook: RefCell<Outlook<'static>>,
    /// Windows that are to be called off by a version, and from when on that is this gateway's turn.
    calls: RefCell<BTreeMap<String, u64>>,
    stepped: Cell<u64>,
    /// Until then what is known of the fleet is not believed.
    deaf: Cell<u64>,
    away: RefCell<BTreeSet<String>>,
}

/// A window as `/v1/windows` tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Row {
    /// Its name and its engines.
    pub name: String,
    /// See `name`.
    pub engines: Vec<String>,
    /// Its start and its end.
    pub from: String,
    /// See `from`.
    pub until: String,
    /// Who asked for it.
    pub by: String,
    /// A version calls it off.
    pub off: bool,
    /// `granted`, `draining`, `open`, `returning`, `over` or `off`.
    pub phase: String,
    /// Why it is off, or what would keep it from beginning now.
    pub reason: Option<String>,
}

/// What `/v1/windows` tells.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Standing {
    /// The time of day as windows go by it.
    pub now: String,
    /// The wall clock was set: nothing begins until somebody says that it is right.
    pub clock_was_set: bool,
    /// Whether there is a lease: without one nothing is left out.
    pub lease: bool,
    /// Engines that are known here.
    pub engines: usize,
    /// Engines that nothing new is sent to because of windows.
    pub away: Vec<String>,
    /// Engines that are known to have failed, and that are cold.
    pub down: Vec<String>,
    /// See `down`.
    pub cold: Vec<String>,
    /// The windows that are known here.
    pub windows: Vec<Row>,
    /// Classes of which it is not sure what they need now, and why.
    pub unsure: Vec<String>,
    /// What is wrong with the store of profiles.
    pub trouble: Option<String>,
}

fn wall() -> Wall {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Wall
}

/// What the requests of a class are asked for as.
fn cell(class: usize) -> Needs {
    Needs { class: class as u16, group: None, kind: None, zone: None, site: None }
}

fn short(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

impl Fleet {
    /// The engines that may get something, as they are judged.
    fn cover(&self, settings: &Settings, terms: &WindowTerms) -> Result<Cover, String> {
        let engine = |r: &EngineRecord| Engine {
            name: r.name.clone(),
            kind: short(r.entry.kind.0),
            zone: short(r.entry.zone.0),
            site: short(self.sites.get(&r.name).copied().unwrap_or(r.entry.zone.0)),
            groups: None,
            cores: settings.kinds.get(r.entry.kind.0).map_or(0.0, |k| k.cores),
        };
        let placement = |(n, class): (usize, &Class)| {
            let kinds = class.kinds.as_ref().map(|all| all.iter().map(|k| short(k.0)).collect());
            let zones = class.zones.as_ref().map(|all| all.iter().map(|z| short(z.0)).collect());
            (short(n), Placement { kinds, zones, sites: None, bound: false, worth: class.worth })
        };
        let engines = self.engines.iter().map(engine).collect();
        let placements = self.classes.iter().enumerate().map(placement).collect();
        Cover::new(engines, placements, terms.cover).map_err(|e| e.to_string())
    }
}

impl Windows {
    /// Starts the task that looks after windows; it runs as long as the host's executor does.
    ///
    /// # Errors
    /// If another process uses the folder of profiles.
    pub fn start(host: &Rc<Host>, terms: &WindowTerms) -> std::io::Result<Rc<Windows>> {
        let agreement = host.config.agreement.as_ref();
        let drift = agreement.map_or(1_000, |a| a.drift_ppm);
        let mut store = FileStore::open(&terms.folder)
            .map_err(|e| std::io::Error::other(format!("{}: {e}", terms.folder.display())))?;
        let (profile, trouble) = kept(&mut store, terms);
        let fleet = Fleet { engines: vec![], out: BTreeSet::new(), classes: vec![], sites: BTreeMap::new() };
        let settings = host.config.settings.clone();
        let cover = fleet.cover(&settings, terms).map_err(std::io::Error::other)?;
        let outlook = Outlook::owning(cover, &profile, &[], terms.margins, wall());
        let place = agreement.and_then(|a| a.voters.iter().position(|v| *v == a.name));
        let fresh = micros(terms.max_fleet_age);
        let windows = Rc::new(Windows {
            terms: terms.clone(),
            names: host.config.names.clone(),
            settings,
            place: place.map(|p| p as u64),
            held: RefCell::new(Held::new(held::Terms { fresh, drift, plant: Plant::None })),
            profile: RefCell::new(profile),
            store: Some(Arc::new(Mutex::new(store))),
            trouble: RefCell::new(trouble),
            fleet: RefCell::new(fleet),
            outlook: RefCell::new(outlook),
            calls: RefCell::default(),
            stepped: Cell::new(host.now()),
            // What a gateway that has just started knows of engines and of demand is no news yet.
            deaf: Cell::new(host.now() + fresh),
            away: RefCell::default(),
        });
        *host.windows.borrow_mut() = Some(windows.clone());
        host.spawn(windows.clone().run(host.clone()));
        host.spawn(windows.clone().learn(host.clone()));
        Ok(windows)
    }

    /// The windows of each version that is acted on from now on; `None`: there is no lease.
    pub fn versions(&self, versions: Option<Vec<Vec<Grant>>>) {
        self.held.borrow_mut().versions(versions);
    }

    /// The wall clock was set on purpose and is right.
    pub fn clock_is_right(&self) {
        self.held.borrow_mut().clock_is_right();
    }

    /// The engines that nothing new is sent to because of windows.
    pub fn away(&self) -> BTreeSet<String> {
        self.held.borrow().away()
    }

    /// Whether a version with these rules may follow one with those, as things are: see [`held::admissible`].
    ///
    /// # Errors
    /// Why not.
    pub fn fit(&self, host: &Host, before: &Rules, asked: &Rules) -> Result<bool, String> {
        let old = |g: &Grant| before.windows().iter().any(|b| b.name == g.name);
        let now = {
            let mut held = self.held.borrow_mut();
            let now = held.now(host.now(), wall());
            if held.clock_was_set() && !asked.windows().iter().all(old) {
                return Err(
                    "this gateway's wall clock was set: it does not know by which time windows go".into()
                );
            }
            now
        };
        // As the fleet is under that version.
        let mut fleet = self.fleet.borrow().clone();
        fleet.classes = asked.restrict(&self.settings, &self.names).0;
        fleet.engines.retain(|r| !fleet.out.contains(&r.name) && asked.named_state(&r.name) == Listed::Up);
        let outlook = self.outlook_of(&fleet, now)?;
        held::admissible(before.windows(), asked.windows(), &outlook, now, Plant::None)
            .map_err(|e| self.named(&e.to_string()))
    }

    fn outlook_of(&self, fleet: &Fleet, now: Wall) -> Result<Outlook<'static>, String> {
        let cover = fleet.cover(&self.settings, &self.terms)?;
        let named: Vec<Needs> = (0..self.names.classes.len()).map(cell).collect();
        // A gateway with a slower clock asks about what is past by this one's.
        let from = now.saturating_sub(QUARTER);
        Ok(Outlook::owning(cover, &self.profile.borrow(), &named, self.terms.margins, from))
    }

    /// A reason with the classes' names in place of their numbers.
    fn named(&self, reason: &str) -> String {
        let mut text = reason.to_owned();
        for (n, name) in self.names.classes.iter().enumerate().rev() {
            text = text.replace(&format!("class {n} "), &format!("class {name} "));
        }
        text
    }

    /// Work asked for now in the whole fleet, as far as members tell it: core seconds a second of each class.
    fn demand(&self, host: &Host) -> Vec<(Needs, f64)> {
        let told = host.peers().map(|p| p.demand_of_all()).unwrap_or_default();
        let work = |class: usize| told.get(class).copied().unwrap_or(0.0) / 1e3;
        (0..self.names.classes.len()).map(|class| (cell(class), work(class))).collect()
    }

    fn evidence(&self, host: &Host, now: u64) -> Evidence {
        let fleet = self.fleet.borrow();
        let mut down = fleet.out.clone();
        down.extend(host.read_core(|core| core.unhealthy_engines()));
        let young = |r: &&EngineRecord| r.entry.came_up.saturating_add(self.terms.cover.warm) > now;
        let cold = fleet.engines.iter().filter(young).map(|r| r.name.clone()).collect();
        let doubtful = host.outage().map(|outage| outage.away()).unwrap_or_default();
        let doubtful = doubtful.into_iter().map(short).collect();
        Evidence { down, cold, doubtful, demand: self.demand(host) }
    }

    /// Looks at everything again and again. Never ends.
    async fn run(self: Rc<Self>, host: Rc<Host>) {
        loop {
            self.step(&host);
            violetward_net::sleep(STEP).await;
        }
    }

    fn step(&self, host: &Rc<Host>) {
        let agreed = host.agreed.borrow().clone();
        // A lease that has run out meanwhile, first.
        agreed.iter().for_each(|a| a.refresh_rules(host));
        let now = host.now();
        if now.saturating_sub(self.stepped.replace(now)) > STILL {
            self.deaf.set(now + micros(self.terms.max_fleet_age));
        }
        let away = self.away.borrow().clone();
        let (engines, out, classes) = host.read_core(|core| core.fleet(&away));
        let sites = host.outage().map(|outage| outage.sites_of(host, &engines)).unwrap_or_default();
        let fleet = Fleet { engines, out, classes, sites };
        let (at, changed) = {
            let at = self.held.borrow_mut().now(now, wall());
            let quarter = self.outlook.borrow().span_of(1).0;
            (at, *self.fleet.borrow() != fleet || at / QUARTER * QUARTER != quarter)
        };
        if changed {
            match self.outlook_of(&fleet, at) {
                Ok(outlook) => *self.outlook.borrow_mut() = outlook,
                Err(why) => tracing::error!("windows cannot be judged: {why}"),
            }
            *self.fleet.borrow_mut() = fleet;
        }
        let evidence = (self.deaf.get() <= now).then(|| self.evidence(host, now));
        {
            let mut held = self.held.borrow_mut();
            evidence.into_iter().for_each(|e| held.evidence(now, e));
            held.step(now, wall(), &self.outlook.borrow());
        }
        self.carry_out(host, now);
        // What is left out may be other engines now.
        agreed.iter().for_each(|a| a.refresh_rules(host));
        *self.away.borrow_mut() = self.away();
    }

    fn carry_out(&self, host: &Rc<Host>, now: u64) {
        loop {
            let effect = self.held.borrow_mut().effect();
            match effect {
                None => break,
                Some(Effect::Phase(window, Phase::Off(reason))) => {
                    let reason = self.named(&reason.to_string());
                    tracing::error!(window, reason, at = now, "a window is called off here");
                }
                Some(Effect::Phase(window, phase)) => {
                    tracing::info!(window, ?phase, at = now, "a window of maintenance");
                }
                Some(Effect::CallOff(window, reason)) => {
                    // What only this gateway cannot tell says nothing to the others; who does not vote cannot propose.
                    let Some(place) = self.place.filter(|_| reason != Reason::Version) else { continue };
                    self.calls.borrow_mut().entry(window).or_insert(now + place * TURN);
                }
            }
        }
        let due: Vec<String> = {
            let mut calls = self.calls.borrow_mut();
            let due: Vec<String> = calls.iter().filter(|c| *c.1 <= now).map(|c| c.0.clone()).collect();
            calls.retain(|name, _| !due.contains(name));
            due
        };
        let agreed = host.agreed.borrow().clone();
        for (agreed, window) in agreed.iter().flat_map(|a| due.iter().map(move |w| (a, w))) {
            agreed.cancel_window(host, window);
        }
    }

    /// Samples demand for the profile, and keeps that once a quarter hour is over. Never ends.
    async fn learn(self: Rc<Self>, host: Rc<Host>) {
        let mut quarter = 0;
        loop {
            violetward_net::sleep(self.terms.sample_interval).await;
            // Without a lease this one may be cut off, and by a clock that was set nobody knows which quarter hour it is.
            let lease = host.agreed.borrow().as_ref().is_some_and(|a| a.has_lease());
            let at = {
                let mut held = self.held.borrow_mut();
                let at = held.now(host.now(), wall());
                (!held.clock_was_set()).then_some(at)
            };
            let Some(at) = at.filter(|_| lease) else { continue };
            let left_out = self.profile.borrow_mut().sample(at, &self.demand(&host));
            if left_out > 0 {
                tracing::error!(left_out, "cells found no place in the profile: none of it is sure");
            }
            if std::mem::replace(&mut quarter, at / QUARTER) != at / QUARTER {
                self.keep().await;
            }
        }
    }

    /// Keeps the profile, on a thread of its own: a disk that stalls must not hold up statements.
    async fn keep(&self) {
        let Some(store) = self.store.clone() else { return };
        let (done, wait) = async_channel::bounded(1);
        let bytes = self.profile.borrow().write();
        let thread = std::thread::Builder::new().name("profile".into());
        let begun = thread.spawn(move || {
            let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
            drop(done.try_send(store.put(KEPT, &bytes).map_err(|e| e.to_string())));
        });
        let result = match begun {
            Ok(_) => wait.recv().await.unwrap_or_else(|_| Err("no end".into())),
            Err(e) => Err(e.to_string()),
        };
        // Tried again with the next quarter hour.
        result.iter().for_each(|_| *self.trouble.borrow_mut() = None);
        if let Err(e) = result {
            tracing::error!("{}: {e}; the profile is not kept", self.terms.folder.display());
            *self.trouble.borrow_mut() = Some(e);
        }
    }

    /// What is known.
    pub fn standing(&self, host: &Host) -> Standing {
        let now = host.now();
        let evidence = self.evidence(host, now);
        let mut held = self.held.borrow_mut();
        let at = held.now(now, wall());
        let outlook = self.outlook.borrow();
        let row = |(g, phase, _): (&Grant, &Phase, Option<&Reason>)| {
            let (phase, reason) = match phase {
                Phase::Granted => ("granted", held.against(&g.name, now, &outlook)),
                Phase::Draining => ("draining", None),
                Phase::Open => ("open", None),
                Phase::Returning => ("returning", None),
                Phase::Over => ("over", None),
                Phase::Off(reason) => ("off", Some(reason.clone())),
            };
            Row {
                name: g.name.clone(),
                engines: g.engines.iter().cloned().collect(),
                from: timestamp::format(g.from),
                until: timestamp::format(g.until),
                by: g.by.clone(),
                off: g.off,
                phase: phase.into(),
                reason: reason.map(|r| self.named(&r.to_string())),
            }
        };
        let profile = self.profile.borrow();
        let unsure = |(n, name): (usize, &String)| {
            let why = profile.project(&cell(n), at).unsure?;
            Some(format!("{name}: {why}"))
        };
        Standing {
            now: timestamp::format(at),
            clock_was_set: held.clock_was_set(),
            lease: host.agreed.borrow().as_ref().is_some_and(|a| a.has_lease()),
            engines: self.fleet.borrow().engines.len(),
            away: held.away().into_iter().collect(),
            down: evidence.down.into_iter().collect(),
            cold: evidence.cold.into_iter().collect(),
            windows: held.windows().map(row).collect(),
            unsure: self.names.classes.iter().enumerate().filter_map(unsure).collect(),
            trouble: self.trouble.borrow().clone(),
        }
    }
}

/// The profile that was kept, or an empty one, which is sure of nothing, with what is wrong with the kept one.
fn kept(store: &mut FileStore<Directory>, terms: &WindowTerms) -> (Profile, Option<String>) {
    let read = match store.get(KEPT) {
        Ok(None) => return (Profile::new(terms.profile), None),
        Ok(Some(kept)) => Profile::read(&kept.bytes, terms.profile).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    read.map(|profile| (profile, None)).unwrap_or_else(|why| {
        let aside = store.set_aside(KEPT).map_or_else(|e| format!("; {e}"), |()| ", and put aside".into());
        let why = format!("the profile that was kept cannot be used{aside}: {why}");
        tracing::error!("{}: {why}", terms.folder.display());
        (Profile::new(terms.profile), Some(why))
    })
}

/// Asks a gateway how windows stand.
///
/// # Errors
/// What it answers instead, or why it does not.
pub async fn ask(address: SocketAddr) -> Result<Standing, String> {
    let body = crate::agreement::http_get(address, PATH).await?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;
    use violetward_windows::cover::{Spare, Terms as CoverTerms};
    use violetward_windows::find::Margins;
    use violetward_windows::profile::{Terms as Learning, Unsure, WEEK};

    fn terms(name: &str) -> WindowTerms {
        let folder = std::env::temp_dir().join(format!("violetward-windows-{name}-{}", std::process::id()));
        std::fs::remove_dir_all(&folder).ok();
        WindowTerms {
            folder,
            cover: CoverTerms { fill: 0.8, spare: Spare::Engine, cold: 0.25, warm: 1_000_000 },
            margins: Margins { slack: 1_000_000, lead: 1_000_000 },
            max_fleet_age: Duration::from_secs(2),
            sample_interval: Duration::from_secs(5),
            profile: Learning { samples: 1, weeks: 1, of: 1, ..Learning::default() },
        }
    }

    #[test]
    fn a_profile_outlasts_its_process_and_one_that_is_spoilt_is_put_aside_and_sure_of_nothing() {
        let terms = terms("kept");
        let at = 3_000 * WEEK;
        let open = || FileStore::open(&terms.folder).expect("a store");
        {
            let (mut profile, trouble) = kept(&mut open(), &terms);
            assert_eq!(trouble, None);
            assert_eq!(profile.project(&cell(0), at).unsure, Some(Unsure::Empty));
            profile.sample(at, &[(cell(0), 4.0), (cell(1), 0.0)]);
            profile.sample(at + QUARTER, &[]);
            open().put(KEPT, &profile.write()).expect("it is kept");
        }
        let (profile, trouble) = kept(&mut open(), &terms);
        let again = profile.project(&cell(0), at + WEEK);
        assert_eq!((trouble, again.unsure, again.demand), (None, None, 4.0));
        // A class that is known and that nobody uses is sure as well; one that is new is not.
        assert_eq!(profile.project(&cell(1), at + WEEK).unsure, None);
        assert_eq!(profile.project(&cell(2), at + WEEK).unsure, Some(Unsure::New));
        let file = terms.folder.join(KEPT);
        let mut bytes = std::fs::read(&file).expect("the file");
        let middle = bytes.len() / 2;
        bytes[middle] ^= 8;
        std::fs::write(&file, bytes).expect("a bit turns");
        let (profile, trouble) = kept(&mut open(), &terms);
        assert!(trouble.is_some() && profile.project(&cell(0), at + WEEK).unsure == Some(Unsure::Empty));
        open().put(KEPT, &profile.write()).expect("its place is free");
        std::fs::remove_dir_all(&terms.folder).ok();
    }
}
