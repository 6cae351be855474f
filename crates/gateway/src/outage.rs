//! Monitors the sites and applies what follows from the loss of one: collects evidence from the core, from
//! probes, from membership and from other gateways, exchanges summaries of demand and cost with them, and
//! applies the resulting share and limits. `violetward-site` decides on the state of each site and on the
//! limits; the decision module decides which requests are admitted.

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
use violetward_membership::{Link, Standing as MembershipStanding, State as MemberState};
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

mod status;
mod summaries;

pub use status::{fetch_status, Counts, Forecast, ForecastLine, SiteChange, SiteStatus, SitesStatus};

/// First byte of this module's messages over membership.
pub const MESSAGE_TAG: u8 = 0xD6;
/// Second byte of a message with summaries.
const SUMMARIES_MESSAGE: u8 = 1;
/// Second byte of a message that tells which sites its sender reaches.
const REACHABILITY_MESSAGE: u8 = 2;
/// Interval at which evidence is collected and limits are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which this gateway tells others which sites it reaches.
const REACHABILITY_INTERVAL_US: Micros = 1_000_000;
/// Number of gateways that it tells each time.
const REACHABILITY_RECEIVERS: usize = 8;
/// An engine that has not answered for this long is probed.
const PROBE_AFTER_SILENCE_US: Micros = 1_000_000;
/// Interval between probes of such an engine.
const PROBE_INTERVAL_US: Micros = 400_000;
/// Interval at which the round trip time to an answering engine is measured.
const ROUND_TRIP_INTERVAL_US: Micros = 10_000_000;
/// With more gateways than this, the intervals of probes grow in proportion to the number of gateways.
const GATEWAYS_AT_FULL_PROBE_RATE: u64 = 16;
/// Maximum number of watched engines, and of engines, gateways and witnesses remembered for a site.
const MAX_TRACKED: usize = 4_096;
/// Maximum number of changes in the status.
const MAX_CHANGES: usize = 64;
/// Half-life of the corrections of projections that are learned in outages.
const CORRECTION_HALF_LIFE_US: Micros = 7 * 86_400 * 1_000_000;
/// Maximum number of these corrections.
const MAX_CORRECTIONS: usize = 4_096;
/// Interval at which the corrections learn from the demand observed in an outage.
const LEARNING_INTERVAL_US: Micros = 5_000_000;
/// Class of cells that belong to no class: the round trip time from one site to the engines of another.
const NO_CLASS: u16 = u16::MAX;

/// An engine that is monitored.
struct WatchedEngine {
    address: SocketAddr,
    site: usize,
    kind: usize,
    zone: violetward::ZoneId,
    drained: bool,
    /// Since when the engine has been off the list although it was not drained. It may be dead; it is tracked
    /// until it answers or is forgotten.
    missing_since: Option<Micros>,
    last_answer: Micros,
    last_probe: Micros,
    last_measurement: Micros,
    /// Moving average of the time to connect, in microseconds.
    round_trip_us: Option<f64>,
    probe_in_flight: bool,
}

/// Requests received and served since the start, by class and site of their clients.
type Totals = BTreeMap<(usize, usize), (u64, u64)>;

struct Inner {
    watch: Watch,
    act: Act,
    own_pages: PageBuilder,
    digest: Digest,
    gossip: GossipScheduler,
    engines: BTreeMap<EngineId, WatchedEngine>,
    last_update: Micros,
    last_announcement: Micros,
    last_knowledge_update: Micros,
    last_limit_update: Micros,
    /// Time of the last learning step, and the totals then.
    last_learning: (Micros, Totals),
    /// Requests received by site of their clients, as last reported to `act`.
    received_by_site: BTreeMap<usize, u64>,
    /// Forecast with which the current or last limits began.
    opening: Option<Forecast>,
    changes: VecDeque<SiteChange>,
    /// Admitted parts of requests by class: of the site's own clients, and of guests. Empty without limits.
    admitted: [Vec<f64>; 2],
    counts: Counts,
}

/// Monitors the sites. See the [module documentation](self).
pub struct SiteMonitor {
    terms: SiteTerms,
    peers: Rc<Peers>,
    inner: RefCell<Inner>,
    /// Minimum share of the fleet that a loss gives this gateway.
    min_share: Cell<Option<f64>>,
}

