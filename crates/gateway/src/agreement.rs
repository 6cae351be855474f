//! Runs the agreement on settings: exchanges its messages through membership, writes votes to disk before
//! they are sent, and passes the rules in force to the core. Decisions about versions are made by
//! `violetward-agreement`.

mod operators;
mod report;
mod vote_file;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use event_listener::Event;
use futures_lite::future;
use violetward::Listed;
use violetward_agreement::wire::PeerMessage;
use violetward_agreement::{
    DurableState, Effect, EngineState, Fitness, ListEffect, Member, MemberTerms, Outcome,
};
use violetward_net::Alarm;
use violetward_store::file::AtomicFiles;
use violetward_store::medium::Directory;
use violetward_store::StoreError;
use violetward_windows::held::Grant;

use crate::config::{AgreementTerms, Names};
use crate::host::Host;
use crate::list::EngineRecord;
use crate::rules::{self, Rules};
pub(crate) use operators::http_get;
pub use operators::{
    confirm_clock, fetch_status, fetch_status_since, propose, AFTER_HEADER, CODE_HEADER, KEY_HEADER,
    SETTINGS_PATH,
};
pub use report::{ProposalReport, SettingsStatus, VersionRow};
pub use vote_file::{init_votes, replace_votes};
use vote_file::{open_folder, read_votes, unusable};

/// Number of gateways that are sent a drain or a removal at once; each of them forwards it.
const CLAIM_FANOUT: usize = 4;

/// The agreement of this gateway with the others on the settings.
pub struct SettingsAgreement {
    member: RefCell<Member>,
    terms: AgreementTerms,
    floor: Rules,
    names: Names,
    /// The range of versions that the core's rules are made from; `None` is the floor.
    applied_range: Cell<Option<(u64, u64)>>,
    /// When the core's rules were last changed.
    applied_at: Cell<u64>,
    /// Total time without a lease up to the start of the current span without one, and that start.
    time_without_lease: Cell<(u64, u64)>,
    /// Wakes `run_timer` when the member has to act again.
    alarm: Alarm,
    /// Signalled when the member may have effects to run.
    effects_due: Event,
    /// Receives the outcome of the operator's proposal in progress.
    proposal_reply: RefCell<Option<async_channel::Sender<Outcome>>>,
    /// The folder of a voter's file, locked for as long as this value exists.
    folder: Option<Arc<Mutex<AtomicFiles<Directory>>>>,
    /// The voter's file is unusable or an old copy, and must not be overwritten.
    file_frozen: Cell<bool>,
    /// Why this gateway does not vote, or cannot write its votes.
    trouble: RefCell<Option<String>>,
    /// Engines that get no new work because of windows, as last passed to the core.
    engines_in_windows: RefCell<BTreeSet<String>>,
}

fn listed_state(state: EngineState) -> Listed {
    match state {
        EngineState::Up => Listed::Up,
        EngineState::Draining => Listed::Draining,
        EngineState::Removed => Listed::Removed,
    }
}

