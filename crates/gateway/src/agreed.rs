//! Carries out agreement on settings: moves its sayings over membership, keeps on disk what has to be kept before it is told,
//! and hands the rules that hold to the core. Decides nothing about versions: that is `violetward-agreement`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use futures_lite::future;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use violetward::Listed;
use violetward_agreement::wire::{self, Said, Spoilt};
use violetward_agreement::{
    Declined, Effect, EngineState, Kept, ListEffect, Member, MemberTerms, Outcome, Version,
};
use violetward_net::{Alarm, Connection};
use violetward_statement::http::{Headers, Limits};

use crate::config::{AgreementTerms, Names};
use crate::host::Host;
use crate::list::Record;
use crate::rules::{Difference, Rules};

/// The file of what is kept, and the one that a process holds locked while it uses it.
const KEPT: &str = "agreement.kept";
const LOCK: &str = "agreement.lock";
/// Gateways that a drain or a removal is told to at once; each of them passes it on.
const SOME: usize = 4;
/// Between two tries to write what a disk did not take.
const WRITE_AGAIN: Duration = Duration::from_secs(1);
/// How long an operator's command waits for its answer.
const ASK: Duration = Duration::from_secs(10);
/// Path and headers of the operators' questions.
pub const PATH: &str = "/v1/settings";
/// The newest version that the proposal was made for.
pub const AFTER: &str = "X-Violetward-After";
/// The name of the key, and the code of the proposal in hexadecimal digits.
pub const KEY: &str = "X-Violetward-Key";
/// See `KEY`.
pub const CODE: &str = "X-Violetward-Code";

/// The settings on which this gateway agrees with the others.
pub struct Agreed {
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
    file: Option<PathBuf>,
    /// The file is an old copy: it stays as it is.
    old: Cell<bool>,
    trouble: RefCell<Option<String>>,
    _lock: Option<std::fs::File>,
}

/// A version, as `/v1/settings` tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct VersionRow {
    /// Its number.
    pub number: u64,
    /// The hash of its content and of its predecessor's hash.
    pub hash: String,
    /// Its content.
    pub content: String,
    /// What it changed, as this gateway reads it; a line that begins with `+` lets something in anew.
    pub changes: Vec<String>,
}

/// What `/v1/settings` tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Standing {
    /// This gateway.
    pub name: String,
    /// The newest version that it knows; 0: none.
    pub newest: u64,
    /// The range of versions that it acts on; `None`: it has no lease and does what the floor allows.
    pub acts: Option<(u64, u64)>,
    /// Since when, and until when it may without a renewal: microseconds since the Unix epoch, by its clock.
    pub since: u64,
    /// See `since`.
    pub until: Option<u64>,
    /// How long it was without a lease since its start, microseconds.
    pub without_lease: u64,
    /// Those that vote, and whether this one does.
    pub voters: Vec<String>,
    /// See `voters`.
    pub votes: bool,
    /// What keeps it from voting.
    pub trouble: Option<String>,
    /// Grants that it remembers, and whether it keeps still after its start.
    pub grants: usize,
    /// See `grants`.
    pub silent: bool,
    /// The bound in microseconds.
    pub bound: u64,
    /// Sayings taken, unreadable, of gateways with other terms.
    pub counts: [u64; 3],
    /// The versions that it keeps, the oldest first.
    pub history: Vec<VersionRow>,
}

/// What a proposal leads to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    /// `committed`, `would commit`, `conflict`, `stale`, `unfit`, `unknown`, `busy` or `not a voter`.
    pub outcome: String,
    /// The version, where there is one.
    pub number: Option<u64>,
    /// More for people.
    pub text: String,
    /// What it changes.
    pub changes: Vec<String>,
}

/// The code of a proposal: over the version that it was made for and its content.
fn code(secret: &str, after: u64, dry: bool, content: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any length will do");
    mac.update(&after.to_be_bytes());
    mac.update(&[u8::from(dry)]);
    mac.update(content);
    mac
}

