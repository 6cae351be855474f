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
use violetward_digest::{
    Cell as DigestCell, CellAggregate, Digest, DigestConfig, GossipScheduler, Page, PageBuilder, Summary,
    MAX_DATAGRAM_BYTES, MAX_PAGES_PER_ORIGIN,
};
use violetward_membership::{Link, Standing as Stands, State as Lives};
use violetward_net::{Connection, NetError};
use violetward_site::act::{Act, Effect, Terms as ActTerms};
use violetward_site::plan::{Class, Kind, Room};
use violetward_site::projection::{bound_of, Demand, Known, Learned, Loss, Projection, Traits};
use violetward_site::state::{
    Change, EngineSign, Evidence, MemberSign, Standing as OwnStanding, State, Watch,
};
use violetward_statement::http::{Headers, Limits};

use crate::core::observations::{Cost, Observations};
use crate::host::Host;
use crate::peers::Peers;
use crate::record::{fnv1a, zone_id, EngineRecord};
use crate::terms::SiteTerms;

mod known;
mod told;

pub use told::{ask, ChangeRow, Counts, Forecast, LineRow, SiteRow, Standing};

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
    own: PageBuilder,
    digest: Digest,
    spread: GossipScheduler,
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
            widest: ring.max_total_share,
            cold_from: settings.cold_capacity,
            cold_span: settings.cold_span,
            low: terms.loosen_below,
            high: terms.tighten_above,
            step: terms.limit_step,
            every: terms.limit_interval,
        };
        let (me, _) = peers.me();
        let names = terms.sites.iter().map(|s| s.name.clone()).collect();
        let sights = Observations::new(&terms.site_tag, names, terms.own_site, &settings.classes);
        host.with_core(|core, _| core.observe(sights));
        let inner = Inner {
            watch: Watch::new(terms.detection, terms.own_site, terms.sites.len(), MOST, now),
            act: Act::new(act, Learned::new(LEARNED.0, LEARNED.1), now),
            own: PageBuilder::new(&me.name, MAX_PAGES_PER_ORIGIN, now),
            digest: Digest::new(DigestConfig::default()),
            spread: GossipScheduler::new(terms.gossip, rand::random(), now),
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
        tracing::info!(sites = sites.join(" "), acts = terms.enforce, "site-loss");
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
            Some((&PAGES_SAID, pages)) if pages.len() <= MAX_DATAGRAM_BYTES => {
                match Page::decode_datagram(pages, now) {
                    Ok(pages) => {
                        for page in pages {
                            inner.own.observe(&page);
                            inner.digest.merge(now, page);
                        }
                        true
                    }
                    Err(_) => false,
                }
            }
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
            inner.watch.take(now, Evidence::Witness { from: site, member: fnv1a(from), of, reaches });
        }
        true
    }

    /// The places of the sites of these engines, by name, as the section tells them.
    pub(crate) fn sites_of(&self, host: &Host, engines: &[EngineRecord]) -> BTreeMap<String, usize> {
        engines.iter().filter_map(|r| Some((r.name.clone(), self.site_of(host, r)?))).collect()
    }

    /// The places of the sites whose engines are not to be reckoned with: lost, or cut off from here.
    pub(crate) fn away(&self) -> Vec<usize> {
        let inner = self.inner.borrow();
        let is_away = |&site: &usize| inner.watch.state(site).is_some_and(|(state, _, _)| state.is_away());
        (0..self.terms.sites.len()).filter(is_away).collect()
    }

    fn site_of_member(&self, name: &str) -> Option<usize> {
        let seen = self.peers.seen().into_iter().find(|s| s.record.name == name)?;
        self.terms.sites.iter().position(|s| s.name == seen.record.site)
    }

    fn site_of(&self, host: &Host, record: &EngineRecord) -> Option<usize> {
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
        let listed: Vec<EngineRecord> = host.read_core(|core| core.engines().cloned().collect());
        // What is worked on in a window of maintenance is no loss.
        let windows = host.windows.borrow().as_ref().map(|windows| windows.away()).unwrap_or_default();
        let mut gone: Vec<EngineId> = inner.engines.keys().copied().collect();
        for record in &listed {
            let (engine, Some(site)) = (record.entry.engine, self.site_of(host, record)) else { continue };
            gone.retain(|id| *id != engine);
            if inner.engines.len() >= MOST && !inner.engines.contains_key(&engine) {
                continue;
            }
            let drained = record.entry.listed != Listed::Up || windows.contains(&record.name);
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
            if e.drained || now >= since + self.terms.detection.calm {
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
            if is_plan(e.missing, now, self.terms.detection.doubt) {
                // It lives and is not to be used: that is a plan.
                return self.forget(inner, now, engine);
            }
        }
        inner.watch.take(now, Evidence::Engine { site: e.site, engine: engine.0, sign });
    }

    /// What attempts told, and probes of what was not heard of.
    fn signs(self: &Rc<Self>, host: &Rc<Host>, inner: &mut Inner, now: Micros, span: Micros) {
        let average = self.terms.demand_window;
        let signs = host.with_core_deferred(|core, _| {
            core.observations().map(|sights| {
                sights.decay(span, average);
                sights.take_signs()
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
                let (sign, way) = probe(address, to.config.host.probe_timeout).await;
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
            let member = fnv1a(&seen.record.name);
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

    /// Waits move limits; what came and was served teaches.
    fn evidence(&self, host: &Rc<Host>, inner: &mut Inner, now: Micros) {
        let totals = host
            .with_core_deferred(|core, _| core.observations().map(|s| s.totals().clone()))
            .unwrap_or_default();
        for (&(_, site), &(asked, _)) in &totals {
            inner.came.entry(site).or_insert(0);
            let sum: u64 = totals.iter().filter(|t| t.0 .1 == site).map(|t| t.1 .0).sum();
            let before = inner.came.insert(site, sum).unwrap_or(0);
            if asked > 0 && sum > before && site != self.terms.own_site {
                inner.act.came(now, site, (sum - before) as u32);
            }
        }
        if now >= inner.moved + self.terms.limit_interval {
            inner.moved = now;
            let waits = host
                .with_core_deferred(|core, _| core.observations().map(Observations::take_waits))
                .unwrap_or_default();
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
            if away && self.terms.enforce {
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
        let live = |s: &violetward_membership::MemberView| s.record.state <= Lives::Suspect;
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
                    tracing::info!(least, acts = self.terms.enforce, "share that a loss gives");
                    self.least.set(least.filter(|_| self.terms.enforce));
                    let share = self.share(self.peers.standing().1);
                    host.with_core(|core, now| core.set_share(now, share));
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
            inner.act.parts(host.config.settings.classes.len(), self.terms.own_site)
        };
        if parts.iter().flatten().all(|&part| part >= 1.0 - 1e-9) {
            parts = Default::default();
        }
        if std::mem::replace(&mut self.inner.borrow_mut().keep, parts.clone()) != parts && self.terms.enforce
        {
            let back = if parts[0].is_empty() { 0 } else { self.terms.retry_after };
            host.with_core(|core, now| core.set_admission_shares(now, parts, back));
        }
    }
}

/// Whether an engine off the list that answers was taken off by plan. What was answered before its end may be read a little after
/// the list has dropped it.
fn is_plan(missing: Option<Micros>, now: Micros, doubt: Micros) -> bool {
    missing.is_some_and(|since| now >= since.saturating_add(doubt))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_answer_from_before_its_end_does_not_make_a_dropped_engine_one_that_lives() {
        assert!(!is_plan(None, 10, 5), "it is on the list");
        assert!(!is_plan(Some(8), 10, 5), "read after the list dropped it, said before");
        assert!(is_plan(Some(5), 10, 5));
    }
}
