//! Carries out agreement on settings: moves its sayings over membership, keeps on disk what has to be kept before it is told,
//! and hands the rules that hold to the core. Decides nothing about versions: that is `violetward-agreement`.

mod asking;
mod disk;
mod report;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use event_listener::Event;
use futures_lite::future;
use violetward::Listed;
use violetward_agreement::wire::Said;
use violetward_agreement::{Effect, EngineState, Fitness, Kept, ListEffect, Member, MemberTerms, Outcome};
use violetward_net::Alarm;
use violetward_store::file::AtomicFiles;
use violetward_store::medium::Directory;
use violetward_store::StoreError;
use violetward_windows::held::Grant;

use crate::config::{AgreementTerms, Names};
use crate::host::Host;
use crate::list::EngineRecord;
use crate::rules::{self, Rules};
pub(crate) use asking::http_get;
pub use asking::{
    confirm_clock, fetch_status, fetch_status_since, propose, AFTER_HEADER, CODE_HEADER, KEY_HEADER,
    SETTINGS_PATH,
};
pub use disk::{init_votes, replace_votes};
use disk::{open, read, unusable};
pub use report::{ProposalReport, SettingsStatus, VersionRow};

/// Gateways that a drain or a removal is told to at once; each of them passes it on.
const SOME: usize = 4;

/// The settings on which this gateway agrees with the others.
pub struct SettingsAgreement {
    member: RefCell<Member>,
    terms: AgreementTerms,
    floor: Rules,
    names: Names,
    /// The range that the core's rules are made from; `None` is the floor.
    applied: Cell<Option<(u64, u64)>>,
    /// When the rules were last changed, and how long this gateway has been without a lease in all.
    since: Cell<u64>,
    lapsed: Cell<(u64, u64)>,
    alarm: Alarm,
    due: Event,
    waiting: RefCell<Option<async_channel::Sender<Outcome>>>,
    /// Where a voter's file is; held as long as this lives.
    folder: Option<Arc<Mutex<AtomicFiles<Directory>>>>,
    /// The file cannot be used, or is an old copy: it stays as it is.
    stays: Cell<bool>,
    trouble: RefCell<Option<String>>,
    /// Engines that nothing new is sent to because of windows, as the core has been told.
    away: RefCell<BTreeSet<String>>,
}

fn listed(state: EngineState) -> Listed {
    match state {
        EngineState::Up => Listed::Up,
        EngineState::Draining => Listed::Draining,
        EngineState::Removed => Listed::Removed,
    }
}

impl SettingsAgreement {
    /// Starts the tasks of agreement; they run as long as the host's executor does.
    ///
    /// # Errors
    /// If another process uses the same folder.
    pub fn start(host: &Rc<Host>, terms: &AgreementTerms) -> std::io::Result<Rc<SettingsAgreement>> {
        let names = host.config.names.clone();
        let votes = terms.voters.contains(&terms.name);
        let (mut folder, mut trouble) = (None, None);
        let mut kept = (Kept::default(), 0);
        if votes {
            // Two processes that vote as one would forget each other's votes.
            let mut held = open(terms).map_err(|e| match e {
                StoreError::Busy => {
                    std::io::Error::other(format!("{} is used by another process", terms.folder.display()))
                }
                e => std::io::Error::other(unusable(terms, e)),
            })?;
            match read(&mut held, terms) {
                Ok(found) => kept = found,
                Err(why) => {
                    tracing::error!("this gateway does not vote: {why}");
                    trouble = Some(why);
                }
            }
            folder = Some(Arc::new(Mutex::new(held)));
        }
        let votes = votes && trouble.is_none();
        let floor = Rules::floor(&terms.floor.0, &terms.floor.1, &names);
        let check = {
            let (floor, names, holds) = (floor.clone(), names.clone(), terms.windows_fingerprint.is_some());
            Box::new(move |content: &[u8]| match check(content, &names, &floor)? {
                rules if holds || rules.windows().is_empty() => Ok(()),
                _ => Err("windows are not held here: the configuration has no (windows ...)".into()),
            })
        };
        let fitness = fitness(host, &names, &floor);
        let member_terms = MemberTerms {
            name: terms.name.clone(),
            voters: terms.voters.clone(),
            votes,
            lease: terms.lease.as_micros() as u64,
            drift: terms.drift_ppm,
            check: terms.lease_check_margin.as_micros() as u64,
            mark: terms.fingerprint(),
        };
        let bound_ms = member_terms.voter().bound() / 1000;
        tracing::info!(newest = kept.0.history.newest().0, votes, bound_ms, "agreement");
        let now = host.now();
        let agreed = Rc::new(SettingsAgreement {
            member: RefCell::new(
                Member::new(member_terms, kept, rand::random(), now, check).with_fitness(fitness),
            ),
            terms: terms.clone(),
            floor,
            names,
            applied: Cell::new(Some((0, 0))),
            since: Cell::new(now),
            lapsed: Cell::new((0, now)),
            alarm: Alarm::default(),
            due: Event::new(),
            waiting: RefCell::default(),
            folder,
            stays: Cell::new(!votes),
            trouble: RefCell::new(trouble),
            away: RefCell::default(),
        });
        *host.agreed.borrow_mut() = Some(agreed.clone());
        agreed.refresh_rules(host);
        host.spawn(agreed.clone().pump(host.clone()));
        host.spawn(agreed.clone().wake(host.clone()));
        Ok(agreed)
    }

