//! Watches the sites and acts on their loss: collects evidence from the core, from probes, from membership and from what other
//! gateways say, spreads summaries of demand and cost, and passes on what follows. Decides nothing: what state a site is in and
//! what is done about it is `violetward-site`'s, what is let in is the module's.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use violetward::{EngineId, Listed, Micros};
use violetward_digest::{Cell as DigestCell, Digest, Own, Page, Spread, Summary, DATAGRAM, PAGES};
use violetward_membership::{Link, Standing as Stands, State as Lives};
use violetward_net::{Connection, NetError};
use violetward_site::act::{Act, Effect, Terms as ActTerms};
use violetward_site::plan::{Class, Kind, Room};
use violetward_site::projection::{bound_of, Demand, Known, Learned, Loss, Projection, Traits};
use violetward_site::state::{
    Change, EngineSign, Evidence, MemberSign, Standing as OwnStanding, State, Watch,
};
use violetward_statement::http::{Headers, Limits};

use crate::core::sights::{Cost, Sights};
use crate::host::Host;
use crate::peers::Peers;
use crate::record::{hash, zone_id, Record};
use crate::terms::SiteTerms;

/// The first octet of what is said over membership: a datagram of summaries, or a witness's word.
pub const SAID: u8 = 0xD6;
const PAGES_SAID: u8 = 1;
const WITNESS: u8 = 2;
/// Between two looks.
const TICK: Duration = Duration::from_millis(200);
/// Between two words as a witness, and to how many at once.
const SPEAK: (Micros, usize) = (1_000_000, 8);
/// An engine that was not heard of for this long is probed, and one in doubt again after; times the gateways by so many.
const QUIET: Micros = 1_000_000;
const AGAIN: Micros = 400_000;
const FEW: u64 = 16;
/// The way to an engine that is heard of is measured this often.
const MEASURE: Micros = 10_000_000;
/// Engines, gateways and witnesses remembered of a site; changes told.
const MOST: usize = 4_096;
const CHANGES: usize = 64;
/// Rows and half-life of what is learned of projections.
const LEARNED: (Micros, usize) = (7 * 86_400 * 1_000_000, 4_096);
/// What was seen in an outage is taught this often.
const TEACH: Micros = 5_000_000;
/// In cells of this class stands what belongs to none: the way from a site to a zone's engines.
const NO_CLASS: u16 = u16::MAX;
/// How long an operator's command waits.
const ASK: Duration = Duration::from_secs(2);

/// An engine as it is watched.
struct Watched {
    address: SocketAddr,
    site: usize,
    kind: usize,
    zone: violetward::ZoneId,
    drained: bool,
    /// Off the list though it was not drained: it may be dead, until it answers or is forgotten.
    missing: Option<Micros>,
    heard: Micros,
    asked: Micros,
    measured: Micros,
    /// A connection's time, microseconds.
    way: Option<f64>,
    out: bool,
}

/// Requests asked and served since the start, by class and site of their clients.
type Totals = BTreeMap<(usize, usize), (u64, u64)>;

struct Inner {
    watch: Watch,
    act: Act,
    own: Own,
    digest: Digest,
    spread: Spread,
    engines: BTreeMap<EngineId, Watched>,
    ticked: Micros,
    spoke: Micros,
    knew: Micros,
    moved: Micros,
    /// Totals at the last lesson, and when.
    taught: (Micros, Totals),
    came: BTreeMap<usize, u64>,
    opening: Option<Forecast>,
    changes: VecDeque<ChangeRow>,
    keep: [Vec<f64>; 2],
    counts: Counts,
}

/// What it costs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Counts {
    /// Datagrams and octets of summaries and of witnesses' words sent, and taken.
    pub sent: (u64, u64),
    /// See `sent`.
    pub taken: (u64, u64),
    /// Datagrams that could not be read.
    pub unread: u64,
    /// Engines probed.
    pub probes: u64,
    /// Microseconds spent on looks and on what was heard.
    pub spent: u64,
}

/// A site, as `/v1/sites` tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SiteRow {
    /// Its name.
    pub name: String,
    /// `whole`, `doubtful`, `partly-lost`, `cut-off`, `lost` or `returning`.
    pub state: String,
    /// Since when, microseconds since the Unix epoch.
    pub since: u64,
    /// By what evidence.
    pub why: String,
    /// For how long it would have to answer after a loss, microseconds.
    pub held_back: u64,
    /// The part of what its engines can do that this gateway may take; `None`: nothing holds it back.
    pub turn: Option<f64>,
}

