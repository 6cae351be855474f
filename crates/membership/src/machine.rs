//! The state machine: probes, suspicion, gossip, proofs of instance_id, and what is worked out from them.

mod beliefs;
mod gossip;
mod lives;
mod probing;
mod standing;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::share::{Share, ShareInputs};
use crate::wire::{
    mark, CutLink, Datagram, Demand, Keys, Kind, Record, Rejection, State, DIGEST_BUCKETS, MAX_CUT_LINKS,
    MAX_PAYLOAD_BYTES,
};

/// Microseconds of a clock that never goes back.
pub type Micros = u64;

/// Rounds in which a probe is repeated before it fails: loss must hit all of them.
const PROBE_ROUNDS: u32 = 4;
/// Others that are asked to try in each round.
const PROBE_HELPERS: usize = 3;
/// The time of suspicion: at least so many periods for each power of ten of members, and how many times that at most.
const SUSPICION_MIN_PERIODS: f64 = 4.0;
const SUSPICION_MAX_FACTOR: f64 = 6.0;
/// Further accusers after which the time of suspicion is at its least.
const MAX_CONFIRMATIONS: usize = 3;
/// Worst local health: spans grow by it, plus one.
const MAX_HEALTH_PENALTY: u32 = 8;
/// Each piece of news is sent on so many times for each power of two of members.
const RETRANSMIT_FACTOR: u32 = 3;
/// Records in one datagram, beside those of an exchange of state.
const MAX_PIGGYBACKED_RECORDS: usize = 6;
/// Datagrams of one exchange of state.
const MAX_SYNC_DATAGRAMS: usize = 8;
/// Periods between two exchanges of digests.
const SYNC_INTERVAL_PERIODS: u64 = 8;
/// Periods without a word, or without an answer, after which this one counts as cut off or unheard.
const ISOLATION_PERIODS: u64 = 6;
/// Periods for which a member that is dead or has left is remembered, so that it can be asked again and old news of it
/// are known as old.
const DEAD_RETENTION_PERIODS: u64 = 2_000;
/// Periods between two demands told, and the change that makes one worth telling.
const ADVERTISE_INTERVAL_PERIODS: u64 = 4;
const ADVERTISE_MIN_CHANGE: f64 = 0.2;
/// Periods for which a word counts as recent, at most.
const MAX_RECENT_PERIODS: u64 = 64;
/// Lives of one name that are believed at once: a process and the one that takes its place.
const MAX_INSTANCES_PER_NAME: usize = 2;
/// Proofs given and questions relayed at once; more are dropped until some are over.
const MAX_PENDING: usize = 64;
/// Datagrams that count as recent behind the highest number seen.
const REPLAY_WINDOW: u64 = 64;

/// What a member needs to know at its start.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Where members may be found at the start.
    pub seeds: Vec<SocketAddr>,
    /// Where to send what is for a member, in place of the address that it tells.
    pub address_overrides: BTreeMap<String, SocketAddr>,
    /// The keys.
    pub keys: Keys,
    /// Between two probes.
    pub probe_interval: Micros,
    /// Members that are known at once; names beyond them are not taken in.
    pub max_members: usize,
    /// Gateways that the configuration names.
    pub configured_gateways: u32,
    /// The most that all shares may add up to, whatever each believes.
    pub max_total_share: f64,
    /// How much of the even share the share widens by in a second.
    pub share_growth_per_s: f64,
    /// Without the extensions: plain SWIM, as a baseline.
    pub plain_swim: bool,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Something has changed.
    Changed(Change),
    /// The share of the fleet is this now.
    Share(f64),
    /// A member, proved to live, said something to what stands on membership.
    Received(String, Vec<u8>),
}

/// A change worth a line in the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A member's state.
    Member {
        /// Its name.
        name: String,
        /// The state before; `None` for a member that is new.
        previous: Option<State>,
        /// The state.
        state: State,
        /// Its incarnation.
        incarnation: u32,
    },
    /// How this one stands with the others.
    Standing(Standing),
    /// This process stood still for so long.
    Paused(Micros),
    /// A link's state.
    Link(String, Link),
    /// Another process has this one's name, there.
    NameConflict(SocketAddr),
}

/// How a member stands with the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It has heard of nobody yet.
    Joining,
    /// It hears others and they hear it.
    Whole,
    /// It hears nobody.
    CutOff,
    /// It hears others, and nobody hears it.
    Unheard,
    /// It stood still and has not been answered since.
    Waking,
    /// Another process that was there before has its name.
    Doubled,
}

