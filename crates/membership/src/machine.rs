//! The state machine: probing, suspicion, gossip, verification of senders, and the standing and share derived
//! from them.
//!
//! A period is one probe interval.

mod gossip;
mod instances;
mod probing;
mod standing;
mod suspicion;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::share::{Share, ShareInputs};
use crate::wire::{
    name_hash, CutLink, Datagram, Demand, Keys, Kind, Record, Rejection, State, DIGEST_BUCKETS,
    MAX_CUT_LINKS, MAX_PAYLOAD_BYTES,
};

/// Microseconds of a monotonic clock.
pub type Micros = u64;

/// Rounds of a probe before it fails; packet loss must hit all of them.
const PROBE_ROUNDS: u32 = 4;
/// Members asked to probe the target in each round after the first.
const PROBE_HELPERS: usize = 3;
/// Minimum suspicion time-out in periods, multiplied by the decimal logarithm of the group size.
const SUSPICION_MIN_PERIODS: f64 = 4.0;
/// Maximum suspicion time-out as a multiple of the minimum.
const SUSPICION_MAX_FACTOR: f64 = 6.0;
/// Number of further accusers that reduces the suspicion time-out to its minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// Maximum local health penalty; the probe interval is multiplied by the penalty plus one.
const MAX_HEALTH_PENALTY: u32 = 8;
/// Number of times that a record is retransmitted, multiplied by the bit length of the group size.
const RETRANSMIT_FACTOR: u32 = 3;
/// Maximum number of gossip records appended to a message.
const MAX_PIGGYBACKED_RECORDS: usize = 6;
/// Maximum number of datagrams of one state exchange.
const MAX_SYNC_DATAGRAMS: usize = 8;
/// Time for which a new member waits for an answer before it announces itself as the first one.
const JOIN_TIMEOUT_PERIODS: u64 = 5;
/// Time for which another process with this member's name may answer a challenge.
const NAME_CHALLENGE_PERIODS: u64 = 2;
/// A wake-up or datagram that is late by more than half a period, and by more than this, shows a pause of the
/// process.
const MIN_PAUSE_US: Micros = 100_000;
/// An increase of the share is reported from this factor on.
const SHARE_REPORT_FACTOR: f64 = 1.02;
/// Interval between two exchanges of digests, before random jitter of up to one period.
const SYNC_INTERVAL_PERIODS: u64 = 8;
/// Time without received datagrams, or without answered probes, after which this member is cut off or
/// unheard.
const ISOLATION_PERIODS: u64 = 6;
/// Time for which a dead or departed member is kept, so that it can be contacted again and stale records of
/// it are recognized.
const DEAD_RETENTION_PERIODS: u64 = 2_000;
/// Minimum interval between two advertisements of this member's demand and cut links.
const ADVERTISE_INTERVAL_PERIODS: u64 = 4;
/// Relative change of the demand that causes an advertisement.
const ADVERTISE_MIN_CHANGE: f64 = 0.2;
/// Upper limit of the time for which a datagram from a member counts as recent.
const MAX_RECENT_PERIODS: u64 = 64;
/// Verified processes per name: a process and its replacement.
const MAX_INSTANCES_PER_NAME: usize = 2;
/// Maximum number of relayed probes, and minimum capacity for pending challenges; further ones are dropped.
const MAX_PENDING: usize = 64;
/// Number of sequence numbers below the highest one seen that are checked for duplicates; lower ones are
/// rejected.
const REPLAY_WINDOW: u64 = 64;

/// Configuration of a member.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the member; it stays the same after a restart.
    pub name: String,
    /// Site where it runs.
    pub site: String,
    /// Address where it receives datagrams.
    pub address: SocketAddr,
    /// Addresses of members to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// Addresses to use for members in place of those that they advertise.
    pub address_overrides: BTreeMap<String, SocketAddr>,
    /// Keys that authenticate datagrams; the first one signs.
    pub keys: Keys,
    /// Interval between two probes.
    pub probe_interval: Micros,
    /// Maximum number of members kept; further names are ignored.
    pub max_members: usize,
    /// Number of gateways in the configuration.
    pub configured_gateways: u32,
    /// Maximum sum of the shares of all gateways, however their views differ.
    pub max_total_share: f64,
    /// Growth of the share per second, as a fraction of the even share.
    pub share_growth_per_s: f64,
    /// Runs plain SWIM without the extensions, as a baseline for comparison.
    pub plain_swim: bool,
}