/// A change of a site's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRow {
    /// When, microseconds since the Unix epoch.
    pub at: u64,
    /// The site.
    pub site: String,
    /// The state before.
    pub was: String,
    /// The state.
    pub state: String,
    /// By what evidence.
    pub why: String,
}

/// One class of one site's clients in a forecast, requests a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LineRow {
    /// Whose clients.
    pub site: String,
    /// The class.
    pub class: String,
    /// Asked for.
    pub asked: f64,
    /// Served in time.
    pub served: f64,
    /// The least and the most of it, as demand varies.
    pub range: (f64, f64),
    /// Let in and ended too late.
    pub wasted: f64,
    /// By neighbour: served, and core seconds a second there.
    pub at: Vec<(String, f64, f64)>,
}

/// What a loss would cost, or was thought to cost when it came.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// When it was made, microseconds since the Unix epoch.
    pub at: u64,
    /// Sites of which engines are lost.
    pub lost: Vec<String>,
    /// Worth a second asked for, served, and the range of that.
    pub asked: f64,
    /// See `asked`.
    pub served: f64,
    /// See `asked`.
    pub range: (f64, f64),
    /// Core seconds a second that are left.
    pub room: f64,
    /// Worth a second that each site's own clients lose.
    pub displaced: Vec<(String, f64)>,
    /// The first one is kept first, the last one refused first.
    pub lines: Vec<LineRow>,
}

/// What `/v1/sites` tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// This gateway and its site.
    pub name: String,
    /// See `name`.
    pub site: String,
    /// What follows from a loss is done, not only told.
    pub acts: bool,
    /// All sites.
    pub sites: Vec<SiteRow>,
    /// The least share of the fleet that a loss gives this gateway, and the share in force.
    pub share: (Option<f64>, f64),
    /// Parts of requests that are let in, by class: of own clients and of guests. Empty: all.
    pub keep: BTreeMap<String, (f64, f64)>,
    /// For the loss of each site, what it would cost.
    pub projected: Vec<Forecast>,
    /// What the present limits opened with, or the last ones did.
    pub opening: Option<Forecast>,
    /// The last changes of states.
    pub changes: Vec<ChangeRow>,
    /// Gateways of which summaries are known.
    pub origins: usize,
    /// What it costs.
    pub counts: Counts,
}

impl std::fmt::Display for Standing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for s in &self.sites {
            write!(f, "\nsite {:<12} {:<12} {}", s.name, s.state, s.why)?;
        }
        for (class, (own, guests)) in &self.keep {
            write!(f, "\nlet in of {class}: {own:.3} of own clients, {guests:.3} of guests")?;
        }
        for p in &self.projected {
            let part = if p.asked > 0.0 { p.served / p.asked } else { 1.0 };
            write!(f, "\nwithout {}: {:.1}% of the worth would be kept", p.lost.join(", "), part * 100.0)?;
        }
        Ok(())
    }
}

/// The sites, as this gateway knows them.
pub struct Outage {
    terms: SiteTerms,
    peers: Rc<Peers>,
    inner: RefCell<Inner>,
    least: Cell<Option<f64>>,
}

/// What came of a probe, and the time that a connection took.
async fn probe(address: SocketAddr, within: Duration) -> (EngineSign, Option<f64>) {
    let begun = Instant::now();
    let asked = async {
        let mut connection = match Connection::connect(address, Limits::default()).await {
            Ok(connection) => connection,
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => return (EngineSign::Refused, None),
            Err(_) => return (EngineSign::Silent, None),
        };
        let way = begun.elapsed().as_secs_f64() * 1e6;
        let mut headers = Headers::default();
        headers.push("Host", address.to_string());
        match connection.call("GET", "/v1/status", &headers, b"").await {
            // Whatever it answers, it is there.
            Ok(_) | Err(NetError::Http(_)) => (EngineSign::Answered, Some(way)),
            Err(NetError::Io(_) | NetError::TimedOut) => (EngineSign::Silent, None),
        }
    };
    violetward_net::timeout(within, asked).await.unwrap_or((EngineSign::Silent, None))
}