impl Standing {
    /// A word for the log and the table.
    pub fn as_str(self) -> &'static str {
        match self {
            Standing::Joining => "joining",
            Standing::Whole => "whole",
            Standing::CutOff => "cut-off",
            Standing::Unheard => "unheard",
            Standing::Waking => "waking",
            Standing::Doubled => "doubled",
        }
    }
}

/// What is known of the link to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Both ways, or nothing is known.
    Good,
    /// What is sent there does not come there, whether or not what comes from there comes.
    Outbound,
    /// What is sent there comes there; what comes from there does not come here.
    Inbound,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent, and their octets.
    pub sent: (u64, u64),
    /// Datagrams taken, and their octets.
    pub received: (u64, u64),
    /// Datagrams that were not taken: unreadable, oversized, of an unknown key, forged, replayed, unproved.
    pub rejected: [u64; 6],
    /// Probes that failed.
    pub failed_probes: u64,
    /// Suspicions raised here.
    pub suspicions: u64,
    /// Members declared dead here.
    pub declared_dead: u64,
    /// Own refutations.
    pub refutations: u64,
    /// Pauses noticed.
    pub pauses: u64,
}

/// A row of the view.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberView {
    /// What is believed.
    pub record: Record,
    /// Since when.
    pub since: Micros,
    /// The link there.
    pub link: Link,
}

#[derive(Debug)]
struct Member {
    record: Record,
    since: Micros,
    /// Marks of those who suspect it, and when that becomes its death, at the least and at the most.
    accusers: Vec<u32>,
    link: Link,
    /// Probes in a row that were answered only by others' hands.
    indirect: u32,
    /// When something last came from it directly.
    heard: Option<Micros>,
}

/// What is known of the datagrams of one process.
#[derive(Debug)]
struct Peer {
    instance_id: u64,
    /// Where its datagrams come from, and when it proved itself.
    address: SocketAddr,
    proved: Micros,
    highest: u64,
    seen: u64,
}

#[derive(Debug)]
struct PendingChallenge {
    instance_id: u64,
    nonce: u64,
    until: Micros,
}

#[derive(Debug)]
struct Probe {
    number: u32,
    target: String,
    began: Micros,
    round: u32,
    next: Micros,
    helped: bool,
}

#[derive(Debug)]
struct RelayedProbe {
    number: u32,
    origin: String,
    theirs: u32,
    until: Micros,
}

/// A member. See the crate's documentation.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    rng: u64,
    now: Micros,
    started: Micros,
    own: Record,
    members: BTreeMap<String, Member>,
    peers: BTreeMap<String, Vec<Peer>>,
    challenges: BTreeMap<String, PendingChallenge>,
    /// News by name: how often each has been sent on.
    updates: BTreeMap<String, u32>,
    probe_order: Vec<String>,
    probe: Option<Probe>,
    last_probe_number: u32,
    relayed_probes: Vec<RelayedProbe>,
    next_probe_at: Micros,
    next_sync_at: Micros,
    next_advertise_at: Micros,
    /// The wake-up asked for last: one that comes much later tells that this process stood still.
    planned_wake: Micros,
    health_penalty: u32,
    last_received_at: Micros,
    last_answered_at: Micros,
    /// Nobody is accused before this process has been answered, after a pause.
    paused_at: Option<Micros>,
    joined: bool,
    announced: bool,
    /// A process with this one's name: where, its instance_id, the question to it, and until when it may answer.
    name_conflict: Option<(SocketAddr, u64, u64, Micros)>,
    next_conflict_check_at: Micros,
    name_taken: bool,
    left: bool,
    standing: Standing,
    share: Share,
    announced_share: f64,
    demand: Demand,
    last_datagram_number: u64,
    /// Names that are suspected, and what is worked out from all members when something of them has changed.
    suspects: BTreeSet<String>,
    inputs_changed: bool,
    share_inputs: ShareInputs,
    effects: VecDeque<Effect>,
    /// Counts since the start.
    pub counts: Counts,
}