/// Probes an engine. Returns the sign and the time to connect in microseconds.
async fn probe(address: SocketAddr, timeout: Duration) -> (EngineSign, Option<f64>) {
    let start = Instant::now();
    let exchange = async {
        let mut connection = match Connection::connect(address, Limits::default()).await {
            Ok(connection) => connection,
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => return (EngineSign::Refused, None),
            Err(_) => return (EngineSign::Silent, None),
        };
        let round_trip_us = start.elapsed().as_secs_f64() * 1e6;
        let mut headers = Headers::default();
        headers.push("Host", address.to_string());
        match connection.call("GET", "/v1/status", &headers, b"").await {
            // Any answer, even a malformed one, shows that the engine runs.
            Ok(_) | Err(NetError::Http(_)) => (EngineSign::Answered, Some(round_trip_us)),
            Err(NetError::Io(_) | NetError::TimedOut) => (EngineSign::Silent, None),
        }
    };
    violetward_net::timeout(timeout, exchange).await.unwrap_or((EngineSign::Silent, None))
}

impl SiteMonitor {
    /// Starts to monitor the sites; the task runs as long as the host's executor does.
    ///
    /// # Errors
    /// If membership is not configured.
    pub fn start(host: &Rc<Host>, terms: SiteTerms) -> std::io::Result<()> {
        let missing = || std::io::Error::other("site-loss needs membership");
        let (peers, peer_terms) = host.peers().zip(host.config.peers.as_ref()).ok_or_else(missing)?;
        let (settings, now) = (&host.config.settings, host.now());
        let act_terms = ActTerms {
            gateways: settings.gateways,
            sites: terms.sites.len(),
            widest: peer_terms.max_total_share,
            cold_from: settings.cold_capacity,
            cold_span: settings.cold_span,
            low: terms.loosen_below,
            high: terms.tighten_above,
            step: terms.limit_step,
            every: terms.limit_interval,
        };
        let (incarnation, _) = peers.local_member();
        let names = terms.sites.iter().map(|s| s.name.clone()).collect();
        let observations = Observations::new(&terms.site_tag, names, terms.own_site, &settings.classes);
        host.with_core(|core, _| core.observe(observations));
        let inner = Inner {
            watch: Watch::new(terms.detection, terms.own_site, terms.sites.len(), MAX_TRACKED, now),
            act: Act::new(act_terms, Learned::new(CORRECTION_HALF_LIFE_US, MAX_CORRECTIONS), now),
            own_pages: PageBuilder::new(&incarnation.name, MAX_PAGES_PER_ORIGIN, now),
            digest: Digest::new(DigestConfig::default()),
            gossip: GossipScheduler::new(terms.gossip, rand::random(), now),
            engines: BTreeMap::new(),
            last_update: now,
            last_announcement: now,
            last_knowledge_update: now,
            last_limit_update: now,
            last_learning: (now, BTreeMap::new()),
            received_by_site: BTreeMap::new(),
            opening: None,
            changes: VecDeque::new(),
            admitted: Default::default(),
            counts: Counts::default(),
        };
        let sites: Vec<&str> = terms.sites.iter().map(|s| s.name.as_str()).collect();
        tracing::info!(sites = sites.join(" "), acts = terms.enforce, "site-loss");
        let monitor =
            Rc::new(SiteMonitor { terms, peers, inner: RefCell::new(inner), min_share: Cell::new(None) });
        *host.outage.borrow_mut() = Some(monitor.clone());
        let task_host = host.clone();
        host.spawn(async move {
            loop {
                violetward_net::sleep(UPDATE_INTERVAL).await;
                monitor.update(&task_host);
            }
        });
        Ok(())
    }

    /// The share of the fleet in force: the share that membership gives, or the minimum share after a loss if
    /// that is larger.
    pub(crate) fn effective_share(&self, membership_share: f64) -> f64 {
        self.min_share.get().map_or(membership_share, |min_share| membership_share.max(min_share))
    }

    /// Records that this process was paused for `span`.
    pub(crate) fn record_pause(&self, host: &Rc<Host>, span: Micros) {
        self.inner.borrow_mut().watch.take(host.now(), Evidence::Paused(span));
    }