impl Outage {
    /// Starts to watch.
    ///
    /// # Errors
    /// Without membership.
    pub fn start(host: &Rc<Host>, terms: SiteTerms) -> std::io::Result<()> {
        let missing = || std::io::Error::other("site-loss needs membership");
        let (peers, ring) = host.peers().zip(host.config.peers.as_ref()).ok_or_else(missing)?;
        let (settings, now) = (&host.config.settings, host.now());
        let act = ActTerms {
            gateways: settings.gateways,
            sites: terms.sites.len(),
            widest: ring.widest,
            cold_from: settings.cold_from,
            cold_span: settings.cold_span,
            low: terms.low,
            high: terms.high,
            step: terms.step,
            every: terms.every,
        };
        let (me, _) = peers.me();
        let names = terms.sites.iter().map(|s| s.name.clone()).collect();
        let sights = Sights::new(&terms.tag, names, terms.own, &settings.classes);
        host.core(|core, _| core.watch_sights(sights));
        let inner = Inner {
            watch: Watch::new(terms.watch, terms.own, terms.sites.len(), MOST, now),
            act: Act::new(act, Learned::new(LEARNED.0, LEARNED.1), now),
            own: Own::new(&me.name, PAGES, now),
            digest: Digest::new(violetward_digest::Terms::default()),
            spread: Spread::new(terms.pace, rand::random(), now),
            engines: BTreeMap::new(),
            ticked: now,
            spoke: now,
            knew: now,
            moved: now,
            taught: (now, BTreeMap::new()),
            came: BTreeMap::new(),
            opening: None,
            changes: VecDeque::new(),
            keep: Default::default(),
            counts: Counts::default(),
        };
        let sites: Vec<&str> = terms.sites.iter().map(|s| s.name.as_str()).collect();
        tracing::info!(sites = sites.join(" "), acts = terms.acts, "site-loss");
        let outage = Rc::new(Outage { terms, peers, inner: RefCell::new(inner), least: Cell::new(None) });
        *host.outage.borrow_mut() = Some(outage.clone());
        let to = host.clone();
        host.spawn(async move {
            loop {
                violetward_net::sleep(TICK).await;
                outage.tick(&to);
            }
        });
        Ok(())
    }

    /// The share of the fleet that is in force where membership gives this one.
    pub(crate) fn share(&self, part: f64) -> f64 {
        self.least.get().map_or(part, |least| part.max(least))
    }

    /// This process stood still.
    pub(crate) fn paused(&self, host: &Rc<Host>, span: Micros) {
        self.inner.borrow_mut().watch.take(host.now(), Evidence::Paused(span));
    }

    /// Another gateway has said something.
    pub(crate) fn heard(&self, host: &Rc<Host>, from: &str, bytes: &[u8]) {
        let (begun, now) = (Instant::now(), host.now());
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        inner.counts.taken = (inner.counts.taken.0 + 1, inner.counts.taken.1 + bytes.len() as u64 + 1);
        let good = match bytes.split_first() {
            Some((&PAGES_SAID, pages)) if pages.len() <= DATAGRAM => match Page::read(pages, now) {
                Ok(pages) => {
                    for page in pages {
                        inner.own.heard(&page);
                        inner.digest.merge(now, page);
                    }
                    true
                }
                Err(_) => false,
            },
            Some((&WITNESS, word)) => self.witness(inner, now, from, word),
            _ => false,
        };
        inner.counts.unread += u64::from(!good);
        inner.counts.spent += begun.elapsed().as_micros() as u64;
    }

    /// A witness's word is a bit a site, in order: whether it reaches anything there.
    fn witness(&self, inner: &mut Inner, now: Micros, from: &str, word: &[u8]) -> bool {
        if word.len() != self.terms.sites.len().div_ceil(8) {
            return false;
        }
        let Some(site) = self.site_of_member(from) else { return false };
        for of in 0..self.terms.sites.len() {
            let reaches = word[of / 8] >> (of % 8) & 1 == 1;
            inner.watch.take(now, Evidence::Witness { from: site, member: hash(from), of, reaches });
        }
        true
    }

    fn site_of_member(&self, name: &str) -> Option<usize> {
        let seen = self.peers.seen().into_iter().find(|s| s.record.name == name)?;
        self.terms.sites.iter().position(|s| s.name == seen.record.site)
    }

    fn site_of(&self, host: &Host, record: &Record) -> Option<usize> {
        let by_name = self.terms.sites.iter().position(|s| s.engines.contains(&record.name));
        let stands = |zone: &String| zone_id(zone, &host.config.names) == record.entry.zone;
        by_name.or_else(|| self.terms.sites.iter().position(|s| s.zones.iter().any(stands)))
    }