impl Membership {
    /// A member that starts at a time. `seed` feeds its instance_id and all that it draws.
    pub fn new(config: Config, seed: u64, now: Micros) -> Self {
        let mut rng = seed;
        let instance_id = draw(&mut rng);
        let own = Record {
            name: config.name.clone(),
            site: config.site.clone(),
            address: config.address,
            instance_id,
            incarnation: 1,
            state: State::Alive,
            accuser: 0,
            metadata_version: 0,
            demand: Demand::default(),
            cuts: Vec::new(),
        };
        let share =
            Share::new(config.max_total_share, config.share_growth_per_s, config.configured_gateways, now);
        Membership {
            share,
            announced_share: 0.0,
            own,
            now,
            started: now,
            members: BTreeMap::new(),
            peers: BTreeMap::new(),
            challenges: BTreeMap::new(),
            updates: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            // Two processes of one name must not take each other's answers for theirs.
            last_probe_number: draw(&mut rng) as u32,
            relayed_probes: Vec::new(),
            next_probe_at: now,
            next_sync_at: now,
            next_advertise_at: now,
            planned_wake: now,
            health_penalty: 0,
            last_received_at: now,
            last_answered_at: now,
            paused_at: None,
            joined: false,
            announced: false,
            name_conflict: None,
            next_conflict_check_at: now,
            name_taken: false,
            left: false,
            standing: Standing::Joining,
            demand: Demand::default(),
            last_datagram_number: 0,
            suspects: BTreeSet::new(),
            inputs_changed: true,
            share_inputs: ShareInputs {
                fleet: config.configured_gateways,
                members: 1,
                living: 1,
                load: None,
                standing: Standing::Joining,
            },
            effects: VecDeque::new(),
            counts: Counts::default(),
            config,
            rng,
        }
    }

    // ---- What comes from outside -----------------------------------------------------------------------

    /// The next effect.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// When [`Membership::wake`] wants to be called.
    pub fn next_wake(&self) -> Micros {
        let probe = self.probe.as_ref().map_or(u64::MAX, |p| p.next);
        let suspects = self.suspects.iter().filter_map(|name| self.members.get(name));
        let deaths = suspects.filter_map(|m| self.suspicion_deadline(m)).min().unwrap_or(u64::MAX);
        let rival = self.name_conflict.map_or(u64::MAX, |r| r.3);
        if self.left {
            return u64::MAX;
        }
        probe.min(self.next_probe_at).min(deaths).min(rival)
    }

    /// Time has passed.
    pub fn handle_wake(&mut self, now: Micros) {
        self.advance_clock(now);
        self.run_due_timers();
        self.planned_wake = self.next_wake();
    }