    /// Handles a message of another gateway.
    pub(crate) fn receive_message(&self, host: &Rc<Host>, from: &str, bytes: &[u8]) {
        let (start, now) = (Instant::now(), host.now());
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        inner.counts.taken = (inner.counts.taken.0 + 1, inner.counts.taken.1 + bytes.len() as u64 + 1);
        let is_valid = match bytes.split_first() {
            Some((&SUMMARIES_MESSAGE, pages)) if pages.len() <= MAX_DATAGRAM_BYTES => {
                match Page::decode_datagram(pages, now) {
                    Ok(pages) => {
                        for page in pages {
                            inner.own_pages.observe(&page);
                            inner.digest.merge(now, page);
                        }
                        true
                    }
                    Err(_) => false,
                }
            }
            Some((&REACHABILITY_MESSAGE, bits)) => self.record_reachability(inner, now, from, bits),
            _ => false,
        };
        inner.counts.unread += u64::from(!is_valid);
        inner.counts.spent += start.elapsed().as_micros() as u64;
    }

    /// Records which sites another gateway reaches. `bits` has one bit for each site in order. Returns
    /// whether the message is valid.
    fn record_reachability(&self, inner: &mut Inner, now: Micros, from: &str, bits: &[u8]) -> bool {
        if bits.len() != self.terms.sites.len().div_ceil(8) {
            return false;
        }
        let Some(site) = self.site_of_member(from) else { return false };
        for reached in 0..self.terms.sites.len() {
            let reaches = bits[reached / 8] >> (reached % 8) & 1 == 1;
            let member = fnv1a(from);
            inner.watch.take(now, Evidence::Witness { from: site, member, of: reached, reaches });
        }
        true
    }

    /// Indexes of the sites of these engines by engine name, as configured in `(site-loss ...)`.
    pub(crate) fn engine_sites(&self, host: &Host, engines: &[EngineRecord]) -> BTreeMap<String, usize> {
        engines.iter().filter_map(|r| Some((r.name.clone(), self.site_of(host, r)?))).collect()
    }

    /// Indexes of the sites whose engines are unavailable: lost, or cut off from this gateway.
    pub(crate) fn unreachable_sites(&self) -> Vec<usize> {
        let inner = self.inner.borrow();
        let is_away = |&site: &usize| inner.watch.state(site).is_some_and(|(state, _, _)| state.is_away());
        (0..self.terms.sites.len()).filter(is_away).collect()
    }

    fn site_of_member(&self, name: &str) -> Option<usize> {
        let seen = self.peers.members().into_iter().find(|s| s.record.name == name)?;
        self.terms.sites.iter().position(|s| s.name == seen.record.site)
    }

    fn site_of(&self, host: &Host, record: &EngineRecord) -> Option<usize> {
        let by_name = self.terms.sites.iter().position(|s| s.engines.contains(&record.name));
        let is_in_zone = |zone: &String| zone_id(zone, &host.config.names) == record.entry.zone;
        by_name.or_else(|| self.terms.sites.iter().position(|s| s.zones.iter().any(is_in_zone)))
    }

    /// Collects evidence, updates states and limits, and sends what is due to other gateways.
    fn update(self: &Rc<Self>, host: &Rc<Host>) {
        let start = Instant::now();
        let now = host.now();
        let mut messages = Vec::new();
        {
            let mut inner = self.inner.borrow_mut();
            let inner = &mut *inner;
            let span = now.saturating_sub(std::mem::replace(&mut inner.last_update, now));
            self.update_engines(host, inner, now);
            self.collect_signs(host, inner, now, span);
            self.update_members(inner, now);
            inner.watch.wake(now);
            while let Some(change) = inner.watch.change() {
                self.handle_change(host, inner, now, change);
            }
            self.report_demand(host, inner, now);
            self.exchange_summaries(host, inner, now, &mut messages);
            self.announce_reachability(inner, now, &mut messages);
        }
        for (to, bytes) in messages {
            self.peers.send_message(host, &to, &bytes);
        }
        self.apply_effects(host);
        self.inner.borrow_mut().counts.spent += start.elapsed().as_micros() as u64;
    }