    fn with<T>(&self, host: &Rc<Host>, act: impl FnOnce(&mut Member, u64) -> T) -> T {
        let result = act(&mut self.member.borrow_mut(), host.now());
        self.refresh_rules(host);
        self.lists(host);
        self.due.notify(1);
        self.alarm.set(Some(self.member.borrow().next_wake()));
        result
    }

    /// Carries out what lists lead to.
    fn lists(&self, host: &Rc<Host>) {
        loop {
            let effect = self.member.borrow_mut().list_effect();
            match effect {
                None => break,
                Some(ListEffect::Tell(claim)) => {
                    let said = Said::Listed(claim).write();
                    host.peers().iter().for_each(|p| p.say_some(host, &said, SOME));
                }
                Some(ListEffect::Changed) => {
                    let claims = self.member.borrow().claimed();
                    tracing::info!(?claims, at = host.now(), "others' lists");
                    let listed = |(name, (came_up, state))| (name, (came_up, listed(state)));
                    let claims = claims.into_iter().map(listed).collect();
                    host.with_core(|core, now| core.set_remote_states(now, claims));
                }
                Some(ListEffect::Mass(gone, of)) => {
                    tracing::error!(
                        gone,
                        of,
                        "most engines went from the list at once: obeyed here, not passed on"
                    );
                }
            }
        }
    }

    /// This gateway's own list has been read: what it takes away is told to the others.
    pub fn set_local_list(&self, host: &Rc<Host>, list: &BTreeMap<String, EngineRecord>) {
        let state = |listed| match listed {
            Listed::Up => EngineState::Up,
            Listed::Draining => EngineState::Draining,
            Listed::Removed => EngineState::Removed,
        };
        let list =
            list.iter().map(|(name, r)| (name.clone(), (r.entry.came_up, state(r.entry.listed)))).collect();
        self.with(host, |member, now| member.listed(now, list));
    }

    /// Another gateway, known and proved by membership, said something.
    pub fn receive(&self, host: &Rc<Host>, from: &str, bytes: &[u8]) {
        self.with(host, |member, now| member.heard(now, from, bytes));
    }

    /// Hands the core the rules that hold now. Called whenever something may have changed, and by the host before the core
    /// does anything at or after the time that this leaves behind.
    pub fn refresh_rules(&self, host: &Rc<Host>) {
        let now = host.now();
        let windows = host.windows.borrow().clone();
        let (range, until) = {
            let member = self.member.borrow();
            (member.acts_on(now), member.voter().until(now))
        };
        host.rules_valid_until.set(until.unwrap_or(u64::MAX));
        if self.applied.get() != range {
            windows.iter().for_each(|w| w.versions(range.and_then(|range| self.windows_of(range))));
        }
        // Without a lease nobody may leave out anything.
        let away = windows.filter(|_| range.is_some()).map(|w| w.away()).unwrap_or_default();
        if self.applied.get() == range && *self.away.borrow() == away {
            return;
        }
        if self.applied.get().is_none() {
            let (total, from) = self.lapsed.get();
            self.lapsed.set((total + now.saturating_sub(from), now));
        } else if range.is_none() {
            self.lapsed.set((self.lapsed.get().0, now));
        }
        self.applied.set(range);
        self.since.set(now);
        let mut rules = self.rules_of(range);
        if !away.is_empty() {
            rules = rules.intersect(&Rules::draining(&away));
        }
        tracing::info!(?range, ?away, at = now, "rules");
        *self.away.borrow_mut() = away;
        host.with_core(|core, now| core.set_rules(now, rules));
    }

    /// What all versions of a range allow. A version that this gateway does not have or cannot read leaves the floor.
    fn rules_of(&self, range: Option<(u64, u64)>) -> Rules {
        let member = self.member.borrow();
        let history = member.voter().history();
        let read = |number: u64| match number {
            0 => Some(Rules::default()),
            _ => check(&history.get(number)?.content, &self.names, &self.floor).ok(),
        };
        let Some((low, top)) = range else { return self.floor.clone() };
        let all: Option<Vec<Rules>> = (low..=top).map(read).collect();
        let Some(all) = all else {
            tracing::error!(
                low,
                top,
                "a version of the settings cannot be used here: only the floor is served"
            );
            return self.floor.clone();
        };
        all.iter().fold(Rules::default(), |rules, more| rules.intersect(more))
    }