/// An action for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// The view of the group has changed.
    Changed(Change),
    /// The share of the fleet has this new value.
    Share(f64),
    /// Application data from a verified member: its name and the data.
    Received(String, Vec<u8>),
}

/// A change that is worth logging.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// State of a member.
    Member {
        /// Name of the member.
        name: String,
        /// Previous state; `None` for a new member.
        previous: Option<State>,
        /// New state.
        state: State,
        /// Incarnation of the member.
        incarnation: u32,
    },
    /// New standing of this member.
    Standing(Standing),
    /// This process was paused for the given time.
    Paused(Micros),
    /// State of the link to the named member.
    Link(String, Link),
    /// Another process at the given address uses this member's name.
    NameConflict(SocketAddr),
}

/// Connectivity of this member with the group, as seen by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It has not announced itself yet.
    Joining,
    /// It receives datagrams from others and they answer its own.
    Whole,
    /// It receives nothing, or knows of no other living member.
    CutOff,
    /// It receives datagrams, but its own probes are not answered.
    Unheard,
    /// It was paused and none of its probes has been answered since.
    Waking,
    /// Another process holds its name.
    Doubled,
}

impl Standing {
    /// Name for logs and tables.
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

/// State of the link to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// It works in both directions, or its state is unknown.
    Good,
    /// Datagrams to the member are lost; those from it may or may not arrive.
    Outbound,
    /// Datagrams to the member arrive; those from it are lost.
    Inbound,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams and bytes sent.
    pub sent: (u64, u64),
    /// Datagrams and bytes accepted.
    pub received: (u64, u64),
    /// Datagrams rejected, indexed by [`Rejection`].
    pub rejected: [u64; 6],
    /// Probes that failed.
    pub failed_probes: u64,
    /// Suspicions raised by this member.
    pub suspicions: u64,
    /// Members declared dead by this member.
    pub declared_dead: u64,
    /// Refutations of suspicions about this member.
    pub refutations: u64,
    /// Pauses of this process that were detected.
    pub pauses: u64,
}

/// What this member knows of another one.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberView {
    /// Current record.
    pub record: Record,
    /// When the state last changed or a suspicion was last renewed.
    pub since: Micros,
    /// Link to the member.
    pub link: Link,
}

#[derive(Debug)]
struct Member {
    record: Record,
    since: Micros,
    /// Hashes of the names of the members that suspect it.
    accusers: Vec<u32>,
    link: Link,
    /// Consecutive probes that were answered only through helpers.
    consecutive_indirect_answers: u32,
    /// When a datagram last came from it directly.
    last_received_at: Option<Micros>,
}

/// A verified process and its replay window.
#[derive(Debug)]
struct Peer {
    instance_id: u64,
    /// Address of its latest datagram.
    address: SocketAddr,
    verified_at: Micros,
    highest_number: u64,
    /// Bit `i` is set if the datagram `highest_number - i` has been received.
    seen_bits: u64,
}

#[derive(Debug)]
struct PendingChallenge {
    instance_id: u64,
    nonce: u64,
    expires_at: Micros,
}

#[derive(Debug)]
struct Probe {
    number: u32,
    target: String,
    started_at: Micros,
    round: u32,
    next_round_at: Micros,
    /// Whether a helper has confirmed a request of this probe.
    helper_responded: bool,
}

#[derive(Debug)]
struct RelayedProbe {
    number: u32,
    origin: String,
    /// Number of the probe at the member that requested it.
    origin_number: u32,
    expires_at: Micros,
}

/// A challenge to another process with this member's name.
#[derive(Debug, Clone, Copy)]
struct NameConflict {
    address: SocketAddr,
    instance_id: u64,
    nonce: u64,
    expires_at: Micros,
}

