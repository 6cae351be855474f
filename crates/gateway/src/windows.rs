//! Runs windows of maintenance: passes the windows of the agreed rules and the state of the fleet to
//! `violetward-windows`, has engines drained, and stores profiles of demand. All decisions about windows are
//! made in `violetward-windows`.

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
use violetward_windows::{Cell as DemandCell, Wall};

use crate::host::Host;
use crate::record::EngineRecord;
use crate::rules::Rules;
use crate::terms::{micros, Names, WindowTerms};
use crate::timestamp;

/// Path of the status over HTTP.
pub const PATH: &str = "/v1/windows";
/// Interval at which the state of all windows is updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// An update that follows the previous one after more than this time shows that the process was paused, so
/// that its knowledge of the fleet is out of date.
const PAUSE_THRESHOLD_US: u64 = 1_000_000;
/// Delay between the proposals of successive voters to call off a window. The version that the first voter
/// proposes has usually arrived by the turn of the second.
const PROPOSAL_STAGGER_US: u64 = 400_000;
/// Key of the profile in its store.
const PROFILE_KEY: &str = "profile";

/// The state of the fleet and its classes from which a [`Cover`] is made.
#[derive(Debug, Clone, PartialEq)]
struct Fleet {
    engines: Vec<EngineRecord>,
    /// Engines that must not be used, for reasons other than windows.
    unusable: BTreeSet<String>,
    classes: Vec<Class>,
    /// Sites of engines by name, as configured in `(site-loss ...)`. The zone of any other engine is used as
    /// its site.
    sites: BTreeMap<String, usize>,
}

/// The windows of maintenance that this gateway follows.
pub struct Windows {
    terms: WindowTerms,
    names: Names,
    settings: Settings,
    /// Index of this gateway among the voters; `None` if it does not vote.
    voter_index: Option<u64>,
    held: RefCell<Held>,
    /// Profile of demand over the week.
    profile: RefCell<Profile>,
    store: Option<Arc<Mutex<FileStore<Directory>>>>,
    /// The last error of the profile's store, if it persists.
    trouble: RefCell<Option<String>>,
    fleet: RefCell<Fleet>,
    /// Recomputed when the fleet or the quarter hour changes.
    outlook: RefCell<Outlook<'static>>,
    /// Windows to be called off by a version, each with the time from which on this gateway may propose that.
    pending_cancellations: RefCell<BTreeMap<String, u64>>,
    last_update: Cell<u64>,
    /// Time until which the knowledge of the fleet is not used as evidence.
    evidence_stale_until: Cell<u64>,
    drained: RefCell<BTreeSet<String>>,
}

/// A window in the answer of `/v1/windows`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WindowStatus {
    /// Name of the window.
    pub name: String,
    /// The engines under maintenance.
    pub engines: Vec<String>,
    /// Start of the window.
    pub from: String,
    /// End of the window.
    pub until: String,
    /// The operator who requested it.
    pub by: String,
    /// Whether a version of the rules calls it off.
    pub off: bool,
    /// `granted`, `draining`, `open`, `returning`, `over` or `off`.
    pub phase: String,
    /// Why it is off, or what would prevent it from beginning now.
    pub reason: Option<String>,
}

/// The answer of `/v1/windows`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WindowsStatus {
    /// The time by which windows begin and end.
    pub now: String,
    /// Whether the wall clock was set. No window begins until an operator confirms that the clock is right.
    pub clock_was_set: bool,
    /// Whether this gateway has a lease. Without one, no engine is left out because of a window.
    pub lease: bool,
    /// Number of engines that this gateway knows.
    pub engines: usize,
    /// Engines that receive no new work because of windows.
    pub away: Vec<String>,
    /// Engines that are known to have failed.
    pub down: Vec<String>,
    /// Engines that are cold.
    pub cold: Vec<String>,
    /// The windows that this gateway knows.
    pub windows: Vec<WindowStatus>,
    /// Classes whose current demand is uncertain, each with the reason.
    pub unsure: Vec<String>,
    /// The error of the profile's store, if any.
    pub trouble: Option<String>,
}

fn wall_clock() -> Wall {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Wall
}

/// The cell of demand for all requests of a class.
fn class_cell(class: usize) -> DemandCell {
    DemandCell { class: class as u16, group: None, kind: None, zone: None, site: None }
}