    /// The windows of each version of a range; `None` if one of them cannot be used here.
    fn windows_of(&self, (low, top): (u64, u64)) -> Option<Vec<Vec<Grant>>> {
        let member = self.member.borrow();
        let history = member.voter().history();
        let read = |number: u64| match number {
            0 => Some(Vec::new()),
            _ => {
                let version = history.get(number)?;
                check(&version.content, &self.names, &self.floor).ok().map(|r| r.windows().to_vec())
            }
        };
        (low..=top).map(read).collect()
    }

    /// Proposes a version that calls a window off, where the newest does not say so. What comes of it is seen in the versions.
    pub fn cancel_window(&self, host: &Rc<Host>, window: &str) {
        let (newest, content) = {
            let member = self.member.borrow();
            let history = member.voter().history();
            let newest = history.newest().0;
            (newest, history.get(newest).map(|v| v.content.clone()))
        };
        let content = content.and_then(|c| String::from_utf8(c).ok());
        let Some(content) = content.and_then(|text| rules::cancel_window(&text, window)) else { return };
        let begun = self.with(host, |member, now| member.propose(now, content.as_bytes(), Some(newest)));
        tracing::error!(window, newest, ?begun, at = host.now(), "a window is to be called off by a version");
    }

    /// Whether this gateway acts under a lease.
    pub fn has_lease(&self) -> bool {
        self.applied.get().is_some()
    }

    /// Carries out effects, one after the other: what follows a write waits for it. Never ends.
    async fn pump(self: Rc<Self>, host: Rc<Host>) {
        loop {
            let listener = self.due.listen();
            let effect = self.member.borrow_mut().effect(host.now());
            // What the gateway says to itself changes what it may act on.
            self.refresh_rules(&host);
            self.alarm.set(Some(self.member.borrow().next_wake()));
            let Some(effect) = effect else {
                listener.await;
                continue;
            };
            match effect {
                Effect::Keep(bytes) => self.keep(bytes).await,
                Effect::Say(to, bytes) => host.peers().iter().for_each(|p| p.say(&host, &to, &bytes)),
                Effect::SayAll(bytes) => host.peers().iter().for_each(|p| p.say_all(&host, &bytes)),
                Effect::OldFile => {
                    let why = "its file is an old copy: others have heard of later votes of this gateway";
                    tracing::error!("this gateway does not vote: {why}");
                    *self.trouble.borrow_mut() = Some(why.into());
                    self.stays.set(true);
                }
                Effect::Learned(version) => {
                    let (number, hash) = (version.number, format!("{:016x}", version.hash));
                    tracing::info!(number, hash, at = host.now(), "a version of the settings is committed");
                }
                Effect::Proposed(outcome) => {
                    tracing::info!(?outcome, at = host.now(), "a proposal has ended");
                    self.waiting.borrow_mut().take().iter().for_each(|w| drop(w.try_send(outcome.clone())));
                }
                Effect::OtherTerms(from) => {
                    tracing::error!(
                        from,
                        "that gateway's (agreement ...) says something else than this one's"
                    );
                }
            }
            future::yield_now().await;
        }
    }

    async fn wake(self: Rc<Self>, host: Rc<Host>) {
        loop {
            self.alarm.wait(&host.clock, || Some(self.member.borrow().next_wake())).await;
            self.with(&host, Member::wake);
            future::yield_now().await;
        }
    }

    /// Gives the lease back: nothing is taken any more.
    pub fn release_lease(&self, host: &Rc<Host>) {
        self.with(host, |member, _| member.give_back());
    }
}

/// What finds a content fit to follow a version: its windows have to be safe beside each other.
fn fitness(host: &Rc<Host>, names: &Names, floor: &Rules) -> Fitness {
    let (host, names, floor) = (Rc::downgrade(host), names.clone(), floor.clone());
    Box::new(move |content, before| {
        let Some(host) = host.upgrade() else { return Ok(false) };
        let Some(windows) = host.windows.borrow().clone() else { return Ok(false) };
        let asked = check(content, &names, &floor)?;
        // One that cannot be read here may have any windows.
        let before = before.map_or(Ok(Rules::default()), |v| check(&v.content, &names, &floor))?;
        if before.windows().is_empty() && asked.windows().is_empty() {
            return Ok(false);
        }
        windows.fit(&host, &before, &asked)
    })
}

/// Reads a content, and that it allows the floor.
fn check(content: &[u8], names: &Names, floor: &Rules) -> Result<Rules, String> {
    let text = std::str::from_utf8(content).map_err(|_| "it is not UTF-8".to_owned())?;
    let rules = Rules::parse(text, names)
        .map_err(|mistakes| mistakes.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
    if !floor.is_within(&rules) {
        return Err("it does not allow all of (agreement (floor ...))".into());
    }
    Ok(rules)
}