    fn tick(self: &Rc<Self>, host: &Rc<Host>) {
        let begun = Instant::now();
        let now = host.now();
        let mut said = Vec::new();
        {
            let mut inner = self.inner.borrow_mut();
            let inner = &mut *inner;
            let span = now.saturating_sub(std::mem::replace(&mut inner.ticked, now));
            self.engines(host, inner, now);
            self.signs(host, inner, now, span);
            self.members(inner, now);
            inner.watch.wake(now);
            while let Some(change) = inner.watch.change() {
                self.changed(host, inner, now, change);
            }
            self.evidence(host, inner, now);
            self.summaries(host, inner, now, &mut said);
            self.speak(inner, now, &mut said);
        }
        for (to, bytes) in said {
            self.peers.say(host, &to, &bytes);
        }
        self.act(host);
        self.inner.borrow_mut().counts.spent += begun.elapsed().as_micros() as u64;
    }

    /// The list, as it is now.
    fn engines(&self, host: &Host, inner: &mut Inner, now: Micros) {
        let listed: Vec<Record> = host.look(|core| core.engines().cloned().collect());
        let mut gone: Vec<EngineId> = inner.engines.keys().copied().collect();
        for record in &listed {
            let (engine, Some(site)) = (record.entry.engine, self.site_of(host, record)) else { continue };
            gone.retain(|id| *id != engine);
            if inner.engines.len() >= MOST && !inner.engines.contains_key(&engine) {
                continue;
            }
            let drained = record.entry.listed != Listed::Up;
            let e = inner.engines.entry(engine).or_insert_with(|| Watched {
                address: record.address,
                site,
                kind: record.entry.kind.0,
                zone: record.entry.zone,
                drained: false,
                missing: None,
                heard: now,
                asked: 0,
                measured: 0,
                way: None,
                out: false,
            });
            (e.address, e.missing) = (record.address, None);
            if std::mem::replace(&mut e.drained, drained) != drained {
                // One that is open again has to be heard of: until then nothing is known of it.
                let sign = if drained { EngineSign::Drains } else { EngineSign::Answered };
                inner.watch.take(now, Evidence::Engine { site: e.site, engine: engine.0, sign });
            }
        }
        for engine in gone {
            let Some(e) = inner.engines.get_mut(&engine) else { continue };
            // A list that drops what is dead is no plan: the engine is away until it answers, or is forgotten.
            let since = *e.missing.get_or_insert(now);
            if e.drained || now >= since + self.terms.watch.calm {
                self.forget(inner, now, engine);
            }
        }
    }

    fn forget(&self, inner: &mut Inner, now: Micros, engine: EngineId) {
        if let Some(e) = inner.engines.remove(&engine) {
            inner
                .watch
                .take(now, Evidence::Engine { site: e.site, engine: engine.0, sign: EngineSign::Gone });
        }
    }

    fn sign(&self, inner: &mut Inner, now: Micros, engine: EngineId, sign: EngineSign) {
        let Some(e) = inner.engines.get_mut(&engine).filter(|e| !e.drained) else { return };
        if sign == EngineSign::Answered {
            e.heard = now;
            if e.missing.is_some() {
                // It lives and is not to be used: that is a plan.
                return self.forget(inner, now, engine);
            }
        }
        inner.watch.take(now, Evidence::Engine { site: e.site, engine: engine.0, sign });
    }

    /// What attempts told, and probes of what was not heard of.
    fn signs(self: &Rc<Self>, host: &Rc<Host>, inner: &mut Inner, now: Micros, span: Micros) {
        let average = self.terms.average;
        let signs = host.core_alone(|core, _| {
            core.sights().map(|sights| {
                sights.fade(span, average);
                sights.signs()
            })
        });
        for (engine, sign) in signs.unwrap_or_default() {
            // What an attempt finds broken may be one connection: a probe tells.
            if sign == EngineSign::Answered {
                self.sign(inner, now, engine, sign);
            } else if let Some(e) = inner.engines.get_mut(&engine) {
                e.heard = e.heard.min(now.saturating_sub(QUIET * 100));
            }
        }
        // Many gateways that ask must not add up to a load of their own.
        let many = (u64::from(host.config.settings.gateways) / FEW).max(1);
        let due = |e: &Watched| {
            let quiet = now >= e.heard + QUIET * many && now >= e.asked + AGAIN * many;
            !e.out && !e.drained && (quiet || now >= e.measured + MEASURE * many)
        };
        let ask: Vec<_> =
            inner.engines.iter().filter(|(_, e)| due(e)).map(|(&id, e)| (id, e.address)).collect();
        for (engine, address) in ask {
            if let Some(e) = inner.engines.get_mut(&engine) {
                (e.out, e.asked, e.measured) = (true, now, now);
            }
            inner.counts.probes += 1;
            let (outage, to) = (self.clone(), host.clone());
            host.spawn(async move {
                let (sign, way) = probe(address, to.config.host.probe_within).await;
                let mut inner = outage.inner.borrow_mut();
                if let Some(e) = inner.engines.get_mut(&engine) {
                    e.out = false;
                    if let Some(way) = way {
                        e.way = Some(e.way.map_or(way, |old| old + (way - old) / 4.0));
                    }
                }
                outage.sign(&mut inner, to.now(), engine, sign);
            });
        }
    }