/// The state machine of one member.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    rng: u64,
    now: Micros,
    started_at: Micros,
    own: Record,
    members: BTreeMap<String, Member>,
    peers: BTreeMap<String, Vec<Peer>>,
    challenges: BTreeMap<String, PendingChallenge>,
    /// Records to gossip by member name, with the number of times that each has been sent.
    updates: BTreeMap<String, u32>,
    probe_order: Vec<String>,
    probe: Option<Probe>,
    last_probe_number: u32,
    relayed_probes: Vec<RelayedProbe>,
    next_probe_at: Micros,
    next_sync_at: Micros,
    next_advertise_at: Micros,
    /// Wake-up last requested; one that comes much later shows that this process was paused.
    planned_wake: Micros,
    health_penalty: u32,
    last_received_at: Micros,
    last_answered_at: Micros,
    /// Set after a pause until a probe is answered; no member is suspected or declared dead meanwhile.
    paused_at: Option<Micros>,
    joined: bool,
    announced: bool,
    /// Another process with this member's name that has been challenged.
    name_conflict: Option<NameConflict>,
    next_conflict_check_at: Micros,
    name_taken: bool,
    left: bool,
    standing: Standing,
    share: Share,
    announced_share: f64,
    demand: Demand,
    last_datagram_number: u64,
    /// Names of suspected members.
    suspects: BTreeSet<String>,
    /// Whether `share_inputs` must be recomputed from the members.
    inputs_changed: bool,
    share_inputs: ShareInputs,
    effects: VecDeque<Effect>,
    /// Counters since the start.
    pub counts: Counts,
}

impl Membership {
    /// Creates a member that starts at `now`. `seed` initializes the random generator that also draws its
    /// instance id.
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
            started_at: now,
            members: BTreeMap::new(),
            peers: BTreeMap::new(),
            challenges: BTreeMap::new(),
            updates: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            // A random start, so that two processes of one name do not accept each other's answers.
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
                configured_gateways: config.configured_gateways,
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

    // ---- Inputs and effects ----------------------------------------------------------------------------

    /// Removes and returns the next effect.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// When [`Membership::handle_wake`] is to be called next; `u64::MAX` after [`Membership::leave`].
    pub fn next_wake(&self) -> Micros {
        let probe = self.probe.as_ref().map_or(u64::MAX, |p| p.next_round_at);
        let suspects = self.suspects.iter().filter_map(|name| self.members.get(name));
        let deadlines = suspects.filter_map(|m| self.suspicion_deadline(m)).min().unwrap_or(u64::MAX);
        let conflict = self.name_conflict.map_or(u64::MAX, |c| c.expires_at);
        if self.left {
            return u64::MAX;
        }
        probe.min(self.next_probe_at).min(deadlines).min(conflict)
    }

    /// Runs the timers that are due.
    pub fn handle_wake(&mut self, now: Micros) {
        self.advance_clock(now);
        self.run_due_timers();
        self.planned_wake = self.next_wake();
    }