    /// Updates the watched engines from the engine list.
    fn update_engines(&self, host: &Host, inner: &mut Inner, now: Micros) {
        let listed: Vec<EngineRecord> = host.read_core(|core| core.engines().cloned().collect());
        // An engine under maintenance is not lost.
        let in_maintenance =
            host.windows.borrow().as_ref().map(|windows| windows.drained_engines()).unwrap_or_default();
        let mut unlisted: Vec<EngineId> = inner.engines.keys().copied().collect();
        for record in &listed {
            let (engine, Some(site)) = (record.entry.engine, self.site_of(host, record)) else { continue };
            unlisted.retain(|id| *id != engine);
            if inner.engines.len() >= MAX_TRACKED && !inner.engines.contains_key(&engine) {
                continue;
            }
            let drained = record.entry.listed != Listed::Up || in_maintenance.contains(&record.name);
            let e = inner.engines.entry(engine).or_insert_with(|| WatchedEngine {
                address: record.address,
                site,
                kind: record.entry.kind.0,
                zone: record.entry.zone,
                drained: false,
                missing_since: None,
                last_answer: now,
                last_probe: 0,
                last_measurement: 0,
                round_trip_us: None,
                probe_in_flight: false,
            });
            (e.address, e.missing_since) = (record.address, None);
            if std::mem::replace(&mut e.drained, drained) != drained {
                // An engine that is no longer drained starts as answering; probes show whether it does.
                let sign = if drained { EngineSign::Drains } else { EngineSign::Answered };
                inner.watch.take(now, Evidence::Engine { site: e.site, engine: engine.0, sign });
            }
        }
        for engine in unlisted {
            let Some(e) = inner.engines.get_mut(&engine) else { continue };
            // The list may drop an engine because it is dead. An engine that was not drained first counts as
            // lost until it answers or is forgotten.
            let since = *e.missing_since.get_or_insert(now);
            if e.drained || now >= since + self.terms.detection.calm {
                self.forget_engine(inner, now, engine);
            }
        }
    }

    fn forget_engine(&self, inner: &mut Inner, now: Micros, engine: EngineId) {
        if let Some(e) = inner.engines.remove(&engine) {
            inner
                .watch
                .take(now, Evidence::Engine { site: e.site, engine: engine.0, sign: EngineSign::Gone });
        }
    }

    fn record_sign(&self, inner: &mut Inner, now: Micros, engine: EngineId, sign: EngineSign) {
        let Some(e) = inner.engines.get_mut(&engine).filter(|e| !e.drained) else { return };
        if sign == EngineSign::Answered {
            e.last_answer = now;
            if is_planned_removal(e.missing_since, now, self.terms.detection.doubt) {
                return self.forget_engine(inner, now, engine);
            }
        }
        inner.watch.take(now, Evidence::Engine { site: e.site, engine: engine.0, sign });
    }

    /// Takes the signs of engines that attempts gave, and probes engines that have not answered.
    fn collect_signs(self: &Rc<Self>, host: &Rc<Host>, inner: &mut Inner, now: Micros, span: Micros) {
        let average = self.terms.demand_window;
        let signs = host.with_core_deferred(|core, _| {
            core.observations().map(|observations| {
                observations.decay(span, average);
                observations.take_signs()
            })
        });
        for (engine, sign) in signs.unwrap_or_default() {
            // An attempt may fail because of a single connection, so a failure only makes a probe due.
            if sign == EngineSign::Answered {
                self.record_sign(inner, now, engine, sign);
            } else if let Some(e) = inner.engines.get_mut(&engine) {
                e.last_answer = e.last_answer.min(now.saturating_sub(PROBE_AFTER_SILENCE_US * 100));
            }
        }
        // The intervals grow with the number of gateways, so that their probes together do not load the
        // engines.
        let factor = (u64::from(host.config.settings.gateways) / GATEWAYS_AT_FULL_PROBE_RATE).max(1);
        let is_due = |e: &WatchedEngine| {
            let is_silent = now >= e.last_answer + PROBE_AFTER_SILENCE_US * factor
                && now >= e.last_probe + PROBE_INTERVAL_US * factor;
            let needs_measurement = now >= e.last_measurement + ROUND_TRIP_INTERVAL_US * factor;
            !e.probe_in_flight && !e.drained && (is_silent || needs_measurement)
        };
        let due: Vec<_> =
            inner.engines.iter().filter(|(_, e)| is_due(e)).map(|(&id, e)| (id, e.address)).collect();
        for (engine, address) in due {
            if let Some(e) = inner.engines.get_mut(&engine) {
                (e.probe_in_flight, e.last_probe, e.last_measurement) = (true, now, now);
            }
            inner.counts.probes += 1;
            let (monitor, task_host) = (self.clone(), host.clone());
            host.spawn(async move {
                let (sign, round_trip_us) = probe(address, task_host.config.host.probe_timeout).await;
                let mut inner = monitor.inner.borrow_mut();
                if let Some(e) = inner.engines.get_mut(&engine) {
                    e.probe_in_flight = false;
                    if let Some(new) = round_trip_us {
                        let average = e.round_trip_us.map_or(new, |old| old + (new - old) / 4.0);
                        e.round_trip_us = Some(average);
                    }
                }
                monitor.record_sign(&mut inner, task_host.now(), engine, sign);
            });
        }
    }