impl SettingsAgreement {
    /// Starts the tasks of the agreement, which run as long as the host's executor.
    ///
    /// # Errors
    /// If another process uses the same folder.
    pub fn start(host: &Rc<Host>, terms: &AgreementTerms) -> std::io::Result<Rc<SettingsAgreement>> {
        let names = host.config.names.clone();
        let votes = terms.voters.contains(&terms.name);
        let (mut folder, mut trouble) = (None, None);
        let mut kept = (DurableState::default(), 0);
        if votes {
            // Two processes that vote under one name would overwrite each other's votes.
            let mut opened = open_folder(terms).map_err(|e| match e {
                StoreError::Busy => {
                    std::io::Error::other(format!("{} is used by another process", terms.folder.display()))
                }
                e => std::io::Error::other(unusable(terms, e)),
            })?;
            match read_votes(&mut opened, terms) {
                Ok(found) => kept = found,
                Err(why) => {
                    tracing::error!("this gateway does not vote: {why}");
                    trouble = Some(why);
                }
            }
            folder = Some(Arc::new(Mutex::new(opened)));
        }
        let votes = votes && trouble.is_none();
        let floor = Rules::floor(&terms.floor.0, &terms.floor.1, &names);
        let content_check = {
            let (floor, names, has_windows) =
                (floor.clone(), names.clone(), terms.windows_fingerprint.is_some());
            Box::new(move |content: &[u8]| match parse_content(content, &names, &floor)? {
                rules if has_windows || rules.windows().is_empty() => Ok(()),
                _ => Err("windows are not held here: the configuration has no (windows ...)".into()),
            })
        };
        let fitness = fitness_check(host, &names, &floor);
        let member_terms = MemberTerms {
            name: terms.name.clone(),
            voters: terms.voters.clone(),
            votes,
            lease: terms.lease.as_micros() as u64,
            drift_ppm: terms.drift_ppm,
            lease_check_margin: terms.lease_check_margin.as_micros() as u64,
            fingerprint: terms.fingerprint(),
        };
        let bound_ms = member_terms.voter().switch_bound() / 1000;
        tracing::info!(newest = kept.0.history.newest().0, votes, bound_ms, "agreement");
        let now = host.now();
        let agreement = Rc::new(SettingsAgreement {
            member: RefCell::new(
                Member::new(member_terms, kept, rand::random(), now, content_check).with_fitness(fitness),
            ),
            terms: terms.clone(),
            floor,
            names,
            applied_range: Cell::new(Some((0, 0))),
            applied_at: Cell::new(now),
            time_without_lease: Cell::new((0, now)),
            alarm: Alarm::default(),
            effects_due: Event::new(),
            proposal_reply: RefCell::default(),
            folder,
            file_frozen: Cell::new(!votes),
            trouble: RefCell::new(trouble),
            engines_in_windows: RefCell::default(),
        });
        *host.agreed.borrow_mut() = Some(agreement.clone());
        agreement.refresh_rules(host);
        host.spawn(agreement.clone().run_effects(host.clone()));
        host.spawn(agreement.clone().run_timer(host.clone()));
        Ok(agreement)
    }

    /// Lets the member act, then updates the rules, the effects and the alarm.
    fn with_member<T>(&self, host: &Rc<Host>, act: impl FnOnce(&mut Member, u64) -> T) -> T {
        let result = act(&mut self.member.borrow_mut(), host.now());
        self.refresh_rules(host);
        self.run_list_effects(host);
        self.effects_due.notify(1);
        self.alarm.set(Some(self.member.borrow().next_wake()));
        result
    }

    /// Runs the effects of changed engine lists, own and remote.
    fn run_list_effects(&self, host: &Rc<Host>) {
        loop {
            let effect = self.member.borrow_mut().next_list_effect();
            match effect {
                None => break,
                Some(ListEffect::Announce(claim)) => {
                    let message = PeerMessage::EngineClaim(claim).encode();
                    host.peers().iter().for_each(|p| p.send_to_sample(host, &message, CLAIM_FANOUT));
                }
                Some(ListEffect::ClaimsChanged) => {
                    let claims = self.member.borrow().claimed_states();
                    tracing::info!(?claims, at = host.now(), "engine states claimed by other gateways");
                    let with_listed_state = |(name, (came_up, state))| (name, (came_up, listed_state(state)));
                    let claims = claims.into_iter().map(with_listed_state).collect();
                    host.with_core(|core, now| core.set_remote_states(now, claims));
                }
                Some(ListEffect::MassRemoval(gone, of)) => {
                    tracing::error!(
                        gone,
                        of,
                        "most engines left the list at once: applied here, not forwarded to other gateways"
                    );
                }
            }
        }
    }

    /// Takes the engine list that this gateway has read. Drains and removals in it are sent to the other
    /// gateways.
    pub fn set_local_list(&self, host: &Rc<Host>, list: &BTreeMap<String, EngineRecord>) {
        let engine_state = |listed| match listed {
            Listed::Up => EngineState::Up,
            Listed::Draining => EngineState::Draining,
            Listed::Removed => EngineState::Removed,
        };
        let list = list
            .iter()
            .map(|(name, r)| (name.clone(), (r.entry.came_up, engine_state(r.entry.listed))))
            .collect();
        self.with_member(host, |member, now| member.set_engine_list(now, list));
    }