    /// A datagram has come from an address.
    pub fn handle_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.advance_clock(now);
        if let Err(why) = self.accept_datagram(from, bytes) {
            self.counts.rejected[why as usize] += 1;
        }
        self.planned_wake = self.next_wake();
    }

    /// What this gateway's clients ask for now.
    pub fn set_demand(&mut self, demand: Demand) {
        self.demand = demand;
    }

    /// New keys: the first signs from now on.
    pub fn set_keys(&mut self, keys: Keys) {
        self.config.keys = keys;
    }

    /// Says something that is not membership's own to a member; a datagram, which may get lost. Gives whether it is known
    /// where that member is, and there is room.
    pub fn send_payload(&mut self, now: Micros, name: &str, bytes: &[u8]) -> bool {
        self.advance_clock(now);
        let known = bytes.len() <= MAX_PAYLOAD_BYTES && self.members.contains_key(name);
        if known {
            self.send_to(name, Kind::Payload(bytes.to_vec(), mark(name)), Vec::new());
        }
        self.planned_wake = self.next_wake();
        known
    }

    /// Says good-bye to everybody that lives. Nothing is answered from then on.
    pub fn leave(&mut self, now: Micros) {
        self.advance_clock(now);
        self.own.state = State::Left;
        let living: Vec<String> = self.living_members().map(|m| m.record.name.clone()).collect();
        let me = self.own.clone();
        // Twice each: one loss must not cost the whole time of suspicion.
        for name in living.iter().chain(&living).take(MAX_SYNC_DATAGRAMS * PROBE_HELPERS) {
            self.send_to(name, Kind::Records, vec![me.clone()]);
        }
        self.left = true;
    }

    // ---- What is known ---------------------------------------------------------------------------------

    /// This member's own record.
    pub fn own_record(&self) -> &Record {
        &self.own
    }

    /// All other members that are remembered, by name.
    pub fn members(&self) -> impl Iterator<Item = MemberView> + '_ {
        self.members.values().map(|m| MemberView { record: m.record.clone(), since: m.since, link: m.link })
    }

    /// What is believed of a member.
    pub fn member_state(&self, name: &str) -> Option<State> {
        self.members.get(name).map(|m| m.record.state)
    }

    /// How this one stands with the others.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The share of the fleet as it was last worked out.
    pub fn share(&self) -> f64 {
        self.share.now
    }

    /// Entries of every map and list.
    pub fn entry_counts(&self) -> [usize; 6] {
        let peers = self.peers.values().map(Vec::len).sum();
        [
            self.members.len(),
            peers,
            self.challenges.len(),
            self.updates.len(),
            self.relayed_probes.len(),
            self.probe_order.len(),
        ]
    }

    /// Whether two members believe the same of everybody.
    pub fn digest(&self) -> [u32; DIGEST_BUCKETS] {
        let mut parts = [0u32; DIGEST_BUCKETS];
        let known = self.members.values().map(|m| &m.record);
        for r in known.chain(self.announced.then_some(&self.own)) {
            // Suspicion and demand come and go: they must not make two halves send each other everything.
            let settled = if r.state == State::Suspect { State::Alive } else { r.state };
            let mut seed = u64::from(mark(&r.name)) << 32 | u64::from(r.incarnation);
            seed ^= (settled as u64) << 24 ^ r.instance_id.rotate_left(7);
            parts[bucket(&r.name)] ^= draw(&mut seed) as u32;
        }
        parts
    }

    fn living_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.record.state <= State::Suspect)
    }

    // ---- Time ------------------------------------------------------------------------------------------

    fn advance_clock(&mut self, now: Micros) {
        let now = now.max(self.now);
        let stall = self.config.probe_interval.max(200_000) / 2;
        let late = now.saturating_sub(self.planned_wake.max(self.now));
        self.now = now;
        if late <= stall || self.planned_wake == u64::MAX || self.config.plain_swim {
            return;
        }
        // This process stood still. Whatever ran out meanwhile proves nothing: nobody could have been heard. The others may
        // have given it up, and it can't know before it is answered.
        self.counts.pauses += 1;
        self.effects.push_back(Effect::Changed(Change::Paused(late)));
        self.probe = None;
        self.relayed_probes.clear();
        self.challenges.clear();
        for member in self.members.values_mut().filter(|m| m.record.state == State::Suspect) {
            member.since += late;
        }
        (self.last_received_at, self.last_answered_at) = (now, now);
        self.paused_at = Some(now);
        self.next_probe_at = now;
        self.next_sync_at = now;
        if self.announced && late > self.suspicion_timeout(1) {
            // Its own refutation first: the accusation is on its way, or has been believed.
            self.refute(self.own.incarnation);
        }
        self.update_standing();
    }

    fn scaled_period(&self) -> Micros {
        if self.config.plain_swim {
            return self.config.probe_interval;
        }
        self.config.probe_interval * u64::from(self.health_penalty + 1)
    }

    fn run_due_timers(&mut self) {
        if self.left {
            return;
        }
        self.expire_name_conflict();
        self.declare_expired_suspects();
        self.continue_probe();
        if self.now >= self.next_probe_at {
            self.next_probe_at = self.now + self.scaled_period();
            self.run_period();
        }
        self.relayed_probes.retain(|e| e.until > self.now);
        let now = self.now;
        self.challenges.retain(|_, q| q.until > now);
        self.update_standing();
    }

    /// What happens once in a period.
    fn run_period(&mut self) {
        if !self.announced {
            // Before it says a word of itself it hears what is said of its name. Nobody there: it is the first.
            let waited = self.now.saturating_sub(self.started);
            let alone = waited >= 5 * self.config.probe_interval;
            let free = self.name_conflict.is_none() && !self.name_taken;
            if free && (self.joined || alone || self.config.seeds.is_empty()) {
                self.announced = true;
                self.enqueue_update(self.own.name.clone());
            }
        }
        self.advertise_own_state();
        self.start_probe();
        if self.now >= self.next_sync_at {
            let spread = draw(&mut self.rng) % self.config.probe_interval.max(1);
            // Who knows nobody asks the seeds again with the next period: two that start at once have nothing to tell yet.
            let knows = self.joined && self.living_members().next().is_some();
            self.next_sync_at = self.now
                + if knows { SYNC_INTERVAL_PERIODS * self.config.probe_interval + spread } else { 0 };
            self.start_sync();
        }
        let (now, keep) = (self.now, DEAD_RETENTION_PERIODS * self.config.probe_interval);
        let before = self.members.len();
        self.members.retain(|_, m| m.record.state <= State::Suspect || now < m.since + keep);
        self.inputs_changed |= before != self.members.len();
        let (members, fresh) = (&self.members, SYNC_INTERVAL_PERIODS * self.config.probe_interval);
        self.peers
            .retain(|name, lives| members.contains_key(name) || lives.iter().any(|p| now < p.proved + fresh));
        self.updates.retain(|name, _| members.contains_key(name) || *name == self.config.name);
    }

    /// Tells the demand of its clients, and its bad links, when they have changed.
    fn advertise_own_state(&mut self) {
        if self.now < self.next_advertise_at {
            return;
        }
        let (old, new) = (self.own.demand.total(), self.demand.total());
        let cuts: Vec<CutLink> = self
            .members
            .values()
            .filter(|m| m.link != Link::Good && m.record.state <= State::Suspect)
            .map(|m| CutLink { peer_hash: mark(&m.record.name), outbound: m.link == Link::Outbound })
            .take(MAX_CUT_LINKS)
            .collect();
        let changed = (old - new).abs() > ADVERTISE_MIN_CHANGE * old.max(1.0) || cuts != self.own.cuts;
        if changed {
            self.next_advertise_at = self.now + ADVERTISE_INTERVAL_PERIODS * self.config.probe_interval;
            self.inputs_changed = true;
            (self.own.demand, self.own.cuts) = (self.demand, cuts);
            self.own.metadata_version += 1;
            self.enqueue_update(self.own.name.clone());
        }
    }

    // ---- Datagrams -------------------------------------------------------------------------------------

    fn accept_datagram(&mut self, from: SocketAddr, bytes: &[u8]) -> Result<(), Rejection> {
        let Some(datagram) = Datagram::open(&self.config.keys, bytes)? else { return Ok(()) };
        // What stands on membership may still have to be ended in order; nothing else is heard any more.
        if self.left && !matches!(datagram.kind, Kind::Payload(..)) {
            return Ok(());
        }
        // Guards against what was said to another one and is led here by somebody in between.
        if matches!(datagram.kind, Kind::Payload(_, to) if to != 0 && to != mark(&self.own.name)) {
            return Err(Rejection::Replayed);
        }
        if let Kind::Challenge(nonce) = datagram.kind {
            // Whoever asks is answered where the question came from: a name is not believed yet.
            self.send(from, Kind::ChallengeResponse(nonce), Vec::new());
            return Ok(());
        }
        if datagram.from == self.own.name {
            // Another process with this name, or an echo of this one.
            if let (Kind::ChallengeResponse(nonce), Some((address, instance_id, asked, _))) =
                (&datagram.kind, self.name_conflict)
            {
                if *nonce == asked && datagram.instance_id == instance_id {
                    self.resolve_name_conflict(address, instance_id);
                }
            }
            return Ok(());
        }
        if let Kind::ChallengeResponse(nonce) = datagram.kind {
            return self.accept_proof(&datagram, nonce, from);
        }
        let peers = self.peers.get_mut(&datagram.from).map(Vec::as_mut_slice).unwrap_or_default();
        let Some(peer) = peers.iter_mut().find(|p| p.instance_id == datagram.instance_id) else {
            self.challenge(&datagram, from);
            return Err(Rejection::Unverified);
        };
        if !peer.is_new(datagram.number) {
            return Err(Rejection::Replayed);
        }
        peer.address = from;
        self.counts.received.0 += 1;
        self.counts.received.1 += bytes.len() as u64;
        self.last_received_at = self.now;
        if let Some(member) = self.members.get_mut(&datagram.from) {
            member.heard = Some(self.now);
        }
        let stated = matches!(datagram.kind, Kind::Records);
        for record in datagram.records {
            self.merge_record(record);
        }
        self.joined |= stated;
        self.handle_message(&datagram.from, from, datagram.kind);
        self.update_standing();
        Ok(())
    }

    fn heard_recently(&self, name: &str) -> bool {
        // Everybody asks everybody once in as many periods as there are members, in an order that is drawn anew each time.
        let recent = (4 + 2 * u64::from(self.share_inputs.living)).min(MAX_RECENT_PERIODS)
            * self.config.probe_interval;
        self.members.get(name).and_then(|m| m.heard).is_some_and(|at| self.now < at + recent)
    }

    /// Answers go where the question came from: a name may have two processes, and an address may have changed.
    fn handle_message(&mut self, from: &str, back: SocketAddr, kind: Kind) {
        match kind {
            Kind::Ping(number) => {
                let hears = self.heard_recently(from);
                self.send(back, Kind::Ack(number, hears), Vec::new());
            }
            Kind::Ack(number, hears) => self.probe_succeeded(number, true, hears),
            Kind::ProbeRequest(theirs, target) => {
                if target == self.own.name || self.relayed_probes.len() >= MAX_PENDING {
                    return;
                }
                self.last_probe_number = self.last_probe_number.wrapping_add(1);
                let (number, until) = (self.last_probe_number, self.now + self.config.probe_interval);
                self.relayed_probes.push(RelayedProbe { number, origin: from.to_owned(), theirs, until });
                let about = self.members.get(&target).map(|m| m.record.clone());
                let about = about.filter(|r| r.state == State::Suspect).into_iter().collect();
                self.send_to(&target, Kind::RelayedPing(number, from.to_owned()), about);
                // Whoever asked knows that it is heard, even if the target says nothing.
                self.send(back, Kind::ProbeReport(theirs, None), Vec::new());
            }
            Kind::RelayedPing(number, origin) => {
                let hears = self.heard_recently(&origin);
                self.send(back, Kind::RelayedAck(number, origin, hears), Vec::new());
            }
            Kind::RelayedAck(number, origin, hears) => {
                let at = self.relayed_probes.iter().position(|e| e.number == number && e.origin == origin);
                if let Some(at) = at {
                    let errand = self.relayed_probes.swap_remove(at);
                    self.send_to(&origin, Kind::ProbeReport(errand.theirs, Some(hears)), Vec::new());
                }
            }
            Kind::ProbeReport(number, None) => {
                // Somebody hears this one: its silence is the target's.
                if let Some(probe) = self.probe.as_mut().filter(|p| p.number == number) {
                    probe.helped = true;
                    self.record_answer();
                }
            }
            Kind::ProbeReport(number, Some(hears)) => self.probe_succeeded(number, false, hears),
            Kind::Digest(theirs, wanted) => {
                self.send_differing_records(back, &theirs);
                if wanted {
                    let digest = self.digest();
                    self.send(back, Kind::Digest(digest, false), Vec::new());
                }
            }
            Kind::Payload(bytes, _) => self.effects.push_back(Effect::Received(from.to_owned(), bytes)),
            Kind::Records | Kind::Challenge(_) | Kind::ChallengeResponse(_) => {}
        }
    }

    fn send_to(&mut self, name: &str, kind: Kind, records: Vec<Record>) -> usize {
        let told = self.members.get(name).map(|m| m.record.address);
        // One that has not said yet where it is to be found is answered where it spoke from.
        let spoke = || self.peers.get(name).and_then(|p| p.last()).map(|p| p.address);
        let to = self.config.address_overrides.get(name).copied().or(told).or_else(spoke);
        let Some(to) = to else { return records.len() };
        self.send(to, kind, records)
    }

    /// Sends; gives how many of the records have found room. Others' news ride along where none of its own fill it.
    fn send(&mut self, to: SocketAddr, kind: Kind, mut records: Vec<Record>) -> usize {
        let own = records.len();
        let plain = matches!(
            kind,
            Kind::Records | Kind::Challenge(_) | Kind::ChallengeResponse(_) | Kind::Payload(..)
        );
        if !plain {
            records.extend(self.piggybacked_records());
        }
        self.last_datagram_number += 1;
        let (from, instance_id, number) =
            (self.own.name.clone(), self.own.instance_id, self.last_datagram_number);
        let mut bytes = Vec::new();
        let told = Datagram { from, instance_id, number, kind, records }.seal(&self.config.keys, &mut bytes);
        self.counts.sent.0 += 1;
        self.counts.sent.1 += bytes.len() as u64;
        self.effects.push_back(Effect::Send(to, bytes));
        told.min(own)
    }
}

impl Peer {
    /// Whether a number has not been seen, and is not too old to tell.
    fn is_new(&mut self, number: u64) -> bool {
        if number > self.highest {
            let ahead = number - self.highest;
            self.seen = if ahead >= REPLAY_WINDOW { 0 } else { self.seen << ahead };
            self.seen |= 1;
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        if behind >= REPLAY_WINDOW || self.seen >> behind & 1 == 1 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}

fn bucket(name: &str) -> usize {
    mark(name) as usize % DIGEST_BUCKETS
}

/// A stream of numbers (splitmix64).
pub(crate) fn draw(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