    /// What membership believes.
    fn members(&self, inner: &mut Inner, now: Micros) {
        for seen in self.peers.seen() {
            let Some(site) = self.terms.sites.iter().position(|s| s.name == seen.record.site) else {
                continue;
            };
            let sign = match seen.record.state {
                Lives::Alive => MemberSign::Lives { direct: seen.link == Link::Good },
                Lives::Suspect => MemberSign::Suspect,
                Lives::Dead => MemberSign::Dead,
                Lives::Left => MemberSign::Left,
            };
            let member = hash(&seen.record.name);
            inner.watch.take(now, Evidence::Member { site, member, sign });
        }
        let stands = match self.peers.standing().0 {
            Stands::Whole => OwnStanding::Whole,
            _ => OwnStanding::Doubtful,
        };
        inner.watch.take(now, Evidence::Standing(stands));
    }

    fn name(&self, site: usize) -> String {
        self.terms.sites.get(site).map_or_else(String::new, |s| s.name.clone())
    }

    fn changed(&self, host: &Host, inner: &mut Inner, now: Micros, change: Change) {
        inner.act.site(now, change);
        if change.was != change.state {
            let row = ChangeRow {
                at: now,
                site: self.name(change.site),
                was: change.was.word().into(),
                state: change.state.word().into(),
                why: change.why.to_string(),
            };
            tracing::warn!(
                site = row.site,
                was = row.was,
                state = row.state,
                why = row.why,
                at = now,
                "site"
            );
            if inner.changes.len() >= CHANGES {
                inner.changes.pop_front();
            }
            inner.changes.push_back(row);
        }
        let forecast = inner.act.opening().map(|p| self.forecast(host, p, now));
        // One forecast a loss: it is made once, whatever limits do afterwards.
        let known = |old: &Forecast, new: &Forecast| (&old.lost, old.asked) == (&new.lost, new.asked);
        if let Some(new) = forecast.filter(|new| !inner.opening.as_ref().is_some_and(|old| known(old, new))) {
            tracing::warn!(
                lost = new.lost.join(" "),
                asked = new.asked,
                served = new.served,
                lines = serde_json::to_string(&new.lines).unwrap_or_default(),
                at = now,
                "forecast"
            );
            inner.opening = Some(new);
        }
    }

    fn forecast(&self, host: &Host, p: &Projection, at: u64) -> Forecast {
        let lost = p.loss.engines.iter().enumerate().filter(|(_, left)| **left < 1.0);
        let lost = lost.map(|(site, _)| self.name(site)).collect();
        let class = |n: usize| host.config.names.classes.get(n).cloned().unwrap_or_default();
        let line = |l: &violetward_site::projection::Line| LineRow {
            site: self.name(l.site),
            class: class(l.class),
            asked: l.asked,
            served: l.served,
            range: l.range,
            wasted: l.wasted,
            at: l.parts.iter().map(|p| (self.name(p.site), p.served, p.work)).collect(),
        };
        Forecast {
            at,
            lost,
            asked: p.asked,
            served: p.served,
            range: p.range,
            room: p.room,
            displaced: p.displaced.iter().enumerate().map(|(site, &d)| (self.name(site), d)).collect(),
            lines: p.lines.iter().map(line).collect(),
        }
    }