    /// Takes a message of another gateway, which membership has authenticated.
    pub fn receive(&self, host: &Rc<Host>, from: &str, bytes: &[u8]) {
        self.with_member(host, |member, now| member.receive(now, from, bytes));
    }

    /// Passes the rules in force to the core. Called whenever they may have changed, and by the host before
    /// the core acts at or after the time that this method stores in `rules_valid_until`.
    pub fn refresh_rules(&self, host: &Rc<Host>) {
        let now = host.now();
        let windows = host.windows.borrow().clone();
        let (range, until) = {
            let member = self.member.borrow();
            (member.usable_range(now), member.voter().usable_until(now))
        };
        host.rules_valid_until.set(until.unwrap_or(u64::MAX));
        if self.applied_range.get() != range {
            windows.iter().for_each(|w| w.set_versions(range.and_then(|range| self.windows_of(range))));
        }
        // Without a lease, no engine may be left out because of a window.
        let away = windows.filter(|_| range.is_some()).map(|w| w.drained_engines()).unwrap_or_default();
        if self.applied_range.get() == range && *self.engines_in_windows.borrow() == away {
            return;
        }
        if self.applied_range.get().is_none() {
            let (total, from) = self.time_without_lease.get();
            self.time_without_lease.set((total + now.saturating_sub(from), now));
        } else if range.is_none() {
            self.time_without_lease.set((self.time_without_lease.get().0, now));
        }
        self.applied_range.set(range);
        self.applied_at.set(now);
        let mut rules = self.rules_of(range);
        if !away.is_empty() {
            rules = rules.intersect(&Rules::draining(&away));
        }
        tracing::info!(?range, ?away, at = now, "rules");
        *self.engines_in_windows.borrow_mut() = away;
        host.with_core(|core, now| core.set_rules(now, rules));
    }

    /// The rules that all versions of a range allow. They are the floor if this gateway does not have a
    /// version or cannot read it.
    fn rules_of(&self, range: Option<(u64, u64)>) -> Rules {
        let member = self.member.borrow();
        let history = member.voter().history();
        let rules_at = |number: u64| match number {
            0 => Some(Rules::default()),
            _ => parse_content(&history.get(number)?.content, &self.names, &self.floor).ok(),
        };
        let Some((low, top)) = range else { return self.floor.clone() };
        let all: Option<Vec<Rules>> = (low..=top).map(rules_at).collect();
        let Some(all) = all else {
            tracing::error!(
                low,
                top,
                "a version of the settings cannot be used here: only what the floor allows is served"
            );
            return self.floor.clone();
        };
        all.iter().fold(Rules::default(), |rules, next| rules.intersect(next))
    }

    /// The windows of each version of a range; `None` if one of them cannot be used here.
    fn windows_of(&self, (low, top): (u64, u64)) -> Option<Vec<Vec<Grant>>> {
        let member = self.member.borrow();
        let history = member.voter().history();
        let windows_at = |number: u64| match number {
            0 => Some(Vec::new()),
            _ => {
                let version = history.get(number)?;
                parse_content(&version.content, &self.names, &self.floor).ok().map(|r| r.windows().to_vec())
            }
        };
        (low..=top).map(windows_at).collect()
    }

    /// Proposes a version that calls a window off, unless the newest one does so already. The outcome shows
    /// in the versions.
    pub fn cancel_window(&self, host: &Rc<Host>, window: &str) {
        let (newest, content) = {
            let member = self.member.borrow();
            let history = member.voter().history();
            let newest = history.newest().0;
            (newest, history.get(newest).map(|v| v.content.clone()))
        };
        let content = content.and_then(|c| String::from_utf8(c).ok());
        let Some(content) = content.and_then(|text| rules::cancel_window(&text, window)) else { return };
        let begun =
            self.with_member(host, |member, now| member.propose(now, content.as_bytes(), Some(newest)));
        tracing::error!(window, newest, ?begun, at = host.now(), "a window is to be called off by a version");
    }