    /// Passes the states of the other gateways and of this one to the state machine of the sites.
    fn update_members(&self, inner: &mut Inner, now: Micros) {
        for seen in self.peers.members() {
            let Some(site) = self.terms.sites.iter().position(|s| s.name == seen.record.site) else {
                continue;
            };
            let sign = match seen.record.state {
                MemberState::Alive => MemberSign::Lives { direct: seen.link == Link::Good },
                MemberState::Suspect => MemberSign::Suspect,
                MemberState::Dead => MemberSign::Dead,
                MemberState::Left => MemberSign::Left,
            };
            let member = fnv1a(&seen.record.name);
            inner.watch.take(now, Evidence::Member { site, member, sign });
        }
        let standing = match self.peers.standing_and_share().0 {
            MembershipStanding::Whole => OwnStanding::Whole,
            _ => OwnStanding::Doubtful,
        };
        inner.watch.take(now, Evidence::Standing(standing));
    }

    fn site_name(&self, site: usize) -> String {
        self.terms.sites.get(site).map_or_else(String::new, |s| s.name.clone())
    }

    /// Logs a change of a site's state, and the forecast that goes with it.
    fn handle_change(&self, host: &Host, inner: &mut Inner, now: Micros, change: Change) {
        inner.act.site(now, change);
        if change.was != change.state {
            let row = SiteChange {
                at: now,
                site: self.site_name(change.site),
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
            if inner.changes.len() >= MAX_CHANGES {
                inner.changes.pop_front();
            }
            inner.changes.push_back(row);
        }
        let forecast = inner.act.opening().map(|p| self.forecast(host, p, now));
        // One forecast for each loss, however its limits change afterwards.
        let is_same_loss = |old: &Forecast, new: &Forecast| (&old.lost, old.asked) == (&new.lost, new.asked);
        if let Some(new) =
            forecast.filter(|new| !inner.opening.as_ref().is_some_and(|old| is_same_loss(old, new)))
        {
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

    /// Reports received requests and waits to the limits, and corrects projections by what was served in an
    /// outage.
    fn report_demand(&self, host: &Rc<Host>, inner: &mut Inner, now: Micros) {
        let totals = host
            .with_core_deferred(|core, _| core.observations().map(|s| s.totals().clone()))
            .unwrap_or_default();
        for (&(_, site), &(received, _)) in &totals {
            inner.received_by_site.entry(site).or_insert(0);
            let sum: u64 = totals.iter().filter(|t| t.0 .1 == site).map(|t| t.1 .0).sum();
            let before = inner.received_by_site.insert(site, sum).unwrap_or(0);
            if received > 0 && sum > before && site != self.terms.own_site {
                inner.act.came(now, site, (sum - before) as u32);
            }
        }
        if now >= inner.last_limit_update + self.terms.limit_interval {
            inner.last_limit_update = now;
            let waits = host
                .with_core_deferred(|core, _| core.observations().map(Observations::take_waits))
                .unwrap_or_default();
            // The class that is refused first is allowed to wait, so its waits do not count.
            let refused_first = inner.act.limits().last().map(|l| l.class);
            let counted =
                |(class, w): (usize, &(f64, u32))| (Some(class) != refused_first && w.1 >= 3).then_some(w.0);
            let wait = waits.iter().enumerate().filter_map(counted).fold(0.0, f64::max);
            inner.act.pressure(now, wait);
        }
        let span = now.saturating_sub(inner.last_learning.0);
        if span >= LEARNING_INTERVAL_US {
            let is_outage = (0..self.terms.sites.len()).any(|s| {
                inner
                    .watch
                    .state(s)
                    .is_some_and(|(state, since, _)| state.is_away() && since + LEARNING_INTERVAL_US < now)
            });
            if is_outage && self.terms.enforce {
                let before = &inner.last_learning.1;
                let rows: Vec<_> = totals
                    .iter()
                    .map(|(key, &(received, served))| {
                        let old = before.get(key).copied().unwrap_or_default();
                        (*key, (received - old.0) as f64, (served - old.1) as f64)
                    })
                    .collect();
                inner.act.seen(now, span, &rows);
            }
            inner.last_learning = (now, totals);
        }
    }

    /// Tells some random gateways which sites this one reaches.
    fn announce_reachability(&self, inner: &mut Inner, now: Micros, messages: &mut Vec<(String, Vec<u8>)>) {
        if now < inner.last_announcement + REACHABILITY_INTERVAL_US {
            return;
        }
        inner.last_announcement = now;
        let mut bits = vec![0u8; self.terms.sites.len().div_ceil(8)];
        for site in (0..self.terms.sites.len()).filter(|&s| inner.watch.reaches(now, s)) {
            bits[site / 8] |= 1 << (site % 8);
        }
        let is_live = |s: &violetward_membership::MemberView| s.record.state <= MemberState::Suspect;
        let mut names: Vec<String> =
            self.peers.members().into_iter().filter(is_live).map(|s| s.record.name).collect();
        for index in 0..names.len().min(REACHABILITY_RECEIVERS) {
            let chosen = rand::random_range(index..names.len());
            names.swap(index, chosen);
            let bytes = [&[MESSAGE_TAG, REACHABILITY_MESSAGE], bits.as_slice()].concat();
            inner.counts.sent = (inner.counts.sent.0 + 1, inner.counts.sent.1 + bytes.len() as u64);
            messages.push((names[index].clone(), bytes));
        }
    }

    /// Applies the share and limits that follow from the states of the sites.
    fn apply_effects(&self, host: &Rc<Host>) {
        loop {
            let effect = self.inner.borrow_mut().act.effect();
            let Some(effect) = effect else { break };
            match effect {
                Effect::Share(min_share) => {
                    tracing::info!(
                        min_share,
                        acts = self.terms.enforce,
                        "minimum share after a loss changed"
                    );
                    self.min_share.set(min_share.filter(|_| self.terms.enforce));
                    let share = self.effective_share(self.peers.standing_and_share().1);
                    host.with_core(|core, now| core.set_share(now, share));
                }
                Effect::Narrow(_) => self.update_admission(host),
                Effect::Settled => {
                    tracing::info!("limits after a loss have ended");
                    self.update_admission(host);
                }
            }
        }
    }

    /// Passes the admitted parts of requests to the core if they have changed.
    fn update_admission(&self, host: &Rc<Host>) {
        let mut parts = {
            let inner = self.inner.borrow();
            inner.act.parts(host.config.settings.classes.len(), self.terms.own_site)
        };
        if parts.iter().flatten().all(|&part| part >= 1.0 - 1e-9) {
            parts = Default::default();
        }
        if std::mem::replace(&mut self.inner.borrow_mut().admitted, parts.clone()) != parts
            && self.terms.enforce
        {
            let retry_after = if parts[0].is_empty() { 0 } else { self.terms.retry_after };
            host.with_core(|core, now| core.set_admission_shares(now, parts, retry_after));
        }
    }
}

/// Whether an engine that answers although it is off the list was removed on purpose. An answer that it gave
/// before its end may be read up to `doubt` after the list has dropped it.
fn is_planned_removal(missing_since: Option<Micros>, now: Micros, doubt: Micros) -> bool {
    missing_since.is_some_and(|since| now >= since.saturating_add(doubt))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_answer_read_shortly_after_the_removal_does_not_count_as_planned() {
        assert!(!is_planned_removal(None, 10, 5), "the engine is on the list");
        assert!(!is_planned_removal(Some(8), 10, 5), "the answer may be older than the removal");
        assert!(is_planned_removal(Some(5), 10, 5));
    }
}