    /// Waits move limits; what came and was served teaches.
    fn evidence(&self, host: &Rc<Host>, inner: &mut Inner, now: Micros) {
        let totals = host.core_alone(|core, _| core.sights().map(|s| s.totals().clone())).unwrap_or_default();
        for (&(_, site), &(asked, _)) in &totals {
            inner.came.entry(site).or_insert(0);
            let sum: u64 = totals.iter().filter(|t| t.0 .1 == site).map(|t| t.1 .0).sum();
            let before = inner.came.insert(site, sum).unwrap_or(0);
            if asked > 0 && sum > before && site != self.terms.own {
                inner.act.came(now, site, (sum - before) as u32);
            }
        }
        if now >= inner.moved + self.terms.every {
            inner.moved = now;
            let waits = host.core_alone(|core, _| core.sights().map(Sights::waits)).unwrap_or_default();
            // The class that is refused first may wait: it says nothing of the others.
            let last = inner.act.limits().last().map(|l| l.class);
            let of = |(class, w): (usize, &(f64, u32))| (Some(class) != last && w.1 >= 3).then_some(w.0);
            let wait = waits.iter().enumerate().filter_map(of).fold(0.0, f64::max);
            inner.act.pressure(now, wait);
        }
        let span = now.saturating_sub(inner.taught.0);
        if span >= TEACH {
            let away = (0..self.terms.sites.len()).any(|s| {
                inner.watch.state(s).is_some_and(|(state, since, _)| state.is_away() && since + TEACH < now)
            });
            if away && self.terms.acts {
                let before = &inner.taught.1;
                let rows: Vec<_> = totals
                    .iter()
                    .map(|(key, &(asked, served))| {
                        let old = before.get(key).copied().unwrap_or_default();
                        (*key, (asked - old.0) as f64, (served - old.1) as f64)
                    })
                    .collect();
                inner.act.seen(now, span, &rows);
            }
            inner.taught = (now, totals);
        }
    }

    /// Summaries of what this one sees, in turn to each other gateway; and what all say together.
    fn summaries(&self, host: &Rc<Host>, inner: &mut Inner, now: Micros, said: &mut Vec<(String, Vec<u8>)>) {
        if now >= inner.spread.next_wake() {
            let live = |s: &violetward_membership::Seen| s.record.state <= Lives::Suspect;
            let members =
                || self.peers.seen().into_iter().filter(live).map(|s| s.record.name).collect::<Vec<_>>();
            let sums = self.sums(host, inner);
            let out = inner.spread.wake(now, members, || sums, &mut inner.own, &mut inner.digest);
            for (to, pages) in out {
                let mut bytes = vec![SAID, PAGES_SAID];
                bytes.extend(pages);
                inner.counts.sent = (inner.counts.sent.0 + 1, inner.counts.sent.1 + bytes.len() as u64);
                said.push((to, bytes));
            }
        }
        if now >= inner.knew + self.terms.pace.round {
            inner.knew = now;
            // What one gateway says in all counts for twice the median of all at most.
            let mut told: BTreeMap<String, f64> = BTreeMap::new();
            for page in inner.digest.pages() {
                *told.entry(page.origin().to_owned()).or_default() +=
                    page.cells().map(|c| c.1.work).sum::<f64>();
            }
            inner.digest.bound(bound_of(&told.values().copied().collect::<Vec<_>>()));
            if let Some(known) = self.known(host, inner, now) {
                inner.act.know(known);
            }
        }
    }

    /// This gateway's cells: demand by class and its clients' site, k by class and the engines' site, ways by site.
    fn sums(&self, host: &Rc<Host>, inner: &Inner) -> Vec<(DigestCell, Summary)> {
        let (rates, costs) = host.core_alone(|core, _| match core.sights() {
            Some(s) => (s.rates().collect::<Vec<_>>(), s.costs().collect::<Vec<_>>()),
            None => Default::default(),
        });
        let place = |n: usize| u16::try_from(n).ok();
        let mut cells: Vec<(DigestCell, Summary)> = Vec::new();
        for ((class, site), tally) in rates {
            let cell = DigestCell { site: place(site), ..DigestCell::others(class as u16) };
            cells.push((cell, Summary { work: tally.work, ..Summary::default() }));
        }
        let mut by_site: BTreeMap<(usize, usize), Cost> = BTreeMap::new();
        for ((class, engine), cost) in costs {
            let Some(e) = inner.engines.get(&engine) else { continue };
            let sum = by_site.entry((class, e.site)).or_default();
            *sum = sum.with(cost);
        }
        for ((class, site), cost) in by_site {
            let cell = DigestCell { zone: place(site), ..DigestCell::others(class as u16) };
            cells.push((cell, Summary { k: cost.seen / cost.told, weight: cost.told, ..Summary::default() }));
        }
        for site in 0..self.terms.sites.len() {
            let ways: Vec<f64> =
                inner.engines.values().filter(|e| e.site == site).filter_map(|e| e.way).collect();
            if !ways.is_empty() {
                let crossing = ways.iter().sum::<f64>() / ways.len() as f64;
                let own = place(self.terms.own);
                let cell = DigestCell { zone: place(site), site: own, ..DigestCell::others(NO_CLASS) };
                cells.push((cell, Summary { crossing, ..Summary::default() }));
            }
        }
        cells
    }