    /// Processes a datagram received from an address.
    pub fn handle_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.advance_clock(now);
        if let Err(rejection) = self.accept_datagram(from, bytes) {
            self.counts.rejected[rejection as usize] += 1;
        }
        self.planned_wake = self.next_wake();
    }

    /// Sets the load offered by this gateway's clients.
    pub fn set_demand(&mut self, demand: Demand) {
        self.demand = demand;
    }

    /// Replaces the keys; the first one signs.
    pub fn set_keys(&mut self, keys: Keys) {
        self.config.keys = keys;
    }

    /// Sends application data to a member in a datagram, which may be lost. Returns false if the member is
    /// unknown or the data exceed [`MAX_PAYLOAD_BYTES`].
    pub fn send_payload(&mut self, now: Micros, name: &str, bytes: &[u8]) -> bool {
        self.advance_clock(now);
        let known = bytes.len() <= MAX_PAYLOAD_BYTES && self.members.contains_key(name);
        if known {
            self.send_to(name, Kind::Payload(bytes.to_vec(), name_hash(name)), Vec::new());
        }
        self.planned_wake = self.next_wake();
        known
    }

    /// Announces the departure to living members, up to a fixed number of datagrams. Only application data is
    /// accepted afterwards.
    pub fn leave(&mut self, now: Micros) {
        self.advance_clock(now);
        self.own.state = State::Left;
        let living: Vec<String> = self.living_members().map(|m| m.record.name.clone()).collect();
        let departure = self.own.clone();
        // Sent twice, so that a single loss does not delay the others by the suspicion time-out.
        for name in living.iter().chain(&living).take(MAX_SYNC_DATAGRAMS * PROBE_HELPERS) {
            self.send_to(name, Kind::Records, vec![departure.clone()]);
        }
        self.left = true;
    }

    // ---- Accessors -------------------------------------------------------------------------------------

    /// This member's own record.
    pub fn own_record(&self) -> &Record {
        &self.own
    }

    /// All other members that are kept, in order of their names.
    pub fn members(&self) -> impl Iterator<Item = MemberView> + '_ {
        self.members.values().map(|m| MemberView { record: m.record.clone(), since: m.since, link: m.link })
    }

    /// State of a member, if it is known.
    pub fn member_state(&self, name: &str) -> Option<State> {
        self.members.get(name).map(|m| m.record.state)
    }

    /// Connectivity of this member with the group.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Share of the fleet as last computed.
    pub fn share(&self) -> f64 {
        self.share.value
    }

    /// Number of entries of members, verified processes, pending challenges, updates, relayed probes and the
    /// probe order, for checks of memory bounds.
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

    /// Digests by bucket of the members' incarnations, states and instance ids; equal digests mean equal
    /// views.
    pub fn digest(&self) -> [u32; DIGEST_BUCKETS] {
        let mut parts = [0u32; DIGEST_BUCKETS];
        let known = self.members.values().map(|m| &m.record);
        for r in known.chain(self.announced.then_some(&self.own)) {
            // Suspicion and demand change often: they are left out so that they do not cause full state
            // exchanges.
            let digest_state = if r.state == State::Suspect { State::Alive } else { r.state };
            let mut seed = u64::from(name_hash(&r.name)) << 32 | u64::from(r.incarnation);
            seed ^= (digest_state as u64) << 24 ^ r.instance_id.rotate_left(7);
            parts[bucket(&r.name)] ^= draw(&mut seed) as u32;
        }
        parts
    }

    fn living_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.record.state <= State::Suspect)
    }

    // ---- Time ------------------------------------------------------------------------------------------

    /// Sets the clock and detects pauses of this process.
    fn advance_clock(&mut self, now: Micros) {
        let now = now.max(self.now);
        let pause_threshold = (self.config.probe_interval / 2).max(MIN_PAUSE_US);
        let late = now.saturating_sub(self.planned_wake.max(self.now));
        self.now = now;
        if late <= pause_threshold || self.planned_wake == u64::MAX || self.config.plain_swim {
            return;
        }
        // This process was paused. Time-outs that expired meanwhile prove nothing, as no datagram could be
        // received. The others may have declared this member dead, which it cannot know before a probe is
        // answered.
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
            // Refute at once: by now this member may be suspected or declared dead.
            self.refute(self.own.incarnation);
        }
        self.update_standing();
    }

    /// Probe interval, lengthened by the local health penalty.
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
        self.relayed_probes.retain(|e| e.expires_at > self.now);
        let now = self.now;
        self.challenges.retain(|_, q| q.expires_at > now);
        self.update_standing();
    }

    /// Runs the work of one period.
    fn run_period(&mut self) {
        if !self.announced {
            // Before it announces itself it learns what is known of its name. If nobody answers, it is the
            // first member.
            let waited = self.now.saturating_sub(self.started_at);
            let timed_out = waited >= JOIN_TIMEOUT_PERIODS * self.config.probe_interval;
            let name_free = self.name_conflict.is_none() && !self.name_taken;
            if name_free && (self.joined || timed_out || self.config.seeds.is_empty()) {
                self.announced = true;
                self.enqueue_update(self.own.name.clone());
            }
        }
        self.advertise_own_state();
        self.start_probe();
        if self.now >= self.next_sync_at {
            let jitter = draw(&mut self.rng) % self.config.probe_interval.max(1);
            // A member that knows no other asks the seeds in every period: two that start at once know
            // nothing at first.
            let knows_others = self.joined && self.living_members().next().is_some();
            self.next_sync_at = self.now
                + if knows_others { SYNC_INTERVAL_PERIODS * self.config.probe_interval + jitter } else { 0 };
            self.start_sync();
        }
        let (now, dead_retention) = (self.now, DEAD_RETENTION_PERIODS * self.config.probe_interval);
        let before = self.members.len();
        self.members.retain(|_, m| m.record.state <= State::Suspect || now < m.since + dead_retention);
        self.inputs_changed |= before != self.members.len();
        let (members, retention) = (&self.members, SYNC_INTERVAL_PERIODS * self.config.probe_interval);
        self.peers.retain(|name, instances| {
            members.contains_key(name) || instances.iter().any(|p| now < p.verified_at + retention)
        });
        self.updates.retain(|name, _| members.contains_key(name) || *name == self.config.name);
    }

    /// Advertises the demand of this gateway's clients and its cut links when they have changed.
    fn advertise_own_state(&mut self) {
        if self.now < self.next_advertise_at {
            return;
        }
        let (advertised, current) = (self.own.demand.total(), self.demand.total());
        let cuts: Vec<CutLink> = self
            .members
            .values()
            .filter(|m| m.link != Link::Good && m.record.state <= State::Suspect)
            .map(|m| CutLink { peer_hash: name_hash(&m.record.name), outbound: m.link == Link::Outbound })
            .take(MAX_CUT_LINKS)
            .collect();
        let changed = (advertised - current).abs() > ADVERTISE_MIN_CHANGE * advertised.max(1.0)
            || cuts != self.own.cuts;
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
        // After leaving, only application data is accepted, so that users of membership can shut down in
        // order.
        if self.left && !matches!(datagram.kind, Kind::Payload(..)) {
            return Ok(());
        }
        // Rejects data addressed to another member that a third party has redirected here.
        if matches!(datagram.kind, Kind::Payload(_, to) if to != 0 && to != name_hash(&self.own.name)) {
            return Err(Rejection::Replayed);
        }
        if let Kind::Challenge(nonce) = datagram.kind {
            // The answer goes to the source address, as the sender's name is not verified yet.
            self.send(from, Kind::ChallengeResponse(nonce), Vec::new());
            return Ok(());
        }
        if datagram.from == self.own.name {
            // Another process with this name, or a replayed datagram of this one.
            if let (Kind::ChallengeResponse(nonce), Some(conflict)) = (&datagram.kind, self.name_conflict) {
                if *nonce == conflict.nonce && datagram.instance_id == conflict.instance_id {
                    self.resolve_name_conflict(conflict.address, conflict.instance_id);
                }
            }
            return Ok(());
        }
        if let Kind::ChallengeResponse(nonce) = datagram.kind {
            return self.accept_challenge_response(&datagram, nonce, from);
        }
        let peers = self.peers.get_mut(&datagram.from).map(Vec::as_mut_slice).unwrap_or_default();
        let Some(peer) = peers.iter_mut().find(|p| p.instance_id == datagram.instance_id) else {
            self.challenge(&datagram, from);
            return Err(Rejection::Unverified);
        };
        if !peer.accept_number(datagram.number) {
            return Err(Rejection::Replayed);
        }
        peer.address = from;
        self.counts.received.0 += 1;
        self.counts.received.1 += bytes.len() as u64;
        self.last_received_at = self.now;
        if let Some(member) = self.members.get_mut(&datagram.from) {
            member.last_received_at = Some(self.now);
        }
        let has_state = matches!(datagram.kind, Kind::Records);
        for record in datagram.records {
            self.merge_record(record);
        }
        self.joined |= has_state;
        self.handle_message(&datagram.from, from, datagram.kind);
        self.update_standing();
        Ok(())
    }

    /// Whether a datagram has recently come directly from the named member.
    fn heard_recently(&self, name: &str) -> bool {
        // Each member probes every other one once per cycle of as many periods as there are members, in a
        // random order.
        let recent = (4 + 2 * u64::from(self.share_inputs.living)).min(MAX_RECENT_PERIODS)
            * self.config.probe_interval;
        self.members.get(name).and_then(|m| m.last_received_at).is_some_and(|at| self.now < at + recent)
    }

    /// Handles the message of a datagram. Answers go to its source address, as a name may have two processes
    /// and an address may have changed.
    fn handle_message(&mut self, from: &str, source: SocketAddr, kind: Kind) {
        match kind {
            Kind::Ping(number) => {
                let heard = self.heard_recently(from);
                self.send(source, Kind::Ack(number, heard), Vec::new());
            }
            Kind::Ack(number, heard) => self.probe_succeeded(number, true, heard),
            Kind::ProbeRequest(origin_number, target) => {
                if target == self.own.name || self.relayed_probes.len() >= MAX_PENDING {
                    return;
                }
                self.last_probe_number = self.last_probe_number.wrapping_add(1);
                let (number, expires_at) = (self.last_probe_number, self.now + self.config.probe_interval);
                self.relayed_probes.push(RelayedProbe {
                    number,
                    origin: from.to_owned(),
                    origin_number,
                    expires_at,
                });
                let suspicion = self.members.get(&target).map(|m| m.record.clone());
                let suspicion = suspicion.filter(|r| r.state == State::Suspect).into_iter().collect();
                self.send_to(&target, Kind::RelayedPing(number, from.to_owned()), suspicion);
                // Confirm the request, so that the prober knows it can be heard even if the target does not
                // answer.
                self.send(source, Kind::ProbeReport(origin_number, None), Vec::new());
            }
            Kind::RelayedPing(number, origin) => {
                let heard = self.heard_recently(&origin);
                self.send(source, Kind::RelayedAck(number, origin, heard), Vec::new());
            }
            Kind::RelayedAck(number, origin, heard) => {
                let at = self.relayed_probes.iter().position(|e| e.number == number && e.origin == origin);
                if let Some(at) = at {
                    let relayed = self.relayed_probes.swap_remove(at);
                    self.send_to(&origin, Kind::ProbeReport(relayed.origin_number, Some(heard)), Vec::new());
                }
            }
            Kind::ProbeReport(number, None) => {
                // A helper received the request, so the missing answer is not due to this member's own link.
                if let Some(probe) = self.probe.as_mut().filter(|p| p.number == number) {
                    probe.helper_responded = true;
                    self.record_answer();
                }
            }
            Kind::ProbeReport(number, Some(heard)) => self.probe_succeeded(number, false, heard),
            Kind::Digest(peer_digest, wanted) => {
                self.send_differing_records(source, &peer_digest);
                if wanted {
                    let digest = self.digest();
                    self.send(source, Kind::Digest(digest, false), Vec::new());
                }
            }
            Kind::Payload(bytes, _) => self.effects.push_back(Effect::Received(from.to_owned(), bytes)),
            Kind::Records | Kind::Challenge(_) | Kind::ChallengeResponse(_) => {}
        }
    }

    fn send_to(&mut self, name: &str, kind: Kind, records: Vec<Record>) -> usize {
        let advertised = self.members.get(name).map(|m| m.record.address);
        // A member that has not advertised its address yet is answered at the source of its datagrams.
        let source = || self.peers.get(name).and_then(|p| p.last()).map(|p| p.address);
        let to = self.config.address_overrides.get(name).copied().or(advertised).or_else(source);
        let Some(to) = to else { return records.len() };
        self.send(to, kind, records)
    }

    /// Sends a message with records and returns how many of the records fitted. Gossip records are appended
    /// to messages of the probe protocol and to digests.
    fn send(&mut self, to: SocketAddr, kind: Kind, mut records: Vec<Record>) -> usize {
        let own_count = records.len();
        let excludes_gossip = matches!(
            kind,
            Kind::Records | Kind::Challenge(_) | Kind::ChallengeResponse(_) | Kind::Payload(..)
        );
        if !excludes_gossip {
            records.extend(self.piggybacked_records());
        }
        self.last_datagram_number += 1;
        let (from, instance_id, number) =
            (self.own.name.clone(), self.own.instance_id, self.last_datagram_number);
        let mut bytes = Vec::new();
        let included =
            Datagram { from, instance_id, number, kind, records }.seal(&self.config.keys, &mut bytes);
        self.counts.sent.0 += 1;
        self.counts.sent.1 += bytes.len() as u64;
        self.effects.push_back(Effect::Send(to, bytes));
        included.min(own_count)
    }
}

impl Peer {
    /// Records a sequence number; returns false if it was seen before or is older than the replay window.
    fn accept_number(&mut self, number: u64) -> bool {
        if number > self.highest_number {
            let ahead = number - self.highest_number;
            self.seen_bits = if ahead >= REPLAY_WINDOW { 0 } else { self.seen_bits << ahead };
            self.seen_bits |= 1;
            self.highest_number = number;
            return true;
        }
        let behind = self.highest_number - number;
        if behind >= REPLAY_WINDOW || self.seen_bits >> behind & 1 == 1 {
            return false;
        }
        self.seen_bits |= 1 << behind;
        true
    }
}

fn bucket(name: &str) -> usize {
    name_hash(name) as usize % DIGEST_BUCKETS
}

/// Next number of a splitmix64 random generator.
pub(crate) fn draw(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