fn saturating_u16(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

impl Fleet {
    /// The engines in the form in which `violetward-windows` evaluates them.
    fn cover(&self, settings: &Settings, terms: &WindowTerms) -> Result<Cover, String> {
        let engine = |r: &EngineRecord| Engine {
            name: r.name.clone(),
            kind: saturating_u16(r.entry.kind.0),
            zone: saturating_u16(r.entry.zone.0),
            site: saturating_u16(self.sites.get(&r.name).copied().unwrap_or(r.entry.zone.0)),
            groups: None,
            cores: settings.kinds.get(r.entry.kind.0).map_or(0.0, |k| k.cores),
        };
        let placement = |(n, class): (usize, &Class)| {
            let kinds = class.kinds.as_ref().map(|kinds| kinds.iter().map(|k| saturating_u16(k.0)).collect());
            let zones = class.zones.as_ref().map(|zones| zones.iter().map(|z| saturating_u16(z.0)).collect());
            (saturating_u16(n), Placement { kinds, zones, sites: None, bound: false, worth: class.worth })
        };
        let engines = self.engines.iter().map(engine).collect();
        let placements = self.classes.iter().enumerate().map(placement).collect();
        Cover::new(engines, placements, terms.cover).map_err(|e| e.to_string())
    }
}

impl Windows {
    /// Starts the tasks that follow windows and learn the profile; they run as long as the host's executor
    /// does.
    ///
    /// # Errors
    /// If the folder of profiles cannot be opened, for instance because another process uses it.
    pub fn start(host: &Rc<Host>, terms: &WindowTerms) -> std::io::Result<Rc<Windows>> {
        let agreement = host.config.agreement.as_ref();
        let drift = agreement.map_or(1_000, |a| a.drift_ppm);
        let mut store = FileStore::open(&terms.folder)
            .map_err(|e| std::io::Error::other(format!("{}: {e}", terms.folder.display())))?;
        let (profile, trouble) = load_profile(&mut store, terms);
        let fleet =
            Fleet { engines: vec![], unusable: BTreeSet::new(), classes: vec![], sites: BTreeMap::new() };
        let settings = host.config.settings.clone();
        let cover = fleet.cover(&settings, terms).map_err(std::io::Error::other)?;
        let outlook = Outlook::owning(cover, &profile, &[], terms.margins, wall_clock());
        let voter_index = agreement.and_then(|a| a.voters.iter().position(|v| *v == a.name));
        let max_fleet_age = micros(terms.max_fleet_age);
        let windows = Rc::new(Windows {
            terms: terms.clone(),
            names: host.config.names.clone(),
            settings,
            voter_index: voter_index.map(|index| index as u64),
            held: RefCell::new(Held::new(held::Terms { fresh: max_fleet_age, drift, plant: Plant::None })),
            profile: RefCell::new(profile),
            store: Some(Arc::new(Mutex::new(store))),
            trouble: RefCell::new(trouble),
            fleet: RefCell::new(fleet),
            outlook: RefCell::new(outlook),
            pending_cancellations: RefCell::default(),
            last_update: Cell::new(host.now()),
            // A gateway that has just started does not know the state of engines and demand yet.
            evidence_stale_until: Cell::new(host.now() + max_fleet_age),
            drained: RefCell::default(),
        });
        *host.windows.borrow_mut() = Some(windows.clone());
        host.spawn(windows.clone().run(host.clone()));
        host.spawn(windows.clone().learn_profile(host.clone()));
        Ok(windows)
    }

    /// Sets the windows of each version of the rules that is in force; `None` without a lease.
    pub fn set_versions(&self, versions: Option<Vec<Vec<Grant>>>) {
        self.held.borrow_mut().versions(versions);
    }

    /// Confirms that the wall clock, which was set, is right.
    pub fn confirm_clock(&self) {
        self.held.borrow_mut().clock_is_right();
    }

    /// The engines that receive no new work because of windows.
    pub fn drained_engines(&self) -> BTreeSet<String> {
        self.held.borrow().away()
    }

    /// Whether a version with the rules `requested` may follow one with the rules `before` in the current
    /// state of the fleet; see [`held::admissible`].
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn check_rules(&self, host: &Host, before: &Rules, requested: &Rules) -> Result<bool, String> {
        let is_in_before = |g: &Grant| before.windows().iter().any(|b| b.name == g.name);
        let now = {
            let mut held = self.held.borrow_mut();
            let now = held.now(host.now(), wall_clock());
            if held.clock_was_set() && !requested.windows().iter().all(is_in_before) {
                return Err(
                    "this gateway's wall clock was set: it does not know by which time windows go".into()
                );
            }
            now
        };
        // The fleet as it would be under the requested version.
        let mut fleet = self.fleet.borrow().clone();
        fleet.classes = requested.restrict(&self.settings, &self.names).0;
        fleet
            .engines
            .retain(|r| !fleet.unusable.contains(&r.name) && requested.named_state(&r.name) == Listed::Up);
        let outlook = self.compute_outlook(&fleet, now)?;
        held::admissible(before.windows(), requested.windows(), &outlook, now, Plant::None)
            .map_err(|e| self.with_class_names(&e.to_string()))
    }

    fn compute_outlook(&self, fleet: &Fleet, now: Wall) -> Result<Outlook<'static>, String> {
        let cover = fleet.cover(&self.settings, &self.terms)?;
        let class_cells: Vec<DemandCell> = (0..self.names.classes.len()).map(class_cell).collect();
        // Begins a quarter hour early, since a gateway with a slower clock asks about times that are past
        // here.
        let from = now.saturating_sub(QUARTER);
        Ok(Outlook::owning(cover, &self.profile.borrow(), &class_cells, self.terms.margins, from))
    }

    /// Replaces the numbers of classes in a reason by their names.
    fn with_class_names(&self, reason: &str) -> String {
        let mut text = reason.to_owned();
        for (n, name) in self.names.classes.iter().enumerate().rev() {
            text = text.replace(&format!("class {n} "), &format!("class {name} "));
        }
        text
    }

    /// Work that clients ask for in the whole fleet, as announced by the members, in core seconds per second
    /// of each class.
    fn demand(&self, host: &Host) -> Vec<(DemandCell, f64)> {
        let announced = host.peers().map(|p| p.total_demand()).unwrap_or_default();
        let work = |class: usize| announced.get(class).copied().unwrap_or(0.0) / 1e3;
        (0..self.names.classes.len()).map(|class| (class_cell(class), work(class))).collect()
    }

    fn evidence(&self, host: &Host, now: u64) -> Evidence {
        let fleet = self.fleet.borrow();
        let mut down = fleet.unusable.clone();
        down.extend(host.read_core(|core| core.unhealthy_engines()));
        let is_cold = |r: &&EngineRecord| r.entry.came_up.saturating_add(self.terms.cover.warm) > now;
        let cold = fleet.engines.iter().filter(is_cold).map(|r| r.name.clone()).collect();
        let doubtful = host.outage().map(|outage| outage.unreachable_sites()).unwrap_or_default();
        let doubtful = doubtful.into_iter().map(saturating_u16).collect();
        Evidence { down, cold, doubtful, demand: self.demand(host) }
    }

    /// Updates all windows at a fixed interval. Never returns.
    async fn run(self: Rc<Self>, host: Rc<Host>) {
        loop {
            self.update(&host);
            violetward_net::sleep(UPDATE_INTERVAL).await;
        }
    }

    fn update(&self, host: &Rc<Host>) {
        let agreement = host.agreed.borrow().clone();
        // First takes account of a lease that has expired meanwhile.
        agreement.iter().for_each(|a| a.refresh_rules(host));
        let now = host.now();
        if now.saturating_sub(self.last_update.replace(now)) > PAUSE_THRESHOLD_US {
            self.evidence_stale_until.set(now + micros(self.terms.max_fleet_age));
        }
        let drained = self.drained.borrow().clone();
        let (engines, unusable, classes) = host.read_core(|core| core.fleet(&drained));
        let sites = host.outage().map(|outage| outage.engine_sites(host, &engines)).unwrap_or_default();
        let fleet = Fleet { engines, unusable, classes, sites };
        let (at, changed) = {
            let at = self.held.borrow_mut().now(now, wall_clock());
            let quarter = self.outlook.borrow().span_of(1).0;
            (at, *self.fleet.borrow() != fleet || at / QUARTER * QUARTER != quarter)
        };
        if changed {
            match self.compute_outlook(&fleet, at) {
                Ok(outlook) => *self.outlook.borrow_mut() = outlook,
                Err(why) => tracing::error!("cannot evaluate windows of maintenance: {why}"),
            }
            *self.fleet.borrow_mut() = fleet;
        }
        let evidence = (self.evidence_stale_until.get() <= now).then(|| self.evidence(host, now));
        {
            let mut held = self.held.borrow_mut();
            evidence.into_iter().for_each(|e| held.evidence(now, e));
            held.step(now, wall_clock(), &self.outlook.borrow());
        }
        self.apply_effects(host, now);
        // Other engines may be drained now.
        agreement.iter().for_each(|a| a.refresh_rules(host));
        *self.drained.borrow_mut() = self.drained_engines();
    }

    fn apply_effects(&self, host: &Rc<Host>, now: u64) {
        loop {
            let effect = self.held.borrow_mut().effect();
            match effect {
                None => break,
                Some(Effect::Phase(window, Phase::Off(reason))) => {
                    let reason = self.with_class_names(&reason.to_string());
                    tracing::error!(
                        window,
                        reason,
                        at = now,
                        "window of maintenance called off by this gateway"
                    );
                }
                Some(Effect::Phase(window, phase)) => {
                    tracing::info!(window, ?phase, at = now, "a window of maintenance");
                }
                Some(Effect::CallOff(window, reason)) => {
                    // A window that a version calls off needs no proposal, and only voters can propose.
                    let Some(index) = self.voter_index.filter(|_| reason != Reason::Version) else {
                        continue;
                    };
                    let mut pending = self.pending_cancellations.borrow_mut();
                    pending.entry(window).or_insert(now + index * PROPOSAL_STAGGER_US);
                }
            }
        }
        let due: Vec<String> = {
            let mut pending = self.pending_cancellations.borrow_mut();
            let due: Vec<String> =
                pending.iter().filter(|(_, at)| **at <= now).map(|(name, _)| name.clone()).collect();
            pending.retain(|name, _| !due.contains(name));
            due
        };
        let agreement = host.agreed.borrow().clone();
        for (agreement, window) in agreement.iter().flat_map(|a| due.iter().map(move |w| (a, w))) {
            agreement.cancel_window(host, window);
        }
    }

    /// Samples demand for the profile, and stores the profile after each quarter hour. Never returns.
    async fn learn_profile(self: Rc<Self>, host: Rc<Host>) {
        let mut quarter = 0;
        loop {
            violetward_net::sleep(self.terms.sample_interval).await;
            // A gateway without a lease may be cut off from the others and see only part of the demand. With
            // a clock that was set, the quarter hour is unknown.
            let lease = host.agreed.borrow().as_ref().is_some_and(|a| a.has_lease());
            let at = {
                let mut held = self.held.borrow_mut();
                let at = held.now(host.now(), wall_clock());
                (!held.clock_was_set()).then_some(at)
            };
            let Some(at) = at.filter(|_| lease) else { continue };
            let left_out = self.profile.borrow_mut().sample(at, &self.demand(&host));
            if left_out > 0 {
                tracing::error!(left_out, "the profile of demand is full: all of it is uncertain");
            }
            if std::mem::replace(&mut quarter, at / QUARTER) != at / QUARTER {
                self.store_profile().await;
            }
        }
    }

    /// Stores the profile on a separate thread, so that a slow disk does not delay statements.
    async fn store_profile(&self) {
        let Some(store) = self.store.clone() else { return };
        let (done, wait) = async_channel::bounded(1);
        let bytes = self.profile.borrow().write();
        let thread = std::thread::Builder::new().name("profile".into());
        let spawned = thread.spawn(move || {
            let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
            drop(done.try_send(store.put(PROFILE_KEY, &bytes).map_err(|e| e.to_string())));
        });
        let result = match spawned {
            Ok(_) => wait.recv().await.unwrap_or_else(|_| Err("no end".into())),
            Err(e) => Err(e.to_string()),
        };
        // After an error, the next quarter hour tries again.
        result.iter().for_each(|_| *self.trouble.borrow_mut() = None);
        if let Err(e) = result {
            tracing::error!("{}: {e}; the profile of demand is not stored", self.terms.folder.display());
            *self.trouble.borrow_mut() = Some(e);
        }
    }

    /// The answer of `/v1/windows`.
    pub fn status(&self, host: &Host) -> WindowsStatus {
        let now = host.now();
        let evidence = self.evidence(host, now);
        let mut held = self.held.borrow_mut();
        let at = held.now(now, wall_clock());
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
            WindowStatus {
                name: g.name.clone(),
                engines: g.engines.iter().cloned().collect(),
                from: timestamp::format(g.from),
                until: timestamp::format(g.until),
                by: g.by.clone(),
                off: g.off,
                phase: phase.into(),
                reason: reason.map(|r| self.with_class_names(&r.to_string())),
            }
        };
        let profile = self.profile.borrow();
        let unsure = |(n, name): (usize, &String)| {
            let why = profile.project(&class_cell(n), at).unsure?;
            Some(format!("{name}: {why}"))
        };
        WindowsStatus {
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

/// Loads the stored profile. If it is unusable, sets it aside and returns an empty one, which is uncertain of
/// everything, and the error.
fn load_profile(store: &mut FileStore<Directory>, terms: &WindowTerms) -> (Profile, Option<String>) {
    let read = match store.get(PROFILE_KEY) {
        Ok(None) => return (Profile::new(terms.profile), None),
        Ok(Some(stored)) => Profile::read(&stored.bytes, terms.profile).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    read.map(|profile| (profile, None)).unwrap_or_else(|why| {
        let aside =
            store.set_aside(PROFILE_KEY).map_or_else(|e| format!("; {e}"), |()| ", and put aside".into());
        let why = format!("the profile that was kept cannot be used{aside}: {why}");
        tracing::error!("{}: {why}", terms.folder.display());
        (Profile::new(terms.profile), Some(why))
    })
}

/// Fetches the status of windows of a gateway.
///
/// # Errors
/// If the gateway does not answer, or answers something else.
pub async fn fetch_status(address: SocketAddr) -> Result<WindowsStatus, String> {
    let body = crate::agreement::http_get(address, PATH).await?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;
    use violetward_windows::cover::{Spare, Terms as CoverTerms};
    use violetward_windows::find::Margins;
    use violetward_windows::profile::{Terms as ProfileTerms, Unsure, WEEK};

    fn terms(name: &str) -> WindowTerms {
        let folder = std::env::temp_dir().join(format!("violetward-windows-{name}-{}", std::process::id()));
        std::fs::remove_dir_all(&folder).ok();
        WindowTerms {
            folder,
            cover: CoverTerms { fill: 0.8, spare: Spare::Engine, cold: 0.25, warm: 1_000_000 },
            margins: Margins { slack: 1_000_000, lead: 1_000_000 },
            max_fleet_age: Duration::from_secs(2),
            sample_interval: Duration::from_secs(5),
            profile: ProfileTerms { samples: 1, weeks: 1, of: 1, ..ProfileTerms::default() },
        }
    }

    #[test]
    fn a_stored_profile_survives_a_restart_and_a_corrupt_one_is_set_aside() {
        let terms = terms("stored");
        let at = 3_000 * WEEK;
        let open = || FileStore::open(&terms.folder).expect("a store");
        {
            let (mut profile, trouble) = load_profile(&mut open(), &terms);
            assert_eq!(trouble, None);
            assert_eq!(profile.project(&class_cell(0), at).unsure, Some(Unsure::Empty));
            profile.sample(at, &[(class_cell(0), 4.0), (class_cell(1), 0.0)]);
            profile.sample(at + QUARTER, &[]);
            open().put(PROFILE_KEY, &profile.write()).expect("the profile is stored");
        }
        let (profile, trouble) = load_profile(&mut open(), &terms);
        let projection = profile.project(&class_cell(0), at + WEEK);
        assert_eq!((trouble, projection.unsure, projection.demand), (None, None, 4.0));
        // The demand of a sampled class is certain even if it is zero; that of a new class is not.
        assert_eq!(profile.project(&class_cell(1), at + WEEK).unsure, None);
        assert_eq!(profile.project(&class_cell(2), at + WEEK).unsure, Some(Unsure::New));
        let file = terms.folder.join(PROFILE_KEY);
        let mut bytes = std::fs::read(&file).expect("the file");
        let middle = bytes.len() / 2;
        bytes[middle] ^= 8;
        std::fs::write(&file, bytes).expect("a corrupted file is written");
        let (profile, trouble) = load_profile(&mut open(), &terms);
        assert!(
            trouble.is_some() && profile.project(&class_cell(0), at + WEEK).unsure == Some(Unsure::Empty)
        );
        open().put(PROFILE_KEY, &profile.write()).expect("a new profile is stored");
        std::fs::remove_dir_all(&terms.folder).ok();
    }
}