    /// What is known of the fleet: from summaries, the list and what this gateway measures itself.
    fn known(&self, host: &Rc<Host>, inner: &Inner, now: Micros) -> Option<Known> {
        let settings = &host.config.settings;
        let sights = host.core_alone(|core, _| {
            let s = core.sights()?;
            Some((s.rates().collect::<Vec<_>>(), s.costs().collect::<Vec<_>>()))
        });
        let (rates, costs) = sights?;
        let mut mean = Vec::new();
        let mut traits = Vec::new();
        for (n, class) in settings.classes.iter().enumerate() {
            let own = rates
                .iter()
                .filter(|r| r.0 .0 == n)
                .fold((0.0, 0.0, 0.0), |s, (_, t)| (s.0 + t.asked, s.1 + t.work, s.2 + t.squares));
            let threads = f64::from(class.threads.max(1));
            // Of what was never asked for here a quarter of the aim is a guess.
            let work = if own.1 > 0.0 { own.1 / own.0 / 1e3 } else { class.aim as f64 / 4e6 * threads };
            let spread = if own.1 > 0.0 { (own.2 * own.0 / (own.1 * own.1)).max(1.0) } else { 1.0 };
            let cost =
                costs.iter().filter(|c| c.0 .0 == n).fold(Cost::default(), |sum, (_, cost)| sum.with(*cost));
            let k = if cost.told > 0.0 { cost.seen / cost.told } else { 1.0 };
            mean.push(work);
            traits.push(Traits {
                aim: class.aim + (class.aim_stretch.max(0.0) * work * k / threads * 1e6) as Micros,
                late_worth: class.late_worth,
                attempts: 1.0,
                spread,
                error: cost.error(),
            });
        }
        let view = inner.digest.view(now);
        let (mut demand, mut k, mut crossing) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        for (cell, says) in &view {
            let (class, site, at) =
                (usize::from(cell.class), cell.site.map(usize::from), cell.zone.map(usize::from));
            let is_there = |n: usize| n < self.terms.sites.len();
            match (site, at) {
                (Some(from), Some(to)) if cell.class == NO_CLASS && is_there(from) && is_there(to) => {
                    crossing.insert((from, to), says.crossing as Micros);
                }
                (Some(site), None) if class < mean.len() && is_there(site) && says.work > 0.0 => {
                    let rate = says.work / 1e3 / mean[class];
                    // Of the mean over that span; what it varies by beyond Poisson's is not told.
                    let deviation = (rate / (self.terms.average as f64 / 1e6)).sqrt();
                    demand.push(Demand { site, class, mean: rate, deviation, bursts: 1.0 });
                }
                (None, Some(at)) if class < mean.len() && is_there(at) && says.k > 0.0 => {
                    k.insert((class, at), says.k);
                }
                _ => {}
            }
        }
        let mut rooms: BTreeMap<(usize, usize), u32> = BTreeMap::new();
        for e in inner.engines.values().filter(|e| !e.drained) {
            *rooms.entry((e.site, e.kind)).or_default() += 1;
        }
        let names = &host.config.names;
        let classes = settings.classes.iter().enumerate().map(|(n, c)| Class {
            name: names.classes.get(n).cloned().unwrap_or_default(),
            worth: c.worth,
            work: mean[n],
            threads: f64::from(c.threads.max(1)),
            memory_mb: 0.0,
            kinds: c.kinds.as_ref().map(|kinds| kinds.iter().map(|k| k.0).collect()),
            sites: c.zones.as_ref().map(|zones| {
                let fits =
                    |site: &usize| inner.engines.values().any(|e| e.site == *site && zones.contains(&e.zone));
                (0..self.terms.sites.len()).filter(fits).collect()
            }),
            bound: false,
        });
        let kinds = settings.kinds.iter().enumerate().map(|(n, kind)| Kind {
            name: names.kinds.get(n).cloned().unwrap_or_default(),
            cores: kind.cores,
            memory_mb: kind.memory_mb,
        });
        Some(Known {
            sites: self.terms.sites.iter().map(|s| (s.name.clone(), s.gateways)).collect(),
            kinds: kinds.collect(),
            rooms: rooms.into_iter().map(|((site, kind), engines)| Room { site, kind, engines }).collect(),
            classes: classes.collect(),
            traits,
            demand,
            k,
            crossing,
            connections: BTreeMap::new(),
            cold: BTreeMap::new(),
            fill: self.terms.fill,
        })
    }