    /// Whether this gateway holds a lease.
    pub fn has_lease(&self) -> bool {
        self.applied_range.get().is_some()
    }

    /// Runs effects one after the other, so that each waits for the writes before it. Never returns.
    async fn run_effects(self: Rc<Self>, host: Rc<Host>) {
        loop {
            let listener = self.effects_due.listen();
            let effect = self.member.borrow_mut().next_effect(host.now());
            // A gateway's messages to itself may change its lease.
            self.refresh_rules(&host);
            self.alarm.set(Some(self.member.borrow().next_wake()));
            let Some(effect) = effect else {
                listener.await;
                continue;
            };
            match effect {
                Effect::Persist(bytes) => self.write_votes(bytes).await,
                Effect::Send(to, bytes) => {
                    host.peers().iter().for_each(|p| p.send_message(&host, &to, &bytes))
                }
                Effect::Broadcast(bytes) => host.peers().iter().for_each(|p| p.broadcast(&host, &bytes)),
                Effect::StaleVoteFile => {
                    let why = "its file is an old copy: others have heard of later votes of this gateway";
                    tracing::error!("this gateway does not vote: {why}");
                    *self.trouble.borrow_mut() = Some(why.into());
                    self.file_frozen.set(true);
                }
                Effect::Committed(version) => {
                    let (number, hash) = (version.number, format!("{:016x}", version.hash));
                    tracing::info!(
                        number,
                        hash,
                        at = host.now(),
                        "a version of the settings has been committed"
                    );
                }
                Effect::ProposalEnded(outcome) => {
                    tracing::info!(?outcome, at = host.now(), "a proposal has ended");
                    self.proposal_reply
                        .borrow_mut()
                        .take()
                        .iter()
                        .for_each(|sender| drop(sender.try_send(outcome.clone())));
                }
                Effect::TermsMismatch(from) => {
                    tracing::error!(
                        from,
                        "the other gateway's configuration of (agreement ...) differs from this one's"
                    );
                }
            }
            future::yield_now().await;
        }
    }

    /// Wakes the member whenever it has to act again. Never returns.
    async fn run_timer(self: Rc<Self>, host: Rc<Host>) {
        loop {
            self.alarm.wait(&host.clock, || Some(self.member.borrow().next_wake())).await;
            self.with_member(&host, Member::wake);
            future::yield_now().await;
        }
    }

    /// Returns the lease. Called when no further requests are accepted.
    pub fn release_lease(&self, host: &Rc<Host>) {
        self.with_member(host, |member, _| member.release_lease());
    }
}

/// The check whether a content may follow a version: their windows must be safe together.
fn fitness_check(host: &Rc<Host>, names: &Names, floor: &Rules) -> Fitness {
    let (host, names, floor) = (Rc::downgrade(host), names.clone(), floor.clone());
    Box::new(move |content, before| {
        let Some(host) = host.upgrade() else { return Ok(false) };
        let Some(windows) = host.windows.borrow().clone() else { return Ok(false) };
        let proposed = parse_content(content, &names, &floor)?;
        // An unreadable version could have any windows, so it is an error.
        let before = before.map_or(Ok(Rules::default()), |v| parse_content(&v.content, &names, &floor))?;
        if before.windows().is_empty() && proposed.windows().is_empty() {
            return Ok(false);
        }
        windows.check_rules(&host, &before, &proposed)
    })
}

/// Parses a content and checks that it allows the floor.
fn parse_content(content: &[u8], names: &Names, floor: &Rules) -> Result<Rules, String> {
    let text = std::str::from_utf8(content).map_err(|_| "it is not UTF-8".to_owned())?;
    let rules = Rules::parse(text, names)
        .map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
    if !floor.is_within(&rules) {
        return Err("it does not allow all of (agreement (floor ...))".into());
    }
    Ok(rules)
}