fn listed(state: EngineState) -> Listed {
    match state {
        EngineState::Up => Listed::Up,
        EngineState::Draining => Listed::Draining,
        EngineState::Removed => Listed::Removed,
    }
}

fn shown(changes: &[Difference]) -> Vec<String> {
    changes.iter().map(|c| format!("{} {}", if c.widens { '+' } else { '-' }, c.text)).collect()
}

/// Writes a file so that it is there whole and for good, or as it was before.
pub(crate) fn write_whole(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let fresh = path.with_extension("new");
    let mut file = std::fs::File::create(&fresh)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&fresh, path)?;
    // The name too must outlive a loss of power.
    std::fs::File::open(path.parent().unwrap_or(Path::new(".")))?.sync_all()
}

/// Makes the file of a voter that has never voted.
///
/// # Errors
/// If there is one already, or it cannot be written.
pub fn init(terms: &AgreementTerms) -> Result<PathBuf, String> {
    let file = terms.folder.join(KEPT);
    if file.exists() {
        return Err(format!("{} is there already; it holds this gateway's votes", file.display()));
    }
    std::fs::create_dir_all(&terms.folder).map_err(|e| e.to_string())?;
    let bytes = wire::keep(&Kept::default(), terms.mark(), 0);
    write_whole(&file, &bytes).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(file)
}