    /// Tells some others which sites this one reaches.
    fn speak(&self, inner: &mut Inner, now: Micros, said: &mut Vec<(String, Vec<u8>)>) {
        if now < inner.spoke + SPEAK.0 {
            return;
        }
        inner.spoke = now;
        let mut word = vec![0u8; self.terms.sites.len().div_ceil(8)];
        for site in (0..self.terms.sites.len()).filter(|&s| inner.watch.reaches(now, s)) {
            word[site / 8] |= 1 << (site % 8);
        }
        let live = |s: &violetward_membership::Seen| s.record.state <= Lives::Suspect;
        let mut names: Vec<String> =
            self.peers.seen().into_iter().filter(live).map(|s| s.record.name).collect();
        for place in 0..names.len().min(SPEAK.1) {
            let drawn = rand::random_range(place..names.len());
            names.swap(place, drawn);
            let bytes = [&[SAID, WITNESS], word.as_slice()].concat();
            inner.counts.sent = (inner.counts.sent.0 + 1, inner.counts.sent.1 + bytes.len() as u64);
            said.push((names[place].clone(), bytes));
        }
    }

    /// Carries out what follows.
    fn act(&self, host: &Rc<Host>) {
        loop {
            let effect = self.inner.borrow_mut().act.effect();
            let Some(effect) = effect else { break };
            match effect {
                Effect::Share(least) => {
                    tracing::info!(least, acts = self.terms.acts, "share that a loss gives");
                    self.least.set(least.filter(|_| self.terms.acts));
                    let share = self.share(self.peers.standing().1);
                    host.core(|core, now| core.share(now, share));
                }
                Effect::Narrow(_) => self.narrow(host),
                Effect::Settled => {
                    tracing::info!("limits of a loss have ended");
                    self.narrow(host);
                }
            }
        }
    }

    fn narrow(&self, host: &Rc<Host>) {
        let mut parts = {
            let inner = self.inner.borrow();
            inner.act.parts(host.config.settings.classes.len(), self.terms.own)
        };
        if parts.iter().flatten().all(|&part| part >= 1.0 - 1e-9) {
            parts = Default::default();
        }
        if std::mem::replace(&mut self.inner.borrow_mut().keep, parts.clone()) != parts && self.terms.acts {
            let back = if parts[0].is_empty() { 0 } else { self.terms.stay_away };
            host.core(|core, now| core.keep(now, parts, back));
        }
    }

    /// What is known.
    pub fn standing(&self, host: &Rc<Host>) -> Standing {
        let (now, inner) = (host.now(), self.inner.borrow());
        let row = |site: usize| {
            let (state, since, why) =
                inner.watch.state(site).unwrap_or((State::Whole, now, Default::default()));
            SiteRow {
                name: self.name(site),
                state: state.word().into(),
                since,
                why: why.to_string(),
                held_back: inner.watch.held_back(site),
                turn: inner.act.turn(now, site),
            }
        };
        let all = 0..self.terms.sites.len();
        let classes = host.config.names.classes.iter().enumerate();
        let part = |kept: &Vec<f64>, n: usize| kept.get(n).copied().unwrap_or(1.0);
        let keep = classes.map(|(n, c)| (c.clone(), (part(&inner.keep[0], n), part(&inner.keep[1], n))));
        let project = |site: usize| Some(self.forecast(host, &inner.act.project(now, &Loss::of(site))?, now));
        Standing {
            name: inner.own.origin().to_owned(),
            site: self.name(self.terms.own),
            acts: self.terms.acts,
            sites: all.clone().map(row).collect(),
            share: (self.least.get(), self.share(self.peers.standing().1)),
            keep: if inner.keep[0].is_empty() { BTreeMap::new() } else { keep.collect() },
            projected: all.filter_map(project).collect(),
            opening: inner.opening.clone(),
            changes: inner.changes.iter().cloned().collect(),
            origins: inner.digest.origins(),
            counts: inner.counts,
        }
    }
}

/// Asks a gateway how the sites stand.
///
/// # Errors
/// What it answers instead, or why it does not.
pub async fn ask(address: SocketAddr) -> Result<Standing, String> {
    let asked = async {
        let mut connection =
            Connection::connect(address, Limits::default()).await.map_err(|e| e.to_string())?;
        let mut headers = Headers::default();
        headers.push("Host", address.to_string());
        connection.call("GET", "/v1/sites", &headers, b"").await.map_err(|e| e.to_string())
    };
    let message = violetward_net::timeout(ASK, asked).await.ok_or("no answer")??;
    if message.status() != 200 {
        return Err(String::from_utf8_lossy(&message.body).trim().to_owned());
    }
    serde_json::from_slice(&message.body).map_err(|e| e.to_string())
}