/// Makes a new file for a voter that has lost its own, from what a quorum of the other voters say: it votes again from the
/// version on on which it cannot have voted.
///
/// # Errors
/// If too few of them answer, there is a file that can be used, or the new one cannot be written.
pub async fn replace(terms: &AgreementTerms, others: &[SocketAddr]) -> Result<PathBuf, String> {
    let file = terms.folder.join(KEPT);
    if read(terms).is_ok() {
        return Err(format!("{} is good; it holds this gateway's votes", file.display()));
    }
    let mut newest: BTreeMap<String, u64> = BTreeMap::new();
    for &address in others {
        let standing = ask_since(address, u64::MAX).await.map_err(|why| format!("{address}: {why}"))?;
        if standing.votes && standing.voters == terms.voters && standing.name != terms.name {
            newest.insert(standing.name, standing.newest);
        }
    }
    let quorum = terms.voters.len() / 2 + 1;
    if newest.len() < quorum {
        return Err(format!("{} other voters answer; at least {quorum} have to", newest.len()));
    }
    let newest: Vec<u64> = newest.into_values().collect();
    let kept = Kept { abstain: violetward_agreement::abstain_through(&newest), ..Kept::default() };
    // Greater than any count of its earlier file, which the others remember.
    let writes = violetward_net::Clock::new().now();
    std::fs::create_dir_all(&terms.folder).map_err(|e| e.to_string())?;
    if file.exists() {
        let aside = file.with_extension("spoilt");
        std::fs::rename(&file, &aside).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    write_whole(&file, &wire::keep(&kept, terms.mark(), writes)).map_err(|e| e.to_string())?;
    Ok(file)
}

/// Reads what was kept; what keeps this one from voting, if something does.
fn read(terms: &AgreementTerms) -> Result<(Kept, u64), String> {
    let file = terms.folder.join(KEPT);
    let shown = file.display();
    let bytes = std::fs::read(&file).map_err(|e| {
        format!("{shown}: {e}. A voter that was never started needs `violetward settings init`; one that lost its file, `violetward settings replace`")
    })?;
    wire::kept(&bytes, terms.mark()).map_err(|why: Spoilt| format!("{shown}: {why}"))
}

impl Agreed {
    /// Starts the tasks of agreement; they run as long as the host's executor does.
    ///
    /// # Errors
    /// If another process uses the same folder.
    pub fn start(host: &Rc<Host>, terms: &AgreementTerms) -> std::io::Result<Rc<Agreed>> {
        let names = host.config.names.clone();
        let votes = terms.voters.contains(&terms.name);
        let (mut lock, mut file, mut trouble) = (None, None, None);
        let mut kept = (Kept::default(), 0);
        if votes {
            std::fs::create_dir_all(&terms.folder)?;
            // Two processes that vote as one would forget each other's votes.
            let held = std::fs::File::create(terms.folder.join(LOCK))?;
            rustix::fs::flock(&held, rustix::fs::FlockOperation::NonBlockingLockExclusive).map_err(|e| {
                std::io::Error::other(format!("{} is used by another process: {e}", terms.folder.display()))
            })?;
            lock = Some(held);
            match read(terms) {
                Ok(found) => {
                    kept = found;
                    file = Some(terms.folder.join(KEPT));
                }
                Err(why) => {
                    tracing::error!("this gateway does not vote: {why}");
                    trouble = Some(why);
                }
            }
        }
        let floor = Rules::floor(&terms.floor.0, &terms.floor.1, &names);
        let check = {
            let (floor, names) = (floor.clone(), names.clone());
            Box::new(move |content: &[u8]| check(content, &names, &floor).map(|_| ()))
        };
        let member_terms = MemberTerms {
            name: terms.name.clone(),
            voters: terms.voters.clone(),
            votes: file.is_some(),
            lease: terms.lease.as_micros() as u64,
            drift: terms.drift,
            check: terms.check.as_micros() as u64,
            mark: terms.mark(),
        };
        let bound_ms = member_terms.voter().bound() / 1000;
        tracing::info!(newest = kept.0.history.newest().0, votes = file.is_some(), bound_ms, "agreement");
        let now = host.now();
        let agreed = Rc::new(Agreed {
            member: RefCell::new(Member::new(member_terms, kept, rand::random(), now, check)),
            terms: terms.clone(),
            floor,
            names,
            applied: Cell::new(Some((0, 0))),
            since: Cell::new(now),
            lapsed: Cell::new((0, now)),
            alarm: Alarm::default(),
            due: Event::new(),
            waiting: RefCell::default(),
            file,
            old: Cell::new(false),
            trouble: RefCell::new(trouble),
            _lock: lock,
        });
        *host.agreed.borrow_mut() = Some(agreed.clone());
        agreed.refresh(host);
        host.spawn(agreed.clone().pump(host.clone()));
        host.spawn(agreed.clone().wake(host.clone()));
        Ok(agreed)
    }

    fn with<T>(&self, host: &Rc<Host>, act: impl FnOnce(&mut Member, u64) -> T) -> T {
        let result = act(&mut self.member.borrow_mut(), host.now());
        self.refresh(host);
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
                    host.core(|core, now| core.claims(now, claims));
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
    pub fn listed(&self, host: &Rc<Host>, list: &BTreeMap<String, Record>) {
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
    pub fn heard(&self, host: &Rc<Host>, from: &str, bytes: &[u8]) {
        self.with(host, |member, now| member.heard(now, from, bytes));
    }

    /// Hands the core the rules that hold now. Called whenever something may have changed, and by the host before the core
    /// does anything at or after the time that this leaves behind.
    pub fn refresh(&self, host: &Rc<Host>) {
        let now = host.now();
        let (range, until) = {
            let member = self.member.borrow();
            (member.acts_on(now), member.voter().until(now))
        };
        host.rules_until.set(until.unwrap_or(u64::MAX));
        if self.applied.get() == range {
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
        let rules = self.rules_of(range);
        tracing::info!(?range, at = now, "rules");
        host.core(|core, now| core.rules(now, rules));
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
        all.iter().fold(Rules::default(), |rules, more| rules.meet(more))
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
            self.refresh(&host);
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
                    self.old.set(true);
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

    /// Writes what is kept, on a thread of its own: a disk that stalls must not hold up statements. Goes on until it is done.
    async fn keep(&self, bytes: Vec<u8>) {
        // A gateway that does not vote has nothing to keep, and one whose file is spoilt must not hide that.
        let Some(file) = self.file.clone().filter(|_| !self.old.get()) else { return };
        loop {
            let (done, wait) = async_channel::bounded(1);
            let (path, copy) = (file.clone(), bytes.clone());
            let thread = std::thread::Builder::new().name("keep".into());
            let begun = thread.spawn(move || drop(done.try_send(write_whole(&path, &copy))));
            let result = match begun {
                Ok(_) => wait.recv().await.unwrap_or_else(|_| Err(std::io::Error::other("no end"))),
                Err(e) => Err(e),
            };
            match result {
                Ok(()) => {
                    *self.trouble.borrow_mut() = None;
                    return;
                }
                Err(e) => {
                    tracing::error!("{}: {e}; nothing is voted on meanwhile", file.display());
                    *self.trouble.borrow_mut() = Some(e.to_string());
                    violetward_net::sleep(WRITE_AGAIN).await;
                }
            }
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
    pub fn leave(&self, host: &Rc<Host>) {
        self.with(host, |member, _| member.give_back());
    }

    /// What is known, with the versions from a number on.
    pub fn standing(&self, now: u64, since: u64) -> Standing {
        let member = self.member.borrow();
        let voter = member.voter();
        let (grants, silent) = voter.granting(now);
        let history = voter.history();
        let read = |v: &Version| check(&v.content, &self.names, &Rules::floor(&[], &[], &self.names));
        let row = |v: &Version| {
            let before = history.get(v.number - 1).and_then(|v| read(v).ok()).unwrap_or_default();
            let changes = match read(v) {
                Ok(rules) => shown(&before.differences(&rules)),
                Err(why) => vec![format!("! cannot be read here: {why}")],
            };
            let content = String::from_utf8_lossy(&v.content).into_owned();
            VersionRow { number: v.number, hash: format!("{:016x}", v.hash), content, changes }
        };
        let (total, from) = self.lapsed.get();
        let open = if self.applied.get().is_none() { now.saturating_sub(from) } else { 0 };
        Standing {
            name: self.terms.name.clone(),
            newest: voter.history().newest().0,
            acts: self.applied.get(),
            since: self.since.get(),
            until: voter.until(now),
            without_lease: total + open,
            voters: self.terms.voters.clone(),
            votes: voter.votes(),
            trouble: self.trouble.borrow().clone(),
            grants,
            silent,
            bound: self.terms.bound(),
            counts: member.counts,
            history: history.all().iter().filter(|v| v.number >= since).map(row).collect(),
        }
    }

    /// Takes an operator's proposal, or only tells what it would change. The status to answer with, and the report.
    pub async fn proposed(
        &self,
        host: &Rc<Host>,
        content: &[u8],
        after: u64,
        dry: bool,
        key: &str,
        given: &str,
    ) -> (u16, Report) {
        let report = |outcome: &str, number, text: String, changes| Report {
            outcome: outcome.to_owned(),
            number,
            text,
            changes,
        };
        let given = (0..given.len() / 2).map(|i| given.get(2 * i..2 * i + 2));
        let given: Option<Vec<u8>> = given.map(|d| u8::from_str_radix(d?, 16).ok()).collect();
        let known = self.terms.operators.iter().find(|(name, _)| name == key);
        let fits = |secret: &str, given: &[u8]| code(secret, after, dry, content).verify_slice(given).is_ok();
        let good = known.zip(given).is_some_and(|((_, secret), given)| fits(secret, &given));
        if !good {
            return (403, report("not allowed", None, "no operator's key signed this".into(), vec![]));
        }
        let (newest, before) = {
            let member = self.member.borrow();
            let history = member.voter().history();
            let (newest, _) = history.newest();
            let before = history.get(newest).and_then(|v| check(&v.content, &self.names, &self.floor).ok());
            (newest, before.unwrap_or_default())
        };
        let rules = match check(content, &self.names, &self.floor) {
            Ok(rules) => rules,
            Err(why) => return (422, report("unfit", None, why, vec![])),
        };
        let changes = shown(&before.differences(&rules));
        if dry {
            return (200, report("would commit", Some(newest + 1), String::new(), changes));
        }
        let (send, wait) = async_channel::bounded(1);
        let begun = self.with(host, |member, now| {
            let begun = member.propose(now, content, Some(after));
            if begun.is_ok() {
                *self.waiting.borrow_mut() = Some(send);
            }
            begun
        });
        match begun {
            Ok(()) => {}
            Err(Declined::NotVoter(voters)) => {
                let text = format!("this gateway does not vote; ask one of {}", voters.join(", "));
                return (409, report("not a voter", None, text, changes));
            }
            Err(Declined::Unfit(why)) => return (422, report("unfit", None, why, changes)),
            Err(Declined::Busy) => {
                return (409, report("busy", None, "another proposal is under way here".into(), changes))
            }
            Err(Declined::Stale(newest)) => {
                let text = format!("it was made for version {after}, but {newest} is the newest");
                return (409, report("stale", Some(newest), text, changes));
            }
        }
        match wait.recv().await.unwrap_or(Outcome::Unknown) {
            Outcome::Committed(number) => (200, report("committed", Some(number), String::new(), changes)),
            Outcome::Conflict(number) => {
                let text = format!("another proposal became version {number}");
                (409, report("conflict", Some(number), text, changes))
            }
            Outcome::Unfit(why) => (422, report("unfit", None, why, changes)),
            Outcome::Unknown => {
                let text =
                    "no quorum answered in time; it may still become a version: see the history".into();
                (504, report("unknown", None, text, changes))
            }
        }
    }
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

async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: Headers,
    body: &[u8],
) -> Result<Vec<u8>, String> {
    let asked = async {
        let limits = Limits { body: 16 << 20, ..Limits::default() };
        let mut connection = Connection::connect(address, limits).await.map_err(|e| e.to_string())?;
        let mut all = Headers::default();
        all.push("Host", address.to_string());
        headers.iter().for_each(|(name, value)| all.push(name, value));
        connection.call(method, path, &all, body).await.map_err(|e| e.to_string())
    };
    let message = violetward_net::timeout(ASK, asked).await.ok_or("no answer")??;
    match message.status() {
        200 | 409 | 422 | 504 if method == "POST" => Ok(message.body),
        200 => Ok(message.body),
        _ => Err(String::from_utf8_lossy(&message.body).trim().to_owned()),
    }
}

/// Asks a gateway how it stands.
///
/// # Errors
/// What it answers instead, or why it does not.
pub async fn ask(address: SocketAddr) -> Result<Standing, String> {
    ask_since(address, 0).await
}

/// The same, with the versions from a number on alone.
///
/// # Errors
/// What it answers instead, or why it does not.
pub async fn ask_since(address: SocketAddr, since: u64) -> Result<Standing, String> {
    let body = call(address, "GET", &format!("{PATH}?since={since}"), Headers::default(), b"").await?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Proposes a content as the version after `after`, or has told what it would change.
///
/// # Errors
/// What the gateway answers instead of a report, or why it does not.
pub async fn propose(
    address: SocketAddr,
    content: &[u8],
    after: u64,
    dry: bool,
    key: &(String, String),
) -> Result<Report, String> {
    let mut headers = Headers::default();
    headers.push(AFTER, after.to_string());
    headers.push(KEY, key.0.clone());
    let code = code(&key.1, after, dry, content).finalize().into_bytes();
    let digits = code.iter().map(|b| format!("{b:02x}")).collect::<String>();
    headers.push(CODE, digits);
    let path = if dry { format!("{PATH}?dry") } else { PATH.to_owned() };
    let body = call(address, "POST", &path, headers, content).await?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

impl std::fmt::Display for Standing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.acts {
            Some((low, top)) if low == top => writeln!(f, "{} acts on version {top}", self.name)?,
            Some((low, top)) => {
                writeln!(f, "{} acts on what all versions from {low} to {top} allow", self.name)?
            }
            None => writeln!(f, "{} has no lease: it does what the floor allows", self.name)?,
        }
        let vote = match (&self.trouble, self.votes) {
            (Some(why), _) => format!("does not vote: {why}"),
            (None, true) => format!("votes; {} grants are out", self.grants),
            (None, false) => "does not vote".into(),
        };
        writeln!(f, "it {vote}; voters: {}", self.voters.join(" "))?;
        write!(
            f,
            "newest version {}; {:.1} s without a lease since its start; T {:.1} s",
            self.newest,
            self.without_lease as f64 / 1e6,
            self.bound as f64 / 1e6
        )
    }
}
